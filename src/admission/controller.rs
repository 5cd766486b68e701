//! Every decision of honeypost. What passes in and out of it is in `interface.rs`.
//!
//! Requests are sorted into tiers by worth and held; a free run slot starts the oldest of the highest
//! non-empty tier, which runs to its end. A lower-tier arrival is refused at once while the total held
//! reaches j or what is held above it reaches k. Where this departs, the comment says what trouble it is for.

use crate::admission::run_length::{
    follow_baseline, HintRegression, RunLengthEstimate, MEASUREMENT_MEMORY_S,
};
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::*;
use crate::pools::{Place, Pools};
use std::collections::{BTreeMap, BTreeSet};

/// How often due times are looked at, well inside the slack on answers, and the run limit (seconds).
const SWEEP_S: f64 = 0.025;
const LIMIT_WINDOW_S: f64 = 0.5;
/// Cores count as busy from this share on.
const BUSY: f64 = 0.95;
/// A wait is planned for a run of so many mean lengths; what is late even with one of them is given up.
const RUN_ALLOWANCE: f64 = 1.3;
/// k as a share of the tier's j; the total held, for j, leaves out tiers worth under this share of it.
const K_OF_J: f64 = 0.6;
/// A full pool's queue never empties: waits in it take this share of what the aim leaves, or runs end late.
const POOL_WAIT: f64 = 0.4;
const TOTAL_WORTH: f64 = 0.4;
/// Shares of the survivable crowd and of the memory that are used at most.
const CROWD_SHARE: f64 = 0.8;
const MEMORY_TOP: f64 = 0.95;
/// A tenant may save up its even part of the quota for so many seconds, but so many requests at least.
const QUOTA_BURST_S: f64 = 2.0;
const QUOTA_LEAST: f64 = 4.0;
/// A tenant is greedy when its part of the arrivals is so many times its part of the quota. What looks over
/// its quota here counts for this share at least: the quota is counted over the fleet.
const GREEDY: f64 = 1.3;
const OVER_RANK: f64 = 0.5;
/// All that was read is answered this long before the stop (seconds).
const LEAVE_MARGIN_S: f64 = 0.25;
/// Calls in hand start at this share of what is survived. The bound falls to the second share when calls take
/// so many times the yardstick, and rises by this part of its top while calls wait.
const CALL_START: f64 = 0.5;
const CALL_BACK: f64 = 0.75;
const CALL_SLOW: f64 = 2.2;
const CALL_STEP: f64 = 0.1;
/// It never falls under this share of what is survived: slow calls are then no crowd of ours.
const CALL_FLOOR: f64 = 0.25;
/// A call is lost after so many mean lengths, twice that if it is never made again, and this share of an aim.
const CALL_PATIENCE: f64 = 8.0;
const CALL_PATIENCE_OF_AIM: f64 = 0.1;
const REST_LEAST: f64 = 0.25; // Of the length of a run, after its call.
/// It is looked at after so many ended calls, or the time on calls that so many slow ones take.
const CALL_WINDOW: f64 = 16.0;
/// Of a share under one call: the part that may be saved up, and the mean lengths to save up for a call.
const CALL_BURST: f64 = 0.3;
const CALL_LASTS: f64 = 3.0;
/// A worker is sick when this share of its recent runs failed, and so many at least, or none ended in the
/// core time of so many; recent fades over this time (s). Swamped: reads lay unread for this part of an aim.
const SICK_SHARE: f64 = 0.3;
const SICK_LEAST: f64 = 3.0;
const SICK_STUCK: f64 = 20.0;
const SICK_STUCK_S: f64 = 0.3; // Short runs stall for that long when this process gets no core.
const SICK_MEMORY_S: f64 = 2.0;
const SWAMPED: f64 = 0.8;
/// A sick worker tries one run this often (seconds), and is well after so many good ends in a row.
const PROBE_S: f64 = 0.5;
const PROBES_GOOD: u32 = 3;
/// From this share of further tries among arrivals on, other workers are taken to refuse as well; so too when
/// arrivals ask for so many times what the cores can do at their usual pace.
const FLEET_FULL: f64 = 0.15;
const FLOOD: f64 = 1.2;
/// A caller's next try is far off beyond so many times the longest advice.
const COME_BACK: f64 = 2.0;

/// A queue of the hold: 0 is worth most.
type Tier = usize;

/// Where a request is, in the order of its life; up to `Sharing` it takes the memory of a held one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd)]
enum Stage {
    #[default]
    New,
    Held,
    /// Behind a held request with the same key.
    Behind,
    Sharing,
    Running,
    AtCall,
    Calling,
}

impl Stage {
    fn place(self) -> Option<Place> {
        match self {
            Stage::Held => Some(Place::Held),
            Stage::Running => Some(Place::OnCores),
            Stage::AtCall | Stage::Calling => Some(Place::AtCall),
            _ => None,
        }
    }
}

#[derive(Default)]
struct Request {
    class: usize,
    tier: Tier,
    kb: f64,
    arrived: f64,
    due: f64,
    aim_at: f64,
    /// From then on an answer earns nothing.
    ends: f64,
    stage: Stage,
    /// Nothing is owed any more, though the run may go on.
    settled: bool,
    /// Its tenant looked over quota, and asks for far more than its share.
    greedy: bool,
    entry: Option<RequestId>,
    /// What it is expected to take by its own word, and its time on the cores up to the last change of stage.
    hint: Option<f64>,
    on_cores: f64,
    since: f64,
}

/// A key in the table, named by the first try that brought it.
#[derive(Default)]
struct Entry {
    holder: RequestId,
    tries: Vec<RequestId>,
    behind: Vec<RequestId>,
    ran: bool,
    kept_until: f64,
}

/// The run limit and the evidence of its window.
#[derive(Default)]
struct RunLimit {
    runs: usize,
    ends: f64,
    ended: u32,
    ended_before: u32,
}

/// Local sickness, whatever its cause: runs that fail, or none that ends. Quick failures leave a worker free,
/// so that it would swallow the fleet's traffic. Also for hangs, disks; harm: faulty requests look the same.
#[derive(Default)]
struct Sickness {
    sick: bool,
    failed: f64,
    ended: f64,
    last_end: f64,
    stuck: f64, // Time on the cores since then.
    good_in_row: u32,
    next_probe: f64,
    /// How long what is read now lay unread, in aims, fading, and whether that is too long to be of use.
    unread: f64,
    read: f64,
    swamped: bool,
}

impl Sickness {
    fn advance(&mut self, dt: f64, running: usize) {
        self.stuck += running as f64 * dt;
        let fade = (-dt / SICK_MEMORY_S).exp();
        let counts = [&mut self.failed, &mut self.ended, &mut self.unread, &mut self.read];
        counts.into_iter().for_each(|n| *n *= fade);
        self.swamped &= self.unread > SWAMPED / 4.0 * (self.read + 1.0);
    }
    /// Reading lags (slow host, flood, cold start): callers are sent away until it is gone. Harm: to others.
    fn has_read(&mut self, unread: f64, aim: f64) {
        self.unread += unread / aim.max(SWEEP_S);
        self.read += 1.0;
        self.swamped |= self.unread > SWAMPED * (self.read + 1.0);
    }
    fn run_ended(&mut self, now: f64, failed: bool) {
        (self.last_end, self.stuck) = (now, 0.0);
        self.ended += 1.0;
        self.failed += f64::from(u8::from(failed));
        self.good_in_row = if failed { 0 } else { self.good_in_row + 1 };
        if self.sick && self.good_in_row >= PROBES_GOOD && self.failed < SICK_SHARE / 2.0 * self.ended {
            self.sick = false;
        } else if self.failed >= SICK_LEAST && self.failed > SICK_SHARE * self.ended {
            self.sick = true;
        }
    }
}

/// The bound on calls in hand. The certain share is only a ceiling: a dependency slows down long before it
/// falls, and a crowd held there keeps it slow. Harm: one slow for another reason gets too few calls.
#[derive(Default)]
struct CallBound {
    room: f64,
    top: f64,
    spent: f64,
    ended: f64,
    /// What the mean length of a window is measured against.
    shortest: f64,
    lately: (f64, f64), // Time on calls and ended calls, fading.
    /// Time on calls that may still be spent, where the share is under one call.
    budget: f64,
    shut_until: f64,
}

impl CallBound {
    /// What may be saved up is there at the start: else a fleet would make its first calls together.
    fn new(dependency: Option<&Dependency>) -> Self {
        let share = dependency.map_or(f64::MAX, |d| d.share);
        let budget = dependency.map_or(0.0, |d| d.share * CALL_BURST * d.window_s);
        let top = if share < 1.0 { share * (1.0 - CALL_BURST) } else { share };
        let room = (share * CALL_START).max(top.min(1.0));
        CallBound { room, top, budget, shortest: f64::INFINITY, ..CallBound::default() }
    }
    /// The length of a call; it fades to the yardstick while none are made, or none could show it is short.
    fn length(&self) -> f64 {
        let usual = if self.shortest.is_finite() { self.shortest } else { 0.0 };
        (self.lately.0 + usual) / (self.lately.1 + 1.0)
    }
    fn advance(&mut self, in_hand: f64, dt: f64) {
        let fade = (-dt / MEASUREMENT_MEMORY_S).exp();
        self.spent += in_hand * dt;
        self.lately = (self.lately.0 * fade + in_hand * dt, self.lately.1 * fade);
    }
    /// Calls are turned away below: a crowd. Fewer are made, and none for the length of one; a quick no is
    /// not a short call. Harm: what is shed for another reason gets less than it could take.
    fn turned_away(&mut self, now: f64) {
        if now >= self.shut_until {
            self.shut_until = now + self.length().max(SWEEP_S);
            self.room = (self.room * CALL_BACK).max(self.least());
        }
    }
    fn least(&self) -> f64 {
        (self.top.min(1.0) * CALL_START).max(self.top * CALL_FLOOR)
    }
    fn look(&mut self, waiting: bool) {
        let slow_time = CALL_WINDOW * CALL_SLOW * self.shortest;
        if self.ended < CALL_WINDOW && self.spent < slow_time {
            return;
        }
        let length = self.spent / self.ended.max(1.0);
        if length > CALL_SLOW * self.shortest {
            self.room = (self.room * CALL_BACK).max(self.least());
        } else if waiting {
            self.room = (self.room + self.top * CALL_STEP).min(self.top);
        }
        self.shortest =
            if self.shortest.is_finite() { follow_baseline(self.shortest, length) } else { length };
        (self.spent, self.ended) = (0.0, 0.0);
    }
}

/// This worker's even part of a tenant's quota, as a bucket of requests, and its arrivals lately, fading.
struct Quota {
    rate: f64,
    tokens: f64,
    asked: f64,
}

/// The controller of one worker.
#[derive(Default)]
pub struct Controller {
    set: Settings,
    weights: Vec<f64>,
    now: f64,
    born: f64,
    requests: BTreeMap<RequestId, Request>,
    hold: Vec<BTreeSet<RequestId>>,
    parked: Vec<BTreeSet<RequestId>>,
    entries: BTreeMap<RequestId, Entry>,
    entry_of: BTreeMap<RequestId, RequestId>,
    released: Vec<RequestId>,
    pace: Vec<RunLengthEstimate>,
    call_bound: CallBound,
    on_cores: Vec<usize>,
    calling: usize,
    lingering: Vec<f64>,
    held_kb: f64,
    run_kb: f64,
    limit: RunLimit,
    inflow: Vec<f64>,
    /// Marked further tries a second, fading.
    further: f64,
    /// What a run takes when this worker is well: the yardstick for a flood.
    usual: f64,
    quotas: Vec<Quota>,
    /// The notice to leave: when it came and when the worker is stopped.
    leave: Option<(f64, f64)>,
    level: f64,
    sickness: Sickness,
    /// Neither sick nor swamped; what health checks are told.
    well: bool,
    fit: bool,
    /// Where an operator set up pools they say which class may start, and how many runs there are.
    pub(crate) pools: Option<Pools>,
    pub(crate) overload: Option<OverloadPolicy>, // What the fleet sheds as one, and calls that it lends.
    /// Of a process that leaves its place to this one: runs on the cores, calls in hand, memory.
    beside: (usize, usize, f64),
}

impl Controller {
    /// A controller for a worker that has just started with empty hands.
    pub fn new(set: Settings, now: f64, out: &mut Vec<Action>) -> Self {
        let over = if set.tenants.is_empty() { 1.0 } else { set.over_quota_weight.max(OVER_RANK) };
        let mut weights: Vec<f64> = set.classes.iter().flat_map(|c| [c.weight, c.weight * over]).collect();
        weights.sort_by(|a, b| b.total_cmp(a));
        weights.dedup();
        let (cores, workers) = (set.cores.max(1) as usize, f64::from(set.workers.max(1)));
        let quota = |rate: f64| Quota { rate, tokens: (rate * QUOTA_BURST_S).max(QUOTA_LEAST), asked: 0.0 };
        let mut controller = Controller {
            now,
            born: now,
            overload: set.overload.then(|| OverloadPolicy::new(now, &set)),
            hold: vec![BTreeSet::new(); weights.len()],
            parked: vec![BTreeSet::new(); weights.len()],
            pace: set.classes.iter().map(RunLengthEstimate::new).collect(),
            call_bound: CallBound::new(set.dependency.as_ref()),
            on_cores: vec![0; set.classes.len()],
            limit: RunLimit { runs: cores, ends: now + LIMIT_WINDOW_S, ..RunLimit::default() },
            inflow: vec![0.0; weights.len()],
            quotas: set.tenants.iter().map(|t| quota(t.quota_per_s / workers)).collect(),
            sickness: Sickness { last_end: now, ..Sickness::default() },
            well: true,
            fit: true,
            weights,
            set,
            ..Controller::default()
        };
        controller.usual = controller.run_length();
        let plan = controller.set.pools.take();
        controller.set_pools(plan);
        out.extend([Action::Health(true), Action::WakeIn(SWEEP_S)]);
        controller.publish(out);
        controller
    }

    /// Takes one event at the worker's clock and appends what is to be done, in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival, out),
            Event::CallerGone(id) => self.caller_gone(id, out),
            Event::RunEnded { id, outcome } => self.run_ended(id, outcome),
            Event::AtCall(id) => self.at_call(id, out),
            Event::CallEnded { id, outcome } => self.call_ended(id, outcome, out),
            Event::Shutdown { ago_s, in_s } => self.leave = Some((now - ago_s, now + in_s)),
            Event::Woken(gauges) => self.woken(&gauges, out),
            Event::Pools(plan) => self.set_pools(plan),
            Event::OtherProcess { on_cores, calling, kb } => self.beside = (on_cores, calling, kb),
            Event::LearnedState(learned) => self.learn(learned),
        }
        self.clear_hold(out);
        let (sick, swamped) = (self.sickness.sick, self.sickness.swamped);
        if self.well == (sick || swamped) {
            self.well = !self.well;
            self.publish(out);
            let bad = ["swamped: requests are read too late to be served", "sick: runs fail or do not end"];
            out.push(Action::Log((if self.well { "well again" } else { bad[usize::from(sick)] }).to_owned()));
        }
        // Off the list nobody sends: after a rest without runs a sick worker shows itself to be tried.
        let rested = self.running() == 0 && self.now - self.sickness.last_end > SICK_MEMORY_S;
        let bad = sick && !rested || swamped && !self.fleet_full(); // Else the workers left would drown.
        if bad == self.fit && (bad || self.well || sick) {
            self.fit = !bad;
            out.push(Action::Health(self.fit));
        }
        self.place_calls(out);
        self.start(out);
    }

    /// Requests that no later event or action of this controller will name.
    pub fn take_released(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.released)
    }

    /// What a successor on this machine should know.
    pub fn learned(&self) -> LearnedState {
        let paces = self.pace.iter().map(|p| (p.core_time, p.ended, p.hinted.to_sums())).collect();
        let (runs, usual_s, c) = (self.limit.runs, self.usual, &self.call_bound);
        let call_s = Some(c.shortest).filter(|s| s.is_finite());
        let (call_room, calls, call_budget_s) = (c.room, c.lately, Some(c.budget));
        let quotas = self.quotas.iter().map(|q| (q.tokens, q.asked)).collect();
        let lately = (self.further, self.sickness.failed, self.sickness.ended);
        let traffic = Traffic { quotas, arrivals: self.inflow.clone(), lately };
        LearnedState { runs, usual_s, paces, call_room, call_s, calls, call_budget_s, traffic }
    }

    fn learn(&mut self, l: LearnedState) {
        (self.limit.runs, self.usual) = (l.runs.min(self.crowd_limit()).max(self.limit.runs), l.usual_s);
        let taught = self.pace.iter_mut().zip(l.paces);
        taught.for_each(|(p, (spent, ended, hinted))| {
            (p.core_time, p.ended, p.hinted) = (spent, ended, HintRegression::from_sums(hinted))
        });
        let (c, call_s) = (&mut self.call_bound, l.call_s.unwrap_or(f64::INFINITY));
        (c.room, c.lately, c.shortest) = (l.call_room.min(c.top.max(1.0)), l.calls, call_s);
        c.budget = l.call_budget_s.map_or(c.budget, |had| had.min(c.budget));
        let had = self.quotas.iter_mut().zip(l.traffic.quotas);
        had.for_each(|(q, (left, asked))| (q.tokens, q.asked) = (left.min(q.tokens), asked));
        self.inflow.iter_mut().zip(l.traffic.arrivals).for_each(|(n, was)| *n = was);
        (self.further, self.sickness.failed, self.sickness.ended) = l.traffic.lately;
    }

    /// Takes up other pools, or none. Runs and what is held stay as they are.
    fn set_pools(&mut self, plan: Option<PoolPlan>) {
        let Some(plan) = plan else { return self.pools = None };
        if let Some(pools) = &mut self.pools {
            return pools.replan(plan);
        }
        let lengths: Vec<f64> = self.pace.iter().map(RunLengthEstimate::mean).collect();
        let mut pools = Pools::new(plan, &lengths, self.crowd_limit());
        self.requests.values().for_each(|r| pools.moved(r.class, None, r.stage.place()));
        self.pools = Some(pools);
    }

    fn advance(&mut self, now: f64) {
        let dt = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        self.pools.iter_mut().for_each(|pools| pools.advance(dt));
        self.pace.iter_mut().zip(&self.on_cores).for_each(|(pace, n)| pace.advance(*n as f64, dt));
        self.call_bound.advance(self.calling as f64, dt);
        let (used, bound) = (self.calling + self.lingering.len(), &mut self.call_bound);
        self.overload.iter_mut().for_each(|o| o.bound_calls(now, used, &mut bound.top, &mut bound.room));
        if let Some(dep) = &self.set.dependency {
            let saved = self.call_bound.budget + (self.call_bound.room - used as f64) * dt;
            self.call_bound.budget = saved.min(dep.share * CALL_BURST * dep.window_s);
        }
        let fade = (-dt / MEASUREMENT_MEMORY_S).exp();
        self.inflow.iter_mut().chain([&mut self.further]).for_each(|n| *n *= fade);
        self.sickness.advance(dt, self.running() - self.beside.0);
        for q in &mut self.quotas {
            let most = (q.rate * QUOTA_BURST_S).max(QUOTA_LEAST);
            (q.tokens, q.asked) = ((q.tokens + q.rate * dt).min(most), q.asked * fade);
        }
        self.lingering.retain(|&t| t > now);
    }

    /// Runs on the cores, or back to them, that are survived for certain: fewer while it may still be cold.
    fn crowd_limit(&self) -> usize {
        let (cores, from) = (f64::from(self.set.cores.max(1)), self.set.cold_speed.clamp(0.0, 1.0));
        let rise = (self.now - self.born) / self.set.warm_up_s.max(SWEEP_S);
        let warmth = if self.set.cold { (from + (1.0 - from) * rise).min(1.0) } else { 1.0 };
        let crowd = cores * (1.0 + (self.set.survivable_multiple - 1.0).max(0.0) * warmth);
        (crowd * CROWD_SHARE).floor().max(1.0) as usize
    }

    fn run_length(&self) -> f64 {
        self.length_of(|_| true)
    }

    fn length_of(&self, counts: impl Fn(usize) -> bool) -> f64 {
        let paces = || self.pace.iter().enumerate().filter(|(class, _)| counts(*class)).map(|(_, p)| p);
        let spent: f64 = paces().map(|p| p.core_time).sum();
        let ended: f64 = paces().map(|p| p.ended).sum();
        (spent / ended.max(1e-6)).max(1e-6)
    }

    /// Runs a second: the run limit over the time on the cores, call waits apart. With pools, on what the
    /// pool of this class can count.
    fn capacity(&self, class: usize) -> f64 {
        match &self.pools {
            Some(pools) => pools.slots(class) / self.length_of(|c| pools.together(c, class)),
            None => self.limit.runs as f64 / self.run_length(),
        }
    }

    /// Whether a request waits for the same slots as this class.
    fn beside(&self, id: &RequestId, class: usize) -> bool {
        self.pools.as_ref().map_or(true, |pools| pools.together(self.requests[id].class, class))
    }

    fn running(&self) -> usize {
        self.on_cores.iter().sum::<usize>() + self.beside.0
    }

    fn memory(&self) -> f64 {
        self.held_kb + self.run_kb + self.entries.len() as f64 * self.set.key_entry_kb + self.beside.2
    }

    fn class(&self, class: usize) -> &Class {
        &self.set.classes[class]
    }

    fn arrived(&mut self, a: Arrival, out: &mut Vec<Action>) {
        if a.class >= self.set.classes.len() || self.requests.contains_key(&a.id) {
            return;
        }
        let arrived = self.now - a.read_delay_s.max(0.0);
        let class = self.class(a.class).clone();
        let due = a.time_left_s.map_or(arrived + class.deadline_s, |s| self.now + s).max(self.now);
        let (over, greedy) = self.ask_quota(a.tenant);
        // Harm of the lower rank: uneven balancing puts honest traffic over, hence only half of it is lost.
        let weight = class.weight * if over { self.set.over_quota_weight.max(OVER_RANK) } else { 1.0 };
        let tier = self.weights.iter().position(|w| *w <= weight).unwrap_or(self.weights.len() - 1);
        let too_late = self.leave.is_some_and(|(notice, stop)| {
            arrived > notice + self.set.shutdown_grace_s - SWEEP_S || self.now >= stop - LEAVE_MARGIN_S
        });
        let aim_at = (arrived + class.objective_s).min(due);
        let request = Request {
            class: a.class,
            tier,
            kb: a.kb.max(0.0),
            arrived,
            due,
            aim_at,
            ends: if class.late_weight > 0.0 || class.effect != Idempotency::Idempotent {
                due
            } else {
                aim_at
            },
            greedy: over && greedy,
            hint: a.estimate_s.filter(|x| *x > 0.0 && x.is_finite()),
            since: self.now,
            ..Request::default()
        };
        self.held_kb += request.kb;
        self.sickness.has_read(a.read_delay_s, class.objective_s);
        self.further += f64::from(u8::from(a.retry)) / MEASUREMENT_MEMORY_S;
        let over = self.overload.as_mut().is_some_and(|o| o.arrived(tier, a.retry));
        self.inflow[tier] += if over { 0.0 } else { 1.0 / MEASUREMENT_MEMORY_S };
        self.requests.insert(a.id, request);
        // After the grace nothing starts, and an answer might not come in time; what may have run is failed.
        if too_late && a.retry_of.is_some() {
            return self.give_up(a.id, out);
        }
        if class.effect == Idempotency::Keyed && self.repeat(&a, out) {
            return self.make_room(out);
        }
        if too_late || over || self.must_refuse(a.id) {
            return self.refuse(a.id, out);
        }
        if class.effect == Idempotency::Keyed {
            self.remember(a.id, a.id, out);
        }
        if let Some(quota) = a.tenant.and_then(|t| self.quotas.get_mut(t)) {
            quota.tokens = (quota.tokens - 1.0).max(0.0);
        }
        self.shift(a.id, Some(Stage::Held));
        self.make_room(out);
    }

    /// Whether a tenant's bucket is empty, and whether its part of what arrives is far over its part of the
    /// quota. The first alone may be a fleet that shrank, a lost zone or further tries: then all look over.
    fn ask_quota(&mut self, tenant: Option<usize>) -> (bool, bool) {
        let rates: f64 = self.quotas.iter().map(|q| q.rate).sum();
        let asked: f64 = self.quotas.iter().map(|q| q.asked).sum();
        let Some(q) = tenant.and_then(|t| self.quotas.get_mut(t)) else { return (false, false) };
        q.asked += 1.0;
        (q.tokens < 1.0, q.asked > QUOTA_LEAST && q.asked * rates > GREEDY * q.rate * (asked + 1.0))
    }

    /// A try of a key known here shares the run, whatever became of it.
    fn repeat(&mut self, a: &Arrival, out: &mut Vec<Action>) -> bool {
        let Some(earlier) = a.retry_of else { return false };
        let Some(entry_id) = self.entry_of.get(&earlier).copied().filter(|e| !self.entries[e].ran) else {
            out.push(Action::ShareResponse(a.id));
            self.shift(a.id, Some(Stage::Sharing));
            return true;
        };
        if let (Some(entry), Some(r)) = (self.entries.get_mut(&entry_id), self.requests.get_mut(&a.id)) {
            entry.behind.push(a.id);
            entry.tries.push(a.id);
            r.entry = Some(entry_id);
        }
        self.entry_of.insert(a.id, entry_id);
        self.shift(a.id, Some(Stage::Behind));
        true
    }

    fn remember(&mut self, id: RequestId, entry_id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let window = self.set.classes[r.class].window_s;
        let for_s = (r.arrived + window - self.now).max(0.0) + 2.0 * SWEEP_S;
        r.entry = Some(entry_id);
        let entry = self.entries.entry(entry_id).or_default();
        if entry.tries.is_empty() {
            entry.tries.push(id);
        }
        entry.behind.retain(|b| *b != id);
        (entry.holder, entry.kept_until) = (id, self.now + for_s);
        self.entry_of.insert(id, entry_id);
        out.push(Action::RetainKey { id, for_s });
    }

    /// j and k stand for waiting time: what can be started in the time that the aim leaves, with the capacity
    /// that tiers above leave over. Work parked at a call counts as held, or it would be hidden.
    fn must_refuse(&self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return true };
        let (class, jammed) = (self.class(r.class), self.call_jam(r.tier));
        // While the dependency is the bottleneck, what waits for it does not stand in the way of the rest.
        let counts = |id: &&RequestId| {
            (!jammed || class.calls || !self.class(self.requests[*id].class).calls)
                && self.beside(id, r.class)
        };
        let waiting = |upto: usize| self.hold[..upto].iter().flatten().filter(counts).count();
        let near = self.weights.iter().filter(|w| **w >= self.weights[r.tier] * TOTAL_WORTH).count();
        let parked = self.parked.iter().flatten().filter(|id| self.beside(id, r.class));
        let held = waiting(near) + if class.calls || !jammed { parked.count() } else { 0 };
        let above = waiting(r.tier);
        let free = match &self.pools {
            Some(pools) => pools.open(r.class),
            None => self.running() < self.limit.runs && self.hold.iter().all(BTreeSet::is_empty),
        };
        let pace = &self.pace[r.class];
        let spare = r.aim_at - self.now - pace.predict(r.hint) * RUN_ALLOWANCE;
        let coming = |id: &&RequestId| self.class(self.requests[*id].class).calls;
        let wait = self.call_wait(r.tier, self.hold[..=r.tier].iter().flatten().filter(coming).count());
        let within = if wait > 0.0 { spare } else { r.aim_at - self.now };
        let needs = class.calls && class.skipped_call_weight <= 0.0;
        let none = self.overload.as_ref().is_some_and(|o| o.gives_up_call(class.is_idempotent()));
        let no_call = needs && (none || wait + self.call_bound.length() > within);
        let rate = self.capacity(r.class);
        let before: f64 = self.inflow[..r.tier].iter().sum();
        let left = if self.pools.is_some() { POOL_WAIT } else { (1.0 - before / rate).max(0.1) };
        // A greedy account's excess may wait for as little as it is worth.
        let part = if r.greedy { self.set.over_quota_weight } else { 1.0 };
        let j = (spare * rate * left * part).max(1.0);
        let k = (spare * rate * K_OF_J).max(1.0);
        // The top tier is refused too when even it could not end in time: sooner said than failed late.
        let total = if r.tier == 0 { waiting(1) } else { held };
        let full = self.pools.as_ref().is_some_and(|pools| pools.full(r.class));
        let shed = self.overload.as_ref().is_some_and(|o| o.sheds(r.tier, free));
        no_call || full || shed || !free && (total as f64 >= j || above as f64 >= k)
    }

    /// How long to stay away: half the time that what is held takes to start; the longest while not well. In
    /// a full fleet half the time to a caller's next try, unless far off: it would only delay clients.
    fn advice(&self, tier: Tier, class: usize) -> f64 {
        let (most, next) =
            (self.set.max_retry_after_s, f64::from(self.set.callers) / 2.0 / self.inflow.iter().sum::<f64>());
        let held = self.hold[..=tier].iter().flatten();
        let ahead = held.filter(|id| self.beside(id, class)).count();
        let half = (ahead as f64 / self.capacity(class) / 2.0).max(4.0 * SWEEP_S);
        let least = if self.fleet_full() && next < most * COME_BACK { next } else { 0.0 };
        let away = if self.well { half.max(least) } else { most };
        self.overload.as_ref().map_or(away, |o| o.stay_away_s(tier, away)).min(most)
    }

    /// Sick: what has not run may still be served elsewhere; one safe request at a time is kept to try. In a
    /// full fleet a small chance is better than none: then only what must not run twice is sent on.
    fn clear_hold(&mut self, out: &mut Vec<Action>) {
        let useful = self.fleet_full() && self.sickness.ended > f64::from(PROBES_GOOD);
        let held = self.hold.iter().flatten().filter(|_| self.sickness.sick);
        for id in held.copied().collect::<Vec<RequestId>>() {
            let safe = self.class(self.requests[&id].class).is_idempotent();
            if safe && (useful || self.now >= self.sickness.next_probe) {
                self.sickness.next_probe = self.now + PROBE_S;
            } else {
                self.refuse(id, out);
            }
        }
    }

    /// Many further tries mean that others refuse too: walking on only costs readings. Without marks,
    /// arrivals beyond the usual pace of the cores stand in: callers spread what they send, so a flood here
    /// is one everywhere; trouble only here brings no more. Harm: a spare worker elsewhere is not found.
    fn fleet_full(&self) -> bool {
        let (seen, cores) = (self.inflow.iter().sum::<f64>(), f64::from(self.set.cores.max(1)));
        let marked = seen * MEASUREMENT_MEMORY_S > cores && self.further > FLEET_FULL * seen;
        let flood = seen * self.usual > FLOOD * cores;
        let told = self.overload.as_ref().and_then(OverloadPolicy::fleet_full);
        self.leave.is_none() && told.unwrap_or(if self.set.marks_retries { marked } else { flood })
    }

    /// Memory: what waits goes, the lowest and newest first, repeats too: a flood of them would fill it.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        while self.memory() > self.set.memory_kb * MEMORY_TOP {
            let waits = self.requests.iter().filter(|(_, r)| r.stage <= Stage::Sharing);
            let Some((&id, r)) = waits.max_by_key(|(id, r)| (r.tier, **id)) else { return };
            if r.stage == Stage::Sharing {
                self.give_up(id, out)
            } else {
                self.refuse(id, out)
            }
        }
    }

    /// The key that this request holds in the table, while no try of it has run.
    fn leads(&self, id: RequestId) -> Option<RequestId> {
        let key = self.requests.get(&id)?.entry?;
        self.entries.get(&key).filter(|e| e.holder == id && !e.ran).map(|_| key)
    }

    /// Answers a request that has not run, and those behind it.
    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (leads, retry_after_s) = (self.leads(id), self.advice(r.tier, r.class));
        self.pools.iter_mut().for_each(|pools| pools.turned_away(self.requests[&id].class));
        let stop_retrying = !self.sickness.sick && self.fleet_full();
        out.push(Action::Reject { id, retry_after_s, stop_retrying });
        self.drop_request(id);
        if let Some(key) = leads {
            self.entries[&key].behind.clone().into_iter().for_each(|other| self.refuse(other, out));
            out.push(Action::ReleaseKey(id));
            self.drop_entry(key);
        }
    }

    fn drop_entry(&mut self, entry_id: RequestId) {
        let Some(entry) = self.entries.remove(&entry_id) else { return };
        for id in entry.tries {
            self.entry_of.remove(&id);
            if !self.requests.contains_key(&id) {
                self.released.push(id);
            }
        }
    }

    fn drop_request(&mut self, id: RequestId) {
        self.shift(id, None);
        if let Some(r) = self.requests.remove(&id) {
            if let Some(entry) = r.entry.and_then(|e| self.entries.get_mut(&e)) {
                entry.behind.retain(|b| *b != id);
            }
            if !self.entry_of.contains_key(&id) {
                self.released.push(id);
            }
        }
    }

    /// Moves a request to another stage, or out of all of them; every count of the module is kept here.
    fn shift(&mut self, id: RequestId, to: Option<Stage>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let from = r.stage;
        r.stage = to.unwrap_or(from);
        r.on_cores += if from == Stage::Running { self.now - r.since } else { 0.0 };
        r.since = self.now;
        let places = (from.place(), to.and_then(Stage::place));
        self.pools.iter_mut().for_each(|pools| pools.moved(r.class, places.0, places.1));
        for (stage, enters) in [(Some(from), false), (to, true)] {
            let sign = if enters { 1.0 } else { -1.0 };
            let one = |n: &mut usize| *n = if enters { *n + 1 } else { n.saturating_sub(1) };
            let list = |q: &mut BTreeSet<RequestId>| if enters { q.insert(id) } else { q.remove(&id) };
            match stage {
                Some(s) if s <= Stage::Sharing => self.held_kb += sign * r.kb,
                Some(_) => self.run_kb += sign * r.kb * self.set.run_factor,
                None => {}
            }
            match stage {
                Some(Stage::Held) => drop(list(&mut self.hold[r.tier])),
                Some(Stage::AtCall) => drop(list(&mut self.parked[r.tier])),
                Some(Stage::Running) => one(&mut self.on_cores[r.class]),
                Some(Stage::Calling) => one(&mut self.calling),
                _ => {}
            }
        }
    }

    fn caller_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.settled = true;
        if r.stage > Stage::Sharing {
            return self.stop_run(id, out);
        }
        // The first try of a key has gone unrun: the oldest repeat behind it takes its place.
        let leads = self.leads(id);
        self.drop_request(id);
        let Some(key) = leads else { return };
        if let Some(&next) = self.entries[&key].behind.first() {
            self.remember(next, key, out);
            self.shift(next, Some(Stage::Held));
        } else {
            out.push(Action::ReleaseKey(id));
            self.drop_entry(key);
        }
    }

    fn run_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(r) = self.requests.get(&id) else { return };
        // Too late: it never started. A stopped run took its time on the cores, but says nothing of health.
        if r.stage == Stage::Running && outcome != Outcome::NotStarted {
            let length = r.on_cores + self.now - r.since;
            self.pace[r.class].run_ended(r.hint, length);
            self.pools.iter_mut().for_each(|pools| pools.run_ended(r.class, length));
            if outcome != Outcome::Cancelled {
                self.sickness.run_ended(self.now, outcome == Outcome::Error);
                self.limit.ended += 1;
            }
        }
        // A call cut off with its run stays below for a while, like one that was given up.
        let cut_off = self.set.dependency.iter().filter(|_| r.stage == Stage::Calling);
        self.lingering.extend(cut_off.map(|d| self.now + d.linger_s));
        self.drop_request(id);
    }

    fn at_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        (self.sickness.last_end, self.sickness.stuck) = (self.now, 0.0); // At a call it has not hung.
        self.shift(id, Some(Stage::AtCall));
        // What would wait in vain goes on at once: the cores may be idle while the dependency is slow.
        let Some(r) = self.requests.get(&id) else { return };
        let ready_at = self.now + self.call_wait(r.tier, 0);
        let none =
            self.overload.as_ref().is_some_and(|o| o.gives_up_call(self.class(r.class).is_idempotent()));
        if !r.settled && (none || ready_at > self.last_call(r)) {
            self.leave_call_out(id, out);
        }
    }

    fn call_ended(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Calling) else { return };
        // A call is repeated only if that is safe or the earlier one never ran. What can do without it
        // does not wait for a dependency that is down: it would stand there until nobody waits.
        let (unseen, took) =
            (matches!(outcome, Outcome::Rejected | Outcome::Unreachable), self.now - r.since);
        let again = unseen || self.class(r.class).effect == Idempotency::Idempotent;
        let down = outcome == Outcome::Unreachable && self.class(r.class).skipped_call_weight > 0.0;
        let hopeful = !r.settled && !down && r.ends - self.now > self.call_bound.length();
        let given_up = self.set.dependency.iter().filter(|_| outcome == Outcome::TimedOut);
        self.lingering.extend(given_up.map(|d| self.now + d.linger_s));
        self.overload.iter_mut().for_each(|o| o.call_ended(outcome == Outcome::Ok, took));
        if unseen {
            self.call_bound.turned_away(self.now);
        } else {
            self.call_bound.ended += 1.0;
            self.call_bound.lately.1 += 1.0;
            self.call_bound.look(self.parked.iter().any(|q| !q.is_empty()));
        }
        self.shift(id, Some(if outcome == Outcome::Ok { Stage::Running } else { Stage::AtCall }));
        if outcome != Outcome::Ok && !(again && hopeful) {
            self.leave_call_out(id, out);
        }
    }

    /// The call can't be had: where an answer without it keeps a part of its worth, the run goes on so.
    fn leave_call_out(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.settled || self.class(r.class).skipped_call_weight <= 0.0 || self.now >= r.ends {
            return self.give_up(id, out);
        }
        out.push(Action::SkipCall(id));
        self.shift(id, Some(Stage::Running));
    }

    /// Nothing is to come of it: it is answered at once, with advice where it is safe to repeat, and stopped
    /// where that can be done. Against runs of no use (bursts, hangs, costly requests); harm: asking again.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.settled) else { return };
        let (waits, retry_after_s) = (r.stage <= Stage::Sharing, self.advice(r.tier, r.class));
        let safe = !waits && self.class(r.class).is_idempotent();
        out.push(if safe {
            Action::Reject { id, retry_after_s, stop_retrying: true }
        } else {
            Action::Fail(id)
        });
        self.stop_run(id, out);
        if waits {
            self.drop_request(id);
        }
    }

    /// Nothing is owed for it any more; what runs is taken off the cores where the worker can do that. A run
    /// with an effect goes on: the next try asks for its result.
    fn stop_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.settled = true;
        let safe = self.set.classes[r.class].is_idempotent();
        if safe && r.stage == Stage::Running && self.set.preemption != Preemption::Never {
            out.push(Action::Preempt(id));
        }
    }

    /// What stands at calls of this tier and above is more than may be in hand.
    fn call_jam(&self, tier: Tier) -> bool {
        self.parked[..=tier].iter().flatten().count() as f64 >= self.call_bound.room.max(1.0)
    }

    /// The wait for a call of this tier, behind what stands at one and so many that are to come.
    fn call_wait(&self, tier: Tier, coming: usize) -> f64 {
        let before = self.parked[..=tier].iter().flatten().count() + coming;
        before as f64 * self.call_bound.length() / self.call_bound.room
    }

    /// A call begun later than this would make its run miss the aim; where it may be left out, it then is.
    fn last_call(&self, r: &Request) -> f64 {
        if self.class(r.class).skipped_call_weight <= 0.0 || self.now >= r.aim_at {
            return f64::INFINITY;
        }
        let length = self.pace[r.class].predict(r.hint);
        let rest = (length - r.on_cores).max(length * REST_LEAST) + 2.0 * SWEEP_S;
        r.aim_at - rest - CALL_SLOW * self.call_bound.length()
    }

    fn place_calls(&mut self, out: &mut Vec<Action>) {
        let open = self.now >= self.call_bound.shut_until;
        // What was given up is no crowd that slows the rest, but counts for what is survived.
        let (room, most) = (self.call_bound.room.max(1.0) as usize, self.call_bound.top.max(1.0) as usize);
        let beside = self.beside.1;
        while open && self.calling + beside < room && self.calling + beside + self.lingering.len() < most {
            let may = |c: &Class| self.overload.as_ref().map_or(true, |o| o.may_call(c.is_idempotent()));
            let mut next = self.parked.iter().flatten().map(|id| (*id, &self.requests[id]));
            let Some((id, r)) = next.find(|(_, r)| !r.settled && may(self.class(r.class))) else { return };
            // One that never answers must not hold its slot, nor what can go on without, until nobody waits.
            let (bound, length) = (&self.call_bound, self.call_bound.length());
            let (class, last) = (self.class(r.class), self.last_call(r));
            let part = if bound.shortest.is_finite() { CALL_PATIENCE_OF_AIM } else { f64::INFINITY };
            let lengths = CALL_PATIENCE * if class.effect == Idempotency::Idempotent { 1.0 } else { 2.0 };
            let patience = (length * lengths).max(class.objective_s * part);
            let mut until_s = (r.due - SWEEP_S).min(self.now + patience).min(last + CALL_SLOW * length);
            // A share under one call is kept in the mean: one call at a time, as long as was saved up.
            if let Some(dep) = self.set.dependency.as_ref().filter(|d| d.share < 1.0) {
                let lasts = self.call_bound.budget - dep.linger_s;
                let most = dep.share * CALL_BURST * dep.window_s - dep.linger_s;
                if lasts < (self.call_bound.length() * CALL_LASTS).min(most * 0.9) || lasts <= SWEEP_S {
                    return;
                }
                until_s = until_s.min(self.now + lasts);
            }
            if until_s > self.now && last > self.now {
                out.push(Action::Call { id, until_s });
                self.overload.iter_mut().for_each(OverloadPolicy::called);
                self.shift(id, Some(Stage::Calling));
            } else {
                self.leave_call_out(id, out);
            }
        }
    }

    /// A free slot starts the oldest of the highest non-empty tier. What can't end in time is refused, but
    /// for one run at a time: else a worker would never learn that it is quick again.
    fn start(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.next_to_start() {
            let r = &self.requests[&id];
            let ends = self.now + self.pace[r.class].predict(r.hint);
            let hopeless = ends > r.aim_at && (self.running() > 0 || self.now > r.aim_at);
            let leaving = self.leave.is_some_and(|(_, stop)| ends > stop - LEAVE_MARGIN_S);
            if hopeless || leaving {
                self.refuse(id, out);
                continue;
            }
            let crowd = self.running() + self.calling + self.parked.iter().flatten().count();
            let (more, entry_id) = (r.kb * (self.set.run_factor - 1.0).max(0.0), r.entry);
            if crowd >= self.crowd_limit() || self.memory() + more > self.set.memory_kb * MEMORY_TOP {
                return;
            }
            out.push(Action::Start(id));
            self.shift(id, Some(Stage::Running));
            if let Some(entry) = entry_id.and_then(|e| self.entries.get_mut(&e)) {
                entry.ran = true;
                for other in std::mem::take(&mut entry.behind) {
                    out.push(Action::ShareResponse(other));
                    self.shift(other, Some(Stage::Sharing));
                }
            }
        }
    }

    fn next_to_start(&mut self) -> Option<RequestId> {
        let (crowd, mut pools) = (self.crowd_limit().saturating_sub(self.beside.0), self.pools.take());
        let can = |r: &Request, c: &Class| !c.calls || c.skipped_call_weight > 0.0 || !self.call_jam(r.tier);
        let fits = |id: &&RequestId| can(&self.requests[*id], self.class(self.requests[*id].class));
        let mut held = self.hold.iter().flatten().filter(fits).copied();
        let next = match &mut pools {
            Some(pools) => pools.choose(held.map(|id| (id, self.requests[&id].class)), crowd),
            None if self.running() < self.limit.runs => held.next(),
            None => None,
        };
        self.pools = pools;
        next
    }

    fn woken(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::WakeIn(SWEEP_S));
        let crowd = self.crowd_limit();
        if let Some(pools) = &mut self.pools {
            pools.look(self.now, crowd);
            out.extend(pools.take_lines().into_iter().map(Action::Log));
        }
        let stop = self.leave.map(|(_, stop)| stop - LEAVE_MARGIN_S);
        let ahead = self.now + SWEEP_S + 2.0 * self.set.wake_ahead_s;
        let ids: Vec<RequestId> = self.requests.iter().filter(|(_, r)| !r.settled).map(|(i, _)| *i).collect();
        for id in ids {
            let Some(r) = self.requests.get(&id) else { continue };
            let last = stop.map_or(r.due, |s| s.min(r.due));
            let waits = matches!(r.stage, Stage::Held | Stage::Behind);
            let hopeless = self.now + self.pace[r.class].predict(r.hint) > r.aim_at;
            if waits && (hopeless || last <= ahead) {
                self.refuse(id, out);
            } else if last <= ahead || self.now >= r.ends {
                self.give_up(id, out);
            } else if r.stage == Stage::AtCall && self.now >= self.last_call(r) {
                self.leave_call_out(id, out);
            }
        }
        let known = |id: &RequestId| self.requests.contains_key(id);
        let over = |e: &Entry| e.kept_until <= self.now && !e.tries.iter().any(known);
        let gone: Vec<RequestId> = self.entries.iter().filter(|(_, e)| over(e)).map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.drop_entry(id));
        self.call_bound.look(self.parked.iter().any(|q| !q.is_empty()));
        let (length, parked) = (self.run_length(), self.parked.iter().map(BTreeSet::len).zip(&self.weights));
        self.overload.iter_mut().for_each(|o| o.stands(self.limit.runs as f64 / length, parked.clone()));
        let s = &mut self.sickness;
        if self.now - s.last_end > SICK_STUCK_S && s.stuck > SICK_STUCK * length {
            (s.sick, s.good_in_row) = (true, 0);
        }
        // A core is free: nothing lies unread. Off the list, without arrivals, it would not be learnt else.
        if gauges.runnable.is_some_and(|n| n < f64::from(self.set.cores)) {
            (self.sickness.unread, self.sickness.swamped) = (0.0, false);
        }
        if self.now >= self.limit.ends {
            self.step_limit(gauges);
            self.publish(out);
        }
    }

    /// Up a step while cores idle with work held, back only when they are busy and completions stop rising.
    /// Not while sick: hung runs leave the cores idle.
    fn step_limit(&mut self, gauges: &Gauges) {
        let busy = gauges.cores_busy.unwrap_or(1.0) >= BUSY;
        // Work held for a call slot asks for no run slot.
        let held = self.hold.iter().any(|q| !q.is_empty()) && self.running() >= self.limit.runs;
        let floor = self.set.cores.max(1) as usize;
        let idle = gauges.runnable.map_or(!busy, |n| n < floor as f64);
        if idle && held && self.well {
            self.limit.runs += 1;
        } else if busy && self.limit.ended <= self.limit.ended_before && self.limit.runs > floor {
            self.limit.runs -= 1;
        }
        self.limit.runs = self.limit.runs.min(self.crowd_limit()).max(floor);
        self.limit.runs = self.pools.as_ref().map_or(self.limit.runs, Pools::limit);
        self.usual = follow_baseline(self.usual, self.run_length());
        (self.limit.ended_before, self.limit.ended) = (self.limit.ended, 0);
        self.limit.ends = self.now + LIMIT_WINDOW_S;
    }

    /// The weight that callers are told: 1, and 0 while leaving or not well.
    fn publish(&mut self, out: &mut Vec<Action>) {
        let level = f64::from(u8::from(self.leave.is_none() && self.well));
        if self.set.signal == Signal::Weight && level != self.level {
            self.level = level;
            out.push(Action::Publish(level));
        }
    }
}
