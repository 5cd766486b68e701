//! The messages between port workers, operators' commands and coordinators. Where a name on the wire differs from that in the
//! code, a serde attribute carries it.

use crate::fleet::overload::{FleetDigest, LoadReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Protocol version of this program: 1 has sessions and leases, 2 adds periods of tasks.
pub const VERSION: u32 = 2;
/// The largest frame that a coordinator accepts (bytes).
pub const MAX_CLIENT_FRAME_BYTES: usize = 16 * 1024;
/// The largest frame that a coordinator sends (bytes); it has to hold the counters of a whole fleet.
pub const MAX_SERVER_FRAME_BYTES: usize = 1024 * 1024;
/// Longest name of a worker, a zone or a task (bytes).
pub const MAX_NAME_BYTES: usize = 64;
/// Most tasks that a fleet may have.
pub const MAX_TASKS: usize = 64;

/// Whether `name` is a valid name of a fleet, a worker, a zone or a task: one to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_`
/// and `.`.
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
    /// Fencing token of the grant: higher than that of every earlier grant.
    pub token: u64,
}

/// How the call of a period ended, as far as the lease holder knows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The call succeeded.
    Done,
    /// The call certainly had no effect: it was never sent, or was rejected.
    NotDone,
    /// The call was sent, and its effect is indeterminate.
    Unknown,
}

/// A worker's counters since its start, by name.
pub type Counters = BTreeMap<String, u64>;

/// The counters of the whole fleet, as summed up by one worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetTotals {
    /// Sum of all workers' counters, by name.
    pub counts: Counters,
    /// Number of workers that are included.
    pub workers: usize,
    /// Name of the worker that computed the sums.
    #[serde(rename = "by")]
    pub computed_by: String,
    /// Age of the oldest counters among them when they were forwarded (milliseconds).
    pub age_ms: u64,
}

/// A message from a worker or an operators' command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum ClientMessage {
    /// Opens a session, or resumes the one of this process.
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
        /// Increases with each heartbeat of the worker.
        seq: u64,
        /// Tasks for which this worker would accept a lease.
        #[serde(default)]
        wants: Vec<String>,
        /// Leases to renew.
        #[serde(rename = "held", default)]
        leases: Vec<LeaseRef>,
        /// The worker's counters, if they are due.
        #[serde(rename = "figures", default, skip_serializing_if = "Option::is_none")]
        counters: Option<Counters>,
        /// Sums that this worker computed for the fleet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// The load report, with fleet-wide overload control.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
    /// The worker has stopped acting under this lease.
    #[serde(rename = "give-back")]
    ReleaseLease {
        /// The lease that is released.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The worker failed at the task, and another one should be granted the lease.
        #[serde(default)]
        failed: bool,
        /// Grants the lease to the newest process of the same name.
        #[serde(default)]
        pass_on: bool,
    },
    /// Requests permission to make the call of the next period. A repeat with the same attempt number is the same request.
    #[serde(rename = "begin")]
    BeginPeriod {
        /// The lease under which the call would be made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Length of a period (milliseconds).
        every_ms: u64,
        /// The call is idempotent: it may be made again in the same period.
        #[serde(rename = "safe")]
        idempotent: bool,
        /// Number of the request.
        attempt: u64,
    },
    /// Reports how the call of a period ended.
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
    /// A kind that is unknown to this version.
    #[serde(other)]
    Unknown,
}

/// What operators may query or command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorQuery {
    /// State of this coordinator. Answered by any coordinator, also by a suspended one.
    Status,
    /// Workers in session. This query and all below are answered by the leader only, once a quorum has confirmed it.
    Members,
    /// Leases and their holders.
    Leases,
    /// Tasks and their periods.
    Tasks,
    /// State of the fleet's overload control: shedding level, shortages, and probers of failed services.
    Overload,
    /// Overrides the shedding level for a time.
    Pin {
        /// First tier that is not admitted in full.
        tier: usize,
        /// Share of that tier that is admitted.
        share: f32,
        /// How long the override lasts (seconds).
        for_s: f64,
    },
    /// Replaces a coordinator that has lost its disk by one without state.
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
        /// How long the session outlives the last heartbeat (milliseconds).
        session_ttl_ms: u64,
        /// Interval at which heartbeats are expected (milliseconds).
        keep_every_ms: u64,
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
    /// Answers a heartbeat.
    #[serde(rename = "kept")]
    HeartbeatAck {
        /// Number of the heartbeat.
        seq: u64,
        /// Leases that were renewed, each counted from when that heartbeat was sent.
        leases: Vec<RenewedLease>,
        /// The fleet's totals.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        totals: Option<FleetTotals>,
        /// For the worker that computes the totals: each worker's counters.
        #[serde(rename = "figures", default, skip_serializing_if = "Vec::is_empty")]
        counters: Vec<AgedCounters>,
        /// The digest that answers the load report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        overload: Option<FleetDigest>,
    },
    /// The lease belongs to this worker from its next renewal on.
    #[serde(rename = "granted")]
    LeaseGranted {
        /// The lease.
        #[serde(rename = "held")]
        lease: LeaseRef,
    },
    /// The call of this period may be made.
    #[serde(rename = "begun")]
    PeriodBegun {
        /// The lease under which it may be made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Number of the period.
        period: u64,
        /// Number of the request that this answers.
        attempt: u64,
    },
    /// The call of the next period may not be made yet.
    #[serde(rename = "not-begun")]
    PeriodNotBegun {
        /// The lease under which it was requested.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Time after which it may be requested again (milliseconds).
        in_ms: u64,
        /// The cause, for logs.
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
    /// A kind that is unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A lease that was renewed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct RenewedLease {
    /// The lease.
    #[serde(rename = "held")]
    pub lease: LeaseRef,
    /// Time to live from when the heartbeat that requested the renewal was sent (milliseconds).
    pub ttl_ms: u64,
}

/// One worker's counters, as the coordinators hold them. A pair on the wire.
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
