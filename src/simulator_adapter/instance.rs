//! One controller instance: decodes its events, replaces request names by IDs and delivers them.

use super::error::ItemError;
use super::messages::{Outbox, WireAction, WireEvent, WireRequest};
use super::request_names::RequestNames;
use crate::admission::Controller;
use crate::config::{read_gauges, PlatformSettings};
use crate::interface::{Action, Arrival, Event};

/// A controller, with what is needed to translate the simulator's messages.
pub(super) struct Instance {
    controller: Controller,
    names: RequestNames,
    /// Names of the gauges, in the order of their values in the messages.
    gauges: Vec<String>,
    /// Number of classes.
    classes: usize,
    /// Number of tenants.
    tenants: usize,
    /// Whether requests carry their remaining time.
    passes_deadline: bool,
}

impl Instance {
    /// Starts a controller with these settings at `now`. Its first actions are appended to `out`.
    pub(super) fn start(now: f64, seed: u64, options: &PlatformSettings, out: &mut Vec<Action>) -> Instance {
        Instance {
            controller: Controller::new(options.settings(seed), now, out),
            names: RequestNames::default(),
            gauges: options.domain.own_stats.clone(),
            classes: options.profiles.len(),
            tenants: options.tenants.len(),
            passes_deadline: options.domain.passes_deadline,
        }
    }

    /// Delivers an event to the controller. The resulting actions are appended to `out`.
    ///
    /// # Errors
    /// Returns an error if the class or tenant does not exist, or if the item is not an event of a running instance.
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

    /// Returns the message with these actions; `None` if there is nothing to send.
    pub(super) fn outbox(&self, worker_id: u64, actions: &[Action]) -> Option<Outbox<'_>> {
        let actions: Vec<WireAction> =
            actions.iter().filter_map(|action| WireAction::from_action(&self.names, action)).collect();
        (!actions.is_empty()).then_some(Outbox { worker_id, actions })
    }

    /// Removes the names of the requests that the controller has released.
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
            return Err(ItemError::UnknownClass(request.class));
        }
        // If the settings contain no tenants, the tenants of requests are ignored.
        let tenant = request.tenant.filter(|_| self.tenants > 0);
        if let Some(unknown) = tenant.filter(|tenant| *tenant >= self.tenants) {
            return Err(ItemError::UnknownTenant(unknown));
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
