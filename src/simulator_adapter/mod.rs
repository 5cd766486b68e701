//! Adapter between the simulator's line protocol and admission controllers. Each input line is a batch of events; each
//! output line contains the resulting actions. The adapter itself makes no admission decisions.

mod error;
mod instance;
mod messages;
mod request_names;

use crate::interface::Action;
pub use error::{AdapterError, ItemError};
use instance::Instance;
use messages::{Batch, Inbox, Reply, WireEvent};
use std::collections::BTreeMap;

/// The actions of one instance in response to one batch.
struct InstanceActions {
    worker_id: u64,
    actions: Vec<Action>,
}

/// All controller instances of this process, by worker ID.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
}

impl SimulatorAdapter {
    /// Processes one input line and returns the output line, including the line break.
    ///
    /// # Errors
    /// Returns an error if the line is not a valid batch, or if an event can't be delivered; the message gives its
    /// position. Earlier events of the batch have already been delivered.
    pub fn handle_line(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::Batch)?;
        if !batch.now.is_finite() {
            return Err(AdapterError::Clock);
        }
        let mut outputs = Vec::with_capacity(batch.workers.len());
        for inbox in &batch.workers {
            outputs.push(self.deliver_inbox(batch.now, inbox)?);
        }
        let reply = self.encode_reply(&outputs)?;
        for output in &outputs {
            if let Some(instance) = self.instances.get_mut(&output.worker_id) {
                instance.release_names();
            }
        }
        Ok(reply)
    }

    fn deliver_inbox(&mut self, now: f64, inbox: &Inbox<'_>) -> Result<InstanceActions, AdapterError> {
        let worker_id = inbox.worker_id;
        let mut actions = Vec::new();
        for (item, raw) in inbox.items.iter().enumerate() {
            self.deliver(now, worker_id, raw.get(), &mut actions).map_err(|source| AdapterError::Item {
                worker: worker_id,
                item,
                source,
            })?;
        }
        Ok(InstanceActions { worker_id, actions })
    }

    fn deliver(
        &mut self,
        now: f64,
        worker_id: u64,
        raw: &str,
        out: &mut Vec<Action>,
    ) -> Result<(), ItemError> {
        match serde_json::from_str(raw)? {
            WireEvent::Provision { seed, options } => {
                // Discards the actions of an earlier instance with the same ID.
                out.clear();
                self.instances.insert(worker_id, Instance::start(now, seed, &options, out));
                Ok(())
            }
            WireEvent::Stop => {
                out.clear();
                self.instances.remove(&worker_id).map(drop).ok_or(ItemError::StopUnknownInstance)
            }
            event => {
                let instance = self.instances.get_mut(&worker_id).ok_or(ItemError::UnknownInstance)?;
                instance.deliver(now, event, out)
            }
        }
    }

    fn encode_reply(&self, outputs: &[InstanceActions]) -> Result<String, AdapterError> {
        let outbox = |output: &InstanceActions| {
            self.instances.get(&output.worker_id)?.outbox(output.worker_id, &output.actions)
        };
        let reply = Reply { workers: outputs.iter().filter_map(outbox).collect() };
        let mut text = serde_json::to_string(&reply).map_err(AdapterError::Reply)?;
        text.push('\n');
        Ok(text)
    }
}
