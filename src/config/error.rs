//! Errors in a configuration or an operator's file.

use super::fleet::FleetConfigError;
use std::io;

/// A configuration or an operator's file that can't be used. Its message is one line with the key, the value found and the
/// value expected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file was read and can't be used.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// The fault in it.
        source: Box<ConfigError>,
    },
    /// The configuration is not JSON, or a key has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operator's file is not TOML, has an unknown key, or a key has another type.
    #[error("line {line}: {message}")]
    Toml {
        /// The line, from 1.
        line: usize,
        /// What the parser found and expected.
        message: String,
    },
    /// A value does not meet its requirement.
    #[error("{key} must be {expected}")]
    Requirement {
        /// The key.
        key: &'static str,
        /// What was expected.
        expected: String,
    },
    /// A value is out of its range.
    #[error("{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The value.
        found: String,
        /// The least value, and where it comes from.
        min: String,
        /// The largest value.
        max: String,
    },
    /// A number is out of its range or not finite.
    #[error("{key} is {found}; expected a number from {min} to {max}")]
    NumberOutOfRange {
        /// The key.
        key: String,
        /// The value.
        found: f64,
        /// The least value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// A name refers to nothing.
    #[error("{key}: there is no {kind} {name:?}")]
    UnknownName {
        /// The key that has the name.
        key: String,
        /// What was looked for: a class, a tenant or a pool.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The settings have no class.
    #[error("settings.profiles names no class")]
    NoClasses,
    /// A class or tenant has no name or one that another has.
    #[error("settings.{list}: the name {name:?} is empty or taken")]
    NameTaken {
        /// The list in the settings.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// A class lacks a deadline or a latency objective.
    #[error("settings.profiles: {class} needs deadlineS and targetS above 0")]
    ClassTimes {
        /// The class.
        class: String,
    },
    /// A class has an effect that is not known.
    #[error("settings.profiles: {class} has the unknown effect {effect:?}")]
    UnknownEffect {
        /// The class.
        class: String,
        /// The effect.
        effect: String,
    },
    /// `$ROUTER_CONSOLE` is no address.
    #[error("ROUTER_CONSOLE: expected an address such as 10.0.0.4:7002, found {found:?}")]
    ConsoleAddress {
        /// Its value.
        found: String,
    },
    /// `[ajp]` has no routes.
    #[error("ajp: no [[ajp.route]] maps a path to a class")]
    NoRoutes,
    /// A route's path is relative.
    #[error("ajp.route {path:?}: a path begins with /")]
    RelativePath {
        /// The path.
        path: String,
    },
    /// A tenant rule matches everything.
    #[error("ajp.tenant: a rule needs remote_user or server_name")]
    EmptyTenantRule,
    /// The secret of the AJP frontend is empty.
    #[error("ajp.secret is empty; leave it out to take requests without one")]
    EmptySecret,
    /// `[backend]` has no servers.
    #[error("backend.servers names no server")]
    NoServers,
    /// A time of `[directory]` is out of its range.
    #[error("directory: timeout_ms must be above 0 and cache_s not below")]
    DirectoryTimes,
    /// An attribute of `[directory]` has no name.
    #[error("directory: an attribute's name is empty")]
    EmptyAttribute,
    /// `[pools]` has no pool.
    #[error("pools: there is no [[pools.pool]]; expected at least one")]
    NoPools,
    /// There are too many pools.
    #[error("pools.pool: there are {found} pools; expected at most {max}")]
    TooManyPools {
        /// How many there are.
        found: usize,
        /// How many there may be.
        max: usize,
    },
    /// A pool's name can't be used.
    #[error("pools.pool {pool:?}: name is not usable; expected one word of up to 64 bytes without \"=\"")]
    PoolName {
        /// The name.
        pool: String,
    },
    /// Two pools have one name.
    #[error("pools.pool {pool:?}: name is taken by a pool above; expected names that differ")]
    PoolNameTaken {
        /// The name.
        pool: String,
    },
    /// A pool names no class.
    #[error("pools.pool {pool:?}: classes is empty; expected the name of a class")]
    PoolWithoutClasses {
        /// The pool.
        pool: String,
    },
    /// Two pools name one class.
    #[error("pools.pool {pool:?}: classes: {class:?} is in the pool {other:?} already")]
    ClassInTwoPools {
        /// The later pool.
        pool: String,
        /// The class.
        class: String,
        /// The earlier pool.
        other: String,
    },
    /// A pool's guarantee is above its ceiling.
    #[error(
        "pools.pool {pool:?}: guarantee {guarantee} is above the ceiling {ceiling}; expected at most that"
    )]
    GuaranteeAboveCeiling {
        /// The pool.
        pool: String,
        /// Its guarantee.
        guarantee: f64,
        /// Its ceiling.
        ceiling: f64,
    },
    /// All guarantees together are more than everything.
    #[error("pools.pool: the guarantees add up to {sum:.3}; expected at most 1")]
    GuaranteesAboveOne {
        /// Their sum.
        sum: f64,
    },
    /// The pool of the remaining classes has none.
    #[error("pools.pool {pool:?}: no class is left over for it")]
    NoClassLeft {
        /// The pool.
        pool: String,
    },
    /// The reserve takes no slot or too many.
    #[error(
        "pools.reserve.slots is {slots}; expected 1 to {}: the least limit, {least_slots}, must leave a slot for the \
         others{}",
        .least_slots - 1,
        if *.least_slots == 1 { " (set least_slots to 2 or more, or leave out the reserve)" } else { "" }
    )]
    ReserveSlots {
        /// The reserve.
        slots: usize,
        /// The least limit on runs.
        least_slots: usize,
    },
    /// `[fleet]` can't be used.
    #[error(transparent)]
    Fleet(#[from] FleetConfigError),
}

impl ConfigError {
    /// The same error, with its file.
    pub(super) fn in_file(self, path: &str) -> ConfigError {
        ConfigError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}
