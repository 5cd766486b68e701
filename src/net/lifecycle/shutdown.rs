//! Graceful shutdown: the notice, the grace, closing the listeners, the exit. Also the sweep of idle connections.

mod timeline;

use crate::dispatch::{Dispatcher, Input};
use crate::hot_restart::Event;
use crate::log::LogEvent;
use crate::net::events::{LifecycleEvent, ResponseState};
use crate::net::frontends::frontend::FrontendTurn;
use crate::net::io::timer_wheel::Timer;
use crate::net::worker::Deferral;
use crate::net::Worker;
use timeline::Timeline;

/// Idle connections are ended this long after the listeners were closed. A client sends a request anew that crosses the
/// close within 50 ms; until then its connection must stay open (seconds).
const CROSSING_S: f64 = 0.15;
/// How long the process waits for peers to close, once all responses are written (seconds).
const LINGER_S: f64 = 0.3;
/// Rounds of accepting before the listeners close: each accepts some dozens, and the system queues a thousand.
const MAX_ACCEPT_ROUNDS: usize = 64;

/// A shutdown under way.
pub(in crate::net) struct Shutdown {
    pub(in crate::net) at: Timeline,
    /// When the listeners were closed.
    pub(in crate::net) closed: Option<f64>,
    /// The responses that were still pending have been given.
    responded: bool,
}

impl Worker {
    /// Handles the shutdown notice: the grace begins, and the close of connections is announced.
    pub(in crate::net) fn begin_shutdown(&mut self, now: f64, inputs: &mut Vec<Input>) {
        if self.has_handed_off() {
            return self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        }
        if self.shutdown.is_some() {
            return;
        }
        self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        let in_s = self.configuration.platform.stop_ms / 1000.0;
        LifecycleEvent::ShutdownStarted { stop_in_s: in_s }.emit();
        // The notice may have come at any time since the turn before began: a process that was stopped meanwhile reads it
        // late, and its grace counts from when it was sent.
        let at = Timeline::new(
            self.loop_state.previous_turn_began,
            in_s,
            self.configuration.settings.shutdown_grace_s,
        );
        self.shutdown = Some(Shutdown { at, closed: None, responded: false });
        // The loop must wake at each of these even if nothing else is ready.
        for at in [at.accept_until, at.answer_by, at.exit_by] {
            self.wheel.set(now, at - now, Timer::Again);
        }
        self.context.availability.shutting_down = true;
        inputs.push(Input::Shutdown { noticed_at: at.notice, stop_at: at.kill_at });
        self.frontends.announce_close();
        self.report_load(false);
    }

    /// Ends connections that are idle or too slow. Only after all that is ready has been read: a request may have lain
    /// unread while this process was stopped.
    pub(in crate::net) fn sweep(&mut self) {
        let now = self.clock.now();
        let availability = &self.context.availability;
        let closing = self.shutdown.as_ref().is_some_and(|shutdown| shutdown.closed.is_some());
        let closing = closing || availability.handing_off;
        let idle_s = self.configuration.idle_timeout_s();
        self.frontends.sweep_connections(now, idle_s, closing, availability);
        self.frontends.sweep_protocols(now, availability, &mut self.loop_state.deferred_inputs);
        self.upstreams.sweep(now);
        // Connections are ended in this turn, and those on which something was found are processed: the longer that takes,
        // the more requests can cross it.
        if self.has_pending() {
            self.process_ready(Vec::new());
        }
    }

    /// Takes the steps of the shutdown that are due: closes the listeners when nothing more may run, and exits when all is
    /// answered, written and read.
    pub(in crate::net) fn advance_shutdown(&mut self) {
        let now = self.clock.now();
        let Some(Shutdown { at, closed, responded }) = self.shutdown else { return };
        if closed.is_none() && now >= at.accept_until {
            self.stop_accepting(now);
        }
        let must_answer = now >= at.answer_by;
        if must_answer && !responded {
            self.update_shutdown(|shutdown| shutdown.responded = true);
            self.respond_all();
        }
        let closed = self.shutdown.as_ref().and_then(|shutdown| shutdown.closed);
        let crossings_over = closed.is_some_and(|at| now >= at + CROSSING_S);
        let answered = self.all_answered();
        let may_end = crossings_over && answered || must_answer;
        let ended = may_end && self.end_connections(now, must_answer);
        if ended || now >= at.exit_by {
            self.log_pools();
            if let Some(hot_restart) = &mut self.hot_restart {
                hot_restart.links.remove_socket();
            }
            let responses = if answered { ResponseState::AllSent } else { ResponseState::Pending };
            LifecycleEvent::ShutdownComplete(responses).emit();
            self.exit(now);
        }
    }

    /// Closes the listeners; what was still accepted, and what came just now, is answered.
    fn stop_accepting(&mut self, now: f64) {
        self.close_listeners(now);
        let idle_s = self.configuration.idle_timeout_s();
        self.frontends.sweep_connections(now, idle_s, true, &self.context.availability);
        self.update_shutdown(|shutdown| shutdown.closed = Some(now));
        self.process_ready(Vec::new());
        self.wheel.set(now, CROSSING_S, Timer::Again);
    }

    fn log_pools(&mut self) {
        if let Some(state) = self.dispatcher.as_ref().and_then(Dispatcher::pools) {
            LifecycleEvent::PoolsState(&state).emit();
        }
    }

    /// Notes a step of the shutdown, and wakes the loop for the next.
    fn update_shutdown(&mut self, change: impl FnOnce(&mut Shutdown)) {
        if let Some(shutdown) = &mut self.shutdown {
            change(shutdown);
        }
        self.wheel.set(self.clock.now(), 0.0, Timer::Again);
    }

    /// Whether no response is pending, everything is written, and no request is half read.
    fn all_answered(&self) -> bool {
        let pending_responses = self.dispatcher.as_ref().map_or(0, Dispatcher::pending_responses);
        pending_responses == 0 && self.frontends.all_idle()
    }

    /// Closes the listeners of all frontends, after all connections that the system has accepted by now were taken.
    fn close_listeners(&mut self, now: f64) {
        for _ in 0..MAX_ACCEPT_ROUNDS {
            if self.frontends.close_listeners(now) {
                return;
            }
            self.process_ready(Vec::new());
        }
        self.frontends.stop_listening();
    }

    /// Gives all responses that are still pending: the stop may be too near for the controller to cancel requests in time,
    /// and a directory may be silent.
    pub(in crate::net) fn respond_all(&mut self) {
        let mut inputs = vec![Input::RespondAll];
        self.frontends.respond_all(&mut FrontendTurn {
            clock: &self.clock,
            context: &self.context,
            inputs: &mut inputs,
            lookups: &mut Vec::new(),
        });
        // Nothing of this may wait for another turn: there may be none.
        self.loop_state.deferral = Deferral::Used;
        self.process_ready(inputs);
    }

    /// Ends all idle connections, and with `at_once` those too that have sent half a request. Returns `true` when their
    /// peers have closed too, or were waited for long enough.
    pub(in crate::net) fn end_connections(&mut self, now: f64, at_once: bool) -> bool {
        let is_first = self.frontends.end_connections(now, at_once);
        // Written and read as far as that goes in this turn.
        if self.has_pending() {
            self.process_ready(Vec::new());
        }
        if is_first {
            self.wheel.set(now, LINGER_S, Timer::Again);
        }
        let has_lingered = self.frontends.ended_for(now, LINGER_S);
        self.frontends.all_ended() || self.all_answered() && has_lingered
    }

    /// Ends the process: operators' calls that have come are answered, and no socket is closed over unread bytes, since
    /// that would reset the connection and lose written responses.
    pub(in crate::net) fn exit(&mut self, now: f64) {
        self.serve_console(now);
        self.frontends.drop_unread();
        self.loop_state.finished = true;
    }
}
