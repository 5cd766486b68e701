//! Selects the connection to close when another one needs its descriptor.

use super::{Connection, ConnectionState, Connections};

/// Clients send a request as soon as they have connected: a connection without a complete request after this time may
/// be evicted (seconds).
pub(super) const SILENCE_LIMIT_S: f64 = 0.05;

/// A connection that has served one request and been idle for this long may be evicted (seconds). A client resends a
/// request that crosses the close of its connection if request and close are at most this far apart.
const CLOSE_RACE_WINDOW_S: f64 = 0.05;

/// The order of eviction, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No complete request within the silence limit.
    Silent,
    /// Already being closed.
    Closing,
    /// Idle after a single request.
    IdleAfterOneRequest,
    /// Accepted less than the silence limit ago, with no byte of a request yet.
    JustAccepted,
    /// Idle after several requests, or after a single one for less than [`CLOSE_RACE_WINDOW_S`].
    Idle,
}

/// A connection that is eligible for eviction.
struct Candidate {
    rank: EvictionRank,
    state_since: f64,
    id: u64,
}

/// The outcome of an eviction.
pub(super) enum Eviction {
    /// A connection was closed.
    Evicted,
    /// A connection may become eligible once the frontends have processed new connections and new input.
    Deferred,
    /// All connections are busy.
    NoCandidate,
}

impl<P> Connection<P> {
    /// The connection's rank in the order of eviction; `None` while it is busy.
    fn eviction_rank(&self, now: f64, silence_limit_s: f64) -> Option<EvictionRank> {
        let no_request_yet = self.requests_read == 0;
        let is_silent = no_request_yet && now - self.opened_at >= silence_limit_s;
        match self.state {
            ConnectionState::Idle | ConnectionState::Reading if is_silent => Some(EvictionRank::Silent),
            ConnectionState::Closing => Some(EvictionRank::Closing),
            // A connection accepted in this turn has not been read yet: its request may already be there.
            // Its next request has been read already.
            ConnectionState::Idle if self.has_pipelined_request => None,
            ConnectionState::Idle if no_request_yet => {
                (now > self.opened_at).then_some(EvictionRank::JustAccepted)
            }
            ConnectionState::Idle => {
                let past_race_window = now - self.state_since >= CLOSE_RACE_WINDOW_S;
                let rank = if self.requests_read == 1 && past_race_window {
                    EvictionRank::IdleAfterOneRequest
                } else {
                    EvictionRank::Idle
                };
                Some(rank)
            }
            _ => None,
        }
    }
}

impl<P> Connections<P> {
    /// Closes one connection to make room for another. Guards against a flood of silent clients: connections that were
    /// just accepted are processed before one of the last rank is closed.
    ///
    /// No descriptor is left for a lingering close, so the connection is closed without a half-close. That is safe if
    /// it has no unread input: it is read first, and one whose request has just come is kept and processed.
    pub(super) fn evict_one(&mut self, now: f64) -> Eviction {
        #[expect(clippy::float_cmp, reason = "both are copies of the same clock reading")]
        let any_just_opened = self.by_id.values().any(|connection| connection.opened_at == now);
        loop {
            let any_unseen = self.by_id.values().any(|connection| connection.has_unseen_bytes);
            let candidate = match self.eviction_candidate(now) {
                Some(candidate) if candidate.rank < EvictionRank::Idle => candidate,
                _ if any_just_opened || any_unseen => return Eviction::Deferred,
                Some(candidate) => candidate,
                None => return Eviction::NoCandidate,
            };
            let id = candidate.id;
            let Some(connection) = self.by_id.get_mut(&id) else { return Eviction::NoCandidate };
            if connection.state == ConnectionState::Closing {
                connection.drop_unread();
            } else if connection.check_for_input() && connection.has_unseen_bytes {
                self.scheduled.push(id);
                continue;
            }
            self.by_id.remove(&id);
            return Eviction::Evicted;
        }
    }

    /// The next connection to evict: of the lowest rank, the one that entered its state first.
    fn eviction_candidate(&self, now: f64) -> Option<Candidate> {
        let seen = self.by_id.iter().filter(|(_, connection)| !connection.has_unseen_bytes);
        let candidates = seen.filter_map(|(id, connection)| {
            let rank = connection.eviction_rank(now, self.silence_limit_s)?;
            Some(Candidate { rank, state_since: connection.state_since, id: *id })
        });
        candidates.min_by(|a, b| a.rank.cmp(&b.rank).then(a.state_since.total_cmp(&b.state_since)))
    }
}
