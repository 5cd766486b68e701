//! The table of idempotency keys: which attempt holds a key, until when, and the result that its run left.
//!
//! An entry is retained for a while beyond its window: what counts is when an attempt reached the machine, and it may lie
//! unread. So attempts may be read in another order than they came in: a key whose window is over may have a new holder,
//! whose run has not begun and may never, when an attempt of the old window is read. The old run stands for that one,
//! whatever becomes of the new.

use super::Response;
use crate::interface::{Outcome, RequestId};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// How long after its window an entry still serves attempts that arrived within it (seconds). Where callers wait for
/// longer than that, so long.
const MIN_LATE_READING_S: f64 = 6.0;
/// A collection that has lost most of its elements keeps capacity for this many times those that are left.
const SHRINK_FACTOR: usize = 4;

/// What a key is unique within: a class and a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The number of the class.
    pub class: usize,
    /// The number of the tenant.
    pub tenant: Option<usize>,
    /// The key as the caller sent it.
    pub key: Rc<str>,
}

/// Where the run of a key stands.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProgress {
    /// Its holder has not ended.
    Open,
    /// It succeeded; the result is absent where it could not be retained.
    Served(Option<Rc<[u8]>>),
    /// It failed, or its outcome is unknown.
    Failed,
}

impl KeyProgress {
    /// Bytes of a retained result.
    fn result_bytes(&self) -> usize {
        match self {
            KeyProgress::Served(Some(result)) => result.len(),
            _ => 0,
        }
    }

    /// What an attempt gets whose key has ended so.
    #[must_use]
    pub fn shared_response(&self) -> (Response, Outcome) {
        match self {
            KeyProgress::Served(Some(result)) => (Response::Served(result.clone()), Outcome::Ok),
            _ => (Response::Failed, Outcome::Error),
        }
    }
}

/// A key in the table.
#[derive(Debug)]
pub struct Entry {
    /// The request that runs, or ran, for this key.
    pub holder: RequestId,
    /// Identifies the body of the holder and of its retries.
    body_fingerprint: u64,
    /// Where its run stands.
    pub progress: KeyProgress,
    expires_at: f64,
    /// Its run was begun by another process, which reports how it ends.
    in_other_process: bool,
    /// Attempts that get what the holder gets.
    pub waiting_attempts: Vec<RequestId>,
    /// The run that had the key before this holder. It covers all attempts that arrived before its window ended, so one
    /// is enough.
    previous: Option<PreviousRun>,
}

impl Entry {
    /// Whether another process has begun its run and not reported the end.
    #[must_use]
    pub fn is_open_in_other_process(&self) -> bool {
        self.in_other_process && self.progress == KeyProgress::Open
    }

    /// The previous run, where it is the one that stands for an attempt which arrived at that time.
    fn previous_for(&self, arrived: f64) -> Option<&PreviousRun> {
        self.previous.as_ref().filter(|previous| arrived <= previous.expires_at)
    }

    /// Puts the run that has ended aside and returns the one that was there before.
    fn set_run_aside(&mut self) -> Option<PreviousRun> {
        let previous = PreviousRun {
            holder: self.holder,
            body_fingerprint: self.body_fingerprint,
            progress: std::mem::replace(&mut self.progress, KeyProgress::Open),
            expires_at: self.expires_at,
            in_other_process: self.in_other_process,
        };
        self.in_other_process = false;
        self.previous.replace(previous)
    }
}

/// A run whose window is over.
#[derive(Clone, Debug)]
struct PreviousRun {
    holder: RequestId,
    body_fingerprint: u64,
    progress: KeyProgress,
    expires_at: f64,
    in_other_process: bool,
}

impl PreviousRun {
    /// The entry of this run when the run after it is no longer there.
    fn into_entry(self) -> Entry {
        Entry {
            holder: self.holder,
            body_fingerprint: self.body_fingerprint,
            progress: self.progress,
            expires_at: self.expires_at,
            in_other_process: self.in_other_process,
            waiting_attempts: Vec::new(),
            previous: None,
        }
    }
}

/// The run that stands for an attempt.
#[derive(Debug, PartialEq)]
pub struct MatchedAttempt {
    /// The request that runs, or ran.
    pub holder: RequestId,
    /// Identifies the body that came with the key.
    pub body_fingerprint: u64,
}

/// What one process reports to another about a key that may have run.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyUpdate {
    /// Which key.
    pub key: IdempotencyKey,
    /// Identifies the body that came with it.
    pub body_fingerprint: u64,
    /// When the key stops matching retries (loop's clock, seconds).
    pub expires_at: f64,
    /// Absent where it turned out that its run never began.
    pub progress: Option<KeyProgress>,
}

/// All keys, with bounds on their number and on the bytes of retained results.
pub struct IdempotencyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Keys with a result, oldest first; some may have left the table since.
    served: VecDeque<IdempotencyKey>,
    result_bytes: usize,
    max_result_bytes: usize,
    max_keys: usize,
    late_reading_s: f64,
}

impl IdempotencyTable {
    /// An empty table with these bounds. Callers wait for `longest_deadline_s` at most.
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

    /// Whether one more key is too many. None is dropped for it: what it guards could run twice.
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

    /// The run that an attempt with this key repeats, by when the attempt reached the machine. A key whose run is still
    /// open matches however late the attempt is: guards against a second run beside a hung one.
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

    /// How the previous run ended, where it is the one that stands for an attempt which arrived at that time.
    #[must_use]
    pub fn previous_progress(&self, key: &IdempotencyKey, arrived: f64) -> Option<KeyProgress> {
        Some(self.entries.get(key)?.previous_for(arrived)?.progress.clone())
    }

    /// The entry of a key.
    pub fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Records a request as the holder of its key, or renews its entry.
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

    /// All that is known of a key, for another process.
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

    /// Keys whose run another process has begun and not reported the end of, with their holders, by holder.
    #[must_use]
    pub fn open_in_other_process(&self) -> Vec<(IdempotencyKey, RequestId)> {
        let open = self.entries.iter().filter(|(_, entry)| entry.is_open_in_other_process());
        let mut open: Vec<_> = open.map(|(key, entry)| (key.clone(), entry.holder)).collect();
        open.sort_unstable_by_key(|(_, holder)| *holder);
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

    /// Takes the key of a request that never ran from the table; the run before it stands again for what it stood for.
    /// An entry whose run has ended stays: a result that is gone while its window lasts would let a second run in.
    pub fn release(&mut self, key: &IdempotencyKey, holder: RequestId) {
        let is_open = |entry: &&mut Entry| entry.holder == holder && entry.progress == KeyProgress::Open;
        let Some(entry) = self.entries.get_mut(key).filter(is_open) else { return };
        match entry.previous.take() {
            Some(previous) => *entry = previous.into_entry(),
            None => self.remove(key),
        }
    }

    /// The run of a key has ended; returns the attempts that wait for it.
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

    /// Guards the memory limit: the oldest results go, their keys stay, so that nothing runs twice.
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
        // A key may stand here more often than it has results: then one that is newer goes a little early.
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

#[cfg(test)]
mod tests;
