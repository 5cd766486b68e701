//! The platform's settings object, and its mapping to the controller's settings.

use crate::interface::{Class, Dependency, Gauges, Idempotency, Preemption, Settings, Signal, Tenant};
use serde::Deserialize;

/// The settings object, the same in the simulator's first message and in a port worker's configuration. Keys that are
/// not read here are ignored; missing ones have the default of their type.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Options {
    /// The classes of requests; a class's number is its place in this list.
    pub profiles: Vec<Profile>,
    /// The tenants; a tenant's number is its place in this list.
    pub tenants: Vec<TenantItem>,
    /// The machine, its executor and its downstream dependency.
    pub domain: Domain,
    /// Guarantees to callers, and the load that the machine survives.
    pub contract: Contract,
    /// Limits on answers.
    pub limits: Limits,
    /// The behaviour of callers.
    pub clients: Clients,
    /// The weight of a request beyond its tenant's quota, as a share of its class's.
    #[serde(rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// Workers in the fleet.
    pub servers: u32,
    /// How often events are delivered (seconds).
    pub period_s: f64,
}

/// A class of requests.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Profile {
    /// Its name on the wire.
    pub name: String,
    /// The priority weight of one answer within the latency objective.
    #[serde(rename = "credit")]
    pub weight: f64,
    /// The share of the weight that a later answer keeps.
    #[serde(rename = "lateWorth")]
    pub late_weight: f64,
    /// The latency objective (seconds).
    #[serde(rename = "targetS")]
    pub objective_s: f64,
    /// How long a client waits (seconds).
    pub deadline_s: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// The window of an idempotency key (seconds).
    pub window_s: f64,
}

/// A tenant.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct TenantItem {
    /// Its name on the wire.
    pub name: String,
    /// Its quota over the whole fleet (requests a second).
    pub quota_per_s: f64,
}

/// The machine, its executor and its downstream dependency.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Domain {
    /// By class: whether its runs call the downstream dependency.
    pub class_calls: Vec<bool>,
    /// The worker starts cold.
    pub cold: bool,
    /// By class: the share of the weight that an answer without its downstream call keeps; 0 forbids skipping it.
    #[serde(rename = "degradedWorth")]
    pub skipped_call_weights: Vec<f64>,
    /// The time over which the downstream share is averaged (seconds).
    pub dep_window_s: f64,
    /// `one_for_all` where all workers share one downstream dependency.
    pub depends_on: String,
    /// Memory of a retained idempotency key (KB).
    #[serde(rename = "entryKb")]
    pub key_entry_kb: f64,
    /// This worker's share of the downstream dependency (mean number of calls in flight).
    pub fair_calls: f64,
    /// The kind of preemption: `discard`, `freeze`, or none.
    pub halt: String,
    /// Memory for requests and keys (KB).
    pub heap_kb: f64,
    /// How long callers keep idle connections (seconds).
    pub idle_s: f64,
    /// Cores.
    pub n_cores: u32,
    /// Names of the gauges that the executor reports, in their order.
    pub own_stats: Vec<String>,
    /// Requests carry the time that is left to them.
    pub passes_deadline: bool,
    /// Callers are notified of bad health.
    pub readiness: bool,
    /// Memory of a running request as a multiple of a queued one's.
    pub run_factor: f64,
    /// Callers.
    pub senders: u32,
    /// The meaning of the published value: `floor`, `weight`, or none.
    pub signal: String,
    /// How long an abandoned call stays at the dependency at most (seconds).
    pub stays_for_s: f64,
}

/// Guarantees to callers, and the load that the machine survives.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Contract {
    /// The share of its speed that a cold worker starts with.
    #[serde(rename = "coldFrom")]
    pub cold_speed: f64,
    /// Time after which it is warm (seconds).
    #[serde(rename = "coldS")]
    pub warm_up_s: f64,
    /// How long after the shutdown notice arrivals may still run (seconds).
    pub drain_grace_s: f64,
    /// Concurrent runs per core that a warm worker survives.
    pub fall_multiple: f64,
    /// How long after its due time an answer still counts (seconds).
    pub grace_to_answer_s: f64,
    /// The time over which the number of runs is averaged (seconds).
    pub tip_after_s: f64,
}

/// Limits on answers.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// The longest Retry-After that callers heed (seconds).
    pub max_retry_after_s: f64,
    /// Retry-After is relayed to callers.
    pub retry_after: bool,
}

/// The behaviour of callers.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    /// Retries are marked as such.
    pub marks_retry: bool,
}

impl Profile {
    fn idempotency(&self) -> Idempotency {
        match self.effect.as_str() {
            "keyed" => Idempotency::Keyed,
            "unsafe" => Idempotency::NotIdempotent,
            _ => Idempotency::Idempotent,
        }
    }
}

impl Domain {
    fn preemption(&self) -> Preemption {
        match self.halt.as_str() {
            "discard" => Preemption::Discard,
            "freeze" => Preemption::Pause,
            _ => Preemption::Never,
        }
    }

    fn published_signal(&self) -> Signal {
        match self.signal.as_str() {
            "floor" => Signal::RankFloor,
            "weight" => Signal::Weight,
            _ => Signal::None,
        }
    }

    fn dependency(&self) -> Option<Dependency> {
        (self.depends_on == "one_for_all").then_some(Dependency {
            share: self.fair_calls,
            window_s: self.dep_window_s,
            linger_s: self.stays_for_s,
        })
    }
}

impl Options {
    /// The controller's settings.
    #[must_use]
    pub fn settings(&self, seed: u64) -> Settings {
        let domain = &self.domain;
        let contract = &self.contract;
        Settings {
            seed,
            cores: domain.n_cores,
            cold: domain.cold,
            cold_speed: contract.cold_speed,
            warm_up_s: contract.warm_up_s,
            survivable_multiple: contract.fall_multiple,
            survivable_window_s: contract.tip_after_s,
            memory_kb: domain.heap_kb,
            run_memory_factor: domain.run_factor,
            key_entry_kb: domain.key_entry_kb,
            shutdown_grace_s: contract.drain_grace_s,
            answer_slack_s: contract.grace_to_answer_s,
            min_event_interval_s: self.period_s,
            max_retry_after_s: if self.limits.retry_after { self.limits.max_retry_after_s } else { 0.0 },
            over_quota_weight: self.over_quota_weight,
            callers: domain.senders,
            workers: self.servers,
            marks_retries: self.clients.marks_retry,
            callers_see_health: domain.readiness,
            max_connection_idle_s: domain.idle_s,
            preemption: domain.preemption(),
            signal: domain.published_signal(),
            dependency: domain.dependency(),
            classes: self
                .profiles
                .iter()
                .enumerate()
                .map(|(number, profile)| self.class(number, profile))
                .collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            pools: None,
            fleet_overload_control: false,
        }
    }

    fn class(&self, number: usize, profile: &Profile) -> Class {
        Class {
            weight: profile.weight,
            late_weight: profile.late_weight,
            objective_s: profile.objective_s,
            deadline_s: profile.deadline_s,
            idempotency: profile.idempotency(),
            window_s: profile.window_s,
            makes_calls: self.domain.class_calls.get(number).copied().unwrap_or_default(),
            skipped_call_weight: self.domain.skipped_call_weights.get(number).copied().unwrap_or_default(),
        }
    }
}

/// The gauges by their names in the settings. A gauge without a name or a value is `None`.
#[must_use]
pub fn read_gauges(names: &[String], values: &[f64]) -> Gauges {
    let read = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { cores_busy: read("cpu_busy"), runnable: read("runnable"), connections: read("sockets") }
}
