//! The process itself: the operators' calls, leaving, reloading, and being replaced.

pub mod console;
pub(in crate::net) mod fleet;
pub(in crate::net) mod hot_restart;
pub(in crate::net) mod operator_commands;
pub(in crate::net) mod reload;
pub(in crate::net) mod shutdown;
