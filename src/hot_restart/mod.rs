//! Hot restart: replacing a process under load. This module decides, without I/O, which process owns the listeners.
//!
//! [`ListenerOwnership`] is the state machine of one process in both of its roles: first as the successor of another
//! process, then as the predecessor of the next. It takes [`Event`]s and returns [`Effect`]s in the order in which they must
//! be carried out. It guarantees that at most one of two connected processes owns the listeners, and that a request handed
//! off between them is processed by exactly one of them. `docs/design/04-replacement.md` gives the reasons.
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
