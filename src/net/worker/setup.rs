//! Construction of a worker from its configuration and the operator's file.

use super::{Configuration, LoopState, Worker, SWEEP_INTERVAL_S};
use crate::config::{Config, FleetSettings, OperatorSettings, StartupOptions};
use crate::dispatch::metrics::Metrics;
use crate::fleet::MembershipConfig;
use crate::interface::Settings;
use crate::log::{LogEvent, LogHandle};
use crate::net::error::WorkerError;
use crate::net::events::{FrontendEvent, HotRestartEvent, UnavailableCause};
use crate::net::frontends::ajp::AjpFrontend;
use crate::net::frontends::frontend::Frontend;
use crate::net::frontends::http1::Http1Frontend;
use crate::net::frontends::http2::Http2Frontend;
use crate::net::frontends::request_fields::Catalog;
use crate::net::frontends::Frontends;
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::lifecycle::console::Console;
use crate::net::lifecycle::hot_restart::{inherited_listener, HotRestart, Links};
use crate::net::upstreams::ajp_backend::AjpBackend;
use crate::net::upstreams::coordinator_link::CoordinatorLink;
use crate::net::upstreams::directory::Directory;
use crate::net::upstreams::executor::Executor;
use crate::net::upstreams::records::Records;
use crate::net::upstreams::registry::Registry;
use crate::net::upstreams::Upstreams;
use crate::net::{Availability, Clock, FrontendContext};
use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;

impl Worker {
    /// Creates a worker and binds its listening sockets, except those that another process may own.
    pub(super) fn new(
        options: StartupOptions,
        platform: Config,
        poll: &Poll,
        log: LogHandle,
    ) -> Result<Worker, WorkerError> {
        let clock = Clock::new();
        let operator = options.operator(&platform)?;
        let settings = controller_settings(&platform, &operator)?;
        let configuration = Configuration { options, platform, operator, settings };
        let catalog = Rc::new(Catalog::new(&configuration.platform.settings, &configuration.settings));
        let socket = inherited_socket(&configuration.options)?;
        let mut frontends = build_frontends(&configuration, poll, socket.is_some())?;
        let upstreams = build_upstreams(&configuration, poll)?;
        report_start(&configuration, &frontends, socket.is_some());
        let hot_restart = match socket {
            Some(socket) => prepare_hot_restart(&configuration, poll, &mut frontends, socket)?,
            None => None,
        };
        let mut wheel = Wheel::new(clock.now());
        wheel.set(clock.now(), SWEEP_INTERVAL_S, Timer::Sweep);
        Ok(Worker {
            context: FrontendContext { catalog, availability: Availability::default() },
            early_metrics: Metrics::new(configuration.settings.classes.len()),
            loop_state: LoopState::new(clock.now()),
            dispatcher: None,
            shutdown: None,
            poll: poll.clone(),
            clock,
            wheel,
            log,
            configuration,
            frontends,
            upstreams,
            hot_restart,
        })
    }
}

/// Derives the admission controller's settings from the platform's settings and the operator's file.
fn controller_settings(config: &Config, operator: &OperatorSettings) -> Result<Settings, WorkerError> {
    let mut settings = config.settings.settings(config.seed_number());
    // Keys and retained results are in this process's own memory, so they take no share of the memory for requests.
    settings.key_entry_kb = 0.0;
    settings.fleet_overload_control = operator.fleet.as_ref().is_some_and(FleetSettings::overload_enabled);
    settings.pools = operator.pools.as_ref().map(|pools| pools.plan(&config.settings)).transpose()?;
    Ok(settings)
}

/// Creates all frontends. They start to listen, except the HTTP/1.1 frontend if its socket is inherited, and those
/// whose listening sockets a predecessor may own and hand off.
fn build_frontends(
    configuration: &Configuration,
    poll: &Poll,
    socket_inherited: bool,
) -> Result<Frontends, WorkerError> {
    let Configuration { options, platform, operator, .. } = configuration;
    let may_have_predecessor = socket_inherited && options.folder.is_some();
    let console = bind_console(platform, poll)?;
    let mut http1 = Http1Frontend::new(poll, platform.listen);
    if !socket_inherited {
        http1.open(None)?;
    }
    let mut ajp = ajp_frontend(platform, operator, poll);
    let mut http2 = operator.http2.clone().map(|settings| Http2Frontend::new(poll, settings));
    if !may_have_predecessor {
        if let Some(ajp) = &mut ajp {
            ajp.open(None)?;
        }
        if let Some(http2) = &mut http2 {
            http2.open(None)?;
        }
    }
    Ok(Frontends::new(console, http1, http2, ajp))
}

fn bind_console(platform: &Config, poll: &Poll) -> Result<Option<Console>, WorkerError> {
    let Some(address) = platform.console else { return Ok(None) };
    let console = Console::bind(poll, address, platform.limits.sockets)
        .map_err(|error| WorkerError::Console { address, source: error.source })?;
    Ok(Some(console))
}

fn ajp_frontend(platform: &Config, operator: &OperatorSettings, poll: &Poll) -> Option<AjpFrontend> {
    let settings = operator.ajp.clone()?;
    let identity = operator.directory.as_ref().map(|directory| directory.identity);
    // A successor has the same configured seed, and its ids must differ from those that run in its predecessor.
    let id_seed = RandomState::new().hash_one(platform.seed_number());
    Some(AjpFrontend::new(poll, settings, identity, id_seed))
}

fn inherited_socket(options: &StartupOptions) -> Result<Option<Rc<TcpListener>>, WorkerError> {
    let Some(setting) = options.socket.as_deref() else { return Ok(None) };
    Ok(Some(inherited_listener(setting)?))
}

fn build_upstreams(configuration: &Configuration, poll: &Poll) -> Result<Upstreams, WorkerError> {
    let Configuration { platform, operator, .. } = configuration;
    Ok(Upstreams {
        executor: Executor::new(poll, platform.executor, platform.settings.domain.own_stats.clone()),
        ajp_backend: operator.backend.clone().map(|settings| AjpBackend::new(poll, settings)),
        records: platform.records.map(|address| Records::new(poll, address)),
        registry: connect_registry(platform)?,
        directory: operator.directory.clone().map(|settings| Directory::new(poll, settings)),
        coordinators: coordinator_link(configuration, poll),
    })
}

fn coordinator_link(configuration: &Configuration, poll: &Poll) -> Option<CoordinatorLink> {
    let Configuration { platform, operator, settings, .. } = configuration;
    let fleet = operator.fleet.as_ref()?;
    let share = settings.dependency.as_ref().map_or(0.0, |dependency| dependency.share);
    let overload = fleet.overload_enabled().then_some(share);
    Some(CoordinatorLink::new(poll, MembershipConfig { overload, ..fleet.membership(platform) }))
}

fn connect_registry(platform: &Config) -> Result<Option<Registry>, WorkerError> {
    let Some(address) = platform.registry else { return Ok(None) };
    let registry =
        Registry::new(address, &platform.name).map_err(|source| WorkerError::Registry { address, source })?;
    Ok(Some(registry))
}

/// Logs the listeners in the order of their kinds, and a configured console address that is overridden.
fn report_start(configuration: &Configuration, frontends: &Frontends, socket_inherited: bool) {
    let platform = &configuration.platform;
    let worker = &platform.name;
    let mut addresses: Vec<(FrontendKind, SocketAddr)> = frontends.addresses().collect();
    addresses.sort_unstable_by_key(|(kind, _)| *kind);
    for (kind, address) in addresses {
        let frontend = kind.as_str();
        FrontendEvent::ListenerOpened { worker, frontend, address, inherited: false }.emit();
    }
    if let Some(configured) = platform.overridden_console {
        FrontendEvent::ConsoleAddressOverridden { configured }.emit();
    }
    if socket_inherited {
        let frontend = FrontendKind::Http1.as_str();
        let address = platform.listen;
        FrontendEvent::ListenerOpened { worker, frontend, address, inherited: true }.emit();
    }
}

/// Sets up hot restart, which requires an inherited listening socket and a shared folder. Without the folder the two
/// processes can't find each other, so hot restart is unavailable and the HTTP frontend listens immediately.
fn prepare_hot_restart(
    configuration: &Configuration,
    poll: &Poll,
    frontends: &mut Frontends,
    socket: Rc<TcpListener>,
) -> Result<Option<HotRestart>, WorkerError> {
    let Some(folder) = &configuration.options.folder else {
        HotRestartEvent::Unavailable(UnavailableCause::NoSharedFolder).emit();
        let opened = frontends.http1.open(Some(socket));
        opened.map_err(|error| WorkerError::InheritedSocket(error.source))?;
        return Ok(None);
    };
    let windows = configuration.settings.classes.iter().map(|class| class.window_s);
    let longest_key_window_s = windows.fold(0.0, f64::max);
    let links = Links::new(poll, Path::new(folder));
    Ok(Some(HotRestart::new(links, socket, longest_key_window_s)))
}
