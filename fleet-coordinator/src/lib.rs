//! The coordinators of a fleet: its few hard facts in a replicated log. `docs/design/05-leases.md` has the reasons.
//!
//! [`facts`] is the state machine, [`replica`] one member of the quorum, [`desk`] what a leader does beside the log and
//! [`tenure`] how it counts leases' time there, [`coordinator`] all of it as one machine without I/O; [`net`] puts
//! sockets, a disk and a clock round it.

pub mod client;
pub mod config;
pub mod coordinator;
pub mod leader_state;
pub mod lease_clock;
pub mod net;
pub mod replica;
pub mod state_machine;
