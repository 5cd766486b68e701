//! The review, which sees true time: who believes to hold a task, and what the resource that tasks call has accepted.

use super::names::task_name;
use super::shape::Weakness;
use super::task_record::RunningCall;
use super::world::{Event, World};
use port_worker::fleet::frame::CallOutcome;
use port_worker::fleet::tasks::ScheduledCall;
use rand::Rng;

/// After the faults each task must have been called for within so long (seconds).
const MAX_QUIET_S: f64 = 10.0;
/// Periods of a task that the resource remembers.
const MAX_PERIODS: usize = 64;
/// The answer to one call in so many is lost.
const LOST_ANSWER_ONE_IN: i32 = 30;

impl World {
    /// Notes that a guarantee was broken; the run ends.
    pub fn violation(&mut self, what: &str) {
        let at = self.now;
        self.verdict.violations.push(format!("{at:.3} s: {what}"));
    }

    /// At the end of a run: each task was called for since the faults.
    pub fn check_recovery(&mut self) {
        for task in 0..self.shape.tasks {
            let quiet = self.now - self.tasks[task].last_done;
            if quiet > MAX_QUIET_S {
                let name = task_name(task);
                self.violation(&format!("{name}: nobody has acted for {quiet:.1} s after the faults"));
            }
        }
    }

    /// Mutual exclusion: does anybody else believe that it holds what this worker believes it holds?
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
                            "{name}: w{worker} and w{other} (until {until:.3}) hold it at once"
                        ));
                    }
                    task.claims.insert(worker, until);
                }
                None => {
                    task.claims.remove(&worker);
                }
            }
            let held = task.claims.values().any(|until| *until > now);
            match (held, task.free_since) {
                (true, Some(since)) => {
                    self.verdict.gaps_s.push(now - since);
                    task.free_since = None;
                }
                (false, None) => task.free_since = Some(now),
                _ => {}
            }
        }
        if let Some(found) = found {
            self.violation(&found);
        }
    }

    /// The resource begins a call, or rejects it for its token or its period.
    pub fn call_arrives(&mut self, worker: usize, incarnation: u64, call: ScheduledCall, lasts_s: f64) {
        let task = call.task;
        let token = call.lease.token;
        let fenced = self.shape.weak != Weakness::NoFencing;
        let answered_at = self.now + self.latency();
        let record = &mut self.tasks[task];
        if fenced && token < record.highest_token {
            self.verdict.refused += 1;
            let outcome = CallOutcome::NotDone;
            return self.schedule(answered_at, Event::CallEnded { worker, incarnation, task, outcome });
        }
        if fenced && token > record.highest_token {
            // A call under a lower token that is still running is broken off.
            record.running = None;
        }
        record.highest_token = record.highest_token.max(token);
        if record.done.contains_key(&call.period) {
            self.verdict.refused += 1;
            let outcome = if is_idempotent(task) { CallOutcome::Done } else { CallOutcome::Unknown };
            return self.schedule(answered_at, Event::CallEnded { worker, incarnation, task, outcome });
        }
        if let Some(RunningCall { token: other_token, worker: other }) = record.running {
            return self.violation(&format!(
                "{}: w{worker} acts under {token} while w{other} does under {other_token}",
                task_name(task)
            ));
        }
        record.running = Some(RunningCall { token, worker });
        self.schedule(self.now + lasts_s, Event::CallCompletes { worker, incarnation, call });
    }

    /// The resource has carried a call out, unless it was broken off; tokens and periods must not go back.
    pub fn call_completes(&mut self, worker: usize, incarnation: u64, call: &ScheduledCall) {
        let token = call.lease.token;
        let record = &mut self.tasks[call.task];
        if record.running != Some(RunningCall { token, worker }) {
            self.verdict.refused += 1;
            return;
        }
        record.running = None;
        record.last_done = self.now;
        self.verdict.accepted += 1;
        let before = record.done.last_key_value().map_or(0, |(period, _)| *period);
        let token_before = record.done.last_key_value().map_or(0, |(_, token)| *token);
        record.done.insert(call.period, token);
        if record.done.len() > MAX_PERIODS {
            record.done.pop_first();
        }
        if call.period < before && !is_idempotent(call.task) || token < token_before {
            return self.violation(&format!(
                "{}: period {} under {token} after {before} under {token_before}",
                task_name(call.task),
                call.period
            ));
        }
        self.answer_call(worker, incarnation, call.task);
    }

    fn answer_call(&mut self, worker: usize, incarnation: u64, task: usize) {
        // Now and then the answer is lost.
        let lost = self.rng.random_range(0..LOST_ANSWER_ONE_IN) == 0;
        let at = self.now + if lost { 0.2 } else { 0.002 };
        let outcome = if lost { CallOutcome::Unknown } else { CallOutcome::Done };
        self.schedule(at, Event::CallEnded { worker, incarnation, task, outcome });
    }
}

/// Whether a task's calls may run more than once.
fn is_idempotent(task: usize) -> bool {
    task % 2 == 0
}
