//! What the worker speaks to: where runs go, calls below, reports, the directory of tenants.

pub mod ajp_backend;
pub mod ajp_codec;
pub mod coordinator_link;
pub mod directory;
pub mod executor;
pub mod records;
pub mod registry;

mod set;

pub use set::Upstreams;
