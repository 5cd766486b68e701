//! Random faults among real processes: a seed draws a schedule, a fleet is started and runs under it, the log of the tasks'
//! calls is reviewed, and a schedule that breaks something is made shorter while it still does.

use super::rig::{get, FleetFile, Programs, Rig};
use super::task_log::{find_violations, TaskCall};
use crate::error::TestbedError;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

const FLEET: &str =
    "fleet = \"campaign\"\ncoordinators = 5\nworkers = 8\nzones = [\"east\", \"west\"]\nwork_ms = 30\n\
    [[task]]\nname = \"report\"\nperiod_s = 0.4\nttl_ms = 2000\ndeadline_ms = 300\nsafe = false\n\
    [[task]]\nname = \"refresh\"\nperiod_s = 0.3\nttl_ms = 3000\ndeadline_ms = 300\nsafe = true\n";
const TASKS: [&str; 2] = ["report", "refresh"];
/// Mean time between two faults (seconds).
const EVERY_S: f64 = 1.0;
/// How long the fleet may take, once nothing fails any more, until every task is acted for again.
const RECOVERY: Duration = Duration::from_secs(30);
/// Plays that making a schedule shorter may take.
const SHRINK_MOST: usize = 40;

/// What is done to whom, from when and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins (milliseconds).
    pub at_ms: u64,
    /// How long it lasts (milliseconds).
    pub for_ms: u64,
    /// What is done.
    pub action: FaultAction,
}

/// What is done to whom.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// The process is killed.
    Kill(String),
    /// The process is suspended.
    Pause(String),
    /// The disk is full for the process.
    Fill(String),
    /// The worker is hot restarted.
    Replace(String),
    /// Bytes between the two are held back.
    Cut {
        /// One side; that which sends, where the cut is one-way.
        from: String,
        /// The other side.
        to: String,
        /// Only bytes from the one to the other are held back.
        one_way: bool,
    },
    /// Bytes between the two are delayed.
    Delay {
        /// One side.
        from: String,
        /// The other side.
        to: String,
        /// By how long (milliseconds).
        ms: u64,
    },
    /// Connections between the two are reset.
    Reset {
        /// One side.
        from: String,
        /// The other side.
        to: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = match &self.action {
            FaultAction::Kill(name) => format!("kill {name}"),
            FaultAction::Pause(name) => format!("pause {name}"),
            FaultAction::Fill(name) => format!("fill {name}"),
            FaultAction::Replace(name) => format!("replace {name}"),
            FaultAction::Cut { from, to, one_way } => {
                format!("cut {from} {to}{}", if *one_way { " --one-way" } else { "" })
            }
            FaultAction::Delay { from, to, ms } => format!("delay {from} {to} by {ms} ms"),
            FaultAction::Reset { from, to } => format!("reset {from} {to}"),
        };
        write!(f, "{:>6} ms, for {:>5} ms: {words}", self.at_ms, self.for_ms)
    }
}

impl FaultAction {
    /// Whom it is about.
    fn names(&self) -> Vec<&str> {
        match self {
            FaultAction::Kill(name)
            | FaultAction::Pause(name)
            | FaultAction::Fill(name)
            | FaultAction::Replace(name) => vec![name],
            FaultAction::Cut { from, to, .. }
            | FaultAction::Delay { from, to, .. }
            | FaultAction::Reset { from, to } => {
                vec![from, to]
            }
        }
    }

    /// What can't be done now, as to a process that does not run, is not done.
    fn begin(&self, rig: &mut Rig) -> Result<(), TestbedError> {
        match self {
            FaultAction::Kill(name) => rig.kill(name),
            FaultAction::Pause(name) => rig.pause(name),
            FaultAction::Fill(name) => rig.fill(name, true),
            FaultAction::Replace(name) => rig.replace(name),
            FaultAction::Cut { from, to, one_way } => rig.cut(from, to, *one_way, true),
            FaultAction::Delay { from, to, ms } => {
                rig.delay(from, to, *ms);
                Ok(())
            }
            FaultAction::Reset { from, to } => {
                rig.reset(from, to);
                Ok(())
            }
        }
    }

    fn end(&self, rig: &mut Rig) -> Result<(), TestbedError> {
        match self {
            FaultAction::Kill(name) => rig.restart(name),
            FaultAction::Pause(name) => rig.resume(name),
            FaultAction::Fill(name) => rig.fill(name, false),
            FaultAction::Cut { from, to, .. } => rig.cut(from, to, false, false),
            FaultAction::Delay { from, to, .. } => {
                rig.delay(from, to, 0);
                Ok(())
            }
            FaultAction::Replace(_) | FaultAction::Reset { .. } => Ok(()),
        }
    }
}

/// A seed's faults, in the order of their beginning.
#[must_use]
pub fn draw(seed: u64, length_s: f64, coordinators: &[String], workers: &[String]) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut begin_s = 0.0;
    loop {
        begin_s += -EVERY_S * (1.0 - rng.random::<f64>()).ln();
        if begin_s >= length_s {
            return faults;
        }
        let mut one = |of: &[String]| of.choose(&mut rng).cloned().unwrap_or_default();
        let (coordinator, other, worker) = (one(coordinators), one(coordinators), one(workers));
        let anyone = if rng.random_bool(0.5) { coordinator.clone() } else { worker.clone() };
        let peer = if rng.random_bool(0.5) && other != coordinator { other } else { worker.clone() };
        let (from, to) =
            if rng.random_bool(0.5) { (coordinator.clone(), peer) } else { (peer, coordinator.clone()) };
        let at_ms = (begin_s * 1000.0) as u64;
        let for_ms = rng.random_range(200..6000);
        let action = match rng.random_range(0..100) {
            0..=19 => FaultAction::Kill(anyone),
            20..=39 => FaultAction::Pause(anyone),
            40..=49 => FaultAction::Fill(coordinator),
            50..=74 => FaultAction::Cut { from, to, one_way: rng.random_bool(0.5) },
            75..=84 => FaultAction::Delay { from, to, ms: rng.random_range(5..400) },
            85..=92 => FaultAction::Reset { from, to },
            _ => FaultAction::Replace(worker),
        };
        // A replacement waits for its successor: nothing else may happen to that worker meanwhile.
        let names: Vec<String> = action.names().into_iter().map(str::to_owned).collect();
        let alone = matches!(action, FaultAction::Replace(_));
        let beside = faults.iter().any(|f| {
            let close = f.at_ms + f.for_ms + 2000 > at_ms
                && f.action.names().iter().any(|n| names.iter().any(|o| o == n));
            close && (alone || matches!(f.action, FaultAction::Replace(_)))
        });
        if !beside {
            faults.push(Fault { at_ms, for_ms: if alone { 2000 } else { for_ms }, action });
        }
    }
}

/// What came of one schedule.
#[derive(Default)]
pub struct CampaignReport {
    /// A line for each guarantee that was broken.
    pub wrong: Vec<String>,
    /// The log of the tasks' calls.
    pub acts: Vec<TaskCall>,
    /// How long the fleet took, once nothing failed any more (seconds).
    pub recovery_s: f64,
}

/// Starts a fleet and lets it live through these faults.
///
/// # Errors
/// It did not come up.
pub fn live(folder: &Path, programs: &Programs, faults: &[Fault]) -> Result<CampaignReport, TestbedError> {
    let _ = std::fs::remove_dir_all(folder);
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs.clone())?;
    let mut lived = CampaignReport::default();
    if !acted(&rig, &rig.task_calls(), 2, RECOVERY) {
        lived.wrong.push("nobody acted before the faults".to_owned());
    }
    let mut steps: Vec<(u64, bool, &Fault)> = Vec::new();
    for fault in faults {
        steps.extend([(fault.at_ms, true, fault), (fault.at_ms + fault.for_ms, false, fault)]);
    }
    steps.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    let start = Instant::now();
    for (at_ms, begins, fault) in steps {
        std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(start.elapsed()));
        // One that overlaps another may have nothing to do.
        let _ = if begins { fault.action.begin(&mut rig) } else { fault.action.end(&mut rig) };
    }
    // Of two faults on one process the first to end may have left what the second had begun.
    let names: Vec<String> = rig.coordinators().into_iter().chain(rig.workers()).collect();
    for name in &names {
        let _ = rig.resume(name);
        let _ = rig.restart(name);
        let _ = rig.fill(name, false);
    }
    let (before, healed) = (rig.task_calls(), Instant::now());
    if !acted(&rig, &before, 3, RECOVERY) {
        lived.wrong.push(format!("a task is not acted for {RECOVERY:?} after the last fault"));
    }
    lived.recovery_s = healed.elapsed().as_secs_f64();
    for name in rig.workers() {
        // As text: the report shows the error as a quoted line.
        let reply = match rig.listen_address(&name) {
            Some(address) => get(address, "/check").map_err(|fault| fault.to_string()),
            None => Err("no door".to_owned()),
        };
        if !reply.as_ref().is_ok_and(|r| r.starts_with("HTTP/1.1 200")) {
            lived.wrong.push(format!("{name} does not serve: {reply:?}"));
        }
    }
    lived.acts = rig.task_calls();
    lived.wrong.extend(find_violations(&lived.acts));
    Ok(lived)
}

/// Waits until each task was acted for so many times more.
fn acted(rig: &Rig, before: &[TaskCall], more: usize, timeout: Duration) -> bool {
    let count = |acts: &[TaskCall], task: &str| acts.iter().filter(|a| a.accepted && a.task == task).count();
    let until = Instant::now() + timeout;
    loop {
        let now = rig.task_calls();
        if TASKS.iter().all(|task| count(&now, task) >= count(before, task) + more) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Fewer faults that still break something: halves are left out, then quarters, and so on to single ones.
fn shrink(mut faults: Vec<Fault>, mut breaks: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut plays = 0;
    let mut part = faults.len().div_ceil(2);
    while part > 0 && plays < SHRINK_MOST {
        let mut at = 0;
        while at < faults.len() && plays < SHRINK_MOST {
            let mut fewer = faults.clone();
            fewer.drain(at..(at + part).min(faults.len()));
            plays += 1;
            if breaks(&fewer) {
                faults = fewer;
            } else {
                at += part;
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    faults
}

/// A seed, how many faults it drew, what came of them, and the fewest that break something if anything did.
type Life = (u64, usize, CampaignReport, Vec<Fault>);

/// Plays seed after seed for so long, several fleets side by side; `true` if nothing was found broken.
///
/// # Errors
/// A fleet did not come up.
pub fn campaign(
    folder: &Path,
    programs: &Programs,
    from: u64,
    for_s: f64,
    faults_s: f64,
    beside: usize,
) -> Result<(String, bool), TestbedError> {
    let end = Instant::now() + Duration::from_secs_f64(for_s.clamp(0.0, 86_400.0));
    let next = std::sync::atomic::AtomicU64::new(from);
    let lane = |lane: usize| -> Result<Vec<Life>, TestbedError> {
        let own = folder.join(format!("lane-{lane}"));
        let mut lives = Vec::new();
        while Instant::now() < end {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let names = |kind: char, n: usize| (1..=n).map(|n| format!("{kind}{n}")).collect::<Vec<_>>();
            let faults = draw(seed, faults_s, &names('c', 5), &names('w', 8));
            let report = live(&own, programs, &faults)?;
            let mut shortest = Vec::new();
            if !report.wrong.is_empty() {
                let kept = folder.join(format!("broken-{seed}"));
                let _ = std::fs::rename(&own, kept);
                shortest = shrink(faults.clone(), |fewer| {
                    live(&own, programs, fewer).is_ok_and(|again| !again.wrong.is_empty())
                });
            }
            lives.push((seed, faults.len(), report, shortest));
        }
        let _ = std::fs::remove_dir_all(&own);
        Ok(lives)
    };
    let lanes: Vec<_> = std::thread::scope(|scope| {
        let lane = &lane;
        let handles: Vec<_> = (0..beside.max(1)).map(|n| scope.spawn(move || lane(n))).collect();
        let ended = |h: std::thread::ScopedJoinHandle<'_, _>| {
            h.join().unwrap_or(Err(TestbedError::Panicked { what: "lane" }))
        };
        handles.into_iter().map(ended).collect()
    });
    let mut lives = Vec::new();
    for lane in lanes {
        lives.extend(lane?);
    }
    lives.sort_by_key(|(seed, ..)| *seed);
    let (mut faults, mut accepted, mut refused, mut broken, mut recovery) = (0, 0, 0, 0, Vec::new());
    let mut text = String::new();
    for (seed, count, lived, shortest) in &lives {
        faults += count;
        accepted += lived.acts.iter().filter(|a| a.accepted).count();
        refused += lived.acts.iter().filter(|a| !a.accepted).count();
        recovery.push(lived.recovery_s);
        if !lived.wrong.is_empty() {
            broken += 1;
            let schedule: Vec<String> = shortest.iter().map(Fault::to_string).collect();
            let _ = write!(text, "\nseed {seed}: {}\n  {}", lived.wrong.join("; "), schedule.join("\n  "));
        }
    }
    recovery.sort_by(f64::total_cmp);
    let at = |q: f64| recovery.get(((recovery.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN);
    let summary = format!(
        "{} fleets of processes, {:.0} s of faults each, {faults} faults, {accepted} acts accepted, {refused} refused; \
         broken: {broken}\nall tasks acted for three times after the last fault: p50 {:.1} s, p90 {:.1} s, most {:.1} s",
        lives.len(), faults_s, at(0.5), at(0.9), at(1.0)
    );
    Ok((summary + &text, broken == 0))
}

#[cfg(test)]
mod tests;
