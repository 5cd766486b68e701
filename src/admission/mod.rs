//! Admission control: which requests are admitted, when they run, and which are rejected.
//!
//! The decisions stand in [`controller`] and the files below it that `deploy/balancer.toml` lists. The other
//! files measure or keep records, and decide nothing.
#![warn(missing_docs)]

mod arrival_rates;
mod call_length;
pub mod controller;
mod health_signals;
mod idempotency;
mod request;
mod request_table;
mod run_length;
mod tenant_usage;
mod token_bucket;

pub use controller::Controller;
