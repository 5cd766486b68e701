//! A complete fleet in virtual time, round the coordinators' and the workers' own code: drifting clocks, links that lose,
//! double and reorder frames, disks that fail and lose power, processes that are paused, die and come back. A seed is a
//! run.
//!
//! `review` stands outside and sees true time: whether two workers believe at one moment that they hold a task, what
//! the resource that is called accepted, and whether tasks are held again once the faults are over.
//!
//! Dependencies point one way: `process_state`, `links` and `task_record` hold state; `world` joins them with the
//! queue of events; `processes`, `network`, `disks`, `faults` and `review` add what happens to the world;
//! `event_loop` plays a run, and `campaign` many.

mod campaign;
mod disks;
mod event_loop;
mod faults;
mod links;
mod names;
mod network;
mod process_state;
mod processes;
mod review;
mod shape;
mod task_record;
mod verdict;
mod world;

pub use campaign::{campaign, CampaignSummary};
pub use event_loop::play;
pub use shape::{Scenario, Weakness};
pub use verdict::Verdict;
