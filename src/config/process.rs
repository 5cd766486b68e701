//! The configuration of a port worker: its addresses, its limits and the platform's settings.

use super::{ConfigError, PlatformSettings};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Number of descriptors that are reserved for uses other than client connections: standard streams, the event loop,
/// listeners, links, and a margin.
pub const RESERVED_SOCKETS: usize = 32;
/// Number of descriptors, reserved ones excluded, per concurrent call at the console.
const SOCKETS_PER_CONSOLE_CALL: usize = 8;
/// Lower bound of the limit on concurrent calls at the console.
const MIN_CONSOLE_CALLS: usize = 2;
/// Upper bound of the limit on concurrent calls at the console.
const MAX_CONSOLE_CALLS: usize = 16;
/// Least memory limit that can be set (MiB).
const MIN_MEMORY_MB: f64 = 16.0;

/// The limits on this process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory (MiB).
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// The configuration of a port worker.
#[derive(Deserialize)]
pub struct Config {
    /// The name of the worker in the registry.
    pub name: String,
    /// The address that the platform's frontend listens on.
    pub listen: SocketAddr,
    /// The address of the executor.
    pub executor: SocketAddr,
    /// The address of the registry, if there is one.
    pub registry: Option<SocketAddr>,
    /// The address of the records service, if there is one.
    pub records: Option<SocketAddr>,
    /// The address of the operators' console, if there is one.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    /// The address of the console in the file, if it is overridden by the environment.
    #[serde(skip)]
    pub overridden_console: Option<SocketAddr>,
    /// The seed of all random numbers, in hexadecimal.
    #[serde(default)]
    pub seed: String,
    /// The time between the shutdown notice and the end of the process (milliseconds).
    #[serde(default = "default_stop_ms")]
    pub stop_ms: f64,
    /// The limits on this process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The platform's settings.
    pub settings: PlatformSettings,
}

fn default_stop_ms() -> f64 {
    3200.0
}

/// Largest number of concurrent calls at the console of a process that may have `sockets` descriptors: one per
/// `SOCKETS_PER_CONSOLE_CALL` unreserved descriptors, from `MIN_CONSOLE_CALLS` to `MAX_CONSOLE_CALLS`. That is a small share
/// of the clients' descriptors, but enough that callers that keep calls open can't exclude others for long.
#[must_use]
pub fn max_console_calls(sockets: usize) -> usize {
    (sockets.saturating_sub(RESERVED_SOCKETS) / SOCKETS_PER_CONSOLE_CALL)
        .clamp(MIN_CONSOLE_CALLS, MAX_CONSOLE_CALLS)
}

impl Config {
    /// Number of descriptors for clients and upstreams: the limit without the reserved ones and those of the console.
    #[must_use]
    pub fn socket_budget(&self) -> usize {
        let console = self.console.map_or(0, |_| max_console_calls(self.limits.sockets) + 1);
        self.limits.sockets - RESERVED_SOCKETS - console
    }

    pub(super) fn has_class(&self, name: &str) -> bool {
        self.settings.profiles.iter().any(|class| class.name == name)
    }

    pub(super) fn has_tenant(&self, name: &str) -> bool {
        self.settings.tenants.iter().any(|tenant| tenant.name == name)
    }

    /// Decodes and checks a configuration.
    ///
    /// # Errors
    /// The text is not a configuration, or a value is invalid.
    pub fn decode(text: &str) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.name.is_empty() || self.name.contains(char::is_whitespace) {
            return Err(requirement("name", format!("{:?}", self.name), "one word"));
        }
        self.check_classes()?;
        self.check_tenants()?;
        self.check_machine()?;
        if !is_at_least(self.stop_ms, 0.0) {
            return Err(requirement("stop_ms", self.stop_ms.to_string(), "0 or more"));
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), ConfigError> {
        let classes = &self.settings.profiles;
        if classes.is_empty() {
            return Err(ConfigError::NoClasses);
        }
        let mut names = HashSet::new();
        for class in classes {
            let name = &class.name;
            if name.is_empty() || !names.insert(name.as_str()) {
                return Err(ConfigError::EmptyOrDuplicateName { list: "profiles", name: name.clone() });
            }
            if !(is_positive(class.deadline_s) && is_positive(class.objective_s)) {
                return Err(ConfigError::ClassTimes {
                    class: name.clone(),
                    deadline_s: class.deadline_s,
                    objective_s: class.objective_s,
                });
            }
            if !matches!(class.effect.as_str(), "safe" | "keyed" | "unsafe") {
                return Err(ConfigError::UnknownEffect { class: name.clone(), effect: class.effect.clone() });
            }
        }
        Ok(())
    }

    fn check_tenants(&self) -> Result<(), ConfigError> {
        let mut names = HashSet::new();
        let is_invalid =
            |name: &str, names: &mut HashSet<String>| name.is_empty() || !names.insert(name.to_owned());
        match self.settings.tenants.iter().find(|tenant| is_invalid(&tenant.name, &mut names)) {
            Some(tenant) => {
                Err(ConfigError::EmptyOrDuplicateName { list: "tenants", name: tenant.name.clone() })
            }
            None => Ok(()),
        }
    }

    fn check_machine(&self) -> Result<(), ConfigError> {
        let (cores, memory_kb) = (self.settings.domain.n_cores, self.settings.domain.heap_kb);
        if cores == 0 {
            return Err(requirement("settings.domain.nCores", cores.to_string(), "at least 1"));
        }
        if !is_positive(memory_kb) {
            return Err(requirement("settings.domain.heapKb", memory_kb.to_string(), "above 0"));
        }
        if !is_at_least(self.limits.memory_mb, MIN_MEMORY_MB) {
            let found = self.limits.memory_mb.to_string();
            return Err(requirement("limits.memory_mb", found, &format!("at least {MIN_MEMORY_MB}")));
        }
        if self.limits.sockets < RESERVED_SOCKETS * 2 {
            let found = self.limits.sockets.to_string();
            return Err(requirement("limits.sockets", found, &format!("at least {}", RESERVED_SOCKETS * 2)));
        }
        Ok(())
    }

    /// Returns the names of the keys that differ from `old` and take effect only with a restart.
    #[must_use]
    pub fn changes_requiring_restart(&self, old: &Config) -> Vec<&'static str> {
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

    /// The seed as a number. Text that is not hexadecimal is hashed.
    #[must_use]
    pub fn seed_number(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(7, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)))
        })
    }
}

fn requirement(key: &'static str, found: String, expected: &str) -> ConfigError {
    ConfigError::Requirement { key, found, expected: expected.to_owned() }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_at_least(value: f64, min: f64) -> bool {
    value.is_finite() && value >= min
}
