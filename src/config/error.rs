//! Errors in a configuration or an operator's file.

use super::fleet::FleetConfigError;
use std::io;

/// An invalid configuration or operator's file. Its message is one line with the key, the value found and the value
/// expected.
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
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// The configuration is not JSON, lacks a key, or a value has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The operator's file is not TOML, lacks a key, has an unknown one, or a value has the wrong type.
    #[error("line {line}: {message}")]
    Toml {
        /// The line, counted from 1.
        line: usize,
        /// What the parser found and expected.
        message: String,
    },
    /// A value does not meet a requirement.
    #[error("{key} is {found}; expected {expected}")]
    Requirement {
        /// The key.
        key: &'static str,
        /// The value.
        found: String,
        /// The requirement.
        expected: String,
    },
    /// A value is out of its range.
    #[error("{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The value.
        found: String,
        /// The least value, with its origin if that is another key.
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
    /// A name refers to a class, tenant or pool that does not exist.
    #[error("{key}: there is no {kind} {name:?}")]
    UnknownName {
        /// The key with the name.
        key: String,
        /// The kind of object: class, tenant or pool.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The settings have no class.
    #[error("settings.profiles is empty; expected at least one class")]
    NoClasses,
    /// The name of a class or tenant is empty or not unique.
    #[error("settings.{list}: name is {name:?}; expected a unique name that is not empty")]
    EmptyOrDuplicateName {
        /// The list in the settings.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// The deadline or latency objective of a class is missing or not positive.
    #[error(
        "settings.profiles {class:?}: deadlineS is {deadline_s} and targetS is {objective_s}; expected both above 0"
    )]
    ClassTimes {
        /// The class.
        class: String,
        /// Its deadline (seconds).
        deadline_s: f64,
        /// Its latency objective (seconds).
        objective_s: f64,
    },
    /// The effect of a class is unknown.
    #[error("settings.profiles {class:?}: effect is {effect:?}; expected safe, keyed or unsafe")]
    UnknownEffect {
        /// The class.
        class: String,
        /// The effect.
        effect: String,
    },
    /// `$ROUTER_CONSOLE` is not an address.
    #[error("ROUTER_CONSOLE: expected an address such as 10.0.0.4:7002, found {found:?}")]
    ConsoleAddress {
        /// The value of the variable.
        found: String,
    },
    /// `[ajp]` has no routes.
    #[error("ajp: there is no [[ajp.route]]; expected at least one")]
    NoRoutes,
    /// A route's path is relative.
    #[error("ajp.route: path is {path:?}; expected a path that begins with /")]
    RelativePath {
        /// The path.
        path: String,
    },
    /// A tenant rule has no condition, so it would match every request.
    #[error("ajp.tenant: a rule has neither remote_user nor server_name; expected at least one of them")]
    EmptyTenantRule,
    /// The secret of the AJP frontend is empty.
    #[error("ajp.secret is empty; omit it to accept requests without a secret")]
    EmptySecret,
    /// `[backend]` has no servers.
    #[error("backend.servers is empty; expected at least one address")]
    NoServers,
    /// A timeout or cache duration of `[directory]` is out of its range.
    #[error(
        "directory: timeout_ms is {timeout_ms} and cache_s is {cache_s}; expected timeout_ms above 0 and cache_s of 0 \
         or more"
    )]
    DirectoryTimes {
        /// The timeout of a search (milliseconds).
        timeout_ms: f64,
        /// How long a result is cached (seconds).
        cache_s: f64,
    },
    /// The name of an attribute of `[directory]` is empty.
    #[error(
        "directory: identity_attribute is {identity:?} and tenant_attribute is {tenant:?}; expected both to \
         name an attribute"
    )]
    EmptyAttribute {
        /// The name of the attribute that holds the identity.
        identity: String,
        /// The name of the attribute that holds the tenant's name.
        tenant: String,
    },
    /// `[pools]` has no pool.
    #[error("pools: there is no [[pools.pool]]; expected at least one")]
    NoPools,
    /// There are too many pools.
    #[error("pools.pool: there are {found} pools; expected at most {max}")]
    TooManyPools {
        /// The number of pools.
        found: usize,
        /// The largest number of pools.
        max: usize,
    },
    /// The name of a pool is invalid.
    #[error("pools.pool {pool:?}: name is invalid; expected one word of up to 64 bytes without \"=\"")]
    PoolName {
        /// The name.
        pool: String,
    },
    /// Two pools have the same name.
    #[error("pools.pool {pool:?}: name is already used by another pool; expected unique names")]
    DuplicatePoolName {
        /// The name.
        pool: String,
    },
    /// A pool has no classes.
    #[error("pools.pool {pool:?}: classes is empty; expected at least one class")]
    PoolWithoutClasses {
        /// The pool.
        pool: String,
    },
    /// A class is in two pools.
    #[error(
        "pools.pool {pool:?}: class {class:?} is already in pool {earlier_pool:?}; expected at most once"
    )]
    ClassInTwoPools {
        /// The later pool.
        pool: String,
        /// The class.
        class: String,
        /// The earlier pool.
        earlier_pool: String,
    },
    /// The guarantee of a pool is above its ceiling.
    #[error("pools.pool {pool:?}: guarantee is {guarantee}; expected at most the ceiling, {ceiling}")]
    GuaranteeAboveCeiling {
        /// The pool.
        pool: String,
        /// Its guarantee.
        guarantee: f64,
        /// Its ceiling.
        ceiling: f64,
    },
    /// The sum of all guarantees is above 1.
    #[error("pools.pool: the guarantees add up to {sum:.3}; expected at most 1")]
    GuaranteesAboveOne {
        /// The sum of the guarantees.
        sum: f64,
    },
    /// The pool for the classes that no other pool lists would have no class.
    #[error(
        "pools.pool {pool:?}: classes is empty, and every class is in another pool; expected a class that no \
         other pool lists"
    )]
    NoRemainingClass {
        /// The pool.
        pool: String,
    },
    /// The number of reserved slots is out of its range.
    #[error(
        "pools.reserve.slots is {slots}; expected {}: the lower bound of the limit on runs (pools.least_slots) is \
         {min_slots}, and one slot must be left for other pools",
        if *.min_slots == 1 {
            "no reserve (set least_slots to 2 or more, or omit the reserve)".to_owned()
        } else {
            format!("1 to {}", .min_slots - 1)
        }
    )]
    ReserveSlots {
        /// The number of reserved slots.
        slots: usize,
        /// The lower bound of the limit on runs.
        min_slots: usize,
    },
    /// `[fleet]` is invalid.
    #[error(transparent)]
    Fleet(#[from] FleetConfigError),
}

impl ConfigError {
    /// Adds the path of the file to the error.
    pub(super) fn in_file(self, path: &str) -> ConfigError {
        ConfigError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}
