//! Events of reloads, drains and graceful shutdown.

use crate::config::ConfigError;
use crate::log::LogEvent;
use crate::pools::PoolsState;
use std::net::SocketAddr;
use tracing::{error, info, warn};

/// An event of a worker's lifecycle.
#[derive(Debug)]
pub enum LifecycleEvent<'a> {
    /// The configuration was reloaded and applied.
    ConfigReloaded {
        /// The executor's address in the new configuration.
        executor: SocketAddr,
    },
    /// A changed file is invalid; the old values stay in effect.
    ConfigReloadRejected {
        /// The file.
        file: ConfigFile,
        /// Why it is invalid.
        error: &'a ConfigError,
    },
    /// A changed file contains changes that only a restart applies.
    ConfigReloadDeferred {
        /// The file.
        file: ConfigFile,
        /// The keys or blocks with such changes.
        keys: &'a [&'static str],
    },
    /// The changed pools of the operator's file are in effect.
    PoolsReloaded {
        /// Number of pools.
        pools: usize,
    },
    /// An operator began or ended a drain of this worker.
    DrainChanged {
        /// Whether clients are being directed to other workers.
        draining: bool,
    },
    /// The shutdown notice was received.
    ShutdownStarted {
        /// Time until the process is killed (seconds).
        stop_in_s: f64,
    },
    /// The state of the pools when the process ends.
    PoolsState(&'a PoolsState),
    /// The process ends.
    ShutdownComplete(ResponseState),
}

/// A file that is read again on a reload.
#[derive(Clone, Copy, Debug)]
pub enum ConfigFile {
    /// The platform's configuration.
    Configuration,
    /// The operator's file.
    Operator,
}

/// The state of all responses when the process ends.
#[derive(Clone, Copy, Debug)]
pub enum ResponseState {
    /// All responses were sent.
    AllSent,
    /// All responses were sent, or their requests were handed off to the successor.
    AllHandedOff,
    /// Some responses could not be sent in time.
    Pending,
}

impl ConfigFile {
    fn as_str(self) -> &'static str {
        match self {
            ConfigFile::Configuration => "configuration",
            ConfigFile::Operator => "operator",
        }
    }
}

impl LogEvent for LifecycleEvent<'_> {
    fn emit(&self) {
        match self {
            LifecycleEvent::ConfigReloaded { executor } => {
                info!(name: "config_reloaded", executor = %executor);
            }
            LifecycleEvent::ConfigReloadRejected { file, error } => {
                error!(name: "config_reload_rejected", file = file.as_str(), cause = %error);
            }
            LifecycleEvent::ConfigReloadDeferred { file, keys } => {
                warn!(name: "config_reload_deferred", file = file.as_str(), keys = keys.join(","));
            }
            LifecycleEvent::PoolsReloaded { pools } => info!(name: "pools_reloaded", pools),
            LifecycleEvent::DrainChanged { draining } => info!(name: "drain_changed", draining),
            LifecycleEvent::ShutdownStarted { stop_in_s } => info!(name: "shutdown_started", stop_in_s),
            LifecycleEvent::PoolsState(state) => {
                if let Ok(state) = serde_json::to_string(state) {
                    info!(name: "pools_state", state = state.as_str());
                }
            }
            LifecycleEvent::ShutdownComplete(responses) => match responses {
                ResponseState::AllSent => info!(name: "shutdown_complete", responses = "all_sent"),
                ResponseState::AllHandedOff => {
                    info!(name: "shutdown_complete", responses = "all_handed_off");
                }
                ResponseState::Pending => warn!(name: "shutdown_complete", responses = "pending"),
            },
        }
    }
}
