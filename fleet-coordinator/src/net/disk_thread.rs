//! The disk thread, the only one that accesses the data folder. It executes one job at a time.

use crate::ids::DiskJobId;
use crate::replica::{execute_job, DiskJob, DiskResult};
use calloop::channel::Sender;
use durable_log::Folder;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

/// A job for the thread.
pub(super) struct NumberedJob {
    pub(super) number: DiskJobId,
    pub(super) job: DiskJob,
}

/// The result of the job with the same number.
pub(super) struct JobResult {
    pub(super) number: DiskJobId,
    pub(super) result: DiskResult,
}

/// Starts the thread; it ends when the returned sender is dropped.
pub(super) fn spawn(folder: &Path, results: Sender<JobResult>) -> mpsc::Sender<NumberedJob> {
    let (sender, jobs) = mpsc::channel::<NumberedJob>();
    let folder: PathBuf = folder.to_owned();
    std::thread::spawn(move || {
        let mut store = None;
        for NumberedJob { number, job } in jobs {
            let result = execute_job(&mut store, &job, || Folder::lock(&folder));
            if results.send(JobResult { number, result }).is_err() {
                break;
            }
        }
    });
    sender
}
