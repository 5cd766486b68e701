//! Regression tests of the admission controller: one for each failure that was found under load, and one for each rule
//! at its boundary. The comment of a test describes the failure that it guards against.

mod deadlines;
mod downstream_calls;
mod full_fleet;
mod harness;
mod health;
mod idempotency;
mod resources;
mod scheduling;
mod shutdown;
mod tenants;
