//! What every peer and front stands on: descriptors and their budget, buffers, kept connections, timers.

pub mod buffer;
pub mod poll;
pub mod pool;
pub mod wheel;
