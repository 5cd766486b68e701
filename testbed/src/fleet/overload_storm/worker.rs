//! A simulated worker around the production dispatcher.

use super::scenario::{FleetMode, Scenario};
use crate::executor::{BusyReading, Executor, Notice};
use crate::experiment::Experiment;
use port_worker::config::Config;
use port_worker::dispatch::{Command, Dispatcher, Input};
use port_worker::fleet::overload::client::FleetOverloadClient;
use port_worker::fleet::overload::REPORT_INTERVAL_S;
use port_worker::{Gauges, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Memory in which the dispatcher keeps the results of runs with idempotency keys (bytes).
const RESULT_BYTES: usize = 1 << 20;
/// Time of a worker's first timer (seconds).
const FIRST_WAKE_S: f64 = 0.025;
/// Clock drift that workers allow for, as a fraction.
const DRIFT_BOUND: f64 = 0.1;

/// An attempt in flight.
pub(super) struct Attempt {
    /// Index of the request in the plan.
    pub number: usize,
    /// Number of the attempt, from 1.
    pub ordinal: u32,
    /// Whether its router ignores Retry-After advice.
    pub ignores_advice: bool,
    /// Deadline of the request.
    pub due: f64,
}

/// A worker: its dispatcher, its executor and its client of fleet-wide overload control.
pub(super) struct Worker {
    pub dispatcher: Dispatcher,
    pub executor: Executor,
    pub client: FleetOverloadClient,
    pub wakes_at: f64,
    pub busy: BusyReading,
    /// Time of the next load report.
    pub next_report: f64,
    /// Number of load reports sent.
    pub reports: u64,
    /// Attempts without a response, by ticket.
    pub attempts_in_flight: BTreeMap<u64, Attempt>,
    /// Whether each ended run skipped its downstream call, by ticket.
    pub degraded: BTreeMap<u64, bool>,
    /// Deadline (microseconds) and name of each run. Like the platform's executor, the simulated one ends a run that waits
    /// for a downstream call when its deadline passes.
    pub run_deadlines: BTreeSet<(u64, Rc<str>)>,
    pub pending_inputs: Vec<Input>,
}

impl Worker {
    /// Creates the worker with this number.
    pub fn new(scenario: &Scenario, experiment: &Experiment, config: &Config, number: usize) -> Worker {
        let mut settings = config.settings.settings(number as u64 + 1);
        settings.key_entry_kb = 0.0;
        settings.workers = scenario.workers as u32;
        settings.fleet_overload_control = scenario.mode != FleetMode::Independent;
        if let Some(dependency) = &mut settings.dependency {
            dependency.share = scenario.slots_per_worker;
        }
        let mut out = Vec::new();
        Worker {
            dispatcher: Dispatcher::new(settings, 0.0, RESULT_BYTES, &mut out),
            executor: Executor::new(experiment.executor.clone(), Vec::new()),
            client: FleetOverloadClient::new(0.0, scenario.slots_per_worker, DRIFT_BOUND),
            wakes_at: FIRST_WAKE_S,
            busy: BusyReading::default(),
            next_report: REPORT_INTERVAL_S * number as f64 / scenario.workers as f64,
            reports: 0,
            attempts_in_flight: BTreeMap::new(),
            degraded: BTreeMap::new(),
            run_deadlines: BTreeSet::new(),
            pending_inputs: Vec::new(),
        }
    }

    /// Collects the executor's notices, and ends the runs that wait for a downstream call after their deadline.
    fn gather(&mut self, now: f64) {
        for (_, notice) in self.executor.advance(now) {
            self.pending_inputs.push(match notice {
                Notice::RunEnded { run: id, degraded } => {
                    self.degraded.insert(u64::from_str_radix(&id, 16).unwrap_or(0), degraded);
                    let result = Some(Rc::from(&b"done"[..]));
                    Input::RunEnded { name: id.as_str().into(), outcome: Outcome::Ok, result }
                }
                Notice::CallRequested { run: id } => {
                    Input::AtCall { name: id.as_str().into(), body: Rc::from(&b"?"[..]), sequence: 0 }
                }
            });
        }
        while self.run_deadlines.first().is_some_and(|(due, _)| *due as f64 / 1e6 <= now) {
            let Some((_, name)) = self.run_deadlines.pop_first() else { break };
            if self.executor.abort_waiting(&name) {
                self.pending_inputs.push(Input::RunEnded { name, outcome: Outcome::Cancelled, result: None });
            }
        }
    }

    fn gauges(&mut self, now: f64, cores: f64) -> Gauges {
        let BusyReading { at: since, busy_s: before } = self.busy;
        let busy = (self.executor.busy_s() - before) / (now - since).max(1e-9) / cores;
        self.busy = BusyReading { at: now, busy_s: self.executor.busy_s() };
        Gauges { cores_busy: Some(busy), runnable: Some(self.executor.running() as f64), connections: None }
    }

    /// Handles all pending inputs, as in one turn of the worker's event loop.
    pub fn handle_inputs(&mut self, now: f64, cores: f64) -> Vec<Command> {
        self.gather(now);
        if now >= self.wakes_at {
            self.wakes_at = f64::INFINITY;
            let gauges = self.gauges(now, cores);
            self.pending_inputs.push(Input::Woken(gauges));
        }
        let inputs = std::mem::take(&mut self.pending_inputs);
        if let Some(overload) = self.dispatcher.overload() {
            overload.set_directive(self.client.directive(now));
        }
        let mut commands = Vec::new();
        self.dispatcher.handle(now, inputs, &mut commands);
        commands
    }
}
