//! The worker: all of its state in one place, by the part that owns it.
//!
//! | file | what it does |
//! | --- | --- |
//! | `setup.rs` | builds a worker from its configuration |
//! | `event_loop.rs` | runs it: signals, the timer, a turn whenever something is ready or due |
//! | `turn.rs` | one turn: readiness, notices, inputs, timers, commands |
//! | `gather.rs` | reads what is ready from upstreams and frontends |
//! | `commands.rs` | carries out the dispatcher's commands, and responses |
//! | `start.rs` | starts the dispatcher once the executor is up |
//!
//! What the worker does at a reload, a shutdown, a hot restart or an operator's call is in `net/lifecycle`.

mod commands;
mod event_loop;
mod gather;
mod setup;
mod start;
mod turn;

use crate::config::{Config, Files, Operator};
use crate::dispatch::metrics::Metrics;
use crate::dispatch::{Dispatcher, Input};
use crate::interface::Settings;
use crate::log::LogHandle;
use crate::net::frontends::ajp::AjpFront;
use crate::net::frontends::http1::HttpFront;
use crate::net::frontends::http2::Http2Front;
use crate::net::io::poll::Poll;
use crate::net::io::timer_wheel::Wheel;
use crate::net::lifecycle::console::Console;
use crate::net::lifecycle::hot_restart::HotRestart;
use crate::net::lifecycle::shutdown::Shutdown;
use crate::net::upstreams::ajp_backend::AjpBackend;
use crate::net::upstreams::coordinator_link::Fleet;
use crate::net::upstreams::directory::Directory;
use crate::net::upstreams::executor::Executor;
use crate::net::upstreams::records::Records;
use crate::net::upstreams::registry::Registry;
use crate::net::{Clock, FrontendContext};
pub use event_loop::run;

/// How often idle and slow connections are looked for (seconds).
const SWEEP_S: f64 = 0.25;
/// A process that wakes this much later than it meant to was stopped, or had no core: signals may have come meanwhile
/// that the loop has not reported yet (seconds).
const STALL_S: f64 = 0.05;

/// One port worker.
pub struct Worker {
    pub(in crate::net) clock: Clock,
    pub(in crate::net) log: LogHandle,
    pub(in crate::net) wheel: Wheel,
    pub(in crate::net) files: Files,
    pub(in crate::net) config: Config,
    pub(in crate::net) operator: Operator,
    pub(in crate::net) settings: Settings,
    /// Absent until the executor is up.
    pub(in crate::net) dispatcher: Option<Dispatcher>,
    pub(in crate::net) context: FrontendContext,
    pub(in crate::net) idle_s: f64,
    pub(in crate::net) poll: Poll,
    pub(in crate::net) console: Option<Console>,
    pub(in crate::net) hot_restart: Option<HotRestart>,
    /// Requests that were rejected before there was a dispatcher.
    pub(in crate::net) early_metrics: Metrics,
    pub(in crate::net) http: HttpFront,
    pub(in crate::net) ajp: Option<AjpFront>,
    pub(in crate::net) http2: Option<Http2Front>,
    pub(in crate::net) directory: Option<Directory>,
    pub(in crate::net) executor: Executor,
    /// AJP servers that run requests instead of the executor.
    pub(in crate::net) ajp_servers: Option<AjpBackend>,
    pub(in crate::net) records: Option<Records>,
    pub(in crate::net) registry: Option<Registry>,
    pub(in crate::net) fleet: Option<Fleet>,
    pub(in crate::net) shutdown: Option<Shutdown>,
    /// When connections were first ended for the end of the process.
    pub(in crate::net) connections_ended_at: Option<f64>,
    /// When this turn began.
    pub(in crate::net) turn_began: f64,
    /// When the turn before began: what is read now may have come at any time since.
    pub(in crate::net) turn_before: f64,
    /// The inputs of this turn wait for the next one, since the process stalled in between.
    pub(in crate::net) deferred: bool,
    /// Inputs that came up too late in a turn to be handed over in it.
    pub(in crate::net) deferred_inputs: Vec<Input>,
    /// A timer is set that resumes accepting.
    pub(in crate::net) accept_timer: bool,
    /// A timer is set that connects to the executor again.
    pub(in crate::net) relink_timer: bool,
    pub(in crate::net) sweep_due: bool,
    pub(in crate::net) done: bool,
}
