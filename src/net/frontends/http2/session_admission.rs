//! Decides which new connections get a session. The module does no I/O: connections are ids, and the time is passed in.
//!
//! A session uses many times the memory of a connection without one, and a preface is enough to get one. Connections
//! that have not sent a request therefore share a limited number of slots. A connection releases its slot with its
//! first request or when it is closed. While all slots are taken, connections wait in order of arrival, and a client
//! that has held a slot for [`MIN_SLOT_S`] without a request is evicted for the first of them. If none waits, none is
//! evicted.

use std::collections::VecDeque;

/// The minimum time for which a client without a request keeps its slot while others wait (seconds).
pub const MIN_SLOT_S: f64 = 0.05;

/// A connection that has a session and has not sent a request.
#[derive(Clone, Copy, Debug)]
struct SlotHolder {
    /// When it was given its slot (seconds).
    since: f64,
    /// The connection.
    id: u64,
}

/// The slots, and the queue of connections that wait for one.
#[derive(Debug)]
pub struct SessionAdmission {
    max_slots: usize,
    /// The connections that hold a slot, oldest first.
    holders: VecDeque<SlotHolder>,
    /// The connections that wait for a slot, oldest first.
    waiting: VecDeque<u64>,
}

/// A waiting connection that was given a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The connection that lost its slot and has to be closed; `None` if a slot was free.
    pub evicted: Option<u64>,
    /// The connection that was given the slot.
    pub id: u64,
}

impl SessionAdmission {
    /// Creates `max_slots` free slots, but at least one.
    pub fn new(max_slots: usize) -> SessionAdmission {
        SessionAdmission { max_slots: max_slots.max(1), holders: VecDeque::new(), waiting: VecDeque::new() }
    }

    /// Gives a connection a slot, or queues it for one. Returns whether it has a slot.
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

    /// Releases a connection's slot or place in the queue, because it has sent a request or is closed.
    pub fn release(&mut self, id: u64) {
        self.holders.retain(|holder| holder.id != id);
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Releases the slots and queue places of connections that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(u64) -> bool) {
        self.holders.retain(|holder| is_open(holder.id));
        self.waiting.retain(|id| is_open(*id));
    }

    /// Gives a slot to the first connection in the queue, if one is free or the oldest holder may be evicted.
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

    /// Whether any connection is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
