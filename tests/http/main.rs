//! Integration tests of the worker over HTTP/1.1, with scripted executor and records service peers on loopback.

mod connections;
mod downstream_calls;
mod executor_link;
mod lifecycle;
mod requests;
mod tenant_keys;

use test_support::WorkerProgram;

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));
