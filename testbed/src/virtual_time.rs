//! Runs an experiment in virtual time around the worker's dispatcher, without sockets or a clock: the same seed gives
//! the same results.

use crate::callers::{next_retry, plan_requests, PlannedRequest};
use crate::error::TestbedError;
use crate::executor::{BusyReading, Executor, Notice, Work};
use crate::experiment::{Experiment, Variant};
use crate::measure::{
    LimitChange, PoolResult, RequestOutcome, TrialResult, SURVIVABLE_RUNS_PER_CORE, SURVIVABLE_WINDOW_S,
};
use crate::records::Records;
use port_worker::config::{Config, OperatorSettings};
use port_worker::dispatch::{Command, Dispatcher, Input, Request, Response, Ticket};
use port_worker::pools::PoolState;
use port_worker::{Gauges, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long a trial continues after the last arrival (seconds).
const DRAIN_S: f64 = 8.0;
/// The memory in which the dispatcher keeps the results of keyed runs.
const MAX_RESULT_BYTES: usize = 16 << 20;

/// The state of a trial: the dispatcher, the models around it, and the clients' requests.
struct Simulation<'a> {
    experiment: &'a Experiment,
    requests: &'a [PlannedRequest],
    dispatcher: Dispatcher,
    executor: Executor,
    records: Records,
    /// Future attempts: the time (microseconds) and the request's number, with the number of the attempt.
    future_attempts: BTreeMap<(u64, usize), u32>,
    /// The request and the attempt for each ticket without a response.
    open_attempts: BTreeMap<u64, (usize, u32)>,
    outcomes: Vec<Option<RequestOutcome>>,
    /// Whether the last run of a request was degraded, by the request's number, until its response.
    degraded: BTreeMap<usize, bool>,
    /// When each downstream call in flight times out.
    call_timeouts: BTreeMap<String, f64>,
    /// When the dispatcher is woken next.
    wake_at: f64,
    last_ticket: u64,
    last_reading: BusyReading,
    idle_reserve_waits: u64,
    limits: Vec<LimitChange>,
}

/// Runs one variant with one seed.
///
/// # Errors
/// Fails if the experiment or the variant's operator file does not make a valid configuration.
pub fn run_trial(experiment: &Experiment, variant: &Variant, seed: u64) -> Result<TrialResult, TestbedError> {
    let unused = "127.0.0.1:1";
    let config = Config::decode(&experiment.config(unused, unused, unused, unused).to_string())?;
    let operator = OperatorSettings::decode(&variant.operator, &config)?;
    let mut settings = config.settings.settings(1);
    settings.key_entry_kb = 0.0;
    settings.pools = operator.pools.as_ref().map(|p| p.plan(&config.settings)).transpose()?;
    let requests = plan_requests(experiment, seed);
    let mut commands = Vec::new();
    let dispatcher = Dispatcher::new(settings, 0.0, MAX_RESULT_BYTES, &mut commands);
    let mut simulation = Simulation {
        experiment,
        requests: &requests,
        dispatcher,
        executor: Executor::new(experiment.executor.clone(), experiment.slow.clone()),
        records: Records::new(experiment.records.clone(), experiment.stall.clone()),
        future_attempts: requests.iter().map(|r| (((r.at * 1e6) as u64, r.number), 1)).collect(),
        open_attempts: BTreeMap::new(),
        outcomes: vec![None; requests.len()],
        degraded: BTreeMap::new(),
        call_timeouts: BTreeMap::new(),
        wake_at: f64::INFINITY,
        last_ticket: 0,
        last_reading: BusyReading::default(),
        idle_reserve_waits: 0,
        limits: Vec::new(),
    };
    simulation.carry_out(0.0, commands);
    simulation.run(experiment.length_s + DRAIN_S);
    let mut result =
        TrialResult::from_outcomes(experiment, &variant.name, seed, &requests, &simulation.outcomes);
    result.peak_concurrency_ratio =
        simulation.executor.peak_mean_concurrency(SURVIVABLE_WINDOW_S) / SURVIVABLE_RUNS_PER_CORE;
    result.peak_running = simulation.executor.peak_running;
    result.idle_reserve_waits = simulation.idle_reserve_waits;
    result.limits = simulation.limits;
    let state = simulation.dispatcher.pools();
    let pool_result = |p: PoolState| PoolResult { name: p.name, started: p.started, rejected: p.rejected };
    result.pools = state.map_or(Vec::new(), |s| s.pools.into_iter().map(pool_result).collect());
    Ok(result)
}

fn run_name(ticket: u64) -> String {
    format!("{ticket:016x}")
}

impl Simulation<'_> {
    fn run(&mut self, end: f64) {
        let mut now = 0.0;
        while now < end {
            let next_attempt = self.future_attempts.keys().next().map(|(at, _)| *at as f64 / 1e6);
            let next_timeout = self.call_timeouts.values().copied().fold(f64::INFINITY, f64::min);
            let times = [
                next_attempt,
                self.executor.next_notice_at(),
                self.records.next_reply_at(),
                Some(next_timeout),
                Some(self.wake_at),
            ];
            // Steps of at most 10 ms, like those of the executor model, since its speed changes with time.
            let next = times.into_iter().flatten().fold(now + 0.01, f64::min).max(now + 1e-6);
            now = next;
            let mut inputs = Vec::new();
            for (_, notice) in self.executor.advance(now) {
                inputs.push(match notice {
                    Notice::RunEnded { run: id, degraded } => {
                        if let Some((number, _)) =
                            ticket_of(&id).and_then(|t| self.open_attempts.get(&t).copied())
                        {
                            self.degraded.insert(number, degraded);
                        }
                        let result = Some(Rc::from(&b"done"[..]));
                        Input::RunEnded { name: id.as_str().into(), outcome: Outcome::Ok, result }
                    }
                    Notice::CallRequested { run: id } => {
                        Input::AtCall { name: id.as_str().into(), body: Rc::from(&b"?"[..]), sequence: 0 }
                    }
                });
            }
            for id in self.records.advance(now) {
                if self.call_timeouts.remove(&id).is_some() {
                    let reply = Some(Rc::from(&b"!"[..]));
                    inputs.push(Input::CallEnded { name: id.as_str().into(), outcome: Outcome::Ok, reply });
                }
            }
            let timed_out: Vec<String> =
                self.call_timeouts.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
            for id in timed_out {
                self.call_timeouts.remove(&id);
                self.records.cancel(&id);
                inputs.push(Input::CallEnded {
                    name: id.as_str().into(),
                    outcome: Outcome::TimedOut,
                    reply: None,
                });
            }
            while let Some((&(at, number), &attempt)) =
                self.future_attempts.iter().next().filter(|((at, _), _)| *at as f64 / 1e6 <= now)
            {
                self.future_attempts.remove(&(at, number));
                inputs.push(Input::Arrived(self.request(now, number, attempt)));
            }
            if now >= self.wake_at {
                self.wake_at = f64::INFINITY;
                inputs.push(Input::Woken(self.gauges(now)));
            }
            let mut commands = Vec::new();
            self.dispatcher.handle(now, inputs, &mut commands);
            self.carry_out(now, commands);
        }
    }

    fn gauges(&mut self, now: f64) -> Gauges {
        let BusyReading { at: since, busy_s: before } = self.last_reading;
        let cores = f64::from(self.experiment.executor.cores);
        let busy = if now > since { (self.executor.busy_s() - before) / (now - since) / cores } else { 0.0 };
        self.last_reading = BusyReading { at: now, busy_s: self.executor.busy_s() };
        if let Some(state) = self.dispatcher.pools() {
            if self.limits.last().map_or(true, |l| l.slots != state.limit_slots || l.cause != state.cause) {
                let cause = state.cause.to_owned();
                self.limits.push(LimitChange { at: now, slots: state.limit_slots, cause });
            }
            self.idle_reserve_waits = state.idle_reserve_waits;
        }
        Gauges { cores_busy: Some(busy), runnable: Some(self.executor.running() as f64), connections: None }
    }

    fn request(&mut self, now: f64, number: usize, attempt: u32) -> Request {
        let planned = &self.requests[number];
        let class = &self.experiment.class[planned.class];
        self.last_ticket += 1;
        self.open_attempts.insert(self.last_ticket, (number, attempt));
        Request {
            ticket: Ticket(self.last_ticket),
            name: run_name(self.last_ticket).into(),
            class: planned.class,
            tenant: Some(0),
            principal: None,
            caller: 1,
            memory_kb: planned.memory_kb,
            read_at: None,
            read_delay_s: 0.0,
            time_left_s: (planned.at + class.deadline_ms / 1000.0 - now).max(0.01),
            estimate_s: None,
            key: class.keyed.then(|| format!("k{number}").into()),
            retry: attempt > 1,
            body: planned.work.body().into(),
        }
    }

    /// Records the outcome of a request, or plans its next attempt.
    fn responded(&mut self, now: f64, ticket: u64, response: &Response) {
        let Some((number, attempt)) = self.open_attempts.remove(&ticket) else { return };
        let (outcome, retry_after_s) = match response {
            Response::Served(_) => {
                let degraded = self.degraded.remove(&number).unwrap_or(false);
                self.outcomes[number] = Some(RequestOutcome::Served { at: now, degraded });
                return;
            }
            Response::Rejected { retry_after_s, .. } => (RequestOutcome::Rejected, *retry_after_s),
            _ => (RequestOutcome::Failed, 0.0),
        };
        // The outcome of a request is that of its last attempt.
        match next_retry(self.experiment, attempt, now, &self.requests[number], retry_after_s) {
            Some(at) => drop(self.future_attempts.insert(((at * 1e6) as u64, number), attempt + 1)),
            None => self.outcomes[number] = Some(outcome),
        }
    }

    fn carry_out(&mut self, now: f64, commands: Vec<Command>) {
        let mut commands = VecDeque::from(commands);
        while let Some(command) = commands.pop_front() {
            match command {
                Command::Respond(ticket, response) => self.responded(now, ticket.0, &response),
                Command::Run { name, body, .. } => {
                    self.executor.start(&name, Work::decode(&body));
                }
                Command::Call { name, timeout_s, .. } => {
                    self.records.call(now, &name);
                    self.call_timeouts.insert(name.to_string(), now + timeout_s);
                }
                Command::CancelCall(name) => {
                    self.call_timeouts.remove(&*name);
                    self.records.cancel(&name);
                }
                Command::Resume { name, .. } => {
                    self.executor.resume(&name, false);
                }
                Command::SkipCall { name, .. } => {
                    self.executor.resume(&name, true);
                }
                Command::WakeIn(after) => self.wake_at = now + after,
                Command::Health(_)
                | Command::Publish(_)
                | Command::Log(_)
                | Command::IdempotencyUpdate(_) => {}
            }
        }
    }
}

fn ticket_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name, 16).ok()
}
