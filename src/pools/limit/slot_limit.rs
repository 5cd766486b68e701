//! The limit, and how each review sets it.

use super::baseline::Baselines;
use super::calibration::{Calibration, Phase};
use super::contention::Contention;
use super::settings::LimitSettings;
use super::verdict::{expected_slowdown, Speed, Verdict};
use super::window::{Measured, ReviewWindow};
use crate::interface::PoolLimitCause;

/// Slots above the measured capacity in which a rise can show, as a share of it.
const HEADROOM_SHARE: f64 = 0.2;
/// The least slots above the measured capacity.
const MIN_HEADROOM: f64 = 1.25;
/// Runs shorter than their baseline count down to this: cut off at 1, the noise of a window would always be a loss, and
/// the limit would stay a slot or two above its lower bound.
const MIN_SLOWDOWN: f64 = 0.75;
/// The capacity follows the rate of a window by this share.
const CAPACITY_GAIN: f64 = 0.3;
/// The window of a calibration takes so many times the samples.
const CALIBRATION_SAMPLES: f64 = 2.0;
/// A calibration goes down to this share of the lower bound at most.
const MIN_CALIBRATION_SHARE: f64 = 0.5;
/// A window ends without enough samples after so many times its length.
const MAX_REVIEWS_WITHOUT_SAMPLES: f64 = 4.0;
/// The lengths of a slowed executor become its baselines after so many windows.
const SLOW_WINDOWS: f64 = 2.0;

/// The limit on runs on the cores, with the measurements that it follows.
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
    contention: Contention,
    /// Runs above the limit in the last window: they came back from downstream calls.
    above_limit: f64,
    calibration: Option<Calibration>,
    /// The runs that are survived for certain, as of the last review: they change while the executor warms up.
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
            contention: Contention::default(),
            above_limit: 0.0,
            calibration: None,
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

    /// The measurements of the last window.
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

    /// Time passes with so many runs on the cores; `limit_reached` means that more would run if the limit let them.
    pub fn advance(&mut self, elapsed_s: f64, on_cores: usize, limit_reached: bool) {
        self.window.advance(elapsed_s, on_cores, limit_reached);
    }

    /// A run of this class has ended after so long on the cores, its time at calls apart (seconds).
    pub fn run_ended(&mut self, class: usize, length_s: f64) {
        if let Some(baseline) = self.baselines.get(class) {
            self.window.run_ended(class, length_s, baseline.known_length_s());
        }
    }

    /// Reviews the limit; returns whether it has changed. `survivable_runs` is what the executor survives for certain.
    pub fn review(&mut self, on_cores: usize, survivable_runs: usize) -> bool {
        let before = self.slots;
        if survivable_runs != self.survivable_runs {
            // The executor warms up, so that run lengths change: baselines are measured again and again.
            self.survivable_runs = survivable_runs;
            self.contention.forget_samples();
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
        let times = if self.calibration.is_some() { CALIBRATION_SAMPLES } else { 1.0 };
        let enough_samples = self.window.effective_samples() >= min_samples * times;
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
        let slow_s =
            self.settings.slow_ratio * expected_slowdown(on_cores as f64, self.capacity) * explained_s;
        self.window.core_time_s > slow_s + self.settings.min_samples / 2.0 * mean_run_s
    }

    fn slow_down(&mut self, survivable_runs: usize) {
        self.slow_for_s.get_or_insert(0.0);
        self.calibration = None;
        self.publish_measured();
        self.next_window();
        self.set(self.settings.min_slots, PoolLimitCause::Slow, survivable_runs);
    }

    /// Makes the measurements of the window those of the log and the status.
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
            self.contention.restart();
            self.next_window();
            self.set(calibration.resume_limit, calibration.resume_cause, survivable_runs);
            return;
        }
        if verdict.limit_reached {
            self.above_limit = (verdict.on_cores - self.slots as f64).max(0.0);
        }
        match verdict.speed {
            Speed::Slow if !slow_lasts => self.slow_down(survivable_runs),
            Speed::Slow | Speed::Normal => {
                self.follow_rate(&verdict, survivable_runs);
                self.calibrate_if_due(&verdict);
            }
            // An idle worker, or a window without evidence. What was learned stays.
            Speed::Unknown => {
                self.publish_measured();
                self.next_window();
                self.set(self.slots, self.cause, survivable_runs);
            }
        }
    }

    fn judge_window(&self, enough_samples: bool) -> Verdict {
        // Of runs that all began at the start, only the short ones have ended in the first window.
        let is_first = self.cause == PoolLimitCause::Start
            && self.contention.has_no_samples()
            && !self.baselines.iter().any(|baseline| baseline.runs > 0.0);
        Verdict::new(&self.window, &self.settings, self.capacity, enough_samples, is_first)
    }

    fn count_contention(&mut self, verdict: &Verdict) {
        if verdict.uncontended {
            self.contention.count_uncontended(self.window.effective_samples());
        } else {
            self.contention.count_contended(self.window.span_s);
        }
    }

    fn learn_baselines(&mut self, verdict: &Verdict, slow_lasts: bool) {
        if slow_lasts {
            self.baselines.reopen();
        }
        // A slow time may be over soon: nothing is learned from it until it lasts.
        let is_slow = self.slow_for_s.is_some() || verdict.speed == Speed::Slow;
        if !is_slow || slow_lasts {
            self.baselines.learn(&self.window.ended_by_class, verdict.uncontended);
        }
        if verdict.speed != Speed::Unknown {
            self.baselines.correct(verdict.slowdown);
        }
    }

    /// Sets the limit by the capacity that the window shows.
    fn follow_rate(&mut self, verdict: &Verdict, survivable_runs: usize) {
        let was_slow = self.slow_for_s.take().is_some();
        self.recovering |= was_slow;
        let rate = verdict.on_cores / verdict.slowdown.max(MIN_SLOWDOWN);
        // Where the limit is not reached a low rate means only that few requests came.
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

    /// Starts a calibration after a long time of contention.
    fn calibrate_if_due(&mut self, verdict: &Verdict) {
        let min_samples = self.settings.min_samples;
        let contended_baselines =
            self.baselines.iter().any(|baseline| baseline.runs >= min_samples && !baseline.uncontended);
        let is_due = self.contention.is_calibration_due(&self.settings, contended_baselines);
        if !is_due || !verdict.limit_reached {
            return;
        }
        let min_slots = self.settings.min_slots as f64;
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
                if survivable_runs < max_slots {
                    PoolLimitCause::SurvivableRuns
                } else {
                    PoolLimitCause::MaxSlots
                }
            }
            PoolLimitCause::Rate if target < min_slots => PoolLimitCause::MinSlots,
            cause => cause,
        };
    }
}
