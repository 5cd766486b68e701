//! Heartbeats of a worker's session, which carry the leases to renew, counters and load reports.

use super::{FleetMember, LoadSample, OverloadDirective};
use crate::fleet::frame::{ClientMessage, Counters};
use crate::fleet::overload::REPORT_INTERVAL_S;

/// Interval at which a worker sends its counters (seconds).
const COUNTERS_INTERVAL_S: f64 = 1.0;

impl FleetMember {
    /// Sends a heartbeat. `counters` is called only if the counters are due.
    pub(super) fn send_heartbeat(&mut self, now: f64, counters: impl FnOnce() -> Counters) {
        let seq = self.session.heartbeat_sent(now, self.heartbeat_interval_s());
        let wants = if self.may_take_tasks() { self.wanted_tasks() } else { Vec::new() };
        let counters_due = now - self.counters_sent_at >= COUNTERS_INTERVAL_S;
        if counters_due {
            self.counters_sent_at = now;
        }
        let leases = self.leases.heartbeat_sent(now, seq);
        let sample = self.load_sample.take();
        let load =
            self.overload.as_mut().zip(sample).map(|(client, sample)| client.report(now, seq, &sample));
        let heartbeat = ClientMessage::Heartbeat {
            seq,
            wants,
            leases,
            counters: counters_due.then(counters).filter(|counters| !counters.is_empty()),
            totals: self.computed_totals.take(),
            load,
        };
        self.send(heartbeat);
    }

    /// The shortest of the intervals that leases, the session and load reports require (seconds).
    fn heartbeat_interval_s(&self) -> f64 {
        let renewal_s = self.leases.renewal_interval_s().unwrap_or(f64::INFINITY);
        let report_s = if self.overload.is_some() { REPORT_INTERVAL_S } else { f64::INFINITY };
        renewal_s.min(self.session.heartbeat_interval_s).min(report_s)
    }

    /// Whether the next tick sends a load report. If so, [`FleetMember::set_load_sample`] has to be called before it.
    #[must_use]
    pub fn load_report_due(&self, now: f64) -> bool {
        self.overload.is_some() && self.session.heartbeat_due(now)
    }

    /// Sets the load sample for the next load report.
    pub fn set_load_sample(&mut self, sample: LoadSample) {
        self.load_sample = Some(sample);
    }

    /// The directive in force at `now`, with times on the same clock; `None` without fleet-wide overload control.
    #[must_use]
    pub fn overload_directive(&self, now: f64) -> Option<OverloadDirective> {
        self.overload.as_ref().map(|client| client.directive(now))
    }
}
