//! A worker's one session to the coordinators: which of them it is linked to, when it tries another, and when a link
//! that stands is of no use.
//!
//! Owed to callers: attempts are spread at random, so that a whole fleet that is cut off at once comes back over seconds;
//! a leader that does not answer is left; nothing here ever waits.

use super::frame::{Say, Word};
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
    Send(Say),
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
    hello: Say,
}

impl Session {
    pub fn new(now: f64, coordinators: Vec<SocketAddr>, seed: u64, hello: Say) -> Session {
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
    pub fn heard(&mut self, now: f64, word: &Word, steps: &mut Vec<Step>) -> bool {
        match word {
            Word::Welcome { session, keep_every_ms, .. } => {
                let another = self.number != Some(*session);
                self.number = Some(*session);
                self.keep_every_s = (*keep_every_ms as f64 / 1000.0).clamp(0.05, 60.0);
                self.stage = Stage::Up { owed_since: None };
                self.pause_s = FIRST_PAUSE_S;
                (self.since, self.next_keep) = (now, now);
                another
            }
            Word::Kept { seq, .. } => {
                if let Stage::Up { owed_since } = &mut self.stage {
                    // Whatever was asked before is answered by this, or will not be.
                    *owed_since = (*seq < self.seq).then_some(now);
                }
                false
            }
            Word::NotLeader { leader, .. } => {
                steps.push(Step::Close);
                let named = leader.as_ref().and_then(|l| l.parse::<SocketAddr>().ok());
                let known = named.and_then(|l| self.coordinators.iter().position(|c| *c == l));
                self.broken(now);
                if let Some(known) = known {
                    self.at = known;
                }
                false
            }
            Word::Gone => {
                steps.push(Step::Close);
                self.broken(now);
                self.number = None;
                true
            }
            Word::Refused { .. } => {
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
mod tests {
    use super::*;

    fn session(seed: u64) -> Session {
        let all = (1..=3).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
        Session::new(0.0, all, seed, Say::Bye)
    }

    fn welcome(session: u64) -> Word {
        Word::Welcome { session, session_ttl_ms: 10_000, keep_every_ms: 1000, version: 2 }
    }

    #[test]
    fn three_hundred_that_are_cut_off_at_once_come_back_spread_out() {
        let mut at = Vec::new();
        for seed in 1..=300u64 {
            let mut s = session(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let mut steps = Vec::new();
            s.tick(10.0, &mut steps);
            s.heard(10.0, &welcome(1), &mut steps);
            s.broken(20.0);
            at.push(s.next() - 20.0);
        }
        at.sort_by(f64::total_cmp);
        assert!(at[0] >= 0.05 && at[299] <= 0.7, "{} to {}", at[0], at[299]);
        let most = at.windows(60).map(|w| w[59] - w[0]).fold(f64::INFINITY, f64::min);
        assert!(most > 0.05, "60 of 300 come within {most} s");
    }

    #[test]
    fn a_leader_that_does_not_answer_is_left_for_the_next() {
        let mut s = session(5);
        let mut steps = Vec::new();
        s.tick(1.0, &mut steps);
        s.heard(1.0, &welcome(1), &mut steps);
        let first = s.coordinator();
        assert!(s.tick(1.0, &mut steps));
        s.keep(1.0, 1.0);
        assert!(s.tick(2.1, &mut steps));
        s.keep(2.1, 1.0);
        steps.clear();
        s.tick(3.6, &mut steps);
        assert_eq!(steps, vec![Step::Close]);
        assert_ne!(s.coordinator(), first);
        assert_eq!(s.number, Some(1), "the session goes on over another coordinator");
    }

    #[test]
    fn answers_that_keep_coming_keep_the_link_and_the_word_of_a_leader_is_followed() {
        let mut s = session(5);
        let mut steps = Vec::new();
        s.tick(1.0, &mut steps);
        let named = SocketAddr::from(([127, 0, 0, 1], 3));
        s.heard(1.0, &Word::NotLeader { leader: Some(named.to_string()), why: String::new() }, &mut steps);
        assert_eq!(s.coordinator(), Some(named));
        let at = s.next();
        s.tick(at, &mut steps);
        assert!(s.heard(at, &welcome(4), &mut steps));
        for n in 0..20 {
            let now = at + f64::from(n);
            assert!(s.tick(now, &mut steps), "{n}");
            let seq = s.keep(now, 1.0);
            s.heard(
                now + 0.9,
                &Word::Kept { seq, leases: vec![], totals: None, figures: vec![], overload: None },
                &mut steps,
            );
        }
        assert!(s.is_up());
        s.broken(40.0);
        let at = s.next();
        s.tick(at, &mut steps);
        assert!(!s.heard(at, &welcome(4), &mut steps), "the same session");
    }
}
