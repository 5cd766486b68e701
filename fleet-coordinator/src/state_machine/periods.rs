//! Periods of a task. Each is begun only once, unless its call is known to have had no effect or is idempotent.

use super::{LeaseStateMachine, Outcome, Rejection, MAX_INDETERMINATE_CALLS};
use port_worker::fleet::frame::{CallOutcome, LeaseRef};
use serde::{Deserialize, Serialize};

/// The first protocol version with periods.
const PERIODS_VERSION: u32 = 2;

/// A task's latest period.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Period {
    /// The period's number; the first is 1.
    pub number: u64,
    /// The fencing token of the lease under which it was last begun.
    pub token: u64,
    /// The holder's number for the request that began it.
    pub attempt: u64,
    /// The log's time when it was due (milliseconds).
    pub due_ms: u64,
    /// How its call ended; `None` until the holder has reported it.
    #[serde(rename = "ending")]
    pub outcome: Option<CallOutcome>,
    /// Whether its call is idempotent.
    #[serde(rename = "safe")]
    pub idempotent: bool,
}

/// A call with an indeterminate outcome, which must not be repeated.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct IndeterminateCall {
    /// The task.
    pub task: String,
    /// The period's number.
    pub period: u64,
    /// The fencing token of the lease under which the call was made.
    pub token: u64,
    /// The log's time when it was recorded (milliseconds).
    pub at_ms: u64,
}

/// A holder's request to begin a period.
pub(super) struct PeriodRequest<'a> {
    pub(super) lease: &'a LeaseRef,
    pub(super) every_ms: u64,
    pub(super) idempotent: bool,
    pub(super) attempt: u64,
}

impl LeaseStateMachine {
    pub(super) fn begin_period(&mut self, request: &PeriodRequest) -> Result<Outcome, Rejection> {
        if self.version < PERIODS_VERSION {
            return Err(Rejection::UnsupportedVersion);
        }
        self.lease(request.lease).ok_or(Rejection::NotHeld)?;
        let now = self.log_time_ms;
        let Some(latest) = self.periods.get(&request.lease.task).cloned() else {
            return Ok(self.insert_period(request, 1, now));
        };
        // A retry of the same request: the answer was lost, and the holder makes no call without one.
        if (latest.token, latest.attempt, latest.outcome) == (request.lease.token, request.attempt, None) {
            return Ok(Outcome::Begun(latest.number));
        }
        let next_due_ms = latest.due_ms.saturating_add(request.every_ms);
        if now >= next_due_ms {
            // The outcome of the latest call was not reported, and no later report is accepted.
            if latest.outcome.is_none() && !latest.idempotent {
                self.record_indeterminate_call(&request.lease.task);
            }
            // Due times stay one period apart, unless a whole period was missed.
            let missed = now >= next_due_ms.saturating_add(request.every_ms);
            let due_ms = if missed { now } else { next_due_ms };
            return Ok(self.insert_period(request, latest.number + 1, due_ms));
        }
        if !may_repeat(&latest, request) {
            return Err(Rejection::NotDue(next_due_ms - now));
        }
        Ok(self.insert_period(request, latest.number, latest.due_ms))
    }

    fn insert_period(&mut self, request: &PeriodRequest, number: u64, due_ms: u64) -> Outcome {
        let period = Period {
            number,
            token: request.lease.token,
            attempt: request.attempt,
            due_ms,
            outcome: None,
            idempotent: request.idempotent,
        };
        self.periods.insert(request.lease.task.clone(), period);
        Outcome::Begun(number)
    }

    /// Records the outcome that a holder reports. A report is also accepted from a holder that has lost the lease since, as
    /// long as the period has not been begun again and is the task's latest: no other process can report how the call ended.
    pub(super) fn end_period(
        &mut self,
        lease: &LeaseRef,
        number: u64,
        outcome: CallOutcome,
    ) -> Result<Outcome, Rejection> {
        let latest = self.periods.get_mut(&lease.task);
        let Some(period) = latest.filter(|period| period.number == number && period.token == lease.token)
        else {
            return Err(Rejection::NotHeld);
        };
        if period.outcome.is_some() {
            return Err(Rejection::NotHeld);
        }
        period.outcome = Some(outcome);
        let idempotent = period.idempotent;
        match outcome {
            CallOutcome::Done => self.clear_failures(lease),
            CallOutcome::Unknown if !idempotent => self.record_indeterminate_call(&lease.task),
            CallOutcome::Unknown | CallOutcome::NotDone => {}
        }
        Ok(Outcome::Done)
    }

    /// Records that the call of the task's latest period has an indeterminate outcome.
    fn record_indeterminate_call(&mut self, task: &str) {
        let Some(period) = self.periods.get(task) else { return };
        let call = IndeterminateCall {
            task: task.to_owned(),
            period: period.number,
            token: period.token,
            at_ms: self.log_time_ms,
        };
        self.indeterminate_calls_total += 1;
        self.indeterminate_calls.push(call);
        if self.indeterminate_calls.len() > MAX_INDETERMINATE_CALLS {
            self.indeterminate_calls.remove(0);
        }
    }
}

/// Returns whether the call of the latest period may be repeated within that period.
fn may_repeat(latest: &Period, request: &PeriodRequest) -> bool {
    match latest.outcome {
        Some(CallOutcome::Done) => false,
        Some(CallOutcome::NotDone) => true,
        Some(CallOutcome::Unknown) => latest.idempotent && request.idempotent,
        None => latest.idempotent && request.idempotent && latest.token < request.lease.token,
    }
}
