//! Execution of the dispatcher's commands.

use super::Worker;
use crate::dispatch::{Command, Input, Request, Response};
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::events::{DroppedCommand, ExecutorEvent};
use crate::net::io::timer_wheel::Timer;
use crate::net::Health;

/// How long a request that is rejected before the executor is up should wait before its retry (seconds).
const NOT_UP_RETRY_AFTER_S: f64 = 1.0;

impl Worker {
    /// Executes one command. An outcome that is known at once is added to `inputs`.
    pub(in crate::net) fn execute(&mut self, now: f64, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Respond(ticket, response) => {
                self.frontends.respond(now, ticket, response, &self.context);
            }
            Command::Run { name, class, body, deadline } => {
                if let Some(ajp_backend) = &mut self.upstreams.ajp_backend {
                    ajp_backend.run(now, name, class, body, deadline, &mut self.wheel);
                } else if !self.upstreams.executor.run(&name, class, &body, &self.context.catalog) {
                    // The command was not even queued, so the request has not run and will not run.
                    inputs.push(Input::NeverRan { name });
                }
            }
            Command::Call { name, body, timeout_s, is_retryable } => match &mut self.upstreams.records {
                Some(records) => records.call(now, name, body, timeout_s, is_retryable, &mut self.wheel),
                None => inputs.push(Input::CallEnded { name, outcome: Outcome::Unreachable, reply: None }),
            },
            Command::CancelCall(name) => {
                if let Some(records) = &mut self.upstreams.records {
                    records.cancel(&name);
                }
            }
            Command::Resume { name, reply } => {
                if !self.upstreams.executor.resume(&name, &reply) {
                    ExecutorEvent::QueueFull { dropped: DroppedCommand::Reply }.emit();
                }
            }
            Command::SkipCall { name, sequence } => {
                if !self.upstreams.executor.skip(&name, sequence) {
                    ExecutorEvent::QueueFull { dropped: DroppedCommand::Skip }.emit();
                }
            }
            Command::Health(healthy) => self.set_health(healthy),
            Command::Publish(weight) => self.context.availability.published_weight = Some(weight),
            Command::WakeIn(delay_s) => self.wheel.set(now, delay_s, Timer::Wake),
            Command::Log(event) => event.emit(),
            Command::IdempotencyUpdate(update) => self.send_key_update(&update),
        }
    }

    fn set_health(&mut self, healthy: bool) {
        self.context.availability.health = if healthy { Health::Healthy } else { Health::Unhealthy };
        self.report_load(false);
    }

    /// Sends a load report to the registry if the executor is up and this process owns the listeners. A worker that is
    /// not ready reports `draining`. Unless a report is `due`, it is sent only if the readiness has changed.
    pub(in crate::net) fn report_load(&mut self, due: bool) {
        let ready = self.context.availability.is_ready();
        let listed = self.dispatcher.is_some() && self.owns_listeners();
        if let Some(registry) = self.upstreams.registry.as_mut().filter(|_| listed) {
            registry.report(ready, due);
        }
    }

    /// Answers requests that arrive before the executor is up. None of them runs here.
    pub(super) fn reject_early(&mut self, now: f64, inputs: &mut Vec<Input>) {
        for input in inputs.drain(..) {
            let (request, response) = match input {
                Input::Arrived(request) => (
                    request,
                    Response::Rejected { retry_after_s: NOT_UP_RETRY_AFTER_S, stop_retrying: false },
                ),
                Input::ArrivedWithoutTenant { request, error } => {
                    (request, Response::TenantUndetermined(error))
                }
                _ => continue,
            };
            let response =
                if self.may_have_run_elsewhere(now, &request) { Response::Failed } else { response };
            self.early_metrics.record_response(request.class, &response);
            self.frontends.respond(now, request.ticket, response, &self.context);
        }
    }

    /// Returns whether a request that this process can't run yet may be a retry of one that another process has run. A
    /// rejection would say that it has not run.
    fn may_have_run_elsewhere(&self, now: f64, request: &Request) -> bool {
        let Some(hot_restart) = &self.hot_restart else { return false };
        let may_be_retry = request.retry || !self.configuration.settings.marks_retries;
        let arrived = request.read_at.unwrap_or(now) - request.read_delay_s;
        request.key.is_some() && hot_restart.indeterminate_keys().covers(arrived, may_be_retry)
    }
}
