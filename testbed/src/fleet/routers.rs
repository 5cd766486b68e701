//! Routers for a fleet of processes: they send requests at a constant rate to the workers in turn, each request once, expect
//! exactly one response to each, and count the responses.

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

/// Number of concurrent connections; a request that is due while all are busy is sent late.
const CONNECTIONS: usize = 48;

/// Numbers of requests by result.
#[derive(Clone, Debug, Default)]
pub struct ResponseCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests served (status 200).
    pub served: u64,
    /// Requests rejected (status 503).
    pub rejected: u64,
    /// Requests with another status.
    pub failed: u64,
    /// Requests without a response in time, or with more than one.
    pub unanswered: u64,
}

/// Routers that send until they are dropped.
pub struct Routers {
    stopped: Arc<AtomicBool>,
    counts: Arc<Mutex<ResponseCounts>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Routers {
    /// Starts sending `per_s` requests of a class per second. `workers` are addresses with weights: each worker receives
    /// requests in proportion to its weight.
    #[must_use]
    pub fn start(workers: &[(SocketAddr, usize)], class: &ClassModel, per_s: f64) -> Routers {
        let workers: Vec<SocketAddr> = workers.iter().flat_map(|(worker, n)| vec![*worker; *n]).collect();
        let (stopped, counts) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<ResponseCounts>>::default());
        let (start, next) = (Instant::now(), Arc::new(AtomicUsize::new(0)));
        let connection = || {
            let (workers, class, stopped) = (workers.clone(), class.clone(), stopped.clone());
            let (counts, next) = (counts.clone(), next.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let due = start + Duration::from_secs_f64(number as f64 / per_s);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let status = send(workers[number % workers.len()], &class, number);
                    let mut counts = lock(&counts);
                    counts.sent += 1;
                    *match status {
                        Some(200) => &mut counts.served,
                        Some(503) => &mut counts.rejected,
                        Some(_) => &mut counts.failed,
                        None => &mut counts.unanswered,
                    } += 1;
                }
            })
        };
        let threads = (0..CONNECTIONS).map(|_| connection()).collect();
        Routers { stopped, counts, threads }
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> ResponseCounts {
        lock(&self.counts).clone()
    }

    /// Stops sending, waits for the requests in flight, and returns the counts.
    #[must_use]
    pub fn end(mut self) -> ResponseCounts {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
        self.counts()
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends a request and returns the status of its response; `None` unless there is exactly one.
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
    // A second response on the same connection is an error.
    if read_message(&mut reader).is_some() {
        return None;
    }
    head.split(' ').nth(1)?.parse().ok()
}
