//! The HTTP/2 front over loopback, against a peer that speaks frames byte by byte.

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

fn starts(executor: &mut Executor, class: &str) -> Value {
    let command = executor.expect_command("EXEC");
    assert_eq!(command["kind"], class, "{command}");
    command["job"].clone()
}
