//! Sockets and time as the loop sees them: readiness and the budget of descriptors, buffered connections, idle
//! connections to upstreams, timers.

#![warn(missing_docs)]

pub mod buffer;
pub mod idle_pool;
pub mod poll;
pub mod source;
pub mod timer_wheel;
