//! Parameters of an overload experiment.

use crate::experiment::Slowdown;

/// Parameters of an overload experiment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of workers.
    pub workers: usize,
    /// Number of zones, to which the workers are assigned in turn.
    pub zones: usize,
    /// Offered load per worker, as a fraction of its cores.
    pub load: f64,
    /// Time during which requests arrive (seconds).
    pub length_s: f64,
    /// Intervals in which the service is slower by the given factor.
    pub slow: Vec<Slowdown>,
    /// Intervals in which every call fails immediately.
    pub down: Vec<Slowdown>,
    /// Calls in flight per worker above which the service slows down.
    pub slots_per_worker: f64,
    /// Largest number of retries that a client makes.
    pub max_retries: u32,
    /// Fraction of requests whose router ignores Retry-After advice and the limit on retries.
    pub share_ignoring_advice: f64,
    /// Mode of overload control.
    pub mode: FleetMode,
    /// Time from a load report to the arrival of its digest (seconds).
    pub digest_delay_s: f64,
}

/// Mode of overload control; the last three modes have a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMode {
    /// Every worker decides alone, as without `[fleet.overload]`.
    Independent,
    /// Fleet-wide overload control.
    Coordinated,
    /// Fleet-wide overload control, but no coordinator ever responds.
    Leaderless,
    /// One worker sends load reports with implausible values.
    Outlier,
    /// Every worker receives its first digest repeatedly, under a current number.
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
            slots_per_worker: 4.0,
            max_retries: 3,
            share_ignoring_advice: 0.2,
            mode: FleetMode::Coordinated,
            digest_delay_s: 0.01,
        }
    }
}
