//! What a port worker and a coordinator say to each other: a length of four bytes, big end first, and that many bytes of
//! JSON. Kinds and keys that are not known are passed over, so that two versions can speak; [`VERSION`] says what a
//! program understands beyond that. Operators' commands use the same door.

use super::overload::{FleetDigest, LoadReport};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What this program understands: 1 has sessions and leases, 2 has periods of tasks.
pub const VERSION: u32 = 2;
/// The largest frame that a coordinator takes, and the largest that it sends (bytes): a worker's say is small, the
/// figures of a whole fleet are not.
pub const MAX_CLIENT_FRAME_BYTES: usize = 16 * 1024;
pub const MAX_SERVER_FRAME_BYTES: usize = 1024 * 1024;
/// Names of workers, zones and tasks at most (bytes).
pub const MAX_NAME_BYTES: usize = 64;
/// Tasks that a fleet may have.
pub const MAX_TASKS: usize = 64;

/// Whether this may be the name of a worker, a zone or a task: letters, digits, `-`, `_`, `.` and no more than that.
pub fn is_valid_name(name: &str) -> bool {
    let known = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(known)
}

/// A lease as both sides name it: the task, and the fencing token under which it was granted.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRef {
    pub task: String,
    pub token: u64,
}

/// How a call of a period ended, as far as its holder knows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// It counts.
    Done,
    /// It surely had no effect: it was never sent, or was refused.
    NotDone,
    /// It was sent, and nobody knows what came of it.
    Unknown,
}

/// A worker's figures since its start, by name.
pub type Counters = BTreeMap<String, u64>;

/// The fleet's figures, as one worker has added them up.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetTotals {
    pub counts: Counters,
    /// Workers that are in them.
    pub workers: usize,
    /// Who added them up, and the oldest figures among them (milliseconds, when they were sent on).
    pub by: String,
    pub age_ms: u64,
}

/// What a worker, or an operators' command, says.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum ClientMessage {
    Hello {
        fleet: String,
        version: u32,
        name: String,
        #[serde(default)]
        zone: String,
        /// Drawn at the process's start: two processes of one name are told apart by it.
        process: u64,
    },
    /// A sign of life. The leases named are to be renewed; `wants` are the tasks that this worker would take.
    #[serde(rename = "keep")]
    Heartbeat {
        seq: u64,
        #[serde(default)]
        wants: Vec<String>,
        #[serde(default)]
        held: Vec<LeaseRef>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        figures: Option<Counters>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// Where the fleet handles overload as one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
    /// The worker has stopped acting under this lease. `pass_on` gives it to the newest process of the same name.
    #[serde(rename = "give-back")]
    ReleaseLease {
        held: LeaseRef,
        #[serde(default)]
        failed: bool,
        #[serde(default)]
        pass_on: bool,
    },
    /// May the call of the next period be sent? Asked again with the same attempt, it is the same question.
    #[serde(rename = "begin")]
    BeginPeriod { held: LeaseRef, every_ms: u64, safe: bool, attempt: u64 },
    #[serde(rename = "end")]
    EndPeriod { held: LeaseRef, period: u64, ending: CallOutcome },
    /// The worker leaves; it has stopped acting.
    #[serde(rename = "bye")]
    Goodbye,
    /// An operator's question.
    #[serde(rename = "ask")]
    Query { fleet: String, what: OperatorQuery },
    #[serde(other)]
    Unknown,
}

/// What operators ask of a coordinator.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorQuery {
    /// How this one coordinator stands; answered by any, also by one that is aside.
    Status,
    /// Answered by the leader alone, after a quorum has confirmed it.
    Members,
    Leases,
    Tasks,
    /// How the fleet stands in overload: the level, what is short, and who tries it again.
    Overload,
    /// Sets how deep the fleet sheds, for so long.
    Pin {
        tier: usize,
        share: f32,
        for_s: f64,
    },
    /// Puts a fresh member in the place of a coordinator that has lost its disk.
    Replace {
        coordinator: String,
    },
}

/// What a coordinator says.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "word", rename_all = "kebab-case")]
pub enum ServerMessage {
    Welcome {
        session: u64,
        session_ttl_ms: u64,
        keep_every_ms: u64,
        version: u32,
    },
    /// Try another; the leader's address where it is known.
    NotLeader {
        leader: Option<String>,
        why: String,
    },
    /// The leases that were renewed, counted from when the sign of life of this number was sent.
    #[serde(rename = "kept")]
    HeartbeatAck {
        seq: u64,
        leases: Vec<RenewedLease>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// For whoever adds up the fleet's figures: each worker's, with their age in milliseconds.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        figures: Vec<(u64, Counters)>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        overload: Option<FleetDigest>,
    },
    /// The lease is this worker's from its next renewal on.
    #[serde(rename = "granted")]
    LeaseGranted {
        held: LeaseRef,
    },
    /// The call of this period may be sent.
    #[serde(rename = "begun")]
    PeriodBegun {
        held: LeaseRef,
        period: u64,
        attempt: u64,
    },
    /// It may not; ask again after so long.
    #[serde(rename = "not-begun")]
    PeriodNotBegun {
        held: LeaseRef,
        in_ms: u64,
        why: String,
    },
    /// The session is over: say hello again.
    #[serde(rename = "gone")]
    SessionExpired,
    #[serde(rename = "refused")]
    Rejected {
        why: String,
    },
    #[serde(rename = "answer")]
    QueryResult {
        answer: serde_json::Value,
    },
    #[serde(other)]
    Unknown,
}

/// A lease that was renewed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct RenewedLease {
    pub held: LeaseRef,
    pub ttl_ms: u64,
}

/// A frame with this in it.
pub fn encode<T: Serialize>(what: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    // Strings, numbers and lists of them: there is no value that can't be written.
    let _ = serde_json::to_writer(&mut bytes, what);
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Reads the frame at the front of `data`: `None` while it is not whole, else what it says and its length.
///
/// # Errors
/// A frame longer than `most`, or one that can't be read; the connection is of no use then.
pub fn decode<T: DeserializeOwned>(data: &[u8], most: usize) -> Result<Option<(T, usize)>, String> {
    let Some(head) = data.get(..4).and_then(|head| head.try_into().ok()) else { return Ok(None) };
    let length = u32::from_be_bytes(head) as usize;
    if length > most {
        return Err(format!("a frame of {length} bytes; at most {most} are taken"));
    }
    let Some(body) = data.get(4..4 + length) else { return Ok(None) };
    match serde_json::from_slice(body) {
        Ok(what) => Ok(Some((what, 4 + length))),
        Err(e) => Err(format!("a frame that can't be read: {e}")),
    }
}

#[cfg(test)]
mod tests;
