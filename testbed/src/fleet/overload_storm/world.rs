//! State of an overload experiment, and its time steps.

use super::reports::ReportExchange;
use super::result::StormResult;
use super::scenario::{FleetMode, Scenario};
use super::service::{current_interval, Service};
use super::worker::{Attempt, Worker};
use crate::callers::{plan_requests, PlannedRequest};
use crate::error::TestbedError;
use crate::executor::Work;
use crate::experiment::Experiment;
use port_worker::config::Config;
use port_worker::dispatch::{Command, Input, Request, Response, Ticket};
use port_worker::fleet::overload::leader::{OverloadLeader, OverloadLeaderSettings};
use port_worker::Outcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Length of a time step, in which each worker's event loop makes one turn (seconds).
const STEP_S: f64 = 0.005;
/// Time simulated after the last arrival, which covers the deadlines of all requests (seconds).
const DRAIN_S: f64 = 4.0;
/// No attempt is made with less time than this to its deadline (seconds).
const MIN_TIME_LEFT_S: f64 = 0.05;
/// No retry is planned with less time than this to its deadline (seconds).
const MIN_RETRY_TIME_S: f64 = 0.1;
/// Shortest pause before a client's retry, and the pause of a router that ignores advice (seconds).
const MIN_PAUSE_S: f64 = 0.05;
/// Time that a router takes to try another worker (seconds).
const FAILOVER_PAUSE_S: f64 = 0.002;
/// Combined with the seed, so that routing is independent of the planned requests.
const ROUTING_SEED: u64 = 0x5707;
/// Multiplier of the trace hash: the 64-bit FNV prime.
const TRACE_PRIME: u64 = 0x0100_0000_01b3;

/// The workload: many small requests, most of which make a downstream call.
const WORKLOAD: &str = "name = \"storm\"\nseeds = [1]\nlength_s = 10.0\nload = 0.8\n[executor]\ncores = 4\n\
    [records]\nslots = 4\ncall_ms = 8.0\n\
    [[class]]\nname = \"status-check\"\nshare = 0.5\nwork_ms = 8.0\ncv = 0.7\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 1.0\ncalls = 0.5\nskip_worth = 0.5\n\
    [[class]]\nname = \"eligibility\"\nshare = 0.35\nwork_ms = 12.0\ncv = 0.7\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 2.0\ncalls = 1.0\n\
    [[class]]\nname = \"port-submit\"\nshare = 0.15\nwork_ms = 10.0\ncv = 0.8\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 5.0\nkeyed = true\ncalls = 1.0\n[[variant]]\nname = \"x\"\n";

/// A client's next attempt.
#[derive(Clone, Copy)]
struct NextAttempt {
    /// Index of the request in the plan.
    number: usize,
    attempt: u32,
    ignores_advice: bool,
}

/// Number of attempts in one second.
#[derive(Clone, Copy, Default)]
struct AttemptCounts {
    first_attempts: f64,
    retries: f64,
}

/// Kind of a response; its value enters the trace hash.
#[derive(Clone, Copy, PartialEq)]
enum ResponseKind {
    Served = 1,
    Rejected = 2,
    Failed = 3,
}

/// A running overload experiment.
pub(super) struct World {
    scenario: Scenario,
    experiment: Experiment,
    requests: Vec<PlannedRequest>,
    rng: ChaCha8Rng,
    workers: Vec<Worker>,
    service: Service,
    leader: OverloadLeader,
    /// Planned attempts, by time (microseconds) and order of planning.
    attempts: BTreeMap<(u64, u64), NextAttempt>,
    order: u64,
    last_ticket: u64,
    reports: ReportExchange,
    /// Attempts in each second.
    counts: Vec<AttemptCounts>,
    /// Time at which each call in flight times out.
    call_timeouts: BTreeMap<(usize, Rc<str>), f64>,
    pub result: StormResult,
}

impl World {
    /// Creates the state before the first step.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<World, TestbedError> {
        let mut experiment = Experiment::decode(WORKLOAD)?;
        experiment.load = scenario.load * scenario.workers as f64;
        experiment.length_s = scenario.length_s;
        let requests = plan_requests(&experiment, seed);
        let nowhere = "127.0.0.1:1";
        let config = Config::decode(&experiment.config(nowhere, nowhere, nowhere, nowhere).to_string())?;
        let weight_by_second = vec![0.0; scenario.length_s as usize];
        let weight_requested = requests.iter().map(|request| experiment.class[request.class].worth).sum();
        let mut world = World {
            workers: (0..scenario.workers).map(|n| Worker::new(scenario, &experiment, &config, n)).collect(),
            service: Service::new(scenario, &experiment.records),
            leader: OverloadLeader::new(
                0.0,
                OverloadLeaderSettings { base_calls: scenario.slots_per_worker, retry_share: 0.1 },
            ),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ROUTING_SEED),
            attempts: BTreeMap::new(),
            order: 0,
            last_ticket: 0,
            reports: ReportExchange::default(),
            counts: vec![AttemptCounts::default(); scenario.length_s as usize + 8],
            call_timeouts: BTreeMap::new(),
            result: StormResult { weight_by_second, weight_requested, ..StormResult::default() },
            requests,
            experiment,
            scenario: scenario.clone(),
        };
        for number in 0..world.requests.len() {
            let ignores_advice = world.rng.random_bool(scenario.share_ignoring_advice);
            world.schedule_attempt(
                world.requests[number].at,
                NextAttempt { number, attempt: 1, ignores_advice },
            );
        }
        Ok(world)
    }

    fn schedule_attempt(&mut self, at: f64, next: NextAttempt) {
        self.order += 1;
        self.attempts.insert(((at * 1e6) as u64, self.order), next);
    }

    /// Simulates the steps until [`DRAIN_S`] after the last arrivals.
    pub fn run(&mut self) {
        let end = self.scenario.length_s + DRAIN_S;
        let mut steps = 0u64;
        loop {
            steps += 1;
            let now = steps as f64 * STEP_S;
            if now >= end {
                break;
            }
            self.end_calls(now);
            self.deliver_attempts(now);
            for w in 0..self.workers.len() {
                self.run_worker(now, w);
            }
            if self.scenario.mode != FleetMode::Independent && self.scenario.mode != FleetMode::Leaderless {
                let events = self.reports.exchange(now, &self.scenario, &mut self.workers, &mut self.leader);
                self.result.events.extend(events.into_iter().map(|event| (now, event)));
            }
        }
        self.summarize();
    }

    fn summarize(&mut self) {
        let down_s: f64 = self.scenario.down.iter().map(|d| (d.for_s - 1.0).max(0.0)).sum();
        let zones = self.scenario.zones as f64;
        self.result.peak_calls_per_slot = self.service.peak_per_slot();
        self.result.probe_calls_per_s = self.service.probe_calls as f64 / down_s.max(1e-9) / zones;
        // The ratio is taken only while requests arrive: afterwards there are no first attempts to compare retries with.
        let while_arriving = &self.counts[..self.scenario.length_s as usize];
        let ratio = |counts: &AttemptCounts| counts.retries / counts.first_attempts.max(1.0);
        self.result.peak_retry_ratio = while_arriving.iter().map(ratio).fold(0.0, f64::max);
        self.result.unanswered = self.workers.iter().map(|w| w.attempts_in_flight.len()).sum();
    }

    /// Ends the calls that have completed or timed out by now.
    fn end_calls(&mut self, now: f64) {
        while let Some((worker, name)) = self.service.take_ended(now) {
            self.call_timeouts.remove(&(worker, name.clone()));
            let down = current_interval(&self.scenario.down, now).is_some();
            let (outcome, reply) =
                if down { (Outcome::Unreachable, None) } else { (Outcome::Ok, Some(Rc::from(&b"!"[..]))) };
            self.workers[worker].pending_inputs.push(Input::CallEnded { name, outcome, reply });
        }
        let timed_out: Vec<(usize, Rc<str>)> =
            self.call_timeouts.iter().filter(|(_, end)| **end <= now).map(|(key, _)| key.clone()).collect();
        for (worker, name) in timed_out {
            self.call_timeouts.remove(&(worker, name.clone()));
            self.service.cancel(now, worker, &name);
            let ended = Input::CallEnded { name, outcome: Outcome::TimedOut, reply: None };
            self.workers[worker].pending_inputs.push(ended);
        }
    }

    /// Delivers the attempts that are due, each to a worker that its router picks at random.
    fn deliver_attempts(&mut self, now: f64) {
        while let Some((&(when, _), _)) = self.attempts.first_key_value() {
            if when as f64 / 1e6 > now {
                break;
            }
            let Some((_, next)) = self.attempts.pop_first() else { break };
            self.deliver(now, next);
        }
    }

    fn deliver(&mut self, now: f64, next: NextAttempt) {
        let NextAttempt { number, attempt, ignores_advice } = next;
        let planned = &self.requests[number];
        let class = &self.experiment.class[planned.class];
        let due = planned.at + class.deadline_ms / 1000.0;
        if due - now < MIN_TIME_LEFT_S {
            return;
        }
        let counts = &mut self.counts[now as usize];
        if attempt == 1 {
            counts.first_attempts += 1.0;
        } else {
            counts.retries += 1.0;
        }
        self.last_ticket += 1;
        let worker = self.rng.random_range(0..self.workers.len());
        let request = Request {
            ticket: Ticket(self.last_ticket),
            name: format!("{:016x}", self.last_ticket).into(),
            class: planned.class,
            tenant: Some(0),
            principal: None,
            caller: 1,
            memory_kb: planned.memory_kb,
            read_at: None,
            read_delay_s: 0.0,
            time_left_s: due - now,
            estimate_s: None,
            key: class.keyed.then(|| format!("k{number}").into()),
            retry: attempt > 1,
            body: planned.work.body().into(),
        };
        let worker = &mut self.workers[worker];
        worker
            .attempts_in_flight
            .insert(self.last_ticket, Attempt { number, ordinal: attempt, ignores_advice, due });
        worker.pending_inputs.push(Input::Arrived(request));
    }

    fn run_worker(&mut self, now: f64, w: usize) {
        let cores = f64::from(self.experiment.executor.cores);
        for command in self.workers[w].handle_inputs(now, cores) {
            let worker = &mut self.workers[w];
            match command {
                Command::Respond(ticket, response) => self.handle_response(now, w, ticket.0, &response),
                Command::Run { name, body, deadline: due, .. } => {
                    worker.executor.start(&name, Work::decode(&body));
                    worker.run_deadlines.insert(((due.max(0.0) * 1e6) as u64, name));
                }
                Command::Call { name, timeout_s, .. } => {
                    self.call_timeouts.insert((w, name.clone()), now + timeout_s);
                    self.service.call(now, w, name);
                }
                Command::CancelCall(name) => {
                    self.call_timeouts.remove(&(w, name.clone()));
                    self.service.cancel(now, w, &name);
                }
                Command::Resume { name, .. } => drop(worker.executor.resume(&name, false)),
                Command::SkipCall { name, .. } => drop(worker.executor.resume(&name, true)),
                Command::WakeIn(after) => worker.wakes_at = now + after,
                _ => {}
            }
        }
    }

    fn handle_response(&mut self, now: f64, w: usize, ticket: u64, response: &Response) {
        let worker = &mut self.workers[w];
        let degraded = worker.degraded.remove(&ticket).unwrap_or(false);
        let Some(attempt) = worker.attempts_in_flight.remove(&ticket) else { return };
        let kind = match response {
            Response::Served(_) => ResponseKind::Served,
            Response::Rejected { .. } => ResponseKind::Rejected,
            _ => ResponseKind::Failed,
        };
        self.result.trace = (self.result.trace ^ ticket ^ ((kind as u64) << 60)).wrapping_mul(TRACE_PRIME);
        if kind == ResponseKind::Served {
            self.add_weight(now, attempt.number, degraded);
        } else {
            self.retry(now, &attempt, response);
        }
    }

    fn add_weight(&mut self, now: f64, number: usize, degraded: bool) {
        let planned = &self.requests[number];
        let class = &self.experiment.class[planned.class];
        let in_objective = (now - planned.at) * 1000.0 <= class.objective_ms;
        let weight_factor = if degraded { class.skip_worth } else { 1.0 };
        if let Some(second) = self.result.weight_by_second.get_mut(now as usize).filter(|_| in_objective) {
            *second += class.worth * weight_factor;
        }
    }

    /// Plans a retry of an attempt that was not served, if its router or client makes one.
    fn retry(&mut self, now: f64, failed: &Attempt, response: &Response) {
        let Attempt { number, ordinal: attempt, ignores_advice, due } = *failed;
        let (advice, stop_retrying) = match response {
            Response::Rejected { retry_after_s, stop_retrying } => (*retry_after_s, *stop_retrying),
            _ => (0.0, true),
        };
        // After a first rejection that permits retries, a router tries another worker. Clients retry after the advised time.
        // Routers that ignore advice retry after the shortest pause, until the deadline.
        let pause = if ignores_advice {
            MIN_PAUSE_S
        } else if !stop_retrying && attempt == 1 {
            FAILOVER_PAUSE_S
        } else {
            advice.max(MIN_PAUSE_S)
        };
        let may_retry = ignores_advice || attempt <= self.scenario.max_retries;
        if may_retry && now + pause < due - MIN_RETRY_TIME_S {
            self.schedule_attempt(now + pause, NextAttempt { number, attempt: attempt + 1, ignores_advice });
        }
    }
}
