//! What a play came to: by class and in all, as a table and as JSON, and whether an experiment's bounds hold.

use crate::callers::PlannedRequest;
use crate::experiment::{Expect, Experiment};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// The time over which the survivable concurrency is a mean (seconds).
pub const CROWD_S: f64 = 3.0;
/// The survivable concurrency (runs a core).
pub const CROWD_BOUND: f64 = 8.0;

/// How a request ended for its client, all attempts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEnd {
    /// Served at this time, with the call or without.
    Served {
        /// When the response came (seconds from the start).
        at: f64,
        /// The downstream call was skipped.
        degraded: bool,
    },
    /// Its last attempt was rejected.
    Rejected,
    /// Its last attempt failed.
    Failed,
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassResult {
    /// The class.
    pub name: String,
    /// Requests that were made.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Served within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Served later than that.
    pub late: u64,
    /// Served without their downstream call.
    #[serde(rename = "poor")]
    pub degraded: u64,
    /// Rejected at their last attempt.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed at their last attempt.
    pub failed: u64,
    /// Median latency of those that were served (milliseconds).
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
}

/// One play of one variant with one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrialResult {
    /// The variant that was played.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// By class, in the order of the experiment.
    pub classes: Vec<ClassResult>,
    /// Worth answered within the latency objective over worth asked for, by request.
    pub worth: f64,
    /// The same, weighted by work.
    pub worth_by_work: f64,
    /// The mean concurrency against the survivable one.
    #[serde(rename = "crowd_of_bound")]
    pub peak_concurrency_ratio: f64,
    /// The most runs on the cores at once.
    pub most_on_cores: usize,
    /// Wake-ups at which the reserve's pool waited with a reserved slot free.
    #[serde(rename = "reserve_kept")]
    pub idle_reserve_waits: u64,
    /// Answers still owed at the end.
    #[serde(rename = "owed")]
    pub unanswered: u64,
    /// Resident memory of the worker at the end against a quarter into the play; 1 where none was read.
    pub memory_growth: f64,
    /// Processor time of the worker a request (milliseconds); 0 where none was read.
    pub cpu_ms: f64,
    /// How long calls of the console took: median, 99th percentile and maximum (milliseconds).
    pub console: [f64; 3],
    /// Calls of the console that were made.
    pub console_made: u64,
    /// Those that went badly.
    pub console_bad: u64,
    /// The most of the worker's resident memory over what it had before anybody came (megabytes).
    pub memory_over_mb: f64,
    /// Connections that a flood opened.
    pub flood_connections: u64,
    /// Connections of a flood that the worker ended.
    pub flood_ended: u64,
    /// What a flood wrote (megabytes).
    pub flood_mb: f64,
    /// The run limit over time, where pools are on; on loopback as far as the log tells.
    pub limits: Vec<LimitChange>,
    /// What each pool started and rejected, all attempts counted, where pools are on.
    pub pools: Vec<PoolResult>,
}

/// A change of the run limit. In JSON it is a list of its three values.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, usize, String)")]
pub struct LimitChange {
    /// When it changed (seconds).
    pub at: f64,
    /// The slots from then on.
    pub slots: usize,
    /// Why.
    pub cause: String,
}

impl From<LimitChange> for (f64, usize, String) {
    fn from(change: LimitChange) -> (f64, usize, String) {
        (change.at, change.slots, change.cause)
    }
}

/// What became of the attempts in one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolResult {
    /// The pool.
    pub name: String,
    /// Attempts that were started.
    pub started: u64,
    /// Attempts that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl TrialResult {
    /// Sums up how the requests of a play ended.
    #[must_use]
    pub fn of(
        experiment: &Experiment,
        variant: &str,
        seed: u64,
        requests: &[PlannedRequest],
        ends: &[Option<RequestEnd>],
    ) -> TrialResult {
        let mut play =
            TrialResult { variant: variant.to_owned(), seed, memory_growth: 1.0, ..TrialResult::default() };
        let (mut worth, mut of, mut work_worth, mut work_of) = (0.0, 0.0, 0.0, 0.0);
        for (number, class) in experiment.class.iter().enumerate() {
            let mut r = ClassResult { name: class.name.clone(), ..ClassResult::default() };
            // A minute at most, to three digits; such bounds are always good.
            let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
            for (a, end) in requests.iter().zip(ends).filter(|(a, _)| a.class == number) {
                let work = a.work.before_s + a.work.after_s;
                r.requests += 1;
                of += class.worth;
                work_of += class.worth * work;
                match end {
                    Some(RequestEnd::Served { at, degraded }) => {
                        let took = at - a.at;
                        if let Some(times) = &mut times {
                            times.saturating_record((took * 1e6).max(1.0) as u64);
                        }
                        let in_aim = took * 1000.0 <= class.objective_ms;
                        if in_aim {
                            r.within_objective += 1;
                        } else {
                            r.late += 1;
                        }
                        r.degraded += u64::from(*degraded);
                        let kept = if *degraded { class.skip_worth } else { 1.0 };
                        let part = if in_aim { 1.0 } else { class.late_worth } * kept;
                        worth += class.worth * part;
                        work_worth += class.worth * part * work;
                    }
                    Some(RequestEnd::Rejected) => r.rejected += 1,
                    Some(RequestEnd::Failed) => r.failed += 1,
                    None => play.unanswered += 1,
                }
            }
            if let Some(times) = times {
                r.p50_ms = times.value_at_quantile(0.5) as f64 / 1000.0;
                r.p99_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
            }
            play.classes.push(r);
        }
        (play.worth, play.worth_by_work) = (worth / f64::max(of, 1e-9), work_worth / f64::max(work_of, 1e-9));
        play
    }

    /// A metric by its name, of one class where it is one of classes.
    #[must_use]
    pub fn metric(&self, name: &str, class: Option<&str>) -> f64 {
        let classes = || self.classes.iter().filter(|c| class.map_or(true, |name| c.name == name));
        let share = |n: fn(&ClassResult) -> u64| {
            let (part, all) = classes().fold((0, 0), |(p, a), c| (p + n(c), a + c.requests));
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
            "console_p99_ms" => self.console[1],
            "console_most_ms" => self.console[2],
            "console_bad" => self.console_bad as f64,
            "memory_over_mb" => self.memory_over_mb,
            "flood_ended" => self.flood_ended as f64,
            "p99_ms" => classes().map(|c| c.p99_ms).fold(0.0, f64::max),
            _ => f64::NAN,
        }
    }
}

/// Mean and half-width of a 95% interval (t, two-sided) over seeds; infinitely wide for one seed.
#[must_use]
pub fn confidence_interval(values: &[f64]) -> (f64, f64) {
    // Quantiles of Student's t for 1 to 10 degrees of freedom; beyond, the normal one is near enough.
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

/// Values of a bound's metric, seed by seed.
#[must_use]
pub fn values(plays: &[TrialResult], expect: &Expect) -> Vec<f64> {
    let of = |variant: &str, seed: u64| plays.iter().find(|p| p.variant == variant && p.seed == seed);
    let own = plays.iter().filter(|p| p.variant == expect.variant);
    own.filter_map(|p| {
        let value = p.metric(&expect.metric, expect.class.as_deref());
        match &expect.baseline {
            None => Some(value),
            Some(other) => {
                Some(value / of(other, p.seed)?.metric(&expect.metric, expect.class.as_deref()).max(1e-9))
            }
        }
    })
    .collect()
}

/// The bounds of an experiment, a line each, and whether all hold. A mean over all seeds is held against them.
#[must_use]
pub fn verdict(experiment: &Experiment, plays: &[TrialResult]) -> (String, bool) {
    let (mut text, mut good) = (String::new(), true);
    for x in &experiment.expect {
        let (mean, half) = confidence_interval(&values(plays, x));
        let holds = x.least.map_or(true, |l| mean >= l) && x.most.map_or(true, |m| mean <= m);
        good &= holds;
        let class = x.class.as_ref().map_or(String::new(), |c| format!(" of {c}"));
        let against = x.baseline.as_ref().map_or(String::new(), |a| format!(" against {a}"));
        let bounds = [("at least", x.least), ("at most", x.most)];
        let bounds: Vec<String> =
            bounds.iter().filter_map(|(word, b)| b.map(|b| format!("{word} {b}"))).collect();
        let word = if holds { "holds" } else { "BROKEN" };
        let (variant, metric, bounds) = (&x.variant, &x.metric, bounds.join(", "));
        let _ = writeln!(
            text,
            "{word:6}  {variant}: {metric}{class}{against} = {mean:.4} +- {half:.4}  ({bounds})"
        );
    }
    (text, good)
}

/// A table by variant and class, means over seeds.
#[must_use]
pub fn table(experiment: &Experiment, plays: &[TrialResult]) -> String {
    let mut text = String::from(
        "| variant | class | asked | in aim | late | poorer | refused | failed | p50 ms | p99 ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for variant in &experiment.variant {
        let own: Vec<&TrialResult> = plays.iter().filter(|p| p.variant == variant.name).collect();
        add_class_rows(&mut text, experiment, &variant.name, &own);
        add_pool_rows(&mut text, &variant.name, &own);
        add_total_row(&mut text, &variant.name, &own);
        add_flood_row(&mut text, &variant.name, &own);
        add_console_row(&mut text, &variant.name, &own);
    }
    text
}

/// The mean of a figure over plays, and half its confidence interval.
fn mean_of(plays: &[&TrialResult], figure: &dyn Fn(&TrialResult) -> f64) -> (f64, f64) {
    confidence_interval(&plays.iter().map(|play| figure(play)).collect::<Vec<_>>())
}

fn add_class_rows(text: &mut String, experiment: &Experiment, variant: &str, own: &[&TrialResult]) {
    let n = own.len().max(1) as f64;
    for class in 0..experiment.class.len() {
        let mean =
            |of: &dyn Fn(&ClassResult) -> f64| own.iter().map(|p| of(&p.classes[class])).sum::<f64>() / n;
        let asked = mean(&|c| c.requests as f64).max(1e-9);
        let part = |of: fn(&ClassResult) -> u64| 100.0 * mean(&|c| of(c) as f64) / asked;
        let _ = writeln!(
            text,
            "| {} | {} | {asked:.0} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.0} | {:.0} |",
            variant,
            experiment.class[class].name,
            part(|c| c.within_objective),
            part(|c| c.late),
            part(|c| c.degraded),
            part(|c| c.rejected),
            part(|c| c.failed),
            mean(&|c| c.p50_ms),
            mean(&|c| c.p99_ms)
        );
    }
}

fn add_pool_rows(text: &mut String, variant: &str, own: &[&TrialResult]) {
    let n = own.len().max(1) as f64;
    let names = own.first().map_or(Vec::new(), |p| p.pools.iter().map(|q| &q.name).collect());
    for (pool, name) in names.into_iter().enumerate() {
        let mean = |of: fn(&PoolResult) -> u64| {
            own.iter().filter_map(|p| p.pools.get(pool)).map(|q| of(q) as f64).sum::<f64>() / n
        };
        let (started, rejected) = (mean(|q| q.started), mean(|q| q.rejected));
        let _ = writeln!(
            text,
            "| {variant} | pool {name} | started {started:.0} | turned away {rejected:.0} | | | | | | |"
        );
    }
}

fn add_total_row(text: &mut String, variant: &str, own: &[&TrialResult]) {
    let (worth, w) = mean_of(own, &|p| p.worth);
    let (by_work, b) = mean_of(own, &|p| p.worth_by_work);
    let (crowd, _) = mean_of(own, &|p| p.peak_concurrency_ratio);
    let (cpu, _) = mean_of(own, &|p| p.cpu_ms);
    let _ = writeln!(
            text,
            "| {variant} | all | | worth {worth:.4} +- {w:.4} | by work {by_work:.4} +- {b:.4} | crowd {crowd:.3} of bound | \
             cpu {cpu:.3} ms | | | |"
        );
}

fn add_flood_row(text: &mut String, variant: &str, own: &[&TrialResult]) {
    let flooded: u64 = own.iter().map(|p| p.flood_connections).sum();
    if flooded > 0 {
        let ended: u64 = own.iter().map(|p| p.flood_ended).sum();
        let over = own.iter().map(|p| p.memory_over_mb).fold(0.0, f64::max);
        let _ = writeln!(
                text,
                "| {} | flood | connections {flooded} | ended {ended} | {:.1} MB a play | memory over rest, most \
                 {over:.2} MB | | | | |",
                variant,
                mean_of(own, &|p| p.flood_mb).0
            );
    }
}

fn add_console_row(text: &mut String, variant: &str, own: &[&TrialResult]) {
    let made: u64 = own.iter().map(|p| p.console_made).sum();
    if made > 0 {
        let most = own.iter().map(|p| p.console[2]).fold(0.0, f64::max);
        let (p50, _) = mean_of(own, &|p| p.console[0]);
        let (p99, _) = mean_of(own, &|p| p.console[1]);
        let bad: u64 = own.iter().map(|p| p.console_bad).sum();
        let _ = writeln!(
                text,
                "| {variant} | console | calls {made} | bad {bad} | p50 {p50:.2} ms | p99 {p99:.2} ms | most {most:.2} ms | | | |"
            );
    }
}
