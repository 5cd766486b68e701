//! The messages on the link between a process and its successor.

use crate::hot_restart::FingerprintKey;
use crate::interface::LearnedState;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of the protocol. Processes with different versions can't communicate.
pub const VERSION: u32 = 1;

/// Bytes that are sent as base64.
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
        STANDARD.decode(text).map(|decoded| Bytes(decoded.into())).map_err(serde::de::Error::custom)
    }
}

/// For which of the keys that the predecessor doesn't know a request may have run in yet another process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum IndeterminateKeysReport {
    /// For none.
    None,
    /// For all: that process is alive.
    All,
    /// For those of retries that arrive until this time (Unix milliseconds).
    RetriesUntil(f64),
}

/// The predecessor's use of the resources that both processes share, and what it knows of the keys of other processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of runs on the cores.
    pub on_cores: usize,
    /// Number of calls in flight to the records service.
    #[serde(rename = "calling")]
    pub downstream_calls: usize,
    /// Memory of queued and running requests, as the executor accounts for it (KB).
    #[serde(rename = "kb")]
    pub memory_kb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
    /// The keys that may have run in other processes. Older processes neither send nor read this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub indeterminate_keys: Option<IndeterminateKeysReport>,
}

/// The outcome of the run of a key's request, if the run has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "KeyEnd")]
pub enum KeyOutcome {
    /// The run has not ended.
    Open,
    /// The run succeeded; the result is included if it could be retained.
    Served(Option<Bytes>),
    /// The run failed, or its outcome is indeterminate.
    Failed,
    /// The run provably never began.
    #[serde(rename = "Never")]
    NeverRan,
}

/// An idempotency key. Both processes use the same indices of classes and tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The index of the class.
    pub class: usize,
    /// The index of the tenant of the first attempt that carried the key.
    pub tenant: Option<usize>,
    /// The key as the caller sent it.
    pub key: Rc<str>,
}

/// The state of a key whose request may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyState {
    /// The key.
    pub key: Key,
    /// Fingerprint of the body of the request.
    #[serde(rename = "print")]
    pub body_fingerprint: u64,
    /// Fingerprint of the principal that sent the request; absent if only the tenant is known. Older processes neither send
    /// nor read it.
    #[serde(rename = "principal", default, skip_serializing_if = "Option::is_none")]
    pub principal_fingerprint: Option<u64>,
    /// Whether the request was certainly the first attempt that its caller sent. Older processes neither send nor read it.
    #[serde(rename = "first", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_first_attempt: bool,
    /// When the window ends in which callers may repeat the request (Unix milliseconds).
    #[serde(rename = "until_ms")]
    pub expires_at_ms: f64,
    /// The outcome of the run, if it has ended.
    #[serde(rename = "end")]
    pub outcome: KeyOutcome,
}

/// A request that has been read and has not been started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Its name, as sent to backends.
    pub name: Rc<str>,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// The number of the caller that sent it.
    pub caller: u64,
    /// Its memory while queued (KB).
    #[serde(rename = "kb")]
    pub memory_kb: f64,
    /// When it arrived at the machine (Unix milliseconds).
    #[serde(rename = "arrived_ms")]
    pub arrived_at_ms: f64,
    /// When its caller stops waiting (Unix milliseconds).
    #[serde(rename = "due_ms")]
    pub deadline_ms: f64,
    /// Its expected run length, if it carries a hint (seconds).
    #[serde(rename = "size_s")]
    pub estimate_s: Option<f64>,
    /// Its idempotency key.
    pub key: Option<Rc<str>>,
    /// Whether it is marked as a retry.
    pub retry: bool,
    /// Its body.
    pub body: Bytes,
}

/// A connection of the HTTP frontend; its file descriptor accompanies the frame.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandedOffConnection {
    /// The part of the next request that has been read.
    pub unread: Bytes,
    /// Whether `100 Continue` has been sent for the next request.
    pub continued: bool,
    /// Number of requests that have been read completely.
    #[serde(rename = "asked")]
    pub requests_read: u32,
    /// Whether the connection is to be closed after the next response.
    #[serde(rename = "close")]
    pub close_after_response: bool,
    /// The request whose response is pending.
    #[serde(rename = "held")]
    pub queued_request: Option<QueuedRequest>,
}

/// A message between a process and its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The successor's first message: its identity and its indices of classes and tenants.
    Hello {
        /// The successor's [`VERSION`].
        version: u32,
        /// The worker's name.
        name: String,
        /// Class names, by index.
        classes: Vec<String>,
        /// Tenant names, by index.
        tenants: Vec<String>,
    },
    /// The predecessor accepts [`Frame::Hello`]: the processes are compatible.
    Welcome,
    /// The predecessor rejects [`Frame::Hello`]: the processes are incompatible.
    #[serde(rename = "Stranger")]
    Incompatible {
        /// The reason, for the log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The successor is ready to serve and requests the listeners.
    #[serde(rename = "Take")]
    RequestListeners,
    /// The first frame of the hand-off: the predecessor's state except for its keys and connections.
    State {
        /// The key of body fingerprints.
        #[serde(rename = "prints")]
        fingerprint_key: FingerprintKey,
        /// Whether operators have begun a drain.
        draining: bool,
        /// The learned state of the predecessor's admission controller.
        learned: LearnedState,
        /// Names of the requests that run in the predecessor.
        running: Vec<Rc<str>>,
    },
    /// The state of a key whose request may have run. Sent for all keys during the hand-off, then whenever a key changes.
    Key(KeyState),
    /// The resources that the predecessor currently uses, and its indeterminate keys. Sent during the hand-off, then whenever
    /// they change.
    Usage(Usage),
    /// A connection that is handed off, with its descriptor.
    #[serde(rename = "Passed")]
    Connection(HandedOffConnection),
    /// A listening socket of an operator's frontend, with its descriptor.
    Listener {
        /// The name of the block in the operator's file that configures the frontend.
        #[serde(rename = "front")]
        frontend: String,
    },
    /// The last frame of the hand-off: all of the state has been sent.
    #[serde(rename = "Done")]
    StateComplete,
    /// The successor has received all of the state and owns the listeners.
    #[serde(rename = "Opened")]
    TakeoverConfirmed,
    /// Operators have begun (`true`) or ended (`false`) a drain at the predecessor's console.
    Drain(bool),
}
