//! Reload on SIGHUP: applies those changes to the configuration and the operator's file that need no restart.

use crate::dispatch::Input;
use crate::log::LogEvent;
use crate::net::events::{ConfigFile, LifecycleEvent, UpstreamEvent};
use crate::net::Worker;

impl Worker {
    /// Applies the changes that need no restart: the pools of the operator's file, and the upstream addresses and the
    /// stop time of the configuration. Runs, keys and queued requests are kept, and calls in flight complete at the old
    /// address. If a file is incomplete or invalid, its old values stay in effect.
    pub(in crate::net) fn reload(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.reload_operator(inputs);
        let next = match self.configuration.options.config() {
            Ok(next) => next,
            Err(error) => {
                let file = ConfigFile::Configuration;
                return LifecycleEvent::ConfigReloadRejected { file, error: &error }.emit();
            }
        };
        let deferred_keys = next.changes_requiring_restart(&self.configuration.platform);
        if !deferred_keys.is_empty() {
            let file = ConfigFile::Configuration;
            LifecycleEvent::ConfigReloadDeferred { file, keys: &deferred_keys }.emit();
        }
        self.configuration.platform.stop_ms = next.stop_ms;
        self.upstreams.executor.set_address(now, next.executor);
        if let (Some(records), Some(new_address)) = (&mut self.upstreams.records, next.records) {
            records.set_address(new_address);
        }
        if let (Some(registry), Some(new_address)) = (&mut self.upstreams.registry, next.registry) {
            if let Err(error) = registry.set_address(new_address) {
                UpstreamEvent::RegistryUnusable { address: new_address, error: &error }.emit();
            }
        }
        LifecycleEvent::ConfigReloaded { executor: next.executor }.emit();
        self.report_load(true);
    }

    /// Applies changed pools of the operator's file. They are validated against the platform's settings in use, which a
    /// reload does not change.
    pub(in crate::net) fn reload_operator(&mut self, inputs: &mut Vec<Input>) {
        let next = self.configuration.options.operator(&self.configuration.platform).and_then(|next| {
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
        let deferred_keys = next.changes_requiring_restart(&self.configuration.operator);
        if !deferred_keys.is_empty() {
            let file = ConfigFile::Operator;
            LifecycleEvent::ConfigReloadDeferred { file, keys: &deferred_keys }.emit();
        }
        if plan != self.configuration.settings.pools {
            let pools = plan.as_ref().map_or(0, |p| p.pools.len());
            LifecycleEvent::PoolsReloaded { pools }.emit();
            self.configuration.settings.pools.clone_from(&plan);
            // A dispatcher that has not started yet will be created with the new pools.
            if self.dispatcher.is_some() {
                inputs.push(Input::Pools(plan));
            }
        }
    }
}
