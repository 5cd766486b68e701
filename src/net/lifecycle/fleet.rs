//! The worker's part in its fleet: what the membership learns of draining, shutdown and hot restart, its counters and load
//! samples, and the metrics that operators read.

use crate::dispatch::Dispatcher;
use crate::fleet::frame::Counters;
use crate::fleet::overload::client::OverloadDirective;
use crate::net::upstreams::coordinator_link::CoordinatorLink;
use crate::net::Worker;
use std::fmt::Write;

impl Worker {
    /// The membership's part of a turn.
    pub(in crate::net) fn poll_coordinators(&mut self, now: f64) {
        let Some(fleet_now) = self.upstreams.coordinators.as_ref().map(CoordinatorLink::now) else { return };
        self.update_membership(now, fleet_now);
        let Some(fleet) = &mut self.upstreams.coordinators else { return };
        let (core, known) = (self.dispatcher.as_ref(), &self.context.catalog);
        let counters =
            || core.map(|core| counters_of(core, |class| known.class_name(class))).unwrap_or_default();
        fleet.turn(now, counters, &mut self.wheel);
        self.apply_overload_directive(now, fleet_now);
    }

    /// Tells the membership whether this process serves, and what its decision module has counted.
    fn update_membership(&mut self, now: f64, fleet_now: f64) {
        let Some(fleet) = &mut self.upstreams.coordinators else { return };
        let replaced = self.hot_restart.as_ref().is_some_and(|r| r.ownership.has_handed_off());
        if replaced || self.shutdown.is_some() {
            fleet.member.leave(replaced);
        }
        // A new process that does not own the listeners yet takes no leases beside the old one.
        let owns_listeners = self.hot_restart.as_ref().is_none_or(|r| r.ownership.is_owner());
        let serves = owns_listeners && self.dispatcher.is_some();
        fleet.member.set_accepting_tasks(fleet_now, serves && !self.context.availability.draining);
        if fleet.member.load_report_due(fleet_now) {
            let sample = self.dispatcher.as_mut().and_then(|core| core.fleet_load_sample(now));
            if let Some(sample) = sample {
                fleet.member.set_load_sample(sample);
            }
        }
    }

    /// Hands the fleet's directive to the decision module, on the worker's clock: it stands still while the machine is
    /// suspended, the membership's goes on.
    fn apply_overload_directive(&mut self, now: f64, fleet_now: f64) {
        let directive =
            self.upstreams.coordinators.as_ref().and_then(|fleet| fleet.member.overload_directive(fleet_now));
        let policy = self.dispatcher.as_mut().and_then(Dispatcher::overload);
        if let (Some(directive), Some(policy)) = (directive, policy) {
            policy.set_directive(OverloadDirective {
                valid_until: directive.valid_until - fleet_now + now,
                slice_valid_until: directive.slice_valid_until - fleet_now + now,
                ..directive
            });
        }
    }

    /// The fleet's metrics for operators, a line each.
    pub(in crate::net) fn fleet_metrics(&self) -> String {
        let Some(fleet) = &self.upstreams.coordinators else { return String::new() };
        let mut text = String::new();
        for (name, value) in fleet.member.metrics(fleet.now()) {
            let _ = writeln!(text, "{name}={value}");
        }
        let overload = self.dispatcher.as_ref().map(Dispatcher::overload_metrics).unwrap_or_default();
        for (name, value) in overload {
            let _ = writeln!(text, "fleet.overload.{name}={value}");
        }
        text
    }
}

/// How requests have ended so far, by class and outcome, and the responses that are pending now.
fn counters_of<'a>(core: &Dispatcher, class_name: impl Fn(usize) -> &'a str) -> Counters {
    let mut counters = Counters::new();
    for (class, outcomes) in core.metrics().classes().iter().enumerate() {
        let name = class_name(class);
        counters.insert(format!("{name}.success"), outcomes.success);
        counters.insert(format!("{name}.overload"), outcomes.overload);
        counters.insert(format!("{name}.error"), outcomes.error);
    }
    counters.insert("concurrent".to_owned(), Dispatcher::pending_responses(core) as u64);
    counters
}
