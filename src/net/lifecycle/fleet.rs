//! The worker's connection to its fleet membership: reports draining, shutdown and hot restart to it, supplies counters
//! and load samples, and adds its metrics to those that operators read.

use crate::dispatch::Dispatcher;
use crate::fleet::frame::Counters;
use crate::fleet::overload::client::OverloadDirective;
use crate::hot_restart::ListenerOwnership;
use crate::net::upstreams::coordinator_link::CoordinatorLink;
use crate::net::Worker;
use std::fmt::Write;

impl Worker {
    /// Exchanges messages with the coordinators, and applies the fleet's overload directive. Runs once per turn.
    pub(in crate::net) fn poll_coordinators(&mut self, now: f64) {
        let Some(fleet_now) = self.upstreams.coordinators.as_ref().map(CoordinatorLink::now) else { return };
        self.update_membership(now, fleet_now);
        let Some(coordinators) = &mut self.upstreams.coordinators else { return };
        let (dispatcher, catalog) = (self.dispatcher.as_ref(), &self.context.catalog);
        let counters = || {
            dispatcher
                .map(|dispatcher| request_counters(dispatcher, |class| catalog.class_name(class)))
                .unwrap_or_default()
        };
        coordinators.turn(now, counters, &mut self.wheel);
        self.apply_overload_directive(now, fleet_now);
    }

    /// Reports to the membership whether this process leaves the fleet or accepts tasks, and a load sample if one is
    /// due.
    fn update_membership(&mut self, now: f64, fleet_now: f64) {
        let Some(coordinators) = &mut self.upstreams.coordinators else { return };
        let ownership = self.hot_restart.as_ref().map(|r| &r.ownership);
        let replaced = ownership.is_some_and(ListenerOwnership::is_released);
        if replaced || self.shutdown.is_some() {
            coordinators.member.leave(replaced);
        } else {
            // A successor that has ended gave the listeners back.
            coordinators.member.rejoin(fleet_now);
        }
        // A new process that does not own the listeners yet must not take leases while the old one holds its own. Until
        // the new one has confirmed the takeover, the old one may have to take everything back.
        let holds_listeners =
            ownership.is_none_or(|o| o.is_owner() || o.has_handed_off() && !o.is_released());
        let serves = holds_listeners && self.dispatcher.is_some();
        coordinators.member.set_accepting_tasks(fleet_now, serves && !self.context.availability.draining);
        if coordinators.member.load_report_due(fleet_now) {
            let sample = self.dispatcher.as_mut().and_then(|dispatcher| dispatcher.fleet_load_sample(now));
            if let Some(sample) = sample {
                coordinators.member.set_load_sample(sample);
            }
        }
    }

    /// Whether this process, which is to exit, has ended its scheduled calls and closed its session. True outside a fleet.
    pub(in crate::net) fn has_left_fleet(&self) -> bool {
        self.upstreams.coordinators.as_ref().is_none_or(CoordinatorLink::has_left)
    }

    /// Reports the scheduled calls that are still in flight when this process must exit.
    pub(in crate::net) fn abandon_scheduled_calls(&mut self) {
        if let Some(coordinators) = &mut self.upstreams.coordinators {
            coordinators.abandon_calls();
        }
    }

    /// Passes the fleet's directive to the dispatcher. Its times are converted to the worker's clock, which stops while
    /// the machine is suspended; the membership's clock does not.
    fn apply_overload_directive(&mut self, now: f64, fleet_now: f64) {
        let directive = self
            .upstreams
            .coordinators
            .as_ref()
            .and_then(|coordinators| coordinators.member.overload_directive(fleet_now));
        let policy = self.dispatcher.as_mut().and_then(Dispatcher::overload);
        if let (Some(directive), Some(policy)) = (directive, policy) {
            policy.set_directive(OverloadDirective {
                valid_until: directive.valid_until - fleet_now + now,
                slice_valid_until: directive.slice_valid_until - fleet_now + now,
                ..directive
            });
        }
    }

    /// Formats the fleet's metrics for operators, one per line.
    pub(in crate::net) fn fleet_metrics(&self) -> String {
        let Some(coordinators) = &self.upstreams.coordinators else { return String::new() };
        let mut text = String::new();
        for (name, value) in coordinators.member.metrics(coordinators.now()) {
            let _ = writeln!(text, "{name}={value}");
        }
        let overload = self.dispatcher.as_ref().map(Dispatcher::overload_metrics).unwrap_or_default();
        for (name, value) in overload {
            let _ = writeln!(text, "fleet.overload.{name}={value}");
        }
        text
    }
}

/// Returns the counts of completed requests by class and outcome, and the number of pending responses.
fn request_counters<'a>(dispatcher: &Dispatcher, class_name: impl Fn(usize) -> &'a str) -> Counters {
    let mut counters = Counters::new();
    for (class, outcomes) in dispatcher.metrics().classes().iter().enumerate() {
        let name = class_name(class);
        counters.insert(format!("{name}.success"), outcomes.success);
        counters.insert(format!("{name}.overload"), outcomes.overload);
        counters.insert(format!("{name}.error"), outcomes.error);
    }
    counters.insert("concurrent".to_owned(), Dispatcher::pending_responses(dispatcher) as u64);
    counters
}
