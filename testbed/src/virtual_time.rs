//! Plays an experiment in virtual time round the worker's own core: no sockets, no clock, the same seed gives the
//! same play.

use crate::callers::{next_retry, plan_requests, PlannedRequest};
use crate::error::TestbedError;
use crate::executor::{BusyReading, Executor, Notice, Work};
use crate::experiment::{Experiment, Variant};
use crate::measure::{LimitChange, PoolResult, RequestEnd, TrialResult, CROWD_BOUND, CROWD_S};
use crate::records::Records;
use port_worker::config::{Config, OperatorSettings};
use port_worker::dispatch::{Command, Dispatcher, Input, Request, Response, Ticket};
use port_worker::pools::PoolState;
use port_worker::{Gauges, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A play goes on for this long after the last arrival (seconds).
const AFTER_S: f64 = 8.0;
/// The core keeps results of keyed runs in so many bytes.
const RESULT_BYTES: usize = 16 << 20;

struct World<'a> {
    experiment: &'a Experiment,
    requests: &'a [PlannedRequest],
    dispatcher: Dispatcher,
    executor: Executor,
    records: Records,
    /// Tries to come: time in microseconds, number of the request, which try.
    tries: BTreeMap<(u64, usize), u32>,
    /// Tickets stand for a request and its try.
    open: BTreeMap<u64, (usize, u32)>,
    ends: Vec<Option<RequestEnd>>,
    degraded: BTreeMap<usize, bool>,
    until: BTreeMap<String, f64>,
    wake: f64,
    tickets: u64,
    busy: BusyReading,
    idle_reserve_waits: u64,
    limits: Vec<LimitChange>,
}

/// Plays one variant with one seed.
///
/// # Errors
/// The experiment or the variant makes no valid configuration.
pub fn run_trial(experiment: &Experiment, variant: &Variant, seed: u64) -> Result<TrialResult, TestbedError> {
    let nowhere = "127.0.0.1:1";
    let config = Config::decode(&experiment.config(nowhere, nowhere, nowhere, nowhere).to_string())?;
    let operator = OperatorSettings::decode(&variant.operator, &config)?;
    let mut settings = config.settings.settings(1);
    settings.key_entry_kb = 0.0;
    settings.pools = operator.pools.as_ref().map(|p| p.plan(&config.settings)).transpose()?;
    let requests = plan_requests(experiment, seed);
    let mut out = Vec::new();
    let dispatcher = Dispatcher::new(settings, 0.0, RESULT_BYTES, &mut out);
    let mut world = World {
        experiment,
        requests: &requests,
        dispatcher,
        executor: Executor::new(experiment.executor.clone(), experiment.slow.clone()),
        records: Records::new(experiment.records.clone(), experiment.stall.clone()),
        tries: requests.iter().map(|a| (((a.at * 1e6) as u64, a.number), 1)).collect(),
        open: BTreeMap::new(),
        ends: vec![None; requests.len()],
        degraded: BTreeMap::new(),
        until: BTreeMap::new(),
        wake: f64::INFINITY,
        tickets: 0,
        busy: BusyReading::default(),
        idle_reserve_waits: 0,
        limits: Vec::new(),
    };
    world.carry_out(0.0, out);
    world.run(experiment.length_s + AFTER_S);
    let mut play = TrialResult::of(experiment, &variant.name, seed, &requests, &world.ends);
    play.peak_concurrency_ratio = world.executor.peak_mean_concurrency(CROWD_S) / CROWD_BOUND;
    play.most_on_cores = world.executor.most_on_cores;
    play.idle_reserve_waits = world.idle_reserve_waits;
    play.limits = world.limits;
    let state = world.dispatcher.pools();
    let result = |p: PoolState| PoolResult { name: p.name, started: p.started, rejected: p.rejected };
    play.pools = state.map_or(Vec::new(), |s| s.pools.into_iter().map(result).collect());
    Ok(play)
}

fn name_of(ticket: u64) -> String {
    format!("{ticket:016x}")
}

impl World<'_> {
    fn run(&mut self, end: f64) {
        let mut now = 0.0;
        while now < end {
            let next_try = self.tries.keys().next().map(|(at, _)| *at as f64 / 1e6);
            let call_over = self.until.values().copied().fold(f64::INFINITY, f64::min);
            let times = [
                next_try,
                self.executor.next_notice_at(),
                self.records.next_reply_at(),
                Some(call_over),
                Some(self.wake),
            ];
            // A step past a speed change is broken off there: 10 ms at most, like the model's own.
            let next = times.into_iter().flatten().fold(now + 0.01, f64::min).max(now + 1e-6);
            now = next;
            let mut inputs = Vec::new();
            for (_, notice) in self.executor.advance(now) {
                inputs.push(match notice {
                    Notice::RunEnded { run: id, degraded } => {
                        if let Some((number, _)) = number_of(&id).and_then(|t| self.open.get(&t).copied()) {
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
                if self.until.remove(&id).is_some() {
                    let reply = Some(Rc::from(&b"!"[..]));
                    inputs.push(Input::CallEnded { name: id.as_str().into(), outcome: Outcome::Ok, reply });
                }
            }
            let over: Vec<String> =
                self.until.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
            for id in over {
                self.until.remove(&id);
                self.records.cancel(&id);
                inputs.push(Input::CallEnded {
                    name: id.as_str().into(),
                    outcome: Outcome::TimedOut,
                    reply: None,
                });
            }
            while let Some((&(at, number), &tries)) =
                self.tries.iter().next().filter(|((at, _), _)| *at as f64 / 1e6 <= now)
            {
                self.tries.remove(&(at, number));
                inputs.push(Input::Arrived(self.request(now, number, tries)));
            }
            if now >= self.wake {
                self.wake = f64::INFINITY;
                inputs.push(Input::Woken(self.gauges(now)));
            }
            let mut out = Vec::new();
            self.dispatcher.handle(now, inputs, &mut out);
            self.carry_out(now, out);
        }
    }

    fn gauges(&mut self, now: f64) -> Gauges {
        let BusyReading { at: since, busy_s: before } = self.busy;
        let cores = f64::from(self.experiment.executor.cores);
        let busy = if now > since { (self.executor.busy_s() - before) / (now - since) / cores } else { 0.0 };
        self.busy = BusyReading { at: now, busy_s: self.executor.busy_s() };
        if let Some(state) = self.dispatcher.pools() {
            if self.limits.last().map_or(true, |l| l.slots != state.limit_slots || l.cause != state.cause) {
                let cause = state.cause.to_owned();
                self.limits.push(LimitChange { at: now, slots: state.limit_slots, cause });
            }
            self.idle_reserve_waits = state.idle_reserve_waits;
        }
        Gauges { cores_busy: Some(busy), runnable: Some(self.executor.running() as f64), connections: None }
    }

    fn request(&mut self, now: f64, number: usize, tries: u32) -> Request {
        let a = &self.requests[number];
        let class = &self.experiment.class[a.class];
        self.tickets += 1;
        self.open.insert(self.tickets, (number, tries));
        Request {
            ticket: Ticket(self.tickets),
            name: name_of(self.tickets).into(),
            class: a.class,
            tenant: Some(0),
            caller: 1,
            memory_kb: a.memory_kb,
            read_at: None,
            read_delay_s: 0.0,
            time_left_s: (a.at + class.deadline_ms / 1000.0 - now).max(0.01),
            estimate_s: None,
            key: class.keyed.then(|| format!("k{number}").into()),
            retry: tries > 1,
            body: a.work.body().into(),
        }
    }

    fn responded(&mut self, now: f64, ticket: u64, response: &Response) {
        let Some((number, tries)) = self.open.remove(&ticket) else { return };
        let (end, advice) = match response {
            Response::Served(_) => {
                let degraded = self.degraded.remove(&number).unwrap_or(false);
                self.ends[number] = Some(RequestEnd::Served { at: now, degraded });
                return;
            }
            Response::Rejected { retry_after_s, .. } => (RequestEnd::Rejected, *retry_after_s),
            _ => (RequestEnd::Failed, 0.0),
        };
        // A client that retries has not ended; its end is that of the last attempt.
        match next_retry(self.experiment, tries, now, &self.requests[number], advice) {
            Some(at) => drop(self.tries.insert(((at * 1e6) as u64, number), tries + 1)),
            None => self.ends[number] = Some(end),
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
                    self.until.insert(name.to_string(), now + timeout_s);
                }
                Command::CancelCall(name) => {
                    self.until.remove(&*name);
                    self.records.cancel(&name);
                }
                Command::Resume { name, .. } => {
                    self.executor.resume(&name, false);
                }
                Command::SkipCall { name, .. } => {
                    self.executor.resume(&name, true);
                }
                Command::WakeIn(after) => self.wake = now + after,
                Command::Health(_)
                | Command::Publish(_)
                | Command::Log(_)
                | Command::IdempotencyUpdate(_) => {}
            }
        }
    }
}

fn number_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name, 16).ok()
}
