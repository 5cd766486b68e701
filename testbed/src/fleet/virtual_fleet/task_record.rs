//! The review's record of each task.

use std::collections::BTreeMap;

/// A call in progress at the resource.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct RunningCall {
    pub token: u64,
    pub worker: usize,
}

/// The review's record of a task.
pub(super) struct TaskRecord {
    /// Highest fencing token that the resource has seen.
    pub highest_token: u64,
    pub running: Option<RunningCall>,
    /// Periods that were carried out, with the fencing token of each.
    pub completed: BTreeMap<u64, u64>,
    /// Time at which a call was last carried out.
    pub last_completed_s: f64,
    /// True time until which each worker believes that it holds the task.
    pub claims: BTreeMap<usize, f64>,
    /// Time since which no worker has held the task; `None` while one does.
    pub unheld_since: Option<f64>,
}

impl TaskRecord {
    pub fn new() -> TaskRecord {
        TaskRecord {
            highest_token: 0,
            running: None,
            completed: BTreeMap::new(),
            last_completed_s: 0.0,
            claims: BTreeMap::new(),
            unheld_since: Some(0.0),
        }
    }
}
