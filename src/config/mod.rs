//! Configuration: the platform's settings, a port worker's configuration, and the operator's file for subsystems beside the
//! platform.
//!
//! The names of keys are the platform's and the operators'; serde attributes map them to the names of the code here.

pub mod ajp;
pub mod backend;
pub mod directory;
pub mod error;
pub mod files;
pub mod fleet;
pub mod http2;
pub mod operator;
pub mod platform;
pub mod pools;
pub mod process;

pub use ajp::{AjpSettings, Route, TenantRule};
pub use backend::BackendSettings;
pub use directory::{DirectorySettings, Identity};
pub use error::ConfigError;
pub use files::StartupOptions;
pub use fleet::{FleetSettings, TaskSettings};
pub use http2::Http2Settings;
pub use operator::OperatorSettings;
pub use platform::{read_gauges, Clients, Contract, Domain, Limits, PlatformSettings, Profile, TenantItem};
pub use process::{max_console_calls, Config, ProcessLimits, RESERVED_SOCKETS};

#[cfg(test)]
mod tests;
