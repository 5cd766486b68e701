//! The resource that fleet-wide tasks call. It accepts a call only under a token as high as any it has seen, breaks
//! off one that is under way under a lower token, and writes a line for each act that it was asked for, by its one clock.

use crate::error::TestbedError;
use crate::sync::lock;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Periods of a task that are remembered.
const MAX_PERIODS: usize = 10_000;

/// Whether the resource rejects calls under tokens that are older than one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It does.
    Enforced,
    /// It accepts every token: the counter-proof.
    Disabled,
}

/// One line of `acts.jsonl`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TaskCall {
    /// The task.
    pub task: String,
    /// The fencing token of the call.
    pub token: u64,
    /// Who made the call.
    pub holder: String,
    /// When it began (milliseconds).
    pub begin_ms: u64,
    /// When it ended (milliseconds).
    pub end_ms: u64,
    /// It was carried out.
    pub accepted: bool,
    /// The period that it was for.
    pub period: u64,
}

#[derive(Default)]
struct Task {
    highest: u64,
    /// Periods that were done, the latest of them.
    done: BTreeSet<u64>,
}

struct Resource {
    start: Instant,
    work: Duration,
    tasks: Mutex<HashMap<String, Task>>,
    lines: Mutex<std::fs::File>,
    fencing: Fencing,
}

/// Starts the resource; where it listens.
///
/// # Errors
/// There is no free port, or the log can't be written.
pub fn start(path: &Path, work_ms: u64, fencing: Fencing) -> Result<SocketAddr, TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(TestbedError::component("acts"))?;
    let address = listener.local_addr().map_err(TestbedError::component("acts"))?;
    let file = std::fs::File::create(path).map_err(TestbedError::file(path))?;
    let resource = Arc::new(Resource {
        start: Instant::now(),
        work: Duration::from_millis(work_ms),
        tasks: Mutex::default(),
        lines: Mutex::new(file),
        fencing,
    });
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let resource = resource.clone();
            thread::spawn(move || resource.serve(&stream));
        }
    });
    Ok(address)
}

impl Resource {
    fn serve(&self, mut stream: &TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut fields = HashMap::new();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if line.is_empty() {
                let status = self.act(&fields);
                let reply = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                let _ = stream.write_all(reply.as_bytes());
                return;
            }
            if let Some((name, value)) = line.split_once(": ") {
                fields.insert(name.to_ascii_lowercase(), value.to_owned());
            }
        }
    }

    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn act(&self, fields: &HashMap<String, String>) -> &'static str {
        let text = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let (task, token, period) = (text("task"), number("fencing-token"), number("task-period"));
        let begin_ms = self.ms();
        let may = {
            let mut tasks = lock(&self.tasks);
            let known = tasks.entry(task.clone()).or_default();
            let stale = self.fencing == Fencing::Enforced && token < known.highest;
            known.highest = known.highest.max(token);
            if stale {
                Err("409 Conflict")
            } else if known.done.contains(&period) {
                // It has been done in this period: the caller may count on it.
                Err("200 OK")
            } else {
                Ok(())
            }
        };
        if may.is_ok() {
            thread::sleep(self.work);
        }
        let accepted = may.is_ok() && {
            let mut tasks = lock(&self.tasks);
            let known = tasks.entry(task.clone()).or_default();
            // Somebody with a higher token has come meanwhile: this act is broken off.
            let last = self.fencing == Fencing::Disabled || known.highest == token;
            if last {
                known.done.insert(period);
                if known.done.len() > MAX_PERIODS {
                    known.done.pop_first();
                }
            }
            last
        };
        let line = TaskCall {
            task,
            token,
            holder: text("task-holder"),
            begin_ms,
            end_ms: self.ms(),
            accepted,
            period,
        };
        if let Ok(text) = serde_json::to_string(&line) {
            let _ = writeln!(lock(&self.lines), "{text}");
        }
        match may {
            Err(status) => status,
            Ok(()) if accepted => "200 OK",
            Ok(()) => "409 Conflict",
        }
    }
}

/// All calls so far.
#[must_use]
pub fn read(path: &Path) -> Vec<TaskCall> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
}

/// What is wrong with these calls: accepted ones overlap, a token goes down, a period is carried out twice.
#[must_use]
pub fn find_violations(acts: &[TaskCall]) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut by_task: HashMap<&str, Vec<&TaskCall>> = HashMap::new();
    acts.iter().filter(|a| a.accepted).for_each(|a| by_task.entry(&a.task).or_default().push(a));
    for (task, mut acts) in by_task {
        acts.sort_by_key(|a| (a.begin_ms, a.end_ms));
        for pair in acts.windows(2) {
            let (one, two) = (pair[0], pair[1]);
            if two.begin_ms < one.end_ms {
                wrong.push(format!("{task}: {one:?} and {two:?} overlap"));
            }
            if two.token < one.token {
                wrong.push(format!("{task}: the token goes down from {one:?} to {two:?}"));
            }
            if two.period <= one.period {
                wrong.push(format!("{task}: {two:?} comes in the period of {one:?} or before"));
            }
        }
    }
    wrong
}

#[cfg(test)]
mod tests;
