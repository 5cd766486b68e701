//! The entry of one idempotency key in the table: its current holder, and the run before that one.

use super::key::KeyProgress;
use crate::interface::RequestId;

/// The state of one key.
#[derive(Debug)]
pub struct Entry {
    /// The request that runs, or ran, for this key.
    pub holder: RequestId,
    /// Fingerprint of the body of the holder and of its retries.
    pub(super) body_fingerprint: u64,
    /// How far its run has come.
    pub progress: KeyProgress,
    /// When its window ends.
    pub(super) expires_at: f64,
    /// Its run was begun by another process, which reports how it ends.
    pub(super) in_other_process: bool,
    /// Attempts that share the holder's run and wait for its end.
    pub waiting_attempts: Vec<RequestId>,
    /// The run of the holder before this one. It covers every attempt that arrived before the end of its window, so that
    /// no older run need be kept.
    pub(super) previous: Option<PreviousRun>,
}

impl Entry {
    /// Whether another process has begun its run and not reported the end.
    #[must_use]
    pub fn is_open_in_other_process(&self) -> bool {
        self.in_other_process && self.progress == KeyProgress::Open
    }

    /// The previous run, if an attempt that arrived at `arrived` falls within its window.
    pub(super) fn previous_for(&self, arrived: f64) -> Option<&PreviousRun> {
        self.previous.as_ref().filter(|previous| arrived <= previous.expires_at)
    }

    /// Makes the ended run the previous one, and returns the previous run that it replaces.
    pub(super) fn set_run_aside(&mut self) -> Option<PreviousRun> {
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

/// A run whose window is over, and whose key has a new holder.
#[derive(Clone, Debug)]
pub(super) struct PreviousRun {
    pub(super) holder: RequestId,
    pub(super) body_fingerprint: u64,
    pub(super) progress: KeyProgress,
    pub(super) expires_at: f64,
    pub(super) in_other_process: bool,
}

impl PreviousRun {
    /// The entry of its key once the new holder is released.
    pub(super) fn into_entry(self) -> Entry {
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
