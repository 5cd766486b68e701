//! A worker in virtual time, round the worker's own dispatcher.

use super::shape::{FleetMode, Scenario};
use crate::executor::{BusyReading, Executor, Notice};
use crate::experiment::Experiment;
use port_worker::config::Config;
use port_worker::dispatch::{Command, Dispatcher, Input};
use port_worker::fleet::overload::client::FleetOverloadClient;
use port_worker::fleet::overload::REPORT_INTERVAL_S;
use port_worker::{Gauges, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The dispatcher keeps results of keyed runs in so many bytes.
const RESULT_BYTES: usize = 1 << 20;
/// When a worker first wakes up (seconds).
const FIRST_WAKE_S: f64 = 0.025;
/// The drift of clocks that workers allow for.
const DRIFT_BOUND: f64 = 0.1;

/// An attempt in flight.
pub(super) struct Attempt {
    /// The request, by its place in the plan.
    pub number: usize,
    /// Which attempt of the request it is, from 1.
    pub ordinal: u32,
    /// Its router ignores all advice.
    pub reckless: bool,
    /// When its client waits no longer.
    pub due: f64,
}

/// A worker: its dispatcher, its executor and its part in the fleet.
pub(super) struct Worker {
    pub dispatcher: Dispatcher,
    pub executor: Executor,
    pub client: FleetOverloadClient,
    pub wake: f64,
    pub busy: BusyReading,
    /// When it sends its next report, and how many it has sent.
    pub next_report: f64,
    pub reports: u64,
    /// Attempts without a response, by ticket.
    pub open: BTreeMap<u64, Attempt>,
    /// Runs that skipped their call or did not, by ticket.
    pub degraded: BTreeMap<u64, bool>,
    /// When the requests of runs are over; the executor ends a run at a call then, as the platform's does.
    pub due: BTreeSet<(u64, Rc<str>)>,
    pub inbox: Vec<Input>,
}

impl Worker {
    /// One of the storm's workers, by its number.
    pub fn new(shape: &Scenario, experiment: &Experiment, config: &Config, number: usize) -> Worker {
        let mut settings = config.settings.settings(number as u64 + 1);
        settings.key_entry_kb = 0.0;
        settings.workers = shape.workers as u32;
        settings.fleet_overload_control = shape.mode != FleetMode::Independent;
        if let Some(dependency) = &mut settings.dependency {
            dependency.share = shape.slots_each;
        }
        let mut out = Vec::new();
        Worker {
            dispatcher: Dispatcher::new(settings, 0.0, RESULT_BYTES, &mut out),
            executor: Executor::new(experiment.executor.clone(), Vec::new()),
            client: FleetOverloadClient::new(0.0, shape.slots_each, DRIFT_BOUND),
            wake: FIRST_WAKE_S,
            busy: BusyReading::default(),
            next_report: REPORT_INTERVAL_S * number as f64 / shape.workers as f64,
            reports: 0,
            open: BTreeMap::new(),
            degraded: BTreeMap::new(),
            due: BTreeSet::new(),
            inbox: Vec::new(),
        }
    }

    /// Takes over what the executor has done, and whose time at a call is over.
    fn gather(&mut self, now: f64) {
        for (_, notice) in self.executor.advance(now) {
            self.inbox.push(match notice {
                Notice::Exit { job: id, degraded } => {
                    self.degraded.insert(u64::from_str_radix(&id, 16).unwrap_or(0), degraded);
                    let result = Some(Rc::from(&b"done"[..]));
                    Input::RunEnded { name: id.as_str().into(), outcome: Outcome::Ok, result }
                }
                Notice::Callout { job: id } => {
                    Input::AtCall { name: id.as_str().into(), body: Rc::from(&b"?"[..]), sequence: 0 }
                }
            });
        }
        while self.due.first().is_some_and(|(due, _)| *due as f64 / 1e6 <= now) {
            let Some((_, name)) = self.due.pop_first() else { break };
            if self.executor.end_at_call(&name) {
                self.inbox.push(Input::RunEnded { name, outcome: Outcome::Cancelled, result: None });
            }
        }
    }

    fn gauges(&mut self, now: f64, cores: f64) -> Gauges {
        let BusyReading { at: since, busy_s: before } = self.busy;
        let busy = (self.executor.busy_s() - before) / (now - since).max(1e-9) / cores;
        self.busy = BusyReading { at: now, busy_s: self.executor.busy_s() };
        Gauges { cores_busy: Some(busy), runnable: Some(self.executor.on_cores() as f64), connections: None }
    }

    /// Handles all that has come, as in one turn of the worker's loop.
    pub fn handle_inputs(&mut self, now: f64, cores: f64) -> Vec<Command> {
        self.gather(now);
        if now >= self.wake {
            self.wake = f64::INFINITY;
            let gauges = self.gauges(now, cores);
            self.inbox.push(Input::Woken(gauges));
        }
        let inputs = std::mem::take(&mut self.inbox);
        if let Some(overload) = self.dispatcher.overload() {
            overload.set_directive(self.client.directive(now));
        }
        let mut commands = Vec::new();
        self.dispatcher.handle(now, inputs, &mut commands);
        commands
    }
}
