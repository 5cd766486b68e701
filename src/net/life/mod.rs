//! The process itself: the operators' calls, leaving, reloading, and being replaced.

pub mod console;
pub(in crate::net) mod fleet;
pub mod handover;
pub(in crate::net) mod leaving;
pub(in crate::net) mod operating;
pub(in crate::net) mod reloading;
pub(in crate::net) mod replacing;
pub(in crate::net) mod words;
