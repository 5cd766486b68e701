//! The simulator's line protocol: its messages, and how they map to events' outcomes and from actions.

use super::request_names::RequestNames;
use crate::config::Options;
use crate::interface::{Action, Outcome, RequestId};
use serde::{Deserialize, Serialize};

/// What happened to the instances up to one time.
#[derive(Deserialize)]
pub(super) struct Batch<'a> {
    #[serde(rename = "clockS")]
    pub(super) clock: f64,
    #[serde(borrow)]
    pub(super) workers: Vec<Inbox<'a>>,
}

/// What happened to one instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Inbox<'a> {
    pub(super) worker_id: u64,
    #[serde(borrow)]
    pub(super) items: Vec<&'a serde_json::value::RawValue>,
}

/// An event, or the start or end of an instance.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
pub(super) enum Item {
    Provision {
        prng: u64,
        options: Box<Options>,
    },
    Stop,
    Req(ReqItem),
    Dropped {
        req: String,
    },
    Ended {
        req: String,
        disposition: Disposition,
    },
    AtCall {
        req: String,
    },
    DepReply {
        req: String,
        disposition: Disposition,
    },
    #[serde(rename_all = "camelCase")]
    Sigterm {
        #[serde(rename = "remainingS")]
        remaining: f64,
    },
    DeadlineHit {
        #[serde(default)]
        gauge: Vec<f64>,
    },
}

/// A request that was read.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ReqItem {
    pub(super) req: String,
    pub(super) tier_class: usize,
    pub(super) kb: f64,
    #[serde(default)]
    pub(super) queued_for_s: f64,
    #[serde(default)]
    pub(super) remaining_s: f64,
    pub(super) size_hint_s: Option<f64>,
    pub(super) earlier: Option<serde_json::Value>,
    pub(super) owner: Option<usize>,
    #[serde(default)]
    pub(super) is_retry: bool,
    #[serde(default)]
    pub(super) who: u64,
}

/// How a run or a call ended, in the words of the wire.
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Disposition {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
}

/// The actions of all instances.
#[derive(Serialize)]
pub(super) struct Reply<'a> {
    pub(super) workers: Vec<Outbox<'a>>,
}

/// The actions of one instance.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Outbox<'a> {
    pub(super) worker_id: u64,
    pub(super) out: Vec<Order<'a>>,
}

/// An action, in the words of the wire.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
pub(super) enum Order<'a> {
    Admit { req: &'a str },
    Busy { req: &'a str, not_before_for_s: f64, no_retry: bool },
    DropRequest { req: &'a str },
    RecordKey { req: &'a str, ttl_s: f64 },
    Unpin { req: &'a str },
    Reuse { req: &'a str },
    Dial { req: &'a str, until_s: f64 },
    Bypass { req: &'a str },
    TakeOff { req: &'a str },
    Fitness { want: bool, from_state: bool },
    Publish { level: f64 },
    Schedule { in_s: f64, nonce: &'static str },
    Debug { body_text: String },
}

/// The only timer token: the controller keeps its own plan of what is due.
const WAKE: &str = "wake";

/// The outcome that a word of the wire stands for.
pub(super) fn outcome(disposition: &Disposition) -> Outcome {
    match disposition {
        Disposition::Ok => Outcome::Ok,
        Disposition::Internal => Outcome::Error,
        Disposition::ResourceExhausted => Outcome::Rejected,
        Disposition::DeadlineExceeded => Outcome::TimedOut,
        Disposition::Unavailable => Outcome::Unreachable,
        Disposition::Aborted => Outcome::Interrupted,
        Disposition::Cancelled => Outcome::Cancelled,
        Disposition::TooLate => Outcome::NotStarted,
    }
}

/// An action in the words of the wire. One for a request that the wire no longer knows has nothing to act on.
pub(super) fn order<'a>(names: &'a RequestNames, action: &'a Action) -> Option<Order<'a>> {
    let name = |id: &RequestId| names.name(*id);
    Some(match action {
        Action::Start(id) => Order::Admit { req: name(id)? },
        Action::Reject { id, retry_after_s, stop_retrying } => {
            Order::Busy { req: name(id)?, not_before_for_s: *retry_after_s, no_retry: *stop_retrying }
        }
        Action::Fail(id) => Order::DropRequest { req: name(id)? },
        Action::RetainKey { id, for_s } => Order::RecordKey { req: name(id)?, ttl_s: *for_s },
        Action::ReleaseKey(id) => Order::Unpin { req: name(id)? },
        Action::ShareResponse(id) => Order::Reuse { req: name(id)? },
        Action::Call { id, until_s } => Order::Dial { req: name(id)?, until_s: *until_s },
        Action::SkipCall(id) => Order::Bypass { req: name(id)? },
        Action::Preempt(id) => Order::TakeOff { req: name(id)? },
        Action::Health(good) => Order::Fitness { want: *good, from_state: true },
        Action::Publish(level) => Order::Publish { level: *level },
        Action::WakeIn(after) => Order::Schedule { in_s: *after, nonce: WAKE },
        Action::Log(event) => Order::Debug { body_text: format!("{event:?}") },
    })
}
