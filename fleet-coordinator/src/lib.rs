//! The coordinators of a fleet: they replicate sessions, task leases and task periods through a Raft log.
//! `docs/design/05-leases.md` explains the design.
//!
//! [`state_machine`] is the replicated state, [`replica`] one member of the quorum, [`leader_state`] the leader's
//! unreplicated state, and [`lease_clock`] its lease expiry tracking. [`coordinator`] combines them without I/O; [`net`]
//! adds sockets, a disk and a clock. [`events`] defines the events that coordinators log, [`client`] sends operators'
//! queries, and [`config`] reads a coordinator's configuration file.

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
