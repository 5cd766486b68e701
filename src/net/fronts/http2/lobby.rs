//! Who of the newcomers gets a session. No I/O: connections are numbers, the time is passed in.
//!
//! A session takes many times the memory of a connection that only stands there, and anybody can have one for a
//! preface. So connections that have not asked yet share a bounded number of seats. One leaves its seat with its first
//! request, or when it is closed. Where all are taken, newcomers wait in the order in which they came, and whoever has
//! sat for [`SILENT_S`] without asking makes room for the first of them. Where nobody waits, nobody is moved.

use std::collections::VecDeque;

/// A client that sits for so long without a request may lose its seat to one that waits (seconds).
pub const SILENT_S: f64 = 0.05;

#[derive(Debug)]
pub struct Lobby {
    seats: usize,
    /// Those that have a session and have not asked, and since when; the oldest first.
    seated: VecDeque<(f64, u64)>,
    waiting: VecDeque<u64>,
}

/// One has made room for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// To be closed; none where a seat was free.
    pub out: Option<u64>,
    /// Has a seat now.
    pub seated: u64,
}

impl Lobby {
    pub fn new(seats: usize) -> Lobby {
        Lobby { seats: seats.max(1), seated: VecDeque::new(), waiting: VecDeque::new() }
    }

    /// Whether a newcomer has a seat; if not, it waits for one.
    pub fn enter(&mut self, now: f64, id: u64) -> bool {
        if self.seated.iter().any(|(_, s)| *s == id) {
            return true;
        }
        if self.waiting.is_empty() && self.seated.len() < self.seats {
            self.seated.push_back((now, id));
            return true;
        }
        if !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        false
    }

    /// It has asked, or is gone.
    pub fn leave(&mut self, id: u64) {
        self.seated.retain(|(_, s)| *s != id);
        self.waiting.retain(|w| *w != id);
    }

    /// Forgets those that are gone, by whatever way they went.
    pub fn keep(&mut self, is_there: impl Fn(u64) -> bool) {
        self.seated.retain(|(_, id)| is_there(*id));
        self.waiting.retain(|id| is_there(*id));
    }

    /// The next who gets a seat, while there is one for whoever waits.
    pub fn move_up(&mut self, now: f64) -> Option<Move> {
        self.waiting.front()?;
        let out = if self.seated.len() < self.seats {
            None
        } else {
            let (since, out) = *self.seated.front()?;
            if now - since < SILENT_S {
                return None;
            }
            self.seated.pop_front();
            Some(out)
        };
        let seated = self.waiting.pop_front()?;
        self.seated.push_back((now, seated));
        Some(Move { out, seated })
    }

    /// Whether anybody waits for a seat.
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A little more than the silence after which a seat may be lost.
    const STEP_S: f64 = 1.01 * SILENT_S;

    /// Silent connections by the hundred, each with a preface, made the worker build a session for each.
    #[test]
    fn silent_newcomers_share_the_seats_and_whoever_asks_is_seated_in_time() {
        let mut lobby = Lobby::new(4);
        let seated: Vec<bool> = (0..100).map(|id| lobby.enter(0.0, id)).collect();
        assert_eq!(seated.iter().filter(|s| **s).count(), 4);
        // Nobody has sat for long yet.
        assert!(lobby.move_up(0.01).is_none() && lobby.waits());
        assert!(!lobby.enter(0.01, 1000));
        let (mut now, mut closed) = (0.0, 0);
        while !lobby.enter(now, 1000) {
            now += STEP_S;
            while let Some(moved) = lobby.move_up(now) {
                closed += usize::from(moved.out.is_some());
            }
        }
        // A hundred before it, four at a time.
        assert!(now <= 26.0 * STEP_S, "{now}");
        assert_eq!(closed, 97);
    }

    #[test]
    fn where_nobody_waits_whoever_is_silent_keeps_its_seat() {
        let mut lobby = Lobby::new(2);
        assert!(lobby.enter(0.0, 1) && lobby.enter(0.0, 2));
        assert!(lobby.move_up(60.0).is_none() && !lobby.waits());
        // One that has asked leaves its seat to the next, who waits for no silence.
        assert!(!lobby.enter(60.0, 3));
        lobby.leave(2);
        assert_eq!(lobby.move_up(60.0), Some(Move { out: None, seated: 3 }));
        assert!(lobby.enter(60.0, 3));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

        /// Never more sessions than seats, nobody both seated and waiting, and a silent lobby empties in the end.
        #[test]
        fn seats_are_never_given_twice(events in prop::collection::vec((0u8..4, 0u64..30), 1..300)) {
            let (mut lobby, mut now) = (Lobby::new(3), 0.0);
            for (kind, id) in events {
                match kind {
                    0 => drop(lobby.enter(now, id)),
                    1 => lobby.leave(id),
                    2 => now += id as f64 / 500.0,
                    _ => while let Some(moved) = lobby.move_up(now) {
                        prop_assert_ne!(moved.out, Some(moved.seated));
                        prop_assert!(lobby.enter(now, moved.seated));
                    },
                }
                prop_assert!(lobby.seated.len() <= 3);
                prop_assert!(lobby.seated.iter().all(|(_, s)| !lobby.waiting.contains(s)));
                let mut all: Vec<u64> = lobby.seated.iter().map(|(_, s)| *s).chain(lobby.waiting.iter().copied()).collect();
                let len = all.len();
                all.sort_unstable();
                all.dedup();
                prop_assert_eq!(all.len(), len);
            }
            while lobby.waits() {
                now += STEP_S;
                prop_assert!(lobby.move_up(now).is_some());
            }
        }
    }
}
