//! The simulator's adapter: hosts controllers behind the simulator's line protocol. Each line of input is a batch of events,
//! each line of output the actions that they cause. Nothing is decided here.

mod error;
mod instance;
mod messages;
mod request_names;

use crate::interface::Action;
pub use error::{AdapterError, ItemError};
use instance::Instance;
use messages::{Batch, Inbox, Reply, WireEvent};
use std::collections::BTreeMap;

/// The actions of one instance for one batch.
struct InstanceActions {
    worker_id: u64,
    actions: Vec<Action>,
}

/// All instances of this process, by their numbers.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
}

impl SimulatorAdapter {
    /// Handles one line of input, and returns the line of output with its line break.
    ///
    /// # Errors
    /// A line that is no batch, or an event that can't be delivered; the message names its place. Events before it have been
    /// delivered.
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
                // Actions of an earlier instance of this number are void.
                out.clear();
                self.instances.insert(worker_id, Instance::start(now, seed, &options, out));
                Ok(())
            }
            WireEvent::Stop => {
                out.clear();
                self.instances.remove(&worker_id).map(drop).ok_or(ItemError::StopWithoutInstance)
            }
            event => {
                let instance = self.instances.get_mut(&worker_id).ok_or(ItemError::NoInstance)?;
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
