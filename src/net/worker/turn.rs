//! One turn of the event loop: gathers input from ready sources, passes it to the dispatcher in one batch and executes
//! the dispatcher's commands.

use super::loop_state::Deferral;
use super::{Worker, STALL_THRESHOLD_S, SWEEP_INTERVAL_S};
use crate::dispatch::Input;
use crate::net::io::poll::ReadyEvents;
use crate::net::io::source::{ReadySource, Source};
use crate::net::io::timer_wheel::Timer;
use crate::net::upstreams::registry::HEARTBEAT_INTERVAL_S;

/// Maximum number of rounds in one turn. A round gathers input, dispatches it and executes the commands. The rounds
/// after the first process the next request of a connection whose previous one was just answered, and the outcomes of
/// the commands that were just executed.
const MAX_ROUNDS: usize = 8;

impl Worker {
    /// Runs one turn. The order of its steps matters:
    ///
    /// 1. Readiness is recorded, so that every later step sees it.
    /// 2. Hot restart frames are handled: once a successor owns the listeners, a shutdown notice does not start a
    ///    graceful shutdown.
    /// 3. Signals: a shutdown notice is dispatched before all input read in this turn, since it may have arrived first.
    /// 4. Sockets are read before timers run, so that data that arrived in time precedes the expiry of its timeout.
    /// 5. Inputs are dispatched, and commands are executed.
    /// 6. Fleet membership: its heartbeat includes the requests that the preceding steps have counted.
    /// 7. The sweep, after all ready sockets were read: a connection that looks idle may have received a request while
    ///    the process was stopped.
    /// 8. The next steps of a shutdown, which depend on whether anything is still pending.
    pub(super) fn run_turn(&mut self, ready_events: &mut ReadyEvents) {
        let now = self.clock.now();
        self.loop_state.begin_turn(now);
        self.log.report_suppressed();
        for ready_source in ready_events.take() {
            self.mark_ready(ready_source);
        }
        let mut inputs = std::mem::take(&mut self.loop_state.deferred_inputs);
        self.receive_hot_restart_frames(now, &mut inputs);
        self.handle_signals(now, ready_events, &mut inputs);
        self.gather(&mut inputs);
        self.run_timers(now, &mut inputs);
        self.run_rounds(inputs);
        self.poll_coordinators(now);
        self.sweep_if_due();
        self.advance_exit(now);
    }

    /// Records a socket's readiness with its owner.
    fn mark_ready(&mut self, ready_source: ReadySource) {
        let ReadySource { source, readiness } = ready_source;
        match source {
            Source::Listener(kind) => self.frontends.mark_listener_ready(kind),
            Source::Client(kind, id) => self.frontends.mark_ready(kind, id, readiness),
            Source::SuccessorListener => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.links.mark_listener_ready();
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

    fn handle_signals(&mut self, now: f64, ready_events: &mut ReadyEvents, inputs: &mut Vec<Input>) {
        if std::mem::take(&mut ready_events.shutdown) {
            let mut shutdown_inputs = Vec::new();
            self.begin_shutdown(now, &mut shutdown_inputs);
            inputs.splice(0..0, shutdown_inputs);
        }
        if std::mem::take(&mut ready_events.reload) {
            self.reload(now, inputs);
        }
    }

    /// Gathers input, dispatches it and executes the resulting commands, for [`MAX_ROUNDS`] rounds at most, until the
    /// rest of the work waits for a readiness event or a timer.
    pub(in crate::net) fn run_rounds(&mut self, mut inputs: Vec<Input>) {
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
        // What is left here is dispatched in the next turn. It may contain the outcomes of the last round's commands,
        // such as a run that could not be started: without that outcome its request would never be answered.
        self.loop_state.deferred_inputs = inputs;
    }

    /// Whether the inputs of this round are deferred to the next turn because the process stalled during this one. This
    /// enforces the grace of a shutdown notice that has not been read yet: no request starts before signals are
    /// checked.
    fn defers_inputs(&mut self, now: f64) -> bool {
        let stalled = now > self.loop_state.turn_began + STALL_THRESHOLD_S;
        let may_defer = self.loop_state.deferral == Deferral::Allowed && self.shutdown.is_none();
        let defers = may_defer && stalled;
        self.loop_state.deferral = if defers { Deferral::Used } else { Deferral::Allowed };
        defers
    }

    /// Passes the inputs to the dispatcher and executes its commands. Outcomes that are known at once are left in
    /// `inputs`.
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

    /// Whether work is pending that no readiness event will announce, such as input that has already been read.
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
            Timer::Call(timer_number) => {
                if let Some(records) = &mut self.upstreams.records {
                    records.on_timer(timer_number, inputs);
                }
            }
            Timer::Run(timer_number) => {
                if let Some(ajp_backend) = &mut self.upstreams.ajp_backend {
                    ajp_backend.on_timer(now, timer_number, inputs, &mut self.wheel);
                }
            }
            Timer::Search(timer_number) => {
                if let Some(directory) = &mut self.upstreams.directory {
                    directory.on_timer(now, timer_number);
                }
            }
            Timer::Heartbeat => {
                self.report_load(true);
                self.wheel.set(now, HEARTBEAT_INTERVAL_S, Timer::Heartbeat);
            }
            Timer::Sweep => {
                self.loop_state.sweep_due = true;
                self.wheel.set(now, SWEEP_INTERVAL_S, Timer::Sweep);
            }
            Timer::Reconnect => self.loop_state.timers.reconnect = false,
            Timer::Accept => self.loop_state.timers.accept = false,
            // These timers only wake the loop.
            Timer::Fleet | Timer::NextTurn => {}
        }
    }

    fn sweep_if_due(&mut self) {
        if std::mem::take(&mut self.loop_state.sweep_due) {
            self.sweep();
        }
    }

    /// Performs the steps of a shutdown, or of an exit after a hand-off, that are due.
    fn advance_exit(&mut self, now: f64) {
        if self.has_handed_off() {
            self.advance_exit_after_hand_off(now);
        } else {
            self.advance_shutdown();
        }
    }
}
