//! The simulator's adapter: JSON lines to events, actions to JSON, instances by number. It decides nothing.

mod error;
mod messages;
mod request_names;

use crate::admission::Controller;
use crate::config::read_gauges;
use crate::interface::{Action, Arrival, Event};
pub use error::{AdapterError, ItemError};
use messages::{order, outcome, Batch, Item, Order, Outbox, Reply};
use request_names::RequestNames;
use std::collections::BTreeMap;

/// One controller of the simulator, and how its wire names things.
struct Instance {
    controller: Controller,
    names: RequestNames,
    gauges: Vec<String>,
    classes: usize,
    tenants: usize,
    passes_deadline: bool,
}

/// All instances of this process.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
}

impl SimulatorAdapter {
    /// Answers one batch of events with the actions of all instances.
    ///
    /// # Errors
    /// A line that is no batch, or an event that can't be meant; the message says where.
    pub fn answer(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::Batch)?;
        if !batch.clock.is_finite() {
            return Err(AdapterError::Clock);
        }
        let mut produced: Vec<(u64, Vec<Action>)> = Vec::with_capacity(batch.workers.len());
        for inbox in &batch.workers {
            let mut actions = Vec::new();
            let worker = inbox.worker_id;
            for (item, raw) in inbox.items.iter().enumerate() {
                self.deliver(batch.clock, worker, raw.get(), &mut actions)
                    .map_err(|source| AdapterError::Item { worker, item, source })?;
            }
            produced.push((inbox.worker_id, actions));
        }
        let mut workers = Vec::with_capacity(produced.len());
        for (worker_id, actions) in &produced {
            let Some(instance) = self.instances.get(worker_id) else { continue };
            let out: Vec<Order> = actions.iter().filter_map(|a| order(&instance.names, a)).collect();
            if !out.is_empty() {
                workers.push(Outbox { worker_id: *worker_id, out });
            }
        }
        let mut text = serde_json::to_string(&Reply { workers }).map_err(AdapterError::Reply)?;
        text.push('\n');
        for (worker_id, _) in &produced {
            if let Some(instance) = self.instances.get_mut(worker_id) {
                for id in instance.controller.take_released() {
                    instance.names.release(id);
                }
            }
        }
        Ok(text)
    }

    fn deliver(&mut self, now: f64, worker: u64, raw: &str, out: &mut Vec<Action>) -> Result<(), ItemError> {
        let item: Item = serde_json::from_str(raw)?;
        match item {
            Item::Provision { prng, options } => {
                out.clear();
                let controller = Controller::new(options.settings(prng), now, out);
                self.instances.insert(
                    worker,
                    Instance {
                        controller,
                        names: RequestNames::default(),
                        classes: options.profiles.len(),
                        tenants: options.tenants.len(),
                        passes_deadline: options.domain.passes_deadline,
                        gauges: options.domain.own_stats.clone(),
                    },
                );
                return Ok(());
            }
            Item::Stop => {
                out.clear();
                return match self.instances.remove(&worker) {
                    Some(_) => Ok(()),
                    None => Err(ItemError::StopWithoutInstance),
                };
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&worker).ok_or(ItemError::NoInstance)?;
        let event = instance.event(item)?;
        instance.controller.handle(now, event, out);
        Ok(())
    }
}

impl Instance {
    fn event(&mut self, item: Item) -> Result<Event, ItemError> {
        Ok(match item {
            Item::Req(r) => {
                if r.tier_class >= self.classes {
                    return Err(ItemError::NoClass(r.tier_class));
                }
                if r.owner.is_some_and(|o| self.tenants > 0 && o >= self.tenants) {
                    return Err(ItemError::NoTenant(r.owner.unwrap_or_default()));
                }
                let retry_of = match &r.earlier {
                    Some(serde_json::Value::String(word)) => Some(self.names.find(word)),
                    _ => None,
                };
                Event::Arrived(Arrival {
                    id: self.names.insert(r.req),
                    class: r.tier_class,
                    tenant: r.owner.filter(|&o| o < self.tenants),
                    caller: r.who,
                    kb: r.kb,
                    read_delay_s: r.queued_for_s,
                    time_left_s: self.passes_deadline.then_some(r.remaining_s).filter(|&s| s > 0.0),
                    estimate_s: r.size_hint_s,
                    retry_of,
                    retry: r.is_retry,
                })
            }
            Item::Dropped { req } => Event::CallerGone(self.names.find(&req)),
            Item::Ended { req, disposition } => {
                Event::RunEnded { id: self.names.find(&req), outcome: outcome(&disposition) }
            }
            Item::AtCall { req } => Event::AtCall(self.names.find(&req)),
            Item::DepReply { req, disposition } => {
                Event::CallEnded { id: self.names.find(&req), outcome: outcome(&disposition) }
            }
            Item::Sigterm { remaining } => Event::Shutdown { ago_s: 0.0, in_s: remaining },
            Item::DeadlineHit { gauge } => Event::Woken(read_gauges(&self.gauges, &gauge)),
            Item::Provision { .. } | Item::Stop => return Err(ItemError::NotAnEvent),
        })
    }
}
