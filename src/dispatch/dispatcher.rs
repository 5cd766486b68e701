//! The [`Dispatcher`]: its state, and the handling of each input.

use super::effects::Effects;
use super::idempotency::{IdempotencyKey, IdempotencyTable};
use super::in_flight::{InFlight, InFlightTable, LastCommand, PendingCall, SentCommand};
use super::metrics::Metrics;
use super::{Command, DispatchEvent, Input, ResourceUsage, Response, Ticket};
use crate::admission::Controller;
use crate::fleet::overload::client::LoadSample;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::hot_restart::{FingerprintKey, IndeterminateKeys};
use crate::interface::{Action, Class, Event, LearnedState, Outcome, RequestId, Settings};
use crate::pools::{Pools, PoolsState};
use std::collections::HashSet;
use std::rc::Rc;

/// Interval between searches for expired keys and overdue runs (seconds).
const SWEEP_INTERVAL_S: f64 = 1.0;
/// The table accepts one key per this much result capacity (bytes). Bounds the memory that callers can fill with keys.
const RESULT_BYTES_PER_KEY: usize = 1024;
/// Lower bound on the number of keys that the table accepts, whatever its result capacity.
const MIN_KEYS: usize = 256;

/// The dispatcher of one worker. Owns the admission controller, the requests in flight and the idempotency keys.
///
/// Each [`Input::Arrived`] or [`Input::ArrivedWithoutTenant`] leads to exactly one [`Command::Respond`], unless the client
/// disconnects first or the request is handed off to a successor.
pub struct Dispatcher {
    pub(super) controller: Controller,
    pub(super) in_flight: InFlightTable,
    pub(super) keys: IdempotencyTable,
    /// Hash key of body fingerprints; a successor uses the same one.
    pub(super) fingerprint_key: FingerprintKey,
    last_id: RequestId,
    /// The controller's actions for the current event. Empty between events; kept to reuse its allocation.
    pub(super) actions: Vec<Action>,
    /// When expired keys and overdue runs were last searched for (event loop's clock, seconds).
    last_sweep_at: f64,
    /// Settings of the classes, by index.
    pub(super) classes: Vec<Class>,
    /// Requests that have not started and whose client no longer waits. Released once the controller has handled their
    /// [`Event::CallerDisconnected`].
    pub(super) abandoned: Vec<RequestId>,
    pub(super) metrics: Metrics,
    /// Ratio of the memory that a request takes while it runs to what it takes while queued.
    pub(super) run_memory_factor: f64,
    /// Whether callers mark retries as such.
    pub(super) marks_retries: bool,
    /// Determines which keys outside the table may have run in another process.
    pub(super) indeterminate_keys: IndeterminateKeys,
    /// Names of the requests that run in the predecessor.
    pub(super) running_in_predecessor: HashSet<Rc<str>>,
    /// The predecessor's use of the shared resources.
    pub(super) predecessor_usage: ResourceUsage,
    /// Whether a successor has taken over and must be sent key updates.
    pub(super) handed_off: bool,
    /// Keys that have changed since updates were last sent.
    pub(super) updated_keys: Vec<IdempotencyKey>,
}

impl Dispatcher {
    /// Creates the dispatcher of a worker that started at `started_at` (event loop's clock, seconds). It retains up to
    /// `result_bytes` bytes of results in total. The controller's first commands are appended to `out`.
    pub fn new(settings: Settings, started_at: f64, result_bytes: usize, out: &mut Vec<Command>) -> Self {
        let mut actions = Vec::new();
        let classes = settings.classes.clone();
        let longest_deadline_s = classes.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let max_keys = (result_bytes / RESULT_BYTES_PER_KEY).max(MIN_KEYS);
        let run_memory_factor = settings.run_memory_factor;
        let marks_retries = settings.marks_retries;
        let fingerprint_key = FingerprintKey(settings.seed, !settings.seed);
        let mut dispatcher = Dispatcher {
            controller: Controller::new(settings, started_at, &mut actions),
            in_flight: InFlightTable::default(),
            keys: IdempotencyTable::new(result_bytes, max_keys, longest_deadline_s),
            fingerprint_key,
            last_id: RequestId(0),
            actions,
            last_sweep_at: started_at,
            metrics: Metrics::new(classes.len()),
            classes,
            abandoned: Vec::new(),
            run_memory_factor,
            marks_retries,
            indeterminate_keys: IndeterminateKeys::None,
            running_in_predecessor: HashSet::new(),
            predecessor_usage: ResourceUsage::default(),
            handed_off: false,
            updated_keys: Vec::new(),
        };
        dispatcher.execute_actions(&mut Effects::new(started_at, out));
        dispatcher
    }

    /// Returns the state of the class pools; `None` if there are no pools.
    #[must_use]
    pub fn pools(&self) -> Option<PoolsState> {
        self.controller.pools().map(Pools::state)
    }

    /// Returns the worker's policy for fleet-wide overload control; `None` outside a fleet.
    pub fn overload(&mut self) -> Option<&mut OverloadPolicy> {
        self.controller.overload_policy_mut()
    }

    /// Returns the load since the last sample, for the report to the fleet; `None` outside a fleet.
    pub fn fleet_load_sample(&mut self, now: f64) -> Option<LoadSample> {
        let totals = self.metrics.classes().iter();
        let (served, rejected) =
            totals.fold((0, 0), |(served, rejected), c| (served + c.success, rejected + c.overload));
        Some(self.controller.overload_policy_mut()?.take_sample(now, served, rejected))
    }

    /// Returns the names and values of the overload-control metrics; empty outside a fleet.
    #[must_use]
    pub fn overload_metrics(&self) -> Vec<(&'static str, String)> {
        self.controller.overload_policy().map(OverloadPolicy::metrics).unwrap_or_default()
    }

    /// Returns the counters of requests and runs, by class.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Adds counts from before the dispatcher was created.
    pub fn add_metrics(&mut self, earlier: &Metrics) {
        self.metrics.add(earlier);
    }

    /// Returns the number of requests whose response is pending.
    #[must_use]
    pub fn pending_responses(&self) -> usize {
        self.in_flight.pending_responses()
    }

    /// Returns whether a request with this name is in flight. A second one would get [`Response::Conflict`].
    #[must_use]
    pub fn is_in_flight(&self, name: &str) -> bool {
        self.in_flight.id_of(name).is_some()
    }

    /// Returns when a request in flight arrived at the machine (event loop's clock, seconds); for tests and logs.
    #[must_use]
    pub fn arrival_of(&self, name: &str) -> Option<f64> {
        let id = self.in_flight.id_of(name)?;
        self.in_flight.get(id).map(|r| r.arrived)
    }

    /// Processes the inputs of one turn of the event loop, in order, and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Command>) {
        let mut effects = Effects::new(now, out);
        for input in inputs {
            self.apply_input(input, &mut effects);
            self.run_controller(&mut effects);
            self.release_abandoned();
        }
        if now - self.last_sweep_at >= SWEEP_INTERVAL_S {
            self.last_sweep_at = now;
            self.keys.remove_expired(now);
            self.end_overdue_runs(&mut effects);
        }
        self.send_key_updates(effects.commands);
        // The released IDs are discarded: the dispatcher removes ended requests by itself, and no ID is used again.
        self.controller.take_released();
    }

    /// Returns an ID that no request or key has used before.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Passes events to the controller and executes its actions until no event is left.
    pub(super) fn run_controller(&mut self, effects: &mut Effects<'_>) {
        while let Some(event) = effects.events.pop_front() {
            self.controller.handle(effects.now, event, &mut self.actions);
            self.execute_actions(effects);
        }
    }

    fn apply_input(&mut self, input: Input, effects: &mut Effects<'_>) {
        match input {
            Input::Arrived(request) => self.accept_arrival(request, None, effects),
            Input::ArrivedWithoutTenant { request, error } => {
                self.accept_arrival(request, Some(error), effects);
            }
            Input::RunEnded { name, outcome, result } => self.on_run_ended(&name, outcome, result, effects),
            Input::AtCall { name, body, sequence } => {
                self.on_at_call(&name, PendingCall { body, sequence }, effects);
            }
            Input::CallEnded { name, outcome, reply } => self.on_call_ended(name, outcome, reply, effects),
            Input::NeverRan { name } => self.on_never_ran(&name, &Response::not_started(), effects),
            // The controller treats this as a start that came too late. It must not count as a failed run: a peer that
            // sends invented requests would make this worker unhealthy.
            Input::UnknownRequest { name } => self.on_never_ran(&name, &Response::Failed, effects),
            Input::CommandsLost { from, to } => self.resend_lost_commands(from..to, effects),
            Input::ClientDisconnected(ticket) => self.on_client_disconnected(ticket, effects),
            Input::RunsLost => self.fail_all_runs(effects),
            Input::Shutdown { noticed_at, stop_at } => {
                let since_notice_s = effects.now - noticed_at;
                let until_stop_s = stop_at - effects.now;
                effects
                    .events
                    .push_back(Event::Shutdown { notice_age_s: since_notice_s, stop_in_s: until_stop_s });
            }
            Input::RespondAll => self.respond_to_all(effects),
            Input::Woken(gauges) => effects.events.push_back(Event::Woken(gauges)),
            Input::Pools(plan) => effects.events.push_back(Event::Pools(plan)),
            Input::IdempotencyUpdate(update) => self.apply_key_update(&update, effects),
            Input::PredecessorExited => self.on_predecessor_exited(effects),
            Input::PredecessorUsage(usage) => self.set_predecessor_usage(usage, effects),
            Input::LearnedState(learned) => on_learned_state(learned, effects),
        }
    }

    fn on_run_ended(
        &mut self,
        name: &str,
        outcome: Outcome,
        result: Option<Rc<[u8]>>,
        effects: &mut Effects<'_>,
    ) {
        let Some(id) = self.in_flight.id_of(name) else { return };
        // `NotStarted` means that the backend started no run, because the request had already ended. If the run was
        // commanded twice, the first command may still have started a run, so the key must be retained.
        let commanded_once = self.in_flight.get(id).is_some_and(InFlight::run_commanded_once);
        if outcome == Outcome::NotStarted && commanded_once {
            self.complete_never_ran(id, &Response::not_started(), effects);
        } else {
            self.complete_run(id, outcome, result, effects);
        }
    }

    fn on_never_ran(&mut self, name: &str, response: &Response, effects: &mut Effects<'_>) {
        if let Some(id) = self.in_flight.id_of(name) {
            self.complete_never_ran(id, response, effects);
        }
    }

    fn on_at_call(&mut self, name: &str, call: PendingCall, effects: &mut Effects<'_>) {
        let Some((id, in_flight)) = self.in_flight.by_name_mut(name) else { return };
        in_flight.pending_call = Some(call);
        in_flight.last_command = None;
        effects.events.push_back(Event::CallRequested(id));
    }

    fn on_call_ended(
        &mut self,
        name: Rc<str>,
        outcome: Outcome,
        reply: Option<Rc<[u8]>>,
        effects: &mut Effects<'_>,
    ) {
        let Some((id, in_flight)) = self.in_flight.by_name_mut(&name) else { return };
        if !in_flight.calling {
            return;
        }
        in_flight.calling = false;
        if let (Outcome::Ok, Some(reply)) = (outcome, reply) {
            let sequence = in_flight.pending_call.take().map_or(0, |call| call.sequence);
            let command = LastCommand::Resume { sequence };
            in_flight.last_command = Some(SentCommand { at: effects.now, command });
            effects.commands.push(Command::Resume { name, reply });
        }
        effects.events.push_back(Event::CallEnded { id, outcome });
    }

    fn on_client_disconnected(&mut self, ticket: Ticket, effects: &mut Effects<'_>) {
        let Some((id, in_flight)) = self.in_flight.mark_disconnected(ticket) else { return };
        self.metrics.record_disconnect(in_flight.request.class);
        // A started run continues, and its result is retained for the next attempt.
        if !in_flight.has_started() {
            effects.events.push_back(Event::CallerDisconnected(id));
            self.abandoned.push(id);
        }
    }

    pub(super) fn set_predecessor_usage(&mut self, usage: ResourceUsage, effects: &mut Effects<'_>) {
        self.predecessor_usage = usage;
        let ResourceUsage { on_cores, downstream_calls: calling, memory_kb: kb } = usage;
        effects.events.push_back(Event::OtherProcess { on_cores, calling, memory_kb: kb });
    }
}

fn on_learned_state(learned: LearnedState, effects: &mut Effects<'_>) {
    if learned.is_valid() {
        effects.events.push_back(Event::LearnedState(learned));
    } else {
        effects.commands.push(Command::Log(DispatchEvent::LearnedStateRejected));
    }
}
