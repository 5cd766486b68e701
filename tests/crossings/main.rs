//! Race conditions: each test forces two events to coincide, on real processes and sockets.
//! `docs/design/08-crossings.md` lists them.
//!
//! A worker stopped by SIGSTOP processes nothing: it finds all input that arrived meanwhile in one turn of its event
//! loop.

mod closing;
mod downstream;
mod keys;
mod shutdown;

use serde_json::{json, Value};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use test_support::{
    to_base64, unique_request_id, unix_ms, Client, Executor, RegistryPeer, Reply, RequestBuilder,
    SharedListener, WorkerProgram, WorkerUnderTest, TIMEOUT,
};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// Sleeps until the timeout under test has expired.
fn sleep_past(timeout: Duration) {
    std::thread::sleep(timeout);
}

/// How the worker ended a connection.
#[derive(Debug, PartialEq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Reads and discards what is still received, up to the end of the connection.
fn connection_end(client: &mut Client) -> ConnectionEnd {
    let mut bytes = [0; 4096];
    loop {
        match client.reader.read(&mut bytes) {
            Ok(0) => return ConnectionEnd::Closed,
            Ok(_) => {}
            // A blocking read is interrupted when this process itself is stopped and continued.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return ConnectionEnd::Reset,
            Err(e) => panic!("expected a close or a reset of the connection, got: {e}"),
        }
    }
}

/// Waits until connections to this address are refused.
fn wait_listener_closed(address: SocketAddr) {
    let until = Instant::now() + TIMEOUT;
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < until, "{address} still accepts connections after {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Starts a worker with this shutdown grace and this time from the shutdown notice to its forced stop.
fn start_with_shutdown(grace_s: f64, stop_ms: u64) -> WorkerUnderTest {
    WORKER.start_with(
        |c| {
            c["settings"]["contract"]["drainGraceS"] = json!(grace_s);
            c["stop_ms"] = json!(stop_ms);
        },
        None,
    )
}

/// Starts a run of this request on a connection of its own; returns the connection and the executor's job.
fn start_run(worker: &WorkerUnderTest, executor: &mut Executor, request: &RequestBuilder) -> (Client, Value) {
    let mut client = Client::connect(worker.http);
    client.send(request);
    (client, executor.expect_command("EXEC")["job"].clone())
}

/// Ends a run successfully and asserts that its caller gets the result.
fn finish_run(executor: &mut Executor, job: &Value, client: &mut Client) {
    executor.send_exit(job, "PASS", "done");
    let reply = client.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"done"[..]), "{}", reply.head);
}
