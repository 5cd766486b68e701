//! Integration tests of the HTTP/2 frontend over loopback, with a client that writes individual frames.

mod conformance;
mod keep_alive;
mod limits;
mod peer;
mod requests;
mod shutdown;

use serde_json::Value;
use test_support::{Executor, WorkerProgram};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// Expects the start of a run of this class and returns its job.
fn expect_start(executor: &mut Executor, class: &str) -> Value {
    let command = executor.expect_command("EXEC");
    assert_eq!(command["kind"], class, "{command}");
    command["job"].clone()
}
