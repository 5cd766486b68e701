//! Adaptive concurrency limit: the number of run slots follows the measured throughput of the executor.
//!
//! By Little's law, if `N` runs were on the cores on average over a review window and the runs that ended took `slowdown`
//! times their baseline length, the executor did the work of `N / slowdown` slots at full speed. The capacity is this rate,
//! smoothed. The limit is the capacity plus some headroom, in which an increase of throughput can show (like alpha of TCP
//! Vegas; Brakmo and Peterson 1995).
//!
//! The baseline run length of a class is measured only without contention, that is while no more runs than the lower bound
//! of the limit are on the cores; runs that are shorter than it over several windows lower it too. If no window without
//! contention has occurred for four windows, the limit is lowered below its lower bound for a calibration. A minimum over a
//! window of noisy lengths would not do: it would count all contention as gained throughput
//! (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than the number of concurrent runs explains show that the executor has slowed down. The limit
//! then falls to its lower bound immediately and the learned capacity is kept. Once runs are as long as their baseline
//! again, the limit doubles in each review until it is back.

mod baseline;
mod calibration;
mod contention;
mod run_totals;
mod settings;
mod slot_limit;
mod window;
mod window_assessment;

pub use settings::LimitSettings;
pub use slot_limit::SlotLimit;
pub use window::Measurements;
