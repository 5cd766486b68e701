//! The dispatcher of one worker: its state, and one short function for each input.

use super::idempotency::{IdempotencyKey, IdempotencyTable};
use super::in_flight::{InFlightTable, LastCommand, PendingCall, SentCommand};
use super::lost_commands::UnconfirmedReply;
use super::metrics::Metrics;
use super::{Command, DispatchEvent, FingerprintKey, Input, ResourceUsage, Response, Ticket};
use crate::admission::Controller;
use crate::fleet::overload::client::LoadSample;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::hot_restart::IndeterminateKeys;
use crate::interface::{Action, Class, Event, LearnedState, Outcome, RequestId, Settings};
use crate::pools::{Pools, PoolsState};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// Expired keys and silent runs are looked for this often (seconds).
const SWEEP_INTERVAL_S: f64 = 1.0;
/// The table holds one key for so many bytes of capacity for results, so that what peers choose can't fill the memory.
const RESULT_BYTES_PER_KEY: usize = 1024;
/// The table holds so many keys at least.
const MIN_KEYS: usize = 256;

/// What the inputs so far have caused.
pub(super) struct Effects<'a> {
    /// The loop's clock (seconds).
    pub(super) now: f64,
    /// What is still to be reported to the controller, in order.
    pub(super) events: VecDeque<Event>,
    /// What the event loop is to do, in order.
    pub(super) commands: &'a mut Vec<Command>,
}

impl<'a> Effects<'a> {
    pub(super) fn new(now: f64, commands: &'a mut Vec<Command>) -> Self {
        Effects { now, events: VecDeque::new(), commands }
    }
}

/// The dispatcher of one worker: it owns the controller, the requests in flight and the idempotency keys.
///
/// Each request that goes in with [`Input::Arrived`] comes out with one [`Command::Respond`], unless its client
/// disconnects first or it is handed off to a successor.
pub struct Dispatcher {
    pub(super) controller: Controller,
    pub(super) in_flight: InFlightTable,
    pub(super) keys: IdempotencyTable,
    /// What bodies are hashed with; the same in a process and its successor.
    pub(super) fingerprint_key: FingerprintKey,
    last_id: RequestId,
    /// What the controller asked for last; empty between events, kept for its capacity.
    pub(super) actions: Vec<Action>,
    swept_at: f64,
    pub(super) classes: Vec<Class>,
    pub(super) unconfirmed_replies: Vec<UnconfirmedReply>,
    /// Requests that were given up before they started, to be released once the controller knows.
    pub(super) abandoned: Vec<RequestId>,
    pub(super) metrics: Metrics,
    pub(super) run_factor: f64,
    pub(super) marks_retries: bool,
    /// What is to be assumed of keys that are not known here.
    pub(super) indeterminate_keys: IndeterminateKeys,
    /// Names of requests that run in the predecessor.
    pub(super) running_in_predecessor: HashSet<Rc<str>>,
    pub(super) predecessor_usage: ResourceUsage,
    /// A successor has taken over and is sent updates about the keys in `updated_keys`.
    pub(super) handed_off: bool,
    pub(super) updated_keys: Vec<IdempotencyKey>,
}

impl Dispatcher {
    /// A dispatcher for a worker that started at `born` (loop's clock, seconds), with so many bytes for retained results.
    /// What the controller wants first is appended to `out`.
    pub fn new(settings: Settings, born: f64, result_bytes: usize, out: &mut Vec<Command>) -> Self {
        let mut actions = Vec::new();
        let classes = settings.classes.clone();
        let longest_deadline_s = classes.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let max_keys = (result_bytes / RESULT_BYTES_PER_KEY).max(MIN_KEYS);
        let run_factor = settings.run_factor;
        let marks_retries = settings.marks_retries;
        let fingerprint_key = FingerprintKey(settings.seed, !settings.seed);
        let mut dispatcher = Dispatcher {
            controller: Controller::new(settings, born, &mut actions),
            in_flight: InFlightTable::default(),
            keys: IdempotencyTable::new(result_bytes, max_keys, longest_deadline_s),
            fingerprint_key,
            last_id: RequestId(0),
            actions,
            swept_at: born,
            metrics: Metrics::new(classes.len()),
            classes,
            unconfirmed_replies: Vec::new(),
            abandoned: Vec::new(),
            run_factor,
            marks_retries,
            indeterminate_keys: IndeterminateKeys::None,
            running_in_predecessor: HashSet::new(),
            predecessor_usage: ResourceUsage::default(),
            handed_off: false,
            updated_keys: Vec::new(),
        };
        dispatcher.carry_out_actions(&mut Effects::new(born, out));
        dispatcher
    }

    /// The state of the class pools, where there are any.
    pub fn pools(&self) -> Option<PoolsState> {
        self.controller.pools().map(Pools::state)
    }

    /// This worker's part in the fleet's overload control, where there is one.
    pub fn overload(&mut self) -> Option<&mut OverloadPolicy> {
        self.controller.overload_policy_mut()
    }

    /// The load to report to the fleet. Taking the sample begins the next one.
    pub fn fleet_load_sample(&mut self, now: f64) -> Option<LoadSample> {
        let totals = self.metrics.classes().iter();
        let (served, rejected) =
            totals.fold((0, 0), |(served, rejected), c| (served + c.success, rejected + c.overload));
        Some(self.controller.overload_policy_mut()?.take_sample(now, served, rejected))
    }

    /// The metrics of the fleet's overload control: names and values.
    pub fn overload_figures(&self) -> Vec<(&'static str, String)> {
        self.controller.overload_policy().map(OverloadPolicy::metrics).unwrap_or_default()
    }

    /// How requests have ended so far, by class.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Adds what was counted before there was a dispatcher.
    pub fn add_metrics(&mut self, earlier: &Metrics) {
        self.metrics.add(earlier);
    }

    /// Requests whose response has not been given.
    pub fn pending_responses(&self) -> usize {
        self.in_flight.pending_responses()
    }

    /// Whether a request of this name is in flight: a second one would be rejected as a conflict.
    pub fn is_in_flight(&self, name: &str) -> bool {
        self.in_flight.id_of(name).is_some()
    }

    /// When a request in flight reached the machine (loop's clock, seconds); for tests and logs.
    pub fn arrival_of(&self, name: &str) -> Option<f64> {
        let id = self.in_flight.id_of(name)?;
        self.in_flight.get(id).map(|r| r.arrived)
    }

    /// Takes all inputs of one turn of the event loop, in order, and appends what is to be done.
    pub fn handle(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Command>) {
        let mut effects = Effects::new(now, out);
        for input in inputs {
            self.apply_input(input, &mut effects);
            self.run_controller(&mut effects);
            self.release_abandoned();
        }
        self.resend_unconfirmed_replies(&mut effects);
        if now - self.swept_at >= SWEEP_INTERVAL_S {
            self.swept_at = now;
            self.keys.remove_expired(now);
            self.end_silent_runs(&mut effects);
        }
        self.send_key_updates(effects.commands);
        // Only requests that have ended everywhere leave the controller; their numbers are never used again.
        self.controller.take_released();
    }

    /// A number that no request and no key has had.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Reports to the controller what has happened, and carries out what it decides, until no event is left.
    pub(super) fn run_controller(&mut self, effects: &mut Effects<'_>) {
        while let Some(event) = effects.events.pop_front() {
            self.controller.handle(effects.now, event, &mut self.actions);
            self.carry_out_actions(effects);
        }
    }

    fn apply_input(&mut self, input: Input, effects: &mut Effects<'_>) {
        match input {
            Input::Arrived(request) => self.accept_arrival(request, effects),
            Input::RunEnded { name, outcome, result } => self.on_run_ended(&name, outcome, result, effects),
            Input::AtCall { name, body, sequence } => {
                self.on_at_call(&name, PendingCall { body, sequence }, effects)
            }
            Input::CallEnded { name, outcome, reply } => self.on_call_ended(name, outcome, reply, effects),
            Input::NeverRan { name } => self.on_never_ran(&name, Response::not_started(), effects),
            // To the controller it is a start that came too late: what a peer makes up is no sign of bad health.
            Input::UnknownRequest { name } => self.on_never_ran(&name, Response::Failed, effects),
            Input::CommandsLost { from, to } => self.resend_lost_commands(from..to, effects),
            Input::ClientDisconnected(ticket) => self.on_client_disconnected(ticket, effects),
            Input::RunsLost => self.fail_all_runs(effects),
            Input::Shutdown { notice, stop } => {
                let (ago_s, in_s) = (effects.now - notice, stop - effects.now);
                effects.events.push_back(Event::Shutdown { ago_s, in_s });
            }
            Input::RespondAll => self.respond_to_all(effects),
            Input::Woken(gauges) => effects.events.push_back(Event::Woken(gauges)),
            Input::Pools(plan) => effects.events.push_back(Event::Pools(plan)),
            Input::IdempotencyUpdate(update) => self.apply_key_update(&update, effects),
            Input::PredecessorGone => self.on_predecessor_gone(effects),
            Input::OtherProcess { on_cores, calling, kb } => {
                self.set_predecessor_usage(ResourceUsage { on_cores, calling, kb }, effects);
            }
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
        // Nothing was started, as the request is over. Where its run was commanded twice, that proves less: then its
        // key stays as it is.
        let commanded_once = self.in_flight.get(id).is_some_and(|r| r.run_commanded_once());
        if outcome == Outcome::NotStarted && commanded_once {
            self.complete_never_ran(id, &Response::not_started(), effects);
        } else {
            self.complete_run(id, outcome, result, effects);
        }
    }

    fn on_never_ran(&mut self, name: &str, response: Response, effects: &mut Effects<'_>) {
        if let Some(id) = self.in_flight.id_of(name) {
            self.complete_never_ran(id, &response, effects);
        }
    }

    fn on_at_call(&mut self, name: &str, call: PendingCall, effects: &mut Effects<'_>) {
        let Some((id, in_flight)) = self.in_flight.by_name_mut(name) else { return };
        in_flight.pending_call = Some(call);
        in_flight.last_command = None;
        effects.events.push_back(Event::AtCall(id));
    }

    fn on_call_ended(
        &mut self,
        name: Rc<str>,
        outcome: Outcome,
        reply: Option<Rc<[u8]>>,
        effects: &mut Effects<'_>,
    ) {
        let Some((id, in_flight)) = self.in_flight.by_name_mut(&name) else { return };
        if !std::mem::take(&mut in_flight.calling) {
            return;
        }
        if let (Outcome::Ok, Some(reply)) = (outcome, reply) {
            let sequence = in_flight.pending_call.take().map_or(0, |call| call.sequence);
            let command = LastCommand::Resume { reply: reply.clone(), sequence };
            in_flight.last_command = Some(SentCommand { at: effects.now, command });
            effects.commands.push(Command::Resume { name, reply });
        }
        effects.events.push_back(Event::CallEnded { id, outcome });
    }

    fn on_client_disconnected(&mut self, ticket: Ticket, effects: &mut Effects<'_>) {
        let Some((id, in_flight)) = self.in_flight.mark_disconnected(ticket) else { return };
        self.metrics.record_disconnect(in_flight.request.class);
        // A run goes on, and its result is retained for the next attempt.
        if !in_flight.started {
            effects.events.push_back(Event::CallerGone(id));
            self.abandoned.push(id);
        }
    }

    pub(super) fn set_predecessor_usage(&mut self, usage: ResourceUsage, effects: &mut Effects<'_>) {
        self.predecessor_usage = usage;
        let ResourceUsage { on_cores, calling, kb } = usage;
        effects.events.push_back(Event::OtherProcess { on_cores, calling, kb });
    }
}

fn on_learned_state(learned: LearnedState, effects: &mut Effects<'_>) {
    if learned.is_sound() {
        effects.events.push_back(Event::LearnedState(learned));
    } else {
        effects.commands.push(Command::Log(DispatchEvent::LearnedStateRejected));
    }
}
