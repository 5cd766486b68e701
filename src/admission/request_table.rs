//! All requests in progress, with the queues and counts derived from their states.

use crate::admission::request::{Request, RequestState};
use crate::interface::RequestId;
use crate::pools::PoolStage;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A change of state, as class pools count it.
pub(super) struct Transition {
    pub(super) class: usize,
    pub(super) from: Option<PoolStage>,
    pub(super) to: Option<PoolStage>,
}

/// Requests by ID, queues by tier (oldest first), and counts.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    queued: Vec<BTreeSet<RequestId>>,
    waiting_for_call: Vec<BTreeSet<RequestId>>,
    running_by_class: Vec<usize>,
    calling: usize,
    unstarted_kb: f64,
    started_kb: f64,
    /// Memory of a started request, as a multiple of that of an unstarted one.
    run_memory_factor: f64,
}

impl RequestTable {
    /// An empty table.
    pub(super) fn new(tiers: usize, classes: usize, run_memory_factor: f64) -> Self {
        RequestTable {
            queued: vec![BTreeSet::new(); tiers],
            waiting_for_call: vec![BTreeSet::new(); tiers],
            running_by_class: vec![0; classes],
            run_memory_factor,
            ..RequestTable::default()
        }
    }

    /// Inserts a request that has just been read.
    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.unstarted_kb += request.memory_kb;
        self.requests.insert(id, request);
    }

    /// Removes a request that has already left all states.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// All requests, in the order of their IDs.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> + '_ {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Queued requests, the highest tier first, the oldest of a tier first.
    pub(super) fn queued(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.queued.iter().flatten().copied()
    }

    /// Queued requests of the first `tiers` tiers.
    pub(super) fn queued_in(&self, tiers: usize) -> impl Iterator<Item = RequestId> + '_ {
        self.queued[..tiers].iter().flatten().copied()
    }

    /// Whether any request is queued.
    pub(super) fn has_queued(&self) -> bool {
        self.queued.iter().any(|queue| !queue.is_empty())
    }

    /// Requests that wait to start a downstream call, the highest tier first, the oldest of a tier first.
    pub(super) fn waiting_for_call(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.waiting_for_call.iter().flatten().copied()
    }

    /// The number of requests that wait for a downstream call, by tier.
    pub(super) fn waiting_for_call_by_tier(&self) -> impl Iterator<Item = usize> + Clone + '_ {
        self.waiting_for_call.iter().map(BTreeSet::len)
    }

    /// The number of requests of the first `tiers` tiers that wait for a downstream call.
    pub(super) fn waiting_for_call_in(&self, tiers: usize) -> usize {
        self.waiting_for_call_by_tier().take(tiers).sum()
    }

    /// Whether any request waits for a downstream call.
    pub(super) fn has_waiting_for_call(&self) -> bool {
        self.waiting_for_call.iter().any(|waiting| !waiting.is_empty())
    }

    /// Runs on the cores, by class.
    pub(super) fn running_by_class(&self) -> &[usize] {
        &self.running_by_class
    }

    /// Runs on the cores.
    pub(super) fn running(&self) -> usize {
        self.running_by_class.iter().sum()
    }

    /// Runs in a downstream call.
    pub(super) fn calling(&self) -> usize {
        self.calling
    }

    /// Memory of all requests (KB).
    pub(super) fn memory_kb(&self) -> f64 {
        self.unstarted_kb + self.started_kb
    }

    /// Moves a request to another state, or out of all states (`None`), and updates the queues and counts.
    pub(super) fn transition(
        &mut self,
        id: RequestId,
        to: Option<RequestState>,
        now: f64,
    ) -> Option<Transition> {
        let request = self.requests.get_mut(&id)?;
        let from = request.state;
        let before = *request;
        if from == RequestState::Running {
            request.core_time_s += now - request.state_entered_at;
        }
        request.state = to.unwrap_or(from);
        request.state_entered_at = now;
        self.leave_state(id, &before);
        if let Some(state) = to {
            self.enter_state(id, &Request { state, ..before });
        }
        Some(Transition {
            class: before.class,
            from: from.pool_stage(),
            to: to.and_then(RequestState::pool_stage),
        })
    }

    /// Updates the queues and counts for a request that leaves its state.
    fn leave_state(&mut self, id: RequestId, request: &Request) {
        if request.state.is_unstarted() {
            self.unstarted_kb -= request.memory_kb;
        } else {
            self.started_kb -= request.memory_kb * self.run_memory_factor;
        }
        match request.state {
            RequestState::Queued => {
                self.queued[request.tier].remove(&id);
            }
            RequestState::WaitingForCall => {
                self.waiting_for_call[request.tier].remove(&id);
            }
            RequestState::Running => {
                let running = &mut self.running_by_class[request.class];
                *running = running.saturating_sub(1);
            }
            RequestState::Calling => self.calling = self.calling.saturating_sub(1),
            RequestState::New | RequestState::QueuedBehindHolder | RequestState::SharingResponse => {}
        }
    }

    /// Updates the queues and counts for a request that enters its state.
    fn enter_state(&mut self, id: RequestId, request: &Request) {
        if request.state.is_unstarted() {
            self.unstarted_kb += request.memory_kb;
        } else {
            self.started_kb += request.memory_kb * self.run_memory_factor;
        }
        match request.state {
            RequestState::Queued => {
                self.queued[request.tier].insert(id);
            }
            RequestState::WaitingForCall => {
                self.waiting_for_call[request.tier].insert(id);
            }
            RequestState::Running => self.running_by_class[request.class] += 1,
            RequestState::Calling => self.calling += 1,
            RequestState::New | RequestState::QueuedBehindHolder | RequestState::SharingResponse => {}
        }
    }
}

impl Index<RequestId> for RequestTable {
    type Output = Request;

    /// # Panics
    ///
    /// Panics if the request is not in the table.
    fn index(&self, id: RequestId) -> &Request {
        &self.requests[&id]
    }
}
