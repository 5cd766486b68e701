//! Workers' messages to the leader, independent of their encoding.

use port_worker::fleet::frame::{Counters, FleetTotals, LeaseRef};
use port_worker::fleet::overload::LoadReport;

/// A worker's first message on a link.
#[derive(Clone, Debug)]
pub struct Hello {
    /// The worker's name.
    pub name: String,
    /// The worker's zone.
    pub zone: String,
    /// Distinguishes processes with the same worker name.
    pub incarnation: u64,
    /// The latest protocol version that the worker supports.
    pub version: u32,
}

/// A heartbeat, which renews the session and the listed leases.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    /// The heartbeat's sequence number, which the answer repeats.
    pub sequence: u64,
    /// Tasks that the worker wants.
    pub wanted_tasks: Vec<String>,
    /// Leases to renew.
    pub leases: Vec<LeaseRef>,
    /// The worker's counters since its start, if they have changed.
    pub counters: Option<Counters>,
    /// The fleet's totals, sent by the holder of their task.
    pub totals: Option<FleetTotals>,
    /// The worker's load, if fleet-wide overload control is configured.
    pub load: Option<LoadReport>,
}

/// A holder's notice that it has stopped acting under a lease.
#[derive(Clone, Debug)]
pub struct ReleaseRequest {
    /// The lease.
    pub lease: LeaseRef,
    /// Whether the holder failed at the task.
    pub failed: bool,
    /// Whether to transfer the lease to the newest process with the same worker name.
    pub hand_off: bool,
}

/// A holder's request to make the call of a period.
#[derive(Clone, Debug)]
pub struct BeginRequest {
    /// The lease under which the call is made.
    pub lease: LeaseRef,
    /// The length of a period (milliseconds).
    pub every_ms: u64,
    /// Whether the call is idempotent.
    pub idempotent: bool,
    /// The holder's number for this request; a retry has the same number.
    pub attempt: u64,
}
