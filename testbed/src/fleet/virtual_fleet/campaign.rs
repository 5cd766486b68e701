//! Simulates many seeds on several threads and summarizes the results.

use super::event_loop::simulate;
use super::report::RunReport;
use super::scenario::Scenario;

/// Largest number of threads that simulate seeds.
const MAX_THREADS: usize = 8;

/// Summary of a campaign.
#[derive(Clone, Debug)]
pub struct CampaignSummary {
    /// Summary for the operator, with the fault schedule of each failed seed.
    pub text: String,
    /// Whether all seeds were simulated without a violation.
    pub passed: bool,
}

struct SeedResult {
    seed: u64,
    report: RunReport,
}

/// Simulates `seeds` seeds, beginning with `from`, and summarizes the results.
#[must_use]
pub fn campaign(scenario: &Scenario, from: u64, seeds: u64) -> CampaignSummary {
    let results = simulate_all(scenario, from, seeds);
    let simulated = results.len();
    let mut sum = RunReport::default();
    let mut violating = Vec::new();
    for SeedResult { seed, report } in results {
        sum.accepted += report.accepted;
        sum.rejected += report.rejected;
        sum.elections += report.elections;
        sum.grants += report.grants;
        sum.faults.extend(report.faults.iter().cloned());
        sum.unheld_s.extend(report.unheld_s);
        if let Some(first) = report.violations.first() {
            violating.push(format!("seed {seed}: {first}\n  {}", report.faults.join("\n  ")));
        }
    }
    let gaps = &mut sum.unheld_s;
    gaps.sort_by(f64::total_cmp);
    let quantile = |q: f64| gaps.get(((gaps.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(0.0);
    let text = format!(
        "{simulated} seeds, {} faults, {} elections, {} grants, {} calls accepted, {} rejected; seeds with violations: {}\n\
         tasks without a holder: {} times, p50 {:.2} s, p90 {:.2} s, p99 {:.2} s\n{}",
        sum.faults.len(),
        sum.elections,
        sum.grants,
        sum.accepted,
        sum.rejected,
        violating.len(),
        gaps.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        violating.join("\n")
    );
    CampaignSummary {
        text: text.trim_end().to_owned(),
        // Seeds of a thread that panicked are missing; the campaign then fails.
        passed: violating.is_empty() && simulated as u64 == seeds,
    }
}

/// Returns all results in order of their seeds; those of a thread that panicked are missing.
fn simulate_all(scenario: &Scenario, from: u64, seeds: u64) -> Vec<SeedResult> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS) as u64;
    let mut results: Vec<SeedResult> = std::thread::scope(|scope| {
        let spawn_share = |share: u64| {
            let seeds = (from..from + seeds).filter(move |seed| seed % threads == share);
            let result = |seed| SeedResult { seed, report: simulate(scenario, seed) };
            scope.spawn(move || seeds.map(result).collect::<Vec<_>>())
        };
        let handles: Vec<_> = (0..threads).map(spawn_share).collect();
        handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
    });
    results.sort_by_key(|result| result.seed);
    results
}
