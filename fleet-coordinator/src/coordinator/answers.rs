//! Answers to operators' queries. Operators' scripts depend on the keys, which date from `fleetctl`'s first version;
//! `serde` attributes map the fields to them.

use crate::ids::{MemberId, SessionId};
use crate::state_machine::{IndeterminateCall, Period};
use port_worker::fleet::overload::leader::OverloadLeader;
use port_worker::fleet::overload::level::SheddingLevel;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Converts an answer to the JSON that `fleetctl` prints.
pub(super) fn to_value(answer: &impl Serialize) -> Value {
    // Serialization can't fail: all map keys are numbers or strings.
    serde_json::to_value(answer).unwrap_or_default()
}

/// The status of one coordinator.
#[derive(Serialize)]
pub(super) struct StatusAnswer<'a> {
    pub(super) name: &'a str,
    pub(super) fleet: &'a str,
    #[serde(rename = "standing")]
    pub(super) status: &'static str,
    #[serde(rename = "why")]
    pub(super) reason: String,
    #[serde(rename = "leads")]
    pub(super) is_leader: bool,
    pub(super) leader: Option<String>,
    pub(super) member: MemberId,
    pub(super) term: u64,
    #[serde(rename = "last")]
    pub(super) last_index: u64,
    #[serde(rename = "applied")]
    pub(super) applied_index: u64,
    pub(super) version: u32,
    pub(super) epoch: u64,
    pub(super) members: &'a BTreeMap<MemberId, String>,
    pub(super) voters: Vec<MemberId>,
    pub(super) sessions: usize,
    pub(super) leases: usize,
    #[serde(rename = "unknown_in_all")]
    pub(super) indeterminate_calls_total: u64,
    #[serde(rename = "kept")]
    pub(super) persisted: &'a BTreeMap<MemberId, u64>,
}

/// A worker's session.
#[derive(Serialize)]
pub(super) struct MemberRow<'a> {
    pub(super) session: SessionId,
    pub(super) name: &'a str,
    pub(super) zone: &'a str,
    pub(super) version: u32,
    pub(super) linked: bool,
    pub(super) silent_s: f64,
    #[serde(rename = "holds")]
    pub(super) held_tasks: Vec<&'a str>,
    #[serde(rename = "twice")]
    pub(super) name_is_shared: bool,
}

/// A lease.
#[derive(Serialize)]
pub(super) struct LeaseRow<'a> {
    pub(super) task: &'a str,
    pub(super) holder: Option<&'a str>,
    pub(super) session: SessionId,
    pub(super) token: u64,
    pub(super) ttl_ms: u64,
    #[serde(rename = "free_in_s")]
    pub(super) remaining_s: f64,
    pub(super) waiting: usize,
}

/// All tasks, and the calls with an indeterminate outcome.
#[derive(Serialize)]
pub(super) struct TasksAnswer<'a> {
    pub(super) epoch: u64,
    pub(super) tasks: Vec<TaskRow<'a>>,
    #[serde(rename = "unknown")]
    pub(super) indeterminate_calls: &'a [IndeterminateCall],
    #[serde(rename = "unknown_in_all")]
    pub(super) indeterminate_calls_total: u64,
}

/// A task.
#[derive(Serialize)]
pub(super) struct TaskRow<'a> {
    pub(super) task: &'a str,
    pub(super) ttl_ms: u64,
    pub(super) zones: &'a [String],
    pub(super) held: bool,
    pub(super) waiting: usize,
    pub(super) period: Option<&'a Period>,
}

/// The state of fleet-wide overload control.
#[derive(Serialize)]
pub(super) struct OverloadAnswer<'a> {
    level: Value,
    workers: usize,
    age_s: f64,
    #[serde(rename = "asked_per_s")]
    arrivals_per_s: f64,
    #[serde(rename = "further_per_s")]
    retries_per_s: f64,
    capacity_per_s: f64,
    calls_per_s: f64,
    call_ms: f64,
    #[serde(rename = "retries_pass")]
    admitted_retry_share: f64,
    #[serde(rename = "retries_saved")]
    retry_balance: f64,
    #[serde(rename = "calls_lent")]
    lent_calls: f64,
    #[serde(rename = "calls_in_slices")]
    granted_calls: f64,
    zones: Vec<ZoneRow<'a>>,
}

/// The state of a zone's downstream service.
#[derive(Serialize)]
struct ZoneRow<'a> {
    zone: &'a str,
    #[serde(rename = "calls_part")]
    call_share: f64,
    #[serde(rename = "given_up")]
    circuit_open: bool,
    #[serde(rename = "tried_by_session")]
    prober: Option<u64>,
}

impl OverloadAnswer<'_> {
    /// Returns the current state.
    pub(super) fn new(now: f64, leader: &OverloadLeader) -> OverloadAnswer<'_> {
        let sums = leader.sums();
        let capacity = leader.capacity_totals(now);
        let zones = leader.service().zones().map(|zone| ZoneRow {
            zone: zone.zone,
            call_share: zone.call_share,
            circuit_open: zone.circuit_open,
            prober: zone.prober,
        });
        OverloadAnswer {
            level: level_value(leader.level(now)),
            workers: sums.workers,
            age_s: round_to_tenths(sums.age_s),
            arrivals_per_s: sums.arrivals.iter().sum::<f64>().round(),
            retries_per_s: sums.retries.round(),
            capacity_per_s: sums.capacity.round(),
            calls_per_s: (sums.calls_succeeded + sums.calls_failed).round(),
            call_ms: (sums.call_s * 10_000.0).round() / 10.0,
            admitted_retry_share: leader.retry_budget().admitted_share(),
            retry_balance: leader.retry_budget().balance().round(),
            lent_calls: capacity.lent,
            granted_calls: capacity.granted,
            zones: zones.collect(),
        }
    }
}

fn level_value(level: SheddingLevel) -> Value {
    if level.is_open() {
        json!("open")
    } else {
        json!({"tier": level.tier, "share": level.share})
    }
}

pub(super) fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
