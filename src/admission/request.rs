//! A request in progress, and the states of its life.

use crate::interface::RequestId;
use crate::pools::Place;

/// A priority level: 0 has the highest weight.
pub(super) type Tier = usize;

/// The states of a request's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Read, and not yet admitted.
    #[default]
    New,
    /// In the queue of its tier.
    Queued,
    /// Waits for a queued request with the same idempotency key.
    QueuedBehindHolder,
    /// Waits for the response of an earlier attempt with the same idempotency key.
    SharingResponse,
    /// On the cores.
    Running,
    /// Off the cores, waiting to make a downstream call.
    WaitingForCall,
    /// Off the cores, in a downstream call.
    Calling,
}

impl RequestState {
    /// Whether its own run has not started: it takes the memory of a queued request.
    pub(super) fn is_unstarted(self) -> bool {
        use RequestState::{New, Queued, QueuedBehindHolder, SharingResponse};
        matches!(self, New | Queued | QueuedBehindHolder | SharingResponse)
    }

    /// Whether it waits for its own run, in a queue or behind the holder of its idempotency key.
    pub(super) fn waits_for_run(self) -> bool {
        matches!(self, RequestState::Queued | RequestState::QueuedBehindHolder)
    }

    /// Where class pools count it, if they do.
    pub(super) fn place(self) -> Option<Place> {
        match self {
            RequestState::Queued => Some(Place::Queued),
            RequestState::Running => Some(Place::OnCores),
            RequestState::WaitingForCall | RequestState::Calling => Some(Place::AtCall),
            RequestState::New | RequestState::QueuedBehindHolder | RequestState::SharingResponse => None,
        }
    }
}

/// A request; times are on the controller's clock in seconds.
#[derive(Clone, Copy, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) tier: Tier,
    /// Its memory while its run has not started.
    pub(super) kb: f64,
    /// When it reached the worker, read or not.
    pub(super) arrived: f64,
    /// When its caller stops waiting.
    pub(super) deadline: f64,
    /// When its latency objective ends.
    pub(super) objective_at: f64,
    /// From then on a response has no weight.
    pub(super) worthless_from: f64,
    pub(super) state: RequestState,
    /// No response is pending any more, though the run may go on.
    pub(super) completed: bool,
    /// Its tenant's quota is exhausted, and the tenant sends far more than its part.
    pub(super) over_quota: bool,
    /// The entry of its idempotency key.
    pub(super) entry: Option<RequestId>,
    /// The run length that the request itself announces.
    pub(super) hint: Option<f64>,
    /// Time on the cores up to the last change of state.
    pub(super) core_time_s: f64,
    /// When the state last changed.
    pub(super) state_since: f64,
}

impl Request {
    /// Time on the cores of a run that is on them now (seconds).
    pub(super) fn running_core_time_s(&self, now: f64) -> f64 {
        self.core_time_s + now - self.state_since
    }
}
