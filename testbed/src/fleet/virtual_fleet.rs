//! A whole fleet in virtual time, round the coordinators' and the workers' own code: drifting clocks, links that lose,
//! double and reorder, disks that fail and lose power, processes that stop, die and come back. A seed is a run.
//!
//! The judge stands outside and sees true time: whether two workers believe at one moment that they hold a task, what
//! the resource that is acted upon accepted, and whether tasks are held again once the faults are over.

use durable_log::simulated::SimulatedDisk;
use durable_log::Store;
use fleet_coordinator::coordinator::{
    Coordinator, CoordinatorAddress, CoordinatorConfig, Output, PeerAnswer,
};
use fleet_coordinator::leader_state::SafetyChecks;
use fleet_coordinator::replica::{carry_out, DiskJob, ReplicaStatus};
use fleet_coordinator::state_machine::{Task, LATEST};
use port_worker::fleet::frame::{self, CallOutcome, ServerMessage};
use port_worker::fleet::tasks::{Schedule, ScheduledCall};
use port_worker::fleet::{FleetMember, MemberAction, MembershipConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What is played.
#[derive(Clone, Debug)]
pub struct Shape {
    pub coordinators: usize,
    pub workers: usize,
    pub tasks: usize,
    /// How long faults come, and how long the fleet has after them (seconds).
    pub faults_s: f64,
    pub quiet_s: f64,
    /// Mean time between two faults (seconds).
    pub fault_every_s: f64,
    pub ttl_ms: u64,
    /// How far each clock may run from true time, as a share.
    pub clock_drift: f64,
    pub weak: Weakness,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            coordinators: 3,
            workers: 6,
            tasks: 3,
            faults_s: 40.0,
            quiet_s: 30.0,
            fault_every_s: 1.0,
            ttl_ms: 3000,
            clock_drift: 0.05,
            weak: Weakness::None,
        }
    }
}

/// The guard that is taken away, to see that the judge finds it missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    None,
    /// Holders use the whole of a lease, as if clocks never ran apart.
    NoDriftBound,
    /// A new leader frees leases that it has not seen renewed.
    NoWholeTtl,
    /// Renewals are answered without asking a quorum.
    NoConfirm,
    /// What is acted upon takes every token.
    NoFencing,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub violations: Vec<String>,
    /// Acts that were accepted and refused.
    pub accepted: u64,
    pub refused: u64,
    pub leaders: u64,
    pub grants: u64,
    /// How long a task was held by nobody, each time (seconds).
    pub gaps_s: Vec<f64>,
    pub lost_disks: u64,
    /// A line for each fault.
    pub faults: Vec<String>,
    /// A digest of all that happened: the same seed gives the same.
    pub digest: u64,
}

struct Clock {
    rate: f64,
    started: f64,
}

impl Clock {
    fn at(&self, t: f64) -> f64 {
        (t - self.started) * self.rate
    }
}

struct Quorate {
    machine: Option<Coordinator>,
    disk: SimulatedDisk,
    store: Option<Store<SimulatedDisk>>,
    clock: Clock,
    life: u64,
    paused_until: f64,
    slow_until: f64,
    /// When the disk is done with what it was given.
    busy_until: f64,
}

struct Busy {
    member: Option<FleetMember>,
    clock: Clock,
    life: u64,
    paused_until: f64,
    /// The link that stands, and the coordinator at its other end.
    link: Option<(u64, usize)>,
}

#[derive(Clone, Debug)]
enum Event {
    TickCoordinator(usize, u64),
    TickWorker(usize, u64),
    Disk(usize, u64, u64, DiskJob),
    /// Bytes on a worker's link, to the coordinator and back.
    Up(usize, u64, Vec<u8>),
    Down(usize, u64, Vec<u8>),
    Connected(usize, u64, usize, u64),
    Broken(usize, u64),
    PeerFrame(usize, usize, u64, Vec<u8>),
    PeerAnswer(usize, usize, u64, Vec<u8>),
    PeerConnect(usize, usize, u64),
    /// An act reaches what is acted upon, and ends there.
    Arrives(usize, u64, ScheduledCall, f64),
    Ends(usize, u64, ScheduledCall, bool),
    CallEnded(usize, u64, usize, CallOutcome),
    Fault,
    StartCoordinator(usize),
    StartWorker(usize),
    FreeDisk(usize),
    /// An operator puts a fresh member in the place of one that says that it has lost its disk.
    Replace(usize),
}

/// What is acted upon, by task.
#[derive(Default)]
struct Resource {
    highest: u64,
    /// The act that is under way: its token and worker.
    under_way: Option<(u64, usize)>,
    /// Periods whose act was carried out to its end.
    done: BTreeMap<u64, u64>,
    last_done: f64,
}

struct World {
    shape: Shape,
    rng: ChaCha8Rng,
    now: f64,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
    coordinators: Vec<Quorate>,
    workers: Vec<Busy>,
    /// Links of peers: from, to; the number at the other end.
    peer_links: BTreeMap<(usize, usize), u64>,
    /// By link number: which worker it belongs to.
    links: BTreeMap<u64, usize>,
    /// Coordinators that a link from a peer belongs to: link, from.
    peer_ends: BTreeMap<u64, (usize, usize)>,
    next_link: u64,
    /// Until when nothing passes from one to the other; coordinators first, then workers.
    cuts: BTreeMap<(usize, usize), f64>,
    /// When the last frame of a link arrives, each way: a link keeps its order.
    last_up: BTreeMap<u64, f64>,
    last_down: BTreeMap<u64, f64>,
    /// Links in which something was lost: nothing more passes that way.
    dead_up: BTreeMap<u64, ()>,
    dead_down: BTreeMap<u64, ()>,
    resources: Vec<Resource>,
    /// By task: until when in true time a worker believes that it holds it.
    claims: Vec<BTreeMap<usize, f64>>,
    free_since: Vec<Option<f64>>,
    epoch: u64,
    verdict: Verdict,
}

fn coordinator_name(n: usize) -> String {
    format!("c{}", n + 1)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + n as u16))
}

fn task_name(n: usize) -> String {
    format!("task-{n}")
}

/// Plays one seed.
pub fn play(shape: &Shape, seed: u64) -> Verdict {
    let mut world = World::new(shape, seed);
    world.run();
    world.verdict
}

/// Plays many seeds and sums them up; `true` if none was found broken.
pub fn campaign(shape: &Shape, from: u64, seeds: u64) -> (String, bool) {
    let (mut sum, mut gaps, mut broken) = (Verdict::default(), Vec::new(), Vec::new());
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(8) as u64;
    let shares: Vec<Vec<(u64, Verdict)>> = std::thread::scope(|scope| {
        let play_share = |share: u64| {
            let seeds = (from..from + seeds).filter(move |seed| seed % workers == share);
            scope.spawn(move || seeds.map(|seed| (seed, play(shape, seed))).collect())
        };
        let handles: Vec<_> = (0..workers).map(play_share).collect();
        handles.into_iter().map(|h| h.join().unwrap_or_default()).collect()
    });
    let mut plays: Vec<(u64, Verdict)> = shares.into_iter().flatten().collect();
    plays.sort_by_key(|(seed, _)| *seed);
    let played = plays.len();
    for (seed, verdict) in plays {
        sum.accepted += verdict.accepted;
        sum.refused += verdict.refused;
        sum.leaders += verdict.leaders;
        sum.grants += verdict.grants;
        sum.faults.extend(verdict.faults.iter().cloned());
        gaps.extend(verdict.gaps_s);
        if let Some(first) = verdict.violations.first() {
            broken.push(format!("seed {seed}: {first}\n  {}", verdict.faults.join("\n  ")));
        }
    }
    gaps.sort_by(f64::total_cmp);
    let quantile = |q: f64| gaps.get(((gaps.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(0.0);
    let text = format!(
        "{played} seeds, {} faults, {} leaders, {} grants, {} acts accepted, {} refused; broken: {}\n\
         a task held by nobody: {} times, p50 {:.2} s, p90 {:.2} s, p99 {:.2} s\n{}",
        sum.faults.len(),
        sum.leaders,
        sum.grants,
        sum.accepted,
        sum.refused,
        broken.len(),
        gaps.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        broken.join("\n")
    );
    // A share that ended badly counts as broken.
    (text.trim_end().to_owned(), broken.is_empty() && played as u64 == seeds)
}

impl World {
    fn new(shape: &Shape, seed: u64) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            queue: BTreeMap::new(),
            order: 0,
            coordinators: Vec::new(),
            workers: Vec::new(),
            peer_links: BTreeMap::new(),
            links: BTreeMap::new(),
            peer_ends: BTreeMap::new(),
            next_link: 1,
            cuts: BTreeMap::new(),
            last_up: BTreeMap::new(),
            last_down: BTreeMap::new(),
            dead_up: BTreeMap::new(),
            dead_down: BTreeMap::new(),
            resources: (0..shape.tasks).map(|_| Resource::default()).collect(),
            claims: vec![BTreeMap::new(); shape.tasks],
            free_since: vec![Some(0.0); shape.tasks],
            epoch: 1,
            verdict: Verdict::default(),
            shape: shape.clone(),
        };
        for n in 0..shape.coordinators {
            world.coordinators.push(Quorate {
                machine: None,
                disk: SimulatedDisk::new(),
                store: None,
                clock: Clock { rate: 1.0, started: 0.0 },
                life: 0,
                paused_until: 0.0,
                slow_until: 0.0,
                busy_until: 0.0,
            });
            world.at(0.001 * n as f64, Event::StartCoordinator(n));
        }
        for n in 0..shape.workers {
            world.workers.push(Busy {
                member: None,
                clock: Clock { rate: 1.0, started: 0.0 },
                life: 0,
                paused_until: 0.0,
                link: None,
            });
            world.at(0.5 + 0.001 * n as f64, Event::StartWorker(n));
        }
        world.at(5.0, Event::Fault);
        world
    }

    fn at(&mut self, t: f64, event: Event) {
        self.order += 1;
        self.queue.insert(((t.max(self.now) * 1e6) as u64, self.order), event);
    }

    fn run(&mut self) {
        let end = self.shape.faults_s + self.shape.quiet_s;
        while let Some(((t, order), event)) = self.queue.pop_first() {
            self.now = t as f64 / 1e6;
            if self.now > end || !self.verdict.violations.is_empty() {
                break;
            }
            self.verdict.digest = (self.verdict.digest ^ t ^ order).wrapping_mul(0x0100_0000_01b3);
            if let Some(event) = self.unless_stopped(event) {
                self.happen(event);
            }
        }
        if self.verdict.violations.is_empty() {
            for n in 0..self.shape.tasks {
                let quiet = self.now - self.resources[n].last_done;
                if quiet > 10.0 {
                    self.violation(format!(
                        "{}: nobody has acted for {quiet:.1} s after the faults",
                        task_name(n)
                    ));
                }
            }
        }
    }

    /// What happens to a process that is stopped waits until it goes on.
    fn unless_stopped(&mut self, event: Event) -> Option<Event> {
        let until = match &event {
            Event::TickCoordinator(c, _) | Event::PeerFrame(_, c, ..) | Event::PeerAnswer(c, ..) => {
                self.coordinators[*c].paused_until
            }
            Event::Up(w, ..) => self.workers[*w].link.map_or(0.0, |(_, c)| self.coordinators[c].paused_until),
            Event::TickWorker(w, _)
            | Event::Down(w, ..)
            | Event::Connected(w, ..)
            | Event::Broken(w, _)
            | Event::CallEnded(w, ..) => self.workers[*w].paused_until,
            _ => 0.0,
        };
        if self.now < until {
            // Events keep their order: each gets a later number at the same time.
            self.at(until + 2e-6, event);
            return None;
        }
        Some(event)
    }

    fn latency(&mut self) -> f64 {
        self.rng.random_range(0.0002..0.004)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|until| self.now < *until)
    }

    fn worker_node(&self, worker: usize) -> usize {
        self.shape.coordinators + worker
    }

    fn violation(&mut self, what: String) {
        let at = self.now;
        self.verdict.violations.push(format!("{at:.3} s: {what}"));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::StartCoordinator(c) => self.start_coordinator(c),
            Event::StartWorker(w) => self.start_worker(w),
            Event::TickCoordinator(c, life) => {
                if self.coordinators[c].life == life {
                    self.with_coordinator(c, |machine, now| machine.tick(now));
                    self.connect_peers(c);
                    self.at(self.now + 0.02, Event::TickCoordinator(c, life));
                }
            }
            Event::TickWorker(w, life) => {
                if self.workers[w].life == life {
                    self.with_worker(w, |_, _| ());
                    let pause = self.rng.random_range(0.08..0.12);
                    self.at(self.now + pause, Event::TickWorker(w, life));
                }
            }
            Event::Disk(c, life, number, job) => {
                if self.coordinators[c].life == life {
                    let q = &mut self.coordinators[c];
                    let disk = q.disk.clone();
                    let done = carry_out(&mut q.store, &job, || Ok(disk));
                    self.with_coordinator(c, |machine, now| machine.disk_done(now, number, done));
                }
            }
            Event::Connected(w, life, c, link) => self.connected(w, life, c, link),
            Event::Broken(w, link) => self.break_link(w, link),
            Event::Up(w, link, bytes) => {
                if let Some((_, c)) = self.workers[w].link.filter(|(l, _)| *l == link) {
                    let mut bad = false;
                    self.with_coordinator(c, |machine, now| {
                        bad = machine.receive(now, link, &bytes[4..]).is_err()
                    });
                    if bad {
                        self.violation("a coordinator could not read a worker's frame".to_owned());
                    }
                }
            }
            Event::Down(w, link, bytes) => {
                if self.workers[w].link.is_some_and(|(l, _)| l == link) {
                    if let Ok(Some((word, _))) =
                        frame::decode::<ServerMessage>(&bytes, frame::MAX_SERVER_FRAME_BYTES)
                    {
                        self.with_worker(w, |member, now| member.receive(now, &word));
                    }
                }
            }
            Event::PeerConnect(a, b, life) => self.peer_connect(a, b, life),
            Event::PeerFrame(a, b, link, bytes) => {
                if self.peer_links.get(&(a, b)) == Some(&link) {
                    self.with_coordinator(b, |machine, now| drop(machine.receive(now, link, &bytes[4..])));
                }
            }
            Event::PeerAnswer(a, b, link, bytes) => {
                if self.peer_links.get(&(a, b)) == Some(&link) {
                    if let Ok(answer) = serde_json::from_slice::<PeerAnswer>(&bytes[4..]) {
                        self.with_coordinator(a, |m, now| m.peer_answered(now, &coordinator_name(b), answer));
                    }
                }
            }
            Event::Arrives(w, life, order, lasts) => self.arrives(w, life, order, lasts),
            Event::Ends(w, life, order, safe) => self.ends(w, life, &order, safe),
            Event::CallEnded(w, life, task, ending) => {
                if self.workers[w].life == life {
                    self.with_worker(w, |member, now| member.call_ended(now, task, ending));
                }
            }
            Event::Replace(c) => self.replace(c),
            Event::FreeDisk(c) => self.coordinators[c].disk.set_full(false),
            Event::Fault => self.fault(),
        }
    }

    fn rate(&mut self) -> f64 {
        let drift = self.shape.clock_drift;
        // The ends of the range are what bounds are for.
        match self.rng.random_range(0..4) {
            0 => 1.0 + drift,
            1 => 1.0 - drift,
            _ => self.rng.random_range(1.0 - drift..=1.0 + drift),
        }
    }

    fn tasks(&self) -> Vec<Task> {
        let zones = vec!["z0".to_owned()];
        let ttl_ms = if self.epoch % 2 == 0 { self.shape.ttl_ms / 2 } else { self.shape.ttl_ms };
        (0..self.shape.tasks)
            .map(|n| Task { name: task_name(n), ttl_ms, zones: zones.clone(), pause_ms: 500 })
            .collect()
    }

    fn setup(&self, c: usize) -> CoordinatorConfig {
        let names = (0..self.shape.coordinators)
            .map(|n| CoordinatorAddress { name: coordinator_name(n), address: address(n).to_string() });
        CoordinatorConfig {
            fleet: "virtual".to_owned(),
            name: coordinator_name(c),
            coordinators: names.collect(),
            epoch: self.epoch,
            tasks: self.tasks(),
            write_overdue_s: 1.0,
            version: LATEST,
            safety_checks: SafetyChecks {
                wait_full_ttl: self.shape.weak != Weakness::NoWholeTtl,
                read_index: self.shape.weak != Weakness::NoConfirm,
            },
            overload: None,
        }
    }

    fn start_coordinator(&mut self, c: usize) {
        if self.coordinators[c].machine.is_some() {
            return;
        }
        let (rate, seed) = (self.rate(), self.rng.random());
        let machine = Coordinator::new(0.0, self.setup(c), seed);
        let now = self.now;
        let q = &mut self.coordinators[c];
        q.life += 1;
        q.clock = Clock { rate, started: now };
        (q.machine, q.paused_until, q.busy_until) = (Some(machine), 0.0, now);
        let life = q.life;
        self.at(now, Event::TickCoordinator(c, life));
        self.drain_coordinator(c);
    }

    /// The process is killed, and with `power` what it had not synced may be lost.
    fn kill_coordinator(&mut self, c: usize, power: bool) {
        let q = &mut self.coordinators[c];
        (q.machine, q.store) = (None, None);
        q.life += 1;
        if power {
            let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
            self.coordinators[c].disk.lose_power(&mut |n: usize| rng.random_range(0..n.max(1)));
        }
        let ends: Vec<_> = self.peer_links.keys().filter(|(a, b)| *a == c || *b == c).copied().collect();
        ends.into_iter().for_each(|(a, b)| self.drop_peer(a, b));
        for w in 0..self.workers.len() {
            if let Some((link, _)) = self.workers[w].link.filter(|(_, at)| *at == c) {
                let after = self.latency();
                self.at(self.now + after, Event::Broken(w, link));
            }
        }
    }

    fn start_worker(&mut self, w: usize) {
        if self.workers[w].member.is_some() {
            return;
        }
        let drift = if self.shape.weak == Weakness::NoDriftBound { 0.0 } else { 0.1 };
        let schedule = |n: usize| Schedule {
            name: task_name(n),
            period_s: 1.0,
            address: address(99),
            path: "/".to_owned(),
            deadline_s: 0.3,
            safe: n % 2 == 0,
        };
        let plan = MembershipConfig {
            fleet: "virtual".to_owned(),
            name: format!("w{w}"),
            zone: format!("z{}", w % 3),
            coordinators: (0..self.shape.coordinators).map(address).collect(),
            drift,
            computes_totals: false,
            tasks: (0..self.shape.tasks).map(schedule).collect(),
            overload: None,
        };
        let (rate, process, seed) = (self.rate(), self.rng.random(), self.rng.random());
        let now = self.now;
        let worker = &mut self.workers[w];
        worker.life += 1;
        worker.clock = Clock { rate, started: now };
        worker.member = Some(FleetMember::new(0.0, plan, process, seed));
        (worker.paused_until, worker.link) = (0.0, None);
        let life = worker.life;
        self.at(now, Event::TickWorker(w, life));
    }

    fn kill_worker(&mut self, w: usize) {
        if let Some((link, _)) = self.workers[w].link {
            self.close_worker(w, link);
        }
        let worker = &mut self.workers[w];
        worker.member = None;
        worker.life += 1;
        for task in 0..self.shape.tasks {
            // The dead act no more.
            self.claims[task].remove(&w);
        }
    }

    fn with_coordinator(&mut self, c: usize, f: impl FnOnce(&mut Coordinator, f64)) {
        let q = &mut self.coordinators[c];
        let now = q.clock.at(self.now);
        if let Some(machine) = &mut q.machine {
            f(machine, now);
        }
        self.drain_coordinator(c);
    }

    fn drain_coordinator(&mut self, c: usize) {
        let out = self.coordinators[c].machine.as_mut().map(Coordinator::take_outputs).unwrap_or_default();
        for out in out {
            match out {
                Output::Frame(link, bytes) => self.frame_from(c, link, bytes),
                Output::Close(link) => {
                    if let Some((a, b)) = self.peer_ends.get(&link).copied() {
                        self.drop_peer(a, b);
                    }
                }
                Output::Peer(name, bytes) => {
                    let Some(b) = (0..self.shape.coordinators).find(|n| coordinator_name(*n) == name) else {
                        continue;
                    };
                    let Some(link) = self.peer_links.get(&(c, b)).copied() else { continue };
                    if self.is_cut(c, b) || self.rng.random_range(0..200) == 0 {
                        continue;
                    }
                    let copies = if self.rng.random_range(0..50) == 0 { 2 } else { 1 };
                    for _ in 0..copies {
                        let after = self.latency();
                        self.at(self.now + after, Event::PeerFrame(c, b, link, bytes.clone()));
                    }
                }
                Output::Relink => {
                    for b in 0..self.shape.coordinators {
                        self.drop_peer(c, b);
                    }
                }
                Output::Disk(number, job) => {
                    let slow = self.now < self.coordinators[c].slow_until;
                    let takes = if slow {
                        self.rng.random_range(1.5..5.0)
                    } else {
                        self.rng.random_range(0.0005..0.006)
                    };
                    let q = &mut self.coordinators[c];
                    // One thread, one job after the other.
                    q.busy_until = q.busy_until.max(self.now) + takes;
                    let (at, life) = (q.busy_until, q.life);
                    self.at(at, Event::Disk(c, life, number, job));
                }
                Output::Log { message: text, .. } => {
                    self.verdict.leaders += u64::from(text.starts_with("leads, term"));
                    if std::env::var_os("FLEET_TRACE").is_some() {
                        eprintln!("{:.3} {} {text}", self.now, coordinator_name(c));
                    }
                }
            }
        }
    }

    /// A frame back to a worker, or a peer's answer.
    fn frame_from(&mut self, c: usize, link: u64, bytes: Vec<u8>) {
        if let Some((a, b)) = self.peer_ends.get(&link).copied() {
            if !self.is_cut(b, a) {
                let after = self.latency();
                self.at(self.now + after, Event::PeerAnswer(a, b, link, bytes));
            }
            return;
        }
        let Some(w) = self.links.get(&link).copied() else { return };
        if self.dead_down.contains_key(&link) || self.is_cut(c, self.worker_node(w)) {
            self.dead_down.insert(link, ());
            return;
        }
        let after = self.now + self.latency();
        let last = self.last_down.entry(link).or_insert(0.0);
        *last = last.max(after);
        let at = *last;
        self.at(at, Event::Down(w, link, bytes));
    }

    fn connect_peers(&mut self, c: usize) {
        for b in 0..self.shape.coordinators {
            if b != c && !self.peer_links.contains_key(&(c, b)) && self.rng.random_range(0..8) == 0 {
                let (after, life) = (self.latency(), self.coordinators[c].life);
                self.at(self.now + after, Event::PeerConnect(c, b, life));
            }
        }
    }

    fn peer_connect(&mut self, a: usize, b: usize, life: u64) {
        let there = self.coordinators[b].machine.is_some() && self.now >= self.coordinators[b].paused_until;
        if self.coordinators[a].life != life
            || !there
            || self.is_cut(a, b)
            || self.peer_links.contains_key(&(a, b))
        {
            return;
        }
        let Some(hello) = self.coordinators[a].machine.as_ref().map(Coordinator::peer_hello) else { return };
        self.next_link += 1;
        let link = self.next_link;
        self.peer_links.insert((a, b), link);
        self.peer_ends.insert(link, (a, b));
        self.with_coordinator(b, |machine, now| {
            machine.opened(link);
            let _ = machine.receive(now, link, &hello[4..]);
        });
    }

    fn drop_peer(&mut self, a: usize, b: usize) {
        if let Some(link) = self.peer_links.remove(&(a, b)) {
            self.peer_ends.remove(&link);
            if let Some(machine) = &mut self.coordinators[b].machine {
                machine.closed(link);
            }
        }
    }

    fn with_worker(&mut self, w: usize, f: impl FnOnce(&mut FleetMember, f64)) {
        let worker = &mut self.workers[w];
        let now = worker.clock.at(self.now);
        let Some(member) = &mut worker.member else { return };
        f(member, now);
        member.tick(now, Default::default);
        let acts = member.take_actions();
        for act in acts {
            match act {
                MemberAction::Connect(to) => {
                    let Some(c) = (0..self.shape.coordinators).find(|n| address(*n) == to) else { continue };
                    self.next_link += 1;
                    let (link, life, after) = (self.next_link, self.workers[w].life, self.latency() * 2.0);
                    self.at(self.now + after, Event::Connected(w, life, c, link));
                }
                MemberAction::Send(say) => self.send_up(w, frame::encode(&say)),
                MemberAction::Close => {
                    if let Some((link, _)) = self.workers[w].link {
                        self.close_worker(w, link);
                    }
                }
                MemberAction::Call(order) => {
                    let (life, lasts) = (self.workers[w].life, self.rng.random_range(0.01..0.25));
                    // Between the look at the clock and the act's arrival a process may be stopped.
                    let after = if self.rng.random_range(0..40) == 0 {
                        let stop = self.rng.random_range(0.5..8.0);
                        self.pause_worker(w, stop);
                        stop
                    } else {
                        self.latency()
                    };
                    self.at(self.now + after, Event::Arrives(w, life, order, lasts));
                }
                MemberAction::Log(text) => {
                    self.verdict.grants += u64::from(text.contains(" is held, token"));
                    if std::env::var_os("FLEET_TRACE").is_some() {
                        eprintln!("{:.3} w{w} {text}", self.now);
                    }
                }
            }
        }
        self.look_at_claims(w);
    }

    fn pause_worker(&mut self, w: usize, stop: f64) {
        self.workers[w].paused_until = self.workers[w].paused_until.max(self.now + stop);
    }

    fn send_up(&mut self, w: usize, bytes: Vec<u8>) {
        let Some((link, c)) = self.workers[w].link else { return };
        if self.dead_up.contains_key(&link) || self.is_cut(self.worker_node(w), c) {
            self.dead_up.insert(link, ());
            return;
        }
        let after = self.now + self.latency();
        let last = self.last_up.entry(link).or_insert(0.0);
        *last = last.max(after);
        let at = *last;
        self.at(at, Event::Up(w, link, bytes));
    }

    fn connected(&mut self, w: usize, life: u64, c: usize, link: u64) {
        if self.workers[w].life != life {
            return;
        }
        let node = self.worker_node(w);
        let there = self.coordinators[c].machine.is_some();
        if !there || self.is_cut(node, c) || self.is_cut(c, node) {
            return self.with_worker(w, |member, now| member.disconnected(now));
        }
        self.workers[w].link = Some((link, c));
        self.links.insert(link, w);
        self.with_coordinator(c, |machine, _| machine.opened(link));
        self.with_worker(w, |member, _| member.connected());
    }

    fn break_link(&mut self, w: usize, link: u64) {
        if self.workers[w].link.is_some_and(|(l, _)| l == link) {
            self.close_worker(w, link);
            self.with_worker(w, |member, now| member.disconnected(now));
        }
    }

    fn close_worker(&mut self, w: usize, link: u64) {
        if let Some((_, c)) = self.workers[w].link.take() {
            self.links.remove(&link);
            for map in [&mut self.dead_up, &mut self.dead_down] {
                map.remove(&link);
            }
            self.last_up.remove(&link);
            self.last_down.remove(&link);
            if let Some(machine) = &mut self.coordinators[c].machine {
                machine.closed(link);
            }
        }
    }

    /// The one question that matters: does anybody else believe that it holds what this worker believes it holds?
    fn look_at_claims(&mut self, w: usize) {
        let Some(member) = &self.workers[w].member else { return };
        let (clock, now) = (&self.workers[w].clock, self.now);
        let mut found = None;
        for task in 0..self.shape.tasks {
            let until =
                member.lease_valid_until(&task_name(task)).map(|local| clock.started + local / clock.rate);
            let claims = &mut self.claims[task];
            match until.filter(|until| *until > now) {
                Some(until) => {
                    let other = claims.iter().find(|(v, until)| **v != w && **until > now);
                    if let Some((v, until)) = other {
                        found = Some(format!(
                            "{}: w{w} and w{v} (until {until:.3}) hold it at once",
                            task_name(task)
                        ));
                    }
                    claims.insert(w, until);
                }
                None => {
                    claims.remove(&w);
                }
            }
            let held = claims.values().any(|until| *until > now);
            match (held, self.free_since[task]) {
                (true, Some(since)) => {
                    self.verdict.gaps_s.push(now - since);
                    self.free_since[task] = None;
                }
                (false, None) => self.free_since[task] = Some(now),
                _ => {}
            }
        }
        if let Some(found) = found {
            self.violation(found);
        }
    }

    fn arrives(&mut self, w: usize, life: u64, order: ScheduledCall, lasts: f64) {
        let task = order.task;
        let fenced = self.shape.weak != Weakness::NoFencing;
        let resource = &mut self.resources[task];
        let back = self.now + self.rng.random_range(0.0002..0.004);
        if fenced && order.held.token < resource.highest {
            self.verdict.refused += 1;
            return self.at(back, Event::CallEnded(w, life, task, CallOutcome::NotDone));
        }
        if fenced && order.held.token > resource.highest {
            // An act under a lower token that is still under way is broken off.
            resource.under_way = None;
        }
        resource.highest = resource.highest.max(order.held.token);
        let safe = task % 2 == 0;
        if resource.done.contains_key(&order.period) {
            self.verdict.refused += 1;
            return self.at(
                back,
                Event::CallEnded(w, life, task, if safe { CallOutcome::Done } else { CallOutcome::Unknown }),
            );
        }
        if let Some((token, other)) = resource.under_way {
            let text = format!(
                "{}: w{w} acts under {} while w{other} does under {token}",
                task_name(task),
                order.held.token
            );
            return self.violation(text);
        }
        resource.under_way = Some((order.held.token, w));
        self.at(self.now + lasts, Event::Ends(w, life, order, safe));
    }

    fn ends(&mut self, w: usize, life: u64, order: &ScheduledCall, safe: bool) {
        let resource = &mut self.resources[order.task];
        if resource.under_way != Some((order.held.token, w)) {
            self.verdict.refused += 1;
            return;
        }
        resource.under_way = None;
        resource.last_done = self.now;
        self.verdict.accepted += 1;
        let before = resource.done.last_key_value().map_or(0, |(period, _)| *period);
        let token_before = resource.done.last_key_value().map_or(0, |(_, token)| *token);
        resource.done.insert(order.period, order.held.token);
        if resource.done.len() > 64 {
            resource.done.pop_first();
        }
        if order.period < before && !safe || order.held.token < token_before {
            let text = format!(
                "{}: period {} under {} after {before} under {token_before}",
                task_name(order.task),
                order.period,
                order.held.token
            );
            return self.violation(text);
        }
        // Now and then the answer is lost.
        let lost = self.rng.random_range(0..30) == 0;
        let after = self.now + if lost { 0.2 } else { 0.002 };
        let ending = if lost { CallOutcome::Unknown } else { CallOutcome::Done };
        self.at(after, Event::CallEnded(w, life, order.task, ending));
    }

    /// What an operator does about a coordinator that says it has lost its disk, or is barred for an old one.
    fn replace(&mut self, c: usize) {
        let name = coordinator_name(c);
        let lost = self.coordinators[c].machine.as_ref().is_some_and(|m| match &m.replica.status {
            ReplicaStatus::Blank(why) => why.contains("held the log up to"),
            _ => false,
        });
        let leader =
            self.coordinators.iter().position(|q| q.machine.as_ref().is_some_and(|m| m.replica.leads()));
        match leader.filter(|_| lost) {
            Some(leader) => {
                self.with_coordinator(leader, |machine, now| drop(machine.replica.replace(now, &name)))
            }
            None if self.now < self.shape.faults_s + 5.0 => self.at(self.now + 1.0, Event::Replace(c)),
            None => {}
        }
    }

    /// One fault, drawn at random, and the time of the next.
    fn fault(&mut self) {
        let (now, end) = (self.now, self.shape.faults_s);
        if now >= end {
            return self.repair();
        }
        let (cs, ws) = (self.shape.coordinators, self.shape.workers);
        let leader =
            self.coordinators.iter().position(|q| q.machine.as_ref().is_some_and(|m| m.replica.leads()));
        let c = if self.rng.random_bool(0.5) { leader.unwrap_or(0) } else { self.rng.random_range(0..cs) };
        let holders: Vec<usize> = self.claims.iter().flat_map(|c| c.keys().copied()).collect();
        let w = match holders.len() {
            0 => self.rng.random_range(0..ws),
            n if self.rng.random_bool(0.7) => holders[self.rng.random_range(0..n)],
            _ => self.rng.random_range(0..ws),
        };
        let lasts = self.rng.random_range(0.2..8.0);
        let what = match self.rng.random_range(0..17) {
            0 | 1 => {
                self.kill_coordinator(c, true);
                self.at(now + lasts, Event::StartCoordinator(c));
                format!("kill c{} for {lasts:.1} s", c + 1)
            }
            2 => {
                self.coordinators[c].paused_until = now + lasts;
                format!("stop c{} for {lasts:.1} s", c + 1)
            }
            3 | 4 => {
                self.pause_worker(w, lasts);
                format!("stop w{w} for {lasts:.1} s")
            }
            5 => {
                self.kill_worker(w);
                self.at(now + lasts, Event::StartWorker(w));
                format!("kill w{w} for {lasts:.1} s")
            }
            6 | 7 => {
                let b = (c + self.rng.random_range(1..cs.max(2))) % cs;
                self.cuts.insert((c, b), now + lasts);
                let both = self.rng.random_bool(0.5);
                if both {
                    self.cuts.insert((b, c), now + lasts);
                }
                format!("cut c{} c{} {} for {lasts:.1} s", c + 1, b + 1, if both { "" } else { "one way" })
            }
            8 => {
                // A leader alone with some of its workers.
                for b in (0..cs).filter(|b| *b != c) {
                    self.cuts.insert((c, b), now + lasts);
                    self.cuts.insert((b, c), now + lasts);
                }
                format!("cut c{} off from the others for {lasts:.1} s", c + 1)
            }
            9 | 10 => {
                let node = self.worker_node(w);
                let up = self.rng.random_bool(0.5);
                let at: Vec<usize> = if self.rng.random_bool(0.5) { (0..cs).collect() } else { vec![c] };
                for c in at {
                    let way = if up { (node, c) } else { (c, node) };
                    self.cuts.insert(way, now + lasts);
                }
                format!("cut w{w} one way ({}) for {lasts:.1} s", if up { "up" } else { "down" })
            }
            11 => {
                self.coordinators[c].slow_until = now + lasts;
                format!("slow disk of c{} for {lasts:.1} s", c + 1)
            }
            12 => {
                self.coordinators[c].disk.set_full(true);
                self.at(now + lasts, Event::FreeDisk(c));
                format!("full disk of c{} for {lasts:.1} s", c + 1)
            }
            13 => {
                for c in 0..cs {
                    self.kill_coordinator(c, true);
                    let back = self.rng.random_range(0.1..2.0);
                    self.at(now + back, Event::StartCoordinator(c));
                }
                "kill all coordinators".to_owned()
            }
            15 => {
                // A zone of its own: a coordinator that stalls for a moment, and a worker that reaches it alone.
                let node = self.worker_node(w);
                for b in (0..cs).filter(|b| *b != c) {
                    for (from, to) in [(c, b), (b, c), (node, b), (b, node)] {
                        self.cuts.insert((from, to), now + lasts);
                    }
                }
                let stalls = self.rng.random_range(0.0..2.5);
                self.coordinators[c].paused_until = now + stalls;
                format!(
                    "c{} and w{w} alone for {lasts:.1} s, c{} stops for {stalls:.1} s of it",
                    c + 1,
                    c + 1
                )
            }
            // Only while all are well: two lost disks of three are past what a quorum can bear.
            14 if self.verdict.lost_disks == 0 && self.all_well() => {
                self.verdict.lost_disks += 1;
                self.kill_coordinator(c, false);
                self.coordinators[c].disk = SimulatedDisk::new();
                self.at(now + 0.5, Event::StartCoordinator(c));
                self.at(now + 2.0, Event::Replace(c));
                format!("c{} loses its disk", c + 1)
            }
            _ => {
                self.epoch += 1;
                let (epoch, tasks) = (self.epoch, self.tasks());
                for c in 0..cs {
                    let tasks = tasks.clone();
                    self.with_coordinator(c, |machine, now| machine.reload(now, epoch, tasks));
                }
                format!("epoch {epoch}")
            }
        };
        self.verdict.faults.push(format!("{now:.3} {what}"));
        let next = -self.shape.fault_every_s * self.rng.random_range(0.001f64..1.0).ln();
        self.at(now + next, Event::Fault);
    }

    /// Every coordinator is a member, and knows what has been decided.
    fn all_well(&self) -> bool {
        let standing = |q: &Quorate| {
            q.machine.as_ref().map(|m| (m.replica.status.clone(), m.replica.log_position().applied))
        };
        let ends: Vec<_> = self.coordinators.iter().filter_map(standing).collect();
        let last = ends.iter().map(|(_, end)| *end).max().unwrap_or(0);
        ends.len() == self.coordinators.len()
            && ends.iter().all(|(s, end)| *s == ReplicaStatus::Member && end + 2 >= last)
    }

    fn repair(&mut self) {
        self.cuts.clear();
        for c in 0..self.shape.coordinators {
            self.coordinators[c].disk.set_full(false);
            self.coordinators[c].slow_until = 0.0;
        }
        for w in 0..self.shape.workers {
            self.at(self.now + 0.1, Event::StartWorker(w));
        }
    }
}
