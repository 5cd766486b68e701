//! Deterministic simulation of a whole fleet in virtual time, around the production code of the coordinators and workers:
//! drifting clocks, links that lose, duplicate and reorder frames, disks that fill up or lose unsynced writes, processes
//! that are suspended, killed and restarted. A seed determines a run.
//!
//! `review` checks the run from outside, with access to true time: whether two workers believe at the same moment that
//! they hold a task, which calls the resource accepted, and whether tasks are carried out again after the faults.
//!
//! Dependencies point one way: `process_state`, `links` and `task_record` hold state; `world` combines them with the
//! event queue; `processes`, `network`, `disks`, `faults` and `review` implement what happens to the world;
//! `event_loop` simulates one seed, and `campaign` many.

mod campaign;
mod disks;
mod event_loop;
mod faults;
mod links;
mod names;
mod network;
mod process_state;
mod processes;
mod report;
mod review;
mod scenario;
mod task_record;
mod world;

pub use campaign::{campaign, CampaignSummary};
pub use event_loop::simulate;
pub use report::RunReport;
pub use scenario::{DisabledCheck, Scenario};
