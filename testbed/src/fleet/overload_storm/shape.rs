//! What a storm is made of.

use crate::experiment::Slow;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How many workers there are.
    pub workers: usize,
    /// How many zones they are in, by turns.
    pub zones: usize,
    /// What is asked of each worker, as a share of its cores.
    pub load: f64,
    /// How long requests arrive (seconds).
    pub length_s: f64,
    /// Times at which the service is slower by so many times.
    pub slow: Vec<Slow>,
    /// Times at which every call fails at once.
    pub down: Vec<Slow>,
    /// Calls in flight at which the service begins to slow, for each worker.
    pub slots_each: f64,
    /// Retries of a client at most.
    pub retries: u32,
    /// The share of routers that ignore all advice and bounds.
    pub reckless: f64,
    /// What the fleet does.
    pub mode: FleetMode,
    /// How old digests are when they come (seconds).
    pub late_s: f64,
}

/// What the fleet does in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMode {
    /// Every worker alone, as without `[fleet.overload]`.
    Independent,
    /// Overload is handled by the fleet as one.
    Coordinated,
    /// No coordinator ever answers.
    Leaderless,
    /// One worker reports nonsense.
    Outlier,
    /// Every worker hears its first digest again and again, with a fresh stamp.
    Stale,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            workers: 20,
            zones: 2,
            load: 0.8,
            length_s: 30.0,
            slow: Vec::new(),
            down: Vec::new(),
            slots_each: 4.0,
            retries: 3,
            reckless: 0.2,
            mode: FleetMode::Coordinated,
            late_s: 0.01,
        }
    }
}
