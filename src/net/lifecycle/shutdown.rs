//! The graceful shutdown: the notice to leave, the grace, the listeners, the end. Also the sweep of connections.

mod timeline;

use crate::dispatch::{Dispatcher, Input};
use crate::hot_restart::Event;
use crate::net::frontends::ajp::Turn;
use crate::net::io::timer_wheel::Timer;
use crate::net::Worker;
use timeline::Timeline;

/// How long the listeners have been closed when idle connections are ended for good: a request that crosses the close
/// within 50 ms is sent anew by whoever sent it, and must be readable as lost until then (seconds).
const CROSSING_S: f64 = 0.15;
/// How long the process waits for peers to end too, once all answers are written (seconds).
const LINGER_S: f64 = 0.3;
/// Looks at the accept queues before the listeners close: each takes in some dozens, and the system keeps a thousand.
const ACCEPT_LOOKS: usize = 64;

/// The notice to leave, as this loop follows it.
pub(in crate::net) struct Leaving {
    pub(in crate::net) at: Timeline,
    pub(in crate::net) closed: Option<f64>,
    called: bool,
}

impl Worker {
    pub(in crate::net) fn leave(&mut self, now: f64, inputs: &mut Vec<Input>) {
        if self.has_handed_off() {
            return self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        }
        if self.leaving.is_some() {
            return;
        }
        self.on_hot_restart_event(now, Event::ShutdownNotice, inputs);
        let in_s = self.config.stop_ms / 1000.0;
        self.log.line(&format!("notice to leave; {in_s} s to the stop"));
        // It may have come at any time since the turn before began: a process that was stopped meanwhile reads it late,
        // and its grace and its stop count from when it was sent.
        let at = Timeline::new(self.turn_before, in_s, self.settings.shutdown_grace_s);
        self.leaving = Some(Leaving { at, closed: None, called: false });
        // The loop must look at each of these even if nothing else wakes it.
        for at in [at.accept_until, at.answer_by, at.exit_by] {
            self.wheel.set(now, at - now, Timer::Again);
        }
        self.state.leaving = true;
        inputs.push(Input::Shutdown { notice: at.notice, stop: at.kill_at });
        if let Some(http2) = &mut self.http2 {
            // Each connection is told to go.
            http2.connections.touch_all();
        }
        self.beat(false);
    }

    /// Ends what is idle or too slow. Only after all that is ready has been read: guards requests that lay unread
    /// while this process was stopped.
    pub(in crate::net) fn sweep(&mut self) {
        let now = self.clock.now();
        let closing = self.leaving.as_ref().is_some_and(|l| l.closed.is_some());
        self.sweep_fronts(now, closing || self.state.passing);
        if let Some(http2) = &mut self.http2 {
            http2.sweep(now, self.state.draining, &mut self.left_over, &mut self.log);
        }
        if let Some(s) = &mut self.servers {
            s.sweep(now);
        }
        if let Some(r) = &mut self.records {
            r.sweep(now);
        }
        // What is to be ended is ended in this turn, and what it has found something on is looked at: the longer that
        // takes, the more can cross it.
        if self.pending() {
            self.rounds(Vec::new());
        }
    }

    pub(in crate::net) fn sweep_fronts(&mut self, now: f64, leaving: bool) {
        if let Some(console) = &mut self.console {
            console.connections.sweep(now, self.idle_s, false);
        }
        self.http.connections.sweep(now, self.idle_s, leaving && !self.state.passing);
        if let Some(ajp) = &mut self.ajp {
            ajp.connections.sweep(now, self.idle_s, leaving);
        }
        if let Some(http2) = &mut self.http2 {
            let idle_s = http2.idle_s();
            http2.connections.sweep(now, idle_s, leaving);
        }
    }

    /// Closes the listeners when nothing more may be run, and ends when all is answered, written and read.
    pub(in crate::net) fn follow_leaving(&mut self) {
        let now = self.clock.now();
        let Some(Leaving { at, closed, called }) = self.leaving else { return };
        if closed.is_none() && now >= at.accept_until {
            self.close_listeners(now);
            self.sweep_fronts(now, true);
            self.note(|l| l.closed = Some(now));
            // What was still taken in, and what came just now, is answered.
            self.rounds(Vec::new());
            self.wheel.set(now, CROSSING_S, Timer::Again);
        }
        if !called && now >= at.answer_by {
            self.note(|l| l.called = true);
            self.answer_all();
        }
        let last = now >= at.answer_by;
        let closed = self.leaving.as_ref().and_then(|l| l.closed);
        let crossed = closed.is_some_and(|at| now >= at + CROSSING_S);
        let answered = self.all_answered();
        let over = (crossed && answered || last) && self.end_connections(now, last);
        if over || now >= at.exit_by {
            if let Some(Ok(state)) =
                self.core.as_ref().and_then(Dispatcher::pools).map(|s| serde_json::to_string(&s))
            {
                self.log.line(&format!("pools: state {state}"));
            }
            if let Some(r) = &mut self.replacement {
                r.links.remove_socket();
            }
            self.log.line(if answered { "left with all answered" } else { "left with answers owed" });
            self.end(now);
        }
    }

    fn note(&mut self, change: impl FnOnce(&mut Leaving)) {
        if let Some(leaving) = &mut self.leaving {
            change(leaving);
        }
        self.wheel.set(self.clock.now(), 0.0, Timer::Again);
    }

    /// Nothing is owed, everything is written, and no half request is waited for.
    fn all_answered(&self) -> bool {
        self.core.as_ref().map_or(0, Dispatcher::pending_responses) == 0
            && self.http.connections.quiet()
            && self.ajp.as_ref().map_or(true, |a| a.connections.quiet())
            && self.http2.as_ref().map_or(true, |h| h.connections.quiet())
    }

    /// Lets nobody in any more at any front, after all those whom the system has accepted by now.
    fn close_listeners(&mut self, now: f64) {
        for _ in 0..ACCEPT_LOOKS {
            let mut closed = self.http.connections.close_listener(now);
            closed &= self.ajp.as_mut().map_or(true, |a| a.connections.close_listener(now));
            closed &= self.http2.as_mut().map_or(true, |h| h.connections.close_listener(now));
            if closed {
                return;
            }
            self.rounds(Vec::new());
        }
        self.http.connections.stop_listening();
        self.ajp.iter_mut().for_each(|a| a.connections.stop_listening());
        self.http2.iter_mut().for_each(|h| h.connections.stop_listening());
    }

    /// Answers whatever is still owed: a stop may be too short for the module to give up in time, and a directory may
    /// be silent.
    pub(in crate::net) fn answer_all(&mut self) {
        let mut inputs = vec![Input::RespondAll];
        if let Some(ajp) = &mut self.ajp {
            let (clock, state, log) = (&self.clock, &self.state, &mut self.log);
            ajp.give_up_lookups(&mut Turn {
                clock,
                state,
                inputs: &mut inputs,
                lookups: &mut Vec::new(),
                log,
            });
        }
        // Nothing of this waits for another turn: there may be none.
        self.put_off = true;
        self.rounds(inputs);
    }

    /// Ends all connections that rest, with `at_once` those too that have sent half a request; `true` when their peers
    /// have ended too, or were waited for long enough.
    pub(in crate::net) fn end_connections(&mut self, now: f64, at_once: bool) -> bool {
        self.http.connections.end_all(now, at_once);
        if let Some(ajp) = &mut self.ajp {
            ajp.connections.end_all(now, at_once);
        }
        if let Some(http2) = &mut self.http2 {
            http2.connections.end_all(now, at_once);
        }
        // Written and read as far as that goes in this turn.
        if self.pending() {
            self.rounds(Vec::new());
        }
        if self.ended.is_none() {
            self.ended = Some(now);
            self.wheel.set(now, LINGER_S, Timer::Again);
        }
        let all_ended = self.http.connections.all_ended()
            && self.ajp.as_ref().map_or(true, |a| a.connections.all_ended())
            && self.http2.as_ref().map_or(true, |h| h.connections.all_ended());
        all_ended || self.all_answered() && self.ended.is_some_and(|at| now >= at + LINGER_S)
    }

    /// The end of the process: operators' calls that have come are answered, and no socket is closed over bytes that
    /// have come.
    pub(in crate::net) fn end(&mut self, now: f64) {
        self.serve_console(now);
        self.http.connections.drop_unread();
        if let Some(console) = &mut self.console {
            console.connections.drop_unread();
        }
        if let Some(ajp) = &mut self.ajp {
            ajp.connections.drop_unread();
        }
        if let Some(http2) = &mut self.http2 {
            http2.connections.drop_unread();
        }
        self.done = true;
    }
}
