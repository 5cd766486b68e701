//! Race conditions: each test forces two events to meet, on real processes and sockets. The table of them stands in
//! `docs/design/08-crossings.md`.
//!
//! A worker that is stopped by SIGSTOP handles nothing: what reaches it meanwhile, it finds in one turn of its loop.

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

/// Lets so much time pass while the worker is stopped: past the end of the timeout that is the test's subject.
fn let_pass(time: Duration) {
    std::thread::sleep(time);
}

/// How a connection ended, after what was still received.
#[derive(Debug, PartialEq)]
enum End {
    Closed,
    Reset,
}

fn end_of(client: &mut Client) -> End {
    let mut bytes = [0; 4096];
    loop {
        match client.reader.read(&mut bytes) {
            Ok(0) => return End::Closed,
            Ok(_) => {}
            // The system interrupts such a wait where this process was stopped for a moment.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return End::Reset,
            Err(e) => panic!("neither a close nor a reset: {e}"),
        }
    }
}

/// Waits until nothing listens there any more.
fn wait_refused(address: SocketAddr) {
    let until = Instant::now() + TIMEOUT;
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < until, "it goes on listening");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A site with this grace and this time from the shutdown notice to the stop.
fn start_with_shutdown(grace_s: f64, stop_ms: u64) -> WorkerUnderTest {
    WORKER.start_with(
        |c| {
            c["settings"]["contract"]["drainGraceS"] = json!(grace_s);
            c["stop_ms"] = json!(stop_ms);
        },
        None,
    )
}

/// Starts a run of this class on a connection of its own.
fn start_run(worker: &WorkerUnderTest, executor: &mut Executor, ask: &RequestBuilder) -> (Client, Value) {
    let mut client = Client::connect(worker.http);
    client.send(ask);
    (client, executor.expect_command("EXEC")["job"].clone())
}

/// Ends a run successfully and checks that its caller gets the result.
fn finish_run(executor: &mut Executor, job: &Value, client: &mut Client) {
    executor.send_exit(job, "PASS", "done");
    let reply = client.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"done"[..]), "{}", reply.head);
}
