//! Admission control: which requests are admitted, when they run, and which are rejected.
//!
//! [`Controller`] handles one event at a time and calls its components in order. Each component is a type in a file of
//! its own, which owns its state:
//!
//! | file | component |
//! | --- | --- |
//! | `request_table`, `request` | requests in progress, queues and counts by state |
//! | `tiers` | priority tiers |
//! | `run_slots`, `run_limit`, `survivable_runs` | the number of concurrent runs, and which request starts next |
//! | `run_length` | measured run lengths |
//! | `memory` | the memory limit |
//! | `downstream` | downstream calls: limit, time budget and timeouts |
//! | `idempotency` | idempotency keys and their attempts |
//! | `tenant_quotas`, `token_bucket` | tenants' quotas |
//! | `arrival_rates` | arrival rates |
//! | `rejection`, `retry_after` | whether an arrival is rejected, and when its caller may retry |
//! | `health` | this worker's health, and its answer to health checks |
//! | `fleet_overload` | the directives of the fleet's overload control |
//! | `shutdown` | the shutdown notice |
//! | `other_process` | resources that the other process uses during a hot restart |
//! | `published_weight` | the weight that is published to callers |
#![warn(missing_docs)]

mod arrival_rates;
mod baseline;
pub mod controller;
mod downstream;
mod fleet_overload;
mod health;
mod idempotency;
mod memory;
mod other_process;
mod published_weight;
mod rejection;
mod request;
mod request_table;
mod retry_after;
mod run_length;
mod run_limit;
mod run_slots;
mod shutdown;
mod survivable_runs;
mod tenant_quotas;
mod tiers;
mod timing;
mod token_bucket;

pub use controller::Controller;
