//! Checks of a run with access to true time: which workers believe that they hold a task, and which calls the resource
//! accepted.

use super::names::task_name;
use super::scenario::DisabledCheck;
use super::task_record::RunningCall;
use super::world::{Event, World};
use port_worker::fleet::frame::CallOutcome;
use port_worker::fleet::tasks::ScheduledCall;
use rand::Rng;

/// Largest time that may have passed since a task's last completed call when a run ends (seconds).
const MAX_RECOVERY_S: f64 = 10.0;
/// Number of periods of a task that the resource remembers.
const MAX_PERIODS: usize = 64;
/// The response to one in this many calls is lost.
const RESPONSE_LOSS_ONE_IN: i32 = 30;

impl World {
    /// Records a violated guarantee; the run then ends.
    pub fn violation(&mut self, description: &str) {
        let at = self.now;
        self.report.violations.push(format!("{at:.3} s: {description}"));
    }

    /// Checks, at the end of a run, that every task is carried out again after the faults.
    pub fn check_recovery(&mut self) {
        for task in 0..self.scenario.tasks {
            let since_last_call = self.now - self.tasks[task].last_completed_s;
            if since_last_call > MAX_RECOVERY_S {
                let name = task_name(task);
                self.violation(&format!("{name}: no call completed in the last {since_last_call:.1} s of the run; expected one within {MAX_RECOVERY_S} s"));
            }
        }
    }

    /// Checks mutual exclusion: while this worker believes that it holds a task, no other worker may believe that it does.
    /// Also records the intervals in which no worker holds a task.
    pub fn check_claims(&mut self, worker: usize) {
        let Some(member) = &self.workers[worker].member else { return };
        let clock = &self.workers[worker].clock;
        let now = self.now;
        let mut found = None;
        for (number, task) in self.tasks.iter_mut().enumerate() {
            let name = task_name(number);
            let until = member.lease_valid_until(&name).map(|local| clock.started + local / clock.rate);
            match until.filter(|until| *until > now) {
                Some(until) => {
                    let other = task.claims.iter().find(|(other, until)| **other != worker && **until > now);
                    if let Some((other, until)) = other {
                        found = Some(format!(
                            "{name}: w{worker} and w{other} (until {until:.3}) hold its lease at the same time"
                        ));
                    }
                    task.claims.insert(worker, until);
                }
                None => {
                    task.claims.remove(&worker);
                }
            }
            let held = task.claims.values().any(|until| *until > now);
            match (held, task.unheld_since) {
                (true, Some(since)) => {
                    self.report.unheld_s.push(now - since);
                    task.unheld_since = None;
                }
                (false, None) => task.unheld_since = Some(now),
                _ => {}
            }
        }
        if let Some(found) = found {
            self.violation(&found);
        }
    }

    /// Starts a call at the resource, which rejects an outdated fencing token and a period that was carried out before.
    pub fn call_arrives(&mut self, worker: usize, incarnation: u64, call: ScheduledCall, duration_s: f64) {
        let task = call.task;
        let token = call.lease.token;
        let fenced = self.scenario.disabled_check != DisabledCheck::Fencing;
        let answered_at = self.now + self.draw_latency();
        let record = &mut self.tasks[task];
        if fenced && token < record.highest_token {
            self.report.rejected += 1;
            let outcome = CallOutcome::NotDone;
            return self.schedule(answered_at, Event::CallEnded { worker, incarnation, task, outcome });
        }
        if fenced && token > record.highest_token {
            // A running call with a lower token is aborted.
            record.running = None;
        }
        record.highest_token = record.highest_token.max(token);
        if record.completed.contains_key(&call.period) {
            self.report.rejected += 1;
            let outcome = if is_idempotent(task) { CallOutcome::Done } else { CallOutcome::Unknown };
            return self.schedule(answered_at, Event::CallEnded { worker, incarnation, task, outcome });
        }
        if let Some(RunningCall { token: other_token, worker: other }) = record.running {
            return self.violation(&format!(
                "{}: w{worker} calls with token {token} while a call of w{other} with token {other_token} is running",
                task_name(task)
            ));
        }
        record.running = Some(RunningCall { token, worker });
        self.schedule(self.now + duration_s, Event::CallCompletes { worker, incarnation, call });
    }

    /// Completes a call at the resource, unless it was aborted. Checks that fencing tokens never decrease, and that the
    /// periods of a task that is not idempotent never decrease.
    pub fn call_completes(&mut self, worker: usize, incarnation: u64, call: &ScheduledCall) {
        let token = call.lease.token;
        let record = &mut self.tasks[call.task];
        if record.running != Some(RunningCall { token, worker }) {
            self.report.rejected += 1;
            return;
        }
        record.running = None;
        record.last_completed_s = self.now;
        self.report.accepted += 1;
        let before = record.completed.last_key_value().map_or(0, |(period, _)| *period);
        let token_before = record.completed.last_key_value().map_or(0, |(_, token)| *token);
        record.completed.insert(call.period, token);
        if record.completed.len() > MAX_PERIODS {
            record.completed.pop_first();
        }
        if call.period < before && !is_idempotent(call.task) || token < token_before {
            return self.violation(&format!(
                "{}: period {} with token {token} after period {before} with token {token_before}",
                task_name(call.task),
                call.period
            ));
        }
        self.send_answer(worker, incarnation, call.task);
    }

    fn send_answer(&mut self, worker: usize, incarnation: u64, task: usize) {
        let lost = self.rng.random_range(0..RESPONSE_LOSS_ONE_IN) == 0;
        let at = self.now + if lost { 0.2 } else { 0.002 };
        let outcome = if lost { CallOutcome::Unknown } else { CallOutcome::Done };
        self.schedule(at, Event::CallEnded { worker, incarnation, task, outcome });
    }
}

/// Whether a task's calls may be carried out more than once.
fn is_idempotent(task: usize) -> bool {
    task % 2 == 0
}
