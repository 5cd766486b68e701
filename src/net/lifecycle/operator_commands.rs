//! What the calls at the console do to a worker.

use crate::log::LogEvent;
use crate::net::events::LifecycleEvent;
use crate::net::lifecycle::console::{self, Call, Reply};
use crate::net::Worker;

impl Worker {
    /// Answers the calls at the console, before any frontend is processed. Returns `true` if accepting was paused.
    pub(in crate::net) fn serve_console(&mut self, now: f64) -> bool {
        let Some(console) = &mut self.frontends.console else { return false };
        let mut calls = Vec::new();
        let paused = console.gather(now, &mut calls);
        for (id, call) in calls {
            let reply = self.handle_operator_call(call);
            if let Some(console) = &mut self.frontends.console {
                console.answer(id, now, &reply);
            }
        }
        paused
    }

    fn handle_operator_call(&mut self, call: Call) -> Reply {
        match call {
            Call::Ready => self.readiness(),
            Call::Metrics => Reply::new(200, self.metrics_text()),
            Call::Drain => {
                self.set_draining(true);
                Reply::new(200, "draining\n")
            }
            Call::Resume => {
                self.set_draining(false);
                let shutting_down = self.context.availability.shutting_down;
                Reply::new(200, if shutting_down { "leaving all the same\n" } else { "serving\n" })
            }
        }
    }

    /// Whether this process can serve. The reasons are the words of the operators' pages.
    fn readiness(&self) -> Reply {
        let can_run = self.dispatcher.is_some() && self.upstreams.can_run();
        if self.context.availability.shutting_down {
            Reply::new(503, "leaving\n")
        } else if self.has_handed_off() {
            Reply::new(503, "handed over\n")
        } else if !self.owns_listeners() {
            Reply::new(503, "waiting for the process before\n")
        } else if can_run {
            Reply::new(200, "ready\n")
        } else {
            Reply::new(503, "no link to the executor\n")
        }
    }

    fn metrics_text(&self) -> String {
        let (metrics, pending_responses) = match &self.dispatcher {
            Some(dispatcher) => (dispatcher.metrics(), dispatcher.pending_responses()),
            None => (&self.early_metrics, 0),
        };
        console::metrics_text(&self.context.catalog, metrics, pending_responses) + &self.fleet_metrics()
    }

    /// Begins or ends a drain: health checks and load reports change immediately, admission does not.
    pub(in crate::net) fn set_draining(&mut self, draining: bool) {
        if self.forward_drain(draining) {
            return;
        }
        if self.context.availability.draining != draining {
            self.context.availability.draining = draining;
            LifecycleEvent::DrainChanged { draining }.emit();
            self.report_load(false);
        }
    }
}
