//! The worker: a single struct that holds all state, grouped by the module that owns it.
//!
//! | file | purpose |
//! | --- | --- |
//! | `setup.rs` | builds a worker from its configuration |
//! | `event_loop.rs` | runs the worker: signals, the timer, and a turn whenever a source is ready or a timer is due |
//! | `loop_state.rs` | state that is carried from one turn to the next |
//! | `turn.rs` | one turn: readiness, signals, inputs, timers, commands |
//! | `gather.rs` | reads from upstreams and frontends that are ready |
//! | `commands.rs` | executes the dispatcher's commands |
//! | `start.rs` | starts the dispatcher once the executor is up |
//!
//! Reload, shutdown, hot restart and the handling of console requests are in `net/lifecycle`.

mod commands;
mod event_loop;
mod gather;
mod loop_state;
mod setup;
mod start;
mod turn;

use crate::config::{Config, OperatorSettings, StartupOptions};
use crate::dispatch::metrics::Metrics;
use crate::dispatch::Dispatcher;
use crate::interface::Settings;
use crate::log::LogHandle;
use crate::net::frontends::Frontends;
use crate::net::io::poll::Poll;
use crate::net::io::timer_wheel::Wheel;
use crate::net::lifecycle::hot_restart::HotRestart;
use crate::net::lifecycle::shutdown::Shutdown;
use crate::net::upstreams::Upstreams;
use crate::net::{Clock, FrontendContext};
pub use event_loop::run;
pub(in crate::net) use loop_state::{Deferral, LoopState};

/// Interval between checks for idle and slow connections (seconds).
const SWEEP_INTERVAL_S: f64 = 0.25;
/// The process counts as stalled if the loop wakes up later than this after a timer was due, or if a turn lasts longer
/// than this (seconds). A stalled process was stopped or got no CPU time. Signals may have arrived meanwhile that the
/// loop has not reported yet.
const STALL_THRESHOLD_S: f64 = 0.05;

/// One port worker.
pub struct Worker {
    pub(in crate::net) clock: Clock,
    pub(in crate::net) wheel: Wheel,
    pub(in crate::net) poll: Poll,
    pub(in crate::net) log: LogHandle,
    pub(in crate::net) configuration: Configuration,
    pub(in crate::net) context: FrontendContext,
    pub(in crate::net) frontends: Frontends,
    pub(in crate::net) upstreams: Upstreams,
    /// `None` until the executor is up.
    pub(in crate::net) dispatcher: Option<Dispatcher>,
    /// Counts of requests that were rejected before the dispatcher was started.
    pub(in crate::net) early_metrics: Metrics,
    pub(in crate::net) loop_state: LoopState,
    pub(in crate::net) hot_restart: Option<HotRestart>,
    pub(in crate::net) shutdown: Option<Shutdown>,
}

/// The worker's configuration, and the start-up options that name the files to read on a reload.
pub struct Configuration {
    pub(in crate::net) options: StartupOptions,
    /// The platform's configuration.
    pub(in crate::net) platform: Config,
    /// The settings from the operator's file.
    pub(in crate::net) operator: OperatorSettings,
    /// The admission controller's settings, derived from both.
    pub(in crate::net) settings: Settings,
}

impl Configuration {
    /// Maximum time that a connection may be idle (seconds).
    pub(in crate::net) fn idle_timeout_s(&self) -> f64 {
        self.settings.max_connection_idle_s.max(MIN_IDLE_TIMEOUT_S)
    }
}

/// Lower bound of the idle timeout of connections, used if the settings give a shorter one (seconds).
const MIN_IDLE_TIMEOUT_S: f64 = 1.0;
