//! The experiment file (TOML): a worker's environment, the load on it, the variants to compare, and the expectations.

use crate::error::{ExperimentError, TestbedError};
use crate::floods::Flood;
use serde::Deserialize;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment.
    pub name: String,
    /// The seeds; each variant is run once with each of them.
    pub seeds: Vec<u64>,
    /// How long requests arrive (seconds).
    pub length_s: f64,
    /// The mean load that requests ask for, without rate steps, as a share of the cores' capacity.
    pub load: f64,
    /// The executor.
    pub executor: ExecutorModel,
    /// The records service.
    pub records: RecordsModel,
    /// The clients.
    #[serde(default)]
    pub callers: CallersModel,
    /// The classes of requests.
    pub class: Vec<ClassModel>,
    /// Steps of the arrival rate of all classes.
    #[serde(default)]
    pub jump: Vec<RateStep>,
    /// Periods in which the executor is slower.
    #[serde(default)]
    pub slow: Vec<Slowdown>,
    /// Periods in which the records service answers nothing; their `factor` is not used.
    #[serde(default)]
    pub stall: Vec<Slowdown>,
    /// The variants that are compared.
    pub variant: Vec<Variant>,
    /// The expectations that the results must meet.
    #[serde(default)]
    pub expect: Vec<Expectation>,
}

/// The model of an experiment's executor.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorModel {
    /// The number of cores.
    pub cores: u32,
    /// The speed of a core; at 1, it does a core second of work in a second.
    #[serde(default = "one")]
    pub speed: f64,
    /// Concurrent runs per core beyond which concurrency reduces throughput.
    #[serde(default = "default_knee")]
    pub knee: f64,
    /// How strongly throughput falls: with an excess of x times the knee's concurrency it is divided by 1 + `thrash` x.
    #[serde(default = "default_thrash")]
    pub thrash: f64,
    /// The share of its speed at which a cold executor starts.
    #[serde(default)]
    pub cold_from: f64,
    /// How long the executor takes to warm up (seconds); 0 if it starts warm.
    #[serde(default)]
    pub cold_s: f64,
    /// The memory for queued and running requests (kilobytes).
    #[serde(default = "default_heap_kb")]
    pub heap_kb: f64,
}

/// The model of an experiment's records service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordsModel {
    /// Concurrent calls that the service handles at full speed.
    pub slots: usize,
    /// How long a call takes (milliseconds).
    pub call_ms: f64,
    /// How strongly calls slow down beyond the slots: with an excess of x times the slots a call takes 1 + `thrash` x
    /// times as long.
    #[serde(default = "default_thrash")]
    pub thrash: f64,
}

/// The model of an experiment's clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersModel {
    /// The maximum number of retries of a request.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The minimum pause before a retry (milliseconds).
    #[serde(rename = "pause_ms")]
    pub min_pause_ms: f64,
}

impl Default for CallersModel {
    fn default() -> Self {
        CallersModel { max_retries: 1, min_pause_ms: 50.0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassModel {
    /// The name of the class.
    pub name: String,
    /// The share of this class in all requests.
    pub share: f64,
    /// The mean work of a request (core milliseconds).
    pub work_ms: f64,
    /// The coefficient of variation of the work.
    pub cv: f64,
    /// The latency objective of a request (milliseconds).
    #[serde(rename = "aim_ms")]
    pub objective_ms: f64,
    /// The deadline of a request (milliseconds).
    pub deadline_ms: f64,
    /// The worth of a request that is served within the latency objective.
    pub worth: f64,
    /// The share of the worth that remains if the request is served later.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether requests carry idempotency keys.
    #[serde(default)]
    pub keyed: bool,
    /// The probability that a run makes a downstream call.
    #[serde(rename = "calls", default)]
    pub call_probability: f64,
    /// The share of the worth that remains if the downstream call is skipped; 0 forbids skipping it.
    #[serde(default)]
    pub skip_worth: f64,
    /// The memory that a request declares (kilobytes).
    #[serde(rename = "need_kb", default = "default_need_kb")]
    pub memory_kb: f64,
    /// Steps of the arrival rate of this class alone.
    #[serde(default)]
    pub jump: Vec<RateStep>,
}

/// A period in which an arrival rate is multiplied by a factor.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateStep {
    /// When it begins (seconds).
    pub at_s: f64,
    /// How long it lasts (seconds).
    pub for_s: f64,
    /// The factor of the rate.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// A period in which a service is slower.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// When it begins (seconds).
    pub at_s: f64,
    /// How long it lasts (seconds).
    pub for_s: f64,
    /// The factor by which it is slower.
    #[serde(rename = "times", default = "one")]
    pub factor: f64,
}

/// One of the variants that are compared.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name of the variant.
    pub name: String,
    /// The text of the operator's file; empty for a worker without one.
    #[serde(default)]
    pub operator: String,
    /// On loopback: the program of another build of the worker, instead of the one that the command names.
    pub worker: Option<PathBuf>,
    /// On loopback: callers use the HTTP/2 frontend (`[http2]` in the operator's file), with this many streams per
    /// connection.
    pub http2_streams: Option<usize>,
    /// On loopback: the console's metrics are read at this interval (milliseconds).
    #[serde(rename = "console_every_ms")]
    pub console_interval_ms: Option<f64>,
    /// The number of connections with unfinished requests that are held open to the console meanwhile.
    #[serde(rename = "console_holders", default)]
    pub held_console_connections: usize,
    /// On loopback: a flood on the HTTP/2 frontend (`[http2]` in the operator's file).
    pub flood: Option<Flood>,
    /// The number of the flood's connections.
    #[serde(default = "default_flood_connections")]
    pub flood_connections: usize,
}

/// A bound on a metric's mean over all seeds of a variant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The name of the variant.
    pub variant: String,
    /// One of [`METRICS`].
    pub metric: String,
    /// The class, for a metric of classes; all classes if it is left out.
    pub class: Option<String>,
    /// The variant by whose value the metric is divided, seed by seed.
    #[serde(rename = "against")]
    pub baseline: Option<String>,
    /// The minimum of the mean.
    #[serde(rename = "least")]
    pub min: Option<f64>,
    /// The maximum of the mean.
    #[serde(rename = "most")]
    pub max: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn default_knee() -> f64 {
    1.4
}

fn default_thrash() -> f64 {
    0.7
}

fn default_heap_kb() -> f64 {
    60_000.0
}

fn default_flood_connections() -> usize {
    4
}

fn default_need_kb() -> f64 {
    24.0
}

/// The metrics that `[[expect]]` may name.
pub const METRICS: [&str; 15] = [
    "in_aim",
    "refused",
    "worth",
    "worth_by_work",
    "crowd_of_bound",
    "reserve_kept",
    "owed",
    "memory_growth",
    "p99_ms",
    "cpu_ms",
    "console_p99_ms",
    "console_most_ms",
    "console_bad",
    "memory_over_mb",
    "flood_ended",
];

impl Experiment {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Fails if the file can't be read or [`Experiment::decode`] fails. The error names the file and displays as one line.
    pub fn read(path: &Path) -> Result<Experiment, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
        Experiment::decode(&text)
            .map_err(|source| TestbedError::ExperimentFile { path: path.to_owned(), source })
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    /// Fails if the text is not TOML, a key is unknown, or a value is out of range.
    pub fn decode(text: &str) -> Result<Experiment, ExperimentError> {
        let e: Experiment = toml::from_str(text).map_err(|source: toml::de::Error| {
            let at = source.span().map_or(0, |s| s.start.min(text.len()));
            let line = text[..at].matches('\n').count() + 1;
            ExperimentError::Syntax { line, source }
        })?;
        let positive = |key: String, found: f64| {
            if found.is_finite() && found > 0.0 {
                Ok(())
            } else {
                Err(ExperimentError::NotPositive { key, found })
            }
        };
        positive("length_s".into(), e.length_s)?;
        positive("load".into(), e.load)?;
        positive("executor.cores".into(), f64::from(e.executor.cores))?;
        positive("executor.speed".into(), e.executor.speed)?;
        positive("records.slots".into(), e.records.slots as f64)?;
        positive("records.call_ms".into(), e.records.call_ms)?;
        for c in &e.class {
            for (key, n) in [
                ("share", c.share),
                ("work_ms", c.work_ms),
                ("cv", c.cv),
                ("aim_ms", c.objective_ms),
                ("deadline_ms", c.deadline_ms),
                ("worth", c.worth),
            ] {
                positive(format!("class {:?}: {key}", c.name), n)?;
            }
        }
        for v in &e.variant {
            if let Some(ms) = v.console_interval_ms {
                positive(format!("variant {:?}: console_every_ms", v.name), ms)?;
            }
        }
        for s in e.slow.iter().chain(&e.stall) {
            positive("slow.times".into(), s.factor)?;
        }
        if e.seeds.is_empty() || e.variant.is_empty() || e.class.is_empty() {
            return Err(ExperimentError::NothingToRun);
        }
        let variant = |name: &String| e.variant.iter().any(|v| v.name == *name);
        for x in &e.expect {
            if !METRICS.contains(&x.metric.as_str()) {
                return Err(ExperimentError::UnknownMetric { found: x.metric.clone(), known: &METRICS });
            }
            if let Some(v) =
                [Some(&x.variant), x.baseline.as_ref()].into_iter().flatten().find(|v| !variant(v))
            {
                return Err(ExperimentError::UnknownVariant { found: v.clone() });
            }
            if let Some(c) = x.class.as_ref().filter(|c| !e.class.iter().any(|k| k.name == **c)) {
                return Err(ExperimentError::UnknownClass { found: c.clone() });
            }
            if x.min.is_none() && x.max.is_none() {
                return Err(ExperimentError::NoBound { metric: x.metric.clone() });
            }
        }
        Ok(e)
    }

    /// The mean work of a request (core seconds).
    #[must_use]
    pub fn mean_work_s(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|c| c.share).sum();
        self.class.iter().map(|c| c.share * c.work_ms / 1000.0).sum::<f64>() / shares
    }

    /// Requests per second for each unit of share: a class arrives at its share times this.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|c| c.share).sum();
        self.load * f64::from(self.executor.cores) * self.executor.speed / self.mean_work_s() / shares
    }

    /// The worker's configuration with these addresses of its peers.
    #[must_use]
    pub fn config(&self, listen: &str, executor: &str, records: &str, registry: &str) -> Value {
        let list = |of: &dyn Fn(&ClassModel) -> Value| self.class.iter().map(of).collect::<Vec<_>>();
        let profile = |c: &ClassModel| {
            json!({"name": c.name, "credit": c.worth, "targetS": c.objective_ms / 1000.0, "lateWorth": c.late_worth,
                "deadlineS": c.deadline_ms / 1000.0, "effect": if c.keyed { "keyed" } else { "safe" },
                "windowS": 10.0})
        };
        json!({
            "name": "lab", "listen": listen, "executor": executor, "records": records, "registry": registry,
            "seed": "1", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "profiles": list(&profile),
                "tenants": [{"name": "lab", "quotaPerS": 1e6, "share": 1.0}],
                "domain": {
                    "nCores": self.executor.cores, "heapKb": self.executor.heap_kb, "runFactor": 8.0,
                    "entryKb": 100.0, "idleS": 30.0, "cold": self.executor.cold_s > 0.0,
                    "dependsOn": "one_for_all", "fairCalls": self.records.slots, "depWindowS": 5.0,
                    "staysForS": 0.2, "classCalls": list(&|c| json!(c.call_probability > 0.0)),
                    "degradedWorth": list(&|c| json!(c.skip_worth)), "passesDeadline": true, "signal": "weight",
                    "ownStats": ["cpu_busy", "runnable", "mem_used", "sockets"], "senders": 4
                },
                "contract": {"fallMultiple": 8.0, "tipAfterS": 3.0, "drainGraceS": 2.5, "graceToAnswerS": 0.1,
                    "coldFrom": self.executor.cold_from, "coldS": self.executor.cold_s},
                "limits": {"maxRetryAfterS": 1.0, "retryAfter": true},
                "clients": {"marksRetry": true}, "overShareWorth": 0.1, "servers": 1, "periodS": 0.004
            }
        })
    }
}
