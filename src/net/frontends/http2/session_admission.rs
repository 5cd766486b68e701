//! Which new connections get a session. No I/O: connections are numbers, the time is passed in.
//!
//! A session takes many times the memory of a connection without one, and anybody can have one for a preface. So
//! connections that have not sent a request share a bounded number of slots. One releases its slot with its first
//! request, or when it is closed. Where all slots are taken, connections wait in the order in which they came, and
//! a client that has had a slot for [`MIN_SLOT_S`] without a request is evicted for the first of them. Where nobody waits,
//! nobody is evicted.

use std::collections::VecDeque;

/// How long a client keeps its slot without a request, at least, while others wait (seconds).
pub const MIN_SLOT_S: f64 = 0.05;

/// A connection that has a session and has not sent a request.
#[derive(Clone, Copy, Debug)]
struct SlotHolder {
    since: f64,
    id: u64,
}

/// The slots, and the queue for them.
#[derive(Debug)]
pub struct SessionAdmission {
    max_slots: usize,
    /// The oldest first.
    holders: VecDeque<SlotHolder>,
    /// The oldest first.
    waiting: VecDeque<u64>,
}

/// A connection that has waited and got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The connection that lost its slot and is to be closed; none where a slot was free.
    pub evicted: Option<u64>,
    /// The connection that has a slot now.
    pub id: u64,
}

impl SessionAdmission {
    /// So many slots, at least one, and all of them free.
    pub fn new(max_slots: usize) -> SessionAdmission {
        SessionAdmission { max_slots: max_slots.max(1), holders: VecDeque::new(), waiting: VecDeque::new() }
    }

    /// Whether a connection has a slot; if not, it is queued for one.
    pub fn admit(&mut self, now: f64, id: u64) -> bool {
        if self.holders.iter().any(|holder| holder.id == id) {
            return true;
        }
        if self.waiting.is_empty() && self.holders.len() < self.max_slots {
            self.holders.push_back(SlotHolder { since: now, id });
            return true;
        }
        if !self.waiting.contains(&id) {
            self.waiting.push_back(id);
        }
        false
    }

    /// Gives up a connection's slot or place in the queue: it has sent a request, or is closed.
    pub fn release(&mut self, id: u64) {
        self.holders.retain(|holder| holder.id != id);
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Releases the connections that are not open any more, however they were closed.
    pub fn retain(&mut self, is_open: impl Fn(u64) -> bool) {
        self.holders.retain(|holder| is_open(holder.id));
        self.waiting.retain(|id| is_open(*id));
    }

    /// Gives a slot to the first in the queue, if one is free or its holder has had it for long enough.
    pub fn admit_next(&mut self, now: f64) -> Option<Admitted> {
        self.waiting.front()?;
        let evicted = if self.holders.len() < self.max_slots {
            None
        } else {
            let oldest = *self.holders.front()?;
            if now - oldest.since < MIN_SLOT_S {
                return None;
            }
            self.holders.pop_front();
            Some(oldest.id)
        };
        let id = self.waiting.pop_front()?;
        self.holders.push_back(SlotHolder { since: now, id });
        Some(Admitted { evicted, id })
    }

    /// Whether any connection waits for a slot.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
