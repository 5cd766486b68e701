//! The HTTP/2 front over loopback, against a peer that speaks frames byte by byte.

mod conformance;
mod peer;
mod stories;

use test_support::WorkerProgram;

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));
