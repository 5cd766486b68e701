//! What a worker does when it replaces another process, and when another replaces it: the acts that
//! `src/handover/` decides on, carried out on the fronts, the core and the links.

use crate::dispatch::idempotency::IdempotencyUpdate;
use crate::dispatch::{FingerprintKey, HandedOffRequest, Input, ResourceUsage, Ticket};
use crate::hot_restart::frame::{
    Frame, HandedOffConnection, KeyEnd, KeyState, QueuedRequest, Usage, VERSION,
};
use crate::hot_restart::{Effect, Event, IndeterminateKeys, ListenerOwnership, PATIENCE_S};
use crate::net::frontends::connections::{DetachedConnection, Stage};
use crate::net::io::timer_wheel::Timer;
use crate::net::lifecycle::hot_restart_links::{Found, Heard, Links};
use crate::net::lifecycle::hot_restart_messages::{passed, to_held, to_news, to_request, to_state, zero_ms};
use crate::net::Worker;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// SIGKILL follows SIGTERM after the longest deadline, counted as this where it is longer, and so much more
/// (seconds; the running days' page). The process ends so long before.
const LONGEST_LEAST_S: f64 = 3.0;
const KILL_AFTER_S: f64 = 0.7;
const END_MARGIN_S: f64 = 0.1;
/// Fronts of an operator's file that have a socket of their own, by their blocks.
const FRONTS: usize = 2;
const AJP: &str = "ajp";
const HTTP2: &str = "http2";
/// Of the memory limit, what results and keys that were sent may take before they are acted on: twice the room for
/// results, since the old process may hold what an older one has sent it; and what a key without a result counts for.
const STASH_PART: f64 = crate::net::RESULT_PART / 2.0;
const KEY_BYTES: usize = 256;
/// Descriptors that a process holds beside its budget: standard streams, the loop's, links.
const OVERHEAD: usize = 10;

/// What the old process has sent before it said that this was all.
#[derive(Default)]
struct Stash {
    state: Option<Frame>,
    keys: Vec<KeyState>,
    /// What the keys take, roughly (bytes).
    bytes: usize,
    usage: Usage,
    passed: Vec<(HandedOffConnection, OwnedFd)>,
    /// It has been acted on: what comes now is acted on as it comes.
    adopted: bool,
}

/// The part of a worker that exists where the listening socket is inherited and there is a folder to meet in.
pub struct Replacement {
    pub links: Links,
    pub door: ListenerOwnership,
    socket: Rc<TcpListener>,
    stash: Stash,
    lent: Vec<HandedOffRequest>,
    /// Listening sockets of the operator's fronts: those that were sent, or those that were given away.
    listeners: Vec<(String, Rc<TcpListener>)>,
    /// Why a front could not be opened.
    shut: Option<String>,
    told: Usage,
    /// The new process and this one understand each other.
    welcome: bool,
    /// What was believed of keys before they were lent.
    doubt: IndeterminateKeys,
    /// Told to leave with the door given away: when the process ends at the latest.
    pub ending: Option<f64>,
}

impl Replacement {
    /// What is believed of keys, for a core that begins now.
    pub fn doubt(&self) -> IndeterminateKeys {
        self.doubt
    }

    pub fn new(links: Links, socket: Rc<TcpListener>, window_s: f64) -> Replacement {
        Replacement {
            links,
            door: ListenerOwnership::new(window_s),
            socket,
            stash: Stash::default(),
            lent: Vec::new(),
            listeners: Vec::new(),
            shut: None,
            told: Usage::default(),
            welcome: false,
            doubt: IndeterminateKeys::None,
            ending: None,
        }
    }
}

impl Worker {
    /// How long a key links tries at most: its window, and what the module adds to be safe.
    fn longest_window_s(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.window_s).fold(0.0, f64::max) + 1.0
    }

    /// Whether clients are let in.
    pub(in crate::net) fn door_open(&self) -> bool {
        self.replacement.as_ref().map_or(true, |r| r.door.is_open())
    }

    /// Whether another process has this one's place.
    pub(in crate::net) fn given_away(&self) -> bool {
        self.replacement.as_ref().is_some_and(|r| r.door.given_away())
    }

    /// Looks for a process that serves already, right after the start.
    /// An error is one line about an address of the operator's file that can't be used.
    pub(in crate::net) fn look_round(&mut self, now: f64) -> Result<(), String> {
        let Some(r) = &mut self.replacement else { return Ok(()) };
        let event = match r.links.seek() {
            Ok(Found::Linked) => Event::Linked,
            Ok(Found::Nobody) => Event::Alone,
            Ok(Found::Dead) => {
                self.log.line("handover: the process before this one has died; what it ran is not known");
                Event::FoundDead
            }
            Err(e) => {
                self.log.line(&format!("handover: no link to a process before this one: {e}"));
                Event::Alone
            }
        };
        let mut inputs = Vec::new();
        self.door(now, event, &mut inputs);
        self.left_over.append(&mut inputs);
        self.replacement.as_mut().and_then(|r| r.shut.take()).map_or(Ok(()), Err)
    }

    /// Tells the door what happened and does what it says.
    pub(in crate::net) fn door(&mut self, now: f64, event: Event, inputs: &mut Vec<Input>) {
        let Some(r) = &mut self.replacement else { return };
        let mut acts = Vec::new();
        r.door.handle(now, event, &mut acts);
        if matches!(event, Event::Linked | Event::Welcomed | Event::Able) {
            self.wheel.set(now, PATIENCE_S, Timer::Again);
        }
        for act in acts {
            self.act(now, act, inputs);
        }
    }

    /// Takes what the links have said, before any front is looked at.
    pub(in crate::net) fn replace(&mut self, now: f64, inputs: &mut Vec<Input>) {
        while let Some(heard) = self.replacement.as_mut().and_then(|r| r.links.hear()) {
            match heard {
                Heard::Old(frame, descriptor) => self.old_said(now, frame, descriptor, inputs),
                Heard::OldDamaged(why) => {
                    self.log.line(&format!("handover: what the old process says is damaged: {why}"));
                    self.door(now, Event::Estranged, inputs);
                }
                Heard::OldLost => {
                    self.log.line("handover: the old process has ended");
                    self.poll.set_beside(0);
                    self.door(now, Event::OldLost, inputs);
                    inputs.push(Input::PredecessorGone);
                    if self.door_open() {
                        self.open_fronts();
                    }
                }
                Heard::New(frame) => self.new_said(now, frame, inputs),
                Heard::NewDamaged(why) => {
                    self.log.line(&format!("handover: what the new process says is damaged: {why}"));
                    if let Some(r) = &mut self.replacement {
                        r.links.drop_new();
                    }
                    self.door(now, Event::NewLost, inputs);
                }
                Heard::NewLost => {
                    self.log.line("handover: the new process has ended");
                    self.door(now, Event::NewLost, inputs);
                }
            }
        }
        // Only now: what it waits for may have come while this process got no time.
        self.door(now, Event::Tick, inputs);
    }

    fn old_said(&mut self, now: f64, frame: Frame, descriptor: Option<OwnedFd>, inputs: &mut Vec<Input>) {
        let Some(r) = &mut self.replacement else { return };
        let adopted = r.stash.adopted;
        let stash_most = (self.config.limits.memory_mb * 1024.0 * 1024.0 / STASH_PART) as usize;
        match frame {
            Frame::Welcome => self.door(now, Event::Welcomed, inputs),
            Frame::Stranger { why } => {
                self.log.line(&format!("handover: the old process gives nothing: {why}"));
                self.door(now, Event::Estranged, inputs);
            }
            Frame::State { .. } => r.stash.state = Some(frame),
            Frame::Key(state) if adopted => {
                inputs.push(Input::IdempotencyUpdate(to_news(
                    state,
                    zero_ms(&self.clock),
                    now + self.longest_window_s(),
                )));
            }
            // More than a process can have: no port worker is speaking.
            _ if r.stash.bytes > stash_most || r.stash.passed.len() > self.config.limits.sockets => {
                self.log.line("handover: the old process says too much");
                self.door(now, Event::Estranged, inputs);
            }
            Frame::Key(state) => {
                let result = if let KeyEnd::Served(Some(result)) = &state.end { result.0.len() } else { 0 };
                r.stash.bytes += KEY_BYTES + state.key.key.len() + result;
                r.stash.keys.push(state);
            }
            Frame::Usage(usage) if adopted => self.beside(usage, inputs),
            Frame::Usage(usage) => r.stash.usage = usage,
            Frame::Passed(passed) => {
                let Some(descriptor) = descriptor else { return };
                if adopted {
                    self.take_over(now, passed, descriptor, inputs);
                } else {
                    r.stash.passed.push((passed, descriptor));
                }
            }
            Frame::Listener { front } => {
                if let Some(listener) =
                    descriptor.map(TcpListener::from).filter(|_| r.listeners.len() < FRONTS)
                {
                    r.listeners.push((front, Rc::new(listener)));
                }
            }
            Frame::Done => self.door(now, Event::Given, inputs),
            Frame::Drain(on) => self.drain(on),
            _ => self.log.often("handover: the old process said what only a new one says"),
        }
    }

    fn new_said(&mut self, now: f64, frame: Frame, inputs: &mut Vec<Input>) {
        match frame {
            Frame::Hello { version, name, classes, tenants } => {
                let s = &self.config.settings;
                let same = classes.iter().eq(s.profiles.iter().map(|p| &p.name))
                    && tenants.iter().eq(s.tenants.iter().map(|t| &t.name));
                let why = if version != VERSION {
                    Some(format!("version {version}, expected {VERSION}"))
                } else if name != self.config.name || !same {
                    Some("another name, other classes or other tenants".to_owned())
                } else {
                    None
                };
                let Some(r) = &mut self.replacement else { return };
                r.welcome = why.is_none();
                match why {
                    None => r.links.to_new(&Frame::Welcome, None),
                    Some(why) => {
                        self.log.line(&format!("handover: the new process gets nothing: {why}"));
                        r.links.to_new(&Frame::Stranger { why }, None);
                    }
                }
            }
            Frame::Take if self.replacement.as_ref().is_some_and(|r| r.welcome) => {
                self.door(now, Event::Asked, inputs);
            }
            Frame::Opened => self.door(now, Event::Acknowledged, inputs),
            _ => self.log.often("handover: the new process said what only an old one says"),
        }
    }

    fn act(&mut self, now: f64, act: Effect, inputs: &mut Vec<Input>) {
        let Some(r) = &mut self.replacement else { return };
        match act {
            Effect::Greet => {
                let s = &self.config.settings;
                r.links.to_old(&Frame::Hello {
                    version: VERSION,
                    name: self.config.name.clone(),
                    classes: s.profiles.iter().map(|p| p.name.clone()).collect(),
                    tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
                });
            }
            Effect::Ask => r.links.to_old(&Frame::Take),
            Effect::Acknowledge => r.links.to_old(&Frame::Opened),
            Effect::Watch | Effect::Forget => {
                r.stash = Stash::default();
                if act == Effect::Watch {
                    r.links.watch_old();
                }
            }
            Effect::Adopt => self.adopt(now, inputs),
            Effect::Open => self.open(now),
            Effect::Believe(doubt) => {
                self.log.line(match doubt {
                    IndeterminateKeys::None => "handover: all keys are known again",
                    IndeterminateKeys::Lives => {
                        "handover: the old process says nothing: keys that are not known here fail"
                    }
                    IndeterminateKeys::Until(_) => {
                        "handover: further tries of keys that are not known here fail for a window"
                    }
                });
                r.doubt = doubt;
                if let Some(core) = &mut self.core {
                    core.set_indeterminate_keys(doubt);
                }
            }
            Effect::Lend => self.lend(now, inputs),
            Effect::Part => {
                r.lent.clear();
                for id in self.http.connections.ids_where(|c| c.stage == Stage::HandedOff) {
                    self.http.connections.close(id);
                }
                r.links.stop_listening();
                r.listeners.clear();
                self.log.line("handover: the new process has the door");
            }
            Effect::TakeBack => self.take_back(now, inputs),
            Effect::End => {
                let longest =
                    self.settings.classes.iter().map(|c| c.deadline_s).fold(LONGEST_LEAST_S, f64::max);
                // A drain that was under way when the door went has its own stop.
                let stop = self.leaving.as_ref().map_or(now + longest + KILL_AFTER_S, |l| l.at.kill_at);
                r.ending = Some(stop - END_MARGIN_S);
                self.wheel.set(now, stop - END_MARGIN_S - now, Timer::Again);
                self.log.line("handover: told to leave; ends when nothing is owed");
            }
        }
    }

    /// Lets clients in, and a successor.
    fn open(&mut self, now: f64) {
        let Some(r) = &mut self.replacement else { return };
        if let Err(e) = r.links.listen() {
            self.log.line(&format!("handover: this process can't be replaced: {e}"));
        }
        self.let_in(now);
        self.log.line("handover: the door is open here");
    }

    /// Opens all fronts, and nothing is lent any more.
    fn let_in(&mut self, now: f64) {
        let Some(r) = &mut self.replacement else { return };
        self.state.passing = false;
        if let Some(core) = &mut self.core {
            core.end_hand_off();
            core.set_indeterminate_keys(r.doubt);
            self.wheel.set(now, 0.0, Timer::Beat);
        }
        // A drain may have closed the door for good.
        if self.leaving.as_ref().is_some_and(|l| l.closed.is_some()) {
            return;
        }
        if let Err(e) = self.http.open(&r.socket) {
            self.log.line(&format!("handover: the door can't be opened: {e}"));
        }
        self.open_fronts();
    }

    /// Lets clients in at the operator's fronts, on sockets that were sent or else at their addresses.
    fn open_fronts(&mut self) {
        let Some(r) = &mut self.replacement else { return };
        let mut sent = std::mem::take(&mut r.listeners);
        let mut find = |front: &str| {
            let at = sent.iter().position(|(name, _)| name == front)?;
            Some(sent.swap_remove(at).1)
        };
        let mut opened = Vec::new();
        if let Some(ajp) = self.ajp.as_mut().filter(|a| a.connections.address().is_none()) {
            opened.push((AJP, ajp.open(find(AJP)), ajp.connections.address()));
        }
        if let Some(http2) = self.http2.as_mut().filter(|h| h.connections.address().is_none()) {
            opened.push((HTTP2, http2.open(find(HTTP2)), http2.connections.address()));
        }
        for (front, result, address) in opened {
            match (result, address) {
                (Ok(()), Some(address)) => {
                    self.log.line(&format!("{}: {front} on {address}", self.config.name))
                }
                (Err(e), _) => {
                    self.log.line(&format!("handover: {front} can't be opened: {e}"));
                    r.shut = Some(e);
                }
                _ => {}
            }
        }
    }

    /// Acts on all that the old process has sent.
    fn adopt(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let Some(r) = &mut self.replacement else { return };
        let mut stash = std::mem::take(&mut r.stash);
        r.stash.adopted = true;
        let (keys, connections) = (stash.keys.len(), stash.passed.len());
        let held = stash.passed.iter().filter(|(p, _)| p.held.is_some()).count();
        if let Some(Frame::State { prints, draining, learned, running }) = stash.state.take() {
            if let Some(core) = &mut self.core {
                core.succeed(FingerprintKey(prints.0, prints.1), running);
            }
            inputs.push(Input::LearnedState(learned));
            // Whoever asked this process for a drain while it waited means it all the same.
            self.drain(draining || self.state.draining);
        }
        let zero = zero_ms(&self.clock);
        let latest = now + self.longest_window_s();
        inputs
            .extend(stash.keys.drain(..).map(|state| Input::IdempotencyUpdate(to_news(state, zero, latest))));
        self.beside(stash.usage, inputs);
        for (passed, descriptor) in stash.passed {
            self.take_over(now, passed, descriptor, inputs);
        }
        self.open_fronts();
        self.log.line(&format!(
            "handover: taken over: keys={keys} connections={connections} held={held} runs_beside={}",
            stash.usage.on_cores
        ));
    }

    /// The old process uses so much of what both count as their own.
    fn beside(&mut self, usage: Usage, inputs: &mut Vec<Input>) {
        self.poll.set_beside(usage.sockets);
        let Usage { on_cores, calling, kb, .. } = usage;
        inputs.push(Input::OtherProcess { on_cores, calling, kb });
    }

    fn take_over(&mut self, now: f64, passed: HandedOffConnection, stream: OwnedFd, inputs: &mut Vec<Input>) {
        let s = &self.config.settings;
        let fits = |h: &QueuedRequest| {
            let known = h.class < s.profiles.len() && h.tenant.map_or(true, |t| t < s.tenants.len());
            known && [h.kb, h.arrived_ms, h.due_ms].iter().all(|n| n.is_finite() && *n >= 0.0)
        };
        // The module lets pass what it can't place, and nobody would answer it.
        if passed.held.as_ref().is_some_and(|held| !fits(held)) {
            return self.log.often("handover: a request that was handed over fits no class or tenant");
        }
        let HandedOffConnection { unread, continued, asked, close, held } = passed;
        let parcel =
            DetachedConnection { stream, unread: unread.0.to_vec(), asked, close, memory: continued };
        let Some(id) = self.http.connections.adopt(now, parcel, held.is_some()) else {
            return self.log.often("handover: a connection could not be taken over");
        };
        if let Some(held) = held {
            inputs.push(Input::Arrived(to_request(held, Ticket(id), self.clock.unix_ms())));
        }
    }

    /// Sends everything that the new process needs, in one go; what it gets is kept until it says that it has it.
    fn lend(&mut self, now: f64, inputs: &mut Vec<Input>) {
        // What was gathered before this is news of what is about to be lent.
        let mut commands = Vec::new();
        if let Some(core) = &mut self.core {
            core.handle(now, inputs.drain(..), &mut commands);
        }
        for command in std::mem::take(&mut commands) {
            self.carry_out(now, command, inputs);
        }
        let zero = zero_ms(&self.clock);
        self.http.connections.stop_listening();
        self.state.passing = true;
        let Some(r) = &mut self.replacement else { return };
        r.listeners.clear();
        if let Some(ajp) = &mut self.ajp {
            r.listeners.extend(ajp.connections.socket().map(|s| (AJP.to_owned(), s)));
            ajp.connections.stop_listening();
        }
        if let Some(http2) = &mut self.http2 {
            r.listeners.extend(http2.connections.socket().map(|s| (HTTP2.to_owned(), s)));
            http2.connections.stop_listening();
            // Each connection is told to go.
            http2.connections.touch_all();
        }
        for (front, socket) in &r.listeners {
            // Without a descriptor for it the new process binds the address once this one has ended.
            if let Ok(socket) = socket.try_clone() {
                r.links.to_new(&Frame::Listener { front: front.clone() }, Some(socket.into()));
            }
        }
        let http = &self.http.connections;
        let mut lent = None;
        if let Some(core) = &mut self.core {
            lent = Some(core.hand_off(now, |ticket| http.owns(ticket.0), &mut commands));
            core.set_indeterminate_keys(IndeterminateKeys::Lives);
        }
        if let Some(lent) = lent {
            let draining = self.state.draining;
            let prints = (lent.fingerprint_key.0, lent.fingerprint_key.1);
            let (learned, running) = (lent.learned, lent.running);
            r.links.to_new(&Frame::State { prints, draining, learned, running }, None);
            for news in &lent.keys {
                r.links.to_new(&Frame::Key(to_state(news, zero)), None);
            }
            for request in lent.requests {
                let held = Some(to_held(&request, zero));
                match self.http.connections.lend(request.request.ticket.0) {
                    Some(parcel) => {
                        r.links.to_new(&Frame::Passed(passed(&parcel, held)), Some(parcel.stream));
                        r.lent.push(request);
                    }
                    // It stays here and is answered here.
                    None => inputs.push(Input::Arrived(request.at(now))),
                }
            }
        }
        let rests = |s: Stage| matches!(s, Stage::Idle | Stage::Reading);
        for id in self.http.connections.ids_where(|c| rests(c.stage)) {
            if let Some(parcel) = self.http.connections.lend(id) {
                r.links.to_new(&Frame::Passed(passed(&parcel, None)), Some(parcel.stream));
            }
        }
        self.log.line(&format!("handover: lent to the new process: held={}", r.lent.len()));
        // Lent connections are as good as gone: they count there.
        let lent = self.http.connections.ids_where(|c| c.stage == Stage::HandedOff).len();
        self.tell_usage(lent);
        if let Some(r) = &mut self.replacement {
            r.links.to_new(&Frame::Done, None);
        }
        for command in commands {
            self.carry_out(now, command, inputs);
        }
    }

    /// The new process has ended before it said that it has all: everything is as it was before.
    fn take_back(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.let_in(now);
        let Some(r) = &mut self.replacement else { return };
        for lent in std::mem::take(&mut r.lent) {
            self.http.connections.take_back(now, lent.request.ticket.0, true);
            inputs.push(Input::Arrived(lent.at(now)));
        }
        for id in self.http.connections.ids_where(|c| c.stage == Stage::HandedOff) {
            self.http.connections.take_back(now, id, false);
        }
        self.log.line("handover: the door is taken back");
    }

    /// A key that another process should know of.
    pub(in crate::net) fn tell_key(&mut self, news: &IdempotencyUpdate) {
        let zero = zero_ms(&self.clock);
        if let Some(r) = &mut self.replacement {
            r.links.to_new(&Frame::Key(to_state(news, zero)), None);
        }
    }

    /// Tells the new process of a drain that operators asked for here; `false` where there is none.
    pub(in crate::net) fn pass_drain(&mut self, on: bool) -> bool {
        match &mut self.replacement {
            Some(r) if r.door.given_away() => {
                r.links.to_new(&Frame::Drain(on), None);
                true
            }
            _ => false,
        }
    }

    fn tell_usage(&mut self, less: usize) {
        let Some(core) = &self.core else { return };
        let ResourceUsage { on_cores, calling, kb } = core.usage();
        let sockets = self.poll.used().saturating_sub(less) + OVERHEAD;
        let usage = Usage { on_cores, calling, kb, sockets };
        if let Some(r) = &mut self.replacement {
            if r.told != usage {
                r.told = usage;
                r.links.to_new(&Frame::Usage(usage), None);
            }
        }
    }

    /// At the end of a turn: connections that have fallen idle go to the new process, and it hears of what is used.
    pub(in crate::net) fn pass_on(&mut self, now: f64) {
        let Some(r) = &mut self.replacement else { return };
        if r.door.has_parted() && r.links.has_new() {
            let rests = |s: Stage| matches!(s, Stage::Idle | Stage::Reading);
            for id in self.http.connections.ids_where(|c| rests(c.stage)) {
                if let Some(parcel) = self.http.connections.lend(id) {
                    r.links.to_new(&Frame::Passed(passed(&parcel, None)), Some(parcel.stream));
                }
                self.http.connections.close(id);
            }
            self.tell_usage(0);
        }
        let Some(r) = &mut self.replacement else { return };
        if r.links.flush() {
            self.wheel.set(now, 0.0, Timer::Again);
        }
    }

    /// Ends once nothing is owed here, with the door given away and the notice to leave taken.
    pub(in crate::net) fn follow_ending(&mut self, now: f64) {
        let Some(r) = &self.replacement else { return };
        let Some(at_most) = r.ending else { return };
        let owed = self.core.as_ref().is_some_and(|core| !core.is_idle());
        let others = self.ajp.as_ref().map_or(true, |a| a.connections.quiet())
            && self.http2.as_ref().map_or(true, |h| h.connections.quiet());
        // Without a successor nobody takes what is idle.
        let http = &self.http.connections;
        let passed = if r.links.has_new() { http.is_empty() } else { http.quiet() };
        let over = !owed && others && passed && r.links.quiet();
        let over = over && !r.door.has_predecessor();
        if !over && now >= at_most {
            self.answer_all();
        }
        if over && self.end_connections(now, false) || now >= at_most {
            self.log.line(if over { "left with all handed over" } else { "left with answers owed" });
            self.end(now);
        }
    }
}
