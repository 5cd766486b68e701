//! Processing of the coordinators' messages.

use super::{FleetMember, LeaseLossCause, MemberAction, MembershipEvent};
use crate::fleet::frame::{AgedCounters, ClientMessage, FleetTotals, LeaseRef, RenewedLease, ServerMessage};
use crate::fleet::overload::FleetDigest;
use crate::fleet::tasks::{BegunPeriod, PeriodDecision};
use crate::fleet::totals::{sum_counters, ReceivedTotals, TOTALS_TASK};

/// Margin added to the pause before the next request for a period (seconds). A request that arrives slightly early is
/// rejected, so without the margin each period would be requested twice.
const PERIOD_REQUEST_MARGIN_S: f64 = 0.002;

impl FleetMember {
    /// Processes a message from the coordinator. Messages that do not apply to the current state have no effect.
    pub fn receive(&mut self, now: f64, message: &ServerMessage) {
        let was_established = self.session.is_established();
        let mut link_actions = Vec::new();
        let session_ended = self.session.receive(now, message, &mut link_actions);
        if session_ended {
            self.lose_all_leases();
        }
        self.push_link_actions(link_actions);
        match message {
            ServerMessage::Welcome { session, .. } => self.begin_session(now, *session),
            ServerMessage::NotLeader { reason, .. } if was_established => {
                self.log(MembershipEvent::CoordinatorNotLeader { reason: reason.clone() });
            }
            ServerMessage::Rejected { reason } => {
                self.log(MembershipEvent::MessageRejected { reason: reason.clone() });
            }
            ServerMessage::HeartbeatAck { seq, leases, totals, counters, overload } => {
                self.update_overload(*seq, overload.as_ref());
                self.renew_leases(*seq, leases);
                self.update_totals(now, totals.as_ref());
                self.compute_totals(now, counters);
            }
            ServerMessage::LeaseGranted { lease } => self.on_lease_granted(now, lease),
            ServerMessage::PeriodBegun { lease, period, attempt } => {
                let begun = BegunPeriod { lease, period: *period, attempt: *attempt };
                self.begin_period(now, &begun);
            }
            ServerMessage::PeriodNotBegun { lease, retry_after_ms, .. } => {
                self.postpone_period(now, lease, *retry_after_ms);
            }
            _ => {}
        }
    }

    fn begin_session(&mut self, now: f64, session: u64) {
        let coordinator = self.session.coordinator();
        self.log(MembershipEvent::SessionEstablished { session, coordinator });
        self.leases.reconnected();
        if let Some(client) = &mut self.overload {
            client.reconnected();
        }
        for task in &mut self.tasks {
            self.actions.extend(task.reconnected(now).map(MemberAction::Send));
        }
        // The worker may have begun to leave while it had no link.
        self.send_goodbye_when_idle();
    }

    fn update_overload(&mut self, seq: u64, digest: Option<&FleetDigest>) {
        if let (Some(client), Some(digest)) = (&mut self.overload, digest) {
            client.receive(seq, digest);
        }
    }

    fn renew_leases(&mut self, seq: u64, renewed: &[RenewedLease]) {
        for lost in self.leases.heartbeat_acked(seq, renewed) {
            self.log(MembershipEvent::LeaseLost { lease: lost, cause: LeaseLossCause::NotRenewed });
        }
    }

    fn update_totals(&mut self, now: f64, totals: Option<&FleetTotals>) {
        if let Some(totals) = totals {
            self.received_totals = Some(ReceivedTotals { totals: totals.clone(), received_at: now });
        }
    }

    fn compute_totals(&mut self, now: f64, workers: &[AgedCounters]) {
        if self.leases.may_act(now, TOTALS_TASK, 0.0).is_some() && !workers.is_empty() {
            self.computed_totals = Some(sum_counters(&self.config.name, workers));
        }
    }

    fn on_lease_granted(&mut self, now: f64, lease: &LeaseRef) {
        let is_wanted = self.may_take_tasks() && self.wanted_tasks().contains(&lease.task);
        if is_wanted {
            self.log(MembershipEvent::LeaseAcquired(lease.clone()));
            self.leases.granted(lease);
        } else {
            // The worker requested the lease before it began to drain or to leave, and returns it without acting under it.
            self.send(ClientMessage::ReleaseLease {
                lease: lease.clone(),
                failed: false,
                pass_on: self.is_replaced(),
            });
        }
        self.session.make_heartbeat_due(now);
    }

    fn begin_period(&mut self, now: f64, begun: &BegunPeriod<'_>) {
        if !self.may_take_tasks() {
            return;
        }
        let Some(task) = self.tasks.iter_mut().find(|task| task.schedule.name == begun.lease.task) else {
            return;
        };
        match task.period_begun(now, begun, &self.leases) {
            PeriodDecision::Call(call) => self.actions.push(MemberAction::Call(call)),
            PeriodDecision::Report(report) => self.send(report),
            PeriodDecision::Superseded => {}
        }
    }

    fn postpone_period(&mut self, now: f64, lease: &LeaseRef, retry_after_ms: u64) {
        if let Some(task) = self.tasks.iter_mut().find(|task| task.schedule.name == lease.task) {
            task.period_not_begun(now, retry_after_ms as f64 / 1000.0 + PERIOD_REQUEST_MARGIN_S);
        }
    }

    fn lose_all_leases(&mut self) {
        let leases: Vec<LeaseRef> = self.leases.all().collect();
        for lease in leases {
            self.log(MembershipEvent::LeaseLost { lease, cause: LeaseLossCause::SessionExpired });
        }
        self.leases.clear();
    }
}
