//! Clients for the services that the worker connects to: executor or AJP servers, records service, registry, tenant
//! directory and coordinators.

pub mod ajp_backend;
pub mod ajp_codec;
pub mod coordinator_link;
pub mod directory;
pub mod executor;
pub mod records;
pub mod registry;

mod set;

pub use set::Upstreams;
