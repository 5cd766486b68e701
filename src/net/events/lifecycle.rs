//! Events of reloads, drains and graceful shutdown.

use crate::config::ConfigError;
use crate::log::LogEvent;
use crate::pools::PoolsState;
use std::net::SocketAddr;
use tracing::{error, info, warn};

/// What happens in the life of a worker.
#[derive(Debug)]
pub enum LifecycleEvent<'a> {
    /// The configuration was read again and applies.
    ConfigReloaded {
        /// The executor's address, as configured now.
        executor: SocketAddr,
    },
    /// A changed file can't be used: the old values stay.
    ConfigReloadRejected {
        /// The file.
        file: ConfigFile,
        /// Why.
        error: &'a ConfigError,
    },
    /// A changed file names values that only a restart applies.
    ConfigReloadDeferred {
        /// The file.
        file: ConfigFile,
        /// The keys or blocks.
        keys: &'a [&'static str],
    },
    /// The pools of the operator's file apply from now on.
    PoolsReloaded {
        /// Number of pools.
        pools: usize,
    },
    /// An operator drains this worker, or the drain is over.
    DrainChanged {
        /// Clients are sent away.
        draining: bool,
    },
    /// The shutdown notice has come.
    ShutdownStarted {
        /// Time to the stop (seconds).
        stop_in_s: f64,
    },
    /// The pools as they are when the process ends.
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

/// What has become of all responses when the process ends.
#[derive(Clone, Copy, Debug)]
pub enum ResponseState {
    /// All were sent.
    AllSent,
    /// All were sent, or are the successor's.
    AllHandedOff,
    /// Some could not be sent in time.
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
