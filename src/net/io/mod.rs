//! What every peer and front stands on: descriptors and their budget, buffers, kept connections, timers.

pub mod buffer;
pub mod idle_pool;
pub mod poll;
pub mod timer_wheel;
