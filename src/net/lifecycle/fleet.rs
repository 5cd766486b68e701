//! What a worker's own life means to its fleet: figures, drains, leaving, and the process that takes its place.

use crate::dispatch::Dispatcher;
use crate::fleet::frame::Counters;
use crate::fleet::overload::client::OverloadDirective;
use crate::net::Worker;
use std::fmt::Write;

impl Worker {
    /// The fleet's part of a turn.
    pub(in crate::net) fn fleet_turn(&mut self, now: f64) {
        let Some(fleet) = &mut self.fleet else { return };
        let replaced = self.replacement.as_ref().is_some_and(|r| r.ownership.has_handed_off());
        if replaced || self.leaving.is_some() {
            fleet.member.leave(replaced);
        }
        // One whose place another still has does not act for the fleet beside it.
        let serves =
            self.replacement.as_ref().map_or(true, |r| r.ownership.is_owner()) && self.core.is_some();
        let at = fleet.now();
        fleet.member.set_accepting_tasks(at, serves && !self.state.draining);
        if fleet.member.load_report_due(at) {
            let numbers = self.core.as_mut().and_then(|core| core.fleet_load_sample(now));
            numbers.into_iter().for_each(|n| fleet.member.set_load_sample(n));
        }
        let (core, known) = (&self.core, &self.state.known);
        let figures = || -> Counters {
            let Some(core) = core else { return Counters::new() };
            let mut counts = Counters::new();
            for (class, one) in core.metrics().classes().iter().enumerate() {
                let name = known.class_name(class);
                for (what, n) in [("success", one.success), ("overload", one.overload), ("error", one.error)]
                {
                    counts.insert(format!("{name}.{what}"), n);
                }
            }
            counts.insert("concurrent".to_owned(), Dispatcher::pending_responses(core) as u64);
            counts
        };
        fleet.turn(now, figures, &mut self.wheel, &mut self.log);
        let advice = fleet.member.overload_directive(at);
        if let (Some(advice), Some(o)) = (advice, self.core.as_mut().and_then(Dispatcher::overload)) {
            // The module's clock is another, and stands still while the machine sleeps.
            let (until, slice_until) = (advice.until - at + now, advice.slice_until - at + now);
            o.set_directive(OverloadDirective { until, slice_until, ..advice });
        }
    }

    /// The fleet's figures for operators, a line each.
    pub(in crate::net) fn fleet_figures(&self) -> String {
        let Some(fleet) = &self.fleet else { return String::new() };
        fleet.member.metrics(fleet.now()).iter().fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "{name}={value}");
            text
        }) + &self.overload_figures()
    }

    fn overload_figures(&self) -> String {
        let figures = self.core.as_ref().map(Dispatcher::overload_figures).unwrap_or_default();
        figures.iter().fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "fleet.overload.{name}={value}");
            text
        })
    }
}
