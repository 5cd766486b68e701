//! Batches of requests that wait for a quorum to confirm the leader (Raft's `ReadIndex`).

use std::collections::VecDeque;

/// Requests that one confirmation answers.
#[derive(Clone, Debug)]
pub struct ReadIndexBatch<T> {
    /// The confirmation's number.
    pub number: u64,
    /// The requests, in the order in which they were received.
    pub requests: Vec<T>,
}

/// Requests that wait for a quorum to confirm the leader. One batch is out at a time; what is received meanwhile waits
/// for the next, so that a confirmation answers only what was received before it was requested.
#[derive(Clone, Debug)]
pub struct ReadIndexQueue<T> {
    /// Requests that are in no batch yet.
    unsent: Vec<T>,
    sent: VecDeque<ReadIndexBatch<T>>,
    next_number: u64,
    sent_at: f64,
    retry_s: f64,
}

impl<T> ReadIndexQueue<T> {
    /// Batches are numbered from `next_number` on; one that stays unconfirmed is followed by another after `retry_s`
    /// (seconds).
    #[must_use]
    pub fn new(next_number: u64, retry_s: f64) -> ReadIndexQueue<T> {
        ReadIndexQueue { unsent: Vec::new(), sent: VecDeque::new(), next_number, sent_at: 0.0, retry_s }
    }

    /// Adds a request that was received now.
    pub fn push(&mut self, request: T) {
        self.unsent.push(request);
    }

    /// Makes a batch of what was received, and returns its number; `None` while another is out or nothing waits.
    pub fn start_batch(&mut self, now: f64) -> Option<u64> {
        let may_send = self.sent.is_empty() || now - self.sent_at > self.retry_s;
        if self.unsent.is_empty() || !may_send {
            return None;
        }
        let number = self.next_number;
        self.sent.push_back(ReadIndexBatch { number, requests: std::mem::take(&mut self.unsent) });
        self.next_number = number + 1;
        self.sent_at = now;
        Some(number)
    }

    /// A quorum has confirmed this batch: returns its requests, and those of earlier ones.
    pub fn confirm(&mut self, number: u64) -> Vec<T> {
        let mut confirmed = Vec::new();
        while self.sent.front().is_some_and(|batch| batch.number <= number) {
            confirmed.extend(self.sent.pop_front().into_iter().flat_map(|batch| batch.requests));
        }
        confirmed
    }

    /// Takes what is in no batch yet: for a leader that works without confirmation.
    pub fn take_unsent(&mut self) -> Vec<T> {
        std::mem::take(&mut self.unsent)
    }

    /// The next batch's number. Numbers go on over terms, since a confirmation of an earlier one may still come.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// What waits: requests in no batch yet, and the batches that are out.
    pub fn pending(&self) -> (&[T], impl Iterator<Item = &ReadIndexBatch<T>>) {
        (&self.unsent, self.sent.iter())
    }
}
