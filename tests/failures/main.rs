//! Regression tests of the admission controller: one for each failure found under load, and each rule at its
//! boundary. Comments tell the failure that a test guards against.

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
