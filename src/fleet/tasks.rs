//! Scheduled calls: the holder of a task's lease requests each period from the coordinators, makes the period's call, and
//! reports its outcome. All times are on the membership's clock (seconds).
//!
//! Guarantees to callers: a call is made only under a lease that outlasts the call's deadline, and only after the start of
//! its period has been committed to the coordinators' log; a call that is not idempotent is made at most once per start of
//! a period.

use super::frame::{CallOutcome, ClientMessage, LeaseRef};
use super::lease_holder::LeaseHolder;
use std::net::SocketAddr;

/// Time without an answer after which a request for a period is repeated (seconds).
const REQUEST_TIMEOUT_S: f64 = 1.5;
/// Number of consecutive failed calls after which the holder releases its lease.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Minimum pause between a call and the next request for a period (seconds).
const REQUEST_PAUSE_S: f64 = 0.5;

/// A scheduled task of the fleet, as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Name of the task.
    pub name: String,
    /// Length of a period, in which one call is made (seconds).
    pub period_s: f64,
    /// Address to call.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Time limit of a call (seconds).
    pub deadline_s: f64,
    /// Whether the call may be repeated within a period.
    pub idempotent: bool,
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Index of the task in the configuration.
    pub task: usize,
    /// The lease under which the call is made.
    pub lease: LeaseRef,
    /// Number of the period.
    pub period: u64,
}

/// The coordinators' confirmation that a requested period has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BegunPeriod<'a> {
    /// The lease under which the period was requested.
    pub lease: &'a LeaseRef,
    /// Number of the period.
    pub period: u64,
    /// Number of the request that this answers.
    pub attempt: u64,
}

/// How a worker reacts to the start of a period.
#[derive(Clone, Debug, PartialEq)]
pub enum PeriodDecision {
    /// Make the call.
    Call(ScheduledCall),
    /// Send this report that the call was not made, because the lease expires too soon for it.
    Report(ClientMessage),
    /// Do nothing: the answer is a duplicate, or belongs to an earlier request.
    Superseded,
}

#[derive(Clone, Debug, PartialEq)]
enum TaskState {
    /// No period is requested before `until`.
    Idle { until: f64 },
    /// A period was requested at `at`.
    Requested { at: f64 },
    /// The call of a period is in flight.
    Calling(ScheduledCall),
}

/// State of one task at this worker, which makes the task's calls while it holds the lease.
pub struct ScheduledTask {
    /// Configuration of the task.
    pub schedule: Schedule,
    index: usize,
    state: TaskState,
    /// Number of the last request for a period.
    attempt: u64,
    consecutive_failures: u32,
    /// The report of the last outcome, which the coordinators may not have received.
    unconfirmed_outcome: Option<ClientMessage>,
    /// Number of calls made.
    pub calls: u64,
    /// Number of calls whose outcome is indeterminate.
    pub indeterminate_calls: u64,
}

impl ScheduledTask {
    /// Creates a task without a request in flight. `index` identifies it in [`ScheduledCall::task`].
    #[must_use]
    pub fn new(index: usize, schedule: Schedule) -> ScheduledTask {
        ScheduledTask {
            schedule,
            index,
            state: TaskState::Idle { until: 0.0 },
            attempt: 0,
            consecutive_failures: 0,
            unconfirmed_outcome: None,
            calls: 0,
            indeterminate_calls: 0,
        }
    }

    /// Whether a call is in flight.
    #[must_use]
    pub fn is_calling(&self) -> bool {
        matches!(self.state, TaskState::Calling(_))
    }

    /// Whether the holder should release the lease because `MAX_CONSECUTIVE_FAILURES` consecutive calls have failed. If so,
    /// the count is reset.
    pub fn take_failure_limit_reached(&mut self) -> bool {
        let is_reached = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && !self.is_calling();
        if is_reached {
            self.consecutive_failures = 0;
        }
        is_reached
    }

    /// The fencing token under which a call may start now.
    fn token(&self, now: f64, leases: &LeaseHolder) -> Option<u64> {
        leases.may_act(now, &self.schedule.name, self.schedule.deadline_s)
    }

    /// Returns the request for a period, if one is due.
    pub fn tick(&mut self, now: f64, leases: &LeaseHolder) -> Option<ClientMessage> {
        let is_due = match self.state {
            TaskState::Idle { until } => now >= until,
            TaskState::Requested { at } => now - at >= REQUEST_TIMEOUT_S,
            TaskState::Calling(_) => false,
        };
        if !is_due {
            return None;
        }
        let token = self.token(now, leases)?;
        if matches!(self.state, TaskState::Idle { .. }) {
            self.attempt += 1;
        }
        self.state = TaskState::Requested { at: now };
        Some(ClientMessage::BeginPeriod {
            lease: LeaseRef { task: self.schedule.name.clone(), token },
            every_ms: (self.schedule.period_s * 1000.0) as u64,
            idempotent: self.schedule.idempotent,
            attempt: self.attempt,
        })
    }

    /// When the next tick is due.
    #[must_use]
    pub fn next_wakeup(&self) -> f64 {
        match self.state {
            TaskState::Idle { until } => until,
            TaskState::Requested { at } => at + REQUEST_TIMEOUT_S,
            TaskState::Calling(_) => f64::INFINITY,
        }
    }

    /// Called when a period has begun. Its call is made if the lease outlasts the call's deadline.
    pub fn period_begun(
        &mut self,
        now: f64,
        begun: &BegunPeriod<'_>,
        leases: &LeaseHolder,
    ) -> PeriodDecision {
        let BegunPeriod { lease, period, attempt } = *begun;
        let is_awaited = matches!(self.state, TaskState::Requested { .. }) && attempt == self.attempt;
        if !is_awaited {
            return PeriodDecision::Superseded;
        }
        if self.token(now, leases) == Some(lease.token) {
            self.calls += 1;
            let call = ScheduledCall { task: self.index, lease: lease.clone(), period };
            self.state = TaskState::Calling(call.clone());
            return PeriodDecision::Call(call);
        }
        self.state = TaskState::Idle { until: now + REQUEST_PAUSE_S };
        PeriodDecision::Report(self.report_outcome(lease.clone(), period, CallOutcome::NotDone))
    }

    /// Called when the coordinators denied a period. The next request is due after `pause_s`.
    pub fn period_not_begun(&mut self, now: f64, pause_s: f64) {
        if matches!(self.state, TaskState::Requested { .. }) {
            self.unconfirmed_outcome = None;
            self.state = TaskState::Idle { until: now + pause_s };
        }
    }

    /// Called when the call has ended. Returns the report for the coordinators, or `None` if no call was in flight.
    pub fn call_ended(&mut self, now: f64, outcome: CallOutcome) -> Option<ClientMessage> {
        let idle = TaskState::Idle { until: now + REQUEST_PAUSE_S };
        let TaskState::Calling(call) = std::mem::replace(&mut self.state, idle) else { return None };
        match outcome {
            CallOutcome::Done => self.consecutive_failures = 0,
            CallOutcome::NotDone | CallOutcome::Unknown => self.consecutive_failures += 1,
        }
        self.indeterminate_calls += u64::from(outcome == CallOutcome::Unknown);
        Some(self.report_outcome(call.lease, call.period, outcome))
    }

    fn report_outcome(&mut self, lease: LeaseRef, period: u64, outcome: CallOutcome) -> ClientMessage {
        let report = ClientMessage::EndPeriod { lease, period, outcome };
        self.unconfirmed_outcome = Some(report.clone());
        report
    }

    /// Called when the session continues over a new link. An unanswered request for a period becomes due again. Returns the
    /// report that may have been lost with the old link; coordinators ignore a report that they have already received.
    pub fn reconnected(&mut self, now: f64) -> Option<ClientMessage> {
        if matches!(self.state, TaskState::Requested { .. }) {
            self.state = TaskState::Requested { at: now - REQUEST_TIMEOUT_S };
        }
        self.unconfirmed_outcome.clone()
    }
}

#[cfg(test)]
mod tests;
