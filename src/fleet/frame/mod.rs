//! The protocol between port workers, operators' commands and coordinators: [`messages`] and their framing ([`codec`]).
//!
//! Unknown message kinds and keys are ignored, so that different versions are compatible; [`VERSION`] states which further
//! features a program supports. Operators' commands connect to the same port as workers.

pub mod codec;
pub mod messages;

pub use codec::{decode, encode, FrameError};
pub use messages::{
    is_valid_name, AgedCounters, CallOutcome, ClientMessage, Counters, FleetTotals, LeaseRef, OperatorQuery,
    RenewedLease, ServerMessage, MAX_CLIENT_FRAME_BYTES, MAX_NAME_BYTES, MAX_SERVER_FRAME_BYTES, MAX_TASKS,
    VERSION,
};

#[cfg(test)]
mod tests;
