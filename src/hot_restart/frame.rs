//! What goes over the link between a process and its successor: JSON objects behind their length.
//!
//! A frame is four bytes of length (big-endian), one byte that says whether a descriptor comes with it, and one JSON
//! object. Unknown fields are let pass, so that another version of the program may say more.

use crate::interface::LearnedState;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of these frames. One that differs can't be talked to.
pub const VERSION: u32 = 1;
/// The longest JSON object that is taken (bytes): a half-read request or a kept result leaves much room.
pub const FRAME_MOST: usize = 128 * 1024;
/// Length and mark before the object (bytes).
pub const HEAD: usize = 5;

/// Bytes that travel in base64.
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

/// What the old process uses of what both may use together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Runs on the cores.
    pub on_cores: usize,
    /// Calls in the hands of the records service.
    pub calling: usize,
    /// Memory of held and running requests in the executor's books (KB).
    pub kb: f64,
    /// Descriptors.
    pub sockets: usize,
}

/// How a key stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyEnd {
    /// Its run is under way.
    Open,
    /// Served, with the result where it could be kept.
    Served(Option<Bytes>),
    /// Failed, or nobody knows.
    Failed,
    /// It turned out that its run never began.
    Never,
}

/// A key of the table, as both processes name it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Key {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Rc<str>,
}

/// A key that may have run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyState {
    pub key: Key,
    /// Stands for the body that came with it.
    pub print: u64,
    /// When it stops linking tries (Unix milliseconds).
    pub until_ms: f64,
    pub end: KeyEnd,
}

/// A request that has been read and not been started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedRequest {
    pub name: Rc<str>,
    pub class: usize,
    pub tenant: Option<usize>,
    pub caller: u64,
    pub kb: f64,
    /// When it reached the machine, and when its answer is due (Unix milliseconds).
    pub arrived_ms: f64,
    pub due_ms: f64,
    #[serde(rename = "size_s")]
    pub estimate_s: Option<f64>,
    pub key: Option<Rc<str>>,
    pub retry: bool,
    pub body: Bytes,
}

/// A connection of the platform's front; its descriptor comes with the frame.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandedOffConnection {
    /// What has been read of its next request.
    pub unread: Bytes,
    /// It has been told to go on with a body.
    pub continued: bool,
    /// Requests that came in whole so far.
    pub asked: u32,
    /// To be closed after the next answer.
    pub close: bool,
    /// The request that waits for its answer.
    pub held: Option<QueuedRequest>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first of the successor: who it is, and by what names it knows classes and tenants.
    Hello { version: u32, name: String, classes: Vec<String>, tenants: Vec<String> },
    /// Its answer: the two can talk.
    Welcome,
    /// Its answer: the two can't.
    Stranger { why: String },
    /// The successor can serve and asks for the door.
    Take,
    /// The first of what the old process hands over.
    State {
        prints: (u64, u64),
        draining: bool,
        learned: LearnedState,
        /// Names of requests that run there.
        running: Vec<Rc<str>>,
    },
    /// A key that may have run, or news of one.
    Key(KeyState),
    /// What the old process uses now.
    Usage(Usage),
    /// A connection.
    Passed(HandedOffConnection),
    /// A socket that listens for a front of the operator's file, by the block that sets it up.
    Listener { front: String },
    /// All of the state has been sent.
    Done,
    /// The successor has all, and the door is open there.
    Opened,
    /// Operators have begun or ended a drain at the old process's console.
    Drain(bool),
}

impl Frame {
    /// Whether a descriptor comes with it.
    pub fn carries(&self) -> bool {
        matches!(self, Frame::Passed(_) | Frame::Listener { .. })
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        // These types hold nothing that JSON can't but numbers that are not finite, which are written as null.
        let _ = serde_json::to_writer(&mut bytes, self);
        let length = (bytes.len() - HEAD) as u32;
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        bytes[4] = u8::from(self.carries());
        bytes
    }

    /// Reads the frame that lies first in the buffer, with its length there; `None` while it is not whole.
    pub fn decode(data: &[u8]) -> Result<Option<(Frame, usize)>, String> {
        let Some(head) = data.get(..HEAD) else { return Ok(None) };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > FRAME_MOST {
            return Err(format!("a frame of {length} bytes, {FRAME_MOST} at most"));
        }
        let Some(text) = data.get(HEAD..HEAD + length) else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(text).map_err(|e| format!("a frame can't be read: {e}"))?;
        if frame.carries() != (head[4] == 1) {
            return Err("a frame's mark does not fit it".to_owned());
        }
        Ok(Some((frame, HEAD + length)))
    }
}

#[cfg(test)]
mod tests;
