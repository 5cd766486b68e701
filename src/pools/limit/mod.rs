//! How many runs at once the executor is worth: a limit that follows measured throughput.
//!
//! Little's law in slots: over a review window, `N` runs were on the cores in the mean, and those that ended took
//! `slowdown` times their baseline length; so the cores did the work of `N / slowdown` slots at full speed. That rate,
//! smoothed, is the capacity; the limit is the capacity and a little more, so that a rise can show (TCP Vegas' alpha;
//! Brakmo and Peterson 1995).
//!
//! The baseline length of a class is measured only without contention, that is while no more runs than the lower bound
//! of the limit are on the cores, or by runs that are shorter still. Where that does not happen by itself for four
//! windows, the limit goes under its lower bound for a calibration. A windowed minimum over noisy lengths would take
//! all contention for a gain (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than their number explains mean that the executor has slowed: the limit falls to its lower
//! bound at once, what was learned of the capacity is kept, and the limit doubles its way back when runs are as long as
//! their baseline again.

mod baseline;
mod calibration;
mod contention;
mod run_totals;
mod settings;
mod slot_limit;
mod verdict;
mod window;

pub use settings::LimitSettings;
pub use slot_limit::SlotLimit;
pub use window::Measured;
