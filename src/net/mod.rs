//! The port worker on real sockets: one thread, one loop. Each turn gathers what is ready, hands it to the core in
//! one go, and carries out what comes back.

pub mod frontends;
pub mod io;
pub mod lifecycle;
pub mod upstreams;

use crate::config::{Config, Files, Operator};
use crate::dispatch::metrics::Metrics;
use crate::dispatch::{Command, Dispatcher, FingerprintKey, Input, Response, Ticket};
use crate::fleet::MembershipConfig;
use crate::hot_restart::{Event, IndeterminateKeys};
use crate::interface::{Outcome, Settings};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer as LoopTimer};
use calloop::{EventLoop, RegistrationToken};
use frontends::ajp::{AjpFront, Turn};
use frontends::http1::HttpFront;
use frontends::http2::Http2Front;
use frontends::request_fields::Catalog;
use io::poll::{Gathered, Place, Poll, ACCEPT_PAUSE_S};
use io::timer_wheel::{Timer, Wheel};
use lifecycle::console::Console;
use lifecycle::hot_restart::{inherited_listener, HotRestart, Links};
use lifecycle::shutdown::Leaving;
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use upstreams::ajp_backend::AjpBackend;
use upstreams::coordinator_link::Fleet;
use upstreams::directory::Directory;
use upstreams::executor::{Executor, Welcome};
use upstreams::records::Records;
use upstreams::registry::{Registry, BEAT_S};

/// How often idle and slow connections are looked for (seconds).
const SWEEP_S: f64 = 0.25;
/// Rounds of one turn at most: requests that lie behind answered ones, and outcomes of what was just asked.
const ROUNDS: usize = 8;
/// A process that comes so much later than it meant to was stopped, or had no core: signals may have come meanwhile that
/// the loop has not told of (seconds).
const STALL_S: f64 = 0.05;
/// Kept results may take one part in so many of the memory limit.
const RESULT_PART: f64 = 8.0;
/// What callers are told when the executor is not up yet (seconds).
const NOT_UP_S: f64 = 1.0;
/// How often the log repeats what peers can bring about at will (seconds).
const OFTEN_S: f64 = 10.0;
/// Log lines a second; what a peer can bring about must not fill a disk.
const LOG_LINES: u32 = 20;

/// The loop's clock: monotonic seconds since the start. The Unix clock serves to read stamps alone.
pub struct Clock {
    start: Instant,
}

impl Clock {
    fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.max(0.0))
    }

    pub fn unix_ms(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
    }
}

/// Lines for on-call staff, on standard error, a bounded number a second.
#[derive(Default)]
pub struct Log {
    second: u64,
    lines: u32,
    left_out: u32,
    now: f64,
    /// Lines that may come with every request: when each was last written, and how often it came since.
    often: HashMap<&'static str, (f64, u32)>,
}

impl Log {
    fn at(&mut self, now: f64) {
        self.now = now;
        if now as u64 != self.second {
            (self.second, self.lines) = (now as u64, 0);
            if self.left_out > 0 {
                eprintln!("{now:.3} {} lines left out", std::mem::take(&mut self.left_out));
            }
        }
    }

    /// A line that peers can bring about over and over: once in a while, with a count.
    pub fn often(&mut self, text: &'static str) {
        let now = self.now;
        let (at, count) = self.often.entry(text).or_insert((f64::NEG_INFINITY, 0));
        *count += 1;
        if now - *at >= OFTEN_S {
            let count = std::mem::take(count);
            *at = now;
            self.line(&if count > 1 { format!("{text}, {count} times") } else { text.to_owned() });
        }
    }

    pub fn line(&mut self, text: &str) {
        self.lines += 1;
        if self.lines <= LOG_LINES {
            eprintln!("{:.3} {text}", self.now);
        } else {
            self.left_out += 1;
        }
    }
}

/// What fronts say of this worker with each answer.
pub struct State {
    pub known: Rc<Catalog>,
    /// The free value.
    pub level: Option<f64>,
    /// What health checks are told.
    pub fit: bool,
    /// The notice to leave has come.
    pub leaving: bool,
    /// Operators have asked for clients to be sent away; everything that comes is still decided as ever.
    pub draining: bool,
    /// Another process has this one's place, and takes the connections over as they fall idle.
    pub passing: bool,
}

impl State {
    /// Whether connections that can't be passed on are told to go.
    pub fn ends_connections(&self) -> bool {
        self.leaving || self.passing
    }

    /// What health checks and the registry are told.
    pub fn good(&self) -> bool {
        self.fit && !self.leaving && !self.draining
    }
}

/// One port worker.
pub struct Worker {
    clock: Clock,
    log: Log,
    wheel: Wheel,
    files: Files,
    config: Config,
    operator: Operator,
    settings: Settings,
    core: Option<Dispatcher>,
    state: State,
    healthy: bool,
    idle_s: f64,
    poll: Poll,
    console: Option<Console>,
    replacement: Option<HotRestart>,
    /// What was turned away before there was a core.
    early: Metrics,
    http: HttpFront,
    ajp: Option<AjpFront>,
    http2: Option<Http2Front>,
    directory: Option<Directory>,
    /// Runs go to the executor, or to AJP servers where the operator names some.
    executor: Executor,
    servers: Option<AjpBackend>,
    records: Option<Records>,
    registry: Option<Registry>,
    fleet: Option<Fleet>,
    leaving: Option<Leaving>,
    /// When connections were first ended for the end of the process.
    ended: Option<f64>,
    /// When this turn began, and the one before it: what came since may have come at any time.
    turn_began: f64,
    turn_before: f64,
    /// What this turn has gathered is left to the next one, since the process stalled in between.
    put_off: bool,
    /// What came up too late in a turn to be handed over in it.
    left_over: Vec<Input>,
    accept_timer: bool,
    relink_timer: bool,
    sweep_due: bool,
    done: bool,
}

/// Runs a port worker until it has left.
pub fn run(files: Files) -> Result<(), String> {
    let mut events: EventLoop<Gathered> = EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let handle = events.handle();
    // Before anything else: from here on a notice is taken in turn, not by the default death.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    handle
        .insert_source(signals, |event, _, gathered: &mut Gathered| match event.signal() {
            Signal::SIGHUP => gathered.reload = true,
            _ => gathered.leave = true,
        })
        .map_err(|e| format!("signals: {e}"))?;
    let config = files.config()?;
    let mut timer_token: Option<RegistrationToken> = None;
    let poll = Poll::new(handle.clone(), config.socket_budget());
    let mut worker = Worker::new(files, config, &poll)?;
    worker.find_predecessor(worker.clock.now()).map_err(|e| e.to_string())?;
    let mut gathered = Gathered::default();
    let mut armed = None;
    worker.turn(&mut gathered);
    while !worker.done {
        let next = worker.wheel.next();
        if next != armed {
            // The one timer of the loop is set anew where the wheel's next tick has moved.
            if let Some(token) = timer_token.take() {
                handle.remove(token);
            }
            if let Some(at) = next {
                let source = LoopTimer::from_deadline(worker.clock.instant(at));
                let token = handle
                    .insert_source(source, |_, _, _: &mut Gathered| TimeoutAction::Drop)
                    .map_err(|e| format!("timer: {e}"))?;
                timer_token = Some(token);
            }
            armed = next;
        }
        events.dispatch(None, &mut gathered).map_err(|e| format!("event loop: {e}"))?;
        if next.is_some_and(|due| worker.clock.now() > due + STALL_S) {
            // What the wait brought is of before the stall.
            events.dispatch(Some(Duration::ZERO), &mut gathered).map_err(|e| format!("event loop: {e}"))?;
        }
        worker.turn(&mut gathered);
    }
    Ok(())
}

impl Worker {
    fn new(files: Files, config: Config, poll: &Poll) -> Result<Worker, String> {
        let clock = Clock::new();
        let operator = files.operator(&config)?;
        let mut settings = config.settings.settings(config.seed_number());
        // Kept keys and results lie in this process's own memory: the platform books none for them.
        settings.key_entry_kb = 0.0;
        settings.overload = operator.fleet.as_ref().is_some_and(|f| f.overload());
        settings.pools = operator.pools.as_ref().map(|p| p.plan(&config.settings)).transpose()?;
        let known = Rc::new(Catalog::new(&config.settings, &settings));
        let sockets = config.limits.sockets;
        let bind =
            |address| Console::bind(poll, address, sockets).map_err(|e| format!("console {address}: {e}"));
        let console = config.console.map(bind).transpose()?;
        let socket =
            files.socket.as_deref().map(inherited_listener).transpose().map_err(|e| e.to_string())?;
        // Another process may have the operator's addresses, and hand them over.
        let meets = socket.is_some() && files.folder.is_some();
        let mut http = match &socket {
            Some(_) => HttpFront::shut(poll),
            None => HttpFront::bind(poll, config.listen).map_err(|e| format!("{}: {e}", config.listen))?,
        };
        let executor = Executor::new(poll, config.executor, config.settings.domain.own_stats.clone());
        let by = operator.directory.as_ref().map(|d| d.identity);
        let ajp = match operator.ajp.clone() {
            Some(ajp) => {
                let mut front = AjpFront::shut(poll, ajp, by, config.seed_number());
                if !meets {
                    front.open(None)?;
                }
                Some(front)
            }
            None => None,
        };
        let http2 = match operator.http2.clone() {
            Some(http2) => {
                let mut front = Http2Front::shut(poll, http2);
                if !meets {
                    front.open(None)?;
                }
                Some(front)
            }
            None => None,
        };
        let directory = operator.directory.clone().map(|settings| Directory::new(poll, settings));
        let servers = operator.backend.clone().map(|settings| AjpBackend::new(poll, settings));
        let part = settings.dependency.as_ref().map_or(0.0, |d| d.share);
        let fleet = operator.fleet.as_ref().map(|f| {
            let overload = f.overload().then_some(part);
            Fleet::new(poll, MembershipConfig { overload, ..f.plan(&config) })
        });
        let registry = match config.registry {
            Some(to) => Some(Registry::new(to, &config.name).map_err(|e| format!("registry {to}: {e}"))?),
            None => None,
        };
        let mut log = Log::default();
        for (front, address) in [
            ("console", console.as_ref().and_then(|c| c.connections.address())),
            ("http", http.connections.address()),
            ("ajp", ajp.as_ref().and_then(|a| a.connections.address())),
            ("http2", http2.as_ref().and_then(|h| h.connections.address())),
        ] {
            if let Some(address) = address {
                log.line(&format!("{}: {front} on {address}", config.name));
            }
        }
        if let Some(address) = config.console_passed_over {
            log.line(&format!("console: ROUTER_CONSOLE goes before the configuration's {address}"));
        }
        let window_s = settings.classes.iter().map(|c| c.window_s).fold(0.0, f64::max);
        let mut replacement = None;
        if let Some(socket) = socket {
            log.line(&format!("{}: http on {}, inherited", config.name, config.listen));
            match &files.folder {
                Some(folder) => {
                    let links = Links::new(poll, Path::new(folder));
                    replacement = Some(HotRestart::new(links, socket, window_s));
                }
                None => {
                    log.line("handover: TMPDIR names no folder: this process can't replace or be replaced");
                    http.open(&socket).map_err(|e| format!("ROUTER_SOCKET_FD: {e}"))?;
                }
            }
        }
        let mut wheel = Wheel::new(clock.now());
        wheel.set(clock.now(), SWEEP_S, Timer::Sweep);
        Ok(Worker {
            records: config.records.map(|to| Records::new(poll, to)),
            idle_s: settings.idle_s.max(1.0),
            state: State { known, level: None, fit: false, leaving: false, draining: false, passing: false },
            healthy: true,
            core: None,
            leaving: None,
            ended: None,
            turn_began: clock.now(),
            turn_before: clock.now(),
            put_off: false,
            left_over: Vec::new(),
            accept_timer: false,
            relink_timer: false,
            sweep_due: false,
            done: false,
            clock,
            log,
            wheel,
            files,
            config,
            operator,
            poll: poll.clone(),
            replacement,
            early: Metrics::new(settings.classes.len()),
            settings,
            console,
            http,
            ajp,
            http2,
            directory,
            executor,
            servers,
            registry,
            fleet,
        })
    }

    fn turn(&mut self, gathered: &mut Gathered) {
        let now = self.clock.now();
        (self.turn_before, self.turn_began) = (self.turn_began, now);
        self.log.at(now);
        for (place, readable, writable) in gathered.take() {
            match place {
                Place::ConsoleListener => {
                    if let Some(c) = &mut self.console {
                        c.connections.mark_listener();
                    }
                }
                Place::Console(id) => {
                    if let Some(c) = &mut self.console {
                        c.connections.mark(id, readable, writable);
                    }
                }
                Place::HandoverListener => {
                    if let Some(r) = &mut self.replacement {
                        r.links.mark_listener();
                    }
                }
                Place::Handover(id) => {
                    if let Some(r) = &mut self.replacement {
                        r.links.mark(id, readable, writable);
                    }
                }
                Place::HttpListener => self.http.connections.mark_listener(),
                Place::Http(id) => self.http.connections.mark(id, readable, writable),
                Place::AjpListener => {
                    if let Some(a) = &mut self.ajp {
                        a.connections.mark_listener();
                    }
                }
                Place::Ajp(id) => {
                    if let Some(a) = &mut self.ajp {
                        a.connections.mark(id, readable, writable);
                    }
                }
                Place::Http2Listener => {
                    if let Some(h) = &mut self.http2 {
                        h.connections.mark_listener();
                    }
                }
                Place::Http2(id) => {
                    if let Some(h) = &mut self.http2 {
                        h.connections.mark(id, readable, writable);
                    }
                }
                Place::Directory(id) => {
                    if let Some(d) = &mut self.directory {
                        d.mark(id, readable, writable);
                    }
                }
                Place::AjpServer(id) => {
                    if let Some(s) = &mut self.servers {
                        s.mark(id, readable, writable);
                    }
                }
                Place::Fleet(id) => {
                    if let Some(f) = &mut self.fleet {
                        f.mark(id, readable, writable);
                    }
                }
                // Coordinators have such a listener, workers none.
                Place::FleetListener => {}
                Place::Executor(id) => self.executor.mark(id, readable, writable),
                Place::Records(id) => {
                    if let Some(r) = &mut self.records {
                        r.mark(id, readable, writable);
                    }
                }
            }
        }
        let mut inputs = std::mem::take(&mut self.left_over);
        // A word that waits goes before the notice to leave: with the door given away that is no drain.
        self.receive_hot_restart_frames(now, &mut inputs);
        if std::mem::take(&mut gathered.leave) {
            // Before all that has been read, since it may have come before it.
            let mut first = Vec::new();
            self.leave(now, &mut first);
            inputs.splice(0..0, first);
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, &mut inputs);
        }
        self.gather(&mut inputs);
        // Only now: what has come in time goes before the end of that time, also where both are seen in one turn.
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        due.into_iter().for_each(|timer| self.timer(now, timer, &mut inputs));
        self.rounds(inputs);
        self.fleet_turn(now);
        if std::mem::take(&mut self.sweep_due) {
            self.sweep();
        }
        if self.has_handed_off() {
            self.follow_exit(now);
        } else {
            self.follow_leaving();
        }
    }

    /// Gathers what is ready, hands it over, carries out what comes back, until nothing is left that the loop would not
    /// tell of.
    fn rounds(&mut self, mut inputs: Vec<Input>) {
        inputs.splice(0..0, self.left_over.drain(..));
        for round in 0..ROUNDS {
            self.gather(&mut inputs);
            let now = self.clock.now();
            // Guards the grace of a notice that lies unread: nothing starts before it has been looked for.
            self.put_off = !self.put_off && self.leaving.is_none() && now > self.turn_began + STALL_S;
            if self.put_off {
                self.wheel.set(now, 0.0, Timer::Again);
                break;
            }
            let mut commands = Vec::new();
            match &mut self.core {
                Some(core) if !inputs.is_empty() => core.handle(now, inputs.drain(..), &mut commands),
                Some(_) => {}
                None => self.turn_away(now, &mut inputs),
            }
            for command in commands {
                self.carry_out(now, command, &mut inputs);
            }
            self.flush(now);
            self.send_hot_restart_frames(now);
            if !self.pending() && inputs.is_empty() {
                break;
            }
            if round + 1 == ROUNDS {
                self.wheel.set(now, 0.0, Timer::Again);
            }
        }
        // Guards the last round's outcomes: a run given back there would otherwise never be answered.
        self.left_over = inputs;
    }

    /// Whether something waits that the loop will not tell of.
    fn pending(&self) -> bool {
        self.http.connections.pending()
            || self.console.as_ref().is_some_and(|c| c.connections.pending())
            || self.ajp.as_ref().is_some_and(|a| a.connections.pending())
            || self.http2.as_ref().is_some_and(|h| h.connections.pending())
            || self.servers.as_ref().is_some_and(AjpBackend::pending)
            || self.records.as_ref().is_some_and(Records::pending)
    }

    /// Takes in all that is ready: outcomes first, which make room for what arrives.
    fn gather(&mut self, inputs: &mut Vec<Input>) {
        let now = self.clock.now();
        let mut paused = self.serve_console(now);
        match &mut self.servers {
            Some(servers) => servers.gather(now, &self.state.known, inputs, &mut self.wheel, &mut self.log),
            None => self.executor.gather(now, inputs, &mut self.log),
        }
        if let Some(after) =
            self.executor.relink_in(now).filter(|_| self.servers.is_none() && !self.relink_timer)
        {
            self.relink_timer = true;
            self.wheel.set(now, after, Timer::Relink);
        }
        if self.core.is_none() {
            self.start_core(now, inputs);
        }
        if let Some(records) = &mut self.records {
            records.gather(now, inputs, &mut self.wheel, &mut self.log);
        }
        paused |= self.http.gather(&self.clock, &self.state, inputs);
        if let Some(http2) = &mut self.http2 {
            paused |= http2.gather(&self.clock, &self.state, inputs, &mut self.log);
        }
        if let Some(ajp) = &mut self.ajp {
            let (clock, state, log) = (&self.clock, &self.state, &mut self.log);
            let mut lookups = Vec::new();
            let mut turn = Turn { clock, state, inputs, lookups: &mut lookups, log };
            paused |= ajp.gather(&mut turn);
            if let Some(directory) = &mut self.directory {
                for lookup in std::mem::take(turn.lookups) {
                    directory.look_up(now, lookup, &mut self.wheel, turn.log);
                }
                directory.gather(now, turn.log);
                for (ticket, found) in directory.take_found() {
                    ajp.found(ticket, found, &mut turn);
                }
            }
        }
        if paused && !self.accept_timer {
            self.accept_timer = true;
            self.wheel.set(now, ACCEPT_PAUSE_S, Timer::Accept);
        }
    }

    /// There is no core before the executor is up: what arrives all the same is turned away, as nothing ran.
    fn turn_away(&mut self, now: f64, inputs: &mut Vec<Input>) {
        for input in inputs.drain(..) {
            if let Input::Arrived(request) = input {
                let answer = Response::Rejected { retry_after_s: NOT_UP_S, stop_retrying: false };
                self.early.answered(request.class, &answer);
                self.answer(now, request.ticket, answer);
            }
        }
    }

    fn answer(&mut self, now: f64, ticket: Ticket, answer: Response) {
        match &mut self.ajp {
            Some(ajp) if ajp.connections.owns(ticket.0) => ajp.answer(now, ticket, answer, &self.state),
            _ => match &mut self.http2 {
                Some(http2) if http2.owns(ticket) => http2.answer(now, ticket, answer, &self.state),
                _ => self.http.answer(now, ticket, answer, &self.state),
            },
        }
    }

    /// The executor is up: the controller starts with it, as warm as the executor says.
    fn start_core(&mut self, now: f64, inputs: &mut Vec<Input>) {
        // AJP servers say nothing of their start: they are taken to be up and warm.
        let up = self.servers.as_ref().map(|_| Welcome { cold: false, started: now });
        let Some(welcome) = up.or(self.executor.welcome()) else { return };
        let mut settings = self.settings.clone();
        settings.cold = welcome.cold && now - welcome.started < settings.warm_up_s;
        self.log.line(&format!(
            "executor is up, {}, started {:.3} s ago",
            if settings.cold { "cold" } else { "warm" },
            now - welcome.started
        ));
        let room = self.config.limits.memory_mb * 1024.0 * 1024.0 / RESULT_PART;
        let mut commands = Vec::new();
        // The controller's time begins now, not with the executor: a past start made its first run look hung.
        let mut core = Dispatcher::new(settings, now, room as usize, &mut commands);
        // The system's random numbers: bodies that look the same to it can't be made up outside.
        let dice = RandomState::new();
        core.set_fingerprint_key(FingerprintKey(dice.hash_one(1), dice.hash_one(2)));
        core.add_metrics(&self.early);
        core.set_indeterminate_keys(
            self.replacement.as_ref().map_or(IndeterminateKeys::None, HotRestart::indeterminate_keys),
        );
        if let Some(leaving) = &self.leaving {
            let (notice, stop) = (leaving.at.notice, leaving.at.kill_at);
            core.handle(now, [Input::Shutdown { notice, stop }], &mut commands);
        }
        self.core = Some(core);
        for command in commands {
            self.carry_out(now, command, &mut Vec::new());
        }
        self.state.fit = self.healthy;
        self.wheel.set(now, 0.0, Timer::Beat);
        self.executor.ask_gauges();
        self.on_hot_restart_event(now, Event::ReadyToServe, inputs);
    }

    fn timer(&mut self, now: f64, timer: Timer, inputs: &mut Vec<Input>) {
        match timer {
            Timer::Wake => {
                inputs.push(Input::Woken(self.executor.gauges(now)));
                self.executor.ask_gauges();
            }
            Timer::Call(number) => {
                if let Some(r) = &mut self.records {
                    r.due(number, inputs);
                }
            }
            Timer::Run(number) => {
                if let Some(s) = &mut self.servers {
                    s.due(now, number, inputs, &mut self.wheel, &mut self.log);
                }
            }
            Timer::Search(number) => {
                if let Some(d) = &mut self.directory {
                    d.due(now, number);
                }
            }
            Timer::Beat => {
                self.beat(true);
                self.wheel.set(now, BEAT_S, Timer::Beat);
            }
            Timer::Sweep => {
                self.sweep_due = true;
                self.wheel.set(now, SWEEP_S, Timer::Sweep);
            }
            Timer::Relink => self.relink_timer = false,
            Timer::Accept => self.accept_timer = false,
            _ => {}
        }
    }

    /// Reports to the registry once the executor is up: the list takes `draining` for "no work, please".
    fn beat(&mut self, due: bool) {
        let ready = self.state.good();
        let listed = self.core.is_some() && self.owns_listeners();
        if let Some(registry) = self.registry.as_mut().filter(|_| listed) {
            registry.beat(ready, due);
        }
    }

    fn carry_out(&mut self, now: f64, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Respond(ticket, answer) => self.answer(now, ticket, answer),
            Command::Run { name, class, body, due } => {
                if let Some(servers) = &mut self.servers {
                    servers.run(now, name, class, body, due, &mut self.wheel);
                } else if !self.executor.run(&name, class, &body, &self.state.known) {
                    // Not even queued: it has not run, and will not.
                    inputs.push(Input::NeverRan { name });
                }
            }
            Command::Call { name, body, for_s, again } => match &mut self.records {
                Some(records) => records.call(now, name, body, for_s, again, &mut self.wheel),
                None => inputs.push(Input::CallEnded { name, outcome: Outcome::Unreachable, reply: None }),
            },
            Command::GiveUpCall(name) => {
                if let Some(records) = &mut self.records {
                    records.give_up(&name);
                }
            }
            Command::Resume { name, reply } => {
                if !self.executor.resume(&name, &reply) {
                    self.log.line("executor: the queue is full; a reply is lost");
                }
            }
            Command::SkipCall { name, mark } => {
                if !self.executor.skip(&name, mark) {
                    self.log.line("executor: the queue is full; a skip is lost");
                }
            }
            Command::Health(good) => {
                self.healthy = good;
                if self.core.is_some() {
                    self.state.fit = good;
                    self.beat(false);
                }
            }
            Command::Publish(level) => self.state.level = Some(level),
            Command::WakeIn(after) => self.wheel.set(now, after, Timer::Wake),
            Command::Log(text) => self.log.line(&text),
            Command::IdempotencyUpdate(news) => self.send_key_update(&news),
        }
    }

    fn flush(&mut self, now: f64) {
        self.executor.flush(now, &mut self.log);
        if let Some(d) = &mut self.directory {
            d.flush(now, &mut self.log);
        }
    }
}
