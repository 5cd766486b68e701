//! Which connection is closed where another needs its descriptor.

use super::{Connection, ConnectionState, Connections};

/// Clients send a request as soon as they have connected: one that has been silent for so long may be evicted
/// (seconds).
pub(super) const SILENCE_LIMIT_S: f64 = 0.05;

/// A connection that has had one request and been idle for so long may be evicted: a request that crosses the close
/// within that time is retried by the client (seconds).
const CLOSE_RACE_WINDOW_S: f64 = 0.05;

/// The order in which connections are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has sent no complete request for the silence limit.
    Silent,
    /// It is being closed anyway.
    Closing,
    /// It has had one request and is idle.
    IdleAfterOneRequest,
    /// It was accepted a moment ago and has sent no complete request yet.
    JustAccepted,
    /// It is idle, and was used for several requests or a moment ago.
    Idle,
}

/// A connection that may be evicted.
struct Candidate {
    rank: EvictionRank,
    state_since: f64,
    id: u64,
}

/// What came of an eviction.
pub(super) enum Eviction {
    /// One connection was closed.
    Evicted,
    /// One may be evicted once the frontends have processed what has just come.
    Later,
    /// All connections are busy.
    NoCandidate,
}

impl<P> Connection<P> {
    /// Its rank in the order of evictions; `None` while it is busy.
    fn eviction_rank(&self, now: f64, silence_limit_s: f64) -> Option<EvictionRank> {
        let never_asked = self.requests_read == 0;
        let is_silent = never_asked && now - self.opened_at >= silence_limit_s;
        match self.state {
            ConnectionState::Idle | ConnectionState::Reading if is_silent => Some(EvictionRank::Silent),
            ConnectionState::Closing => Some(EvictionRank::Closing),
            // One accepted in this turn has not been read yet: its request may be there.
            ConnectionState::Idle if never_asked => {
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
    /// Closes one connection for another. Guards against a flood of silent clients: what has just been accepted is
    /// processed before a connection of the last rank is closed.
    ///
    /// There is no descriptor to linger with, so the connection is closed without a half-close. That is safe where
    /// nothing lies unread: it is read first, and one whose request has just come stays and is processed.
    pub(super) fn evict_one(&mut self, now: f64) -> Eviction {
        #[expect(clippy::float_cmp, reason = "both are copies of one reading of the clock")]
        let any_just_opened = self.by_id.values().any(|connection| connection.opened_at == now);
        loop {
            let any_unseen = self.by_id.values().any(|connection| connection.has_unseen_bytes);
            let candidate = match self.eviction_candidate(now) {
                Some(candidate) if candidate.rank < EvictionRank::Idle => candidate,
                _ if any_just_opened || any_unseen => return Eviction::Later,
                Some(candidate) => candidate,
                None => return Eviction::NoCandidate,
            };
            let id = candidate.id;
            let Some(connection) = self.by_id.get_mut(&id) else { return Eviction::NoCandidate };
            if connection.state == ConnectionState::Closing {
                connection.drop_unread();
            } else if connection.check_for_input() && connection.has_unseen_bytes {
                self.touched.push(id);
                continue;
            }
            self.by_id.remove(&id);
            return Eviction::Evicted;
        }
    }

    /// The connection to be evicted next: of the lowest rank, and of these the longest in its state.
    fn eviction_candidate(&self, now: f64) -> Option<Candidate> {
        let seen = self.by_id.iter().filter(|(_, connection)| !connection.has_unseen_bytes);
        let candidates = seen.filter_map(|(id, connection)| {
            let rank = connection.eviction_rank(now, self.silence_limit_s)?;
            Some(Candidate { rank, state_since: connection.state_since, id: *id })
        });
        candidates.min_by(|a, b| a.rank.cmp(&b.rank).then(a.state_since.total_cmp(&b.state_since)))
    }
}
