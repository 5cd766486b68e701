//! Runs an experiment on loopback: a real worker process in real time, with the models behind real sockets.
//!
//! Each connection of a peer has a thread. Callers over HTTP/1.1 have a thread each, and their number is bounded; those
//! over HTTP/2 share one thread. All requests are generated in advance, so that each variant receives the same requests
//! at the same times.

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
use crate::console::{self, ConsoleCalls};
use crate::error::TestbedError;
use crate::experiment::{Experiment, Variant};
use crate::floods::{self, FloodResult};
use crate::measure::{
    LimitChange, PoolResult, RequestOutcome, TrialResult, SURVIVABLE_RUNS_PER_CORE, SURVIVABLE_WINDOW_S,
};
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

/// The time between the creation of a trial's clock and the clock's start. The worker starts in this time, in which the
/// models see time 0.
const START_DELAY: Duration = Duration::from_millis(700);

/// The outcome of each request, by its number; `None` while it has no response.
type RequestOutcomes = Arc<Mutex<Vec<Option<RequestOutcome>>>>;

/// Runs one variant with one seed against the worker program.
///
/// # Errors
/// Fails if the worker does not start, does not exit cleanly, or a thread of the trial panics.
pub fn run_trial(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    worker: &Path,
) -> Result<TrialResult, TestbedError> {
    let requests = Arc::new(plan_requests(experiment, seed));
    let (stop_peers, stop_load) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (executor_listener, executor_address) = bind_listener()?;
    let (records_listener, records_address) = bind_listener()?;
    let registry = UdpSocket::bind("127.0.0.1:0")?;
    let registry_address = registry.local_addr()?;
    let config = worker_config(experiment, variant, [executor_address, records_address, registry_address]);
    let clock = Clock::from_now_in(START_DELAY);
    let executor = serve_executor(executor_listener, experiment, clock, &stop_peers);
    serve_records(records_listener, experiment, clock, &stop_peers);
    let mut worker_process =
        WorkerProcess::start(variant.worker.as_deref().unwrap_or(worker), &config, &variant.operator)?;
    let console = match variant.console_interval_ms {
        Some(interval_ms) => Some((worker_process.address("frontend=console address=")?, interval_ms)),
        None => None,
    };
    let address = worker_process.address("frontend=http address=")?;
    let console = console.map(|(address, interval_ms)| {
        console::poll(address, interval_ms, variant.held_console_connections, &stop_load)
    });
    let idle_kb = worker_process.resident_kb();
    let peak_kb = floods::track_peak_memory(worker_process.resident_kb_reader(), &stop_load);
    let flooders = match variant.flood {
        Some(flood) => {
            let address = worker_process.address("frontend=http2 address=")?;
            floods::start(flood, variant.flood_connections, address, &stop_load)
        }
        None => Vec::new(),
    };
    clock.sleep_until(0.0);
    let outcomes = Arc::new(Mutex::new(vec![None; requests.len()]));
    let callers = match variant.http2_streams {
        Some(streams) => {
            let address = worker_process.address("frontend=http2 address=")?;
            vec![http2_callers::start(experiment, &requests, clock, address, streams, &outcomes)]
        }
        None => http1_callers::start(experiment, &requests, clock, address, &outcomes),
    };
    let cpu_before = worker_process.cpu_ms();
    clock.sleep_until(experiment.length_s / 4.0);
    let memory_before = worker_process.resident_kb();
    for caller in callers {
        let _ = caller.join();
    }
    let (memory_after, cpu_after) = (worker_process.resident_kb(), worker_process.cpu_ms());
    stop_load.store(true, Ordering::Relaxed);
    let calls = match console {
        Some(thread) => thread.join().map_err(|_| TestbedError::ThreadFailed { owner: "console" })?,
        None => ConsoleCalls::default(),
    };
    let lines = worker_process.terminate()?;
    stop_peers.store(true, Ordering::Relaxed);
    let executor = executor.join().map_err(|_| TestbedError::ThreadFailed { owner: "executor" })?;
    let mut result = TrialResult::from_outcomes(experiment, &variant.name, seed, &requests, &lock(&outcomes));
    result.console_ms = [calls.p50_ms, calls.p99_ms, calls.max_ms];
    result.console_calls = calls.total;
    result.console_failures = calls.failed;
    result.peak_extra_memory_mb = (peak_kb.join().unwrap_or(f64::INFINITY) - idle_kb) / 1024.0;
    add_floods(&mut result, flooders)?;
    result.peak_concurrency_ratio =
        executor.peak_mean_concurrency(SURVIVABLE_WINDOW_S) / SURVIVABLE_RUNS_PER_CORE;
    result.peak_running = executor.peak_running;
    result.memory_growth = memory_after / memory_before.max(1.0);
    result.cpu_ms = (cpu_after - cpu_before) / requests.len().max(1) as f64;
    read_log(&lines, &mut result);
    Ok(result)
}

/// The worker's configuration; `peers` are the addresses of the executor, the records service and the registry.
fn worker_config(experiment: &Experiment, variant: &Variant, peers: [SocketAddr; 3]) -> Value {
    let [executor, records, registry] = peers.map(|address| address.to_string());
    let mut config = experiment.config("127.0.0.1:0", &executor, &records, &registry);
    if variant.console_interval_ms.is_some() {
        config["console"] = json!("127.0.0.1:0");
    }
    config
}

fn add_floods(result: &mut TrialResult, flooders: Vec<JoinHandle<FloodResult>>) -> Result<(), TestbedError> {
    for flooder in flooders {
        let flood = flooder.join().map_err(|_| TestbedError::ThreadFailed { owner: "flood" })?;
        result.flood_connections += flood.connections;
        result.flood_closed += flood.closed_by_worker;
        result.flood_mb += flood.bytes as f64 / 1e6;
    }
    Ok(())
}

/// Reads the pools' state and limit changes from the worker's log; times count from the first line.
fn read_log(lines: &[String], result: &mut TrialResult) {
    let started_at = lines.first().and_then(|line| seconds_of_day(line)).unwrap_or(0.0);
    for line in lines {
        read_log_line(line, started_at, result);
    }
}

/// Reads the pools' state or a limit change from a line of the worker's log.
fn read_log_line(line: &str, started_at: f64, result: &mut TrialResult) {
    if let Some(state) = line.split_once("pools_state state=").and_then(|(_, text)| parse_quoted(text)) {
        result.idle_reserve_waits = state["reserve_kept"].as_u64().unwrap_or(u64::MAX);
        let pools = state["pools"].as_array().map_or(&[][..], Vec::as_slice);
        let number = |v: &Value| v.as_u64().unwrap_or(0);
        let pool_result = |p: &Value| PoolResult {
            name: p["name"].as_str().unwrap_or("").to_owned(),
            started: number(&p["started"]),
            rejected: number(&p["refused"]),
        };
        result.pools = pools.iter().map(pool_result).collect();
    } else if let Some((_, rest)) = line.split_once("pool_limit_changed limit=") {
        let mut words = rest.split(' ');
        let limit = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        let cause = words.find_map(|w| w.strip_prefix("cause=")).unwrap_or("");
        let since_start = seconds_of_day(line).unwrap_or(0.0) - started_at;
        // Log times are seconds of the day, and midnight may pass during the trial.
        let at = since_start.rem_euclid(SECONDS_PER_DAY);
        result.limits.push(LimitChange { at, slots: limit, cause: cause.to_owned() });
    }
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Parses the JSON value of a quoted log field.
fn parse_quoted(text: &str) -> Option<Value> {
    let json: String = serde_json::from_str(text).ok()?;
    serde_json::from_str(&json).ok()
}

/// The time of a log line: seconds since midnight, from a time like `2026-12-02T13:55:12.123456Z`.
fn seconds_of_day(line: &str) -> Option<f64> {
    let (_, time) = line.split(' ').next()?.strip_suffix('Z')?.split_once('T')?;
    time.split(':').try_fold(0.0, |seconds, part| Some(seconds * 60.0 + part.parse::<f64>().ok()?))
}
