//! Messages of the simulator's line protocol. The simulator defines the names of messages and fields. They are mapped
//! to the names used in this code here and, for events, in `instance.rs`.

use super::request_names::RequestNames;
use crate::config::PlatformSettings;
use crate::interface::{Action, Outcome, RequestId};
use serde::{Deserialize, Serialize};

/// Token of the timer. A single timer suffices, because the controller sets it again only after it has expired.
const TIMER_TOKEN: &str = "wake";

/// An input line: the events of all instances at one time.
#[derive(Deserialize)]
pub(super) struct Batch<'a> {
    /// Time on the simulator's clock (seconds).
    #[serde(rename = "clockS")]
    pub(super) now: f64,
    #[serde(borrow)]
    pub(super) workers: Vec<Inbox<'a>>,
}

/// The events of one instance, oldest first.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Inbox<'a> {
    pub(super) worker_id: u64,
    #[serde(borrow)]
    pub(super) items: Vec<&'a serde_json::value::RawValue>,
}

/// An event of an instance, or its start or stop.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
pub(super) enum WireEvent {
    /// The instance starts with this seed and these settings.
    Provision {
        #[serde(rename = "prng")]
        seed: u64,
        options: Box<PlatformSettings>,
    },
    /// The instance stops.
    Stop,
    /// A request was read.
    Req(WireRequest),
    /// The caller of a request has disconnected.
    Dropped { req: String },
    /// A run has ended.
    Ended { req: String, disposition: WireOutcome },
    /// A run has reached a downstream call.
    AtCall { req: String },
    /// A downstream call has ended.
    DepReply { req: String, disposition: WireOutcome },
    /// The shutdown notice: the instance will be stopped after `remaining_s` seconds.
    Sigterm { remaining_s: f64 },
    /// The timer has expired. Contains the values of the gauges, in the order in which the settings name them.
    DeadlineHit {
        #[serde(default, rename = "gauge")]
        gauges: Vec<f64>,
    },
}

/// A request that was read.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRequest {
    /// Name of the request.
    #[serde(rename = "req")]
    pub(super) name: String,
    /// Index of its class.
    #[serde(rename = "tierClass")]
    pub(super) class: usize,
    /// Memory it takes while queued (KB).
    #[serde(rename = "kb")]
    pub(super) memory_kb: f64,
    /// Time between its arrival and being read (seconds).
    #[serde(default, rename = "queuedForS")]
    pub(super) read_delay_s: f64,
    /// How long its caller still waits (seconds); 0 if unknown.
    #[serde(default, rename = "remainingS")]
    pub(super) time_left_s: f64,
    /// Expected run time, if the request carries a hint (seconds).
    #[serde(rename = "sizeHintS")]
    pub(super) estimate_s: Option<f64>,
    /// Name of the request that it retries. Values that are not strings are ignored.
    #[serde(rename = "earlier")]
    pub(super) retry_of: Option<serde_json::Value>,
    /// Index of its tenant.
    #[serde(rename = "owner")]
    pub(super) tenant: Option<usize>,
    /// Whether the caller marked it as a retry.
    #[serde(default)]
    pub(super) is_retry: bool,
    /// Identifies the caller.
    #[serde(default, rename = "who")]
    pub(super) caller: u64,
}

/// Outcome of a run or a downstream call.
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum WireOutcome {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
}

/// An output line: the actions of all instances.
#[derive(Serialize)]
pub(super) struct Reply<'a> {
    pub(super) workers: Vec<Outbox<'a>>,
}

/// The actions of one instance.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Outbox<'a> {
    pub(super) worker_id: u64,
    #[serde(rename = "out")]
    pub(super) actions: Vec<WireAction<'a>>,
}

/// An action of the controller. `req` is the name of the request that it concerns.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
pub(super) enum WireAction<'a> {
    /// [`Action::Start`].
    Admit { req: &'a str },
    /// [`Action::Reject`].
    Busy { req: &'a str, not_before_for_s: f64, no_retry: bool },
    /// [`Action::Fail`].
    DropRequest { req: &'a str },
    /// [`Action::RetainKey`].
    RecordKey { req: &'a str, ttl_s: f64 },
    /// [`Action::ReleaseKey`].
    Unpin { req: &'a str },
    /// [`Action::ShareResponse`].
    Reuse { req: &'a str },
    /// [`Action::Call`].
    Dial { req: &'a str, until_s: f64 },
    /// [`Action::SkipCall`].
    Bypass { req: &'a str },
    /// [`Action::Preempt`].
    TakeOff { req: &'a str },
    /// [`Action::Health`].
    Fitness { want: bool, from_state: bool },
    /// [`Action::Publish`].
    Publish { level: f64 },
    /// [`Action::WakeIn`].
    Schedule { in_s: f64, nonce: &'static str },
    /// [`Action::Log`].
    Debug { body_text: String },
}

impl From<WireOutcome> for Outcome {
    fn from(outcome: WireOutcome) -> Outcome {
        match outcome {
            WireOutcome::Ok => Outcome::Ok,
            WireOutcome::Internal => Outcome::Error,
            WireOutcome::ResourceExhausted => Outcome::Rejected,
            WireOutcome::DeadlineExceeded => Outcome::TimedOut,
            WireOutcome::Unavailable => Outcome::Unreachable,
            WireOutcome::Aborted => Outcome::Interrupted,
            WireOutcome::Cancelled => Outcome::Cancelled,
            WireOutcome::TooLate => Outcome::NotStarted,
        }
    }
}

impl<'a> WireAction<'a> {
    /// Returns the message for an action; `None` if the action's request no longer has a name, so that the simulator
    /// could not act on it.
    pub(super) fn from_action(names: &'a RequestNames, action: &Action) -> Option<WireAction<'a>> {
        let name = |id: &RequestId| names.name(*id);
        Some(match action {
            Action::Start(id) => WireAction::Admit { req: name(id)? },
            Action::Reject { id, retry_after_s, stop_retrying } => WireAction::Busy {
                req: name(id)?,
                not_before_for_s: *retry_after_s,
                no_retry: *stop_retrying,
            },
            Action::Fail(id) => WireAction::DropRequest { req: name(id)? },
            Action::RetainKey { id, for_s } => WireAction::RecordKey { req: name(id)?, ttl_s: *for_s },
            Action::ReleaseKey(id) => WireAction::Unpin { req: name(id)? },
            Action::ShareResponse(id) => WireAction::Reuse { req: name(id)? },
            Action::Call { id, until_s } => WireAction::Dial { req: name(id)?, until_s: *until_s },
            Action::SkipCall(id) => WireAction::Bypass { req: name(id)? },
            Action::Preempt(id) => WireAction::TakeOff { req: name(id)? },
            Action::Health(healthy) => WireAction::Fitness { want: *healthy, from_state: true },
            Action::Publish(level) => WireAction::Publish { level: *level },
            Action::WakeIn(after_s) => WireAction::Schedule { in_s: *after_s, nonce: TIMER_TOKEN },
            Action::Log(event) => WireAction::Debug { body_text: format!("{event:?}") },
        })
    }
}
