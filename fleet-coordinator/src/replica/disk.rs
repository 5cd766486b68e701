//! Disk jobs, which run one at a time, and the handling of their results.

use super::recovered_log::RecoveredLog;
use super::{MemberStatus, Replica, ReplicaOutput, SuspensionCause};
use crate::ids::DiskJobId;
use durable_log::{Disk, Recovered, Store, StoreError};

/// A disk job.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskJob {
    /// Open the store and recover its content.
    Open,
    /// Append records.
    Append(Vec<Vec<u8>>),
    /// Replace the whole content with a snapshot.
    Replace(Vec<u8>),
}

/// The result of a disk job.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskResult {
    /// The store is open; the value is its recovered content.
    Opened(Recovered),
    /// All data was written and synced.
    Written,
    /// The job failed for this reason.
    Failed(String),
}

/// Why a job failed.
#[derive(Debug, thiserror::Error)]
enum DiskError {
    #[error("can't open the data folder: {0}")]
    Folder(#[source] std::io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store is not open")]
    NotOpen,
}

/// A job that was started and whose result is pending.
pub(super) struct PendingJob {
    number: DiskJobId,
    started_at: f64,
}

/// Executes a job. After a failure `store` is `None` until the next [`DiskJob::Open`].
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
            // Release the lock of the previous store first.
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

/// Encodes the content of a store as one record. Content that is damaged or can't be decoded is replaced by that of a disk
/// without a member: a vote may be among the lost data, and a member must not vote twice in a term.
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

    /// Handles the result of a job. Results arrive in the order in which the jobs were started.
    pub fn on_disk_result(&mut self, now: f64, number: DiskJobId, result: DiskResult) {
        let Some(job) = self.pending_jobs.pop_front() else { return };
        debug_assert_eq!(job.number, number, "results of disk jobs out of order");
        match result {
            DiskResult::Opened(recovered) => self.on_store_opened(now, now - job.started_at, &recovered),
            DiskResult::Written => {
                if self.node.is_some() {
                    self.on_persisted(Some(number));
                    self.process_ready(now);
                }
            }
            DiskResult::Failed(reason) => {
                // Jobs queued behind a failed one fail only because of it.
                let caused_by_earlier =
                    matches!(self.status, MemberStatus::Suspended(_)) && number != self.opening_job;
                if !caused_by_earlier && !matches!(self.status, MemberStatus::Excluded(_)) {
                    self.suspend(now, SuspensionCause::DiskFailed(reason));
                }
            }
        }
    }

    /// Suspends the member if a write is overdue, and periodically tries to reopen the disk of a suspended member.
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

/// Rounds a time in a status to the precision that is displayed, since each change of the status is reported.
pub(super) fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
