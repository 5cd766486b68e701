//! Many seeds, played on several threads and summed up.

use super::event_loop::play;
use super::shape::Scenario;
use super::verdict::Verdict;

/// Threads that play seeds at the same time, at most.
const MAX_THREADS: usize = 8;

/// What came of many seeds.
#[derive(Clone, Debug)]
pub struct CampaignSummary {
    /// The lines to print.
    pub text: String,
    /// Every seed was played, and none was found broken.
    pub passed: bool,
}

struct SeedResult {
    seed: u64,
    verdict: Verdict,
}

/// Plays so many seeds and sums them up.
#[must_use]
pub fn campaign(shape: &Scenario, from: u64, seeds: u64) -> CampaignSummary {
    let results = play_all(shape, from, seeds);
    let played = results.len();
    let mut sum = Verdict::default();
    let mut broken = Vec::new();
    for SeedResult { seed, verdict } in results {
        sum.accepted += verdict.accepted;
        sum.refused += verdict.refused;
        sum.leaders += verdict.leaders;
        sum.grants += verdict.grants;
        sum.faults.extend(verdict.faults.iter().cloned());
        sum.gaps_s.extend(verdict.gaps_s);
        if let Some(first) = verdict.violations.first() {
            broken.push(format!("seed {seed}: {first}\n  {}", verdict.faults.join("\n  ")));
        }
    }
    let gaps = &mut sum.gaps_s;
    gaps.sort_by(f64::total_cmp);
    let quantile = |q: f64| gaps.get(((gaps.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(0.0);
    let text = format!(
        "{played} seeds, {} faults, {} leaders, {} grants, {} acts accepted, {} refused; broken: {}\n\
         a task held by nobody: {} times, p50 {:.2} s, p90 {:.2} s, p99 {:.2} s\n{}",
        sum.faults.len(),
        sum.leaders,
        sum.grants,
        sum.accepted,
        sum.refused,
        broken.len(),
        gaps.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        broken.join("\n")
    );
    CampaignSummary {
        text: text.trim_end().to_owned(),
        // Seeds of a thread that panicked are missing, and count as broken.
        passed: broken.is_empty() && played as u64 == seeds,
    }
}

/// All results, by seed; those of a thread that panicked are missing.
fn play_all(shape: &Scenario, from: u64, seeds: u64) -> Vec<SeedResult> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS) as u64;
    let mut results: Vec<SeedResult> = std::thread::scope(|scope| {
        let play_share = |share: u64| {
            let seeds = (from..from + seeds).filter(move |seed| seed % threads == share);
            let result = |seed| SeedResult { seed, verdict: play(shape, seed) };
            scope.spawn(move || seeds.map(result).collect::<Vec<_>>())
        };
        let handles: Vec<_> = (0..threads).map(play_share).collect();
        handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
    });
    results.sort_by_key(|result| result.seed);
    results
}
