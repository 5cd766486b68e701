//! The relays between the processes of a fleet, and network faults.

use super::Rig;
use crate::error::TestbedError;
use crate::fleet::relay::Relay;
use std::net::SocketAddr;

impl Rig {
    /// Starts a relay for each pair of processes that communicate; `task_resource` is the resource that tasks call.
    pub(super) fn start_relays(&mut self, task_resource: SocketAddr) -> Result<(), TestbedError> {
        let coordinators = self.coordinators();
        let workers = self.workers();
        for to in &coordinators {
            for from in coordinators.iter().chain(&workers).filter(|from| *from != to) {
                self.relays.push(Relay::start(from, to)?);
            }
        }
        for from in &workers {
            self.start_relay(from, "acts", task_resource)?;
        }
        if let Some(service) = self.service.as_ref().map(|service| service.address) {
            for from in &workers {
                self.start_relay(from, "service", service)?;
            }
        }
        Ok(())
    }

    fn start_relay(&mut self, from: &str, to: &str, target: SocketAddr) -> Result<(), TestbedError> {
        let relay = Relay::start(from, to)?;
        relay.set_target(Some(target));
        self.relays.push(relay);
        Ok(())
    }

    /// Returns the address at which `from` connects to `to`.
    pub(super) fn relay(&self, from: &str, to: &str) -> Result<SocketAddr, TestbedError> {
        let found = self.relays.iter().find(|r| r.from == from && r.to == to);
        found
            .map(|r| r.address)
            .ok_or_else(|| TestbedError::NoLink { from: from.to_owned(), to: to.to_owned() })
    }

    /// Returns the addresses at which this worker connects to the coordinators.
    #[must_use]
    pub fn relay_addresses(&self, worker: &str) -> Vec<SocketAddr> {
        self.coordinators().iter().filter_map(|c| self.relay(worker, c).ok()).collect()
    }

    /// Returns the relays between two processes, in both directions.
    fn relays_between<'a>(&'a self, one: &'a str, other: &'a str) -> impl Iterator<Item = &'a Relay> {
        let joins = move |relay: &&Relay| {
            (relay.from == one && relay.to == other) || (relay.from == other && relay.to == one)
        };
        self.relays.iter().filter(joins)
    }

    /// Starts or ends a partition: bytes from `from` to `to`, and back unless `one_way`, are held back.
    ///
    /// # Errors
    /// No relay connects the two.
    pub fn set_partition(
        &mut self,
        from: &str,
        to: &str,
        one_way: bool,
        partitioned: bool,
    ) -> Result<(), TestbedError> {
        if self.relays_between(from, to).next().is_none() {
            return Err(TestbedError::NotConnected { from: from.to_owned(), to: to.to_owned() });
        }
        for relay in self.relays_between(from, to) {
            relay.set_cut(from, to, partitioned);
            if !one_way {
                relay.set_cut(to, from, partitioned);
            }
        }
        Ok(())
    }

    /// Resets all connections between two processes.
    pub fn reset(&mut self, from: &str, to: &str) {
        self.relays_between(from, to).for_each(Relay::reset);
    }

    /// Delays each block of data between two processes by `delay_ms`, in both directions.
    pub fn delay(&mut self, from: &str, to: &str, delay_ms: u64) {
        self.relays_between(from, to).for_each(|relay| relay.set_delay_ms(delay_ms));
    }
}
