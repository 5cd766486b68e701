//! Adaptive concurrency limit: the number of run slots follows the measured throughput of the executor.
//!
//! By Little's law, if `N` runs were on the cores on average over a review window and the runs that ended took `slowdown`
//! times their baseline length, the executor did the work of `N / slowdown` slots at full speed. The capacity is this rate,
//! smoothed. The limit is the capacity plus some headroom, in which an increase of throughput can show (like alpha of TCP
//! Vegas; Brakmo and Peterson 1995).
//!
//! The baseline run length of a class is measured without contention, that is, while the number of runs on the cores is at
//! most the lower bound of the limit. If runs are shorter than their baselines over several windows, the baselines are
//! shortened. After four measurement windows ([`LimitSettings::window_s`] each) without a review window free of contention,
//! and earlier while the baselines are uncertain, the limit is lowered to its lower bound or below for a calibration. If
//! the baseline were the minimum of the noisy lengths in a window instead, it would rise in a window in which all runs
//! contend, and all contention would count as gained throughput (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than expected for the number of concurrent runs show that the executor has slowed down. The limit
//! then falls to its lower bound immediately and the learned capacity is kept. Once runs take as long as expected again,
//! the limit doubles in each review until it reaches the value that follows from the capacity.

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
