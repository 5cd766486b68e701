//! Carries out the dispatcher's commands.

use super::Worker;
use crate::dispatch::{Command, Input, Response, Ticket};
use crate::interface::Outcome;
use crate::log::LogEvent;
use crate::net::io::timer_wheel::Timer;

/// What callers are told when the executor is not up yet (seconds).
const NOT_UP_RETRY_AFTER_S: f64 = 1.0;

impl Worker {
    /// Carries out one command; an outcome that is known at once becomes an input.
    pub(in crate::net) fn execute(&mut self, now: f64, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Respond(ticket, response) => self.answer(now, ticket, response),
            Command::Run { name, class, body, deadline } => {
                if let Some(servers) = &mut self.ajp_servers {
                    servers.run(now, name, class, body, deadline, &mut self.wheel);
                } else if !self.executor.run(&name, class, &body, &self.state.known) {
                    // Not even queued: it has not run, and will not.
                    inputs.push(Input::NeverRan { name });
                }
            }
            Command::Call { name, body, timeout_s, is_retryable } => match &mut self.records {
                Some(records) => records.call(now, name, body, timeout_s, is_retryable, &mut self.wheel),
                None => inputs.push(Input::CallEnded { name, outcome: Outcome::Unreachable, reply: None }),
            },
            Command::CancelCall(name) => self.records.iter_mut().for_each(|records| records.give_up(&name)),
            Command::Resume { name, reply } => {
                if !self.executor.resume(&name, &reply) {
                    self.log.line("executor: the queue is full; a reply is lost");
                }
            }
            Command::SkipCall { name, sequence } => {
                if !self.executor.skip(&name, sequence) {
                    self.log.line("executor: the queue is full; a skip is lost");
                }
            }
            Command::Health(good) => self.set_health(good),
            Command::Publish(level) => self.state.level = Some(level),
            Command::WakeIn(after) => self.wheel.set(now, after, Timer::Wake),
            Command::Log(event) => event.emit(),
            Command::IdempotencyUpdate(update) => self.send_key_update(&update),
        }
    }

    fn set_health(&mut self, good: bool) {
        self.healthy = good;
        if self.dispatcher.is_some() {
            self.state.fit = good;
            self.report_load(false);
        }
    }

    /// Sends a load report to the registry once the executor is up: a worker that is not good reports `draining`.
    pub(in crate::net) fn report_load(&mut self, due: bool) {
        let ready = self.state.good();
        let listed = self.dispatcher.is_some() && self.owns_listeners();
        if let Some(registry) = self.registry.as_mut().filter(|_| listed) {
            registry.beat(ready, due);
        }
    }

    /// Hands a response to the frontend whose ticket it is.
    pub(super) fn answer(&mut self, now: f64, ticket: Ticket, response: Response) {
        match &mut self.ajp {
            Some(ajp) if ajp.connections.owns(ticket.0) => ajp.answer(now, ticket, response, &self.state),
            _ => match &mut self.http2 {
                Some(http2) if http2.owns(ticket) => http2.answer(now, ticket, response, &self.state),
                _ => self.http.answer(now, ticket, response, &self.state),
            },
        }
    }

    /// Rejects what arrives before the executor is up: nothing has run.
    pub(super) fn reject_early(&mut self, now: f64, inputs: &mut Vec<Input>) {
        for input in inputs.drain(..) {
            if let Input::Arrived(request) = input {
                let response =
                    Response::Rejected { retry_after_s: NOT_UP_RETRY_AFTER_S, stop_retrying: false };
                self.early_metrics.record_response(request.class, &response);
                self.answer(now, request.ticket, response);
            }
        }
    }

    /// Writes what waits for upstreams.
    pub(super) fn flush(&mut self, now: f64) {
        self.executor.flush(now, &mut self.log);
        if let Some(directory) = &mut self.directory {
            directory.flush(now, &mut self.log);
        }
    }
}
