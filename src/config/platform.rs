//! The platform's settings object, and its conversion to the settings of the admission controller.

use crate::interface::{Class, Dependency, Gauges, Idempotency, Preemption, Settings, Signal, Tenant};
use serde::Deserialize;

/// The settings object, used both in the simulator's first message and in the configuration of a port worker. Unknown keys
/// are ignored; missing ones get the default of their type.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct PlatformSettings {
    /// The classes of requests. The index of a class is its position in this list.
    pub profiles: Vec<ClassSettings>,
    /// The tenants. The index of a tenant is its position in this list.
    pub tenants: Vec<TenantSettings>,
    /// The machine, its executor and its downstream dependency.
    pub domain: Domain,
    /// Guarantees to callers, and the load that the machine survives.
    pub contract: Contract,
    /// Limits on responses.
    pub limits: Limits,
    /// The behaviour of callers.
    pub clients: Clients,
    /// The weight of a request beyond its tenant's quota, as a share of its class's weight.
    #[serde(rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// Number of workers in the fleet.
    pub servers: u32,
    /// Interval at which events are delivered (seconds).
    pub period_s: f64,
}

/// A class of requests.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct ClassSettings {
    /// Its name on the wire.
    pub name: String,
    /// The priority weight of a response within the latency objective.
    #[serde(rename = "credit")]
    pub weight: f64,
    /// The share of the weight that a response after the latency objective keeps.
    #[serde(rename = "lateWorth")]
    pub late_weight: f64,
    /// The latency objective (seconds).
    #[serde(rename = "targetS")]
    pub objective_s: f64,
    /// How long a client waits for a response (seconds).
    pub deadline_s: f64,
    /// Whether a request may run more than once: `safe` (it may), `keyed` (at most one run per idempotency key) or
    /// `unsafe` (it is not sent again if it may have run).
    pub effect: String,
    /// The window of an idempotency key (seconds).
    pub window_s: f64,
}

/// A tenant.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct TenantSettings {
    /// Its name on the wire.
    pub name: String,
    /// Its quota over the whole fleet (requests per second).
    pub quota_per_s: f64,
}

/// The machine, its executor and its downstream dependency.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Domain {
    /// Whether runs call the downstream dependency, by class.
    pub class_calls: Vec<bool>,
    /// Whether the worker has just been started and must warm up.
    pub cold: bool,
    /// The share of the weight that a response without its downstream call keeps, by class; 0 forbids skipping the call.
    #[serde(rename = "degradedWorth")]
    pub skipped_call_weights: Vec<f64>,
    /// The time over which the number of downstream calls in flight is averaged (seconds).
    pub dep_window_s: f64,
    /// `one_for_all` if all workers share one downstream dependency.
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
    /// Number of cores.
    pub n_cores: u32,
    /// Names of the gauges that the executor reports, in this order.
    pub own_stats: Vec<String>,
    /// Whether requests carry their remaining time.
    pub passes_deadline: bool,
    /// Whether callers are notified when the worker is not healthy.
    pub readiness: bool,
    /// Memory of a running request, as a multiple of that of a queued one.
    pub run_factor: f64,
    /// Number of callers.
    pub senders: u32,
    /// The meaning of the value that the worker publishes with its responses: `floor`, `weight`, or none.
    pub signal: String,
    /// Longest time for which an abandoned call stays in flight at the dependency (seconds).
    pub stays_for_s: f64,
}

/// Guarantees to callers, and the load that the machine survives.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Contract {
    /// The speed of a cold worker, as a share of its full speed.
    #[serde(rename = "coldFrom")]
    pub cold_speed: f64,
    /// Duration of the warm-up (seconds).
    #[serde(rename = "coldS")]
    pub warm_up_s: f64,
    /// The time after the shutdown notice in which new requests may still run (seconds).
    pub drain_grace_s: f64,
    /// The number of concurrent runs per core that a warm worker survives, as a mean over `tip_after_s`.
    pub fall_multiple: f64,
    /// The time after its deadline in which a response still counts (seconds).
    pub grace_to_answer_s: f64,
    /// The time over which the number of concurrent runs is averaged (seconds).
    pub tip_after_s: f64,
}

/// Limits on responses.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// The longest Retry-After that callers respect (seconds).
    pub max_retry_after_s: f64,
    /// Whether Retry-After is relayed to callers.
    pub retry_after: bool,
}

/// The behaviour of callers.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    /// Whether retries are marked as such.
    pub marks_retry: bool,
}

impl ClassSettings {
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

impl PlatformSettings {
    /// Converts the object to the settings of the admission controller.
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
                .map(|(index, profile)| self.class(index, profile))
                .collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            pools: None,
            fleet_overload_control: false,
        }
    }

    fn class(&self, index: usize, profile: &ClassSettings) -> Class {
        Class {
            weight: profile.weight,
            late_weight: profile.late_weight,
            objective_s: profile.objective_s,
            deadline_s: profile.deadline_s,
            idempotency: profile.idempotency(),
            window_s: profile.window_s,
            makes_calls: self.domain.class_calls.get(index).copied().unwrap_or_default(),
            skipped_call_weight: self.domain.skipped_call_weights.get(index).copied().unwrap_or_default(),
        }
    }
}

/// Looks up the gauges by their names in the settings. A gauge without a name or value is `None`.
#[must_use]
pub fn read_gauges(names: &[String], values: &[f64]) -> Gauges {
    let read = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { cores_busy: read("cpu_busy"), runnable: read("runnable"), connections: read("sockets") }
}
