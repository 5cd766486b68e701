//! How many runs at once the executor is worth: a limit that follows measured throughput.
//!
//! Little's law in slots: over a review window, `N` runs were on the cores in the mean, and those that ended
//! took
//! `slowdown` times their baseline length; so the cores did the work of `N / slowdown` slots at full speed. That
//! rate, smoothed, is the capacity; the limit is the capacity and a little more, so that a rise can show (TCP
//! Vegas' alpha; Brakmo and Peterson 1995). The baseline length of a class is measured only without
//! contention, that is while no more runs than the lower bound of the limit are on the cores, or by runs that
//! are shorter still. Where that does not happen by itself for four windows, the limit goes under its lower
//! bound for a calibration. A windowed minimum over noisy lengths would take all contention for a gain
//! (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than their number explains mean that the executor has slowed: the limit falls to its
//! lower bound at once, what was learned of the capacity is kept, and the limit doubles its way back when
//! runs are as long as their baseline again.

mod baseline;
mod calibration;
mod window;

pub use window::Measured;

use crate::interface::PoolLimitCause;
use baseline::{Baselines, BASELINE_RUNS};
use calibration::{Calibration, Phase};
use window::ReviewWindow;

/// Slots above the measured capacity, as a part of it and at least, in which a rise can show.
const HEADROOM_SHARE: f64 = 0.2;
const MIN_HEADROOM: f64 = 1.25;
/// Runs shorter than their baseline count down to this: cut off at 1, the noise of a window would always be a
/// loss, and the limit would stay a slot or two above its lower bound.
const MIN_SLOWDOWN: f64 = 0.75;
/// The capacity follows the rate of a window by this share.
const CAPACITY_GAIN: f64 = 0.3;
/// A slowdown smoothed by this share a window that comes under this part of 1 proves the baselines too long,
/// whatever the contention. One window is noise (a sixth of the mean for sixteen runs), and would make them
/// sink for good.
const SLOWDOWN_GAIN: f64 = 0.4;
const MIN_SMOOTHED_SLOWDOWN: f64 = 0.82;
/// The window of a calibration takes so many times the samples.
const CALIBRATION_SAMPLES: f64 = 2.0;
/// The first calibration comes after so many contended reviews.
const FIRST_CALIBRATION_REVIEWS: f64 = 3.0;
/// Further ones come after so many windows with contention: each costs up to two seconds of few runs.
const CALIBRATION_WINDOWS: f64 = 4.0;
/// A calibration goes down to this part of the lower bound at most.
const MIN_CALIBRATION_SHARE: f64 = 0.5;
/// A window ends without enough samples after so many times its length.
const MAX_REVIEWS_WITHOUT_SAMPLES: f64 = 4.0;
/// The limit counts as reached in a window when it was so for this share of it.
const LIMIT_REACHED_SHARE: f64 = 0.5;
/// The lengths of a slowed executor become its baselines after so many windows.
const SLOW_WINDOWS: f64 = 2.0;
/// A window is uncontended with so many runs more than the lower bound on the cores, in the mean.
const UNCONTENDED_MARGIN: f64 = 0.5;

/// Bounds and pace of the limit; see [`crate::interface::PoolPlan`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Lower bound of the limit.
    pub min_slots: usize,
    /// Upper bound of the limit.
    pub max_slots: usize,
    /// How long measurements are believed (seconds).
    pub window_s: f64,
    /// How often the limit is reviewed (seconds).
    pub review_s: f64,
    /// Ended runs that a review needs.
    pub min_samples: f64,
    /// Runs that take so many times what their number explains mean that the executor has slowed.
    pub slow_ratio: f64,
}

/// What a closed window says.
#[derive(Clone, Copy)]
struct Verdict {
    /// Enough runs have ended to go by.
    enough_samples: bool,
    on_cores: f64,
    slowdown: f64,
    /// Runs take longer than their number explains.
    slow: bool,
    limit_reached: bool,
    uncontended: bool,
}

/// The limit on runs on the cores, and all it stands on.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    settings: LimitSettings,
    slots: usize,
    cause: PoolLimitCause,
    /// Slots at full speed that the executor is worth.
    capacity: f64,
    baselines: Baselines,
    window: ReviewWindow,
    measured: Measured,
    /// For how long runs have been slow (seconds).
    slow_for_s: Option<f64>,
    /// On the way back after a slow time.
    recovering: bool,
    /// Time since a window without contention (seconds).
    contended_s: f64,
    /// Samples that windows without contention have had.
    uncontended_samples: f64,
    /// Runs above the limit in the last window: they came back from downstream calls.
    above_limit: f64,
    calibration: Option<Calibration>,
    smoothed_slowdown: f64,
    /// The runs that are survived for certain, as last told: they change while the executor warms up.
    survivable_runs: usize,
}

impl SlotLimit {
    /// Starts at the lower bound; `lengths_s` are first guesses of the classes' run lengths (seconds).
    #[must_use]
    pub fn new(settings: LimitSettings, lengths_s: &[f64]) -> SlotLimit {
        SlotLimit {
            settings,
            slots: settings.min_slots,
            cause: PoolLimitCause::Start,
            capacity: settings.min_slots as f64,
            baselines: Baselines::new(lengths_s),
            window: ReviewWindow::new(lengths_s.len()),
            measured: Measured::default(),
            slow_for_s: None,
            recovering: false,
            contended_s: 0.0,
            uncontended_samples: 0.0,
            above_limit: 0.0,
            calibration: None,
            smoothed_slowdown: 1.0,
            survivable_runs: 0,
        }
    }

    /// The limit.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// What set the limit.
    #[must_use]
    pub fn cause(&self) -> PoolLimitCause {
        self.cause
    }

    /// Slots at full speed that the executor is worth.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The figures of the last window.
    #[must_use]
    pub fn measured(&self) -> Measured {
        self.measured
    }

    /// The baseline length of a run of this class (seconds).
    #[must_use]
    pub fn baseline_s(&self, class: usize) -> f64 {
        self.baselines.get(class).map_or(1.0, |baseline| baseline.length_s)
    }

    /// New bounds: what was learned stays.
    pub fn set_settings(&mut self, settings: LimitSettings, survivable_runs: usize) {
        self.settings = settings;
        let slots = self.calibration.take().map_or(self.slots, |calibration| calibration.resume_limit);
        self.set(slots, PoolLimitCause::Reload, survivable_runs);
    }

    /// Time passes with so many runs on the cores; `limit_reached` says that more would run if the limit let
    /// them.
    pub fn advance(&mut self, elapsed_s: f64, on_cores: usize, limit_reached: bool) {
        self.window.advance(elapsed_s, on_cores, limit_reached);
    }

    /// A run of this class has ended after so long on the cores, its time at calls apart (seconds).
    pub fn run_ended(&mut self, class: usize, length_s: f64) {
        if let Some(baseline) = self.baselines.get(class) {
            self.window.run_ended(class, length_s, baseline);
        }
    }

    /// Reviews the limit; whether it has changed. `survivable_runs` is what the executor survives for
    /// certain.
    pub fn review(&mut self, on_cores: usize, survivable_runs: usize) -> bool {
        let before = self.slots;
        if survivable_runs != self.survivable_runs {
            // The executor warms up, so that run lengths change: baselines are measured again and again.
            self.survivable_runs = survivable_runs;
            self.uncontended_samples = 0.0;
        }
        if self.window.span_s >= self.settings.review_s / 2.0 && self.is_stuck(on_cores) {
            self.slow_down(survivable_runs);
        } else if self.calibration.is_some_and(|calibration| calibration.phase != Phase::Measuring) {
            self.advance_calibration(on_cores);
        } else {
            self.review_window(survivable_runs);
        }
        self.slots != before
    }

    fn review_window(&mut self, survivable_runs: usize) {
        let LimitSettings { review_s, min_samples, .. } = self.settings;
        let samples = min_samples * if self.calibration.is_some() { CALIBRATION_SAMPLES } else { 1.0 };
        let enough_samples = self.window.effective_samples() >= samples;
        let overdue = self.window.span_s >= review_s * MAX_REVIEWS_WITHOUT_SAMPLES;
        if self.window.span_s >= review_s && (enough_samples || overdue) {
            self.close_window(enough_samples, survivable_runs);
        } else {
            // The runs that are survived change by themselves while the executor warms up.
            self.set(self.slots, self.cause, survivable_runs);
        }
    }

    fn advance_calibration(&mut self, on_cores: usize) {
        let span_s = self.window.span_s;
        let mean_run_s = self.baselines.mean_s();
        self.next_window();
        let Some(calibration) = &mut self.calibration else { return };
        let drained = on_cores <= self.settings.min_slots;
        calibration.advance(span_s, drained, mean_run_s, self.settings.review_s);
    }

    /// Whether what ran in this window took far more than all that ended and all that runs would take:
    /// nothing ends. Guards against a tenfold slow-down, in which the first end would come seconds late.
    fn is_stuck(&self, on_cores: usize) -> bool {
        let mean_run_s = self.baselines.mean_s();
        let explained_s = self.window.ended_baseline_s + on_cores as f64 * mean_run_s;
        let slow_s = self.settings.slow_ratio * self.expected_slowdown(on_cores as f64) * explained_s;
        self.window.core_time_s > slow_s + self.settings.min_samples / 2.0 * mean_run_s
    }

    /// How many times their baseline runs take with so many on the cores, by the capacity alone.
    fn expected_slowdown(&self, on_cores: f64) -> f64 {
        (on_cores / self.capacity).max(1.0)
    }

    fn slow_down(&mut self, survivable_runs: usize) {
        self.slow_for_s.get_or_insert(0.0);
        self.calibration = None;
        self.publish_measured();
        self.next_window();
        self.set(self.settings.min_slots, PoolLimitCause::Slow, survivable_runs);
    }

    /// Shows the figures of the window in the log and the status.
    fn publish_measured(&mut self) {
        self.measured = self.window.measured().unwrap_or(self.measured);
    }

    fn next_window(&mut self) {
        self.slow_for_s = self.slow_for_s.map(|slow_for_s| slow_for_s + self.window.span_s);
        self.window = ReviewWindow::new(self.window.ended_by_class.len());
    }

    fn close_window(&mut self, enough_samples: bool, survivable_runs: usize) {
        let verdict = self.judge_window(enough_samples);
        self.count_contention(&verdict);
        let slow_lasts = self.slow_for_s.is_some_and(|s| s >= SLOW_WINDOWS * self.settings.window_s);
        self.learn_baselines(&verdict, slow_lasts);
        if let Some(calibration) = self.calibration.take() {
            self.contended_s = 0.0;
            self.next_window();
            return self.set(calibration.resume_limit, calibration.resume_cause, survivable_runs);
        }
        if verdict.limit_reached {
            self.above_limit = (verdict.on_cores - self.slots as f64).max(0.0);
        }
        if verdict.slow && !slow_lasts {
            return self.slow_down(survivable_runs);
        }
        if !enough_samples {
            // An idle worker, or a window that tells nothing. What was learned stays.
            self.publish_measured();
            self.next_window();
            return self.set(self.slots, self.cause, survivable_runs);
        }
        self.follow_rate(&verdict, survivable_runs);
        self.calibrate_if_due(&verdict);
    }

    fn judge_window(&self, enough_samples: bool) -> Verdict {
        let on_cores = self.window.mean_on_cores();
        let slowdown = self.window.slowdown();
        // Of runs that all began at the start, only the short ones have ended in the first window.
        let first = self.cause == PoolLimitCause::Start
            && self.uncontended_samples == 0.0
            && !self.baselines.iter().any(|baseline| baseline.runs > 0.0);
        Verdict {
            enough_samples,
            on_cores,
            slowdown,
            slow: enough_samples && slowdown > self.settings.slow_ratio * self.expected_slowdown(on_cores),
            limit_reached: self.window.limit_reached_s >= LIMIT_REACHED_SHARE * self.window.span_s,
            uncontended: !first && on_cores <= self.settings.min_slots as f64 + UNCONTENDED_MARGIN,
        }
    }

    fn count_contention(&mut self, verdict: &Verdict) {
        if verdict.uncontended {
            let samples = self.uncontended_samples + self.window.effective_samples();
            self.uncontended_samples = samples.min(BASELINE_RUNS);
            self.contended_s = 0.0;
        } else {
            self.contended_s += self.window.span_s;
        }
    }

    fn learn_baselines(&mut self, verdict: &Verdict, slow_lasts: bool) {
        if slow_lasts {
            self.baselines.reopen();
        }
        // A slow time may be over soon: nothing is learned from it until it lasts.
        if self.slow_for_s.is_none() && !verdict.slow || slow_lasts {
            self.baselines.learn(&self.window.ended_by_class, verdict.uncontended);
        }
        if !verdict.enough_samples {
            return;
        }
        self.smoothed_slowdown += (verdict.slowdown - self.smoothed_slowdown) * SLOWDOWN_GAIN;
        if self.smoothed_slowdown < MIN_SMOOTHED_SLOWDOWN {
            self.baselines.scale(self.smoothed_slowdown);
            self.smoothed_slowdown = 1.0;
        }
    }

    /// Sets the limit by the capacity that the window shows.
    fn follow_rate(&mut self, verdict: &Verdict, survivable_runs: usize) {
        let was_slow = self.slow_for_s.take().is_some();
        self.recovering |= was_slow;
        let rate = verdict.on_cores / verdict.slowdown.max(MIN_SLOWDOWN);
        // Where the limit is not reached a low rate says only that little was asked for.
        if rate > self.capacity || verdict.limit_reached && !self.recovering {
            self.capacity += (rate - self.capacity) * CAPACITY_GAIN;
        }
        self.publish_measured();
        self.next_window();
        let headroom = (self.capacity * HEADROOM_SHARE).max(MIN_HEADROOM);
        let target = ((self.capacity + headroom).floor() as usize).max(1);
        let doubled = self.slots * 2;
        self.recovering &= target > doubled;
        if was_slow || self.recovering {
            self.set(target.min(doubled), PoolLimitCause::Recovery, survivable_runs);
        } else {
            self.set(target, PoolLimitCause::Rate, survivable_runs);
        }
    }

    /// Starts a calibration after a long time of contention. A baseline of few samples may miss by as much as
    /// the headroom: more of them are taken early.
    fn calibrate_if_due(&mut self, verdict: &Verdict) {
        let LimitSettings { min_slots, min_samples, review_s, window_s, .. } = self.settings;
        let contended_only = self.baselines.iter().any(|b| b.runs >= min_samples && !b.uncontended);
        let unsure = self.uncontended_samples < BASELINE_RUNS || contended_only;
        let due_s =
            if unsure { FIRST_CALIBRATION_REVIEWS * review_s } else { CALIBRATION_WINDOWS * window_s };
        if self.contended_s < due_s || !verdict.limit_reached {
            return;
        }
        let min_slots = min_slots as f64;
        let lowest = (min_slots * MIN_CALIBRATION_SHARE).ceil();
        self.calibration = Some(Calibration::new(self.slots, self.cause));
        self.slots = (min_slots - self.above_limit.ceil()).max(lowest).max(1.0) as usize;
        self.cause = PoolLimitCause::Calibration;
    }

    /// Sets the limit within its bounds; a bound that holds is the cause.
    fn set(&mut self, target: usize, cause: PoolLimitCause, survivable_runs: usize) {
        // A calibration goes under the lower bound, and only its own end ends it.
        if self.calibration.is_some() {
            return;
        }
        let LimitSettings { min_slots, max_slots, .. } = self.settings;
        let upper = max_slots.min(survivable_runs).max(min_slots);
        self.slots = target.clamp(min_slots, upper);
        self.cause = match cause {
            PoolLimitCause::Rate | PoolLimitCause::Recovery | PoolLimitCause::Start if target > upper => {
                match survivable_runs < max_slots {
                    true => PoolLimitCause::SurvivableRuns,
                    false => PoolLimitCause::MaxSlots,
                }
            }
            PoolLimitCause::Rate if target < min_slots => PoolLimitCause::MinSlots,
            cause => cause,
        };
    }
}
