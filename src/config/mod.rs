//! Configuration: the platform's settings, the configuration of a port worker, and the operator's file, which configures
//! subsystems in addition to those of the platform.
//!
//! The names of keys are fixed by the platform and by operators' files; serde attributes map them to the names in the code.

pub mod ajp;
pub mod backend;
pub mod directory;
pub mod error;
pub mod fleet;
pub mod http2;
pub mod operator;
pub mod platform;
pub mod pools;
pub mod process;
pub mod startup_options;

pub use ajp::{AjpSettings, Route, TenantRule};
pub use backend::BackendSettings;
pub use directory::{DirectorySettings, Identity};
pub use error::ConfigError;
pub use fleet::{FleetSettings, TaskSettings};
pub use http2::Http2Settings;
pub use operator::OperatorSettings;
pub use platform::{
    read_gauges, ClassSettings, Clients, Contract, Domain, Limits, PlatformSettings, TenantSettings,
};
pub use process::{max_console_calls, Config, ProcessLimits, RESERVED_SOCKETS};
pub use startup_options::StartupOptions;

#[cfg(test)]
mod tests;
