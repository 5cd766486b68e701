//! The state of a storm and its steps.

use super::reports::ReportExchange;
use super::result::StormResult;
use super::service::{active_interval, Service};
use super::shape::{FleetMode, Scenario};
use super::worker::{Attempt, Worker};
use crate::callers::{plan_requests, PlannedRequest};
use crate::error::TestbedError;
use crate::executor::Work;
use crate::experiment::Experiment;
use port_worker::config::Config;
use port_worker::dispatch::{Command, Input, Request, Response, Ticket};
use port_worker::fleet::overload::leader::{Leader, Settings as LeaderSettings};
use port_worker::Outcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A step of the world (seconds): a worker's turn.
const STEP_S: f64 = 0.005;
/// Clients have their deadlines after the last arrival; the world goes on for so long (seconds).
const AFTER_S: f64 = 4.0;
/// An attempt that would have less time than this is not made (seconds).
const LEAST_TIME_LEFT_S: f64 = 0.05;
/// A client that would have less time than this makes no retry (seconds).
const LEAST_RETRY_TIME_S: f64 = 0.1;
/// How long a client pauses at least, and how long one that ignores all advice does (seconds).
const LEAST_PAUSE_S: f64 = 0.05;
/// How long a router takes to try another worker (seconds).
const ROUTER_PAUSE_S: f64 = 0.002;
/// Mixed into the seed, so that routing differs from the draw of requests.
const ROUTING_SEED: u64 = 0x5707;
/// The multiplier of the trace: FNV's prime.
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

/// The next attempt of a client.
#[derive(Clone, Copy)]
struct NextAttempt {
    /// The request, by its place in the plan.
    number: usize,
    attempt: u32,
    reckless: bool,
}

/// The attempts of a second.
#[derive(Clone, Copy, Default)]
struct AttemptCounts {
    first: f64,
    retries: f64,
}

/// How a request was answered, as the trace has it.
#[derive(Clone, Copy, PartialEq)]
enum ResponseKind {
    Served = 1,
    Rejected = 2,
    Failed = 3,
}

/// A storm that is played.
pub(super) struct World {
    shape: Scenario,
    experiment: Experiment,
    requests: Vec<PlannedRequest>,
    rng: ChaCha8Rng,
    workers: Vec<Worker>,
    service: Service,
    leader: Leader,
    /// Attempts to come, by their time (microseconds) and order.
    attempts: BTreeMap<(u64, u64), NextAttempt>,
    order: u64,
    tickets: u64,
    reports: ReportExchange,
    /// By second.
    counts: Vec<AttemptCounts>,
    /// When each call in flight times out.
    call_timeouts: BTreeMap<(usize, Rc<str>), f64>,
    pub result: StormResult,
}

impl World {
    /// A storm before its first step.
    pub fn new(shape: &Scenario, seed: u64) -> Result<World, TestbedError> {
        let mut experiment = Experiment::decode(WORKLOAD)?;
        experiment.load = shape.load * shape.workers as f64;
        experiment.length_s = shape.length_s;
        let requests = plan_requests(&experiment, seed);
        let nowhere = "127.0.0.1:1";
        let config = Config::decode(&experiment.config(nowhere, nowhere, nowhere, nowhere).to_string())?;
        let worth = vec![0.0; shape.length_s as usize];
        let asked = requests.iter().map(|request| experiment.class[request.class].worth).sum();
        let mut world = World {
            workers: (0..shape.workers).map(|n| Worker::new(shape, &experiment, &config, n)).collect(),
            service: Service::new(shape, &experiment.records),
            leader: Leader::new(0.0, LeaderSettings { base_calls: shape.slots_each, retry_share: 0.1 }),
            rng: ChaCha8Rng::seed_from_u64(seed ^ ROUTING_SEED),
            attempts: BTreeMap::new(),
            order: 0,
            tickets: 0,
            reports: ReportExchange::default(),
            counts: vec![AttemptCounts::default(); shape.length_s as usize + 8],
            call_timeouts: BTreeMap::new(),
            result: StormResult { worth, asked, ..StormResult::default() },
            requests,
            experiment,
            shape: shape.clone(),
        };
        for number in 0..world.requests.len() {
            let reckless = world.rng.random_bool(shape.reckless);
            world.attempt_at(world.requests[number].at, NextAttempt { number, attempt: 1, reckless });
        }
        Ok(world)
    }

    fn attempt_at(&mut self, at: f64, next: NextAttempt) {
        self.order += 1;
        self.attempts.insert(((at * 1e6) as u64, self.order), next);
    }

    /// Plays to the end.
    pub fn run(&mut self) {
        let end = self.shape.length_s + AFTER_S;
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
            if self.shape.mode != FleetMode::Independent && self.shape.mode != FleetMode::Leaderless {
                let events = self.reports.exchange(now, &self.shape, &mut self.workers, &mut self.leader);
                self.result.events.extend(events.into_iter().map(|event| (now, event)));
            }
        }
        self.sum_up();
    }

    fn sum_up(&mut self) {
        let down_s: f64 = self.shape.down.iter().map(|d| (d.for_s - 1.0).max(0.0)).sum();
        let zones = self.shape.zones as f64;
        self.result.most_calls = self.service.most_of_slots();
        self.result.trials_per_s = self.service.trials as f64 / down_s.max(1e-9) / zones;
        // While requests arrive: after that there are no first attempts to compare retries with.
        let while_arriving = &self.counts[..self.shape.length_s as usize];
        let ratio = |counts: &AttemptCounts| counts.retries / counts.first.max(1.0);
        self.result.retries = while_arriving.iter().map(ratio).fold(0.0, f64::max);
        self.result.owed = self.workers.iter().map(|w| w.open.len()).sum();
    }

    /// Ends the calls that are answered or time out by now.
    fn end_calls(&mut self, now: f64) {
        while let Some((worker, name)) = self.service.take_ended(now) {
            self.call_timeouts.remove(&(worker, name.clone()));
            let down = active_interval(&self.shape.down, now).is_some();
            let (outcome, reply) =
                if down { (Outcome::Unreachable, None) } else { (Outcome::Ok, Some(Rc::from(&b"!"[..]))) };
            self.workers[worker].inbox.push(Input::CallEnded { name, outcome, reply });
        }
        let over: Vec<(usize, Rc<str>)> =
            self.call_timeouts.iter().filter(|(_, end)| **end <= now).map(|(key, _)| key.clone()).collect();
        for (worker, name) in over {
            self.call_timeouts.remove(&(worker, name.clone()));
            self.service.cancel(now, worker, &name);
            let ended = Input::CallEnded { name, outcome: Outcome::TimedOut, reply: None };
            self.workers[worker].inbox.push(ended);
        }
    }

    /// Delivers the attempts that are due by now, each to a worker that its router draws.
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
        let NextAttempt { number, attempt, reckless } = next;
        let planned = &self.requests[number];
        let class = &self.experiment.class[planned.class];
        let due = planned.at + class.deadline_ms / 1000.0;
        if due - now < LEAST_TIME_LEFT_S {
            return;
        }
        let counts = &mut self.counts[now as usize];
        if attempt == 1 {
            counts.first += 1.0;
        } else {
            counts.retries += 1.0;
        }
        self.tickets += 1;
        let worker = self.rng.random_range(0..self.workers.len());
        let request = Request {
            ticket: Ticket(self.tickets),
            name: format!("{:016x}", self.tickets).into(),
            class: planned.class,
            tenant: Some(0),
            caller: 1,
            memory_kb: planned.need_kb,
            read_at: None,
            read_delay_s: 0.0,
            time_left_s: due - now,
            estimate_s: None,
            key: class.keyed.then(|| format!("k{number}").into()),
            retry: attempt > 1,
            body: planned.work.body().into(),
        };
        let worker = &mut self.workers[worker];
        worker.open.insert(self.tickets, Attempt { number, ordinal: attempt, reckless, due });
        worker.inbox.push(Input::Arrived(request));
    }

    fn run_worker(&mut self, now: f64, w: usize) {
        let cores = f64::from(self.experiment.executor.cores);
        for command in self.workers[w].handle_inputs(now, cores) {
            let worker = &mut self.workers[w];
            match command {
                Command::Respond(ticket, response) => self.responded(now, w, ticket.0, &response),
                Command::Run { name, body, deadline: due, .. } => {
                    worker.executor.start(&name, Work::read(&body));
                    worker.due.insert(((due.max(0.0) * 1e6) as u64, name));
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
                Command::WakeIn(after) => worker.wake = now + after,
                _ => {}
            }
        }
    }

    fn responded(&mut self, now: f64, w: usize, ticket: u64, response: &Response) {
        let worker = &mut self.workers[w];
        let degraded = worker.degraded.remove(&ticket).unwrap_or(false);
        let Some(attempt) = worker.open.remove(&ticket) else { return };
        let kind = match response {
            Response::Served(_) => ResponseKind::Served,
            Response::Rejected { .. } => ResponseKind::Rejected,
            _ => ResponseKind::Failed,
        };
        self.result.trace = (self.result.trace ^ ticket ^ ((kind as u64) << 60)).wrapping_mul(TRACE_PRIME);
        if kind == ResponseKind::Served {
            self.earn(now, attempt.number, degraded);
        } else {
            self.retry(now, &attempt, response);
        }
    }

    fn earn(&mut self, now: f64, number: usize, degraded: bool) {
        let planned = &self.requests[number];
        let class = &self.experiment.class[planned.class];
        let in_aim = (now - planned.at) * 1000.0 <= class.aim_ms;
        let kept = if degraded { class.skip_worth } else { 1.0 };
        if let Some(second) = self.result.worth.get_mut(now as usize).filter(|_| in_aim) {
            *second += class.worth * kept;
        }
    }

    /// Plans the retry of an attempt that was not served, if there is one.
    fn retry(&mut self, now: f64, failed: &Attempt, response: &Response) {
        let Attempt { number, ordinal: attempt, reckless, due } = *failed;
        let (advice, stop_retrying) = match response {
            Response::Rejected { retry_after_s, stop_retrying } => (*retry_after_s, *stop_retrying),
            _ => (0.0, true),
        };
        // A router that is told that others may help tries another worker; clients come back after the time that they
        // were told; those that ignore all advice come back immediately, for as long as they wait.
        let pause = if reckless {
            LEAST_PAUSE_S
        } else if !stop_retrying && attempt == 1 {
            ROUTER_PAUSE_S
        } else {
            advice.max(LEAST_PAUSE_S)
        };
        let may_retry = reckless || attempt <= self.shape.retries;
        if may_retry && now + pause < due - LEAST_RETRY_TIME_S {
            self.attempt_at(now + pause, NextAttempt { number, attempt: attempt + 1, reckless });
        }
    }
}
