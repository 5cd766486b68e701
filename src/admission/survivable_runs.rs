//! The number of concurrent runs that this machine survives for certain; it is lower while the worker warms up.

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::Settings;

/// At most this share of the survivable runs is used.
const MAX_SHARE: f64 = 0.8;

/// The survivable runs of the machine that the settings describe.
pub(super) struct SurvivableRuns {
    cores: f64,
    /// Runs per core that a warm worker survives, beyond the first.
    extra_per_core: f64,
    warm_up: Option<WarmUp>,
}

/// The reduced speed of a cold worker after its start.
struct WarmUp {
    started_at: f64,
    /// The share of its full speed that it has at the start.
    cold_speed: f64,
    duration_s: f64,
}

impl WarmUp {
    /// The share of its full speed that the worker has for certain.
    fn speed(&self, now: f64) -> f64 {
        let warmed_up = (now - self.started_at) / self.duration_s;
        (self.cold_speed + (1.0 - self.cold_speed) * warmed_up).min(1.0)
    }
}

impl SurvivableRuns {
    pub(super) fn new(settings: &Settings, now: f64) -> Self {
        let warm_up = || WarmUp {
            started_at: now,
            cold_speed: settings.cold_speed.clamp(0.0, 1.0),
            duration_s: settings.warm_up_s.max(SWEEP_INTERVAL_S),
        };
        SurvivableRuns {
            cores: f64::from(settings.cores.max(1)),
            extra_per_core: (settings.survivable_multiple - 1.0).max(0.0),
            warm_up: settings.cold.then(warm_up),
        }
    }

    /// The number of runs that the machine survives at this time. Runs that make or wait for downstream calls count,
    /// since they return to the cores.
    pub(super) fn at(&self, now: f64) -> usize {
        let speed = self.warm_up.as_ref().map_or(1.0, |warm_up| warm_up.speed(now));
        let runs = self.cores * (1.0 + self.extra_per_core * speed);
        (runs * MAX_SHARE).floor().max(1.0) as usize
    }
}
