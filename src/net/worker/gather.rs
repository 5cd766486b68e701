//! Reads from ready sources, from upstreams before frontends: ended runs and calls free capacity for new requests.

use super::Worker;
use crate::dispatch::Input;
use crate::net::frontends::frontend::FrontendTurn;
use crate::net::io::poll::ACCEPT_PAUSE_S;
use crate::net::io::timer_wheel::Timer;

impl Worker {
    /// Reads from all ready sources: the console, then upstreams, then frontends.
    pub(super) fn gather(&mut self, inputs: &mut Vec<Input>) {
        let now = self.clock.now();
        let console_paused = self.serve_console(now);
        self.gather_upstreams(now, inputs);
        let frontends_paused = self.gather_frontends(now, inputs);
        if console_paused || frontends_paused {
            self.resume_accepting_later(now);
        }
    }

    fn resume_accepting_later(&mut self, now: f64) {
        if !self.loop_state.timers.accept {
            self.loop_state.timers.accept = true;
            self.wheel.set(now, ACCEPT_PAUSE_S, Timer::Accept);
        }
    }

    fn gather_upstreams(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.upstreams.gather_runs(now, &self.context.catalog, inputs, &mut self.wheel);
        self.schedule_reconnect(now);
        if self.dispatcher.is_none() {
            self.start_dispatcher(now, inputs);
        }
        self.upstreams.gather_calls(now, inputs, &mut self.wheel);
    }

    fn schedule_reconnect(&mut self, now: f64) {
        if self.loop_state.timers.reconnect {
            return;
        }
        if let Some(after_s) = self.upstreams.reconnect_in(now) {
            self.loop_state.timers.reconnect = true;
            self.wheel.set(now, after_s, Timer::Reconnect);
        }
    }

    /// Reads from the frontends and completes requests that wait for a directory lookup. Returns `true` if accepting
    /// was paused.
    fn gather_frontends(&mut self, now: f64, inputs: &mut Vec<Input>) -> bool {
        let mut turn =
            FrontendTurn { clock: &self.clock, context: &self.context, inputs, lookups: &mut Vec::new() };
        let paused = self.frontends.gather(&mut turn);
        if let Some(directory) = &mut self.upstreams.directory {
            for lookup in turn.lookups.drain(..) {
                directory.look_up(now, lookup, &mut self.wheel);
            }
            directory.gather(now);
            for (ticket, result) in directory.take_results() {
                self.frontends.complete_lookup(ticket, result, &mut turn);
            }
        }
        paused
    }
}
