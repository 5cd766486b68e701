//! How many runs at once this machine survives for certain: fewer while it warms up.

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::Settings;

/// The share of the survivable runs that is used at most.
const MAX_SHARE: f64 = 0.8;

/// The survivable limit, as the settings describe the machine.
pub(super) struct SurvivableRuns {
    cores: f64,
    /// Runs for each core that a warm worker survives, beyond the first.
    extra_per_core: f64,
    warm_up: Option<WarmUp>,
}

/// The slow start of a cold worker.
struct WarmUp {
    started_at: f64,
    /// The share of its speed that it has at the start.
    cold_speed: f64,
    duration_s: f64,
}

impl WarmUp {
    /// The share of its speed that the worker has for certain.
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

    /// Runs on the cores, or back to them, that are survived for certain.
    pub(super) fn at(&self, now: f64) -> usize {
        let speed = self.warm_up.as_ref().map_or(1.0, |warm_up| warm_up.speed(now));
        let runs = self.cores * (1.0 + self.extra_per_core * speed);
        (runs * MAX_SHARE).floor().max(1.0) as usize
    }
}
