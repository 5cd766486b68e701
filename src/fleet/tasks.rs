//! Scheduled calls: when the holder of a task asks for its next period, sends the call, and what it makes of the end.
//!
//! Owed to callers: a call is ordered only under a lease that lasts longer than the call may take, and only after its
//! period's beginning is in the log; one that isn't safe is ordered at most once for each beginning.

use super::frame::{CallOutcome, ClientMessage, LeaseRef};
use super::lease_holder::LeaseHolder;
use std::net::SocketAddr;

/// How long an answer to a question is waited for before it is asked again (seconds).
const ASK_AGAIN_S: f64 = 1.5;
/// Calls that may fail in a row before the holder gives its turn away.
const FAILURES_MOST: u32 = 3;
/// Until a call that may be made again is tried again (seconds).
const RETRY_S: f64 = 0.5;

/// A task that workers carry out for the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub name: String,
    pub period_s: f64,
    pub address: SocketAddr,
    pub path: String,
    pub deadline_s: f64,
    /// Whether the call may be made twice in a period.
    pub safe: bool,
}

/// A call to be made now.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    pub task: usize,
    pub held: LeaseRef,
    pub period: u64,
}

/// What the word that a period has begun leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum PeriodDecision {
    Call(ScheduledCall),
    /// There is no time left for the call: the log is told that it surely had no effect.
    Tell(ClientMessage),
    /// It was answered before, or belongs to an earlier question.
    Overtaken,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Nothing is asked for before this time.
    Resting(f64),
    Asked(f64),
    Calling(ScheduledCall),
}

/// One task, as this worker carries it out while it holds the lease.
pub struct ScheduledTask {
    pub schedule: Schedule,
    number: usize,
    stage: Stage,
    attempt: u64,
    failures: u32,
    /// An end that the coordinators may not have heard of.
    untold: Option<ClientMessage>,
    pub calls: u64,
    pub unknown: u64,
}

impl ScheduledTask {
    pub fn new(number: usize, schedule: Schedule) -> ScheduledTask {
        ScheduledTask {
            schedule,
            number,
            stage: Stage::Resting(0.0),
            attempt: 0,
            failures: 0,
            untold: None,
            calls: 0,
            unknown: 0,
        }
    }

    pub fn calling(&self) -> bool {
        matches!(self.stage, Stage::Calling(_))
    }

    /// Whether the holder should give its turn away.
    pub fn gives_up(&mut self) -> bool {
        let over = self.failures >= FAILURES_MOST && !self.calling();
        if over {
            self.failures = 0;
        }
        over
    }

    fn token(&self, now: f64, holder: &LeaseHolder) -> Option<u64> {
        holder.may_act(now, &self.schedule.name, self.schedule.deadline_s)
    }

    /// A question that is due.
    pub fn tick(&mut self, now: f64, holder: &LeaseHolder) -> Option<ClientMessage> {
        let due = match self.stage {
            Stage::Resting(until) => now >= until,
            Stage::Asked(since) => now - since >= ASK_AGAIN_S,
            Stage::Calling(_) => false,
        };
        let token = self.token(now, holder).filter(|_| due)?;
        if matches!(self.stage, Stage::Resting(_)) {
            self.attempt += 1;
        }
        self.stage = Stage::Asked(now);
        Some(ClientMessage::BeginPeriod {
            held: LeaseRef { task: self.schedule.name.clone(), token },
            every_ms: (self.schedule.period_s * 1000.0) as u64,
            safe: self.schedule.safe,
            attempt: self.attempt,
        })
    }

    /// When it should be looked at again.
    pub fn next(&self) -> f64 {
        match self.stage {
            Stage::Resting(until) => until,
            Stage::Asked(since) => since + ASK_AGAIN_S,
            Stage::Calling(_) => f64::INFINITY,
        }
    }

    /// The period has begun: the call, if there is still time for it under this lease.
    pub fn begun(
        &mut self,
        now: f64,
        held: &LeaseRef,
        period: u64,
        attempt: u64,
        holder: &LeaseHolder,
    ) -> PeriodDecision {
        if !matches!(self.stage, Stage::Asked(_)) || attempt != self.attempt {
            // An answer that was overtaken, or came twice.
            return PeriodDecision::Overtaken;
        }
        if self.token(now, holder) == Some(held.token) {
            self.calls += 1;
            let order = ScheduledCall { task: self.number, held: held.clone(), period };
            self.stage = Stage::Calling(order.clone());
            return PeriodDecision::Call(order);
        }
        self.stage = Stage::Resting(now + RETRY_S);
        PeriodDecision::Tell(self.tell(held.clone(), period, CallOutcome::NotDone))
    }

    /// It has not: nothing is due before `in_s`.
    pub fn not_begun(&mut self, now: f64, in_s: f64) {
        if matches!(self.stage, Stage::Asked(_)) {
            self.untold = None;
            self.stage = Stage::Resting(now + in_s);
        }
    }

    /// The call has ended.
    pub fn ended(&mut self, now: f64, ending: CallOutcome) -> Option<ClientMessage> {
        let Stage::Calling(order) = std::mem::replace(&mut self.stage, Stage::Resting(now + RETRY_S)) else {
            return None;
        };
        match ending {
            CallOutcome::Done => self.failures = 0,
            CallOutcome::NotDone | CallOutcome::Unknown => self.failures += 1,
        }
        self.unknown += u64::from(ending == CallOutcome::Unknown);
        Some(self.tell(order.held, order.period, ending))
    }

    fn tell(&mut self, held: LeaseRef, period: u64, ending: CallOutcome) -> ClientMessage {
        let say = ClientMessage::EndPeriod { held, period, ending };
        self.untold = Some(say.clone());
        say
    }

    /// Over a new link: what may have been lost with the old one. It changes nothing where it was not.
    pub fn relinked(&mut self, now: f64) -> Option<ClientMessage> {
        if matches!(self.stage, Stage::Asked(_)) {
            self.stage = Stage::Asked(now - ASK_AGAIN_S);
        }
        self.untold.clone()
    }
}

#[cfg(test)]
mod tests;
