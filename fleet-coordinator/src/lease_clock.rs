//! How a leader counts its leases' time, and which renewals it may answer. No I/O; the clock is passed in, and only
//! differences of its times matter.
//!
//! Owed to callers: a lease has lapsed no sooner than its whole time after the last renewal that may have been granted,
//! by this leader or by one before it; a renewal is answered with no more than was counted when it came, and never once
//! its lease is being freed. [`ReadIndexQueue`] holds what came back until a quorum has confirmed this leader, later than
//! that. `tests/lease_world.rs` searches both, beside the worker's holder, through all that can happen to them.

use crate::state_machine::Lease;
use std::collections::{BTreeMap, VecDeque};

/// The guards that the proof takes away one at a time; all stand in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A new leader gives every lease its whole time again.
    pub whole_ttl: bool,
    /// Renewals wait until a quorum has confirmed the leader.
    pub confirm: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { whole_ttl: true, confirm: true }
    }
}

/// One leader's account, by token.
#[derive(Clone, Debug, Default)]
pub struct LeaseClock {
    /// When the lease ends at the latest as its holder may count.
    until: BTreeMap<u64, f64>,
    /// Leases that are being freed or passed on, and since when.
    freeing: BTreeMap<u64, f64>,
}

impl LeaseClock {
    /// A member begins to lead: what was before it may have granted any lease anew up to now.
    pub fn lead<'a>(guards: SafetyChecks, now: f64, leases: impl Iterator<Item = &'a Lease>) -> LeaseClock {
        let whole_s = |lease: &Lease| if guards.whole_ttl { seconds(lease.whole_ms) } else { 0.0 };
        let until = leases.map(|lease| (lease.token, now + whole_s(lease))).collect();
        LeaseClock { until, freeing: BTreeMap::new() }
    }

    /// A lease has been given under this leader.
    pub fn granted(&mut self, now: f64, token: u64, ttl_ms: u64) {
        self.until.insert(token, now + seconds(ttl_ms));
    }

    /// A renewal came, and counts from now whether or not it is answered in the end. What it may be answered with
    /// (milliseconds): 0 for a lease that is being freed.
    pub fn came(&mut self, now: f64, lease: &Lease) -> u64 {
        if self.is_freeing(lease.token) {
            return 0;
        }
        let until = self.until.entry(lease.token).or_insert(now);
        *until = until.max(now + seconds(lease.ttl_ms));
        lease.ttl_ms
    }

    /// The lease is given back, or proposed to be freed: no renewal of it is answered any more.
    pub fn free(&mut self, now: f64, token: u64) {
        self.freeing.insert(token, now);
    }

    pub fn is_freeing(&self, token: u64) -> bool {
        self.freeing.contains_key(&token)
    }

    /// Whether the lease's time is over and it is to be freed now; a proposal to do so that nothing came of is made again
    /// after `again_s`.
    pub fn lapses(&mut self, now: f64, lease: &Lease, again_s: f64) -> bool {
        // A lease that is not known here came about under this leader's eyes; it has its whole time.
        let until = *self.until.entry(lease.token).or_insert(now + seconds(lease.whole_ms));
        let tried = self.freeing.get(&lease.token);
        let lapses = now >= until && tried.map_or(true, |at| now - at > again_s);
        if lapses {
            self.free(now, lease.token);
        }
        lapses
    }

    /// The log has freed the lease.
    pub fn freed(&mut self, token: u64) {
        self.freeing.remove(&token);
        self.until.remove(&token);
    }

    /// How long a lease lasts at most (seconds), if nothing renews it.
    pub fn left_s(&self, now: f64, token: u64) -> f64 {
        self.until.get(&token).map_or(0.0, |until| (until - now).max(0.0))
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

/// What came to a leader and waits for a quorum to say that it leads. One question is out at a time; what comes meanwhile
/// waits for the next, so that an answer speaks only for what came before it was asked.
#[derive(Clone, Debug)]
pub struct ReadIndexQueue<T> {
    fresh: Vec<T>,
    asked: VecDeque<(u64, Vec<T>)>,
    next: u64,
    asked_at: f64,
    again_s: f64,
}

impl<T> ReadIndexQueue<T> {
    /// Numbers begin at `next`; a question whose answer seems lost is followed by another after `again_s`.
    pub fn new(next: u64, again_s: f64) -> ReadIndexQueue<T> {
        ReadIndexQueue { fresh: Vec::new(), asked: VecDeque::new(), next, asked_at: 0.0, again_s }
    }

    pub fn came(&mut self, one: T) {
        self.fresh.push(one);
    }

    /// The number under which the quorum is to be asked now, if it is.
    pub fn ask(&mut self, now: f64) -> Option<u64> {
        if self.fresh.is_empty() || !(self.asked.is_empty() || now - self.asked_at > self.again_s) {
            return None;
        }
        let number = self.next;
        self.asked.push_back((number, std::mem::take(&mut self.fresh)));
        (self.next, self.asked_at) = (number + 1, now);
        Some(number)
    }

    /// A quorum has confirmed the leader after it asked this: what that speaks for.
    pub fn confirmed(&mut self, number: u64) -> Vec<T> {
        let mut sure = Vec::new();
        while self.asked.front().is_some_and(|(asked, _)| *asked <= number) {
            sure.extend(self.asked.pop_front().into_iter().flat_map(|(_, came)| came));
        }
        sure
    }

    /// All that waits for no question yet: for a leader that does not ask.
    pub fn take_fresh(&mut self) -> Vec<T> {
        std::mem::take(&mut self.fresh)
    }

    /// The next question's number: numbers go on over tenures, since answers to old ones may still come.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// What waits: for no question yet, and by the question that is out.
    pub fn waiting(&self) -> (&[T], impl Iterator<Item = &(u64, Vec<T>)>) {
        (&self.fresh, self.asked.iter())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease(token: u64, ttl_ms: u64, whole_ms: u64) -> Lease {
        Lease { session: 1, token, granted_ms: 0, ttl_ms, whole_ms }
    }

    #[test]
    fn a_lease_lapses_its_whole_time_after_whatever_may_have_renewed_it() {
        let long = lease(7, 1000, 4000);
        let mut tenure = LeaseClock::lead(SafetyChecks::default(), 10.0, [&long].into_iter());
        assert!(
            !tenure.lapses(13.9, &long, 2.0),
            "the leader before may have renewed it just before this one led"
        );
        assert_eq!(tenure.came(13.5, &long), 1000);
        assert!(!tenure.lapses(14.4, &long, 2.0));
        assert!(tenure.lapses(14.5, &long, 2.0));
        assert_eq!(tenure.came(14.5, &long), 0, "nothing is renewed that is being freed");
        assert!(!tenure.lapses(16.5, &long, 2.0), "its proposal is on its way");
        assert!(tenure.lapses(16.6, &long, 2.0), "it seems lost");
        tenure.freed(7);
        assert_eq!(tenure.left_s(16.6, 7), 0.0);
        // One that nobody told it of has its whole time from when it is first seen.
        assert!(
            !tenure.lapses(20.0, &lease(8, 1000, 1000), 2.0)
                && tenure.lapses(21.0, &lease(8, 1000, 1000), 2.0)
        );
    }

    #[test]
    fn an_answer_speaks_for_what_came_before_its_question_alone() {
        let mut questions = ReadIndexQueue::new(5, 2.0);
        assert_eq!(questions.ask(0.0), None);
        questions.came('a');
        assert_eq!(questions.ask(0.0), Some(5));
        questions.came('b');
        assert_eq!(questions.ask(1.0), None, "one is out");
        assert_eq!(questions.confirmed(4), Vec::<char>::new());
        assert_eq!(questions.ask(2.5), Some(6), "its answer seems lost");
        questions.came('c');
        assert_eq!(questions.confirmed(6), vec!['a', 'b'], "a later answer speaks for earlier questions too");
        assert_eq!((questions.ask(2.6), questions.confirmed(7), questions.next()), (Some(7), vec!['c'], 8));
    }
}
