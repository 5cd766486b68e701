//! The results of a trial, by class and in total, as a table and as JSON, and the check of an experiment's
//! expectations.

use crate::callers::PlannedRequest;
use crate::experiment::{Expectation, Experiment};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// The time over which concurrency is averaged for the comparison with [`SURVIVABLE_RUNS_PER_CORE`] (seconds).
pub const SURVIVABLE_WINDOW_S: f64 = 3.0;
/// The highest mean concurrency over [`SURVIVABLE_WINDOW_S`] that an executor survives (runs per core).
pub const SURVIVABLE_RUNS_PER_CORE: f64 = 8.0;

/// The outcome of a request for its client, after all attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// An attempt was served, with or without its downstream call.
    Served {
        /// When the response arrived (seconds from the start).
        at: f64,
        /// Whether the downstream call was skipped.
        degraded: bool,
    },
    /// The last attempt was rejected.
    Rejected,
    /// The last attempt failed.
    Failed,
}

/// The results of one class's requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassResult {
    /// The name of the class.
    pub name: String,
    /// All requests of the class.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Served within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Served after the latency objective.
    pub late: u64,
    /// Served without their downstream call.
    #[serde(rename = "poor")]
    pub degraded: u64,
    /// Rejected in their last attempt.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed in their last attempt.
    pub failed: u64,
    /// Median latency of the served requests (milliseconds).
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests (milliseconds).
    pub p99_ms: f64,
}

/// The results of a trial: one variant run with one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrialResult {
    /// The name of the variant.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// The results by class, in the order of the experiment file.
    pub classes: Vec<ClassResult>,
    /// The worth of the served requests over the worth of all requests; a late or degraded one counts in part.
    pub worth: f64,
    /// The same ratio with each request weighted by its work.
    pub worth_by_work: f64,
    /// The peak of the mean concurrency over [`SURVIVABLE_WINDOW_S`], as a ratio of the survivable concurrency.
    #[serde(rename = "crowd_of_bound")]
    pub peak_concurrency_ratio: f64,
    /// The maximum number of concurrent runs, without those that wait for a downstream call.
    #[serde(rename = "most_on_cores")]
    pub peak_running: usize,
    /// Dispatcher wake-ups at which the reserve's pool had requests waiting although a reserved slot was free.
    #[serde(rename = "reserve_kept")]
    pub idle_reserve_waits: u64,
    /// Requests without a response at the end.
    #[serde(rename = "owed")]
    pub unanswered: u64,
    /// Resident memory of the worker at the end, as a ratio of that after a quarter of the trial; 1 if it was not
    /// measured.
    pub memory_growth: f64,
    /// Processor time of the worker per request (milliseconds); 0 if it was not measured.
    pub cpu_ms: f64,
    /// Latency of console calls: median, 99th percentile and maximum (milliseconds).
    #[serde(rename = "console")]
    pub console_ms: [f64; 3],
    /// Console calls that were made.
    #[serde(rename = "console_made")]
    pub console_calls: u64,
    /// Console calls that failed.
    #[serde(rename = "console_bad")]
    pub console_failures: u64,
    /// Peak resident memory of the worker above its level before the first connection (megabytes).
    #[serde(rename = "memory_over_mb")]
    pub peak_extra_memory_mb: f64,
    /// Connections that a flood opened.
    pub flood_connections: u64,
    /// Connections of a flood that the worker closed.
    #[serde(rename = "flood_ended")]
    pub flood_closed: u64,
    /// Data that a flood wrote (megabytes).
    pub flood_mb: f64,
    /// Changes of the run limit, if the worker has pools; on loopback, those that its log shows.
    pub limits: Vec<LimitChange>,
    /// The attempts that each pool started and rejected, if the worker has pools.
    pub pools: Vec<PoolResult>,
}

/// A change of the run limit, serialized as a list of its three values.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, usize, String)")]
pub struct LimitChange {
    /// When it changed (seconds).
    pub at: f64,
    /// The new number of run slots.
    pub slots: usize,
    /// The reason for the change, as the worker reports it.
    pub cause: String,
}

impl From<LimitChange> for (f64, usize, String) {
    fn from(change: LimitChange) -> (f64, usize, String) {
        (change.at, change.slots, change.cause)
    }
}

/// The results of the attempts in one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolResult {
    /// The name of the pool.
    pub name: String,
    /// Attempts that were started.
    pub started: u64,
    /// Attempts that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl TrialResult {
    /// Aggregates the outcomes of a trial's requests.
    #[must_use]
    pub fn from_outcomes(
        experiment: &Experiment,
        variant: &str,
        seed: u64,
        requests: &[PlannedRequest],
        outcomes: &[Option<RequestOutcome>],
    ) -> TrialResult {
        let mut result =
            TrialResult { variant: variant.to_owned(), seed, memory_growth: 1.0, ..TrialResult::default() };
        let (mut worth, mut total_worth, mut weighted_worth, mut total_weighted_worth) = (0.0, 0.0, 0.0, 0.0);
        for (number, class) in experiment.class.iter().enumerate() {
            let mut class_result = ClassResult { name: class.name.clone(), ..ClassResult::default() };
            // Up to a minute with three significant digits; these bounds are always valid.
            let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
            for (request, outcome) in
                requests.iter().zip(outcomes).filter(|(request, _)| request.class == number)
            {
                let work = request.work.before_s + request.work.after_s;
                class_result.requests += 1;
                total_worth += class.worth;
                total_weighted_worth += class.worth * work;
                match outcome {
                    Some(RequestOutcome::Served { at, degraded }) => {
                        let latency_s = at - request.at;
                        if let Some(latencies) = &mut latencies {
                            latencies.saturating_record((latency_s * 1e6).max(1.0) as u64);
                        }
                        let within_objective = latency_s * 1000.0 <= class.objective_ms;
                        if within_objective {
                            class_result.within_objective += 1;
                        } else {
                            class_result.late += 1;
                        }
                        class_result.degraded += u64::from(*degraded);
                        let degraded_factor = if *degraded { class.skip_worth } else { 1.0 };
                        let factor = if within_objective { 1.0 } else { class.late_worth } * degraded_factor;
                        worth += class.worth * factor;
                        weighted_worth += class.worth * factor * work;
                    }
                    Some(RequestOutcome::Rejected) => class_result.rejected += 1,
                    Some(RequestOutcome::Failed) => class_result.failed += 1,
                    None => result.unanswered += 1,
                }
            }
            if let Some(latencies) = latencies {
                class_result.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1000.0;
                class_result.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1000.0;
            }
            result.classes.push(class_result);
        }
        (result.worth, result.worth_by_work) =
            (worth / f64::max(total_worth, 1e-9), weighted_worth / f64::max(total_weighted_worth, 1e-9));
        result
    }

    /// The value of the metric of this name; a metric of classes is of `class` or, without one, of all classes.
    #[must_use]
    pub fn metric(&self, name: &str, class: Option<&str>) -> f64 {
        let classes = || self.classes.iter().filter(|c| class.map_or(true, |name| c.name == name));
        let share = |count: fn(&ClassResult) -> u64| {
            let (part, all) = classes().fold((0, 0), |(p, a), c| (p + count(c), a + c.requests));
            part as f64 / (all as f64).max(1.0)
        };
        match name {
            "in_aim" => share(|c| c.within_objective),
            "refused" => share(|c| c.rejected),
            "worth" => self.worth,
            "worth_by_work" => self.worth_by_work,
            "crowd_of_bound" => self.peak_concurrency_ratio,
            "reserve_kept" => self.idle_reserve_waits as f64,
            "owed" => self.unanswered as f64,
            "memory_growth" => self.memory_growth,
            "cpu_ms" => self.cpu_ms,
            "console_p99_ms" => self.console_ms[1],
            "console_most_ms" => self.console_ms[2],
            "console_bad" => self.console_failures as f64,
            "memory_over_mb" => self.peak_extra_memory_mb,
            "flood_ended" => self.flood_closed as f64,
            "p99_ms" => classes().map(|c| c.p99_ms).fold(0.0, f64::max),
            _ => f64::NAN,
        }
    }
}

/// The mean over seeds and the half-width of its two-sided 95% confidence interval (Student's t), which is infinite for
/// a single seed.
#[must_use]
pub fn confidence_interval(values: &[f64]) -> (f64, f64) {
    // 97.5% quantiles of Student's t for 1 to 10 degrees of freedom; the normal quantile approximates those beyond.
    const T: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = T.get(values.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

/// The values of an expectation's metric, one for each seed.
#[must_use]
pub fn values(trials: &[TrialResult], expectation: &Expectation) -> Vec<f64> {
    let find = |variant: &str, seed: u64| trials.iter().find(|t| t.variant == variant && t.seed == seed);
    let of_variant = trials.iter().filter(|t| t.variant == expectation.variant);
    of_variant
        .filter_map(|trial| {
            let value = trial.metric(&expectation.metric, expectation.class.as_deref());
            match &expectation.baseline {
                None => Some(value),
                Some(baseline) => Some(
                    value
                        / find(baseline, trial.seed)?
                            .metric(&expectation.metric, expectation.class.as_deref())
                            .max(1e-9),
                ),
            }
        })
        .collect()
}

/// Checks the mean over all seeds against each expectation of an experiment: a line for each, and whether all hold.
#[must_use]
pub fn verdict(experiment: &Experiment, trials: &[TrialResult]) -> (String, bool) {
    let (mut text, mut all_hold) = (String::new(), true);
    for expectation in &experiment.expect {
        let (mean, half) = confidence_interval(&values(trials, expectation));
        let holds = expectation.min.map_or(true, |min| mean >= min)
            && expectation.max.map_or(true, |max| mean <= max);
        all_hold &= holds;
        let class = expectation.class.as_ref().map_or(String::new(), |c| format!(" of {c}"));
        let baseline = expectation.baseline.as_ref().map_or(String::new(), |b| format!(" relative to {b}"));
        let bounds = [("at least", expectation.min), ("at most", expectation.max)];
        let bounds: Vec<String> =
            bounds.iter().filter_map(|(word, b)| b.map(|b| format!("{word} {b}"))).collect();
        let word = if holds { "holds" } else { "BROKEN" };
        let (variant, metric, bounds) = (&expectation.variant, &expectation.metric, bounds.join(", "));
        let _ = writeln!(
            text,
            "{word:6}  {variant}: {metric}{class}{baseline} = {mean:.4} +- {half:.4}  ({bounds})"
        );
    }
    (text, all_hold)
}

/// A table of means over seeds, with rows for each variant's classes, pools, total, flood and console calls.
#[must_use]
pub fn table(experiment: &Experiment, trials: &[TrialResult]) -> String {
    let mut text = String::from(
        "| variant | class | requests | within objective | late | degraded | rejected | failed | p50 ms | p99 ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for variant in &experiment.variant {
        let of_variant: Vec<&TrialResult> =
            trials.iter().filter(|trial| trial.variant == variant.name).collect();
        add_class_rows(&mut text, experiment, &variant.name, &of_variant);
        add_pool_rows(&mut text, &variant.name, &of_variant);
        add_total_row(&mut text, &variant.name, &of_variant);
        add_flood_row(&mut text, &variant.name, &of_variant);
        add_console_row(&mut text, &variant.name, &of_variant);
    }
    text
}

/// The mean of a value over trials and the half-width of its confidence interval.
fn mean_of(trials: &[&TrialResult], value: &dyn Fn(&TrialResult) -> f64) -> (f64, f64) {
    confidence_interval(&trials.iter().map(|trial| value(trial)).collect::<Vec<_>>())
}

fn add_class_rows(text: &mut String, experiment: &Experiment, variant: &str, trials: &[&TrialResult]) {
    let n = trials.len().max(1) as f64;
    for class in 0..experiment.class.len() {
        let mean = |of: &dyn Fn(&ClassResult) -> f64| {
            trials.iter().map(|trial| of(&trial.classes[class])).sum::<f64>() / n
        };
        let requests = mean(&|c| c.requests as f64).max(1e-9);
        let percent = |of: fn(&ClassResult) -> u64| 100.0 * mean(&|c| of(c) as f64) / requests;
        let _ = writeln!(
            text,
            "| {} | {} | {requests:.0} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.0} | {:.0} |",
            variant,
            experiment.class[class].name,
            percent(|c| c.within_objective),
            percent(|c| c.late),
            percent(|c| c.degraded),
            percent(|c| c.rejected),
            percent(|c| c.failed),
            mean(&|c| c.p50_ms),
            mean(&|c| c.p99_ms)
        );
    }
}

fn add_pool_rows(text: &mut String, variant: &str, trials: &[&TrialResult]) {
    let n = trials.len().max(1) as f64;
    let names =
        trials.first().map_or(Vec::new(), |trial| trial.pools.iter().map(|pool| &pool.name).collect());
    for (pool, name) in names.into_iter().enumerate() {
        let mean = |of: fn(&PoolResult) -> u64| {
            trials.iter().filter_map(|trial| trial.pools.get(pool)).map(|pool| of(pool) as f64).sum::<f64>()
                / n
        };
        let (started, rejected) = (mean(|pool| pool.started), mean(|pool| pool.rejected));
        let _ = writeln!(
            text,
            "| {variant} | pool {name} | started {started:.0} | rejected {rejected:.0} | | | | | | |"
        );
    }
}

fn add_total_row(text: &mut String, variant: &str, trials: &[&TrialResult]) {
    let (worth, half) = mean_of(trials, &|trial| trial.worth);
    let (by_work, by_work_half) = mean_of(trials, &|trial| trial.worth_by_work);
    let (concurrency, _) = mean_of(trials, &|trial| trial.peak_concurrency_ratio);
    let (cpu, _) = mean_of(trials, &|trial| trial.cpu_ms);
    let _ = writeln!(
            text,
            "| {variant} | all | | worth {worth:.4} +- {half:.4} | worth by work {by_work:.4} +- {by_work_half:.4} | \
             peak concurrency {concurrency:.3} of survivable | cpu {cpu:.3} ms per request | | | |"
        );
}

fn add_flood_row(text: &mut String, variant: &str, trials: &[&TrialResult]) {
    let connections: u64 = trials.iter().map(|trial| trial.flood_connections).sum();
    if connections > 0 {
        let closed: u64 = trials.iter().map(|trial| trial.flood_closed).sum();
        let peak = trials.iter().map(|trial| trial.peak_extra_memory_mb).fold(0.0, f64::max);
        let _ = writeln!(
                text,
                "| {} | flood | connections {connections} | closed by the worker {closed} | {:.1} MB per trial | \
                 peak memory above idle {peak:.2} MB | | | | |",
                variant,
                mean_of(trials, &|trial| trial.flood_mb).0
            );
    }
}

fn add_console_row(text: &mut String, variant: &str, trials: &[&TrialResult]) {
    let calls: u64 = trials.iter().map(|trial| trial.console_calls).sum();
    if calls > 0 {
        let max = trials.iter().map(|trial| trial.console_ms[2]).fold(0.0, f64::max);
        let (p50, _) = mean_of(trials, &|trial| trial.console_ms[0]);
        let (p99, _) = mean_of(trials, &|trial| trial.console_ms[1]);
        let failed: u64 = trials.iter().map(|trial| trial.console_failures).sum();
        let _ = writeln!(
            text,
            "| {variant} | console | calls {calls} | failed {failed} | p50 {p50:.2} ms | p99 {p99:.2} ms | \
                 max {max:.2} ms | | | |"
        );
    }
}
