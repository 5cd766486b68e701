//! Jobs for the disk, one after the other, and what their results mean for the replica.

use super::recovered_log::RecoveredLog;
use super::{MemberStatus, Replica, ReplicaOutput, SuspensionCause};
use crate::ids::DiskJobId;
use durable_log::{Disk, Recovered, Store, StoreError};

/// A job for the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskJob {
    /// Open the store and read it.
    Open,
    /// Append records.
    Append(Vec<Vec<u8>>),
    /// Replace everything by a snapshot.
    Replace(Vec<u8>),
}

/// The result of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskResult {
    /// The store is open, and this was recovered from it.
    Opened(Recovered),
    /// Everything was written and synced.
    Written,
    /// The job failed, for this reason.
    Failed(String),
}

/// Why a job failed.
#[derive(Debug, thiserror::Error)]
enum DiskError {
    #[error("the folder: {0}")]
    Folder(#[source] std::io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store is not open")]
    NotOpen,
}

/// A job that was started and not answered.
pub(super) struct PendingJob {
    number: DiskJobId,
    started_at: f64,
}

/// Carries out a job. After a failure `store` is empty until the next [`DiskJob::Open`].
pub fn execute_job<D: Disk>(
    store: &mut Option<Store<D>>,
    job: &DiskJob,
    disk: impl FnOnce() -> std::io::Result<D>,
) -> DiskResult {
    try_job(store, job, disk).unwrap_or_else(|error| {
        *store = None;
        DiskResult::Failed(error.to_string())
    })
}

fn try_job<D: Disk>(
    store: &mut Option<Store<D>>,
    job: &DiskJob,
    disk: impl FnOnce() -> std::io::Result<D>,
) -> Result<DiskResult, DiskError> {
    match job {
        DiskJob::Open => {
            // The lock of the earlier store is released first.
            drop(store.take());
            let (opened, recovered) = Store::open(disk().map_err(DiskError::Folder)?, encode)?;
            *store = Some(opened);
            Ok(DiskResult::Opened(recovered))
        }
        DiskJob::Append(records) => {
            store.as_mut().ok_or(DiskError::NotOpen)?.append(records)?;
            Ok(DiskResult::Written)
        }
        DiskJob::Replace(snapshot) => {
            store.as_mut().ok_or(DiskError::NotOpen)?.replace(snapshot)?;
            Ok(DiskResult::Written)
        }
    }
}

/// A store as one record. One that has lost something is written as that of no member: it must not vote as if it
/// remembered its earlier votes.
fn encode(recovered: &Recovered) -> Vec<u8> {
    match RecoveredLog::read(recovered) {
        Ok(log) if !recovered.damaged => log.encode(),
        _ => RecoveredLog::default().encode(),
    }
}

impl Replica {
    pub(super) fn start_job(&mut self, now: f64, job: DiskJob) -> DiskJobId {
        let number = self.next_job;
        self.next_job = number.next();
        self.pending_jobs.push_back(PendingJob { number, started_at: now });
        if job == DiskJob::Open {
            self.opening_job = number;
        }
        self.outputs.push(ReplicaOutput::Disk(number, job));
        number
    }

    /// A job has ended. Jobs are answered in the order in which they were started.
    pub fn on_disk_result(&mut self, now: f64, number: DiskJobId, result: DiskResult) {
        let Some(job) = self.pending_jobs.pop_front() else { return };
        debug_assert_eq!(job.number, number, "jobs are answered in order");
        match result {
            DiskResult::Opened(recovered) => self.on_opened(now, now - job.started_at, &recovered),
            DiskResult::Written => {
                if self.node.is_some() {
                    self.on_persisted(Some(number));
                    self.process_ready(now);
                }
            }
            DiskResult::Failed(reason) => {
                // Jobs that follow a failed one fail for that reason alone.
                let known = matches!(self.status, MemberStatus::Suspended(_)) && number != self.opening_job;
                if !known && !matches!(self.status, MemberStatus::Excluded(_)) {
                    self.suspend(now, SuspensionCause::DiskFailed(reason));
                }
            }
        }
    }

    /// Suspends the member while a write is overdue, and opens the disk of a suspended one now and then.
    pub(super) fn check_disk(&mut self, now: f64) {
        if let Some(job) = self.pending_jobs.front() {
            let waited_s = now - job.started_at;
            if self.status == MemberStatus::Active && waited_s > self.write_overdue_s {
                self.suspend(now, SuspensionCause::WriteOverdue { waited_s: round_to_tenths(waited_s) });
            }
        } else if matches!(self.status, MemberStatus::Suspended(_)) && now >= self.disk_retry_at {
            self.disk_retry_at = now + super::DISK_RETRY_S;
            self.start_job(now, DiskJob::Open);
        }
    }
}

/// A status is reported anew when it changes: a time is part of it only as precisely as it is shown.
pub(super) fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
