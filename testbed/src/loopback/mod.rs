//! Plays an experiment on loopback: a real worker, and the models behind real sockets, in real time.
//!
//! A thread or two for each peer and one for each request in flight: simple, and bounded by the experiment's length
//! and its callers. What callers send is drawn ahead, so that two variants get the same requests at the same times.

mod attempt;
mod clock;
mod executor_server;
mod http1_callers;
mod http1_message;
mod http2_callers;
mod listener;
mod records_server;
mod worker_process;

pub use attempt::platform_header_lines;
pub use clock::Clock;
pub use executor_server::serve_executor;
pub use http1_message::read_message;

use crate::callers::plan_requests;
use crate::console::{self, Calls};
use crate::error::TestbedError;
use crate::experiment::{Experiment, Variant};
use crate::floods::{self, Flooded};
use crate::measure::{LimitChange, PoolResult, RequestEnd, TrialResult, CROWD_BOUND, CROWD_S};
use crate::sync::lock;
use listener::bind_listener;
use records_server::serve_records;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use worker_process::WorkerProcess;

/// The play begins when the worker is up. What is before that is time 0 to the models.
const START_DELAY: Duration = Duration::from_millis(700);

/// How each request ended, by its number; `None` where a response is owed.
type RequestEnds = Arc<Mutex<Vec<Option<RequestEnd>>>>;

/// Plays one variant with one seed against a worker's program.
///
/// # Errors
/// The worker does not start or end, or a thread of the play panicked.
pub fn run_trial(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    worker: &Path,
) -> Result<TrialResult, TestbedError> {
    let requests = Arc::new(plan_requests(experiment, seed));
    let (over, called) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (executor_listener, executor_at) = bind_listener()?;
    let (records_listener, records_at) = bind_listener()?;
    let registry = UdpSocket::bind("127.0.0.1:0")?;
    let registry_at = registry.local_addr()?;
    let config = worker_config(experiment, variant, [executor_at, records_at, registry_at]);
    let clock = Clock::from_now_in(START_DELAY);
    let executor = serve_executor(executor_listener, experiment, clock, &over);
    serve_records(records_listener, experiment, clock, &over);
    let mut worker_process =
        WorkerProcess::start(variant.worker.as_deref().unwrap_or(worker), &config, &variant.operator)?;
    let console = match variant.console_interval_ms {
        Some(every_ms) => Some((worker_process.address("frontend=console address=")?, every_ms)),
        None => None,
    };
    let address = worker_process.address("frontend=http address=")?;
    let console =
        console.map(|(at, every_ms)| console::watch(at, every_ms, variant.held_console_connections, &called));
    let rest_kb = worker_process.resident_kb();
    let peak = floods::watch_memory(worker_process.resident(), &called);
    let flooders = match variant.flood {
        Some(flood) => {
            let address = worker_process.address("frontend=http2 address=")?;
            floods::start(flood, variant.flood_connections, address, &called)
        }
        None => Vec::new(),
    };
    clock.sleep_until(0.0);
    let ends = Arc::new(Mutex::new(vec![None; requests.len()]));
    let callers = match variant.http2_streams {
        Some(streams) => {
            let address = worker_process.address("frontend=http2 address=")?;
            vec![http2_callers::start(experiment, &requests, clock, address, streams, &ends)]
        }
        None => http1_callers::start(experiment, &requests, clock, address, &ends),
    };
    let cpu_before = worker_process.cpu_ms();
    clock.sleep_until(experiment.length_s / 4.0);
    let memory = worker_process.resident_kb();
    for caller in callers {
        let _ = caller.join();
    }
    let (memory_after, cpu_after) = (worker_process.resident_kb(), worker_process.cpu_ms());
    called.store(true, Ordering::Relaxed);
    let calls = match console {
        Some(calls) => calls.join().map_err(|_| TestbedError::ThreadFailed { owner: "the console" })?,
        None => Calls::default(),
    };
    let lines = worker_process.terminate()?;
    over.store(true, Ordering::Relaxed);
    let executor = executor.join().map_err(|_| TestbedError::ThreadFailed { owner: "the executor" })?;
    let mut play = TrialResult::of(experiment, &variant.name, seed, &requests, &lock(&ends));
    play.console = [calls.p50_ms, calls.p99_ms, calls.most_ms];
    play.console_made = calls.made;
    play.console_bad = calls.bad;
    play.memory_over_mb = (peak.join().unwrap_or(f64::INFINITY) - rest_kb) / 1024.0;
    add_floods(&mut play, flooders)?;
    play.peak_concurrency_ratio = executor.peak_mean_concurrency(CROWD_S) / CROWD_BOUND;
    play.most_on_cores = executor.most_on_cores;
    play.memory_growth = memory_after / memory.max(1.0);
    play.cpu_ms = (cpu_after - cpu_before) / requests.len().max(1) as f64;
    read_log(&lines, &mut play);
    Ok(play)
}

/// The configuration of the worker; `peers` are the executor, the records service and the registry.
fn worker_config(experiment: &Experiment, variant: &Variant, peers: [SocketAddr; 3]) -> Value {
    let [executor, records, registry] = peers.map(|address| address.to_string());
    let mut config = experiment.config("127.0.0.1:0", &executor, &records, &registry);
    if variant.console_interval_ms.is_some() {
        config["console"] = json!("127.0.0.1:0");
    }
    config
}

fn add_floods(play: &mut TrialResult, flooders: Vec<JoinHandle<Flooded>>) -> Result<(), TestbedError> {
    for flooder in flooders {
        let flood = flooder.join().map_err(|_| TestbedError::ThreadFailed { owner: "a flooder" })?;
        play.flood_connections += flood.connections;
        play.flood_ended += flood.ended;
        play.flood_mb += flood.bytes as f64 / 1e6;
    }
    Ok(())
}

/// Takes what the worker's log says of its pools; times count from the first line.
fn read_log(lines: &[String], play: &mut TrialResult) {
    let started_at = lines.first().and_then(|line| seconds_of_day(line)).unwrap_or(0.0);
    for line in lines {
        read_log_line(line, started_at, play);
    }
}

/// Takes what the worker's log says of its pools.
fn read_log_line(line: &str, started_at: f64, play: &mut TrialResult) {
    if let Some(state) = line.split_once("pools_state state=").and_then(|(_, text)| parse_quoted(text)) {
        play.idle_reserve_waits = state["reserve_kept"].as_u64().unwrap_or(u64::MAX);
        let pools = state["pools"].as_array().map_or(&[][..], Vec::as_slice);
        let number = |v: &Value| v.as_u64().unwrap_or(0);
        let result = |p: &Value| PoolResult {
            name: p["name"].as_str().unwrap_or("").to_owned(),
            started: number(&p["started"]),
            rejected: number(&p["refused"]),
        };
        play.pools = pools.iter().map(result).collect();
    } else if let Some((_, rest)) = line.split_once("pool_limit_changed limit=") {
        let mut words = rest.split(' ');
        let limit = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        let cause = words.find_map(|w| w.strip_prefix("cause=")).unwrap_or("");
        let since_start = seconds_of_day(line).unwrap_or(0.0) - started_at;
        // The day may end in between.
        let at = since_start.rem_euclid(SECONDS_PER_DAY);
        play.limits.push(LimitChange { at, slots: limit, cause: cause.to_owned() });
    }
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// The JSON value in a quoted field of the log.
fn parse_quoted(text: &str) -> Option<Value> {
    let json: String = serde_json::from_str(text).ok()?;
    serde_json::from_str(&json).ok()
}

/// When a line of the log was written: seconds since midnight, from a time like `2026-12-02T13:55:12.123456Z`.
fn seconds_of_day(line: &str) -> Option<f64> {
    let (_, time) = line.split(' ').next()?.strip_suffix('Z')?.split_once('T')?;
    time.split(':').try_fold(0.0, |seconds, part| Some(seconds * 60.0 + part.parse::<f64>().ok()?))
}
