//! Many workers under one load in virtual time, round the worker's own core and the fleet's own decisions: routers that walk
//! on and clients that try again, a service below that slows when it is crowded, and a leader whose view is as old as the
//! links make it. The same seed gives the same storm with and without the fleet's part.

use crate::callers::{plan_requests, PlannedRequest};
use crate::error::TestbedError;
use crate::executor::{BusyReading, Executor, Notice, Work};
use crate::experiment::{Experiment, Slow};
use crate::measure::interval;
use port_worker::config::Config;
use port_worker::dispatch::{Command, Dispatcher, Input, Request, Response, Ticket};
use port_worker::fleet::overload::client::FleetOverloadClient;
use port_worker::fleet::overload::leader::{Leader, Settings as Overload};
use port_worker::fleet::overload::{FleetDigest, LoadReport, REPORT_INTERVAL_S};
use port_worker::{Gauges, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A step of the world (seconds): a worker's turn.
const STEP_S: f64 = 0.005;
const RESULT_BYTES: usize = 1 << 20;
/// A call that was given up still works below for so long (seconds), as the workers' settings say.
const LINGER_S: f64 = 0.2;
/// The worker that lies, where one does.
const LIAR: usize = 1;
/// The workload: many small requests, of which most call below.
const SITE: &str = "name = \"storm\"\nseeds = [1]\nlength_s = 10.0\nload = 0.8\n[executor]\ncores = 4\n\
    [records]\nslots = 4\ncall_ms = 8.0\n\
    [[class]]\nname = \"status-check\"\nshare = 0.5\nwork_ms = 8.0\ncv = 0.7\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 1.0\ncalls = 0.5\nskip_worth = 0.5\n\
    [[class]]\nname = \"eligibility\"\nshare = 0.35\nwork_ms = 12.0\ncv = 0.7\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 2.0\ncalls = 1.0\n\
    [[class]]\nname = \"port-submit\"\nshare = 0.15\nwork_ms = 10.0\ncv = 0.8\naim_ms = 1000.0\ndeadline_ms = 3000.0\n\
    worth = 5.0\nkeyed = true\ncalls = 1.0\n[[variant]]\nname = \"x\"\n";

/// What is played.
#[derive(Clone, Debug)]
pub struct Shape {
    pub workers: usize,
    pub zones: usize,
    pub load: f64,
    pub length_s: f64,
    /// Times at which the service is slower by so many times.
    pub slow: Vec<Slow>,
    /// Times at which every call fails at once.
    pub down: Vec<Slow>,
    /// Calls that the service has in hand before it slows, for each worker.
    pub slots_each: f64,
    /// Further tries of a client at most; and the share of routers that ignore all advice and bounds.
    pub tries: u32,
    pub reckless: f64,
    pub part: Part,
    /// How old digests are when they come (seconds).
    pub late_s: f64,
}

/// What the fleet does in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Every worker alone, as without `[fleet.overload]`.
    Alone,
    Fleet,
    /// No coordinator ever answers.
    Absent,
    /// One worker reports nonsense.
    Liar,
    /// Every worker hears its first digest again and again, with a fresh stamp.
    Frozen,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            workers: 20,
            zones: 2,
            load: 0.8,
            length_s: 30.0,
            slow: Vec::new(),
            down: Vec::new(),
            slots_each: 4.0,
            tries: 3,
            reckless: 0.2,
            part: Part::Fleet,
            late_s: 0.01,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Storm {
    /// What was earned in each second, and what was asked.
    pub worth: Vec<f64>,
    pub asked: f64,
    /// The most calls in the service's hands at once, against its slots.
    pub most_calls: f64,
    /// Calls made while the service was down, a second and zone, from a second after its beginning.
    pub trials_per_s: f64,
    /// Further tries for each first one, in the second in which most came.
    pub further: f64,
    pub owed: usize,
    /// What the leader logged, with its time.
    pub lines: Vec<(f64, String)>,
    /// A digest of all answers: the same seed gives the same.
    pub trace: u64,
}

impl Storm {
    pub fn earned(&self) -> f64 {
        self.worth.iter().sum::<f64>() / self.asked
    }

    fn mean(&self, from: usize, to: usize) -> f64 {
        let part = self.worth.get(from..to.min(self.worth.len())).unwrap_or(&[]);
        part.iter().sum::<f64>() / (part.len() as f64).max(1.0)
    }

    /// How long after `end` it took until 95% of the worth before `start` was earned for two seconds running.
    pub fn back_after_s(&self, start: usize, end: usize) -> f64 {
        let usual = self.mean(3, start) * 0.95;
        let back = (end..self.worth.len().saturating_sub(1)).find(|s| self.mean(*s, s + 2) >= usual);
        back.map_or(f64::INFINITY, |s| (s - end) as f64)
    }
}

/// One try under way.
struct Try {
    number: usize,
    tries: u32,
    reckless: bool,
    due: f64,
}

struct Worker {
    core: Dispatcher,
    executor: Executor,
    side: FleetOverloadClient,
    wake: f64,
    busy: BusyReading,
    tells_at: f64,
    reports: u64,
    open: BTreeMap<u64, Try>,
    degraded: BTreeMap<u64, bool>,
    /// When the requests of runs are over; the executor ends a run at a call then, as the platform's does.
    due: BTreeMap<(u64, Rc<str>), ()>,
    inbox: Vec<Input>,
}

/// The service that all share.
struct Service {
    slots: f64,
    call_s: f64,
    thrash: f64,
    slow: Vec<Slow>,
    down: Vec<Slow>,
    /// Calls by their end: worker and name.
    calls: BTreeMap<(u64, u64), (usize, Rc<str>)>,
    /// Given up, and until when they still work.
    lingering: Vec<f64>,
    next: u64,
    most: f64,
    tried: u64,
}

fn at(times: &[Slow], now: f64) -> Option<&Slow> {
    times.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&now))
}

impl Service {
    fn call(&mut self, now: f64, worker: usize, name: Rc<str>) {
        self.lingering.retain(|end| *end > now);
        let in_hand = (self.calls.len() + self.lingering.len() + 1) as f64;
        let crowd = (in_hand / self.slots - 1.0).max(0.0);
        let times = at(&self.slow, now).map_or(1.0, |s| s.times);
        let mut took = self.call_s * times * (1.0 + self.thrash * crowd);
        if let Some(down) = at(&self.down, now) {
            took = 0.001;
            // A second passes until the fleet can have given it up.
            self.tried += u64::from(now > down.at_s + 1.0);
        }
        self.most = self.most.max(in_hand);
        self.next += 1;
        self.calls.insert((((now + took) * 1e6) as u64, self.next), (worker, name));
    }

    fn give_up(&mut self, now: f64, worker: usize, name: &str) {
        let before = self.calls.len();
        self.calls.retain(|_, (w, n)| *w != worker || &**n != name);
        if self.calls.len() < before {
            self.lingering.push(now + LINGER_S);
        }
    }
}

/// A client's next try at a worker.
type Next = (usize, u32, bool);

struct World {
    shape: Shape,
    experiment: Experiment,
    requests: Vec<PlannedRequest>,
    rng: ChaCha8Rng,
    workers: Vec<Worker>,
    service: Service,
    leader: Leader,
    tries: BTreeMap<(u64, u64), Next>,
    order: u64,
    tickets: u64,
    /// Reports on their way up, and digests on their way down.
    up: VecDeque<(f64, usize, LoadReport)>,
    down: VecDeque<(f64, usize, u64, FleetDigest)>,
    first: Vec<Option<FleetDigest>>,
    /// By second: first tries and further ones.
    counts: Vec<(f64, f64)>,
    until: BTreeMap<(usize, Rc<str>), f64>,
    storm: Storm,
}

/// Plays one seed.
///
/// # Errors
/// The workload above can't be read.
pub fn play(shape: &Shape, seed: u64) -> Result<Storm, TestbedError> {
    let mut experiment = Experiment::decode(SITE)?;
    (experiment.load, experiment.length_s) = (shape.load * shape.workers as f64, shape.length_s);
    let requests = plan_requests(&experiment, seed);
    let nowhere = "127.0.0.1:1";
    let config = Config::decode(&experiment.config(nowhere, nowhere, nowhere, nowhere).to_string())?;
    let worker = |n: usize| {
        let mut settings = config.settings.settings(n as u64 + 1);
        settings.key_entry_kb = 0.0;
        settings.workers = shape.workers as u32;
        settings.overload = shape.part != Part::Alone;
        if let Some(dependency) = &mut settings.dependency {
            dependency.share = shape.slots_each;
        }
        let mut out = Vec::new();
        Worker {
            core: Dispatcher::new(settings, 0.0, RESULT_BYTES, &mut out),
            executor: Executor::new(experiment.executor.clone(), Vec::new()),
            side: FleetOverloadClient::new(0.0, shape.slots_each, 0.1),
            wake: 0.025,
            busy: BusyReading::default(),
            tells_at: REPORT_INTERVAL_S * n as f64 / shape.workers as f64,
            reports: 0,
            open: BTreeMap::new(),
            degraded: BTreeMap::new(),
            due: BTreeMap::new(),
            inbox: Vec::new(),
        }
    };
    let mut world = World {
        workers: (0..shape.workers).map(worker).collect(),
        service: Service {
            slots: shape.slots_each * shape.workers as f64,
            call_s: experiment.records.call_ms / 1000.0,
            thrash: experiment.records.thrash,
            slow: shape.slow.clone(),
            down: shape.down.clone(),
            calls: BTreeMap::new(),
            lingering: Vec::new(),
            next: 0,
            most: 0.0,
            tried: 0,
        },
        leader: Leader::lead(0.0, Overload { base_calls: shape.slots_each, retry_share: 0.1 }),
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5707),
        tries: BTreeMap::new(),
        order: 0,
        tickets: 0,
        up: VecDeque::new(),
        down: VecDeque::new(),
        first: vec![None; shape.workers],
        counts: vec![(0.0, 0.0); shape.length_s as usize + 8],
        until: BTreeMap::new(),
        storm: Storm { worth: vec![0.0; shape.length_s as usize], ..Storm::default() },
        requests,
        experiment,
        shape: shape.clone(),
    };
    world.storm.asked = world.requests.iter().map(|a| world.experiment.class[a.class].worth).sum();
    for n in 0..world.requests.len() {
        let reckless = world.rng.random_bool(shape.reckless);
        world.try_at(world.requests[n].at, (n, 1, reckless));
    }
    world.run();
    Ok(world.storm)
}

impl World {
    fn try_at(&mut self, at: f64, next: Next) {
        self.order += 1;
        self.tries.insert(((at * 1e6) as u64, self.order), next);
    }

    fn run(&mut self) {
        // Clients have their deadlines after the last arrival.
        let end = self.shape.length_s + 4.0;
        let mut steps = 0u64;
        loop {
            steps += 1;
            let now = steps as f64 * STEP_S;
            if now >= end {
                break;
            }
            self.below(now);
            self.arrive(now);
            for w in 0..self.workers.len() {
                self.turn(now, w);
            }
            if self.shape.part != Part::Alone && self.shape.part != Part::Absent {
                self.speak(now);
            }
        }
        let down_s: f64 = self.shape.down.iter().map(|d| (d.for_s - 1.0).max(0.0)).sum();
        self.storm.most_calls = self.service.most / self.service.slots;
        self.storm.trials_per_s = self.service.tried as f64 / down_s.max(1e-9) / self.shape.zones as f64;
        // While requests come: after that there are no first tries to hold further ones against.
        let asked = &self.counts[..self.shape.length_s as usize];
        self.storm.further = asked.iter().map(|(first, more)| more / first.max(1.0)).fold(0.0, f64::max);
        self.storm.owed = self.workers.iter().map(|w| w.open.len()).sum();
    }

    /// Calls that end by now, or are given up.
    fn below(&mut self, now: f64) {
        while let Some((&(end, _), _)) = self.service.calls.first_key_value() {
            if end as f64 / 1e6 > now {
                break;
            }
            let Some((_, (worker, name))) = self.service.calls.pop_first() else { break };
            self.until.remove(&(worker, name.clone()));
            let down = at(&self.shape.down, now).is_some();
            let (outcome, reply) = match down {
                true => (Outcome::Unreachable, None),
                false => (Outcome::Ok, Some(Rc::from(&b"!"[..]))),
            };
            self.workers[worker].inbox.push(Input::CallEnded { name, outcome, reply });
        }
        let over: Vec<(usize, Rc<str>)> =
            self.until.iter().filter(|(_, end)| **end <= now).map(|(key, _)| key.clone()).collect();
        for (worker, name) in over {
            self.until.remove(&(worker, name.clone()));
            self.service.give_up(now, worker, &name);
            let ended = Input::CallEnded { name, outcome: Outcome::TimedOut, reply: None };
            self.workers[worker].inbox.push(ended);
        }
    }

    /// Tries that come by now, each at a worker drawn by its router.
    fn arrive(&mut self, now: f64) {
        while let Some((&(when, _), _)) = self.tries.first_key_value() {
            if when as f64 / 1e6 > now {
                break;
            }
            let Some((_, (number, tries, reckless))) = self.tries.pop_first() else { break };
            let a = &self.requests[number];
            let class = &self.experiment.class[a.class];
            let due = a.at + class.deadline_ms / 1000.0;
            if due - now < 0.05 {
                continue;
            }
            let count = &mut self.counts[now as usize];
            *if tries == 1 { &mut count.0 } else { &mut count.1 } += 1.0;
            self.tickets += 1;
            let worker = self.rng.random_range(0..self.workers.len());
            let request = Request {
                ticket: Ticket(self.tickets),
                name: format!("{:016x}", self.tickets).into(),
                class: a.class,
                tenant: Some(0),
                caller: 1,
                kb: a.need_kb,
                read_at: None,
                read_delay_s: 0.0,
                time_left_s: due - now,
                estimate_s: None,
                key: class.keyed.then(|| format!("k{number}").into()),
                retry: tries > 1,
                body: a.work.body().into(),
            };
            let worker = &mut self.workers[worker];
            worker.open.insert(self.tickets, Try { number, tries, reckless, due });
            worker.inbox.push(Input::Arrived(request));
        }
    }

    fn turn(&mut self, now: f64, w: usize) {
        let worker = &mut self.workers[w];
        for (_, notice) in worker.executor.advance(now) {
            worker.inbox.push(match notice {
                Notice::Exit { job: id, degraded } => {
                    worker.degraded.insert(u64::from_str_radix(&id, 16).unwrap_or(0), degraded);
                    let result = Some(Rc::from(&b"done"[..]));
                    Input::RunEnded { name: id.as_str().into(), outcome: Outcome::Ok, result }
                }
                Notice::Callout { job: id } => {
                    Input::AtCall { name: id.as_str().into(), body: Rc::from(&b"?"[..]), mark: 0 }
                }
            });
        }
        while let Some(first) = worker.due.first_entry().filter(|e| e.key().0 as f64 / 1e6 <= now) {
            let ((_, name), ()) = first.remove_entry();
            if worker.executor.end_at_call(&name) {
                worker.inbox.push(Input::RunEnded { name, outcome: Outcome::Cancelled, result: None });
            }
        }
        if now >= worker.wake {
            worker.wake = f64::INFINITY;
            let BusyReading { at: since, busy_s: before } = worker.busy;
            let cores = f64::from(self.experiment.executor.cores);
            let busy = (worker.executor.busy_s() - before) / (now - since).max(1e-9) / cores;
            worker.busy = BusyReading { at: now, busy_s: worker.executor.busy_s() };
            worker.inbox.push(Input::Woken(Gauges {
                cores_busy: Some(busy),
                runnable: Some(worker.executor.on_cores() as f64),
                connections: None,
            }));
        }
        let inputs = std::mem::take(&mut worker.inbox);
        if let Some(overload) = worker.core.overload() {
            overload.set_directive(worker.side.directive(now));
        }
        let mut commands = Vec::new();
        worker.core.handle(now, inputs, &mut commands);
        for command in commands {
            let worker = &mut self.workers[w];
            match command {
                Command::Respond(ticket, answer) => self.answered(now, w, ticket.0, &answer),
                Command::Run { name, body, due, .. } => {
                    worker.executor.start(&name, Work::read(&body));
                    worker.due.insert(((due.max(0.0) * 1e6) as u64, name), ());
                }
                Command::Call { name, for_s, .. } => {
                    self.until.insert((w, name.clone()), now + for_s);
                    self.service.call(now, w, name);
                }
                Command::GiveUpCall(name) => {
                    self.until.remove(&(w, name.clone()));
                    self.service.give_up(now, w, &name);
                }
                Command::Resume { name, .. } => drop(worker.executor.resume(&name, false)),
                Command::SkipCall { name, .. } => drop(worker.executor.resume(&name, true)),
                Command::WakeIn(after) => worker.wake = now + after,
                _ => {}
            }
        }
    }

    fn answered(&mut self, now: f64, w: usize, ticket: u64, answer: &Response) {
        let worker = &mut self.workers[w];
        let degraded = worker.degraded.remove(&ticket).unwrap_or(false);
        let Some(Try { number, tries, reckless, due }) = worker.open.remove(&ticket) else { return };
        let kind = match answer {
            Response::Served(_) => 1u64,
            Response::Rejected { .. } => 2,
            _ => 3,
        };
        self.storm.trace = (self.storm.trace ^ ticket ^ (kind << 60)).wrapping_mul(0x0100_0000_01b3);
        let class = &self.experiment.class[self.requests[number].class];
        if kind == 1 {
            let in_aim = (now - self.requests[number].at) * 1000.0 <= class.aim_ms;
            let kept = if degraded { class.skip_worth } else { 1.0 };
            if let Some(second) = self.storm.worth.get_mut(now as usize).filter(|_| in_aim) {
                *second += class.worth * kept;
            }
            return;
        }
        let (advice, stop_retrying) = match answer {
            Response::Rejected { retry_after_s, stop_retrying } => (*retry_after_s, *stop_retrying),
            _ => (0.0, true),
        };
        // A router that has been told that others may help walks on; clients come back after what they were told; those
        // that heed nothing come back at once, for as long as they wait.
        let pause = if reckless {
            0.05
        } else if !stop_retrying && tries == 1 {
            0.002
        } else {
            advice.max(0.05)
        };
        if (reckless || tries <= self.shape.tries) && now + pause < due - 0.1 {
            self.try_at(now + pause, (number, tries + 1, reckless));
        }
    }

    /// Reports and digests, each as late as the links are.
    fn speak(&mut self, now: f64) {
        for w in 0..self.workers.len() {
            let worker = &mut self.workers[w];
            if now < worker.tells_at {
                continue;
            }
            worker.tells_at += REPORT_INTERVAL_S;
            let Some(numbers) = worker.core.fleet_load_sample(now) else { continue };
            worker.reports += 1;
            let mut load = worker.side.report(now, worker.reports, &numbers);
            if self.shape.part == Part::Liar && w == LIAR {
                load = LoadReport {
                    arrivals: vec![1e6; 3],
                    retries: 1e6,
                    capacity: 1.0,
                    calls_failed: 1e6,
                    call_s: 1e6,
                    wants: 1e6,
                    weight: 1e6,
                    lends: 1e6,
                    ..load
                };
            }
            self.up.push_back((now + self.shape.late_s / 2.0, w, load));
        }
        while self.up.front().is_some_and(|(when, ..)| *when <= now) {
            let Some((_, w, load)) = self.up.pop_front() else { break };
            let zone = format!("z{}", w % self.shape.zones);
            self.leader.receive(now, w as u64, &zone, &load);
            let mut digest = self.leader.digest(now, now, w as u64, &zone);
            if self.shape.part == Part::Frozen {
                let number = digest.number;
                let first = self.first[w].get_or_insert(FleetDigest { slice: 0.0, ..digest });
                digest = FleetDigest { number, ..first.clone() };
            }
            self.down.push_back((now + self.shape.late_s / 2.0, w, load.number, digest));
        }
        while self.down.front().is_some_and(|(when, ..)| *when <= now) {
            let Some((_, w, number, digest)) = self.down.pop_front() else { break };
            self.workers[w].side.receive(number, &digest);
        }
        let lines = self.leader.evaluate(now);
        self.storm.lines.extend(lines.into_iter().map(|line| (now, line)));
    }
}

/// The troubles that are compared, by name.
fn troubles() -> Vec<(&'static str, Shape)> {
    let slow = |at_s, for_s, times| vec![Slow { at_s, for_s, times }];
    let base = Shape::default();
    vec![
        ("calm, 0.8", base.clone()),
        ("sustained, 1.3", Shape { load: 1.3, ..base.clone() }),
        ("service at a tenth for 5 s, 0.8", Shape { slow: slow(10.0, 5.0, 10.0), ..base.clone() }),
        ("service at a tenth for 5 s, 1.6", Shape { load: 1.6, slow: slow(10.0, 5.0, 10.0), ..base.clone() }),
        ("service down for 5 s, 0.8", Shape { down: slow(10.0, 5.0, 1.0), ..base.clone() }),
        ("calls short, 0.8", Shape { slots_each: 1.5, ..base }),
    ]
}

/// Plays each trouble alone and with each part of the fleet, by paired seeds; a table.
///
/// # Errors
/// The workload can't be read.
pub fn compare(workers: usize, seeds: u64, parts: &[Part]) -> Result<String, TestbedError> {
    let mut text = format!(
        "{workers} workers, {seeds} seeds\n{:<34}{:<8}{:>8}{:>18}{:>8}{:>8}{:>10}{:>8}",
        "trouble", "part", "worth", "against alone", "back s", "calls", "further", "trials"
    );
    for (name, shape) in troubles() {
        let shape = Shape { workers, ..shape };
        let plays = |part: Part| -> Result<Vec<Storm>, TestbedError> {
            let shape = Shape { part, ..shape.clone() };
            std::thread::scope(|scope| {
                let shape = &shape;
                let handles: Vec<_> =
                    (1..=seeds).map(|seed| scope.spawn(move || play(shape, seed))).collect();
                let ended = |h: std::thread::ScopedJoinHandle<'_, _>| {
                    h.join().unwrap_or(Err(TestbedError::Panicked { what: "play" }))
                };
                handles.into_iter().map(ended).collect()
            })
        };
        let alone = plays(Part::Alone)?;
        for part in parts {
            let own = if *part == Part::Alone { alone.clone() } else { plays(*part)? };
            let mean = |of: &dyn Fn(&Storm) -> f64| own.iter().map(of).sum::<f64>() / own.len() as f64;
            let ratios: Vec<f64> = own.iter().zip(&alone).map(|(a, b)| a.earned() / b.earned()).collect();
            let (ratio, half) = interval(&ratios);
            let row = format!(
                "\n{name:<34}{:<8}{:>8.3}{:>18}{:>8.1}{:>8.2}{:>10.2}{:>8.1}",
                format!("{part:?}").to_lowercase(),
                mean(&Storm::earned),
                format!("{ratio:.3} +- {half:.3}"),
                mean(&|s| s.back_after_s(10, 15)),
                mean(&|s| s.most_calls),
                mean(&|s| s.further),
                mean(&|s| s.trials_per_s),
            );
            // A storm takes a while: rows are shown as they come.
            eprintln!("{}", row.trim_start());
            text += &row;
        }
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
