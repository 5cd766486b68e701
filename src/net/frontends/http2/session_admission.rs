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
pub struct SessionAdmission {
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

impl SessionAdmission {
    pub fn new(seats: usize) -> SessionAdmission {
        SessionAdmission { seats: seats.max(1), seated: VecDeque::new(), waiting: VecDeque::new() }
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
mod tests;
