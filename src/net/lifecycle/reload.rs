//! SIGHUP: what a running worker applies of a changed configuration and operator's file.

use crate::dispatch::Input;
use crate::log::LogEvent;
use crate::net::events::{ConfigFile, LifecycleEvent, UpstreamEvent};
use crate::net::Worker;

impl Worker {
    /// Applies a changed configuration: addresses and the stop time. Runs, keys and queued requests go on; calls in flight
    /// end where they were made. A file that is half written or wrong leaves the old configuration in place.
    pub(in crate::net) fn reload(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.reload_operator(inputs);
        let next = match self.configuration.files.config() {
            Ok(next) => next,
            Err(error) => {
                let file = ConfigFile::Configuration;
                return LifecycleEvent::ConfigReloadRejected { file, error: &error }.emit();
            }
        };
        let fixed = next.changes_requiring_restart(&self.configuration.platform);
        if !fixed.is_empty() {
            let file = ConfigFile::Configuration;
            LifecycleEvent::ConfigReloadDeferred { file, keys: &fixed }.emit();
        }
        self.configuration.platform.stop_ms = next.stop_ms;
        self.upstreams.executor.set_address(now, next.executor);
        if let (Some(records), Some(to)) = (&mut self.upstreams.records, next.records) {
            records.set_address(to);
        }
        if let (Some(registry), Some(to)) = (&mut self.upstreams.registry, next.registry) {
            if let Err(error) = registry.set_address(to) {
                UpstreamEvent::RegistryUnusable { address: to, error: &error }.emit();
            }
        }
        LifecycleEvent::ConfigReloaded { executor: next.executor }.emit();
        self.report_load(true);
    }

    /// Applies changed pools of the operator's file. They are checked against the platform's settings that this worker
    /// serves by, which a reload does not change.
    pub(in crate::net) fn reload_operator(&mut self, inputs: &mut Vec<Input>) {
        let next = self.configuration.files.operator(&self.configuration.platform).and_then(|next| {
            let plan =
                next.pools.as_ref().map(|p| p.plan(&self.configuration.platform.settings)).transpose()?;
            Ok((next, plan))
        });
        let (next, plan) = match next {
            Ok(next) => next,
            Err(error) => {
                let file = ConfigFile::Operator;
                return LifecycleEvent::ConfigReloadRejected { file, error: &error }.emit();
            }
        };
        let fixed = next.changes_requiring_restart(&self.configuration.operator);
        if !fixed.is_empty() {
            let file = ConfigFile::Operator;
            LifecycleEvent::ConfigReloadDeferred { file, keys: &fixed }.emit();
        }
        if plan != self.configuration.settings.pools {
            let pools = plan.as_ref().map_or(0, |p| p.pools.len());
            LifecycleEvent::PoolsReloaded { pools }.emit();
            self.configuration.settings.pools.clone_from(&plan);
            // Before the core is there it will start with them.
            if self.dispatcher.is_some() {
                inputs.push(Input::Pools(plan));
            }
        }
    }
}
