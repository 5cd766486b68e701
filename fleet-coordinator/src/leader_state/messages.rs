//! Workers' messages to the leader, as values.

use port_worker::fleet::frame::{Counters, FleetTotals, LeaseRef};
use port_worker::fleet::overload::LoadReport;

/// A worker's first message on a link.
#[derive(Clone, Debug)]
pub struct Hello {
    /// The worker's name.
    pub name: String,
    /// The worker's zone.
    pub zone: String,
    /// Distinguishes processes of the same name.
    pub incarnation: u64,
    /// The latest protocol version that the worker understands.
    pub version: u32,
}

/// A heartbeat, which renews the session and the leases that it names.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    /// The heartbeat's number, which the answer repeats.
    pub sequence: u64,
    /// Tasks that the worker would take.
    pub wanted_tasks: Vec<String>,
    /// Leases to renew.
    pub leases: Vec<LeaseRef>,
    /// The worker's counters since its start, where they have changed.
    pub counters: Option<Counters>,
    /// The fleet's totals, from the holder of their task.
    pub totals: Option<FleetTotals>,
    /// The worker's load, where the fleet handles overload as one.
    pub load: Option<LoadReport>,
}

/// A holder has stopped acting under a lease.
#[derive(Clone, Debug)]
pub struct ReleaseRequest {
    /// The lease.
    pub lease: LeaseRef,
    /// The holder failed at the task.
    pub failed: bool,
    /// The lease is to be transferred to the newest process of the same name.
    pub hand_over: bool,
}

/// A holder asks whether it may make the call of a period.
#[derive(Clone, Debug)]
pub struct BeginRequest {
    /// The lease under which the call is made.
    pub lease: LeaseRef,
    /// The length of a period (milliseconds).
    pub every_ms: u64,
    /// The call may be repeated without harm.
    pub idempotent: bool,
    /// The holder's number for this request; a repeated request has the same.
    pub attempt: u64,
}
