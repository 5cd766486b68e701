//! Routers of a fleet of processes: requests at an even pace to the workers in turn, each with its response counted. They
//! send each request once, and expect exactly one response.

use crate::callers::PlannedRequest;
use crate::executor::Work;
use crate::experiment::ClassModel;
use crate::loopback::{platform_header_lines, read_message};
use crate::sync::lock;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Connections at once: what is due while all are busy waits, and is late by that.
const CONNECTIONS: usize = 48;

/// What came of the requests so far.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// Requests that were sent.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// No response in time, or more than one.
    pub owed: u64,
}

/// Routers that send until they are dropped.
pub struct Routers {
    over: Arc<AtomicBool>,
    answers: Arc<Mutex<Answers>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Routers {
    /// So many requests a second of a class, spread over these workers by their weights.
    #[must_use]
    pub fn start(workers: &[(SocketAddr, usize)], class: &ClassModel, per_s: f64) -> Routers {
        let workers: Vec<SocketAddr> = workers.iter().flat_map(|(worker, n)| vec![*worker; *n]).collect();
        let (over, answers) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Answers>>::default());
        let (start, next) = (Instant::now(), Arc::new(AtomicUsize::new(0)));
        let connection = || {
            let (workers, class, over) = (workers.clone(), class.clone(), over.clone());
            let (answers, next) = (answers.clone(), next.clone());
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let due = start + Duration::from_secs_f64(number as f64 / per_s);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let status = send(workers[number % workers.len()], &class, number);
                    let mut answers = lock(&answers);
                    answers.asked += 1;
                    *match status {
                        Some(200) => &mut answers.served,
                        Some(503) => &mut answers.refused,
                        Some(_) => &mut answers.failed,
                        None => &mut answers.owed,
                    } += 1;
                }
            })
        };
        let threads = (0..CONNECTIONS).map(|_| connection()).collect();
        Routers { over, answers, threads }
    }

    /// What has come of the requests so far.
    #[must_use]
    pub fn answers(&self) -> Answers {
        lock(&self.answers).clone()
    }

    /// Sends no more, and waits for what is on its way.
    #[must_use]
    pub fn end(mut self) -> Answers {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
        self.answers()
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// One request and the status of its answer.
fn send(worker: SocketAddr, class: &ClassModel, number: usize) -> Option<u16> {
    let work = Work {
        before_s: class.work_ms / 2000.0,
        after_s: class.work_ms / 2000.0,
        makes_call: class.call_probability > 0.0,
    };
    let request = PlannedRequest { number, at: 0.0, class: 0, work, memory_kb: class.memory_kb };
    let fields = platform_header_lines(&request, class, 1, class.deadline_ms / 1000.0);
    let body = work.body();
    let head = format!(
        "POST /do/{} HTTP/1.1\r\nHost: lab\r\n{fields}Content-Length: {}\r\nConnection: close\r\n\r\n",
        class.name,
        body.len()
    );
    let mut stream = TcpStream::connect_timeout(&worker, Duration::from_secs(2)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(class.deadline_ms / 1000.0 + 2.0)));
    stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let (head, _) = read_message(&mut reader)?;
    // A second answer on the same connection would be one too many.
    if read_message(&mut reader).is_some() {
        return None;
    }
    head.split(' ').nth(1)?.parse().ok()
}
