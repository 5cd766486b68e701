//! Graceful shutdown: handling of the notice, the grace, closing the listeners and the exit. Also the sweep of idle
//! connections.

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

/// Minimum time from closing the listeners to ending the remaining connections for the exit, unless SIGKILL is near
/// (seconds). Idle connections are half-closed when the listeners close. A client resends a request that crosses this
/// half-close if the two are at most 50 ms apart, so the sockets must stay open for longer than that.
const END_CONNECTIONS_DELAY_S: f64 = 0.15;
/// How long the process waits for peers to close their side after it has ended idle connections (seconds).
const LINGER_S: f64 = 0.3;
/// Maximum number of accept rounds before the listeners close. Each round accepts up to 64 connections of each
/// listener, and the system queues up to 1024 for a listener that this process has opened.
const MAX_ACCEPT_ROUNDS: usize = 64;

/// The state of a shutdown in progress.
pub(in crate::net) struct Shutdown {
    pub(in crate::net) timeline: Timeline,
    /// When the listeners were closed (loop's clock, seconds).
    pub(in crate::net) listeners_closed_at: Option<f64>,
    /// All pending requests have been answered because `Timeline::answer_by` was reached.
    responded_all: bool,
}

impl Worker {
    /// Handles the shutdown notice: starts the grace and announces to peers that connections will be closed.
    pub(in crate::net) fn begin_shutdown(&mut self, now: f64, inputs: &mut Vec<Input>) {
        if self.has_handed_off() {
            return self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        }
        if self.shutdown.is_some() {
            return;
        }
        self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        let stop_s = self.configuration.platform.stop_ms / 1000.0;
        LifecycleEvent::ShutdownStarted { stop_in_s: stop_s }.emit();
        // The notice may have arrived at any time since the previous turn began. A process that was stopped meanwhile
        // reads it late, but the grace counts from when the notice was sent.
        let timeline = Timeline::new(
            self.loop_state.previous_turn_began,
            stop_s,
            self.configuration.settings.shutdown_grace_s,
        );
        self.shutdown = Some(Shutdown { timeline, listeners_closed_at: None, responded_all: false });
        // The loop must wake at each of these times even if no source is ready.
        for step_at in [timeline.accept_until, timeline.answer_by, timeline.exit_by] {
            self.wheel.set(now, step_at - now, Timer::NextTurn);
        }
        self.context.availability.shutting_down = true;
        inputs.push(Input::Shutdown { noticed_at: timeline.noticed_at, stop_at: timeline.kill_at });
        self.frontends.announce_close();
        self.report_load(false);
    }

    /// Ends connections that are idle or too slow. Must run only after all ready sockets have been read: a request may
    /// have been waiting while this process was stopped.
    pub(in crate::net) fn sweep(&mut self) {
        let now = self.clock.now();
        let availability = &self.context.availability;
        let closing = self.shutdown.as_ref().is_some_and(|shutdown| shutdown.listeners_closed_at.is_some());
        let closing = closing || availability.handing_off;
        let idle_s = self.configuration.idle_timeout_s();
        self.frontends.sweep_connections(now, idle_s, closing, availability);
        self.frontends.sweep_protocols(now, availability, &mut self.loop_state.deferred_inputs);
        self.upstreams.sweep(now);
        // The connections on which the sweep found input, and those that it closes, are processed in this same turn: the
        // more time passes between the check for input and the close, the more requests can cross the close.
        if self.has_pending() {
            self.run_rounds(Vec::new());
        }
    }

    /// Performs the steps of the shutdown that are due: closes the listeners when no further request may be accepted,
    /// and exits when all responses are written, no request is partially read and the process has left the fleet.
    pub(in crate::net) fn advance_shutdown(&mut self) {
        let now = self.clock.now();
        let Some(Shutdown { timeline, listeners_closed_at, responded_all }) = self.shutdown else { return };
        if listeners_closed_at.is_none() && now >= timeline.accept_until {
            self.stop_accepting(now);
        }
        let must_answer = now >= timeline.answer_by;
        if must_answer && !responded_all {
            self.update_shutdown(|shutdown| shutdown.responded_all = true);
            self.respond_all();
            self.abandon_scheduled_calls();
        }
        let listeners_closed_at = self.shutdown.as_ref().and_then(|shutdown| shutdown.listeners_closed_at);
        let end_due = listeners_closed_at.is_some_and(|at| now >= at + END_CONNECTIONS_DELAY_S);
        let answered = self.all_answered();
        let may_end = end_due && answered && self.has_left_fleet() || must_answer;
        let ended = may_end && self.end_connections(now, must_answer);
        if ended || now >= timeline.exit_by {
            self.log_pools();
            if let Some(hot_restart) = &mut self.hot_restart {
                hot_restart.links.remove_socket();
            }
            let responses = if answered { ResponseState::AllSent } else { ResponseState::Pending };
            LifecycleEvent::ShutdownComplete(responses).emit();
            self.exit(now);
        }
    }

    /// Closes the listeners. Requests on the last accepted connections, and those that have just arrived, are answered.
    fn stop_accepting(&mut self, now: f64) {
        self.close_listeners(now);
        let idle_s = self.configuration.idle_timeout_s();
        self.frontends.sweep_connections(now, idle_s, true, &self.context.availability);
        self.update_shutdown(|shutdown| shutdown.listeners_closed_at = Some(now));
        self.run_rounds(Vec::new());
        self.wheel.set(now, END_CONNECTIONS_DELAY_S, Timer::NextTurn);
    }

    fn log_pools(&mut self) {
        if let Some(state) = self.dispatcher.as_ref().and_then(Dispatcher::pools) {
            LifecycleEvent::PoolsState(&state).emit();
        }
    }

    /// Records a step of the shutdown and wakes the loop for the next one.
    fn update_shutdown(&mut self, change: impl FnOnce(&mut Shutdown)) {
        if let Some(shutdown) = &mut self.shutdown {
            change(shutdown);
        }
        self.wheel.set(self.clock.now(), 0.0, Timer::NextTurn);
    }

    /// Whether no response is pending or partially written and no request is partially read.
    fn all_answered(&self) -> bool {
        let pending_responses = self.dispatcher.as_ref().map_or(0, Dispatcher::pending_responses);
        pending_responses == 0 && self.frontends.all_idle()
    }

    /// Closes the listeners of all frontends after accepting the connections that the system has queued by now.
    fn close_listeners(&mut self, now: f64) {
        for _ in 0..MAX_ACCEPT_ROUNDS {
            if self.frontends.close_listeners(now) {
                return;
            }
            self.run_rounds(Vec::new());
        }
        self.frontends.stop_listening();
    }

    /// Answers all requests that are still pending shortly before SIGKILL: the controller may have had too little time
    /// to cancel them, or the directory may not have answered their lookup.
    pub(in crate::net) fn respond_all(&mut self) {
        let mut inputs = Vec::new();
        self.frontends.respond_all(&mut FrontendTurn {
            clock: &self.clock,
            context: &self.context,
            inputs: &mut inputs,
            lookups: &mut Vec::new(),
        });
        // After the frontends' requests, which must be answered too.
        inputs.push(Input::RespondAll);
        // These inputs must not be deferred: no further turn may follow.
        self.loop_state.deferral = Deferral::Used;
        self.run_rounds(inputs);
    }

    /// Ends all idle connections and, with `include_partial`, those with a partially read request too. Returns `true`
    /// once all peers have closed as well, or once [`LINGER_S`] has passed and everything is answered.
    pub(in crate::net) fn end_connections(&mut self, now: f64, include_partial: bool) -> bool {
        let is_first = self.frontends.end_connections(now, include_partial);
        // Completes the reads and writes that are possible in this turn.
        if self.has_pending() {
            self.run_rounds(Vec::new());
        }
        if is_first {
            self.wheel.set(now, LINGER_S, Timer::NextTurn);
        }
        let has_lingered = self.frontends.ended_for(now, LINGER_S);
        self.frontends.all_closed_or_handed_off() || self.all_answered() && has_lingered
    }

    /// Ends the process. Console requests that have arrived are answered, and unread bytes are discarded first, since
    /// closing a socket with unread bytes would reset the connection and lose written responses.
    pub(in crate::net) fn exit(&mut self, now: f64) {
        self.serve_console(now);
        self.frontends.drop_unread();
        self.loop_state.finished = true;
    }
}
