//! What the calls at the console do to a worker.

use crate::log::LogEvent;
use crate::net::events::LifecycleEvent;
use crate::net::lifecycle::console::{self, Call};
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

    pub(in crate::net) fn handle_operator_call(&mut self, call: Call) -> console::Reply {
        let linked = self.upstreams.can_run();
        match call {
            Call::Ready if self.context.availability.shutting_down => console::Reply::new(503, "leaving\n"),
            Call::Ready if !self.owns_listeners() => {
                let given = self.has_handed_off();
                console::Reply::new(
                    503,
                    if given { "handed over\n" } else { "waiting for the process before\n" },
                )
            }
            Call::Ready if self.dispatcher.is_none() || !linked => {
                console::Reply::new(503, "no link to the executor\n")
            }
            Call::Ready => console::Reply::new(200, "ready\n"),
            Call::Metrics => {
                let (counts, concurrent) = self
                    .dispatcher
                    .as_ref()
                    .map_or((&self.early_metrics, 0), |core| (core.metrics(), core.pending_responses()));
                let figures = console::figures(&self.context.catalog, counts, concurrent);
                console::Reply::new(200, figures + &self.fleet_figures())
            }
            Call::Drain => {
                self.set_draining(true);
                console::Reply::new(200, "draining\n")
            }
            Call::Resume => {
                self.set_draining(false);
                console::Reply::new(
                    200,
                    if self.context.availability.shutting_down {
                        "leaving all the same\n"
                    } else {
                        "serving\n"
                    },
                )
            }
        }
    }

    /// Begins or ends a drain: health checks and load reports change immediately, admission does not.
    pub(in crate::net) fn set_draining(&mut self, on: bool) {
        if self.forward_drain(on) {
            return;
        }
        if self.context.availability.draining != on {
            self.context.availability.draining = on;
            LifecycleEvent::DrainChanged { draining: on }.emit();
            self.report_load(false);
        }
    }
}
