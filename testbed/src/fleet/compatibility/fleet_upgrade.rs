//! Upgrades a fleet of the old build: half of the workers, the coordinators one by one, the other workers; then one
//! coordinator is downgraded again. Each process continues with the data of its predecessor, and at each stage a lease is
//! moved to another worker.

use super::{fleetctl, Build, CheckResult};
use crate::error::TestbedError;
use crate::fleet::rig::{get, FleetFile, Rig};
use crate::fleet::task_log::{find_violations, TaskCall};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const FLEET: &str =
    "fleet = \"upgrade\"\ncoordinators = 3\nworkers = 6\nzones = [\"east\", \"west\"]\nwork_ms = 30\ncalls_part = 4.0\n\
    [[task]]\nname = \"report\"\nperiod_s = 0.4\nttl_ms = 3000\ndeadline_ms = 300\nsafe = false\n\
    [[task]]\nname = \"refresh\"\nperiod_s = 0.3\nttl_ms = 3000\ndeadline_ms = 300\nsafe = true\n";
/// The task whose lease is moved.
const TASK: &str = "report";
/// Workers that are upgraded first.
const UPGRADED_WORKERS: [&str; 3] = ["w1", "w3", "w5"];
/// Number of accepted calls of each task after which a stage counts as working.
const CALLS: usize = 3;
/// Time in which each condition of a stage must hold.
const TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Upgrades a fleet step by step.
pub(super) fn check(old: &Build, new: &Build, folder: &Path) -> Result<Vec<CheckResult>, TestbedError> {
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, old.programs.clone())?;
    let mut results = Vec::new();
    check_stage(&mut rig, old, new, "all old", &mut results)?;
    for name in UPGRADED_WORKERS {
        restart_with(&mut rig, new, name)?;
    }
    check_stage(&mut rig, old, new, "workers of both builds, old coordinators", &mut results)?;
    for (count, name) in (1..).zip(rig.coordinators()) {
        restart_with(&mut rig, new, &name)?;
        check_stage(&mut rig, old, new, &format!("{count} of 3 coordinators new"), &mut results)?;
    }
    for name in rig.workers() {
        if !UPGRADED_WORKERS.contains(&name.as_str()) {
            restart_with(&mut rig, new, &name)?;
        }
    }
    check_stage(&mut rig, old, new, "all new", &mut results)?;
    restart_with(&mut rig, old, "c1")?;
    check_stage(&mut rig, old, new, "one coordinator downgraded", &mut results)?;
    let violations = find_violations(&rig.task_calls());
    results.push(CheckResult {
        subject: "task calls of the whole upgrade".to_owned(),
        passed: violations.is_empty(),
        observed: format!(
            "{} accepted, {} violations {violations:?}",
            rig.task_calls().iter().filter(|call| call.accepted).count(),
            violations.len()
        ),
    });
    Ok(results)
}

/// Terminates a process and starts it again with the programs of this build and its own data.
fn restart_with(rig: &mut Rig, build: &Build, name: &str) -> Result<(), TestbedError> {
    rig.terminate(name)?;
    rig.set_programs(build.programs.clone());
    rig.restart(name)
}

/// Checks that tasks are carried out, that a lease moves when its holder is killed, that all workers pass their health
/// check, and that `fleetctl` of both builds prints the same.
fn check_stage(
    rig: &mut Rig,
    old: &Build,
    new: &Build,
    stage: &str,
    results: &mut Vec<CheckResult>,
) -> Result<(), TestbedError> {
    let before = accepted_calls(rig);
    let all_tasks_carried_out = wait(|| {
        let now = accepted_calls(rig);
        rig.file.tasks.iter().all(|task| count(&now, &task.name) >= count(&before, &task.name) + CALLS)
    });
    results.push(CheckResult {
        subject: format!("tasks, {stage}"),
        passed: all_tasks_carried_out,
        observed: format!("{CALLS} more calls of each task: {all_tasks_carried_out}"),
    });
    results.push(move_lease(rig, stage)?);
    let serving = rig.workers().iter().filter(|name| serves(rig, name)).count();
    results.push(CheckResult {
        subject: format!("health checks, {stage}"),
        passed: serving == rig.workers().len(),
        observed: format!("{serving} of {} workers healthy", rig.workers().len()),
    });
    results.push(fleetctl::check(old, new, rig, stage)?);
    Ok(())
}

/// Kills the holder of the task's lease, waits until another worker calls with a higher fencing token, and restarts the
/// killed worker with the rig's current programs.
fn move_lease(rig: &mut Rig, stage: &str) -> Result<CheckResult, TestbedError> {
    let last = last_call(rig).ok_or(TestbedError::Missing("accepted call of the task"))?;
    rig.kill(&last.holder)?;
    let has_moved =
        wait(|| last_call(rig).is_some_and(|call| call.holder != last.holder && call.token > last.token));
    let next = last_call(rig).unwrap_or_else(|| last.clone());
    rig.restart(&last.holder)?;
    wait(|| serves(rig, &last.holder));
    Ok(CheckResult {
        subject: format!("lease of a killed holder, {stage}"),
        passed: has_moved,
        observed: format!("{} token {}, then {} token {}", last.holder, last.token, next.holder, next.token),
    })
}

fn accepted_calls(rig: &Rig) -> Vec<TaskCall> {
    rig.task_calls().into_iter().filter(|call| call.accepted).collect()
}

fn last_call(rig: &Rig) -> Option<TaskCall> {
    accepted_calls(rig).into_iter().rfind(|call| call.task == TASK)
}

fn count(calls: &[TaskCall], task: &str) -> usize {
    calls.iter().filter(|call| call.task == task).count()
}

fn serves(rig: &Rig, worker: &str) -> bool {
    let Some(address) = rig.listen_address(worker) else { return false };
    get(address, "/check").is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
}

/// Waits until a condition holds; `false` if it does not within [`TIMEOUT`].
fn wait(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}
