//! Builds a worker from its configuration and the operator's file.

use super::{Worker, SWEEP_S};
use crate::config::{Config, Files, Operator};
use crate::dispatch::metrics::Metrics;
use crate::fleet::MembershipConfig;
use crate::interface::Settings;
use crate::net::error::{ListenError, WorkerError};
use crate::net::frontends::ajp::AjpFront;
use crate::net::frontends::http1::HttpFront;
use crate::net::frontends::http2::Http2Front;
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::poll::Poll;
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::lifecycle::console::Console;
use crate::net::lifecycle::hot_restart::{inherited_listener, HotRestart, Links};

use crate::net::upstreams::ajp_backend::AjpBackend;
use crate::net::upstreams::coordinator_link::Fleet;
use crate::net::upstreams::directory::Directory;
use crate::net::upstreams::executor::Executor;
use crate::net::upstreams::records::Records;
use crate::net::upstreams::registry::Registry;
use crate::net::{Clock, Log, State};
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;

impl Worker {
    /// A worker whose sockets listen, unless another process has them.
    pub(super) fn new(files: Files, config: Config, poll: &Poll) -> Result<Worker, WorkerError> {
        let clock = Clock::new();
        let operator = files.operator(&config)?;
        let settings = controller_settings(&config, &operator)?;
        let known = Rc::new(Catalog::new(&config.settings, &settings));
        let console = bind_console(&config, poll)?;
        let socket = inherited_socket(&files)?;
        // A predecessor may have the operator's addresses, and hand them over.
        let may_have_predecessor = socket.is_some() && files.folder.is_some();
        let mut http = http_frontend(&config, poll, socket.is_some())?;
        let ajp = ajp_frontend(&config, &operator, poll, may_have_predecessor)?;
        let http2 = http2_frontend(&operator, poll, may_have_predecessor)?;
        let registry = connect_registry(&config)?;
        let mut log = Log::default();
        log_address(&mut log, &config, "console", console.as_ref().and_then(|c| c.connections.address()));
        log_address(&mut log, &config, "http", http.connections.address());
        log_address(&mut log, &config, "ajp", ajp.as_ref().and_then(|a| a.connections.address()));
        log_address(&mut log, &config, "http2", http2.as_ref().and_then(|h| h.connections.address()));
        if let Some(address) = config.overridden_console {
            log.line(&format!("console: ROUTER_CONSOLE goes before the configuration's {address}"));
        }
        let hot_restart = match socket {
            Some(socket) => {
                prepare_hot_restart(&files, &config, &settings, poll, &mut http, socket, &mut log)?
            }
            None => None,
        };
        let mut wheel = Wheel::new(clock.now());
        wheel.set(clock.now(), SWEEP_S, Timer::Sweep);
        Ok(Worker {
            executor: Executor::new(poll, config.executor, config.settings.domain.own_stats.clone()),
            ajp_servers: operator.backend.clone().map(|settings| AjpBackend::new(poll, settings)),
            directory: operator.directory.clone().map(|settings| Directory::new(poll, settings)),
            records: config.records.map(|address| Records::new(poll, address)),
            fleet: fleet_member(&config, &operator, &settings, poll),
            registry,
            idle_s: settings.idle_s.max(1.0),
            state: State { known, level: None, fit: false, leaving: false, draining: false, passing: false },
            healthy: true,
            dispatcher: None,
            shutdown: None,
            connections_ended_at: None,
            turn_began: clock.now(),
            turn_before: clock.now(),
            deferred: false,
            deferred_inputs: Vec::new(),
            accept_timer: false,
            relink_timer: false,
            sweep_due: false,
            done: false,
            early_metrics: Metrics::new(settings.classes.len()),
            clock,
            log,
            wheel,
            files,
            config,
            operator,
            settings,
            poll: poll.clone(),
            console,
            hot_restart,
            http,
            ajp,
            http2,
        })
    }
}

/// The platform's settings with what the operator's file adds to them.
fn controller_settings(config: &Config, operator: &Operator) -> Result<Settings, WorkerError> {
    let mut settings = config.settings.settings(config.seed_number());
    // Retained keys and results lie in this process's own memory: the platform books none for them.
    settings.key_entry_kb = 0.0;
    settings.overload = operator.fleet.as_ref().is_some_and(|fleet| fleet.overload_enabled());
    settings.pools = operator.pools.as_ref().map(|pools| pools.plan(&config.settings)).transpose()?;
    Ok(settings)
}

fn bind_console(config: &Config, poll: &Poll) -> Result<Option<Console>, WorkerError> {
    let Some(address) = config.console else { return Ok(None) };
    let console = Console::bind(poll, address, config.limits.sockets)
        .map_err(|source| WorkerError::Console { address, source })?;
    Ok(Some(console))
}

fn inherited_socket(files: &Files) -> Result<Option<Rc<TcpListener>>, WorkerError> {
    let Some(number) = files.socket.as_deref() else { return Ok(None) };
    Ok(Some(inherited_listener(number)?))
}

fn http_frontend(config: &Config, poll: &Poll, inherited: bool) -> Result<HttpFront, WorkerError> {
    if inherited {
        return Ok(HttpFront::shut(poll));
    }
    let address = config.listen;
    let frontend = HttpFront::bind(poll, address).map_err(|source| ListenError { address, source })?;
    Ok(frontend)
}

fn ajp_frontend(
    config: &Config,
    operator: &Operator,
    poll: &Poll,
    shut: bool,
) -> Result<Option<AjpFront>, WorkerError> {
    let Some(settings) = operator.ajp.clone() else { return Ok(None) };
    let identity = operator.directory.as_ref().map(|directory| directory.identity);
    let mut frontend = AjpFront::shut(poll, settings, identity, config.seed_number());
    if !shut {
        frontend.open(None)?;
    }
    Ok(Some(frontend))
}

fn http2_frontend(operator: &Operator, poll: &Poll, shut: bool) -> Result<Option<Http2Front>, WorkerError> {
    let Some(settings) = operator.http2.clone() else { return Ok(None) };
    let mut frontend = Http2Front::shut(poll, settings);
    if !shut {
        frontend.open(None)?;
    }
    Ok(Some(frontend))
}

fn fleet_member(config: &Config, operator: &Operator, settings: &Settings, poll: &Poll) -> Option<Fleet> {
    let fleet = operator.fleet.as_ref()?;
    let share = settings.dependency.as_ref().map_or(0.0, |dependency| dependency.share);
    let overload = fleet.overload_enabled().then_some(share);
    Some(Fleet::new(poll, MembershipConfig { overload, ..fleet.membership(config) }))
}

fn connect_registry(config: &Config) -> Result<Option<Registry>, WorkerError> {
    let Some(address) = config.registry else { return Ok(None) };
    let registry =
        Registry::new(address, &config.name).map_err(|source| WorkerError::Registry { address, source })?;
    Ok(Some(registry))
}

fn log_address(log: &mut Log, config: &Config, frontend: &str, address: Option<std::net::SocketAddr>) {
    if let Some(address) = address {
        log.line(&format!("{}: {frontend} on {address}", config.name));
    }
}

/// With an inherited listening socket this process may succeed another, and be succeeded. Without a shared folder it
/// can't meet the other, and listens at once.
fn prepare_hot_restart(
    files: &Files,
    config: &Config,
    settings: &Settings,
    poll: &Poll,
    http: &mut HttpFront,
    socket: Rc<TcpListener>,
    log: &mut Log,
) -> Result<Option<HotRestart>, WorkerError> {
    log.line(&format!("{}: http on {}, inherited", config.name, config.listen));
    let Some(folder) = &files.folder else {
        log.line("handover: TMPDIR names no folder: this process can't replace or be replaced");
        http.open(&socket).map_err(WorkerError::InheritedSocket)?;
        return Ok(None);
    };
    let longest_window_s = settings.classes.iter().map(|class| class.window_s).fold(0.0, f64::max);
    let links = Links::new(poll, Path::new(folder));
    Ok(Some(HotRestart::new(links, socket, longest_window_s)))
}
