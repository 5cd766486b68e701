//! Hot restart: replacing a process under load. Which process owns the listeners is decided here, without I/O.
//!
//! [`ListenerOwnership`] is the state machine of one process, in both roles: first as the successor of another process,
//! then as the predecessor of the next. It takes [`Event`]s and returns [`Effect`]s in the order in which they are to be
//! carried out. It guarantees that at most one of two connected processes owns the listeners, and that a request which one
//! of them hands off to the other is acted on by exactly one of them. The reasons are in
//! `docs/design/04-replacement.md`.
#![warn(missing_docs)]

pub mod frame;

mod fingerprint_key;
mod indeterminate_keys;
mod messages;
mod ownership;
#[cfg(test)]
mod tests;

pub use fingerprint_key::FingerprintKey;
pub use indeterminate_keys::IndeterminateKeys;
pub use messages::{Effect, Event};
pub use ownership::{ListenerOwnership, PREDECESSOR_TIMEOUT_S};
