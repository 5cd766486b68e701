//! Heartbeats. Each renews a session and its leases, and is answered once a quorum has confirmed the leader.

use super::{Heartbeat, LeaderAction, LeaderState, LinkId, ReceivedTotals, SESSION_TTL_S, TOTALS_TASK};
use crate::ids::SessionId;
use crate::state_machine::LeaseStateMachine;
use port_worker::fleet::frame::{
    AgedCounters, FleetTotals, LeaseRef, RenewedLease, ServerMessage, MAX_TASKS,
};
use port_worker::fleet::overload::{FleetDigest, LoadReport};
use std::collections::btree_map::Entry;
use std::collections::BTreeSet;

/// The maximum number of counters from one worker.
const MAX_COUNTERS: usize = 64;

/// A heartbeat that waits for a quorum to confirm the leader.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    link: LinkId,
    session: SessionId,
    sequence: u64,
    received_at: f64,
    /// Whether the worker sent its load; if so, the answer includes the fleet's digest.
    reports_load: bool,
    /// The leases to renew, each with the TTL recorded when the heartbeat was received. The answer grants no more than that,
    /// even if the task's TTL has been raised since.
    leases: Vec<RenewedLease>,
}

impl LeaderState {
    /// Handles a worker's heartbeat.
    pub fn on_heartbeat(&mut self, now: f64, link: LinkId, heartbeat: Heartbeat, state: &LeaseStateMachine) {
        let open_session = self.session(link).filter(|session| state.sessions.contains_key(session));
        let Some(session) = open_session else {
            return self.send(link, ServerMessage::SessionExpired);
        };
        let Some(live) = self.sessions.get_mut(&session) else { return };
        // A session whose worker has said goodbye stays expired, so that it is closed once it holds no lease: a worker that
        // goes on needs a new one.
        if live.close_proposed_at.is_none() {
            live.expires_at = now + SESSION_TTL_S;
        }
        if let Some(counters) = heartbeat.counters {
            live.counters = counters.into_iter().take(MAX_COUNTERS).collect();
            live.counters_at = now;
        }
        self.update_queue_positions(session, heartbeat.wanted_tasks, state);
        if let Some(totals) = heartbeat.totals {
            if state.leases.get(TOTALS_TASK).is_some_and(|lease| lease.session == session) {
                self.totals = Some(ReceivedTotals { totals, received_at: now });
            }
        }
        let leases = self.record_renewals(now, session, heartbeat.leases, state);
        if let Some(load) = &heartbeat.load {
            self.record_load(now, session, load, state);
        }
        self.renewals.push(Renewal {
            link,
            session,
            sequence: heartbeat.sequence,
            received_at: now,
            reports_load: heartbeat.load.is_some(),
            leases,
        });
    }

    /// Updates the session's queue positions. The holder of a task is not in its queue; it rejoins at the end after its lease
    /// has ended.
    fn update_queue_positions(
        &mut self,
        session: SessionId,
        wanted_tasks: Vec<String>,
        state: &LeaseStateMachine,
    ) {
        let Some(live) = self.sessions.get_mut(&session) else { return };
        let wanted: BTreeSet<String> = wanted_tasks.into_iter().take(MAX_TASKS).collect();
        live.wanted_tasks.retain(|task, _| wanted.contains(task));
        for task in wanted {
            let holds = state.leases.get(&task).is_some_and(|lease| lease.session == session);
            if holds {
                live.wanted_tasks.remove(&task);
            } else if let Entry::Vacant(vacant) = live.wanted_tasks.entry(task) {
                self.last_queue_position += 1;
                vacant.insert(self.last_queue_position);
            }
        }
    }

    /// Records the renewals. A lease that the session does not hold gets a TTL of 0.
    fn record_renewals(
        &mut self,
        now: f64,
        session: SessionId,
        leases: Vec<LeaseRef>,
        state: &LeaseStateMachine,
    ) -> Vec<RenewedLease> {
        let mut renewed = Vec::new();
        for lease in leases.into_iter().take(MAX_TASKS) {
            let own = state.lease(&lease).filter(|current| current.session == session);
            let ttl_ms = own.map_or(0, |current| self.lease_clock.record_renewal(now, current));
            renewed.push(RenewedLease { lease, ttl_ms });
        }
        renewed
    }

    fn record_load(&mut self, now: f64, session: SessionId, load: &LoadReport, state: &LeaseStateMachine) {
        if let Some(overload) = &mut self.overload {
            overload.leader.receive(now, session.0, zone_of(session, state), load);
        }
    }

    /// Requests a quorum's confirmation of this leader for all heartbeats that are not in a batch yet.
    pub fn request_confirmation(&mut self, now: f64, state: &LeaseStateMachine) {
        if !self.checks.read_index {
            for renewal in self.renewals.take_unsent() {
                self.answer_heartbeat(now, &renewal, state);
            }
        }
        self.actions.extend(self.renewals.start_batch(now).map(LeaderAction::Confirm));
    }

    /// Called when a quorum has confirmed that this member was the leader after the request with this number.
    pub fn on_confirmed(&mut self, now: f64, number: u64, state: &LeaseStateMachine) {
        for renewal in self.renewals.confirm(number) {
            self.answer_heartbeat(now, &renewal, state);
        }
        self.request_confirmation(now, state);
    }

    fn answer_heartbeat(&mut self, now: f64, renewal: &Renewal, state: &LeaseStateMachine) {
        let leases = self.renewed_leases(renewal, state);
        let aggregates_totals = leases.iter().any(|renewed| renewed.lease.task == TOTALS_TASK);
        let counters = if aggregates_totals { self.counters_with_age(now) } else { Vec::new() };
        let totals = self.totals.clone().map(|received| FleetTotals {
            age_ms: received.totals.age_ms + age_ms(now, received.received_at),
            ..received.totals
        });
        let overload = self.overload_digest(now, renewal, state);
        let answer =
            ServerMessage::HeartbeatAck { seq: renewal.sequence, leases, totals, counters, overload };
        self.send(renewal.link, answer);
    }

    fn renewed_leases(&self, renewal: &Renewal, state: &LeaseStateMachine) -> Vec<RenewedLease> {
        let is_valid = |lease: &LeaseRef| {
            let is_own = state.lease(lease).is_some_and(|current| current.session == renewal.session);
            is_own && !self.lease_clock.is_releasing(lease.token)
        };
        renewal
            .leases
            .iter()
            .filter(|renewed| renewed.ttl_ms > 0 && is_valid(&renewed.lease))
            .cloned()
            .collect()
    }

    /// Returns each worker's counters with their age.
    fn counters_with_age(&self, now: f64) -> Vec<AgedCounters> {
        self.sessions
            .values()
            .filter(|live| !live.counters.is_empty())
            .map(|live| AgedCounters {
                age_ms: age_ms(now, live.counters_at),
                counters: live.counters.clone(),
            })
            .collect()
    }

    fn overload_digest(
        &mut self,
        now: f64,
        renewal: &Renewal,
        state: &LeaseStateMachine,
    ) -> Option<FleetDigest> {
        let overload = self.overload.as_mut().filter(|_| renewal.reports_load)?;
        let zone = zone_of(renewal.session, state);
        Some(overload.leader.digest(now, renewal.received_at, renewal.session.0, zone))
    }
}

fn zone_of(session: SessionId, state: &LeaseStateMachine) -> &str {
    state.sessions.get(&session).map_or("", |session| session.zone.as_str())
}

fn age_ms(now: f64, since: f64) -> u64 {
    ((now - since) * 1000.0) as u64
}
