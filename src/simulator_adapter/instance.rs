//! One controller of the simulator: its events are decoded, named by number, and delivered.

use super::error::ItemError;
use super::messages::{Outbox, WireAction, WireEvent, WireRequest};
use super::request_names::RequestNames;
use crate::admission::Controller;
use crate::config::{read_gauges, Options};
use crate::interface::{Action, Arrival, Event};

/// A controller, and the names and numbers that the simulator uses for it.
pub(super) struct Instance {
    controller: Controller,
    names: RequestNames,
    /// The names of the gauges, in the order in which their values come.
    gauges: Vec<String>,
    /// The number of classes.
    classes: usize,
    /// The number of tenants.
    tenants: usize,
    /// Requests carry the time that is left to them.
    passes_deadline: bool,
}

impl Instance {
    /// Starts a controller with these settings at `now`; its first actions are appended to `out`.
    pub(super) fn start(now: f64, seed: u64, options: &Options, out: &mut Vec<Action>) -> Instance {
        Instance {
            controller: Controller::new(options.settings(seed), now, out),
            names: RequestNames::default(),
            gauges: options.domain.own_stats.clone(),
            classes: options.profiles.len(),
            tenants: options.tenants.len(),
            passes_deadline: options.domain.passes_deadline,
        }
    }

    /// Delivers an event to the controller; its actions are appended to `out`.
    ///
    /// # Errors
    /// The event names a class or tenant that does not exist, or is none of a running instance.
    pub(super) fn deliver(
        &mut self,
        now: f64,
        event: WireEvent,
        out: &mut Vec<Action>,
    ) -> Result<(), ItemError> {
        let event = self.decode(event)?;
        self.controller.handle(now, event, out);
        Ok(())
    }

    /// The message with these actions of this instance; `None` if there is nothing to send.
    pub(super) fn outbox(&self, worker_id: u64, actions: &[Action]) -> Option<Outbox<'_>> {
        let actions: Vec<WireAction> =
            actions.iter().filter_map(|action| WireAction::from_action(&self.names, action)).collect();
        (!actions.is_empty()).then_some(Outbox { worker_id, actions })
    }

    /// Removes the names of requests that the controller has released.
    pub(super) fn release_names(&mut self) {
        for id in self.controller.take_released() {
            self.names.release(id);
        }
    }

    fn decode(&mut self, event: WireEvent) -> Result<Event, ItemError> {
        Ok(match event {
            WireEvent::Req(request) => Event::Arrived(self.decode_request(request)?),
            WireEvent::Dropped { req } => Event::CallerDisconnected(self.names.find(&req)),
            WireEvent::Ended { req, disposition } => {
                Event::RunEnded { id: self.names.find(&req), outcome: disposition.into() }
            }
            WireEvent::AtCall { req } => Event::CallRequested(self.names.find(&req)),
            WireEvent::DepReply { req, disposition } => {
                Event::CallEnded { id: self.names.find(&req), outcome: disposition.into() }
            }
            WireEvent::Sigterm { remaining_s } => {
                Event::Shutdown { notice_age_s: 0.0, stop_in_s: remaining_s }
            }
            WireEvent::DeadlineHit { gauges } => Event::Woken(read_gauges(&self.gauges, &gauges)),
            WireEvent::Provision { .. } | WireEvent::Stop => return Err(ItemError::NotAnEvent),
        })
    }

    fn decode_request(&mut self, request: WireRequest) -> Result<Arrival, ItemError> {
        if request.class >= self.classes {
            return Err(ItemError::NoClass(request.class));
        }
        // Settings without tenants are used with requests that name some: then the numbers mean nothing.
        let tenant = request.tenant.filter(|_| self.tenants > 0);
        if let Some(unknown) = tenant.filter(|tenant| *tenant >= self.tenants) {
            return Err(ItemError::NoTenant(unknown));
        }
        let retry_of = match &request.retry_of {
            Some(serde_json::Value::String(name)) => Some(self.names.find(name)),
            _ => None,
        };
        let time_left_s = Some(request.time_left_s).filter(|left_s| self.passes_deadline && *left_s > 0.0);
        Ok(Arrival {
            id: self.names.insert(request.name),
            class: request.class,
            tenant,
            caller: request.caller,
            memory_kb: request.memory_kb,
            read_delay_s: request.read_delay_s,
            time_left_s,
            estimate_s: request.estimate_s,
            retry_of,
            retry: request.is_retry,
        })
    }
}
