//! The limit and its review.

use super::baseline::Baselines;
use super::calibration::{Calibration, Phase};
use super::contention::Contention;
use super::settings::LimitSettings;
use super::window::{Measurements, ReviewWindow};
use super::window_assessment::{expected_slowdown, Speed, WindowAssessment};
use crate::interface::PoolLimitCause;

/// Headroom above the measured capacity, in which an increase can show, as a share of the capacity.
const HEADROOM_SHARE: f64 = 0.2;
/// Least headroom above the measured capacity (slots).
const MIN_HEADROOM: f64 = 1.25;
/// Lower bound of the measured slowdown. A bound of 1 would cut off one side of the noise, and the limit would stay a slot
/// or two above its lower bound.
const MIN_SLOWDOWN: f64 = 0.75;
/// Smoothing factor with which the capacity follows the rate of a window.
const CAPACITY_GAIN: f64 = 0.3;
/// Number of samples in the window of a calibration, as a multiple of those in other windows.
const CALIBRATION_SAMPLES: f64 = 2.0;
/// Lowest limit of a calibration, as a share of the lower bound.
const MIN_CALIBRATION_SHARE: f64 = 0.5;
/// A window without enough samples is closed after this many review intervals.
const MAX_REVIEWS_WITHOUT_SAMPLES: f64 = 4.0;
/// Number of measurement windows ([`LimitSettings::window_s`]) after which the run lengths of a slow executor become its
/// baselines.
const SLOW_WINDOWS: f64 = 2.0;

/// The limit on runs on the cores, with the measurements that determine it.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    settings: LimitSettings,
    slots: usize,
    cause: PoolLimitCause,
    /// Estimated capacity of the executor (slots at full speed).
    capacity: f64,
    baselines: Baselines,
    window: ReviewWindow,
    measurements: Measurements,
    /// How long runs have been slow (seconds); `None` while they are not.
    slow_for_s: Option<f64>,
    /// Whether the limit is rising back after a slowdown.
    recovering: bool,
    contention: Contention,
    /// Mean number of runs above the limit in the last window in which it was reached. These runs returned from downstream
    /// calls.
    runs_above_limit: f64,
    calibration: Option<Calibration>,
    /// Number of concurrent runs that the executor survives for certain, as of the last review. It grows while the executor
    /// warms up.
    survivable_runs: usize,
}

impl SlotLimit {
    /// Creates a limit at its lower bound. `initial_lengths_s` are initial estimates of the run lengths, by class (seconds).
    #[must_use]
    pub fn new(settings: LimitSettings, initial_lengths_s: &[f64]) -> SlotLimit {
        SlotLimit {
            settings,
            slots: settings.min_slots,
            cause: PoolLimitCause::Start,
            capacity: settings.min_slots as f64,
            baselines: Baselines::new(initial_lengths_s),
            window: ReviewWindow::new(initial_lengths_s.len()),
            measurements: Measurements::default(),
            slow_for_s: None,
            recovering: false,
            contention: Contention::default(),
            runs_above_limit: 0.0,
            calibration: None,
            survivable_runs: 0,
        }
    }

    /// The limit.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// The reason for the present limit.
    #[must_use]
    pub fn cause(&self) -> PoolLimitCause {
        self.cause
    }

    /// Estimated capacity of the executor (slots at full speed).
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The measurements of the last window.
    #[must_use]
    pub fn measurements(&self) -> Measurements {
        self.measurements
    }

    /// The baseline length of a run of this class (seconds).
    #[must_use]
    pub fn baseline_s(&self, class: usize) -> f64 {
        self.baselines.get(class).map_or(1.0, |baseline| baseline.length_s)
    }

    /// Replaces the settings and keeps what was learned.
    pub fn set_settings(&mut self, settings: LimitSettings, survivable_runs: usize) {
        self.settings = settings;
        let slots = self.calibration.take().map_or(self.slots, |calibration| calibration.resume_limit);
        self.set_limit(slots, PoolLimitCause::Reload, survivable_runs);
    }

    /// Advances time with this number of runs on the cores. `limit_reached` is whether requests wait because of the limit.
    pub fn advance(&mut self, elapsed_s: f64, on_cores: usize, limit_reached: bool) {
        self.window.advance(elapsed_s, on_cores, limit_reached);
    }

    /// Records the end of a run of this class. `length_s` is its time on the cores, without its time at calls (seconds).
    pub fn run_ended(&mut self, class: usize, length_s: f64) {
        if let Some(baseline) = self.baselines.get(class) {
            self.window.run_ended(class, length_s, baseline.known_length_s());
        }
    }

    /// Reviews the limit and returns whether it has changed. `survivable_runs` is the number of concurrent runs that the
    /// executor survives for certain.
    pub fn review(&mut self, on_cores: usize, survivable_runs: usize) -> bool {
        let before = self.slots;
        if survivable_runs != self.survivable_runs {
            // The executor is warming up, so run lengths change: measure the baselines again.
            self.survivable_runs = survivable_runs;
            self.contention.discard_samples();
        }
        if self.window.span_s >= self.settings.review_s / 2.0 && self.is_stalled(on_cores) {
            self.enter_slow_state(survivable_runs);
        } else if self.calibration.is_some_and(|calibration| calibration.phase != Phase::Measuring) {
            self.advance_calibration(on_cores);
        } else {
            self.review_window(survivable_runs);
        }
        self.slots != before
    }

    fn review_window(&mut self, survivable_runs: usize) {
        let LimitSettings { review_s, min_samples, .. } = self.settings;
        let sample_factor = if self.calibration.is_some() { CALIBRATION_SAMPLES } else { 1.0 };
        let enough_samples = self.window.effective_samples() >= min_samples * sample_factor;
        let overdue = self.window.span_s >= review_s * MAX_REVIEWS_WITHOUT_SAMPLES;
        if self.window.span_s >= review_s && (enough_samples || overdue) {
            self.close_window(enough_samples, survivable_runs);
        } else {
            // Apply the bounds again: the number of survivable runs changes while the executor warms up.
            self.set_limit(self.slots, self.cause, survivable_runs);
        }
    }

    fn advance_calibration(&mut self, on_cores: usize) {
        let span_s = self.window.span_s;
        let mean_run_s = self.baselines.mean_s();
        self.start_next_window();
        let Some(calibration) = &mut self.calibration else { return };
        let drained = on_cores <= self.settings.min_slots;
        calibration.advance(span_s, drained, mean_run_s, self.settings.review_s);
    }

    /// Whether the ended and the current runs together have used more time on the cores in this window than they would take
    /// on an executor that barely counts as slow, plus the baseline length of half the required samples. This detects a
    /// tenfold slowdown, in which the first run would end seconds too late for a review.
    fn is_stalled(&self, on_cores: usize) -> bool {
        let mean_run_s = self.baselines.mean_s();
        let expected_s = self.window.ended_baseline_s + on_cores as f64 * mean_run_s;
        let stall_threshold_s =
            self.settings.slow_ratio * expected_slowdown(on_cores as f64, self.capacity) * expected_s;
        self.window.core_time_s > stall_threshold_s + self.settings.min_samples / 2.0 * mean_run_s
    }

    fn enter_slow_state(&mut self, survivable_runs: usize) {
        self.slow_for_s.get_or_insert(0.0);
        self.calibration = None;
        self.publish_measurements();
        self.start_next_window();
        self.set_limit(self.settings.min_slots, PoolLimitCause::Slow, survivable_runs);
    }

    /// Publishes the measurements of the window to the log and the status.
    fn publish_measurements(&mut self) {
        self.measurements = self.window.measurements().unwrap_or(self.measurements);
    }

    fn start_next_window(&mut self) {
        self.slow_for_s = self.slow_for_s.map(|slow_for_s| slow_for_s + self.window.span_s);
        self.window = ReviewWindow::new(self.window.ended_by_class.len());
    }

    fn close_window(&mut self, enough_samples: bool, survivable_runs: usize) {
        let assessment = self.assess_window(enough_samples);
        self.count_contention(&assessment);
        let slow_persists = self.slow_for_s.is_some_and(|s| s >= SLOW_WINDOWS * self.settings.window_s);
        self.update_baselines(&assessment, slow_persists);
        if let Some(calibration) = self.calibration.take() {
            self.contention.restart();
            self.start_next_window();
            self.set_limit(calibration.resume_limit, calibration.resume_cause, survivable_runs);
            return;
        }
        if assessment.limit_reached {
            self.runs_above_limit = (assessment.on_cores - self.slots as f64).max(0.0);
        }
        match assessment.speed {
            Speed::Slow if !slow_persists => self.enter_slow_state(survivable_runs),
            Speed::Slow | Speed::Normal => {
                self.update_capacity(&assessment, survivable_runs);
                self.calibrate_if_due(&assessment);
            }
            // The worker was idle or too few runs have ended, so the capacity and the limit are kept.
            Speed::Unknown => {
                self.publish_measurements();
                self.start_next_window();
                self.set_limit(self.slots, self.cause, survivable_runs);
            }
        }
    }

    fn assess_window(&self, enough_samples: bool) -> WindowAssessment {
        // All runs began with the process, so only the short ones have ended in the first window.
        let is_first = self.cause == PoolLimitCause::Start
            && self.contention.has_no_samples()
            && !self.baselines.iter().any(|baseline| baseline.runs > 0.0);
        WindowAssessment::new(&self.window, &self.settings, self.capacity, enough_samples, is_first)
    }

    fn count_contention(&mut self, assessment: &WindowAssessment) {
        if assessment.uncontended {
            self.contention.count_uncontended(self.window.effective_samples());
        } else {
            self.contention.count_contended(self.window.span_s);
        }
    }

    fn update_baselines(&mut self, assessment: &WindowAssessment, slow_persists: bool) {
        if slow_persists {
            self.baselines.mark_contended();
        }
        // A slowdown may be over soon, so nothing is learned from it until it persists.
        let is_slow = self.slow_for_s.is_some() || assessment.speed == Speed::Slow;
        if !is_slow || slow_persists {
            self.baselines.update(&self.window.ended_by_class, assessment.uncontended);
        }
        if assessment.speed != Speed::Unknown {
            self.baselines.correct(assessment.slowdown);
        }
    }

    /// Updates the capacity from the rate of the window, and the limit from the capacity.
    fn update_capacity(&mut self, assessment: &WindowAssessment, survivable_runs: usize) {
        let was_slow = self.slow_for_s.take().is_some();
        self.recovering |= was_slow;
        let rate = assessment.on_cores / assessment.slowdown.max(MIN_SLOWDOWN);
        // While the limit is not reached, a low rate only shows that few requests arrived.
        if rate > self.capacity || assessment.limit_reached && !self.recovering {
            self.capacity += (rate - self.capacity) * CAPACITY_GAIN;
        }
        self.publish_measurements();
        self.start_next_window();
        let headroom = (self.capacity * HEADROOM_SHARE).max(MIN_HEADROOM);
        let target = ((self.capacity + headroom).floor() as usize).max(1);
        let doubled = self.slots * 2;
        self.recovering &= target > doubled;
        if was_slow || self.recovering {
            self.set_limit(target.min(doubled), PoolLimitCause::Recovery, survivable_runs);
        } else {
            self.set_limit(target, PoolLimitCause::Rate, survivable_runs);
        }
    }

    /// Starts a calibration if one is due after the time with contention and the window reached the limit.
    fn calibrate_if_due(&mut self, assessment: &WindowAssessment) {
        let min_samples = self.settings.min_samples;
        let contended_baselines =
            self.baselines.iter().any(|baseline| baseline.runs >= min_samples && !baseline.uncontended);
        let is_due = self.contention.is_calibration_due(&self.settings, contended_baselines);
        if !is_due || !assessment.limit_reached {
            return;
        }
        let min_slots = self.settings.min_slots as f64;
        let min_calibration_slots = (min_slots * MIN_CALIBRATION_SHARE).ceil();
        self.calibration = Some(Calibration::new(self.slots, self.cause));
        self.slots = (min_slots - self.runs_above_limit.ceil()).max(min_calibration_slots).max(1.0) as usize;
        self.cause = PoolLimitCause::Calibration;
    }

    /// Sets the limit within its bounds. If a bound applies, it becomes the cause.
    fn set_limit(&mut self, target: usize, cause: PoolLimitCause, survivable_runs: usize) {
        // The limit of a calibration may be below the lower bound, and stays until the calibration has ended.
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
