//! Batches of requests that wait for a quorum to confirm the leader (Raft's `ReadIndex`).

use std::collections::VecDeque;

/// Requests that are answered by the same confirmation.
#[derive(Clone, Debug)]
pub struct ReadIndexBatch<T> {
    /// The number of the confirmation.
    pub number: u64,
    /// The requests, in the order of receipt.
    pub requests: Vec<T>,
}

/// Requests that wait for a quorum to confirm the leader. While a batch is in progress, the next one starts only if the
/// confirmation of the latest is overdue. Later requests wait for the next batch, so that a confirmation answers only
/// requests received before it was requested.
#[derive(Clone, Debug)]
pub struct ReadIndexQueue<T> {
    /// Requests that are not in a batch yet.
    unsent: Vec<T>,
    /// Batches in progress, oldest first.
    sent: VecDeque<ReadIndexBatch<T>>,
    next_number: u64,
    /// When the latest batch was started.
    sent_at: f64,
    /// How long after the start of a batch its confirmation is overdue (seconds).
    retry_s: f64,
}

impl<T> ReadIndexQueue<T> {
    /// Returns an empty queue whose first batch has the number `next_number`. If a batch is not confirmed within `retry_s`
    /// (seconds), the next one may start.
    #[must_use]
    pub fn new(next_number: u64, retry_s: f64) -> ReadIndexQueue<T> {
        ReadIndexQueue { unsent: Vec::new(), sent: VecDeque::new(), next_number, sent_at: 0.0, retry_s }
    }

    /// Adds a request.
    pub fn push(&mut self, request: T) {
        self.unsent.push(request);
    }

    /// Starts a batch with all unsent requests and returns its number. Returns `None` if there are no such requests, or a
    /// batch is in progress whose confirmation is not overdue.
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

    /// Called when a quorum has confirmed this batch. Returns its requests and those of earlier batches.
    pub fn confirm(&mut self, number: u64) -> Vec<T> {
        let mut confirmed = Vec::new();
        while self.sent.front().is_some_and(|batch| batch.number <= number) {
            confirmed.extend(self.sent.pop_front().into_iter().flat_map(|batch| batch.requests));
        }
        confirmed
    }

    /// Takes the requests that are not in a batch yet. Used when [`SafetyChecks::read_index`](super::SafetyChecks::read_index)
    /// is disabled.
    pub fn take_unsent(&mut self) -> Vec<T> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the next batch's number. Numbers continue across terms, since a confirmation from an earlier term may still
    /// arrive.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns the requests that are not in a batch yet, and the batches in progress.
    pub fn pending(&self) -> (&[T], impl Iterator<Item = &ReadIndexBatch<T>>) {
        (&self.unsent, self.sent.iter())
    }
}
