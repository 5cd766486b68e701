//! Callers over HTTP/2: the same requests at the same times as over HTTP/1.1, with up to a given number of concurrent
//! streams on each connection.

use super::attempt::{platform_fields, time_left_s, AttemptResponse, RESPONSE_GRACE_S};
use super::{Clock, RequestOutcomes};
use crate::callers::{next_retry, PlannedRequest};
use crate::experiment::Experiment;
use crate::measure::RequestOutcome;
use crate::sync::lock;
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// A connection and the number of its open streams.
struct Connection {
    send: SendRequest<Bytes>,
    open_streams: usize,
}

/// Starts the callers on a thread of their own, which ends when all requests have ended.
pub(super) fn start(
    experiment: &Experiment,
    requests: &Arc<Vec<PlannedRequest>>,
    clock: Clock,
    address: SocketAddr,
    max_streams: usize,
    outcomes: &RequestOutcomes,
) -> thread::JoinHandle<()> {
    let (experiment, requests, outcomes) = (experiment.clone(), requests.clone(), outcomes.clone());
    thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let callers =
                Rc::new(Callers { experiment, clock, address, max_streams, connections: RefCell::default() });
            let mut tasks = Vec::new();
            for number in 0..requests.len() {
                let left = requests[number].at - clock.now();
                if left > 0.0 {
                    sleep(Duration::from_secs_f64(left)).await;
                }
                let (callers, requests, outcomes) = (callers.clone(), requests.clone(), outcomes.clone());
                tasks.push(spawn_local(async move {
                    let outcome = callers.send_with_retries(&requests[number]).await;
                    lock(&outcomes)[number] = outcome;
                }));
            }
            for task in tasks {
                let _ = task.await;
            }
        });
    })
}

/// All callers and the connections that they share.
struct Callers {
    experiment: Experiment,
    clock: Clock,
    address: SocketAddr,
    /// The maximum number of concurrent streams on a connection.
    max_streams: usize,
    connections: RefCell<Vec<Rc<RefCell<Connection>>>>,
}

impl Callers {
    /// Sends a request with all its attempts; `None` if an attempt received no response in time.
    async fn send_with_retries(&self, request: &PlannedRequest) -> Option<RequestOutcome> {
        for attempt in 1.. {
            let response = self.attempt(request, attempt).await?;
            let now = self.clock.now();
            let outcome = response.outcome(now);
            if response.status == 200 {
                return Some(outcome);
            }
            match next_retry(&self.experiment, attempt, now, request, response.retry_after_s) {
                Some(at) => sleep(Duration::from_secs_f64((at - now).max(0.0))).await,
                None => return Some(outcome),
            }
        }
        None
    }

    /// Reserves a stream on a connection that has capacity, or on a new one if none has.
    async fn connection(&self) -> Option<Rc<RefCell<Connection>>> {
        let available =
            self.connections.borrow().iter().find(|c| c.borrow().open_streams < self.max_streams).cloned();
        if let Some(available) = available {
            available.borrow_mut().open_streams += 1;
            return Some(available);
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (send, driver) = h2::client::handshake(stream).await.ok()?;
        spawn_local(async move { drop(driver.await) });
        let new = Rc::new(RefCell::new(Connection { send, open_streams: 1 }));
        self.connections.borrow_mut().push(new.clone());
        Some(new)
    }

    async fn attempt(&self, request: &PlannedRequest, attempt: u32) -> Option<AttemptResponse> {
        let class = &self.experiment.class[request.class];
        let left_s = time_left_s(request, class, self.clock.now());
        let connection = self.connection().await?;
        let fields = platform_fields(request, class, attempt, left_s);
        let exchange = async {
            let send = connection.borrow().send.clone();
            exchange(send, &class.name, fields, request.work.body()).await
        };
        let response = timeout(Duration::from_secs_f64(left_s + RESPONSE_GRACE_S), exchange).await;
        connection.borrow_mut().open_streams -= 1;
        let response = response.ok().flatten();
        if response.is_none() {
            // The connection may be broken, so it is not used again.
            self.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &connection));
        }
        response
    }
}

/// Sends one request on a new stream and reads the response.
async fn exchange(
    send: SendRequest<Bytes>,
    class: &str,
    fields: Vec<(&'static str, String)>,
    body: Vec<u8>,
) -> Option<AttemptResponse> {
    let mut request = http::Request::builder().method("POST").uri(format!("http://lab/do/{class}"));
    for (name, value) in fields {
        request = request.header(name, value);
    }
    let mut send = send.ready().await.ok()?;
    let (response, mut stream) = send.send_request(request.body(()).ok()?, false).ok()?;
    stream.send_data(Bytes::from(body), true).ok()?;
    let response = response.await.ok()?;
    let status = response.status().as_u16();
    let advice_ms =
        response.headers().get("x-pushback-ms").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let (mut stream, mut result) = (response.into_body(), Vec::new());
    while let Some(data) = stream.data().await {
        let data = data.ok()?;
        let _ = stream.flow_control().release_capacity(data.len());
        result.extend_from_slice(&data);
    }
    let degraded = result == b"poor";
    Some(AttemptResponse { status, retry_after_s: advice_ms.unwrap_or(0.0) / 1000.0, degraded })
}
