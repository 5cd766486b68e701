//! Lookups, sums and bookkeeping over the controller's records. Nothing here decides: callers say what moves
//! where.

use super::Controller;
use crate::admission::request::{Request, RequestState};
use crate::interface::{Class, RequestId};

/// The shutdown notice (clock, seconds).
#[derive(Clone, Copy)]
pub(super) struct ShutdownNotice {
    pub(super) received: f64,
    pub(super) stop: f64,
}

/// What another process, which this one replaces or is replaced by, uses of the worker's resources.
#[derive(Default)]
pub(super) struct OtherProcessUsage {
    pub(super) running: usize,
    pub(super) calling: usize,
    pub(super) memory_kb: f64,
}

/// Why an arrival is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// Its run needs a downstream call that can't be made in time.
    NoDownstreamCall,
    /// The queue of its class's pool is at capacity.
    PoolQueueFull,
    /// The fleet sheds its tier.
    FleetSheds,
    /// It would wait too long behind what is queued.
    QueueTooLong,
}

impl Controller {
    pub(super) fn class(&self, class: usize) -> &Class {
        &self.settings.classes[class]
    }

    /// The class of a request in hand.
    pub(super) fn class_of(&self, id: RequestId) -> &Class {
        self.class(self.requests[id].class)
    }

    /// Runs on the cores, those of the other process included.
    pub(super) fn running(&self) -> usize {
        self.requests.running() + self.other_process.running
    }

    /// Memory of requests and keys, that of the other process included.
    pub(super) fn memory_kb(&self) -> f64 {
        let keys_kb = self.idempotency.len() as f64 * self.settings.key_entry_kb;
        self.requests.memory_kb() + keys_kb + self.other_process.memory_kb
    }

    /// The expected time of a request's whole run on the cores (seconds).
    pub(super) fn expected_run_s(&self, request: &Request) -> f64 {
        self.run_lengths.predict(request.class, request.hint)
    }

    /// Whether a request waits for the same run slots as this class.
    pub(super) fn shares_slots(&self, id: RequestId, class: usize) -> bool {
        self.pools.as_ref().map_or(true, |pools| pools.together(self.requests[id].class, class))
    }

    /// Whether the fleet has given the dependency up, for runs of this class.
    pub(super) fn fleet_gives_up_call(&self, class: usize) -> bool {
        let idempotent = self.class(class).is_idempotent();
        self.overload.as_ref().is_some_and(|overload| overload.skips_call(idempotent))
    }

    /// The idempotency key that this request holds, while no attempt of it has run.
    pub(super) fn pending_key_of(&self, id: RequestId) -> Option<RequestId> {
        let entry_id = self.requests.get(id)?.entry?;
        self.idempotency.is_pending_holder(entry_id, id).then_some(entry_id)
    }

    /// Moves a request to another state, or out of all of them (`None`), and keeps the counts in step.
    pub(super) fn transition(&mut self, id: RequestId, to: Option<RequestState>) {
        let Some(transition) = self.requests.transition(id, to, self.now) else { return };
        if let Some(pools) = &mut self.pools {
            pools.moved(transition.class, transition.from, transition.to);
        }
    }

    /// Removes a request; it is released once no key names it.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.transition(id, None);
        let Some(request) = self.requests.remove(id) else { return };
        if let Some(entry_id) = request.entry {
            self.idempotency.remove_waiting(entry_id, id);
        }
        if !self.idempotency.contains_attempt(id) {
            self.released.push(id);
        }
    }

    /// Removes a key; its attempts that have ended are released.
    pub(super) fn remove_key(&mut self, entry_id: RequestId) {
        let attempts = self.idempotency.remove(entry_id);
        self.released.extend(attempts.into_iter().filter(|attempt| !self.requests.contains(*attempt)));
    }
}
