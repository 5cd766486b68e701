//! The coordinators of a fleet: sessions, leases and periods of tasks in a replicated log.
//! `docs/design/05-leases.md` has the reasons.
//!
//! [`state_machine`] is the replicated state, [`replica`] one member of the quorum, [`leader_state`] what a leader does
//! beside the log, [`lease_clock`] how it counts leases' time, and [`coordinator`] all of it as one machine without I/O.
//! [`net`] puts sockets, a disk and a clock around it, and [`events`] is what coordinators report in the log. [`client`]
//! sends operators' queries, and [`config`] reads a coordinator's file.

pub mod client;
pub mod config;
pub mod coordinator;
pub mod events;
pub mod ids;
pub mod leader_state;
pub mod lease_clock;
pub mod net;
pub mod replica;
pub mod state_machine;
