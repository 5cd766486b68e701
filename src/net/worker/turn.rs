//! One turn of the loop: what is ready is gathered, handed to the dispatcher in one go, and its commands are carried
//! out.

use super::loop_state::Deferral;
use super::{Worker, STALL_S, SWEEP_S};
use crate::dispatch::Input;
use crate::net::io::poll::ReadyEvents;
use crate::net::io::source::{ReadySource, Source};
use crate::net::io::timer_wheel::Timer;
use crate::net::upstreams::registry::HEARTBEAT_INTERVAL_S;

/// Rounds of one turn at most: requests that lie behind answered ones, and outcomes of commands that were just carried out.
const MAX_ROUNDS: usize = 8;

impl Worker {
    /// Takes one turn. The order of its steps:
    ///
    /// 1. Readiness is recorded, so that every later step sees it.
    /// 2. Frames of another process: once a successor owns the listeners, a shutdown notice is no graceful shutdown.
    /// 3. Signals: a shutdown notice counts before all that was read in this turn, since it may have come before it.
    /// 4. Sockets are read before timers run: what came in time goes before the end of that time.
    /// 5. Inputs are handed over, and commands carried out.
    /// 6. The fleet: its heartbeat carries what the steps before have counted.
    /// 7. The sweep, after all that is ready was read: a request may have lain unread while the process was stopped.
    /// 8. The steps of a shutdown, which see whether anything is still pending.
    pub(super) fn poll_once(&mut self, gathered: &mut ReadyEvents) {
        let now = self.clock.now();
        self.loop_state.begin_turn(now);
        self.log.report_suppressed();
        for ready in gathered.take() {
            self.mark_ready(ready);
        }
        let mut inputs = std::mem::take(&mut self.loop_state.deferred_inputs);
        self.receive_hot_restart_frames(now, &mut inputs);
        self.handle_signals(now, gathered, &mut inputs);
        self.gather(&mut inputs);
        self.run_timers(now, &mut inputs);
        self.process_ready(inputs);
        self.poll_coordinators(now);
        self.sweep_if_due();
        self.advance_exit(now);
    }

    /// Tells the owner of a socket that it is ready.
    fn mark_ready(&mut self, ready: ReadySource) {
        let ReadySource { source, readiness } = ready;
        match source {
            Source::Listener(frontend) => self.frontends.mark_listener(frontend),
            Source::Client(frontend, id) => self.frontends.mark_ready(frontend, id, readiness),
            Source::SuccessorListener => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.links.mark_listener();
                }
            }
            Source::HotRestartPeer(id) => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.links.mark_ready(id, readiness);
                }
            }
            upstream => self.upstreams.mark_ready(upstream, readiness),
        }
    }

    fn handle_signals(&mut self, now: f64, gathered: &mut ReadyEvents, inputs: &mut Vec<Input>) {
        if std::mem::take(&mut gathered.shutdown) {
            let mut first = Vec::new();
            self.begin_shutdown(now, &mut first);
            inputs.splice(0..0, first);
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, inputs);
        }
    }

    /// Gathers what is ready, hands it over and carries out what comes back, until nothing is left that the loop would
    /// not report.
    pub(in crate::net) fn process_ready(&mut self, mut inputs: Vec<Input>) {
        inputs.splice(0..0, self.loop_state.deferred_inputs.drain(..));
        for round in 0..MAX_ROUNDS {
            self.gather(&mut inputs);
            let now = self.clock.now();
            if self.defers_inputs(now) {
                self.wheel.set(now, 0.0, Timer::NextTurn);
                break;
            }
            self.dispatch(now, &mut inputs);
            self.upstreams.flush(now);
            self.send_hot_restart_frames(now);
            if !self.has_pending() && inputs.is_empty() {
                break;
            }
            if round + 1 == MAX_ROUNDS {
                self.wheel.set(now, 0.0, Timer::NextTurn);
            }
        }
        // Guards the last round's outcomes: a run given back there would otherwise never be answered.
        self.loop_state.deferred_inputs = inputs;
    }

    /// Whether the inputs of this round wait for the next turn, since the process stalled in this one. Guards the grace of
    /// a shutdown notice that lies unread: nothing starts before it has been looked for.
    fn defers_inputs(&mut self, now: f64) -> bool {
        let stalled = now > self.loop_state.turn_began + STALL_S;
        let may_defer = self.loop_state.deferral == Deferral::Allowed && self.shutdown.is_none();
        let defers = may_defer && stalled;
        self.loop_state.deferral = if defers { Deferral::Used } else { Deferral::Allowed };
        defers
    }

    /// Hands the inputs to the dispatcher and carries out its commands; outcomes of commands become inputs again.
    pub(in crate::net) fn dispatch(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let mut commands = Vec::new();
        match &mut self.dispatcher {
            Some(dispatcher) if !inputs.is_empty() => {
                dispatcher.handle(now, inputs.drain(..), &mut commands);
            }
            Some(_) => {}
            None => self.reject_early(now, inputs),
        }
        for command in commands {
            self.execute(now, command, inputs);
        }
    }

    /// Whether something waits that the loop will not report.
    pub(in crate::net) fn has_pending(&self) -> bool {
        self.frontends.has_pending() || self.upstreams.has_pending()
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
                inputs.push(Input::Woken(self.upstreams.executor.gauges(now)));
                self.upstreams.executor.request_gauges();
            }
            Timer::Call(number) => {
                if let Some(records) = &mut self.upstreams.records {
                    records.on_timer(number, inputs);
                }
            }
            Timer::Run(number) => {
                if let Some(servers) = &mut self.upstreams.ajp_backend {
                    servers.on_timer(now, number, inputs, &mut self.wheel);
                }
            }
            Timer::Search(number) => {
                if let Some(directory) = &mut self.upstreams.directory {
                    directory.on_timer(now, number);
                }
            }
            Timer::Heartbeat => {
                self.report_load(true);
                self.wheel.set(now, HEARTBEAT_INTERVAL_S, Timer::Heartbeat);
            }
            Timer::Sweep => {
                self.loop_state.sweep_due = true;
                self.wheel.set(now, SWEEP_S, Timer::Sweep);
            }
            Timer::Reconnect => self.loop_state.timers.reconnect = false,
            Timer::Accept => self.loop_state.timers.accept = false,
            // Waking up was all that these were for.
            Timer::Fleet | Timer::NextTurn => {}
        }
    }

    /// Ends connections that are idle or too slow, where that is due.
    fn sweep_if_due(&mut self) {
        if std::mem::take(&mut self.loop_state.sweep_due) {
            self.sweep();
        }
    }

    /// Takes the steps that are due of the end of the process.
    fn advance_exit(&mut self, now: f64) {
        if self.has_handed_off() {
            self.follow_exit(now);
        } else {
            self.advance_shutdown();
        }
    }
}
