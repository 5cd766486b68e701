//! The messages on the link.

use crate::hot_restart::FingerprintKey;
use crate::interface::LearnedState;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of these frames. Processes of different versions can't talk to each other.
pub const VERSION: u32 = 1;
/// Bytes that are sent in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub Rc<[u8]>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map(|b| Bytes(b.into())).map_err(serde::de::Error::custom)
    }
}

/// The resources that the predecessor uses of those that both processes share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Runs on the cores.
    pub on_cores: usize,
    /// Calls in flight to the records service.
    #[serde(rename = "calling")]
    pub downstream_calls: usize,
    /// Memory of queued and running requests, by the executor's accounting (KB).
    #[serde(rename = "kb")]
    pub memory_kb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// How far the run of a key has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "KeyEnd")]
pub enum KeyOutcome {
    /// It has not ended.
    Open,
    /// It succeeded, with the result where it could be retained.
    Served(Option<Bytes>),
    /// It failed, or its outcome is unknown.
    Failed,
    /// It provably never began.
    #[serde(rename = "Never")]
    NeverRan,
}

/// An idempotency key. Both processes number classes and tenants alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The number of the class.
    pub class: usize,
    /// The number of the tenant.
    pub tenant: Option<usize>,
    /// The key as the caller sent it.
    pub key: Rc<str>,
}

/// A key that may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyState {
    /// Which key.
    pub key: Key,
    /// Fingerprint of the body that came with it.
    #[serde(rename = "print")]
    pub body_fingerprint: u64,
    /// When its window ends (Unix milliseconds).
    #[serde(rename = "until_ms")]
    pub expires_at_ms: f64,
    /// How far its run has come.
    #[serde(rename = "end")]
    pub outcome: KeyOutcome,
}

/// A request that has been read and has not been started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Its name towards backends.
    pub name: Rc<str>,
    /// The number of its class.
    pub class: usize,
    /// The number of its tenant.
    pub tenant: Option<usize>,
    /// Which caller sent it.
    pub caller: u64,
    /// Its memory while queued (KB).
    #[serde(rename = "kb")]
    pub memory_kb: f64,
    /// When it reached the machine (Unix milliseconds).
    #[serde(rename = "arrived_ms")]
    pub arrived_at_ms: f64,
    /// When its caller stops waiting (Unix milliseconds).
    #[serde(rename = "due_ms")]
    pub deadline_ms: f64,
    /// What it is expected to take, where it carries a hint (seconds).
    #[serde(rename = "size_s")]
    pub estimate_s: Option<f64>,
    /// Its idempotency key.
    pub key: Option<Rc<str>>,
    /// Whether it is marked as a retry.
    pub retry: bool,
    /// Its body.
    pub body: Bytes,
}

/// A connection of the HTTP frontend; its descriptor comes with the frame.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandedOffConnection {
    /// What has been read of its next request.
    pub unread: Bytes,
    /// `100 Continue` has been sent for the next request.
    pub continued: bool,
    /// Requests that came in completely so far.
    #[serde(rename = "asked")]
    pub requests_read: u32,
    /// To be closed after the next response.
    #[serde(rename = "close")]
    pub close_after_response: bool,
    /// The request that waits for its response.
    #[serde(rename = "held")]
    pub queued_request: Option<QueuedRequest>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first message: its identity, and its numbering of classes and tenants.
    Hello {
        /// The version of its frames.
        version: u32,
        /// The worker's name.
        name: String,
        /// Class names, by number.
        classes: Vec<String>,
        /// Tenant names, by number.
        tenants: Vec<String>,
    },
    /// The predecessor accepts [`Frame::Hello`]: the processes are compatible.
    Welcome,
    /// The predecessor rejects [`Frame::Hello`]: the processes are incompatible.
    #[serde(rename = "Stranger")]
    Incompatible {
        /// The cause, for the log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The successor is ready to serve and requests the listeners.
    #[serde(rename = "Take")]
    RequestListeners,
    /// The first frame of the hand-off: the predecessor's state that is neither a key nor a connection.
    State {
        /// The key of body fingerprints.
        #[serde(rename = "prints")]
        fingerprint_key: FingerprintKey,
        /// Operators have begun a drain.
        draining: bool,
        /// The learned state of its controller.
        learned: LearnedState,
        /// Names of requests that run there.
        running: Vec<Rc<str>>,
    },
    /// The state of a key that may have run: all keys during the hand-off, then each that changes.
    Key(KeyState),
    /// The resources that the predecessor uses now.
    Usage(Usage),
    /// A connection that is handed off, with its descriptor.
    #[serde(rename = "Passed")]
    Connection(HandedOffConnection),
    /// A listening socket of an operator's frontend, with its descriptor.
    Listener {
        /// The block of the operator's file that sets the frontend up.
        #[serde(rename = "front")]
        frontend: String,
    },
    /// The last frame of the hand-off: all of the state has been sent.
    #[serde(rename = "Done")]
    StateComplete,
    /// The successor has all of the state and owns the listeners.
    #[serde(rename = "Opened")]
    TakeoverConfirmed,
    /// Operators have begun (`true`) or ended (`false`) a drain at the predecessor's console.
    Drain(bool),
}
