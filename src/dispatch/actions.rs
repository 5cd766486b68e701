//! Executes the admission controller's actions, either on the dispatcher's own tables or as commands to the event loop.

use super::effects::Effects;
use super::in_flight::{LastCommand, RequestKey, RunState, SentCommand};
use super::{Command, DispatchEvent, Dispatcher, Response};
use crate::interface::{Action, Event, Outcome, RequestId};

/// A request that fails less than this time before its deadline gets [`Response::DeadlineExceeded`] (seconds).
const DEADLINE_EXCEEDED_MARGIN_S: f64 = 0.2;

impl Dispatcher {
    /// Executes all actions that the controller has returned, in order.
    pub(super) fn execute_actions(&mut self, effects: &mut Effects<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute_action(action, effects);
        }
        self.actions = actions;
    }

    fn execute_action(&mut self, action: Action, effects: &mut Effects<'_>) {
        match action {
            Action::Start(id) => self.start(id, effects),
            Action::Reject { id, retry_after_s, stop_retrying } => {
                self.respond(id, Response::Rejected { retry_after_s, stop_retrying }, effects);
                self.release(id);
            }
            Action::Fail(id) => self.fail(id, effects),
            Action::RetainKey { id, for_s } => self.retain_key(id, effects.now + for_s),
            Action::ReleaseKey(id) => self.release_key(id),
            Action::ShareResponse(id) => self.share_response(id, effects),
            Action::Call { id, until_s } => self.call(id, until_s, effects),
            Action::SkipCall(id) => self.skip_call(id, effects),
            // No backend can preempt a run, so the run continues. The controller returns this action only if the settings
            // claim that runs can be preempted.
            Action::Preempt(_) => {}
            Action::Health(healthy) => effects.commands.push(Command::Health(healthy)),
            Action::Publish(weight) => effects.commands.push(Command::Publish(weight)),
            Action::WakeIn(after_s) => effects.commands.push(Command::WakeIn(after_s)),
            Action::Log(event) => effects.commands.push(Command::Log(DispatchEvent::Admission(event))),
        }
    }

    fn start(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        if self.first_attempt_has_run(id) {
            self.complete_never_ran(id, &Response::Failed, effects);
            return;
        }
        let Some(in_flight) = self.in_flight.get_mut(id).filter(|r| !r.responded) else {
            // The request was handed off in this turn, or got its response because the process is exiting.
            effects.events.push_back(Event::RunEnded { id, outcome: Outcome::NotStarted });
            return;
        };
        in_flight.run = RunState::Started;
        in_flight.last_command = Some(SentCommand { at: effects.now, command: LastCommand::Run });
        self.metrics.record_dispatch(in_flight.request.class);
        effects.commands.push(in_flight.run_command());
    }

    fn fail(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        let now = effects.now;
        let near_deadline =
            self.in_flight.get(id).is_some_and(|r| now + DEADLINE_EXCEEDED_MARGIN_S >= r.deadline);
        let response = if near_deadline { Response::DeadlineExceeded } else { Response::Failed };
        self.respond(id, response, effects);
        self.release(id);
    }

    fn retain_key(&mut self, id: RequestId, expires_at: f64) {
        let Some(in_flight) = self.in_flight.get(id) else { return };
        if let Some(RequestKey { key, identity }) = &in_flight.key {
            self.keys.retain(key, id, *identity, expires_at);
        }
    }

    /// Does nothing if the request was already released with its response.
    fn release_key(&mut self, id: RequestId) {
        if let Some(key) = self.in_flight.get(id).and_then(|r| r.idempotency_key().cloned()) {
            self.keys.release(&key, id);
            self.updated_keys.push(key);
        }
    }

    fn call(&mut self, id: RequestId, until_s: f64, effects: &mut Effects<'_>) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let Some(call) = in_flight.pending_call.clone() else { return };
        in_flight.calling = true;
        effects.commands.push(Command::Call {
            name: in_flight.request.name.clone(),
            body: call.body,
            timeout_s: (until_s - effects.now).max(0.0),
            is_retryable: self.classes[in_flight.request.class].is_idempotent(),
        });
    }

    fn skip_call(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        if let Some(call) = in_flight.pending_call.take() {
            effects.commands.push(in_flight.skip_command(call.sequence, effects.now));
        }
    }
}
