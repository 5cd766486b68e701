//! What the worker speaks to: where runs go, calls below, reports, the directory of tenants.

pub mod ajp;
pub mod ajp_backend;
pub mod directory;
pub mod executor;
pub mod fleet;
pub mod records;
pub mod registry;
