//! The frames on the link between a process and its successor.
//!
//! A frame is four bytes of length (big-endian), one byte that says whether a file descriptor comes with it, and one JSON
//! object of that length. Unknown fields are ignored, so that another version of the program may send more. The names on
//! the wire are older than those in the code and stay: `serde` attributes map them.

use crate::interface::LearnedState;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of these frames. Processes of different versions can't talk to each other.
pub const VERSION: u32 = 1;
/// The longest JSON object that is accepted (bytes): far more than a half-read request or a retained result needs.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Length and descriptor mark before the object (bytes).
pub const HEADER_BYTES: usize = 5;

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The header announces an object that is too long.
    #[error("a frame of {length} bytes, {MAX_FRAME_BYTES} at most")]
    TooLong {
        /// The announced length (bytes).
        length: usize,
    },
    /// The object is not JSON, or no frame of this version.
    #[error("a frame can't be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The header says the opposite of what the object needs about a descriptor.
    #[error("a frame's mark does not fit it")]
    DescriptorMark,
}

/// Errors are equal if they say the same.
impl PartialEq for FrameError {
    fn eq(&self, other: &FrameError) -> bool {
        self.to_string() == other.to_string()
    }
}

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

/// What the predecessor uses of the resources that both processes share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Runs on the cores.
    pub on_cores: usize,
    /// Calls in flight to the records service.
    pub calling: usize,
    /// Memory of queued and running requests, by the executor's accounting (KB).
    pub kb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// Where the run of a key stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "KeyEnd")]
pub enum KeyOutcome {
    /// Its run has not ended.
    Open,
    /// It succeeded, with the result where it could be retained.
    Served(Option<Bytes>),
    /// It failed, or its outcome is unknown.
    Failed,
    /// It turned out that its run never began.
    #[serde(rename = "Never")]
    NeverRan,
}

/// An idempotency key, as both processes name it.
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
    /// Identifies the body that came with it.
    #[serde(rename = "print")]
    pub body_fingerprint: u64,
    /// When it stops matching retries (Unix milliseconds).
    #[serde(rename = "until_ms")]
    pub expires_at_ms: f64,
    /// Where its run stands.
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
    pub kb: f64,
    /// When it reached the machine (Unix milliseconds).
    pub arrived_ms: f64,
    /// Its deadline (Unix milliseconds).
    pub due_ms: f64,
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
    /// The successor's first: who it is, and by what names it knows classes and tenants.
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
    /// The predecessor's answer to [`Frame::Hello`]: the two can talk.
    Welcome,
    /// The predecessor's answer to [`Frame::Hello`]: the two can't talk.
    #[serde(rename = "Stranger")]
    Incompatible {
        /// For the log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The successor can serve and requests the listeners.
    #[serde(rename = "Take")]
    RequestListeners,
    /// The first of what the predecessor hands off.
    State {
        /// What bodies of keyed requests are hashed with.
        #[serde(rename = "prints")]
        fingerprint_key: (u64, u64),
        /// Operators have begun a drain.
        draining: bool,
        /// What its controller has learned.
        learned: LearnedState,
        /// Names of requests that run there.
        running: Vec<Rc<str>>,
    },
    /// A key that may have run, or an update about one.
    Key(KeyState),
    /// What the predecessor uses now.
    Usage(Usage),
    /// A connection, with its descriptor.
    #[serde(rename = "Passed")]
    Connection(HandedOffConnection),
    /// A listening socket of an operator's frontend, with its descriptor.
    Listener {
        /// The block of the operator's file that sets the frontend up.
        #[serde(rename = "front")]
        frontend: String,
    },
    /// All of the state has been sent.
    #[serde(rename = "Done")]
    StateComplete,
    /// The successor has all of the state and owns the listeners.
    #[serde(rename = "Opened")]
    TakeoverConfirmed,
    /// Operators have begun (`true`) or ended (`false`) a drain at the predecessor's console.
    Drain(bool),
}

impl Frame {
    /// Whether a descriptor comes with it.
    #[must_use]
    pub fn carries_descriptor(&self) -> bool {
        matches!(self, Frame::Connection(_) | Frame::Listener { .. })
    }

    /// The frame as it is sent.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        // These types hold nothing that JSON can't but numbers that are not finite, which are written as null.
        let _ = serde_json::to_writer(&mut bytes, self);
        let length = (bytes.len() - HEADER_BYTES) as u32;
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        bytes[4] = u8::from(self.carries_descriptor());
        bytes
    }

    /// Reads the first frame in the buffer and returns it with its length there; `None` while it is not complete.
    ///
    /// # Errors
    ///
    /// The bytes are not a frame, however many more may come.
    pub fn decode(data: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(header) = data.get(..HEADER_BYTES) else { return Ok(None) };
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        let end = HEADER_BYTES + length;
        let Some(object) = data.get(HEADER_BYTES..end) else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(object).map_err(FrameError::Malformed)?;
        if frame.carries_descriptor() != (header[4] == 1) {
            return Err(FrameError::DescriptorMark);
        }
        Ok(Some((frame, end)))
    }
}

#[cfg(test)]
mod tests;
