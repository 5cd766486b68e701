//! What the review knows of each task.

use std::collections::BTreeMap;

/// A call that the resource is carrying out.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct RunningCall {
    pub token: u64,
    pub worker: usize,
}

/// What the review knows of a task.
pub(super) struct TaskRecord {
    /// The highest token that the resource has seen.
    pub highest_token: u64,
    pub running: Option<RunningCall>,
    /// The tokens under which periods were carried out, by period.
    pub done: BTreeMap<u64, u64>,
    /// When a call was last carried out.
    pub last_done: f64,
    /// Until when, in true time, each worker believes that it holds the task.
    pub claims: BTreeMap<usize, f64>,
    /// Since when nobody has held the task.
    pub free_since: Option<f64>,
}

impl TaskRecord {
    pub fn new() -> TaskRecord {
        TaskRecord {
            highest_token: 0,
            running: None,
            done: BTreeMap::new(),
            last_done: 0.0,
            claims: BTreeMap::new(),
            free_since: Some(0.0),
        }
    }
}
