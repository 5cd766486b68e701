//! The membership's metrics for the console.

use super::FleetMember;

impl FleetMember {
    /// Names and values of the metrics, in printing order.
    #[must_use]
    pub fn metrics(&self, now: f64) -> Vec<(String, String)> {
        let has_established_session = u64::from(self.has_established_session());
        let since_change_s = now - self.session.link_state_since;
        let mut lines = vec![
            ("fleet.linked".to_owned(), has_established_session.to_string()),
            ("fleet.linked_or_not_for_s".to_owned(), format!("{since_change_s:.1}")),
        ];
        self.push_lease_metrics(now, &mut lines);
        self.push_task_metrics(&mut lines);
        self.push_totals(now, &mut lines);
        lines
    }

    fn push_lease_metrics(&self, now: f64, lines: &mut Vec<(String, String)>) {
        for lease in self.leases.all() {
            let valid_until = self.leases.valid_until(&lease.task);
            let left_s = valid_until.map_or(0.0, |until| (until - now).max(0.0));
            lines.push((format!("fleet.lease.{}.token", lease.task), lease.token.to_string()));
            lines.push((format!("fleet.lease.{}.left_s", lease.task), format!("{left_s:.2}")));
        }
    }

    fn push_task_metrics(&self, lines: &mut Vec<(String, String)>) {
        for task in &self.tasks {
            let name = &task.schedule.name;
            lines.push((format!("fleet.task.{name}.calls"), task.calls.to_string()));
            lines.push((format!("fleet.task.{name}.unknown"), task.indeterminate_calls.to_string()));
        }
    }

    fn push_totals(&self, now: f64, lines: &mut Vec<(String, String)>) {
        let Some(received) = &self.received_totals else { return };
        let totals = &received.totals;
        let age_s = now - received.received_at + totals.age_ms as f64 / 1000.0;
        lines.push(("fleet.totals.age_s".to_owned(), format!("{age_s:.1}")));
        lines.push(("fleet.totals.workers".to_owned(), totals.workers.to_string()));
        let counts = totals.counts.iter();
        lines.extend(counts.map(|(name, value)| (format!("fleet.totals.{name}"), value.to_string())));
    }
}
