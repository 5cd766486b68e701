//! The table of idempotency keys: which attempts belong to a key, and which of them holds it.
//!
//! A key's entry is identified by the first attempt that carried the key.

use crate::interface::RequestId;
use std::collections::BTreeMap;

/// The state of one key.
#[derive(Default)]
struct IdempotencyEntry {
    /// The attempt that is queued or running for the key.
    holder: RequestId,
    attempts: Vec<RequestId>,
    /// Attempts that wait for the holder to start, oldest first.
    waiting: Vec<RequestId>,
    has_run: bool,
    /// When the retention of the key ends: two sweep intervals after callers can no longer repeat it (clock, seconds).
    retained_until: f64,
}

/// All keys, indexed by entry and by attempt.
#[derive(Default)]
pub(super) struct IdempotencyTable {
    entries: BTreeMap<RequestId, IdempotencyEntry>,
    entry_of_attempt: BTreeMap<RequestId, RequestId>,
}

impl IdempotencyTable {
    /// The number of keys.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether an attempt belongs to a key.
    pub(super) fn contains_attempt(&self, attempt: RequestId) -> bool {
        self.entry_of_attempt.contains_key(&attempt)
    }

    /// The entry of an attempt, as long as no attempt of that entry has run.
    pub(super) fn pending_entry_of(&self, attempt: RequestId) -> Option<RequestId> {
        let entry_id = self.entry_of_attempt.get(&attempt).copied();
        entry_id.filter(|entry_id| !self.entries[entry_id].has_run)
    }

    /// Whether an attempt holds this entry and no attempt of the entry has run.
    pub(super) fn is_pending_holder(&self, entry_id: RequestId, attempt: RequestId) -> bool {
        self.entries.get(&entry_id).is_some_and(|entry| entry.holder == attempt && !entry.has_run)
    }

    /// Makes an attempt the holder of an entry, which is created if it does not exist.
    pub(super) fn set_holder(&mut self, entry_id: RequestId, holder: RequestId, retained_until: f64) {
        let entry = self.entries.entry(entry_id).or_default();
        if entry.attempts.is_empty() {
            entry.attempts.push(holder);
        }
        entry.waiting.retain(|attempt| *attempt != holder);
        entry.holder = holder;
        entry.retained_until = retained_until;
        self.entry_of_attempt.insert(holder, entry_id);
    }

    /// Adds an attempt that waits for the holder to start.
    pub(super) fn add_waiting(&mut self, entry_id: RequestId, attempt: RequestId) {
        if let Some(entry) = self.entries.get_mut(&entry_id) {
            entry.waiting.push(attempt);
            entry.attempts.push(attempt);
        }
        self.entry_of_attempt.insert(attempt, entry_id);
    }

    /// Removes an attempt from those that wait for the holder to start.
    pub(super) fn remove_waiting(&mut self, entry_id: RequestId, attempt: RequestId) {
        if let Some(entry) = self.entries.get_mut(&entry_id) {
            entry.waiting.retain(|waiting| *waiting != attempt);
        }
    }

    /// The attempts that wait for the holder to start, oldest first.
    pub(super) fn waiting(&self, entry_id: RequestId) -> &[RequestId] {
        &self.entries[&entry_id].waiting
    }

    /// Records that the holder has started, and takes the attempts that waited for it.
    pub(super) fn run_started(&mut self, entry_id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(&entry_id) else { return Vec::new() };
        entry.has_run = true;
        std::mem::take(&mut entry.waiting)
    }

    /// Removes a key and returns its attempts.
    pub(super) fn remove(&mut self, entry_id: RequestId) -> Vec<RequestId> {
        let attempts = self.entries.remove(&entry_id).map(|entry| entry.attempts).unwrap_or_default();
        for attempt in &attempts {
            self.entry_of_attempt.remove(attempt);
        }
        attempts
    }

    /// The keys that callers can no longer repeat and whose attempts have all ended.
    pub(super) fn expired(&self, now: f64, in_progress: impl Fn(RequestId) -> bool) -> Vec<RequestId> {
        let expired = |entry: &IdempotencyEntry| {
            entry.retained_until <= now && !entry.attempts.iter().any(|attempt| in_progress(*attempt))
        };
        self.entries.iter().filter(|(_, entry)| expired(entry)).map(|(entry_id, _)| *entry_id).collect()
    }
}
