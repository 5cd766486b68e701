//! Hot restart of the dispatcher. Requests that have not started are handed off to the successor, started runs stay in
//! this process, and the successor is sent updates about idempotency keys.
//!
//! All times are on the event loop's clock (seconds). The caller converts them to Unix time for the other process.

use super::effects::Effects;
use super::idempotency::{Entry, IdempotencyKey, IdempotencyUpdate, KeyProgress};
use super::{Command, Dispatcher, Request, ResourceUsage, Response, Ticket};
use crate::hot_restart::{FingerprintKey, IndeterminateKeys};
use crate::interface::{Event, LearnedState, Outcome, RequestId};
use std::collections::HashSet;
use std::rc::Rc;

/// A request that has not started, with its times (event loop's clock, seconds).
#[derive(Clone, Debug)]
pub struct HandedOffRequest {
    /// The request, as it was read.
    pub request: Request,
    /// When it arrived at the machine.
    pub arrived: f64,
    /// When its caller stops waiting.
    pub deadline: f64,
}

impl HandedOffRequest {
    /// Returns the request as a frontend would pass it in at `now`.
    #[must_use]
    pub fn at(&self, now: f64) -> Request {
        Request {
            read_at: Some(now),
            read_delay_s: (now - self.arrived).max(0.0),
            time_left_s: (self.deadline - now).max(0.0),
            ..self.request.clone()
        }
    }
}

/// State that a dispatcher hands off to its successor.
#[derive(Debug)]
pub struct HandOffState {
    /// Hash key of body fingerprints.
    pub fingerprint_key: FingerprintKey,
    /// Learned state of the controller.
    pub learned: LearnedState,
    /// Names of the requests that stay in this process, whether or not they have started, and of those known to run in
    /// its own predecessor.
    pub running: Vec<Rc<str>>,
    /// State of all keys whose request may have run.
    pub keys: Vec<IdempotencyUpdate>,
    /// Requests that have not started, in the order in which they were read.
    pub requests: Vec<HandedOffRequest>,
}

impl Dispatcher {
    /// Sets which keys outside the table may have run in another process.
    pub fn set_indeterminate_keys(&mut self, indeterminate_keys: IndeterminateKeys) {
        self.indeterminate_keys = indeterminate_keys;
    }

    /// Takes over the predecessor's fingerprint key and the names of the requests that run there. Must be called while
    /// the table of idempotency keys is empty, because fingerprints under different hash keys do not match.
    pub fn inherit_from_predecessor(&mut self, fingerprint_key: FingerprintKey, running: Vec<Rc<str>>) {
        self.fingerprint_key = fingerprint_key;
        self.running_in_predecessor = running.into_iter().collect();
    }

    /// Returns whether no request is in flight, that is, no response is pending and no run is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns the combined resource usage of this process and its predecessor.
    #[must_use]
    pub fn usage(&self) -> ResourceUsage {
        let mut usage = self.predecessor_usage;
        for in_flight in self.in_flight.values() {
            let on_core = in_flight.has_started() && in_flight.pending_call.is_none();
            let memory_factor = if in_flight.has_started() { self.run_memory_factor } else { 1.0 };
            usage.on_cores += usize::from(on_core);
            usage.downstream_calls += usize::from(in_flight.calling);
            usage.memory_kb += in_flight.request.memory_kb * memory_factor;
        }
        usage
    }

    /// Hands off the requests that have not started and whose response another process can send, as `can_hand_off`
    /// decides. Started runs stay here, together with the attempts that wait for them.
    pub fn hand_off(
        &mut self,
        now: f64,
        can_hand_off: impl Fn(Ticket) -> bool,
        out: &mut Vec<Command>,
    ) -> HandOffState {
        let requests = self.hand_off_requests(&can_hand_off, &mut Effects::new(now, out));
        self.updated_keys.clear();
        self.handed_off = true;
        HandOffState {
            fingerprint_key: self.fingerprint_key,
            learned: self.learned_without(&requests),
            running: self.names_in_this_or_earlier_processes(),
            keys: self.keys.keys().map(|key| self.keys.update_for(&key)).collect(),
            requests,
        }
    }

    /// The names that the successor must not run: a request that stays here may start after the hand-off.
    fn names_in_this_or_earlier_processes(&self) -> Vec<Rc<str>> {
        let in_flight = self.in_flight.values().map(|in_flight| &in_flight.request.name);
        in_flight.chain(&self.running_in_predecessor).cloned().collect()
    }

    fn hand_off_requests(
        &mut self,
        can_hand_off: &impl Fn(Ticket) -> bool,
        effects: &mut Effects<'_>,
    ) -> Vec<HandedOffRequest> {
        let waiting: HashSet<RequestId> = self.keys.waiting_attempts().collect();
        let mut handed_off = Vec::new();
        for id in self.in_flight.ids_where(|id, _| !waiting.contains(&id)) {
            // Handing off earlier requests may have freed capacity and started this one.
            let not_started = self.in_flight.get(id).filter(|r| !r.has_started() && !r.responded);
            let Some(in_flight) = not_started.filter(|r| can_hand_off(r.request.ticket)) else { continue };
            let request = in_flight.request.clone();
            handed_off.push(HandedOffRequest {
                request,
                arrived: in_flight.arrived,
                deadline: in_flight.deadline,
            });
            self.in_flight.mark_responded(id);
            effects.events.push_back(Event::CallerDisconnected(id));
            self.run_controller(effects);
            self.release(id);
        }
        handed_off
    }

    /// Returns the controller's learned state with these requests refunded to their tenants' quotas, because the
    /// successor decides on them and charges them again.
    fn learned_without(&self, requests: &[HandedOffRequest]) -> LearnedState {
        let mut learned = self.controller.learned();
        for tenant in requests.iter().filter_map(|r| r.request.tenant) {
            if let Some(quota) = learned.traffic.tenants.get_mut(tenant) {
                quota.tokens += 1.0;
                quota.arrivals = (quota.arrivals - 1.0).max(0.0);
            }
        }
        learned
    }

    /// Ends the hand-off after the successor has exited; key updates are no longer sent.
    pub fn end_hand_off(&mut self) {
        self.handed_off = false;
        self.updated_keys.clear();
    }

    /// Sends the successor, if there is one, an update for each changed key.
    pub(super) fn send_key_updates(&mut self, commands: &mut Vec<Command>) {
        let keys = &self.keys;
        let handed_off = self.handed_off;
        // `drain` keeps the list's allocation, unlike `mem::take`.
        let updated = self.updated_keys.drain(..).filter(|_| handed_off);
        commands.extend(updated.map(|key| Command::IdempotencyUpdate(keys.update_for(&key))));
    }

    /// Applies the predecessor's update about a key. An unknown key is added to the table. If the predecessor started
    /// the key's run and reports its end, the attempts that wait for it here are completed.
    pub(super) fn apply_key_update(&mut self, update: &IdempotencyUpdate, effects: &mut Effects<'_>) {
        let Some(entry) = self.keys.get_mut(&update.key) else {
            let holder = self.next_id();
            self.keys.adopt(update, holder);
            self.updated_keys.push(update.key.clone());
            return;
        };
        if !entry.is_open_in_other_process() {
            return;
        }
        let holder = entry.holder;
        match update.progress.clone() {
            Some(KeyProgress::Open) => {}
            Some(progress) => self.complete_key(&update.key, holder, progress, effects),
            None => self.complete_never_ran_elsewhere(&update.key, holder, effects),
        }
    }

    /// Releases a key whose run certainly never started in the predecessor.
    fn complete_never_ran_elsewhere(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        effects: &mut Effects<'_>,
    ) {
        let take_attempts = |entry: &mut Entry| std::mem::take(&mut entry.waiting_attempts);
        let attempts = self.keys.get_mut(key).map(take_attempts).unwrap_or_default();
        self.keys.release(key, holder);
        self.updated_keys.push(key.clone());
        self.complete_all(attempts, &Response::not_started(), Outcome::NotStarted, effects);
    }

    /// Completes the keys that were open in the predecessor as failed: it has exited, and whether their runs had an
    /// effect can no longer be determined.
    pub(super) fn on_predecessor_exited(&mut self, effects: &mut Effects<'_>) {
        self.running_in_predecessor = HashSet::new();
        self.set_predecessor_usage(ResourceUsage::default(), effects);
        for open in self.keys.open_in_other_process() {
            self.complete_key(&open.key, open.holder, KeyProgress::Failed, effects);
        }
    }
}
