//! Lifecycle of the process: the operators' console, reload, graceful shutdown, hot restart and fleet membership.

pub mod console;
pub(in crate::net) mod fleet;
pub(in crate::net) mod hot_restart;
pub(in crate::net) mod operator_commands;
pub(in crate::net) mod reload;
pub(in crate::net) mod shutdown;
