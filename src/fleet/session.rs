//! A worker's one session to the coordinators: which of them it is linked to, when it tries another, and when a link
//! that stands is of no use.
//!
//! Owed to callers: attempts are spread at random, so that a whole fleet that is cut off at once comes back over seconds;
//! a leader that does not answer is left; nothing here ever waits.

use super::frame::{ClientMessage, ServerMessage};
use std::net::SocketAddr;

/// How long a link may take to come about and to be welcomed (seconds).
pub const WELCOME_S: f64 = 2.0;
/// The first pause between two attempts, and the longest (seconds); each is drawn from half to one and a half of it.
const FIRST_PAUSE_S: f64 = 0.15;
const LONGEST_PAUSE_S: f64 = 1.0;
/// After a link that had stood, over how long the fleet's returns are spread (seconds).
const RETURN_S: f64 = 0.4;
/// Signs of life that may go without an answer before the link is left.
const UNANSWERED_MOST: f64 = 2.5;

/// What the session wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Connect(SocketAddr),
    Send(ClientMessage),
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Nothing is under way until this time.
    Resting(f64),
    /// Since when a link is under way, or a greeting.
    Greeting(f64),
    /// Since when the coordinator has owed an answer, if it does.
    Up { owed_since: Option<f64> },
}

pub struct Session {
    coordinators: Vec<SocketAddr>,
    at: usize,
    stage: Stage,
    pause_s: f64,
    dice: u64,
    /// The session's number, once there was one.
    pub number: Option<u64>,
    pub keep_every_s: f64,
    pub seq: u64,
    next_keep: f64,
    /// Where it is linked to, and since when it has been linked or not.
    pub since: f64,
    hello: ClientMessage,
}

impl Session {
    pub fn new(now: f64, coordinators: Vec<SocketAddr>, seed: u64, hello: ClientMessage) -> Session {
        let mut session = Session {
            at: 0,
            stage: Stage::Resting(now),
            pause_s: FIRST_PAUSE_S,
            dice: seed | 1,
            number: None,
            keep_every_s: 1.0,
            seq: 0,
            next_keep: now,
            since: now,
            hello,
            coordinators,
        };
        session.at = (session.draw() * session.coordinators.len() as f64) as usize;
        session.stage = Stage::Resting(now + session.draw() * RETURN_S);
        session
    }

    /// A number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        (self.dice >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn is_up(&self) -> bool {
        matches!(self.stage, Stage::Up { .. })
    }

    pub fn coordinator(&self) -> Option<SocketAddr> {
        self.coordinators.get(self.at).copied()
    }

    /// What is due by now. `true` if a sign of life is: the caller writes it with [`Session::keep`].
    pub fn tick(&mut self, now: f64, steps: &mut Vec<Step>) -> bool {
        match self.stage {
            Stage::Resting(until) if now >= until => {
                if let Some(to) = self.coordinator() {
                    self.stage = Stage::Greeting(now);
                    steps.push(Step::Connect(to));
                }
                false
            }
            Stage::Greeting(since) if now - since > WELCOME_S => {
                self.leave(now, steps);
                false
            }
            Stage::Up { owed_since: Some(since) } if now - since > UNANSWERED_MOST * self.keep_every_s => {
                // A leader that has lost its quorum, or a link that goes one way.
                self.leave(now, steps);
                false
            }
            Stage::Up { .. } => self.keep_due(now),
            _ => false,
        }
    }

    fn leave(&mut self, now: f64, steps: &mut Vec<Step>) {
        steps.push(Step::Close);
        self.broken(now);
    }

    /// Whether a sign of life is due.
    pub fn keep_due(&self, now: f64) -> bool {
        self.is_up() && now >= self.next_keep
    }

    /// A sign of life goes out: its number. The next one is due after `every_s`.
    pub fn keep(&mut self, now: f64, every_s: f64) -> u64 {
        self.seq += 1;
        self.next_keep = now + every_s;
        if let Stage::Up { owed_since } = &mut self.stage {
            owed_since.get_or_insert(now);
        }
        self.seq
    }

    /// Brings the next sign of life forward.
    pub fn keep_soon(&mut self, now: f64) {
        self.next_keep = now;
    }

    /// The link has come about.
    pub fn connected(&mut self, steps: &mut Vec<Step>) {
        if matches!(self.stage, Stage::Greeting(_)) {
            steps.push(Step::Send(self.hello.clone()));
        }
    }

    /// The link is no more, or never came about: the next coordinator is tried after a pause.
    pub fn broken(&mut self, now: f64) {
        let spread = if self.is_up() { RETURN_S } else { 0.0 };
        if self.is_up() {
            self.since = now;
            self.pause_s = FIRST_PAUSE_S;
        }
        if !matches!(self.stage, Stage::Resting(_)) {
            self.at = (self.at + 1) % self.coordinators.len().max(1);
            self.rest(now, spread);
        }
    }

    fn rest(&mut self, now: f64, spread_s: f64) {
        let pause = self.pause_s * (0.5 + self.draw()) + spread_s * self.draw();
        self.pause_s = (self.pause_s * 1.3).min(LONGEST_PAUSE_S);
        self.stage = Stage::Resting(now + pause);
    }

    /// What a coordinator says of the session itself; `true` if this is another session than before.
    pub fn heard(&mut self, now: f64, word: &ServerMessage, steps: &mut Vec<Step>) -> bool {
        match word {
            ServerMessage::Welcome { session, keep_every_ms, .. } => {
                let another = self.number != Some(*session);
                self.number = Some(*session);
                self.keep_every_s = (*keep_every_ms as f64 / 1000.0).clamp(0.05, 60.0);
                self.stage = Stage::Up { owed_since: None };
                self.pause_s = FIRST_PAUSE_S;
                (self.since, self.next_keep) = (now, now);
                another
            }
            ServerMessage::HeartbeatAck { seq, .. } => {
                if let Stage::Up { owed_since } = &mut self.stage {
                    // Whatever was asked before is answered by this, or will not be.
                    *owed_since = (*seq < self.seq).then_some(now);
                }
                false
            }
            ServerMessage::NotLeader { leader, .. } => {
                steps.push(Step::Close);
                let named = leader.as_ref().and_then(|l| l.parse::<SocketAddr>().ok());
                let known = named.and_then(|l| self.coordinators.iter().position(|c| *c == l));
                self.broken(now);
                if let Some(known) = known {
                    self.at = known;
                }
                false
            }
            ServerMessage::SessionExpired => {
                steps.push(Step::Close);
                self.broken(now);
                self.number = None;
                true
            }
            ServerMessage::Rejected { .. } => {
                self.pause_s = LONGEST_PAUSE_S;
                steps.push(Step::Close);
                self.broken(now);
                false
            }
            _ => false,
        }
    }

    /// When something is due next.
    pub fn next(&self) -> f64 {
        match self.stage {
            Stage::Resting(until) => until,
            Stage::Greeting(since) => since + WELCOME_S,
            Stage::Up { owed_since } => {
                let owed = owed_since.map(|since| since + UNANSWERED_MOST * self.keep_every_s);
                owed.unwrap_or(f64::INFINITY).min(self.next_keep)
            }
        }
    }
}

#[cfg(test)]
mod tests;
