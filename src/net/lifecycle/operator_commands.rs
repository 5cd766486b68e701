//! Handling of console requests by a worker.

use crate::log::LogEvent;
use crate::net::events::LifecycleEvent;
use crate::net::lifecycle::console::{self, ConsoleRequest, ConsoleResponse};
use crate::net::Worker;

impl Worker {
    /// Handles pending console requests, before any frontend is processed. Returns `true` if accepting was paused.
    pub(in crate::net) fn serve_console(&mut self, now: f64) -> bool {
        let Some(console) = &mut self.frontends.console else { return false };
        let mut requests = Vec::new();
        let paused = console.gather(now, &mut requests);
        for (id, request) in requests {
            let response = self.handle_console_request(request);
            if let Some(console) = &mut self.frontends.console {
                console.respond(id, now, &response);
            }
        }
        paused
    }

    fn handle_console_request(&mut self, request: ConsoleRequest) -> ConsoleResponse {
        match request {
            ConsoleRequest::Ready => self.readiness(),
            ConsoleRequest::Metrics => ConsoleResponse::new(200, self.metrics_text()),
            ConsoleRequest::Drain => {
                self.set_draining(true);
                ConsoleResponse::new(200, "draining\n")
            }
            ConsoleRequest::Resume => {
                self.set_draining(false);
                let shutting_down = self.context.availability.shutting_down;
                ConsoleResponse::new(200, if shutting_down { "leaving all the same\n" } else { "serving\n" })
            }
        }
    }

    /// Reports whether this process can serve requests and, if not, why. The texts are documented for operators.
    fn readiness(&self) -> ConsoleResponse {
        let can_run = self.dispatcher.is_some() && self.upstreams.can_run();
        if self.context.availability.shutting_down {
            ConsoleResponse::new(503, "leaving\n")
        } else if self.has_handed_off() {
            ConsoleResponse::new(503, "handed over\n")
        } else if !self.owns_listeners() {
            ConsoleResponse::new(503, "waiting for the process before\n")
        } else if can_run {
            ConsoleResponse::new(200, "ready\n")
        } else {
            ConsoleResponse::new(503, "no link to the executor\n")
        }
    }

    fn metrics_text(&self) -> String {
        let (metrics, pending_responses) = match &self.dispatcher {
            Some(dispatcher) => (dispatcher.metrics(), dispatcher.pending_responses()),
            None => (&self.early_metrics, 0),
        };
        console::metrics_text(&self.context.catalog, metrics, pending_responses) + &self.fleet_metrics()
    }

    /// Begins or ends a drain. Health checks and load reports change immediately, admission is unaffected. After a
    /// hand-off the change is forwarded to the successor instead.
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
