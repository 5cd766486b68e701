//! One worker's membership: the state machine that combines session, leases, scheduled tasks and overload control. All times
//! are on the membership's clock (seconds), which advances while the machine is suspended.

mod events;
mod heartbeat;
mod leaving;
mod metrics;
mod receive;

use leaving::LeaveState;

pub use events::{LeaseLossCause, MembershipEvent};

use super::config::{Incarnation, MembershipConfig};
use super::frame::{CallOutcome, ClientMessage, Counters, FleetTotals, VERSION};
use super::lease_holder::LeaseHolder;
use super::overload::client::{FleetOverloadClient, LoadSample, OverloadDirective};
use super::session::{LinkAction, Session};
use super::tasks::{ScheduledCall, ScheduledTask};
use super::totals::{ReceivedTotals, TOTALS_TASK};
use std::net::SocketAddr;

/// Delay of the next wake-up while due work is blocked, for example by an expired lease (seconds).
const RECHECK_INTERVAL_S: f64 = 0.05;

/// An action for the owner of a [`FleetMember`] to perform. Actions must be performed in order.
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
    /// Write a log event.
    Log(MembershipEvent),
}

/// State machine of one worker's membership.
pub struct FleetMember {
    config: MembershipConfig,
    session: Session,
    leases: LeaseHolder,
    tasks: Vec<ScheduledTask>,
    /// Whether this worker accepts leases; `false` while it is draining.
    accepting_tasks: bool,
    /// `None` until the worker starts to leave its fleet.
    leave_state: Option<LeaveState>,
    counters_sent_at: f64,
    /// The fleet's totals that were last received.
    received_totals: Option<ReceivedTotals>,
    /// Totals that this worker has computed but not sent yet.
    computed_totals: Option<FleetTotals>,
    overload: Option<FleetOverloadClient>,
    /// The sample for the load report in the next heartbeat.
    load_sample: Option<LoadSample>,
    actions: Vec<MemberAction>,
}

impl FleetMember {
    /// Creates a member that is not connected yet. `seed` randomizes the backoffs.
    #[must_use]
    pub fn new(now: f64, config: MembershipConfig, incarnation: Incarnation, seed: u64) -> FleetMember {
        let hello = ClientMessage::Hello {
            fleet: config.fleet.clone(),
            version: VERSION,
            name: config.name.clone(),
            zone: config.zone.clone(),
            process: incarnation.0,
        };
        let schedules = config.tasks.iter().cloned().enumerate();
        let tasks = schedules.map(|(index, schedule)| ScheduledTask::new(index, schedule)).collect();
        let overload =
            config.overload.map(|base_calls| FleetOverloadClient::new(now, base_calls, config.drift));
        FleetMember {
            session: Session::new(now, config.coordinators.clone(), seed, hello),
            leases: LeaseHolder::new(config.drift),
            tasks,
            accepting_tasks: true,
            leave_state: None,
            counters_sent_at: f64::NEG_INFINITY,
            received_totals: None,
            computed_totals: None,
            overload,
            load_sample: None,
            actions: Vec::new(),
            config,
        }
    }

    /// The configuration of this membership.
    #[must_use]
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// Takes the accumulated actions.
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

    /// Connects, abandons a link that does not answer, sends a heartbeat, and requests periods of tasks, as far as each is
    /// due. `counters` returns this worker's counters; it is called only if they are due.
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

    /// The tasks for which this worker requests a lease.
    fn wanted_tasks(&self) -> Vec<String> {
        let scheduled = self.tasks.iter().map(|task| task.schedule.name.clone());
        let totals = self.config.computes_totals.then(|| TOTALS_TASK.to_owned());
        scheduled.chain(totals).collect()
    }

    /// Called when the link is connected.
    pub fn connected(&mut self) {
        let mut link_actions = Vec::new();
        self.session.connected(&mut link_actions);
        self.push_link_actions(link_actions);
    }

    /// Called when the link is lost, or was closed by either side.
    pub fn disconnected(&mut self, now: f64) {
        if self.session.is_established() {
            self.log(MembershipEvent::SessionLinkLost);
        }
        self.session.disconnected(now);
    }

    /// Called when a scheduled call has ended. `task` is the index of its task in the configuration.
    pub fn call_ended(&mut self, now: f64, task: usize, outcome: CallOutcome) {
        if let Some(report) = self.report_call_end(now, task, outcome) {
            self.send(report);
            if !self.may_take_tasks() {
                let name = self.tasks[task].schedule.name.clone();
                self.release(&name, false, self.is_replaced());
            }
        }
        self.send_goodbye_when_idle();
    }

    /// Ends a scheduled call and returns the report of its outcome; `None` if no call of the task was in flight.
    fn report_call_end(&mut self, now: f64, task: usize, outcome: CallOutcome) -> Option<ClientMessage> {
        let scheduled = self.tasks.get_mut(task)?;
        let report = scheduled.call_ended(now, outcome)?;
        if outcome != CallOutcome::Done {
            let task = scheduled.schedule.name.clone();
            self.log(MembershipEvent::ScheduledCallFailed { task, outcome });
        }
        Some(report)
    }

    /// When the next tick is due.
    #[must_use]
    pub fn next_wakeup(&self, now: f64) -> f64 {
        let leased = self.tasks.iter().filter(|task| self.leases.token(&task.schedule.name).is_some());
        let next = leased.map(ScheduledTask::next_wakeup).fold(self.session.next_wakeup(), f64::min);
        if next <= now {
            now + RECHECK_INTERVAL_S
        } else {
            next
        }
    }

    /// Whether the session is currently established.
    #[must_use]
    pub fn has_established_session(&self) -> bool {
        self.session.is_established()
    }

    /// Until when no other process can hold the task's lease; `None` if this worker does not hold it or has not renewed it
    /// yet.
    #[must_use]
    pub fn lease_valid_until(&self, task: &str) -> Option<f64> {
        self.leases.valid_until(task)
    }

    /// The fencing token under which an action of up to `duration_s` seconds may start for a task now; `None` if the lease is
    /// not held, has not been renewed yet, or may expire before the action ends.
    #[must_use]
    pub fn may_act(&self, now: f64, task: &str, duration_s: f64) -> Option<u64> {
        self.leases.may_act(now, task, duration_s)
    }
}

#[cfg(test)]
mod tests;
