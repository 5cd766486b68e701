//! Callers over HTTP/1.1. Each has a thread, and at most one request in flight.

use super::attempt::{platform_header_lines, time_left_s, AttemptResponse, RESPONSE_GRACE_S};
use super::http1_message::{header, read_message};
use super::{Clock, RequestOutcomes};
use crate::callers::{next_retry, PlannedRequest};
use crate::experiment::{ClassModel, Experiment};
use crate::measure::RequestOutcome;
use crate::sync::lock;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The maximum number of callers that wait for a response at once. Each has a connection; the worker accepts more
/// connections than this with its `limits.sockets` of 1024.
const MAX_CALLERS: usize = 448;
/// The stack size of a caller's thread.
const STACK_BYTES: usize = 256 * 1024;

/// Starts the callers: each takes the next request when it is due, and makes all attempts of it.
pub(super) fn start(
    experiment: &Experiment,
    requests: &Arc<Vec<PlannedRequest>>,
    clock: Clock,
    address: SocketAddr,
    outcomes: &RequestOutcomes,
) -> Vec<thread::JoinHandle<()>> {
    let (sender, receiver): (Sender<usize>, Receiver<usize>) = channel();
    let receiver = Arc::new(Mutex::new(receiver));
    let mut threads = Vec::new();
    for _ in 0..MAX_CALLERS.min(requests.len()) {
        let (experiment, requests, outcomes) = (experiment.clone(), requests.clone(), outcomes.clone());
        let receiver = receiver.clone();
        let body = move || {
            let mut caller = Caller { experiment: &experiment, clock, address, connection: None };
            loop {
                let Ok(number) = lock(&receiver).recv() else { return };
                let outcome = caller.send_with_retries(&requests[number]);
                lock(&outcomes)[number] = outcome;
            }
        };
        let thread = thread::Builder::new().stack_size(STACK_BYTES).spawn(body);
        threads.extend(thread.ok());
    }
    let requests = requests.clone();
    threads.push(thread::spawn(move || {
        for request in requests.iter() {
            clock.sleep_until(request.at);
            if sender.send(request.number).is_err() {
                return;
            }
        }
    }));
    threads
}

/// A caller and its persistent connection.
struct Caller<'a> {
    experiment: &'a Experiment,
    clock: Clock,
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller<'_> {
    /// Sends a request with all its attempts; `None` if an attempt received no response in time.
    fn send_with_retries(&mut self, request: &PlannedRequest) -> Option<RequestOutcome> {
        let class = &self.experiment.class[request.class];
        for attempt in 1.. {
            let response = self.attempt(request, class, attempt)?;
            let now = self.clock.now();
            let outcome = response.outcome(now);
            if response.status == 200 {
                return Some(outcome);
            }
            match next_retry(self.experiment, attempt, now, request, response.retry_after_s) {
                Some(at) => self.clock.sleep_until(at),
                None => return Some(outcome),
            }
        }
        None
    }

    fn attempt(
        &mut self,
        request: &PlannedRequest,
        class: &ClassModel,
        attempt: u32,
    ) -> Option<AttemptResponse> {
        let left_s = time_left_s(request, class, self.clock.now());
        let bytes = request_bytes(request, class, attempt, left_s);
        // The worker may have closed an idle persistent connection: retry once on a new one, as routers do.
        for new_connection in [false, true] {
            if new_connection || self.connection.is_none() {
                let stream = TcpStream::connect(self.address).ok()?;
                let _ = stream.set_nodelay(true);
                self.connection = Some(BufReader::new(stream));
            }
            let reader = self.connection.as_mut()?;
            let timeout = Duration::from_secs_f64(left_s + RESPONSE_GRACE_S);
            let _ = reader.get_ref().set_read_timeout(Some(timeout));
            if reader.get_mut().write_all(&bytes).is_err() {
                continue;
            }
            match reader.fill_buf() {
                Ok([]) => continue,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => continue,
                _ => {}
            }
            let Some((head, body)) = read_message(reader) else { break };
            if header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
                self.connection = None;
            }
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let advice_ms: f64 = header(&head, "x-pushback-ms").and_then(|v| v.parse().ok()).unwrap_or(0.0);
            let degraded = body == b"poor";
            return Some(AttemptResponse { status, retry_after_s: advice_ms / 1000.0, degraded });
        }
        self.connection = None;
        None
    }
}

fn request_bytes(request: &PlannedRequest, class: &ClassModel, attempt: u32, left_s: f64) -> Vec<u8> {
    let body = request.work.body();
    let fields = platform_header_lines(request, class, attempt, left_s);
    let head = format!(
        "POST /do/{} HTTP/1.1\r\nHost: lab\r\n{fields}Content-Length: {}\r\n\r\n",
        class.name,
        body.len()
    );
    [head.as_bytes(), &body].concat()
}
