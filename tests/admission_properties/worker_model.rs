//! A model of a worker and its executor: the state of their requests, which the rules are asserted against.

use port_worker::{Class, Idempotency, RequestId, Settings};
use std::collections::{BTreeMap, VecDeque};

/// The progress of a request, with simulated times.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum RequestState {
    /// It waits for its start.
    Queued,
    /// It waits for the response of an earlier attempt with its key.
    SharingResponse,
    /// It runs, and still needs this much processor time.
    Running { left_s: f64 },
    /// Its run waits for permission to make a downstream call.
    AtCall { left_s: f64 },
    /// Its run waits for the reply to its downstream call, at most until `until_s`.
    Calling { left_s: f64, until_s: f64 },
}

/// A request from its arrival to the end of its run.
pub(crate) struct TrackedRequest {
    pub(crate) state: RequestState,
    pub(crate) class: usize,
    pub(crate) kb: f64,
    pub(crate) arrived_s: f64,
    /// The time until which its caller waits.
    pub(crate) deadline_s: f64,
    pub(crate) key: u64,
    /// Whether the request has its response, or its caller has disconnected.
    pub(crate) responded: bool,
    pub(crate) started: bool,
    /// Whether a downstream call of the request may have taken effect.
    pub(crate) call_may_have_taken_effect: bool,
}

impl TrackedRequest {
    /// Whether it waits in the worker and has not been sent to the executor.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::SharingResponse)
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, RequestState::Running { .. })
    }

    pub(crate) fn is_calling(&self) -> bool {
        matches!(self.state, RequestState::Calling { .. })
    }
}

/// An entry of the idempotency table.
pub(crate) struct RetainedKey {
    /// The attempt that later attempts are linked to.
    pub(crate) id: RequestId,
    pub(crate) until_s: f64,
}

/// The state of a worker that carries out the controller's actions.
pub(crate) struct WorkerModel {
    pub(crate) settings: Settings,
    pub(crate) now_s: f64,
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    pub(crate) retained_keys: BTreeMap<u64, RetainedKey>,
    pub(crate) key_of: BTreeMap<RequestId, u64>,
    /// The arrival times of the started attempts of each key.
    pub(crate) started_attempts: BTreeMap<u64, Vec<f64>>,
    pub(crate) shutdown_notice_s: Option<f64>,
    /// The number of requests with a response or a disconnected caller.
    pub(crate) responses: u64,
    /// The number of runs that succeeded while their caller still waited.
    pub(crate) served: u64,
    /// Each action, with the time at which it was carried out.
    pub(crate) log: Vec<String>,
    /// Requests that ended in this step, before the controller was told.
    pub(crate) ended_in_step: Vec<RequestId>,
    /// Requests that the controller started after they had ended.
    pub(crate) started_after_end: Vec<RequestId>,
    /// Runs that were preempted in the previous step.
    pub(crate) preempted: Vec<RequestId>,
    /// For each abandoned call that still occupies the dependency, the time until which it does.
    pub(crate) lingering_calls: Vec<f64>,
    /// The number of calls that occupied the dependency, for each step of its window.
    pub(crate) calls_by_step: VecDeque<u32>,
}

impl WorkerModel {
    pub(crate) fn new(settings: Settings) -> WorkerModel {
        WorkerModel {
            settings,
            now_s: 0.0,
            requests: BTreeMap::new(),
            retained_keys: BTreeMap::new(),
            key_of: BTreeMap::new(),
            started_attempts: BTreeMap::new(),
            shutdown_notice_s: None,
            responses: 0,
            served: 0,
            log: Vec::new(),
            ended_in_step: Vec::new(),
            started_after_end: Vec::new(),
            preempted: Vec::new(),
            lingering_calls: Vec::new(),
            calls_by_step: VecDeque::new(),
        }
    }

    pub(crate) fn class_of(&self, request: &TrackedRequest) -> &Class {
        &self.settings.classes[request.class]
    }

    pub(crate) fn is_idempotent(&self, request: &TrackedRequest) -> bool {
        self.class_of(request).idempotency == Idempotency::Idempotent
    }

    /// The attempt that the idempotency table has for this key at this time.
    pub(crate) fn retained_attempt(&self, key: u64, at_s: f64) -> Option<RequestId> {
        self.retained_keys.get(&key).filter(|retained| retained.until_s > at_s).map(|retained| retained.id)
    }

    /// The request with this identifier, which must be in flight.
    pub(crate) fn request(&mut self, id: RequestId) -> &mut TrackedRequest {
        self.requests.get_mut(&id).unwrap_or_else(|| panic!("{id:?} is not in flight"))
    }

    /// Removes a request that ended before the controller was told.
    pub(crate) fn end(&mut self, id: RequestId) {
        self.requests.remove(&id);
        self.ended_in_step.push(id);
    }
}
