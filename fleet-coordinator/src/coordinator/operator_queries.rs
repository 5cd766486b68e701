//! Operators' queries. What only a leader knows is answered after a quorum has confirmed it.

use super::Coordinator;
use crate::events::CoordinatorEvent;
use crate::ids::LinkId;
use port_worker::fleet::frame::{OperatorQuery, ServerMessage};
use port_worker::fleet::overload::leader::Leader;
use port_worker::fleet::overload::level::SheddingLevel;
use port_worker::fleet::overload::MAX_TIERS;
use serde_json::{json, Value};

/// Confirmations for operators' queries are numbered above this, those for heartbeats below.
pub(super) const FIRST_QUERY_NUMBER: u64 = 1 << 40;
/// The largest number of queries that wait for a confirmation.
const MAX_PENDING_QUERIES: usize = 64;
/// How long a query waits for a confirmation (seconds).
const QUERY_TIMEOUT_S: f64 = 3.0;
/// The longest time for which a shedding level is pinned (seconds), so that a forgotten one ends.
const MAX_PIN_S: f64 = 3600.0;

/// A query that waits for a quorum to confirm this leader.
pub(super) struct PendingQuery {
    number: u64,
    pub(super) link: LinkId,
    query: OperatorQuery,
    received_at: f64,
}

impl Coordinator {
    pub(super) fn receive_query(&mut self, now: f64, link: LinkId, query: OperatorQuery) {
        if query == OperatorQuery::Status {
            let answer = self.status();
            return self.send(link, &ServerMessage::QueryResult { answer });
        }
        if !self.replica.leads() {
            let answer = self.not_leader();
            return self.send(link, &answer);
        }
        if self.pending_queries.len() >= MAX_PENDING_QUERIES {
            return self.reject(link, "too many questions wait");
        }
        self.last_query += 1;
        let number = self.last_query;
        self.pending_queries.push(PendingQuery { number, link, query, received_at: now });
        self.replica.request_read_index(now, number);
    }

    pub(super) fn expire_queries(&mut self, now: f64) {
        let (waiting, expired) = std::mem::take(&mut self.pending_queries)
            .into_iter()
            .partition(|query| now - query.received_at < QUERY_TIMEOUT_S);
        self.pending_queries = waiting;
        let expired: Vec<PendingQuery> = expired;
        for query in expired {
            let reason = "no quorum has confirmed this leader".to_owned();
            self.send(query.link, &ServerMessage::NotLeader { leader: None, reason });
        }
    }

    /// Answers the query with this confirmation; `false` where the confirmation is not a query's.
    pub(super) fn answer_confirmed_query(&mut self, now: f64, number: u64) -> bool {
        if number <= FIRST_QUERY_NUMBER {
            return false;
        }
        let position = self.pending_queries.iter().position(|query| query.number == number);
        if let Some(pending) = position.map(|at| self.pending_queries.remove(at)) {
            self.answer_query(now, pending.link, &pending.query);
        }
        true
    }

    fn answer_query(&mut self, now: f64, link: LinkId, query: &OperatorQuery) {
        let answer = match query {
            OperatorQuery::Status => Ok(self.status()),
            OperatorQuery::Members => Ok(self.members(now)),
            OperatorQuery::Leases => Ok(self.leases(now)),
            OperatorQuery::Tasks => Ok(self.tasks()),
            OperatorQuery::Overload => {
                Ok(self.leader_state.overload().map_or(Value::Null, |leader| overload_summary(now, leader)))
            }
            OperatorQuery::Pin { tier, share, for_s } => self.pin_level(now, *tier, *share, *for_s),
            OperatorQuery::Replace { coordinator } => {
                let result = self.replica.replace(now, coordinator);
                result
                    .map(|member| json!({"coordinator": coordinator, "member": member}))
                    .map_err(|error| error.to_string())
            }
        };
        match answer {
            Ok(answer) => self.send(link, &ServerMessage::QueryResult { answer }),
            Err(reason) => self.reject(link, reason),
        }
    }

    fn members(&self, now: f64) -> Value {
        let state = &self.replica.state_machine;
        let rows = state.sessions.iter().map(|(id, session)| {
            let activity = self.leader_state.session_activity(now, *id).unwrap_or_default();
            let held = state.leases.iter().filter(|(_, lease)| lease.session == *id);
            let held_tasks: Vec<&String> = held.map(|(task, _)| task).collect();
            let same_name = state.sessions.values().filter(|other| other.name == session.name).count();
            json!({
                "session": id, "name": session.name, "zone": session.zone, "version": session.version,
                "linked": activity.linked, "silent_s": round_to_tenths(activity.silent_s),
                "holds": held_tasks, "twice": same_name > 1,
            })
        });
        rows.collect()
    }

    fn leases(&self, now: f64) -> Value {
        let state = &self.replica.state_machine;
        let rows = state.leases.iter().map(|(task, lease)| {
            let holder = state.sessions.get(&lease.session).map(|session| session.name.clone());
            let remaining_s = self.leader_state.remaining_s(now, lease.token);
            json!({
                "task": task, "holder": holder, "session": lease.session, "token": lease.token,
                "ttl_ms": lease.ttl_ms, "free_in_s": round_to_tenths(remaining_s),
                "waiting": self.leader_state.waiting(task),
            })
        });
        rows.collect()
    }

    fn tasks(&self) -> Value {
        let state = &self.replica.state_machine;
        let rows = state.tasks.values().map(|task| {
            json!({
                "task": task.name, "ttl_ms": task.ttl_ms, "zones": task.zones,
                "held": state.leases.contains_key(&task.name),
                "waiting": self.leader_state.waiting(&task.name),
                "period": state.periods.get(&task.name),
            })
        });
        let tasks: Vec<Value> = rows.collect();
        json!({
            "epoch": state.epoch, "tasks": tasks, "unknown": state.indeterminate_calls,
            "unknown_in_all": state.indeterminate_calls_total,
        })
    }

    fn pin_level(&mut self, now: f64, tier: usize, share: f32, for_s: f64) -> Result<Value, String> {
        let is_valid = (0.0..=1.0).contains(&share) && (0.0..=MAX_PIN_S).contains(&for_s);
        let Some(leader) = self.leader_state.overload_mut().filter(|_| is_valid) else {
            return Err(format!("expected [overload], a share of 0 to 1, and 0 to {MAX_PIN_S} s"));
        };
        let level = SheddingLevel { tier: tier.min(MAX_TIERS), share };
        leader.pin(level, now + for_s);
        let summary = overload_summary(now, leader);
        self.log(CoordinatorEvent::SheddingLevelPinned { level, for_s });
        Ok(summary)
    }

    /// This member's status, as any coordinator answers it.
    #[must_use]
    pub fn status(&self) -> Value {
        let status = &self.replica.status;
        let position = self.replica.log_position();
        let state = &self.replica.state_machine;
        json!({
            "name": self.config.name, "fleet": self.config.fleet, "standing": status.label(),
            "why": status.reason(), "leads": self.replica.leads(),
            "leader": self.replica.leader().and_then(|leader| self.name_of(leader)),
            "member": self.replica.member(), "term": self.replica.term(), "last": position.last,
            "applied": position.applied, "version": state.version, "epoch": state.epoch,
            "members": state.members, "voters": self.replica.voters(), "sessions": state.sessions.len(),
            "leases": state.leases.len(), "unknown_in_all": state.indeterminate_calls_total,
            "kept": state.persisted,
        })
    }
}

/// How the fleet's overload control stands.
fn overload_summary(now: f64, leader: &Leader) -> Value {
    let level = leader.level(now);
    let sums = leader.sums();
    let capacity = leader.capacity_totals(now);
    let zones: Vec<Value> = leader
        .service()
        .zones()
        .map(|zone| {
            json!({
                "zone": zone.zone, "calls_part": zone.call_share, "given_up": zone.circuit_open,
                "tried_by_session": zone.prober,
            })
        })
        .collect();
    let level =
        if level.is_open() { json!("open") } else { json!({"tier": level.tier, "share": level.share}) };
    json!({
        "level": level, "workers": sums.workers, "age_s": round_to_tenths(sums.age_s),
        "asked_per_s": sums.arrivals.iter().sum::<f64>().round(), "further_per_s": sums.retries.round(),
        "capacity_per_s": sums.capacity.round(), "calls_per_s": (sums.calls_succeeded + sums.calls_failed).round(),
        "call_ms": (sums.call_s * 10_000.0).round() / 10.0, "retries_pass": leader.retry_budget().admitted_share(),
        "retries_saved": leader.retry_budget().balance().round(), "calls_lent": capacity.lent, "calls_in_slices": capacity.granted,
        "zones": zones,
    })
}

fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
