//! I/O primitives of the event loop: readiness and the descriptor budget, buffered connections, pools of idle
//! connections to upstreams, and timers.

#![warn(missing_docs)]

pub mod buffer;
pub mod idle_pool;
pub mod poll;
pub mod source;
pub mod timer_wheel;
