//! One worker's membership: it ties together session, leases, tasks and overload control.

mod events;
mod metrics;
mod receive;

pub use events::{LeaseLossCause, MembershipEvent};

use super::config::MembershipConfig;
use super::frame::{CallOutcome, ClientMessage, Counters, FleetTotals, LeaseRef, VERSION};
use super::lease_holder::LeaseHolder;
use super::overload::client::{FleetOverloadClient, LoadSample, OverloadDirective};
use super::overload::REPORT_INTERVAL_S;
use super::session::{LinkAction, Session};
use super::tasks::{ScheduledCall, ScheduledTask};
use super::totals::{ReceivedTotals, TOTALS};
use std::net::SocketAddr;

/// Interval at which a worker sends its counters (seconds).
const COUNTERS_INTERVAL_S: f64 = 1.0;
/// When to look again at what is due and can't be done now, as under a lease that has expired (seconds).
const BLOCKED_RECHECK_S: f64 = 0.05;

/// What the owner of a [`FleetMember`] has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Connect to this coordinator.
    Connect(SocketAddr),
    /// Send a message on the link.
    Send(ClientMessage),
    /// Close the link.
    Close,
    /// Make a scheduled call.
    Call(ScheduledCall),
    /// Report an event to operators.
    Log(MembershipEvent),
}

/// State machine of one worker's membership.
pub struct FleetMember {
    config: MembershipConfig,
    session: Session,
    leases: LeaseHolder,
    tasks: Vec<ScheduledTask>,
    /// Whether it takes leases: not while it is draining.
    accepting_tasks: bool,
    leaving: bool,
    /// Another process has replaced this one.
    replaced: bool,
    goodbye_sent: bool,
    counters_sent_at: f64,
    /// The fleet's totals, as last received.
    received_totals: Option<ReceivedTotals>,
    /// Totals that this worker has computed and not sent yet.
    computed_totals: Option<FleetTotals>,
    overload: Option<FleetOverloadClient>,
    /// The sample for the load report that goes out with the next heartbeat.
    load_sample: Option<LoadSample>,
    actions: Vec<MemberAction>,
}

impl FleetMember {
    /// A member that is not connected yet. `incarnation` tells this process from others of its name; `seed` varies the
    /// backoffs.
    #[must_use]
    pub fn new(now: f64, config: MembershipConfig, incarnation: u64, seed: u64) -> FleetMember {
        let hello = ClientMessage::Hello {
            fleet: config.fleet.clone(),
            version: VERSION,
            name: config.name.clone(),
            zone: config.zone.clone(),
            process: incarnation,
        };
        let schedules = config.tasks.iter().cloned().enumerate();
        let tasks = schedules.map(|(index, schedule)| ScheduledTask::new(index, schedule)).collect();
        let overload = config.overload.map(|own| FleetOverloadClient::new(now, own, config.drift));
        FleetMember {
            session: Session::new(now, config.coordinators.clone(), seed, hello),
            leases: LeaseHolder::new(config.drift),
            tasks,
            accepting_tasks: true,
            leaving: false,
            replaced: false,
            goodbye_sent: false,
            counters_sent_at: f64::NEG_INFINITY,
            received_totals: None,
            computed_totals: None,
            overload,
            load_sample: None,
            actions: Vec::new(),
            config,
        }
    }

    /// The configuration that it was made with.
    #[must_use]
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// Takes the actions that have accumulated.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, message: ClientMessage) {
        self.actions.push(MemberAction::Send(message));
    }

    fn log(&mut self, event: MembershipEvent) {
        self.actions.push(MemberAction::Log(event));
    }

    fn push_link_actions(&mut self, actions: Vec<LinkAction>) {
        self.actions.extend(actions.into_iter().map(|action| match action {
            LinkAction::Connect(address) => MemberAction::Connect(address),
            LinkAction::Send(message) => MemberAction::Send(message),
            LinkAction::Close => MemberAction::Close,
        }));
    }

    /// Carries out what is due by now. `counters` gives this worker's own, and is asked only when they are sent.
    pub fn tick(&mut self, now: f64, counters: impl FnOnce() -> Counters) {
        let mut link_actions = Vec::new();
        let heartbeat_due = self.session.tick(now, &mut link_actions);
        self.push_link_actions(link_actions);
        if heartbeat_due {
            self.send_heartbeat(now, counters);
        }
        if !self.session.is_established() || !self.may_take_tasks() {
            return;
        }
        for index in 0..self.tasks.len() {
            self.tick_task(now, index);
        }
    }

    fn tick_task(&mut self, now: f64, index: usize) {
        let task = &mut self.tasks[index];
        let request = task.tick(now, &self.leases);
        let failed = task.take_failure_limit_reached().then(|| task.schedule.name.clone());
        if let Some(request) = request {
            self.send(request);
        }
        if let Some(name) = failed {
            self.release(&name, true, false);
        }
    }

    fn send_heartbeat(&mut self, now: f64, counters: impl FnOnce() -> Counters) {
        let seq = self.session.heartbeat_sent(now, self.heartbeat_interval_s());
        let wants = if self.may_take_tasks() { self.wanted_tasks() } else { Vec::new() };
        let counters_due = now - self.counters_sent_at >= COUNTERS_INTERVAL_S;
        if counters_due {
            self.counters_sent_at = now;
        }
        let leases = self.leases.heartbeat_sent(now, seq);
        let sample = self.load_sample.take();
        let load =
            self.overload.as_mut().zip(sample).map(|(client, sample)| client.report(now, seq, &sample));
        let heartbeat = ClientMessage::Heartbeat {
            seq,
            wants,
            leases,
            counters: counters_due.then(counters).filter(|counters| !counters.is_empty()),
            totals: self.computed_totals.take(),
            load,
        };
        self.send(heartbeat);
    }

    /// The shortest of the intervals that leases, the session and load reports need.
    fn heartbeat_interval_s(&self) -> f64 {
        let renewal_s = self.leases.renewal_interval_s().unwrap_or(f64::INFINITY);
        let report_s = if self.overload.is_some() { REPORT_INTERVAL_S } else { f64::INFINITY };
        renewal_s.min(self.session.heartbeat_interval_s).min(report_s)
    }

    /// Whether a heartbeat with a load report is due: [`FleetMember::set_load_sample`] is called before the tick then.
    #[must_use]
    pub fn load_report_due(&self, now: f64) -> bool {
        self.overload.is_some() && self.session.heartbeat_due(now)
    }

    /// What this worker's decision module has counted since the last load report.
    pub fn set_load_sample(&mut self, sample: LoadSample) {
        self.load_sample = Some(sample);
    }

    /// What the decision module may go by now, on the same clock.
    #[must_use]
    pub fn overload_directive(&self, now: f64) -> Option<OverloadDirective> {
        self.overload.as_ref().map(|client| client.directive(now))
    }

    fn may_take_tasks(&self) -> bool {
        self.accepting_tasks && !self.leaving
    }

    /// The tasks for which this worker is a candidate.
    fn wanted_tasks(&self) -> Vec<String> {
        let scheduled = self.tasks.iter().map(|task| task.schedule.name.clone());
        let totals = self.config.computes_totals.then(|| TOTALS.to_owned());
        scheduled.chain(totals).collect()
    }

    /// The link is connected.
    pub fn connected(&mut self) {
        let mut link_actions = Vec::new();
        self.session.connected(&mut link_actions);
        self.push_link_actions(link_actions);
    }

    /// The link is lost, or was closed by either side.
    pub fn disconnected(&mut self, now: f64) {
        if self.session.is_established() {
            self.log(MembershipEvent::SessionLinkLost);
        }
        self.session.disconnected(now);
    }

    /// A scheduled call has ended.
    pub fn call_ended(&mut self, now: f64, task: usize, outcome: CallOutcome) {
        let Some(scheduled) = self.tasks.get_mut(task) else { return };
        if let Some(report) = scheduled.call_ended(now, outcome) {
            let name = scheduled.schedule.name.clone();
            if outcome != CallOutcome::Done {
                self.log(MembershipEvent::ScheduledCallFailed { task: name.clone(), outcome });
            }
            self.send(report);
            if !self.may_take_tasks() {
                self.release(&name, false, self.replaced);
            }
        }
        self.say_goodbye_when_idle();
    }

    fn release(&mut self, task: &str, failed: bool, pass_on: bool) {
        let Some(token) = self.leases.token(task) else { return };
        let lease = LeaseRef { task: task.to_owned(), token };
        self.log(MembershipEvent::LeaseReleased(lease.clone()));
        self.leases.release(task);
        self.send(ClientMessage::ReleaseLease { lease, failed, pass_on });
    }

    /// Releases the leases under which no call is being made.
    fn release_idle(&mut self, pass_on: bool) {
        let leases: Vec<LeaseRef> = self.leases.all().collect();
        for lease in leases {
            let is_calling = |task: &ScheduledTask| task.schedule.name == lease.task && task.is_calling();
            if !self.tasks.iter().any(is_calling) {
                self.release(&lease.task, false, pass_on);
            }
        }
    }

    /// Whether it takes leases: a draining worker releases its own, and takes them again later.
    pub fn set_accepting_tasks(&mut self, now: f64, accepting: bool) {
        if self.accepting_tasks == accepting {
            return;
        }
        self.accepting_tasks = accepting;
        if !accepting {
            self.release_idle(false);
        }
        self.session.heartbeat_now(now);
    }

    /// The worker shuts down, or another process has replaced it: leases are released first, to that process where there is
    /// one.
    pub fn leave(&mut self, replaced: bool) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.replaced = replaced;
        self.release_idle(replaced);
        self.say_goodbye_when_idle();
    }

    /// Closes the session of a worker that leaves, once no call is being made.
    fn say_goodbye_when_idle(&mut self) {
        let is_calling = self.tasks.iter().any(ScheduledTask::is_calling);
        if self.leaving && !self.goodbye_sent && self.session.is_established() && !is_calling {
            self.goodbye_sent = true;
            self.send(ClientMessage::Goodbye);
        }
    }

    /// When something is due next.
    pub fn next_wakeup(&self, now: f64) -> f64 {
        let leased = self.tasks.iter().filter(|task| self.leases.token(&task.schedule.name).is_some());
        let next = leased.map(ScheduledTask::next_wakeup).fold(self.session.next_wakeup(), f64::min);
        if next <= now {
            now + BLOCKED_RECHECK_S
        } else {
            next
        }
    }

    /// Whether its session is established now.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.session.is_established()
    }

    /// Until when, on its clock, this worker believes that nobody else can hold the task's lease.
    #[must_use]
    pub fn lease_valid_until(&self, task: &str) -> Option<f64> {
        self.leases.valid_until(task)
    }

    /// The fencing token under which this worker may begin an action of up to `duration_s` for a task now.
    #[must_use]
    pub fn may_act(&self, now: f64, task: &str, duration_s: f64) -> Option<u64> {
        self.leases.may_act(now, task, duration_s)
    }
}

#[cfg(test)]
mod tests;
