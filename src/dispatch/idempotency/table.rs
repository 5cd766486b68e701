//! The table of idempotency keys.

use super::entries::Entries;
use super::entry::Entry;
use super::key::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
use super::matching::{AttemptIdentity, KeyMatch, KeyedAttempt};
use crate::interface::RequestId;
use std::collections::VecDeque;

/// Minimum time for which an entry is retained after its window, for attempts that arrived within the window but are
/// read late (seconds). Longer deadlines of callers extend it.
const MIN_RETENTION_AFTER_WINDOW_S: f64 = 6.0;
/// Collections are shrunk to this multiple of their length.
const SHRINK_FACTOR: usize = 4;

/// A key whose run has not ended.
#[derive(Debug, PartialEq)]
pub struct OpenKey {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that holds the key.
    pub holder: RequestId,
}

/// All idempotency keys, with limits on their number and on the total size of retained results.
pub struct IdempotencyTable {
    entries: Entries,
    /// Keys with a retained result, oldest first. May contain keys that have been removed from the table since.
    served: VecDeque<IdempotencyKey>,
    pub(super) result_bytes: usize,
    max_result_bytes: usize,
    max_keys: usize,
    /// How long a key is retained after its window, for attempts that are read late (seconds).
    retention_after_window_s: f64,
}

impl IdempotencyTable {
    /// Creates an empty table for up to `max_keys` keys and `max_result_bytes` bytes of results in total.
    /// `longest_deadline_s` is the longest time for which callers wait.
    #[must_use]
    pub fn new(max_result_bytes: usize, max_keys: usize, longest_deadline_s: f64) -> Self {
        IdempotencyTable {
            entries: Entries::default(),
            served: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes,
            max_keys,
            retention_after_window_s: longest_deadline_s.max(MIN_RETENTION_AFTER_WINDOW_S),
        }
    }

    /// Returns whether the table accepts no more keys. Keys are not evicted for new ones, because their requests could
    /// then run twice.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_keys
    }

    /// Returns how long a key is retained after its window, for attempts that are read late (seconds).
    #[must_use]
    pub fn retention_after_window_s(&self) -> f64 {
        self.retention_after_window_s
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.len() == 0
    }

    /// Returns how an attempt relates to the earlier requests with its key.
    #[must_use]
    pub fn match_attempt(&self, attempt: &KeyedAttempt) -> KeyMatch {
        attempt.best_match(self.entries.of_all_tenants(&attempt.key))
    }

    /// Iterates over the holders of the runs, queued, in progress or ended, that may belong to the same request as an
    /// attempt, whichever of them was read first.
    pub fn holders_of_same_request<'a>(
        &'a self,
        attempt: &'a KeyedAttempt,
    ) -> impl Iterator<Item = RequestId> + 'a {
        attempt.holders_of_same_request(self.entries.of_all_tenants(&attempt.key))
    }

    /// Returns the progress of the key's previous run if an attempt that arrived at `arrived` shares that run.
    #[must_use]
    pub fn previous_progress(&self, key: &IdempotencyKey, arrived: f64) -> Option<KeyProgress> {
        Some(self.entries.get(key)?.previous_for(arrived)?.progress.clone())
    }

    /// Returns the entry of a key.
    pub fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Makes a request the holder of its key until `expires_at`, or extends the window of the current holder.
    pub fn retain(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        identity: AttemptIdentity,
        expires_at: f64,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return self.entries.insert(key, Entry::new(holder, identity, expires_at));
        };
        if entry.holder != holder && entry.progress != KeyProgress::Open {
            let dropped = entry.replace_previous_run();
            self.result_bytes -= dropped.map_or(0, |run| run.progress.result_bytes());
        }
        entry.holder = holder;
        entry.identity = identity;
        entry.expires_at = expires_at;
    }

    /// Returns the state of a key, to be reported to the other process.
    #[must_use]
    pub fn update_for(&self, key: &IdempotencyKey) -> IdempotencyUpdate {
        let entry = self.entries.get(key);
        IdempotencyUpdate {
            key: key.clone(),
            identity: entry.map_or(AttemptIdentity::UNKNOWN, |e| e.identity),
            expires_at: entry.map_or(0.0, |e| e.expires_at),
            progress: entry.map(|e| e.progress.clone()),
        }
    }

    /// Iterates over all keys in arbitrary order.
    pub fn keys(&self) -> impl Iterator<Item = IdempotencyKey> + '_ {
        self.entries.keys()
    }

    /// Iterates over the attempts that wait for a run to end.
    pub fn waiting_attempts(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.values().flat_map(|e| e.waiting_attempts.iter().copied())
    }

    /// Returns the keys whose run another process has started and not yet reported as ended, sorted by holder.
    #[must_use]
    pub fn open_in_other_process(&self) -> Vec<OpenKey> {
        let open_keys = self.entries.keys_where(Entry::is_open_in_other_process);
        let open_key = |key| Some(OpenKey { holder: self.entries.get(&key)?.holder, key });
        let mut open: Vec<OpenKey> = open_keys.filter_map(open_key).collect();
        open.sort_unstable_by_key(|open| open.holder);
        open
    }

    /// Adds a key of the other process. `holder` must be an ID that no request here uses. A known key is not changed.
    pub fn adopt(&mut self, update: &IdempotencyUpdate, holder: RequestId) {
        let is_new = !self.entries.contains(&update.key);
        let Some(progress) = update.progress.clone().filter(|_| is_new) else { return };
        self.retain(&update.key, holder, update.identity, update.expires_at);
        if let Some(entry) = self.entries.get_mut(&update.key) {
            entry.in_other_process = true;
        }
        self.complete(&update.key, holder, progress);
    }

    /// Removes the key of a request that never ran; the previous run, if there is one, is restored. Does nothing if the
    /// run has ended: without the entry, a second run would be admitted within the window.
    pub fn release(&mut self, key: &IdempotencyKey, holder: RequestId) {
        let is_open = |entry: &&mut Entry| entry.holder == holder && entry.progress == KeyProgress::Open;
        let Some(entry) = self.entries.get_mut(key).filter(is_open) else { return };
        match entry.previous.take() {
            Some(previous) => *entry = previous.into_entry(),
            None => self.remove(key),
        }
    }

    /// Records that the run of a key has ended, and returns the attempts that wait for it.
    pub fn complete(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        progress: KeyProgress,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.holder == holder) else {
            return Vec::new();
        };
        let waiting_attempts = std::mem::take(&mut entry.waiting_attempts);
        if let KeyProgress::Served(Some(result)) = &progress {
            self.result_bytes += result.len();
            self.served.push_back(key.clone());
        }
        entry.progress = progress;
        self.drop_oldest_results();
        waiting_attempts
    }

    /// Drops the oldest results until the rest fits the limit. Their keys stay, so that no request runs twice.
    fn drop_oldest_results(&mut self) {
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.served.pop_front() else { break };
            self.drop_result(&oldest);
        }
    }

    /// Drops the oldest result of a key, if it has one.
    fn drop_result(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let previous = entry.previous.iter_mut().map(|run| &mut run.progress);
        let oldest = previous.chain([&mut entry.progress]).find(|progress| progress.result_bytes() > 0);
        if let Some(KeyProgress::Served(result)) = oldest {
            self.result_bytes -= result.take().map_or(0, |r| r.len());
        }
    }

    fn remove(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        let previous_bytes = entry.previous.map_or(0, |run| run.progress.result_bytes());
        self.result_bytes -= entry.progress.result_bytes() + previous_bytes;
    }

    /// Removes keys and previous runs that no attempt can match any more.
    pub fn remove_expired(&mut self, now: f64) {
        self.remove_expired_keys(now);
        self.remove_expired_previous_runs(now);
        // `served` may list a key more often than the key has results. The newer result of such a key is then dropped
        // before older results of other keys.
        let entries = &self.entries;
        self.served.retain(|key| entries.contains(key));
        self.served.shrink_to(SHRINK_FACTOR * self.served.len());
        self.entries.shrink(SHRINK_FACTOR);
    }

    fn remove_expired_keys(&mut self, now: f64) {
        let retention_after_window_s = self.retention_after_window_s;
        let is_expired = |entry: &Entry| {
            now > entry.expires_at + retention_after_window_s && entry.progress != KeyProgress::Open
        };
        let expired: Vec<IdempotencyKey> = self.entries.keys_where(is_expired).collect();
        for key in &expired {
            self.remove(key);
        }
    }

    fn remove_expired_previous_runs(&mut self, now: f64) {
        let retention_after_window_s = self.retention_after_window_s;
        for entry in self.entries.values_mut() {
            if entry.previous.as_ref().is_some_and(|run| now > run.expires_at + retention_after_window_s) {
                self.result_bytes -= entry.previous.take().map_or(0, |run| run.progress.result_bytes());
            }
        }
    }
}
