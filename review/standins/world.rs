//! What all stand-ins share: the record, the requests that were sent, the runs, and the processes that were started.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A request as it was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// `X-Arrived-Ms`.
    pub arrived_ms: u64,
    /// Whether it was answered, or its connection has ended.
    pub over: bool,
}

/// A run that an executor has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: String,
    pub executor: String,
    pub key: Option<String>,
    /// `X-Arrived-Ms` of the attempt that ran.
    pub arrived_ms: u64,
    /// The result, once the run has ended well.
    pub result: Option<Vec<u8>>,
}

struct Inner {
    record: Mutex<File>,
    started: Instant,
    folder: PathBuf,
    sent: Mutex<HashMap<String, Sent>>,
    runs: Mutex<Vec<Run>>,
    processes: Mutex<Vec<Arc<Mutex<Child>>>>,
}

/// Shared by all threads of a case.
#[derive(Clone)]
pub struct World(Arc<Inner>);

/// Locks, also after another thread has panicked: the record must still be written and the processes ended.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The system's Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl World {
    pub fn new(record: &Path) -> io::Result<World> {
        let folder = std::env::temp_dir().join(format!("honeypost-review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder)?;
        Ok(World(Arc::new(Inner {
            record: Mutex::new(File::create(record)?),
            started: Instant::now(),
            folder,
            sent: Mutex::default(),
            runs: Mutex::default(),
            processes: Mutex::default(),
        })))
    }

    /// Writes a line to the record, with the time since the start in seconds.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.0.started.elapsed().as_secs_f64());
        let _ = lock(&self.0.record).write_all(line.as_bytes());
    }

    /// A temporary folder, which is removed at the end.
    pub fn folder(&self) -> &Path {
        &self.0.folder
    }

    pub fn remove_folder(&self) {
        let _ = std::fs::remove_dir_all(&self.0.folder);
    }

    /// Time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Waits until this time since the start of the case.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.elapsed()));
    }

    pub fn record_sent(&self, id: &str, sent: Sent) {
        lock(&self.0.sent).insert(id.to_owned(), sent);
    }

    /// Records that a request was answered or that its connection has ended.
    pub fn record_over(&self, id: &str) {
        if let Some(sent) = lock(&self.0.sent).get_mut(id) {
            sent.over = true;
        }
    }

    pub fn sent(&self, id: &str) -> Option<Sent> {
        lock(&self.0.sent).get(id).cloned()
    }

    /// Records that a run has begun; `false` if this request has run before.
    pub fn begin_run(&self, run: Run) -> bool {
        let mut runs = lock(&self.0.runs);
        let is_new = runs.iter().all(|known| known.job != run.job);
        if is_new {
            runs.push(run);
        }
        is_new
    }

    pub fn end_run(&self, job: &str, result: &[u8]) {
        if let Some(run) = lock(&self.0.runs).iter_mut().find(|run| run.job == job) {
            run.result = Some(result.to_vec());
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.0.runs).clone()
    }

    pub fn runs_of_key(&self, key: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| run.key.as_deref() == Some(key)).collect()
    }

    /// Waits until a condition holds.
    pub fn wait_for(&self, what: &str, limit: Duration, condition: impl Fn() -> bool) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !condition() {
            if Instant::now() > end {
                return Err(format!("waited {limit:?} for: {what}"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    pub fn add_process(&self, child: Arc<Mutex<Child>>) {
        lock(&self.0.processes).push(child);
    }

    /// Ends all processes that the case has started.
    pub fn end_processes(&self) {
        for child in lock(&self.0.processes).drain(..) {
            let mut child = lock(&child);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
