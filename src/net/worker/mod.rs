//! The worker: all of its state in one place, by the part that owns it.
//!
//! | file | what it does |
//! | --- | --- |
//! | `setup.rs` | builds a worker from its configuration |
//! | `event_loop.rs` | runs it: signals, the timer, a turn whenever something is ready or due |
//! | `loop_state.rs` | what one turn leaves to the next |
//! | `turn.rs` | one turn: readiness, notices, inputs, timers, commands |
//! | `gather.rs` | reads what is ready from upstreams and frontends |
//! | `commands.rs` | carries out the dispatcher's commands |
//! | `start.rs` | starts the dispatcher once the executor is up |
//!
//! What the worker does at a reload, a shutdown, a hot restart or an operator's call is in `net/lifecycle`.

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

/// How often idle and slow connections are looked for (seconds).
const SWEEP_S: f64 = 0.25;
/// A process that wakes this much later than it meant to was stopped, or had no core: signals may have come meanwhile
/// that the loop has not reported yet (seconds).
const STALL_S: f64 = 0.05;

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
    /// Absent until the executor is up.
    pub(in crate::net) dispatcher: Option<Dispatcher>,
    /// Requests that were rejected before there was a dispatcher.
    pub(in crate::net) early_metrics: Metrics,
    pub(in crate::net) loop_state: LoopState,
    pub(in crate::net) hot_restart: Option<HotRestart>,
    pub(in crate::net) shutdown: Option<Shutdown>,
}

/// What the worker was set up with, and the files that a reload reads again.
pub struct Configuration {
    pub(in crate::net) files: StartupOptions,
    /// The platform's configuration.
    pub(in crate::net) platform: Config,
    /// The operator's file.
    pub(in crate::net) operator: OperatorSettings,
    /// The controller's settings, made of both.
    pub(in crate::net) settings: Settings,
}

impl Configuration {
    /// How long a connection may be idle (seconds).
    pub(in crate::net) fn idle_timeout_s(&self) -> f64 {
        self.settings.max_connection_idle_s.max(MIN_IDLE_TIMEOUT_S)
    }
}

/// The shortest idle timeout of connections, whatever the settings say (seconds).
const MIN_IDLE_TIMEOUT_S: f64 = 1.0;
