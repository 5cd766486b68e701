//! What a dispatcher does for a hot restart: requests that have not started are handed off to the successor, runs stay
//! where they are, and the successor learns what becomes of idempotency keys.
//!
//! All times are on the loop's clock; whoever sends them to another process converts them to Unix time.

use super::dispatcher::Effects;
use super::idempotency::{Entry, IdempotencyKey, IdempotencyUpdate, KeyProgress};
use super::{Command, Dispatcher, Request, Response, Ticket};
use crate::hot_restart::IndeterminateKeys;
use crate::interface::{Event, LearnedState, Outcome, RequestId};
use siphasher::sip::SipHasher13;
use std::collections::HashSet;
use std::rc::Rc;

/// The secret with which the bodies of keyed requests are hashed (SipHash-1-3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintKey(pub u64, pub u64);

/// What a process uses of the resources that it shares with its successor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Runs on the cores.
    pub on_cores: usize,
    /// Downstream calls in flight.
    pub calling: usize,
    /// Memory of queued and running requests, by the executor's accounting (KB).
    pub kb: f64,
}

/// A request that has not been started, with its times (loop's clock, seconds).
#[derive(Clone, Debug)]
pub struct HandedOffRequest {
    /// The request, as it was read.
    pub request: Request,
    /// When it reached the machine.
    pub arrived: f64,
    /// Its deadline.
    pub due: f64,
}

impl HandedOffRequest {
    /// The request as one that is read now.
    #[must_use]
    pub fn at(&self, now: f64) -> Request {
        Request {
            read_at: Some(now),
            read_delay_s: (now - self.arrived).max(0.0),
            time_left_s: (self.due - now).max(0.0),
            ..self.request.clone()
        }
    }
}

/// What a successor is given.
#[derive(Debug)]
pub struct HandedOff {
    /// What bodies are hashed with.
    pub fingerprint_key: FingerprintKey,
    /// What the controller has learned.
    pub learned: LearnedState,
    /// Names of requests that run here.
    pub running: Vec<Rc<str>>,
    /// All keys that may have run.
    pub keys: Vec<IdempotencyUpdate>,
    /// In the order in which they were read.
    pub requests: Vec<HandedOffRequest>,
}

impl Dispatcher {
    /// Identifies the body of a keyed request; the same in every version of the program.
    pub(super) fn fingerprint(&self, body: &[u8]) -> u64 {
        SipHasher13::new_with_keys(self.fingerprint_key.0, self.fingerprint_key.1).hash(body)
    }

    /// Sets what is to be assumed of keys that are not known here.
    pub fn set_indeterminate_keys(&mut self, indeterminate_keys: IndeterminateKeys) {
        self.indeterminate_keys = indeterminate_keys;
    }

    /// Sets what bodies are hashed with: a secret that nobody can guess. Only while no key is known.
    pub fn set_fingerprint_key(&mut self, key: FingerprintKey) {
        self.fingerprint_key = key;
    }

    /// Takes over how the predecessor hashes bodies, and the names of the requests that run there. Only while no key is
    /// known.
    pub fn succeed(&mut self, fingerprint_key: FingerprintKey, running: Vec<Rc<str>>) {
        self.fingerprint_key = fingerprint_key;
        self.running_in_predecessor = running.into_iter().collect();
    }

    /// Whether no request is in flight: no response is pending, and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// What this process and its predecessor use.
    pub fn usage(&self) -> ResourceUsage {
        let mut usage = self.predecessor_usage;
        for in_flight in self.in_flight.values() {
            let on_core = in_flight.started && in_flight.pending_call.is_none();
            usage.on_cores += usize::from(on_core);
            usage.calling += usize::from(in_flight.calling);
            usage.kb += in_flight.request.kb * if in_flight.started { self.run_factor } else { 1.0 };
        }
        usage
    }

    /// Gives away the requests that have not been started, where `can_hand_off` says that another process may deliver
    /// the response. Runs stay here with the attempts that wait for them.
    pub fn hand_off(
        &mut self,
        now: f64,
        can_hand_off: impl Fn(Ticket) -> bool,
        out: &mut Vec<Command>,
    ) -> HandedOff {
        let requests = self.hand_off_requests(&can_hand_off, &mut Effects::new(now, out));
        self.updated_keys.clear();
        self.handed_off = true;
        HandedOff {
            fingerprint_key: self.fingerprint_key,
            learned: self.learned_without(&requests),
            running: self.in_flight.values().filter(|r| r.started).map(|r| r.request.name.clone()).collect(),
            keys: self.keys.keys().map(|key| self.keys.update_for(key)).collect(),
            requests,
        }
    }

    fn hand_off_requests(
        &mut self,
        can_hand_off: &impl Fn(Ticket) -> bool,
        effects: &mut Effects<'_>,
    ) -> Vec<HandedOffRequest> {
        let waiting: HashSet<RequestId> = self.keys.waiting_attempts().collect();
        let mut handed_off = Vec::new();
        for id in self.in_flight.ids_where(|id, _| !waiting.contains(&id)) {
            // One before it in this list may have made room for it to be started.
            let not_started = self.in_flight.get(id).filter(|r| !r.started && !r.responded);
            let Some(in_flight) = not_started.filter(|r| can_hand_off(r.request.ticket)) else { continue };
            let request = in_flight.request.clone();
            let (arrived, due) = (in_flight.arrived, in_flight.due);
            handed_off.push(HandedOffRequest { request, arrived, due });
            self.in_flight.mark_responded(id);
            effects.events.push_back(Event::CallerGone(id));
            self.run_controller(effects);
            self.release(id);
        }
        handed_off
    }

    /// What the controller has learned, with the quota that these requests took given back: it is charged where they
    /// are decided on, which is now the successor.
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

    /// There is no successor any more.
    pub fn end_hand_off(&mut self) {
        self.handed_off = false;
        self.updated_keys.clear();
    }

    /// Tells the successor, if there is one, about keys that have changed.
    pub(super) fn send_key_updates(&mut self, commands: &mut Vec<Command>) {
        let keys = &self.keys;
        let handed_off = self.handed_off;
        // Drained, not taken: the list keeps its capacity.
        let updated = self.updated_keys.drain(..).filter(|_| handed_off);
        commands.extend(updated.map(|key| Command::IdempotencyUpdate(keys.update_for(&key))));
    }

    /// What the predecessor reports about a key: a key that is not known here is adopted; for one that ran there, it is
    /// the end that attempts here wait for.
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

    /// The predecessor has proved that the run of this key never began.
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

    /// The predecessor has ended. Keys that were open there have failed for good: whether they had their effect died
    /// with it.
    pub(super) fn on_predecessor_gone(&mut self, effects: &mut Effects<'_>) {
        self.running_in_predecessor = HashSet::new();
        self.set_predecessor_usage(ResourceUsage::default(), effects);
        for (key, holder) in self.keys.open_in_other_process() {
            self.complete_key(&key, holder, KeyProgress::Failed, effects);
        }
    }
}
