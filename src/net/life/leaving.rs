//! Closing what is idle or too slow, and the notice to leave: the door, the grace, the end.

use crate::core::{Core, Input};
use crate::handover::Event;
use crate::net::base::wheel::Timer;
use crate::net::Worker;

/// After the grace of a drain, how long crossing requests may still come in before the end (seconds), and how
/// long before the stop the process ends at the latest.
const CROSSING_S: f64 = 0.15;
const STOP_MARGIN_S: f64 = 0.05;
/// The door closes this long before the stop at the latest, where the grace reaches beyond it (seconds).
const CLOSE_MARGIN_S: f64 = 0.4;

/// The notice to leave, as this loop follows it.
pub(in crate::net) struct Leaving {
    pub(in crate::net) notice: f64,
    pub(in crate::net) stop: f64,
    pub(in crate::net) closed: Option<f64>,
}

impl Worker {
    pub(in crate::net) fn leave(&mut self, now: f64, inputs: &mut Vec<Input>) {
        if self.given_away() {
            return self.door(now, Event::Leave, inputs);
        }
        if self.leaving.is_some() {
            return;
        }
        self.door(now, Event::Leave, inputs);
        let in_s = self.config.stop_ms / 1000.0;
        self.log.line(&format!("notice to leave; {in_s} s to the stop"));
        self.leaving = Some(Leaving { notice: now, stop: now + in_s, closed: None });
        // The loop must look at the door, at the end and at the stop even if nothing else wakes it.
        for after in [self.settings.leave_grace_s, in_s - CLOSE_MARGIN_S, in_s - STOP_MARGIN_S] {
            self.wheel.set(now, after, Timer::Again);
        }
        self.state.leaving = true;
        inputs.push(Input::Leave { in_s });
        if let Some(http2) = &mut self.http2 {
            // Each connection is told to go.
            http2.connections.touch_all();
        }
        self.beat(false);
    }

    /// Closes what is idle or too slow. Only after all that is ready has been read: guards requests that lay unread
    /// while this process was stopped.
    pub(in crate::net) fn sweep(&mut self) {
        let now = self.clock.now();
        let closing = self.leaving.as_ref().is_some_and(|l| l.closed.is_some());
        self.sweep_fronts(now, closing || self.state.passing);
        if let Some(http2) = &mut self.http2 {
            http2.sweep(now, self.state.draining, &mut self.left_over, &mut self.log);
            self.wheel.set(now, 0.0, Timer::Again);
        }
        if let Some(s) = &mut self.servers {
            s.sweep(now);
        }
        if let Some(r) = &mut self.records {
            r.sweep(now);
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

    /// Closes the door when nothing more may be run, and ends when all is answered and written.
    pub(in crate::net) fn follow_leaving(&mut self) {
        let now = self.clock.now();
        let grace_s = self.settings.leave_grace_s;
        let closes =
            |l: &Leaving| l.closed.is_none() && now >= (l.notice + grace_s).min(l.stop - CLOSE_MARGIN_S);
        if let Some(leaving) = self.leaving.as_mut().filter(|l| closes(l)) {
            leaving.closed = Some(now);
            self.http.connections.stop_listening();
            if let Some(ajp) = &mut self.ajp {
                ajp.connections.stop_listening();
            }
            if let Some(http2) = &mut self.http2 {
                http2.connections.stop_listening();
            }
            self.sweep_fronts(now, true);
            // Wakes the loop for the end itself.
            self.wheel.set(now, CROSSING_S, Timer::Again);
        }
        let answered = self.core.as_ref().map_or(0, Core::owed) == 0
            && self.http.connections.quiet()
            && self.ajp.as_ref().map_or(true, |a| a.connections.quiet())
            && self.http2.as_ref().map_or(true, |h| h.connections.quiet());
        let Some(leaving) = &self.leaving else { return };
        let crossed = leaving.closed.is_some_and(|at| now >= at + CROSSING_S);
        if crossed && answered || now >= leaving.stop - STOP_MARGIN_S {
            if let Some(Ok(state)) =
                self.core.as_ref().and_then(Core::pools).map(|s| serde_json::to_string(&s))
            {
                self.log.line(&format!("pools: state {state}"));
            }
            if let Some(r) = &mut self.replacement {
                r.links.leave();
            }
            self.log.line(if answered { "left with all answered" } else { "left with answers owed" });
            self.done = true;
        }
    }
}
