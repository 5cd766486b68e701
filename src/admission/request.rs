//! A request in progress and its states.

use crate::interface::RequestId;
use crate::pools::PoolStage;

/// A priority level: 0 has the highest weight.
pub(super) type Tier = usize;

/// The states of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Read, but not admitted yet.
    #[default]
    New,
    /// In the queue of its tier.
    Queued,
    /// Waits until the queued attempt that holds its idempotency key starts.
    QueuedBehindHolder,
    /// Waits for the response of an earlier attempt with the same idempotency key.
    SharingResponse,
    /// On the cores.
    Running,
    /// Off the cores, waiting to start a downstream call.
    WaitingForCall,
    /// Off the cores, in a downstream call.
    Calling,
}

impl RequestState {
    /// Whether its own run has not started, so that it uses the memory of a queued request.
    pub(super) fn is_unstarted(self) -> bool {
        use RequestState::{New, Queued, QueuedBehindHolder, SharingResponse};
        matches!(self, New | Queued | QueuedBehindHolder | SharingResponse)
    }

    /// Whether it waits to run, in a queue or behind the holder of its idempotency key.
    pub(super) fn waits_for_run(self) -> bool {
        matches!(self, RequestState::Queued | RequestState::QueuedBehindHolder)
    }

    /// The stage in which class pools count it, if any.
    pub(super) fn pool_stage(self) -> Option<PoolStage> {
        match self {
            RequestState::Queued => Some(PoolStage::Queued),
            RequestState::Running => Some(PoolStage::OnCores),
            RequestState::WaitingForCall | RequestState::Calling => Some(PoolStage::AtCall),
            RequestState::New | RequestState::QueuedBehindHolder | RequestState::SharingResponse => None,
        }
    }
}

/// A request. Times are on the controller's clock (seconds).
#[derive(Clone, Copy, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) tier: Tier,
    /// Its memory before its run starts (KB).
    pub(super) memory_kb: f64,
    /// When it reached the worker, which may be before it was read.
    pub(super) arrived_at: f64,
    /// When its caller stops waiting.
    pub(super) deadline: f64,
    /// When its latency objective ends.
    pub(super) objective_deadline: f64,
    /// When its response stops being useful: at its deadline if a late response has weight or the request is not
    /// idempotent, otherwise when its latency objective ends.
    pub(super) useful_until: f64,
    pub(super) state: RequestState,
    /// No response is pending any more; the run may still continue.
    pub(super) completed: bool,
    /// Whether its tenant's quota status was `QuotaStatus::Excessive` when it arrived.
    pub(super) over_quota: bool,
    /// The entry of its idempotency key in the table.
    pub(super) entry_id: Option<RequestId>,
    /// The run length that the request itself states (seconds).
    pub(super) hint: Option<f64>,
    /// Time on the cores up to the latest change of state (seconds).
    pub(super) core_time_s: f64,
    /// When it entered the present state.
    pub(super) state_entered_at: f64,
}

impl Request {
    /// Total time on the cores of a run that is on them now (seconds).
    pub(super) fn running_core_time_s(&self, now: f64) -> f64 {
        self.core_time_s + now - self.state_entered_at
    }
}
