//! SIGHUP: what a running worker applies of a changed configuration and operator's file.

use crate::dispatch::Input;
use crate::net::Worker;

impl Worker {
    /// Applies a changed configuration: addresses and the stop time. Runs, keys and queued requests go on; calls in flight
    /// end where they were made. A file that is half written or wrong leaves the old configuration in place.
    pub(in crate::net) fn reload(&mut self, now: f64, inputs: &mut Vec<Input>) {
        self.reload_operator(inputs);
        let next = match self.files.config() {
            Ok(next) => next,
            Err(e) => return self.log.line(&format!("reload: the old configuration stays: {e}")),
        };
        let fixed = next.fixed_changes(&self.config);
        if !fixed.is_empty() {
            self.log.line(&format!("reload: not taken up before a restart: {}", fixed.join(", ")));
        }
        self.config.stop_ms = next.stop_ms;
        self.executor.move_to(now, next.executor);
        if let (Some(records), Some(to)) = (&mut self.records, next.records) {
            records.move_to(to);
        }
        if let (Some(registry), Some(to)) = (&mut self.registry, next.registry) {
            if let Err(e) = registry.move_to(to) {
                self.log.line(&format!("reload: registry {to}: {e}"));
            }
        }
        self.log.line(&format!("reload: executor {}", next.executor));
        self.report_load(true);
    }

    /// Applies changed pools of the operator's file. They are checked against the platform's settings that this worker
    /// serves by, which a reload does not change.
    pub(in crate::net) fn reload_operator(&mut self, inputs: &mut Vec<Input>) {
        let next = self.files.operator(&self.config).and_then(|next| {
            let plan = next.pools.as_ref().map(|p| p.plan(&self.config.settings)).transpose()?;
            Ok((next, plan))
        });
        let (next, plan) = match next {
            Ok(next) => next,
            Err(e) => return self.log.line(&format!("reload: the old operator's file stays: {e}")),
        };
        let fixed = next.fixed_changes(&self.operator);
        if !fixed.is_empty() {
            self.log.line(&format!("reload: not taken up before a restart: {}", fixed.join(", ")));
        }
        if plan != self.settings.pools {
            let pools = plan.as_ref().map_or(0, |p| p.pools.len());
            self.log.line(&format!("reload: pools={pools}"));
            self.settings.pools = plan.clone();
            // Before the core is there it will start with them.
            if self.dispatcher.is_some() {
                inputs.push(Input::Pools(plan));
            }
        }
    }
}
