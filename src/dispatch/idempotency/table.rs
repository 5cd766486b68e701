//! The table of idempotency keys.

use super::entry::{Entry, PreviousRun};
use super::key::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
use crate::interface::RequestId;
use std::collections::{HashMap, VecDeque};

/// The least time for which an entry is retained after its window, for attempts that arrived within the window and are
/// read late (seconds). Callers that wait for longer extend it.
const MIN_LATE_READING_S: f64 = 6.0;
/// The capacity of a collection is shrunk to this many times the number of its elements.
const SHRINK_FACTOR: usize = 4;

/// The run that an attempt shares.
#[derive(Debug, PartialEq)]
pub struct MatchedAttempt {
    /// The request that runs, or ran.
    pub holder: RequestId,
    /// Fingerprint of the body that came with the key.
    pub body_fingerprint: u64,
}

/// A key whose run has not ended, and the request that stands for that run.
#[derive(Debug, PartialEq)]
pub struct OpenKey {
    /// Which key.
    pub key: IdempotencyKey,
    /// The holder of the key.
    pub holder: RequestId,
}

/// All keys, with bounds on their number and on the bytes of retained results.
pub struct IdempotencyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Keys with a retained result, oldest first; some may have left the table since.
    served: VecDeque<IdempotencyKey>,
    pub(super) result_bytes: usize,
    max_result_bytes: usize,
    max_keys: usize,
    late_reading_s: f64,
}

impl IdempotencyTable {
    /// An empty table that holds up to `max_keys` keys, and results of up to `max_result_bytes` bytes together. Callers
    /// wait for `longest_deadline_s` at most.
    #[must_use]
    pub fn new(max_result_bytes: usize, max_keys: usize, longest_deadline_s: f64) -> Self {
        IdempotencyTable {
            entries: HashMap::new(),
            served: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes,
            max_keys,
            late_reading_s: longest_deadline_s.max(MIN_LATE_READING_S),
        }
    }

    /// Whether the table accepts no further key. No key is evicted for a new one, since its request could then run twice.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_keys
    }

    /// How long a key is retained after its window, for attempts that are read late (seconds).
    #[must_use]
    pub fn late_reading_s(&self) -> f64 {
        self.late_reading_s
    }

    /// The number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The run that an attempt with this key shares, by when the attempt reached the machine. A key whose run is still
    /// open matches however late the attempt is. Guards against a second run beside one that hangs.
    #[must_use]
    pub fn matching_attempt(&self, key: &IdempotencyKey, arrived: f64) -> Option<MatchedAttempt> {
        let entry = self.entries.get(key)?;
        if let Some(previous) = entry.previous_for(arrived) {
            let PreviousRun { holder, body_fingerprint, .. } = *previous;
            return Some(MatchedAttempt { holder, body_fingerprint });
        }
        let matches = arrived <= entry.expires_at || entry.progress == KeyProgress::Open;
        matches.then_some(MatchedAttempt { holder: entry.holder, body_fingerprint: entry.body_fingerprint })
    }

    /// How the previous run ended, if it is the one that an attempt which arrived at `arrived` shares.
    #[must_use]
    pub fn previous_progress(&self, key: &IdempotencyKey, arrived: f64) -> Option<KeyProgress> {
        Some(self.entries.get(key)?.previous_for(arrived)?.progress.clone())
    }

    /// The entry of a key.
    pub fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Records a request as the holder of its key until `expires_at`, or extends its window.
    pub fn retain(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        body_fingerprint: u64,
        expires_at: f64,
    ) {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry {
            holder,
            body_fingerprint,
            progress: KeyProgress::Open,
            expires_at,
            in_other_process: false,
            waiting_attempts: Vec::new(),
            previous: None,
        });
        if entry.holder != holder && entry.progress != KeyProgress::Open {
            let dropped = entry.set_run_aside();
            self.result_bytes -= dropped.map_or(0, |run| run.progress.result_bytes());
        }
        entry.holder = holder;
        entry.body_fingerprint = body_fingerprint;
        entry.expires_at = expires_at;
    }

    /// The state of a key, to be reported to another process.
    #[must_use]
    pub fn update_for(&self, key: &IdempotencyKey) -> IdempotencyUpdate {
        let entry = self.entries.get(key);
        IdempotencyUpdate {
            key: key.clone(),
            body_fingerprint: entry.map_or(0, |e| e.body_fingerprint),
            expires_at: entry.map_or(0.0, |e| e.expires_at),
            progress: entry.map(|e| e.progress.clone()),
        }
    }

    /// All keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &IdempotencyKey> {
        self.entries.keys()
    }

    /// Attempts that wait for the end of a run.
    pub fn waiting_attempts(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.values().flat_map(|e| e.waiting_attempts.iter().copied())
    }

    /// Keys whose run another process has begun and not reported the end of, by holder.
    #[must_use]
    pub fn open_in_other_process(&self) -> Vec<OpenKey> {
        let open = self.entries.iter().filter(|(_, entry)| entry.is_open_in_other_process());
        let mut open: Vec<OpenKey> =
            open.map(|(key, entry)| OpenKey { key: key.clone(), holder: entry.holder }).collect();
        open.sort_unstable_by_key(|open| open.holder);
        open
    }

    /// Adopts a key of another process under a holder that no request here has. A key that is known here stays as it is.
    pub fn adopt(&mut self, update: &IdempotencyUpdate, holder: RequestId) {
        let is_new = !self.entries.contains_key(&update.key);
        let Some(progress) = update.progress.clone().filter(|_| is_new) else { return };
        self.retain(&update.key, holder, update.body_fingerprint, update.expires_at);
        if let Some(entry) = self.entries.get_mut(&update.key) {
            entry.in_other_process = true;
        }
        self.complete(&update.key, holder, progress);
    }

    /// Removes the key of a request that never ran; the previous run, if there is one, becomes the key's run again. An
    /// entry whose run has ended stays, since without its result a second run would be admitted within the window.
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

    /// Drops the oldest results while they exceed the memory limit. Their keys stay, so that nothing runs twice.
    fn drop_oldest_results(&mut self) {
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.served.pop_front() else { break };
            self.drop_result(&oldest);
        }
    }

    /// Drops the oldest result of a key, if there is one.
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

    /// Drops keys and runs that no attempt can match any more.
    pub fn remove_expired(&mut self, now: f64) {
        self.remove_expired_keys(now);
        self.remove_expired_previous_runs(now);
        // A key may be listed here more often than it has results; then its newer result is dropped a little early.
        let entries = &self.entries;
        self.served.retain(|key| entries.contains_key(key));
        self.served.shrink_to(SHRINK_FACTOR * self.served.len());
        self.entries.shrink_to(SHRINK_FACTOR * self.entries.len());
    }

    fn remove_expired_keys(&mut self, now: f64) {
        let late_reading_s = self.late_reading_s;
        let is_expired =
            |entry: &Entry| now > entry.expires_at + late_reading_s && entry.progress != KeyProgress::Open;
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<IdempotencyKey> = expired.map(|(key, _)| key.clone()).collect();
        for key in &expired {
            self.remove(key);
        }
    }

    fn remove_expired_previous_runs(&mut self, now: f64) {
        let late_reading_s = self.late_reading_s;
        for entry in self.entries.values_mut() {
            if entry.previous.as_ref().is_some_and(|run| now > run.expires_at + late_reading_s) {
                self.result_bytes -= entry.previous.take().map_or(0, |run| run.progress.result_bytes());
            }
        }
    }
}
