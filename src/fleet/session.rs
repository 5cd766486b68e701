//! A worker's session with the coordinators: chooses the coordinator to connect to, sends heartbeats, and abandons links that
//! do not answer. All times are on the membership's clock (seconds).
//!
//! Guarantees to callers: the times of connection attempts are randomized, so that workers that lose their links at the same
//! time reconnect over a period longer than `RECONNECT_SPREAD_S`; a leader that does not answer is abandoned; no function
//! blocks.

use super::frame::{ClientMessage, ServerMessage};
use std::net::SocketAddr;

/// Time limit for connecting and receiving the welcome (seconds).
pub const HANDSHAKE_TIMEOUT_S: f64 = 2.0;
/// Backoff before the second attempt (seconds). Each backoff is multiplied by a random factor from 0.5 to 1.5.
const INITIAL_BACKOFF_S: f64 = 0.15;
/// Upper bound for the backoff, before it is randomized (seconds).
const MAX_BACKOFF_S: f64 = 1.0;
/// Factor by which the backoff grows from one attempt to the next.
const BACKOFF_FACTOR: f64 = 1.3;
/// Period over which reconnections are spread after an established link was lost (seconds).
const RECONNECT_SPREAD_S: f64 = 0.4;
/// Number of heartbeat intervals without an acknowledgement after which the link is abandoned.
const MAX_UNACKNOWLEDGED_INTERVALS: f64 = 2.5;
/// Heartbeat interval before a coordinator has announced one (seconds).
const DEFAULT_HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Shortest heartbeat interval that is accepted from a coordinator (seconds).
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.05;
/// Longest heartbeat interval that is accepted from a coordinator (seconds).
const MAX_HEARTBEAT_INTERVAL_S: f64 = 60.0;

/// An operation to perform on the session's link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Connect to this coordinator.
    Connect(SocketAddr),
    /// Send a message on the link.
    Send(ClientMessage),
    /// Close the link.
    Close,
}

/// State of the session's link.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    /// The next connection attempt is due at `until`.
    BackingOff { until: f64 },
    /// Connecting, or waiting for the welcome.
    Handshaking { since: f64 },
    /// The session is established. `unacknowledged_since` is when the oldest unacknowledged heartbeat was sent, or when an
    /// earlier one was acknowledged, if that is later; `None` if all are acknowledged.
    Established { unacknowledged_since: Option<f64> },
}

/// State machine of one worker's session.
pub struct Session {
    coordinators: Vec<SocketAddr>,
    /// Index of the current coordinator, or of the next one to try.
    current: usize,
    state: LinkState,
    /// The next backoff, before it is randomized (seconds).
    backoff_s: f64,
    /// State of the pseudo-random generator (xorshift; never zero).
    prng_state: u64,
    /// Number of the session; `None` before the first one and after it expired.
    pub number: Option<u64>,
    /// Interval at which the coordinators expect heartbeats (seconds).
    pub heartbeat_interval_s: f64,
    /// Sequence number of the last heartbeat.
    pub last_heartbeat: u64,
    /// When the next heartbeat is due.
    next_heartbeat_at: f64,
    /// When the link was last established or lost.
    pub link_state_since: f64,
    /// The first message sent on each link.
    hello: ClientMessage,
}

impl Session {
    /// Creates a session that is not connected yet. `hello` is the first message on each link; `seed` randomizes the
    /// backoffs.
    #[must_use]
    pub fn new(now: f64, coordinators: Vec<SocketAddr>, seed: u64, hello: ClientMessage) -> Session {
        let mut session = Session {
            current: 0,
            state: LinkState::BackingOff { until: now },
            backoff_s: INITIAL_BACKOFF_S,
            prng_state: seed | 1,
            number: None,
            heartbeat_interval_s: DEFAULT_HEARTBEAT_INTERVAL_S,
            last_heartbeat: 0,
            next_heartbeat_at: now,
            link_state_since: now,
            hello,
            coordinators,
        };
        session.current = (session.random() * session.coordinators.len() as f64) as usize;
        let until = now + session.random() * RECONNECT_SPREAD_S;
        session.state = LinkState::BackingOff { until };
        session
    }

    /// The next random number, uniform in [0, 1).
    fn random(&mut self) -> f64 {
        self.prng_state ^= self.prng_state << 13;
        self.prng_state ^= self.prng_state >> 7;
        self.prng_state ^= self.prng_state << 17;
        (self.prng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether the session is currently established.
    #[must_use]
    pub fn is_established(&self) -> bool {
        matches!(self.state, LinkState::Established { .. })
    }

    /// The current coordinator, or the next one to try.
    #[must_use]
    pub fn coordinator(&self) -> Option<SocketAddr> {
        self.coordinators.get(self.current).copied()
    }

    /// Connects after a backoff, and abandons a link that does not answer. Returns `true` if a heartbeat is due; the caller
    /// sends it with the sequence number that [`Session::heartbeat_sent`] returns.
    pub fn tick(&mut self, now: f64, actions: &mut Vec<LinkAction>) -> bool {
        match self.state {
            LinkState::BackingOff { until } => {
                if now >= until {
                    self.connect(now, actions);
                }
                false
            }
            LinkState::Handshaking { since } => {
                if now - since > HANDSHAKE_TIMEOUT_S {
                    self.abandon_link(now, actions);
                }
                false
            }
            // Acknowledgements stop if the leader has lost its quorum, or if the link works in one direction only.
            LinkState::Established { unacknowledged_since: Some(since) }
                if now - since > self.ack_timeout_s() =>
            {
                self.abandon_link(now, actions);
                false
            }
            LinkState::Established { .. } => self.heartbeat_due(now),
        }
    }

    fn connect(&mut self, now: f64, actions: &mut Vec<LinkAction>) {
        if let Some(address) = self.coordinator() {
            self.state = LinkState::Handshaking { since: now };
            actions.push(LinkAction::Connect(address));
        }
    }

    fn abandon_link(&mut self, now: f64, actions: &mut Vec<LinkAction>) {
        actions.push(LinkAction::Close);
        self.disconnected(now);
    }

    /// Time without an acknowledgement after which the link is abandoned (seconds).
    fn ack_timeout_s(&self) -> f64 {
        MAX_UNACKNOWLEDGED_INTERVALS * self.heartbeat_interval_s
    }

    /// Whether a heartbeat is due.
    #[must_use]
    pub fn heartbeat_due(&self, now: f64) -> bool {
        self.is_established() && now >= self.next_heartbeat_at
    }

    /// Records that a heartbeat is sent now, and returns its sequence number. The next heartbeat is due after `interval_s`.
    pub fn heartbeat_sent(&mut self, now: f64, interval_s: f64) -> u64 {
        self.last_heartbeat += 1;
        self.next_heartbeat_at = now + interval_s;
        if let LinkState::Established { unacknowledged_since } = &mut self.state {
            unacknowledged_since.get_or_insert(now);
        }
        self.last_heartbeat
    }

    /// Makes the next heartbeat due now.
    pub fn make_heartbeat_due(&mut self, now: f64) {
        self.next_heartbeat_at = now;
    }

    /// Called when the link is connected. Sends the hello.
    pub fn connected(&mut self, actions: &mut Vec<LinkAction>) {
        if matches!(self.state, LinkState::Handshaking { .. }) {
            actions.push(LinkAction::Send(self.hello.clone()));
        }
    }

    /// Called when the link was lost or could not be established. The next coordinator is tried after a backoff.
    pub fn disconnected(&mut self, now: f64) {
        let mut spread_s = 0.0;
        if self.is_established() {
            spread_s = RECONNECT_SPREAD_S;
            self.link_state_since = now;
            self.backoff_s = INITIAL_BACKOFF_S;
        }
        if !matches!(self.state, LinkState::BackingOff { .. }) {
            self.current = (self.current + 1) % self.coordinators.len().max(1);
            self.back_off(now, spread_s);
        }
    }

    fn back_off(&mut self, now: f64, spread_s: f64) {
        let pause_s = self.backoff_s * (0.5 + self.random()) + spread_s * self.random();
        self.backoff_s = (self.backoff_s * BACKOFF_FACTOR).min(MAX_BACKOFF_S);
        self.state = LinkState::BackingOff { until: now + pause_s };
    }

    /// Processes messages that concern the session itself. Returns `true` if the previous session has ended.
    pub fn receive(&mut self, now: f64, message: &ServerMessage, actions: &mut Vec<LinkAction>) -> bool {
        match message {
            ServerMessage::Welcome { session, heartbeat_interval_ms, .. } => {
                self.receive_welcome(now, *session, *heartbeat_interval_ms as f64 / 1000.0)
            }
            ServerMessage::HeartbeatAck { seq, .. } => {
                self.receive_heartbeat_ack(now, *seq);
                false
            }
            ServerMessage::NotLeader { leader, .. } => {
                self.abandon_link(now, actions);
                self.follow_leader(leader.as_deref());
                false
            }
            ServerMessage::SessionExpired => {
                self.abandon_link(now, actions);
                self.number = None;
                true
            }
            ServerMessage::Rejected { .. } => {
                self.backoff_s = MAX_BACKOFF_S;
                self.abandon_link(now, actions);
                false
            }
            _ => false,
        }
    }

    /// Returns `true` if this is a new session.
    fn receive_welcome(&mut self, now: f64, session: u64, heartbeat_interval_s: f64) -> bool {
        let is_new = self.number != Some(session);
        self.number = Some(session);
        self.heartbeat_interval_s =
            heartbeat_interval_s.clamp(MIN_HEARTBEAT_INTERVAL_S, MAX_HEARTBEAT_INTERVAL_S);
        self.state = LinkState::Established { unacknowledged_since: None };
        self.backoff_s = INITIAL_BACKOFF_S;
        self.link_state_since = now;
        self.next_heartbeat_at = now;
        is_new
    }

    fn receive_heartbeat_ack(&mut self, now: f64, seq: u64) {
        if let LinkState::Established { unacknowledged_since } = &mut self.state {
            // This also acknowledges earlier heartbeats, whose own acknowledgements may have been lost.
            *unacknowledged_since = (seq < self.last_heartbeat).then_some(now);
        }
    }

    /// Selects the leader that a coordinator has named, if it is among the configured coordinators.
    fn follow_leader(&mut self, leader: Option<&str>) {
        let address = leader.and_then(|text| text.parse::<SocketAddr>().ok());
        let index = address.and_then(|address| self.coordinators.iter().position(|known| *known == address));
        if let Some(index) = index {
            self.current = index;
        }
    }

    /// When the next tick is due.
    #[must_use]
    pub fn next_wakeup(&self) -> f64 {
        match self.state {
            LinkState::BackingOff { until } => until,
            LinkState::Handshaking { since } => since + HANDSHAKE_TIMEOUT_S,
            LinkState::Established { unacknowledged_since } => {
                let timeout = unacknowledged_since.map(|since| since + self.ack_timeout_s());
                timeout.unwrap_or(f64::INFINITY).min(self.next_heartbeat_at)
            }
        }
    }
}

#[cfg(test)]
mod tests;
