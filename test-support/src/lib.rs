//! Shared support code for the port worker's integration tests: a worker process under test, its clients, and scripted
//! peers that stand in for the executor, the records service and the registry.
//!
//! Every wait ends when a condition holds, or fails after [`TIMEOUT`], which is far longer than any wait takes on a slow
//! machine. A failed expectation panics and so fails the test.

mod client;
mod executor;
mod network;
mod program;
mod records;
mod registry;
mod request;
mod settings;
mod shared_listener;
mod timing;
mod worker;

pub use client::{Client, Reply};
pub use executor::{to_base64, Executor};
pub use network::{accept_link, reserve_address};
pub use program::WorkerProgram;
pub use records::RecordsPeer;
pub use registry::RegistryPeer;
pub use request::{unique_request_id, RequestBuilder};
pub use settings::{add_second_tenant, settings};
pub use shared_listener::SharedListener;
pub use timing::{is_log_timestamp, unix_ms, TIMEOUT};
pub use worker::{PreviousPeers, WorkerUnderTest};
