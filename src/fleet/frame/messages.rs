//! The messages between port workers, operators' commands and coordinators. A serde attribute states the name on the wire
//! where it differs from the name in the code.

use crate::fleet::overload::{FleetDigest, LoadReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Protocol version of this program. Version 1 has sessions and leases; version 2 adds periods of tasks.
pub const VERSION: u32 = 2;
/// Maximum size of the body of a frame that a coordinator accepts (bytes).
pub const MAX_CLIENT_FRAME_BYTES: usize = 16 * 1024;
/// Maximum size of the body of a frame that a coordinator sends (bytes): large enough for the counters of a whole fleet.
pub const MAX_SERVER_FRAME_BYTES: usize = 1024 * 1024;
/// Maximum length of a name of a fleet, a worker, a zone or a task (bytes).
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of tasks of a fleet.
pub const MAX_TASKS: usize = 64;

/// Whether `name` is a valid name of a fleet, a worker, a zone or a task: one to [`MAX_NAME_BYTES`] ASCII letters, digits,
/// `-`, `_` and `.`.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

/// Identifies one grant of a lease.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRef {
    /// Name of the task that is leased.
    pub task: String,
    /// Fencing token of the grant: higher than those of all earlier grants.
    pub token: u64,
}

/// How the call of a period ended, from the lease holder's point of view.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The call succeeded.
    Done,
    /// The call certainly had no effect: it was not sent, or it was rejected.
    NotDone,
    /// The call was sent, and it is unknown whether it had an effect.
    Unknown,
}

/// A worker's counters since its start, by name.
pub type Counters = BTreeMap<String, u64>;

/// The sums of all workers' counters, as computed by one worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetTotals {
    /// Sums of the counters, by name.
    pub counts: Counters,
    /// Number of workers included.
    pub workers: usize,
    /// Name of the worker that computed the sums.
    #[serde(rename = "by")]
    pub computed_by: String,
    /// Age of the oldest included counters when the coordinator sent them to the worker that computed the sums, plus, in a
    /// heartbeat's acknowledgement, the time since the coordinator received the sums (milliseconds).
    pub age_ms: u64,
}

/// A message from a worker or an operator's command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum ClientMessage {
    /// Opens a session, or resumes the process's existing one.
    Hello {
        /// Name of the fleet.
        fleet: String,
        /// The sender's [`VERSION`].
        version: u32,
        /// Name of the worker.
        name: String,
        /// Zone that the worker runs in.
        #[serde(default)]
        zone: String,
        /// The [`Incarnation`](crate::fleet::Incarnation) of the process.
        process: u64,
    },
    /// Keeps the session alive, and requests the renewal of leases.
    #[serde(rename = "keep")]
    Heartbeat {
        /// Sequence number; increases with each heartbeat of the worker.
        seq: u64,
        /// Tasks for which this worker would accept a lease.
        #[serde(default)]
        wants: Vec<String>,
        /// Leases to renew.
        #[serde(rename = "held", default)]
        leases: Vec<LeaseRef>,
        /// The worker's counters; included at most once per second.
        #[serde(rename = "figures", default, skip_serializing_if = "Option::is_none")]
        counters: Option<Counters>,
        /// Totals that this worker computed for the fleet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// The load report, if fleet-wide overload control is enabled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
    /// The worker has stopped acting under this lease.
    #[serde(rename = "give-back")]
    ReleaseLease {
        /// The released lease.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Whether the task's calls failed at this worker, so that another worker should be granted the lease.
        #[serde(default)]
        failed: bool,
        /// Whether to grant the lease to the newest process of the same worker name.
        #[serde(default)]
        pass_on: bool,
    },
    /// Requests permission to make the call of the next period. A message with the same attempt number repeats the request.
    #[serde(rename = "begin")]
    BeginPeriod {
        /// The lease under which the call would be made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Length of a period (milliseconds).
        every_ms: u64,
        /// Whether the call is idempotent, so that it may be repeated in the same period.
        #[serde(rename = "safe")]
        idempotent: bool,
        /// Number of the request.
        attempt: u64,
    },
    /// Reports the outcome of the call of a period.
    #[serde(rename = "end")]
    EndPeriod {
        /// The lease under which the call was made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Number of the period.
        period: u64,
        /// How the call ended.
        #[serde(rename = "ending")]
        outcome: CallOutcome,
    },
    /// Closes the session: the worker has stopped acting under every lease.
    #[serde(rename = "bye")]
    Goodbye,
    /// An operator's query or command.
    #[serde(rename = "ask")]
    Query {
        /// Name of the fleet.
        fleet: String,
        /// The query.
        #[serde(rename = "what")]
        query: OperatorQuery,
    },
    /// A message kind that this version does not know.
    #[serde(other)]
    Unknown,
}

/// An operator's query or command. Each one except [`OperatorQuery::Status`] is answered only by a leader that a quorum has
/// confirmed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorQuery {
    /// State of this coordinator. Any coordinator answers, even a suspended one.
    Status,
    /// Workers with a session.
    Members,
    /// Leases and their holders.
    Leases,
    /// Tasks and their periods.
    Tasks,
    /// State of fleet-wide overload control: shedding level, shortages, and probers of failed services.
    Overload,
    /// Overrides the shedding level for a time.
    Pin {
        /// The first tier that is not admitted in full.
        tier: usize,
        /// The share of that tier that is admitted.
        share: f32,
        /// How long the override lasts (seconds).
        for_s: f64,
    },
    /// Replaces the quorum's member of a coordinator that has lost its disk with a new member, which starts without state.
    Replace {
        /// Name of the coordinator.
        coordinator: String,
    },
}

/// A message from a coordinator.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "word", rename_all = "kebab-case")]
pub enum ServerMessage {
    /// The session is open.
    Welcome {
        /// Number of the session.
        session: u64,
        /// Time after the last heartbeat at which the session expires (milliseconds).
        session_ttl_ms: u64,
        /// Interval at which heartbeats are expected (milliseconds).
        #[serde(rename = "keep_every_ms")]
        heartbeat_interval_ms: u64,
        /// The coordinator's [`VERSION`].
        version: u32,
    },
    /// This coordinator is not the leader.
    NotLeader {
        /// Address of the leader, if it is known.
        leader: Option<String>,
        /// The cause, for logs.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Acknowledges a heartbeat.
    #[serde(rename = "kept")]
    HeartbeatAck {
        /// Sequence number of the heartbeat.
        seq: u64,
        /// Renewed leases, each valid from when that heartbeat was sent.
        leases: Vec<RenewedLease>,
        /// The fleet's totals.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// All workers' counters; sent only to the worker that computes the totals.
        #[serde(rename = "figures", default, skip_serializing_if = "Vec::is_empty")]
        counters: Vec<AgedCounters>,
        /// The digest that answers the load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        overload: Option<FleetDigest>,
    },
    /// The lease was granted to this worker; it is valid from its next renewal on.
    #[serde(rename = "granted")]
    LeaseGranted {
        /// The lease.
        #[serde(rename = "held")]
        lease: LeaseRef,
    },
    /// The call of this period may be made.
    #[serde(rename = "begun")]
    PeriodBegun {
        /// The lease under which the call may be made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Number of the period.
        period: u64,
        /// Number of the request that this answers.
        attempt: u64,
    },
    /// The requested period was not begun: it is not due yet, or the request was rejected.
    #[serde(rename = "not-begun")]
    PeriodNotBegun {
        /// The lease under which the period was requested.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Time after which the period may be requested again (milliseconds).
        #[serde(rename = "in_ms")]
        retry_after_ms: u64,
        /// Why the request was rejected, for logs; empty if the period is not due yet.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The session has expired. The worker has to send a new [`ClientMessage::Hello`].
    #[serde(rename = "gone")]
    SessionExpired,
    /// The message was rejected.
    #[serde(rename = "refused")]
    Rejected {
        /// The cause, for logs and operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Result of an operator's query.
    #[serde(rename = "answer")]
    QueryResult {
        /// The result, in the form that `fleetctl` prints.
        answer: serde_json::Value,
    },
    /// A message kind that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A renewed lease.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct RenewedLease {
    /// The lease.
    #[serde(rename = "held")]
    pub lease: LeaseRef,
    /// Time to live, counted from when the heartbeat that requested the renewal was sent (milliseconds).
    pub ttl_ms: u64,
}

/// One worker's counters, as stored by the coordinators. Serialized as a pair.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, Counters)", into = "(u64, Counters)")]
pub struct AgedCounters {
    /// Age of the counters when they were sent (milliseconds).
    pub age_ms: u64,
    /// The counters.
    pub counters: Counters,
}

impl From<(u64, Counters)> for AgedCounters {
    fn from((age_ms, counters): (u64, Counters)) -> AgedCounters {
        AgedCounters { age_ms, counters }
    }
}

impl From<AgedCounters> for (u64, Counters) {
    fn from(aged: AgedCounters) -> (u64, Counters) {
        (aged.age_ms, aged.counters)
    }
}
