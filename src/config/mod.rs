//! What the program is told: the settings object that both adapters decode, and a port worker's configuration.

pub mod fleet;
pub mod operator;
pub mod pools;

pub use fleet::{FleetSettings, TaskSettings};
pub use operator::{
    AjpSettings, DirectorySettings, Http2Settings, Identity, Operator, Route, ServerSettings, TenantRule,
};

use crate::interface::{Class, Dependency, Gauges, Idempotency, Preemption, Settings, Signal, Tenant};
use serde::Deserialize;
use std::collections::HashSet;
use std::io::Read;
use std::net::SocketAddr;

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// The settings object, the same in the simulator's first message and in a port worker's configuration. Keys
/// that are not read here are ignored.
pub struct Options {
    pub profiles: Vec<Profile>,
    pub tenants: Vec<TenantItem>,
    pub domain: Domain,
    pub contract: Contract,
    pub limits: Limits,
    pub clients: Clients,
    pub over_share_worth: f64,
    pub servers: u32,
    pub period_s: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct Profile {
    pub name: String,
    pub credit: f64,
    #[serde(rename = "lateWorth")]
    pub late_weight: f64,
    pub target_s: f64,
    pub deadline_s: f64,
    pub effect: String,
    pub window_s: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct TenantItem {
    pub name: String,
    pub quota_per_s: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct Domain {
    pub class_calls: Vec<bool>,
    pub cold: bool,
    pub degraded_worth: Vec<f64>,
    pub dep_window_s: f64,
    pub depends_on: String,
    #[serde(rename = "entryKb")]
    pub key_entry_kb: f64,
    pub fair_calls: f64,
    pub halt: String,
    pub heap_kb: f64,
    pub idle_s: f64,
    pub n_cores: u32,
    pub own_stats: Vec<String>,
    pub passes_deadline: bool,
    pub readiness: bool,
    pub run_factor: f64,
    pub senders: u32,
    pub signal: String,
    pub stays_for_s: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct Contract {
    #[serde(rename = "coldFrom")]
    pub cold_speed: f64,
    #[serde(rename = "coldS")]
    pub warm_up_s: f64,
    pub drain_grace_s: f64,
    pub fall_multiple: f64,
    pub grace_to_answer_s: f64,
    pub tip_after_s: f64,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct Limits {
    pub max_retry_after_s: f64,
    pub retry_after: bool,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
/// A part of the settings, as the platform writes it.
pub struct Clients {
    pub marks_retry: bool,
}

impl Options {
    /// What the controller is told, in its own terms.
    pub fn settings(&self, seed: u64) -> Settings {
        let o = self;
        let flag = |list: &[bool], i: usize| list.get(i).copied().unwrap_or_default();
        let number = |list: &[f64], i: usize| list.get(i).copied().unwrap_or_default();
        let class = |(i, p): (usize, &Profile)| Class {
            weight: p.credit,
            late_weight: p.late_weight,
            objective_s: p.target_s,
            deadline_s: p.deadline_s,
            effect: match p.effect.as_str() {
                "keyed" => Idempotency::Keyed,
                "unsafe" => Idempotency::NotIdempotent,
                _ => Idempotency::Idempotent,
            },
            window_s: p.window_s,
            calls: flag(&o.domain.class_calls, i),
            skipped_call_weight: number(&o.domain.degraded_worth, i),
        };
        Settings {
            seed,
            cores: o.domain.n_cores,
            cold: o.domain.cold,
            cold_speed: o.contract.cold_speed,
            warm_up_s: o.contract.warm_up_s,
            survivable_multiple: o.contract.fall_multiple,
            survivable_window_s: o.contract.tip_after_s,
            memory_kb: o.domain.heap_kb,
            run_factor: o.domain.run_factor,
            key_entry_kb: o.domain.key_entry_kb,
            shutdown_grace_s: o.contract.drain_grace_s,
            answer_slack_s: o.contract.grace_to_answer_s,
            wake_ahead_s: o.period_s,
            max_retry_after_s: if o.limits.retry_after { o.limits.max_retry_after_s } else { 0.0 },
            over_quota_weight: o.over_share_worth,
            callers: o.domain.senders,
            workers: o.servers,
            marks_retries: o.clients.marks_retry,
            health_listed: o.domain.readiness,
            idle_s: o.domain.idle_s,
            preemption: match o.domain.halt.as_str() {
                "discard" => Preemption::Discard,
                "freeze" => Preemption::Pause,
                _ => Preemption::Never,
            },
            signal: match o.domain.signal.as_str() {
                "floor" => Signal::RankFloor,
                "weight" => Signal::Weight,
                _ => Signal::None,
            },
            dependency: (o.domain.depends_on == "one_for_all").then_some(Dependency {
                share: o.domain.fair_calls,
                window_s: o.domain.dep_window_s,
                linger_s: o.domain.stays_for_s,
            }),
            classes: o.profiles.iter().enumerate().map(class).collect(),
            tenants: o.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            pools: None,
            overload: false,
        }
    }
}

/// The gauges by their names in the settings; what is not there is absent.
pub fn read_gauges(names: &[String], values: &[f64]) -> Gauges {
    let read = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { cores_busy: read("cpu_busy"), runnable: read("runnable"), connections: read("sockets") }
}

/// The limits on this process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct ProcessLimits {
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// A port worker's configuration.
#[derive(Deserialize)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub registry: Option<SocketAddr>,
    pub records: Option<SocketAddr>,
    /// The operators' address, where there is one.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    /// The console's address in the file, where the environment's went before it.
    #[serde(skip)]
    pub console_passed_over: Option<SocketAddr>,
    #[serde(default)]
    pub seed: String,
    #[serde(default = "default_stop_ms")]
    pub stop_ms: f64,
    #[serde(default)]
    pub limits: ProcessLimits,
    pub settings: Options,
}

fn default_stop_ms() -> f64 {
    3200.0
}

/// Descriptors that are no client connection: standard streams, the loop's own, listeners, links, spares.
pub const RESERVED_SOCKETS: usize = 32;

/// Calls that the console keeps open at once, by the limit on descriptors: a small part of what callers have, and
/// enough that holders can't keep the next call out for long.
pub fn console_calls(sockets: usize) -> usize {
    (sockets.saturating_sub(RESERVED_SOCKETS) / 8).clamp(2, 16)
}

impl Config {
    /// Descriptors for callers and links: what the limit leaves.
    pub fn socket_budget(&self) -> usize {
        let console = self.console.map_or(0, |_| console_calls(self.limits.sockets) + 1);
        self.limits.sockets - RESERVED_SOCKETS - console
    }

    /// Decodes and checks; an error is one line that names what is wrong.
    pub fn decode(text: &str) -> Result<Config, String> {
        let config: Config = serde_json::from_str(text).map_err(|e| e.to_string())?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        let s = &self.settings;
        let wrong = |what: &str| Err(what.to_owned());
        if self.name.is_empty() || self.name.contains(char::is_whitespace) {
            return wrong("name must be one word");
        }
        if s.profiles.is_empty() {
            return wrong("settings.profiles names no class");
        }
        let mut seen = HashSet::new();
        for p in &s.profiles {
            if p.name.is_empty() || !seen.insert(p.name.as_str()) {
                return Err(format!("settings.profiles: the name {:?} is empty or taken", p.name));
            }
            if !(p.deadline_s.is_finite() && p.deadline_s > 0.0 && p.target_s.is_finite() && p.target_s > 0.0)
            {
                return Err(format!("settings.profiles: {} needs deadlineS and targetS above 0", p.name));
            }
            if !matches!(p.effect.as_str(), "safe" | "keyed" | "unsafe") {
                return Err(format!("settings.profiles: {} has the unknown effect {:?}", p.name, p.effect));
            }
        }
        let mut seen = HashSet::new();
        if let Some(t) = s.tenants.iter().find(|t| t.name.is_empty() || !seen.insert(t.name.as_str())) {
            return Err(format!("settings.tenants: the name {:?} is empty or taken", t.name));
        }
        if s.domain.n_cores == 0 {
            return wrong("settings.domain.nCores must be at least 1");
        }
        if !(s.domain.heap_kb.is_finite() && s.domain.heap_kb > 0.0) {
            return wrong("settings.domain.heapKb must be above 0");
        }
        if !(self.limits.memory_mb.is_finite() && self.limits.memory_mb >= 16.0) {
            return wrong("limits.memory_mb must be at least 16");
        }
        if self.limits.sockets < RESERVED_SOCKETS * 2 {
            return Err(format!("limits.sockets must be at least {}", RESERVED_SOCKETS * 2));
        }
        if !(self.stop_ms.is_finite() && self.stop_ms >= 0.0) {
            return wrong("stop_ms must be 0 or more");
        }
        Ok(())
    }

    /// What this configuration has that a running worker can't take up: the names of what differs from `old`.
    pub fn fixed_changes(&self, old: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != old.name),
            ("listen", self.listen != old.listen),
            ("console", self.console != old.console),
            ("limits", self.limits != old.limits),
            ("settings", self.settings != old.settings),
            ("registry", self.registry.is_some() != old.registry.is_some()),
            ("records", self.records.is_some() != old.records.is_some()),
        ];
        differs.into_iter().filter_map(|(name, differs)| differs.then_some(name)).collect()
    }

    /// The seed as a number: hexadecimal digits; anything else is mixed into one.
    pub fn seed_number(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(7, |n, b| n.wrapping_mul(31).wrapping_add(u64::from(b)))
        })
    }
}

/// A configuration or an operator's file is never so long (bytes).
const FILE_MOST: u64 = 4 * 1024 * 1024;

/// What the environment names: where the configuration lies, the operator's file where there is one, and the console's
/// address, which goes before the configuration's.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub config: String,
    pub operator: Option<String>,
    pub console: Option<String>,
    /// The number of the listening socket that this process inherits, where it does.
    pub socket: Option<String>,
    /// The folder that this process shares with the one before it.
    pub folder: Option<String>,
}

impl Files {
    pub fn config(&self) -> Result<Config, String> {
        let mut config = Config::decode(&read(&self.config)?).map_err(|e| format!("{}: {e}", self.config))?;
        if let Some(text) = &self.console {
            let address = text.parse().map_err(|_| {
                format!("ROUTER_CONSOLE: expected an address such as 10.0.0.4:7002, found {text:?}")
            })?;
            config.console_passed_over = config.console.filter(|c| *c != address);
            config.console = Some(address);
        }
        Ok(config)
    }

    pub fn operator(&self, config: &Config) -> Result<Operator, String> {
        let Some(path) = &self.operator else { return Ok(Operator::default()) };
        Operator::decode(&read(path)?, config).map_err(|e| format!("{path}: {e}"))
    }
}

fn read(path: &str) -> Result<String, String> {
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|e| format!("{path}: {e}"))?;
    file.take(FILE_MOST).read_to_string(&mut text).map_err(|e| format!("{path}: {e}"))?;
    Ok(text)
}

#[cfg(test)]
pub mod tests;
