//! A whole fleet in virtual time, round the coordinators' and the workers' own code: drifting clocks, links that lose,
//! double and reorder, disks that fail and lose power, processes that stop, die and come back. A seed is a run.
//!
//! [`judge`] stands outside and sees true time: whether two workers believe at one moment that they hold a task, what
//! the resource that is called accepted, and whether tasks are held again once the faults are over.
//!
//! [`world`] holds the state and the queue of events; the other modules add what happens to the [`processes`], on the
//! [`network`] and on the [`disks`], and the [`faults`] that are injected. [`campaign`] plays many seeds.

mod campaign;
mod disks;
mod faults;
mod judge;
mod network;
mod processes;
mod world;

pub use campaign::{campaign, CampaignSummary};

use world::World;

/// What is played.
#[derive(Clone, Debug)]
pub struct Shape {
    /// How many coordinators the fleet has.
    pub coordinators: usize,
    /// How many workers the fleet has.
    pub workers: usize,
    /// How many tasks the workers compete for.
    pub tasks: usize,
    /// How long faults come (seconds).
    pub faults_s: f64,
    /// How long the fleet has after the faults (seconds).
    pub quiet_s: f64,
    /// Mean time between two faults (seconds).
    pub fault_every_s: f64,
    /// How long a lease lasts (milliseconds).
    pub ttl_ms: u64,
    /// How far each clock may run from true time, as a share.
    pub clock_drift: f64,
    /// The guard that is taken away.
    pub weak: Weakness,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            coordinators: 3,
            workers: 6,
            tasks: 3,
            faults_s: 40.0,
            quiet_s: 30.0,
            fault_every_s: 1.0,
            ttl_ms: 3000,
            clock_drift: 0.05,
            weak: Weakness::None,
        }
    }
}

/// The guard that is taken away, to see that the judge finds it missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// All guards stand.
    None,
    /// Holders use the whole of a lease, as if clocks never ran apart.
    NoDriftBound,
    /// A new leader frees leases that it has not seen renewed.
    NoWholeTtl,
    /// Renewals are answered without asking a quorum.
    NoConfirm,
    /// The resource that is called takes every token.
    NoFencing,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// A line for each guarantee that was broken, with its time.
    pub violations: Vec<String>,
    /// Calls that the resource accepted.
    pub accepted: u64,
    /// Calls that the resource rejected.
    pub refused: u64,
    /// How often a coordinator became the leader.
    pub leaders: u64,
    /// How often a lease was granted.
    pub grants: u64,
    /// How long a task was held by nobody, each time (seconds).
    pub gaps_s: Vec<f64>,
    /// Disks that were lost for good.
    pub lost_disks: u64,
    /// A line for each fault.
    pub faults: Vec<String>,
    /// A digest of all that happened: the same seed gives the same.
    pub digest: u64,
}

/// Plays one seed.
pub fn play(shape: &Shape, seed: u64) -> Verdict {
    let mut world = World::new(shape, seed);
    world.run();
    world.verdict
}
