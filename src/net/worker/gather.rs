//! Reads what is ready: outcomes from upstreams first, which make room for what arrives at the frontends.

use super::Worker;
use crate::dispatch::Input;
use crate::net::frontends::ajp::Turn;
use crate::net::io::poll::ACCEPT_PAUSE_S;
use crate::net::io::timer_wheel::Timer;

impl Worker {
    /// Takes in all that is ready.
    pub(super) fn gather(&mut self, inputs: &mut Vec<Input>) {
        let now = self.clock.now();
        let mut paused = self.serve_console(now);
        self.gather_upstreams(now, inputs);
        paused |= self.http.gather(&self.clock, &self.context, inputs);
        if let Some(http2) = &mut self.http2 {
            paused |= http2.gather(&self.clock, &self.context, inputs);
        }
        paused |= self.gather_ajp(now, inputs);
        if paused && !self.accept_timer {
            self.accept_timer = true;
            self.wheel.set(now, ACCEPT_PAUSE_S, Timer::Accept);
        }
    }

    fn gather_upstreams(&mut self, now: f64, inputs: &mut Vec<Input>) {
        match &mut self.ajp_servers {
            Some(servers) => servers.gather(now, &self.context.catalog, inputs, &mut self.wheel),
            None => self.executor.gather(now, inputs),
        }
        self.schedule_relink(now);
        if self.dispatcher.is_none() {
            self.start_dispatcher(now, inputs);
        }
        if let Some(records) = &mut self.records {
            records.gather(now, inputs, &mut self.wheel);
        }
    }

    fn schedule_relink(&mut self, now: f64) {
        if self.ajp_servers.is_some() || self.relink_timer {
            return;
        }
        if let Some(after) = self.executor.relink_in(now) {
            self.relink_timer = true;
            self.wheel.set(now, after, Timer::Relink);
        }
    }

    /// The AJP frontend, with what the directory found for its requests. Returns whether accepting was paused.
    fn gather_ajp(&mut self, now: f64, inputs: &mut Vec<Input>) -> bool {
        let Some(ajp) = &mut self.ajp else { return false };
        let mut lookups = Vec::new();
        let mut turn = Turn { clock: &self.clock, context: &self.context, inputs, lookups: &mut lookups };
        let paused = ajp.gather(&mut turn);
        if let Some(directory) = &mut self.directory {
            for lookup in std::mem::take(turn.lookups) {
                directory.look_up(now, lookup, &mut self.wheel);
            }
            directory.gather(now);
            for (ticket, found) in directory.take_found() {
                ajp.found(ticket, found, &mut turn);
            }
        }
        paused
    }
}
