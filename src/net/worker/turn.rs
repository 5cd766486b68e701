//! One turn of the loop: what is ready is gathered, handed to the dispatcher in one go, and its commands are carried
//! out.

use super::{Worker, STALL_S, SWEEP_S};
use crate::dispatch::Input;
use crate::net::io::poll::{Gathered, Place};
use crate::net::io::timer_wheel::Timer;
use crate::net::upstreams::ajp_backend::AjpBackend;
use crate::net::upstreams::records::Records;
use crate::net::upstreams::registry::BEAT_S;

/// Rounds of one turn at most: requests that lie behind answered ones, and outcomes of what was just asked for.
const MAX_ROUNDS: usize = 8;

impl Worker {
    /// Takes one turn.
    pub(super) fn poll_once(&mut self, gathered: &mut Gathered) {
        let now = self.clock.now();
        self.turn_before = self.turn_began;
        self.turn_began = now;
        self.log.report_suppressed();
        for (place, readable, writable) in gathered.take() {
            self.mark_ready(place, readable, writable);
        }
        let mut inputs = std::mem::take(&mut self.deferred_inputs);
        // A successor's message goes before the shutdown notice: once the listener is handed over, that is no drain.
        self.receive_hot_restart_frames(now, &mut inputs);
        if std::mem::take(&mut gathered.leave) {
            // Before all that has been read, since the notice may have come before it.
            let mut first = Vec::new();
            self.begin_shutdown(now, &mut first);
            inputs.splice(0..0, first);
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, &mut inputs);
        }
        self.gather(&mut inputs);
        // Only now: what has come in time goes before the end of that time, also where both are seen in one turn.
        self.run_timers(now, &mut inputs);
        self.process_ready(inputs);
        self.fleet_turn(now);
        if std::mem::take(&mut self.sweep_due) {
            self.sweep();
        }
        if self.has_handed_off() {
            self.follow_exit(now);
        } else {
            self.advance_shutdown();
        }
    }

    /// Tells the owner of a descriptor that it is ready.
    fn mark_ready(&mut self, place: Place, readable: bool, writable: bool) {
        match place {
            Place::ConsoleListener => self.console.iter_mut().for_each(|c| c.connections.mark_listener()),
            Place::Console(id) => {
                self.console.iter_mut().for_each(|c| c.connections.mark(id, readable, writable));
            }
            Place::HandoverListener => self.hot_restart.iter_mut().for_each(|r| r.links.mark_listener()),
            Place::Handover(id) => {
                self.hot_restart.iter_mut().for_each(|r| r.links.mark(id, readable, writable));
            }
            Place::HttpListener => self.http.connections.mark_listener(),
            Place::Http(id) => self.http.connections.mark(id, readable, writable),
            Place::AjpListener => self.ajp.iter_mut().for_each(|a| a.connections.mark_listener()),
            Place::Ajp(id) => self.ajp.iter_mut().for_each(|a| a.connections.mark(id, readable, writable)),
            Place::Http2Listener => self.http2.iter_mut().for_each(|h| h.connections.mark_listener()),
            Place::Http2(id) => {
                self.http2.iter_mut().for_each(|h| h.connections.mark(id, readable, writable));
            }
            Place::Directory(id) => self.directory.iter_mut().for_each(|d| d.mark(id, readable, writable)),
            Place::AjpServer(id) => self.ajp_servers.iter_mut().for_each(|s| s.mark(id, readable, writable)),
            Place::Fleet(id) => self.fleet.iter_mut().for_each(|f| f.mark(id, readable, writable)),
            // Coordinators have such a listener, workers none.
            Place::FleetListener => {}
            Place::Executor(id) => self.executor.mark(id, readable, writable),
            Place::Records(id) => self.records.iter_mut().for_each(|r| r.mark(id, readable, writable)),
        }
    }

    /// Gathers what is ready, hands it over and carries out what comes back, until nothing is left that the loop would
    /// not report.
    pub(in crate::net) fn process_ready(&mut self, mut inputs: Vec<Input>) {
        inputs.splice(0..0, self.deferred_inputs.drain(..));
        for round in 0..MAX_ROUNDS {
            self.gather(&mut inputs);
            let now = self.clock.now();
            // Guards the grace of a shutdown notice that lies unread: nothing starts before it has been looked for.
            self.deferred = !self.deferred && self.shutdown.is_none() && now > self.turn_began + STALL_S;
            if self.deferred {
                self.wheel.set(now, 0.0, Timer::Again);
                break;
            }
            self.dispatch(now, &mut inputs);
            self.flush(now);
            self.send_hot_restart_frames(now);
            if !self.pending() && inputs.is_empty() {
                break;
            }
            if round + 1 == MAX_ROUNDS {
                self.wheel.set(now, 0.0, Timer::Again);
            }
        }
        // Guards the last round's outcomes: a run given back there would otherwise never be answered.
        self.deferred_inputs = inputs;
    }

    /// Hands the inputs to the dispatcher and carries out its commands; outcomes of commands become inputs again.
    fn dispatch(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let mut commands = Vec::new();
        match &mut self.dispatcher {
            Some(core) if !inputs.is_empty() => core.handle(now, inputs.drain(..), &mut commands),
            Some(_) => {}
            None => self.reject_early(now, inputs),
        }
        for command in commands {
            self.execute(now, command, inputs);
        }
    }

    /// Whether something waits that the loop will not report.
    pub(in crate::net) fn pending(&self) -> bool {
        self.http.connections.pending()
            || self.console.as_ref().is_some_and(|c| c.connections.pending())
            || self.ajp.as_ref().is_some_and(|a| a.connections.pending())
            || self.http2.as_ref().is_some_and(|h| h.connections.pending())
            || self.ajp_servers.as_ref().is_some_and(AjpBackend::pending)
            || self.records.as_ref().is_some_and(Records::pending)
    }

    fn run_timers(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        for timer in due {
            self.run_timer(now, timer, inputs);
        }
    }

    fn run_timer(&mut self, now: f64, timer: Timer, inputs: &mut Vec<Input>) {
        match timer {
            Timer::Wake => {
                inputs.push(Input::Woken(self.executor.gauges(now)));
                self.executor.ask_gauges();
            }
            Timer::Call(number) => self.records.iter_mut().for_each(|records| records.due(number, inputs)),
            Timer::Run(number) => {
                if let Some(servers) = &mut self.ajp_servers {
                    servers.due(now, number, inputs, &mut self.wheel);
                }
            }
            Timer::Search(number) => {
                self.directory.iter_mut().for_each(|directory| directory.due(now, number))
            }
            Timer::Beat => {
                self.report_load(true);
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
}
