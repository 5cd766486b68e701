//! Operators' queries. Every coordinator answers status queries. Only the leader answers the others, after a quorum has
//! confirmed that it still is the leader.

use super::answers::{
    round_to_tenths, to_value, LeaseRow, MemberRow, OverloadAnswer, StatusAnswer, TaskRow, TasksAnswer,
};
use super::Coordinator;
use crate::events::CoordinatorEvent;
use crate::ids::{LinkId, SessionId};
use crate::state_machine::{Lease, Session};
use port_worker::fleet::frame::{OperatorQuery, ServerMessage};
use port_worker::fleet::overload::level::SheddingLevel;
use port_worker::fleet::overload::MAX_TIERS;
use serde_json::{json, Value};

/// Confirmations for queries have numbers above this one, confirmations for heartbeats have lower numbers.
pub(super) const QUERY_NUMBER_BASE: u64 = 1 << 40;
/// The maximum number of queries that wait for a confirmation.
const MAX_PENDING_QUERIES: usize = 64;
/// How long a query waits for a confirmation (seconds).
const QUERY_TIMEOUT_S: f64 = 3.0;
/// The maximum time for which a shedding level can be pinned (seconds), so that a forgotten pin expires.
const MAX_PIN_S: f64 = 3600.0;

/// A shedding level can't be pinned: the arguments are invalid or overload control is not configured.
#[derive(Debug, thiserror::Error)]
#[error(
    "can't pin the shedding level with a share of {share} for {for_s} s: expected [overload] in the configuration file, a share of 0 to 1, and a time of 0 to {MAX_PIN_S} s"
)]
struct PinRejected {
    share: f32,
    for_s: f64,
}

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
        if !self.replica.is_leader() {
            let answer = self.not_leader();
            return self.send(link, &answer);
        }
        if self.pending_queries.len() >= MAX_PENDING_QUERIES {
            return self
                .reject(link, format!("query limit reached: {MAX_PENDING_QUERIES} queries are pending"));
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
            let reason = format!("no quorum has confirmed this leader within {QUERY_TIMEOUT_S} s");
            self.send(query.link, &ServerMessage::NotLeader { leader: None, reason });
        }
    }

    /// Answers the query that waits for this confirmation; returns whether the number is that of a query.
    pub(super) fn answer_confirmed_query(&mut self, now: f64, number: u64) -> bool {
        if number <= QUERY_NUMBER_BASE {
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
                let leader = self.leader_state.overload();
                Ok(leader.map_or(Value::Null, |leader| to_value(&OverloadAnswer::new(now, leader))))
            }
            OperatorQuery::Pin { tier, share, for_s } => {
                self.pin_level(now, *tier, *share, *for_s).map_err(|error| error.to_string())
            }
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
        let row = |(id, session): (&SessionId, &Session)| {
            let activity = self.leader_state.session_activity(now, *id).unwrap_or_default();
            let held_tasks = state.leases.iter().filter(|(_, lease)| lease.session == *id);
            let same_name = state.sessions.values().filter(|other| other.name == session.name);
            to_value(&MemberRow {
                session: *id,
                name: &session.name,
                zone: &session.zone,
                version: session.version,
                linked: activity.linked,
                silent_s: round_to_tenths(activity.silent_s),
                held_tasks: held_tasks.map(|(task, _)| task.as_str()).collect(),
                name_is_shared: same_name.count() > 1,
            })
        };
        state.sessions.iter().map(row).collect()
    }

    fn leases(&self, now: f64) -> Value {
        let state = &self.replica.state_machine;
        let row = |(task, lease): (&String, &Lease)| {
            to_value(&LeaseRow {
                task,
                holder: state.sessions.get(&lease.session).map(|session| session.name.as_str()),
                session: lease.session,
                token: lease.token,
                ttl_ms: lease.ttl_ms,
                remaining_s: round_to_tenths(self.leader_state.remaining_s(now, lease.token)),
                waiting: self.leader_state.waiting(task),
            })
        };
        state.leases.iter().map(row).collect()
    }

    fn tasks(&self) -> Value {
        let state = &self.replica.state_machine;
        let rows = state.tasks.values().map(|task| TaskRow {
            task: &task.name,
            ttl_ms: task.ttl_ms,
            zones: &task.zones,
            held: state.leases.contains_key(&task.name),
            waiting: self.leader_state.waiting(&task.name),
            period: state.periods.get(&task.name),
        });
        to_value(&TasksAnswer {
            epoch: state.epoch,
            tasks: rows.collect(),
            indeterminate_calls: &state.indeterminate_calls,
            indeterminate_calls_total: state.indeterminate_calls_total,
        })
    }

    fn pin_level(&mut self, now: f64, tier: usize, share: f32, for_s: f64) -> Result<Value, PinRejected> {
        let is_valid = (0.0..=1.0).contains(&share) && (0.0..=MAX_PIN_S).contains(&for_s);
        let Some(leader) = self.leader_state.overload_mut().filter(|_| is_valid) else {
            return Err(PinRejected { share, for_s });
        };
        let level = SheddingLevel { tier: tier.min(MAX_TIERS), share };
        leader.pin(level, now + for_s);
        let answer = to_value(&OverloadAnswer::new(now, leader));
        self.log(CoordinatorEvent::SheddingLevelPinned { level, for_s });
        Ok(answer)
    }

    /// Returns this member's status, which is the answer to a status query. Followers answer status queries too.
    #[must_use]
    pub fn status(&self) -> Value {
        let replica = &self.replica;
        let state = &replica.state_machine;
        let position = replica.log_position();
        to_value(&StatusAnswer {
            name: &self.config.name,
            fleet: &self.config.fleet,
            status: replica.status.label(),
            reason: replica.status.reason(),
            is_leader: replica.is_leader(),
            leader: replica.leader().and_then(|leader| self.name_of(leader)),
            member: replica.member(),
            term: replica.term(),
            last_index: position.last,
            applied_index: position.applied,
            version: state.version,
            epoch: state.epoch,
            members: &state.members,
            voters: replica.voters(),
            sessions: state.sessions.len(),
            leases: state.leases.len(),
            indeterminate_calls_total: state.indeterminate_calls_total,
            persisted: &state.persisted,
        })
    }
}
