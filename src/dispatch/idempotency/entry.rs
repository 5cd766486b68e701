//! The table entry of one idempotency key: its current run and the previous one.

use super::key::KeyProgress;
use super::matching::AttemptIdentity;
use crate::interface::RequestId;

/// The state of one key.
#[derive(Debug)]
pub struct Entry {
    /// The request that runs or has run for this key.
    pub holder: RequestId,
    /// What other attempts are compared with: the holder's fingerprints, and whether it may be a retry.
    pub(super) identity: AttemptIdentity,
    /// Progress of the holder's run.
    pub progress: KeyProgress,
    /// When its window ends.
    pub(super) expires_at: f64,
    /// Whether the run was started by another process, which reports its end.
    pub(super) in_other_process: bool,
    /// Attempts that share the holder's run and wait for it to end.
    pub waiting_attempts: Vec<RequestId>,
    /// The run of the previous holder. It covers every attempt that arrived before the end of its window, so no older
    /// run needs to be kept.
    pub(super) previous: Option<PreviousRun>,
}

/// The request that a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RunIdentity {
    pub(super) holder: RequestId,
    pub(super) identity: AttemptIdentity,
}

impl Entry {
    /// Creates the entry of a key whose run has not ended.
    pub(super) fn new(holder: RequestId, identity: AttemptIdentity, expires_at: f64) -> Entry {
        Entry {
            holder,
            identity,
            progress: KeyProgress::Open,
            expires_at,
            in_other_process: false,
            waiting_attempts: Vec::new(),
            previous: None,
        }
    }

    /// Returns whether another process has started the run and has not reported its end.
    #[must_use]
    pub fn is_open_in_other_process(&self) -> bool {
        self.in_other_process && self.progress == KeyProgress::Open
    }

    /// Returns the run whose window covers an attempt that arrived at `arrived`. A run that is still open covers every
    /// attempt, so that no second run starts beside one that hangs.
    pub(super) fn run_for(&self, arrived: f64) -> Option<RunIdentity> {
        if let Some(PreviousRun { holder, identity, .. }) = self.previous_for(arrived) {
            return Some(RunIdentity { holder: *holder, identity: *identity });
        }
        let covers = arrived <= self.expires_at || self.progress == KeyProgress::Open;
        covers.then_some(RunIdentity { holder: self.holder, identity: self.identity })
    }

    /// Returns the previous run if its window covers an attempt that arrived at `arrived`.
    pub(super) fn previous_for(&self, arrived: f64) -> Option<&PreviousRun> {
        self.previous.as_ref().filter(|previous| arrived <= previous.expires_at)
    }

    /// Makes the ended run the previous run, opens a new one, and returns the previous run that it replaces.
    pub(super) fn replace_previous_run(&mut self) -> Option<PreviousRun> {
        let previous = PreviousRun {
            holder: self.holder,
            identity: self.identity,
            progress: std::mem::replace(&mut self.progress, KeyProgress::Open),
            expires_at: self.expires_at,
            in_other_process: self.in_other_process,
        };
        self.in_other_process = false;
        self.previous.replace(previous)
    }
}

/// A run whose window has ended and whose key has a new holder.
#[derive(Clone, Debug)]
pub(super) struct PreviousRun {
    pub(super) holder: RequestId,
    pub(super) identity: AttemptIdentity,
    pub(super) progress: KeyProgress,
    pub(super) expires_at: f64,
    pub(super) in_other_process: bool,
}

impl PreviousRun {
    /// Restores this run as the entry of its key, after the new holder was released.
    pub(super) fn into_entry(self) -> Entry {
        Entry {
            holder: self.holder,
            identity: self.identity,
            progress: self.progress,
            expires_at: self.expires_at,
            in_other_process: self.in_other_process,
            waiting_attempts: Vec::new(),
            previous: None,
        }
    }
}
