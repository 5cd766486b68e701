//! Counts of requests by where they are.

use std::ops::AddAssign;

/// Where a request is, as far as pools count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It waits for a run slot.
    Queued,
    /// It runs on the cores: this takes a slot.
    OnCores,
    /// Its run waits for a downstream call or is in one: off the cores, to which it will come back.
    AtCall,
}

/// Requests of a class, of a pool, or of all pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) queued: usize,
    pub(super) on_cores: usize,
    pub(super) at_call: usize,
}

impl Counts {
    /// Runs that have started and not ended.
    pub(super) fn started(&self) -> usize {
        self.on_cores + self.at_call
    }

    /// Moves one request; `None` is a place that does not count.
    pub(super) fn move_one(&mut self, from: Option<Place>, to: Option<Place>) {
        if let Some(place) = from {
            let count = self.at(place);
            *count = count.saturating_sub(1);
        }
        if let Some(place) = to {
            *self.at(place) += 1;
        }
    }

    fn at(&mut self, place: Place) -> &mut usize {
        match place {
            Place::Queued => &mut self.queued,
            Place::OnCores => &mut self.on_cores,
            Place::AtCall => &mut self.at_call,
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.queued += other.queued;
        self.on_cores += other.on_cores;
        self.at_call += other.at_call;
    }
}
