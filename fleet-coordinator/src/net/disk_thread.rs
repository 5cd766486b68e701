//! The thread that alone accesses the data folder: one job after the other.

use super::JobResult;
use crate::replica::{carry_out, DiskJob};
use calloop::channel::Sender;
use durable_log::Folder;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

/// Starts the thread; it ends when the returned sender is dropped.
pub(super) fn spawn(folder: &Path, results: Sender<JobResult>) -> mpsc::Sender<(u64, DiskJob)> {
    let (sender, jobs) = mpsc::channel::<(u64, DiskJob)>();
    let folder: PathBuf = folder.to_owned();
    std::thread::spawn(move || {
        let mut store = None;
        for (number, job) in jobs {
            let result = carry_out(&mut store, &job, || Folder::lock(&folder));
            if results.send((number, result)).is_err() {
                break;
            }
        }
    });
    sender
}
