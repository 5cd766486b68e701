//! Random faults in fleets of real processes. A seed determines a schedule of faults, a fleet runs under it, and the log of
//! task calls is checked. A schedule that violates a guarantee is shrunk while it still does.

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

/// Fleet that the faults are injected into.
const FLEET: &str =
    "fleet = \"campaign\"\ncoordinators = 5\nworkers = 8\nzones = [\"east\", \"west\"]\nwork_ms = 30\n\
    [[task]]\nname = \"report\"\nperiod_s = 0.4\nttl_ms = 2000\ndeadline_ms = 300\nsafe = false\n\
    [[task]]\nname = \"refresh\"\nperiod_s = 0.3\nttl_ms = 3000\ndeadline_ms = 300\nsafe = true\n";
/// Names of the tasks in [`FLEET`].
const TASKS: [&str; 2] = ["report", "refresh"];
/// Mean time between faults (seconds).
const MEAN_FAULT_INTERVAL_S: f64 = 1.0;
/// Time in which every task must be carried out twice before the faults, and three times after the last.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of runs used to shrink a schedule.
const MAX_SHRINK_RUNS: usize = 40;

/// A fault of a schedule: its action, start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start time (milliseconds).
    pub at_ms: u64,
    /// Duration (milliseconds).
    pub for_ms: u64,
    /// Kind and targets of the fault.
    pub action: FaultAction,
}

/// Kind and targets of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// The process is killed.
    Kill(String),
    /// The process is suspended.
    Pause(String),
    /// Writes of the process fail, as on a full disk.
    Fill(String),
    /// The worker is hot restarted.
    Replace(String),
    /// The network between two processes is partitioned.
    Cut {
        /// One process; the sender if the cut is one-way.
        from: String,
        /// The other process.
        to: String,
        /// Whether only bytes from `from` to `to` are held back.
        one_way: bool,
    },
    /// Data between two processes is delayed.
    Delay {
        /// One process.
        from: String,
        /// The other process.
        to: String,
        /// Delay (milliseconds).
        ms: u64,
    },
    /// Connections between two processes are reset.
    Reset {
        /// One process.
        from: String,
        /// The other process.
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
    /// Returns the names of the processes that it affects.
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

    /// Starts the fault; an error means that it can't be carried out now, for instance because the process is not running.
    fn begin(&self, rig: &mut Rig) -> Result<(), TestbedError> {
        match self {
            FaultAction::Kill(name) => rig.kill(name),
            FaultAction::Pause(name) => rig.pause(name),
            FaultAction::Fill(name) => rig.fill(name, true),
            FaultAction::Replace(name) => rig.replace(name),
            FaultAction::Cut { from, to, one_way } => rig.set_partition(from, to, *one_way, true),
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

    /// Ends the fault.
    fn end(&self, rig: &mut Rig) -> Result<(), TestbedError> {
        match self {
            FaultAction::Kill(name) => rig.restart(name),
            FaultAction::Pause(name) => rig.resume(name),
            FaultAction::Fill(name) => rig.fill(name, false),
            FaultAction::Cut { from, to, .. } => rig.set_partition(from, to, false, false),
            FaultAction::Delay { from, to, .. } => {
                rig.delay(from, to, 0);
                Ok(())
            }
            FaultAction::Replace(_) | FaultAction::Reset { .. } => Ok(()),
        }
    }
}

/// Draws a seed's faults, in order of their start.
#[must_use]
pub fn draw_faults(seed: u64, length_s: f64, coordinators: &[String], workers: &[String]) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut begin_s = 0.0;
    loop {
        begin_s += -MEAN_FAULT_INTERVAL_S * (1.0 - rng.random::<f64>()).ln();
        if begin_s >= length_s {
            return faults;
        }
        let mut draw_one = |of: &[String]| of.choose(&mut rng).cloned().unwrap_or_default();
        let (coordinator, other, worker) =
            (draw_one(coordinators), draw_one(coordinators), draw_one(workers));
        let process = if rng.random_bool(0.5) { coordinator.clone() } else { worker.clone() };
        let peer = if rng.random_bool(0.5) && other != coordinator { other } else { worker.clone() };
        let (from, to) =
            if rng.random_bool(0.5) { (coordinator.clone(), peer) } else { (peer, coordinator.clone()) };
        let at_ms = (begin_s * 1000.0) as u64;
        let for_ms = rng.random_range(200..6000);
        let action = match rng.random_range(0..100) {
            0..=19 => FaultAction::Kill(process),
            20..=39 => FaultAction::Pause(process),
            40..=49 => FaultAction::Fill(coordinator),
            50..=74 => FaultAction::Cut { from, to, one_way: rng.random_bool(0.5) },
            75..=84 => FaultAction::Delay { from, to, ms: rng.random_range(5..400) },
            85..=92 => FaultAction::Reset { from, to },
            _ => FaultAction::Replace(worker),
        };
        // A hot restart waits until the successor is ready, for which the schedule allows 2 s. No other fault may affect
        // that worker meanwhile, so there are 2 s between a hot restart and any other fault of the worker.
        let names: Vec<String> = action.names().into_iter().map(str::to_owned).collect();
        let is_replacement = matches!(action, FaultAction::Replace(_));
        let conflicts = faults.iter().any(|f| {
            let overlaps = f.at_ms + f.for_ms + 2000 > at_ms
                && f.action.names().iter().any(|n| names.iter().any(|o| o == n));
            overlaps && (is_replacement || matches!(f.action, FaultAction::Replace(_)))
        });
        if !conflicts {
            faults.push(Fault { at_ms, for_ms: if is_replacement { 2000 } else { for_ms }, action });
        }
    }
}

/// Result of running a schedule.
#[derive(Default)]
pub struct CampaignReport {
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
    /// Logged task calls.
    pub calls: Vec<TaskCall>,
    /// Time from the end of the faults until all tasks were carried out again (seconds).
    pub recovery_s: f64,
}

/// Runs a fleet under a schedule of faults and checks the results.
///
/// # Errors
/// The fleet does not start.
pub fn run_schedule(
    folder: &Path,
    programs: &Programs,
    faults: &[Fault],
) -> Result<CampaignReport, TestbedError> {
    let _ = std::fs::remove_dir_all(folder);
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs.clone())?;
    let mut report = CampaignReport::default();
    if !wait_for_calls(&rig, &rig.task_calls(), 2, RECOVERY_TIMEOUT) {
        report.violations.push(format!(
            "a task was not carried out twice within {RECOVERY_TIMEOUT:?} before the first fault"
        ));
    }
    let mut steps: Vec<(u64, bool, &Fault)> = Vec::new();
    for fault in faults {
        steps.extend([(fault.at_ms, true, fault), (fault.at_ms + fault.for_ms, false, fault)]);
    }
    steps.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    let start = Instant::now();
    for (at_ms, begins, fault) in steps {
        std::thread::sleep(Duration::from_millis(at_ms).saturating_sub(start.elapsed()));
        // With overlapping faults a step may fail, for instance because the process is already killed; the other steps are
        // still carried out.
        let _ = if begins { fault.action.begin(&mut rig) } else { fault.action.end(&mut rig) };
    }
    // The end of a fault may have failed, for instance because a restart timed out. Every process must run normally again
    // before the recovery is measured.
    let names: Vec<String> = rig.coordinators().into_iter().chain(rig.workers()).collect();
    for name in &names {
        let _ = rig.resume(name);
        let _ = rig.restart(name);
        let _ = rig.fill(name, false);
    }
    let (before, healed) = (rig.task_calls(), Instant::now());
    if !wait_for_calls(&rig, &before, 3, RECOVERY_TIMEOUT) {
        report.violations.push(format!(
            "a task was not carried out three times within {RECOVERY_TIMEOUT:?} after the last fault"
        ));
    }
    report.recovery_s = healed.elapsed().as_secs_f64();
    for name in rig.workers() {
        // The error is converted to text, so that the report shows it as a quoted line.
        let response = match rig.listen_address(&name) {
            Some(address) => get(address, "/check").map_err(|error| error.to_string()),
            None => Err("no listen address".to_owned()),
        };
        if !response.as_ref().is_ok_and(|r| r.starts_with("HTTP/1.1 200")) {
            report.violations.push(format!("{name}: the health check got {response:?}; expected status 200"));
        }
    }
    report.calls = rig.task_calls();
    report.violations.extend(find_violations(&report.calls));
    Ok(report)
}

/// Waits until each task has `count_more` more accepted calls than in `before`; `false` on timeout.
fn wait_for_calls(rig: &Rig, before: &[TaskCall], count_more: usize, timeout: Duration) -> bool {
    let count = |calls: &[TaskCall], task: &str| {
        calls.iter().filter(|call| call.accepted && call.task == task).count()
    };
    let deadline = Instant::now() + timeout;
    loop {
        let now = rig.task_calls();
        if TASKS.iter().all(|task| count(&now, task) >= count(before, task) + count_more) {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Shrinks a failing schedule: leaves out halves, then quarters, down to single faults, and keeps each reduction that still
/// fails. Stops after [`MAX_SHRINK_RUNS`] runs.
fn shrink(mut faults: Vec<Fault>, mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut runs = 0;
    let mut chunk = faults.len().div_ceil(2);
    while chunk > 0 && runs < MAX_SHRINK_RUNS {
        let mut at = 0;
        while at < faults.len() && runs < MAX_SHRINK_RUNS {
            let mut fewer = faults.clone();
            fewer.drain(at..(at + chunk).min(faults.len()));
            runs += 1;
            if fails(&fewer) {
                faults = fewer;
            } else {
                at += chunk;
            }
        }
        chunk = if chunk == 1 { 0 } else { chunk.div_ceil(2) };
    }
    faults
}

/// A seed, its number of faults, the report, and the shrunk schedule if a guarantee was violated.
type SeedResult = (u64, usize, CampaignReport, Vec<Fault>);

/// Runs the schedules of consecutive seeds, beginning with `from`, and starts new ones for `for_s` seconds; each injects
/// faults for `faults_s` seconds, and `concurrent_fleets` run at a time. A schedule that violates a guarantee is shrunk.
/// Returns a summary, and `true` if no guarantee was violated.
///
/// # Errors
/// A fleet does not start.
pub fn campaign(
    folder: &Path,
    programs: &Programs,
    from: u64,
    for_s: f64,
    faults_s: f64,
    concurrent_fleets: usize,
) -> Result<(String, bool), TestbedError> {
    let end = Instant::now() + Duration::from_secs_f64(for_s.clamp(0.0, 86_400.0));
    let next = std::sync::atomic::AtomicU64::new(from);
    // Each lane is a thread that runs the schedules of seeds one after another, in a folder of its own.
    let lane = |lane: usize| -> Result<Vec<SeedResult>, TestbedError> {
        let lane_folder = folder.join(format!("lane-{lane}"));
        let mut results = Vec::new();
        while Instant::now() < end {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let names = |kind: char, n: usize| (1..=n).map(|n| format!("{kind}{n}")).collect::<Vec<_>>();
            let faults = draw_faults(seed, faults_s, &names('c', 5), &names('w', 8));
            let report = run_schedule(&lane_folder, programs, &faults)?;
            let mut shrunk = Vec::new();
            if !report.violations.is_empty() {
                let failed_folder = folder.join(format!("broken-{seed}"));
                let _ = std::fs::rename(&lane_folder, failed_folder);
                shrunk = shrink(faults.clone(), |fewer| {
                    run_schedule(&lane_folder, programs, fewer)
                        .is_ok_and(|again| !again.violations.is_empty())
                });
            }
            results.push((seed, faults.len(), report, shrunk));
        }
        let _ = std::fs::remove_dir_all(&lane_folder);
        Ok(results)
    };
    let lanes: Vec<_> = std::thread::scope(|scope| {
        let lane = &lane;
        let handles: Vec<_> = (0..concurrent_fleets.max(1)).map(|n| scope.spawn(move || lane(n))).collect();
        let join = |h: std::thread::ScopedJoinHandle<'_, _>| {
            h.join().unwrap_or(Err(TestbedError::Panicked { kind: "lane" }))
        };
        handles.into_iter().map(join).collect()
    });
    let mut results = Vec::new();
    for lane in lanes {
        results.extend(lane?);
    }
    results.sort_by_key(|(seed, ..)| *seed);
    let (mut faults, mut accepted, mut rejected, mut failed_seeds, mut recovery) = (0, 0, 0, 0, Vec::new());
    let mut text = String::new();
    for (seed, count, report, shrunk) in &results {
        faults += count;
        accepted += report.calls.iter().filter(|call| call.accepted).count();
        rejected += report.calls.iter().filter(|call| !call.accepted).count();
        recovery.push(report.recovery_s);
        if !report.violations.is_empty() {
            failed_seeds += 1;
            let schedule: Vec<String> = shrunk.iter().map(Fault::to_string).collect();
            let _ =
                write!(text, "\nseed {seed}: {}\n  {}", report.violations.join("; "), schedule.join("\n  "));
        }
    }
    recovery.sort_by(f64::total_cmp);
    let quantile =
        |q: f64| recovery.get(((recovery.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN);
    let summary = format!(
        "{} fleets of processes, {:.0} s of faults each, {faults} faults, {accepted} calls accepted, {rejected} rejected; \
         seeds with violations: {failed_seeds}\nthree calls of every task after the last fault: p50 {:.1} s, p90 {:.1} s, max {:.1} s",
        results.len(), faults_s, quantile(0.5), quantile(0.9), quantile(1.0)
    );
    Ok((summary + &text, failed_seeds == 0))
}

#[cfg(test)]
mod tests;
