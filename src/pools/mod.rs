//! Class pools: who may have a run slot when slots are short, and how many slots there are.
//!
//! The decision module asks, as it asks its other bounds: [`Pools::choose`] names the request that may start next,
//! [`Pools::slots`] the slots on which an arrival of a class can count, [`Pools::full`] whether its queue has no
//! room. It owes in return every change of a request's place ([`Pools::moved`]), every ended run and the time
//! ([`Pools::advance`]). Nothing here reads a clock, draws at random or does input or output.
//!
//! Slots are divided so: the reserve belongs to one pool and nobody else ever takes it; the rest are common. Of the
//! common slots each pool has its guarantee whenever it wants it; what is not wanted is lent. A pool that wants its
//! part and does not get it, since running work can't be stopped, is owed the difference in slot seconds, and is
//! paid back first. What no guarantee claims is divided by weight among those that want some. Among pools that may
//! start, the highest tier's oldest request goes first.

pub mod estimate;
mod report;
#[cfg(test)]
mod tests;

pub use report::{PoolState, PoolsState};

use crate::interface::PoolPlan;
use estimate::{Bounds, Estimate};

/// Where a request stands, as far as pools count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It waits for a slot.
    Held,
    /// It runs on the cores: this takes a slot.
    OnCores,
    /// Its run stands at a call below, off the cores, and will come back to them.
    AtCall,
}

/// What is owed to a pool, or by it, is at most this many mean runs of its guarantee and one slot more.
const OWED_RUNS: f64 = 1.0;
/// What is owed to a pool that wants nothing is forgotten over this time (seconds).
const FORGET_S: f64 = 5.0;
/// No pool counts on less than this part of a slot: it must not look as if it would wait for ever.
const SLOTS_LEAST: f64 = 0.05;
/// What is owed and comes under this is nothing (slot seconds).
const FORGOTTEN: f64 = 1e-6;
/// Rounding of slot counts.
const EPSILON: f64 = 1e-9;

/// Counts of a class, of a pool, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    held: usize,
    on_cores: usize,
    at_call: usize,
}

impl Count {
    fn at(&mut self, place: Place) -> &mut usize {
        match place {
            Place::Held => &mut self.held,
            Place::OnCores => &mut self.on_cores,
            Place::AtCall => &mut self.at_call,
        }
    }

    fn moved(&mut self, from: Option<Place>, to: Option<Place>) {
        if let Some(n) = from.map(|place| self.at(place)) {
            *n = n.saturating_sub(1);
        }
        if let Some(n) = to.map(|place| self.at(place)) {
            *n += 1;
        }
    }
}

/// What one pool is owed, and what it was seen to want.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Slot seconds: above 0 it is owed them, below it has had more while others went short.
    credit: f64,
    /// It has a request that could start, were there a slot for it.
    wants: bool,
    refused: u64,
    started: u64,
}

/// The pools of one worker.
#[derive(Clone, Debug)]
pub struct Pools {
    plan: PoolPlan,
    /// By class, which a new plan leaves as they are; by pool, and in all, which are sums of those.
    classes: Vec<Count>,
    counts: Vec<Count>,
    all: Count,
    accounts: Vec<Account>,
    estimate: Estimate,
    /// The crowd of runs that the executor survives for certain, as last told.
    crowd: usize,
    /// More would run if the limit let it.
    bound: bool,
    /// How often a request of the reserve's pool was left waiting with a reserved slot free.
    reserve_kept: u64,
    report: report::Report,
}

fn bounds(plan: &PoolPlan) -> Bounds {
    Bounds {
        least: plan.least_slots.max(1),
        most: plan.most_slots.max(plan.least_slots).max(1),
        window_s: plan.window_s,
        look_s: plan.look_s,
        samples: plan.samples.max(1) as f64,
        slow_ratio: plan.slow_ratio,
    }
}

impl Pools {
    /// Pools with empty hands; `lengths` are first guesses of the classes' run lengths (seconds).
    pub fn new(plan: PoolPlan, lengths: &[f64], crowd: usize) -> Pools {
        Pools {
            classes: vec![Count::default(); lengths.len()],
            counts: vec![Count::default(); plan.pools.len()],
            all: Count::default(),
            accounts: vec![Account::default(); plan.pools.len()],
            estimate: Estimate::new(bounds(&plan), lengths),
            plan,
            crowd,
            bound: false,
            reserve_kept: 0,
            report: report::Report::default(),
        }
    }

    /// Takes up another plan while runs are in flight. Counts are kept by class, so none is lost; what the
    /// estimate has learnt stays, and a pool that keeps its name keeps what it is owed.
    pub fn replan(&mut self, plan: PoolPlan) {
        let kept = |name: &str| self.plan.pools.iter().position(|p| p.name == name);
        self.accounts = plan
            .pools
            .iter()
            .map(|p| kept(&p.name).map_or_else(Account::default, |i| self.accounts[i].clone()))
            .collect();
        self.plan = plan;
        self.counts = vec![Count::default(); self.plan.pools.len()];
        for class in 0..self.classes.len() {
            let (pool, count) = (self.pool(class), self.classes[class]);
            let sum = &mut self.counts[pool];
            sum.held += count.held;
            sum.on_cores += count.on_cores;
            sum.at_call += count.at_call;
        }
        let before = self.limit();
        self.estimate.rebound(bounds(&self.plan), self.crowd);
        self.report.limit_changed(before);
    }

    fn pool(&self, class: usize) -> usize {
        self.plan.pool_of.get(class).copied().unwrap_or(0)
    }

    /// Whether two classes share a pool.
    pub fn together(&self, a: usize, b: usize) -> bool {
        self.pool(a) == self.pool(b)
    }

    fn held(&self, pool: usize) -> usize {
        self.counts[pool].held
    }

    fn on_cores(&self, pool: usize) -> usize {
        self.counts[pool].on_cores
    }

    /// Runs of a pool on the cores or on their way back to them.
    fn crowd_of(&self, pool: usize) -> usize {
        self.counts[pool].on_cores + self.counts[pool].at_call
    }

    /// The limit on runs on the cores, reserve and all (slots).
    pub fn limit(&self) -> usize {
        self.estimate.limit()
    }

    fn reserve_of(&self, pool: usize) -> usize {
        self.plan.reserve.filter(|(of, _)| *of == pool).map_or(0, |(_, slots)| slots)
    }

    /// The slots that all pools share: the limit without the reserve.
    fn common(&self) -> usize {
        self.limit().saturating_sub(self.plan.reserve.map_or(0, |(_, slots)| slots)).max(1)
    }

    /// What a pool has of the common slots.
    fn used(&self, pool: usize) -> usize {
        self.on_cores(pool).saturating_sub(self.reserve_of(pool))
    }

    fn guarantee(&self, pool: usize) -> f64 {
        self.plan.pools[pool].guarantee * self.common() as f64
    }

    /// The common slots that a pool takes at most: a part of a slot counts as one, so that no ceiling is under its
    /// guarantee, and a pool can always have one.
    fn ceiling(&self, pool: usize) -> usize {
        let most = (self.plan.pools[pool].ceiling * self.common() as f64 - EPSILON).ceil() as usize;
        most.max(1)
    }

    fn numbers(&self) -> std::ops::Range<usize> {
        0..self.plan.pools.len()
    }

    fn free(&self) -> usize {
        self.common().saturating_sub(self.numbers().map(|p| self.used(p)).sum())
    }

    /// A request of this class has gone from one place to another; `None` is none that counts.
    pub fn moved(&mut self, class: usize, from: Option<Place>, to: Option<Place>) {
        let pool = self.pool(class);
        let (Some(count), Some(sum)) = (self.classes.get_mut(class), self.counts.get_mut(pool)) else {
            return;
        };
        count.moved(from, to);
        sum.moved(from, to);
        self.all.moved(from, to);
        if (from, to) == (Some(Place::Held), Some(Place::OnCores)) {
            self.accounts[pool].started += 1;
        }
    }

    /// A run of this class has ended after so long on the cores (seconds).
    pub fn run_ended(&mut self, class: usize, length: f64) {
        self.estimate.ended(class, length);
    }

    /// Time passes. What pools are owed grows while they want slots and stay under their guarantee.
    pub fn advance(&mut self, dt: f64) {
        if dt <= 0.0 {
            return;
        }
        self.estimate.advance(dt, self.all.on_cores, self.bound);
        // Nobody is short of anything and nothing is owed: this is how a calm day goes by.
        if self.accounts.iter().all(|a| !a.wants && a.credit == 0.0) {
            return;
        }
        // More than the common slots may be in use after a shrink: that is nobody's debt.
        let shorts = self.numbers().filter(|p| self.goes_short(*p)).count();
        let length = self.mean_length();
        for p in self.numbers() {
            let (short, others) = (self.short(p), shorts - usize::from(self.goes_short(p)));
            let most = (self.guarantee(p) + 1.0) * OWED_RUNS * length;
            let (wants, mut credit) = (self.accounts[p].wants, self.accounts[p].credit);
            if wants && short > 0.0 {
                credit += short * dt;
            } else if short < 0.0 && (credit > 0.0 || others > 0) {
                // It is being paid back, or it runs on what another wants.
                let floor = if others > 0 { -most } else { 0.0 };
                credit = (credit + short * dt).max(floor.min(credit));
            } else if !wants || credit < 0.0 {
                credit *= (-dt / FORGET_S).exp();
            }
            self.accounts[p].credit = if credit.abs() < FORGOTTEN { 0.0 } else { credit.clamp(-most, most) };
        }
    }

    fn goes_short(&self, pool: usize) -> bool {
        self.accounts[pool].wants && self.short(pool) > EPSILON
    }

    /// The common slots by which a pool is under its guarantee.
    fn short(&self, pool: usize) -> f64 {
        self.guarantee(pool) - self.used(pool) as f64
    }

    fn mean_length(&self) -> f64 {
        let weighed = |(class, count): (usize, &Count)| {
            let n = (count.on_cores + count.held) as f64 + EPSILON;
            (self.estimate.usual(class) * n, n)
        };
        let sums = self.classes.iter().enumerate().map(weighed);
        let (sum, n) = sums.fold((0.0, 0.0), |(a, b), (c, d)| (a + c, b + d));
        if n > 0.0 {
            sum / n
        } else {
            1.0
        }
    }

    /// Whether the queue of this class's pool has no room for another request.
    pub fn full(&self, class: usize) -> bool {
        self.held(self.pool(class)) >= self.plan.pools[self.pool(class)].queue
    }

    /// Notes that an arrival of this class was turned away.
    pub fn turned_away(&mut self, class: usize) {
        let pool = self.pool(class);
        self.accounts[pool].refused += 1;
    }

    /// Whether a request of this class that comes now would start at once.
    pub fn open(&self, class: usize) -> bool {
        let pool = self.pool(class);
        let own = self.on_cores(pool) < self.reserve_of(pool);
        // Others that wait and may have more would be asked first, but for what is this pool's own.
        let nobody_waits = self.numbers().all(|p| self.held(p) == 0 || self.used(p) >= self.ceiling(p));
        let mine = (self.used(pool) as f64) + 1.0 <= self.guarantee(pool) + EPSILON;
        let common = self.free() > 0 && self.used(pool) < self.ceiling(pool) && (nobody_waits || mine);
        self.held(pool) == 0 && (own || common)
    }

    /// The slots on which a pool can count while it wants them: its own, and its part of what others leave.
    pub fn slots(&self, class: usize) -> f64 {
        let pool = self.pool(class);
        let common = self.part(pool, |p| self.held(p) > 0 || p == pool).min(self.ceiling(pool) as f64);
        (common + self.reserve_of(pool) as f64).max(SLOTS_LEAST)
    }

    /// A pool's guarantee, and its part by weight of what no guarantee of those that want slots claims.
    fn part(&self, pool: usize, wants: impl Fn(usize) -> bool) -> f64 {
        let taken = |p: usize| {
            if wants(p) {
                self.guarantee(p)
            } else {
                (self.used(p) as f64).min(self.guarantee(p))
            }
        };
        let left = (self.common() as f64 - self.numbers().map(taken).sum::<f64>()).max(0.0);
        let weights: f64 = self.numbers().filter(|p| wants(*p)).map(|p| self.plan.pools[p].weight).sum();
        let share = if weights > 0.0 { self.plan.pools[pool].weight / weights } else { 0.0 };
        self.guarantee(pool) + left * share
    }

    /// How many more runs a pool may have on the cores and at calls of its own part of the crowd.
    fn crowd_left(&self, pool: usize) -> usize {
        let reserved = self.plan.reserve.map_or(0, |(_, n)| n).min(self.crowd.saturating_sub(1));
        let rest = self.crowd.saturating_sub(reserved) as f64;
        let part = (self.plan.pools[pool].guarantee * rest + EPSILON).floor() as usize;
        (part + self.reserve_of(pool).min(reserved)).saturating_sub(self.crowd_of(pool))
    }

    /// Whether the crowd has room for another run of a pool: others' parts are kept for them. Guards against one
    /// pool whose runs all stand at calls, which hold no slot but come back.
    fn crowd_has_room(&self, pool: usize) -> bool {
        let all = self.all.on_cores + self.all.at_call;
        if all >= self.crowd {
            return false;
        }
        let others: usize = self.numbers().filter(|p| *p != pool).map(|p| self.crowd_left(p)).sum();
        self.crowd_left(pool) > 0 || all + others < self.crowd
    }

    /// The request that may start next, of those that could: `held` gives them with their classes, highest tier and
    /// oldest first. `crowd` is the number of runs that the executor survives for certain.
    pub fn choose<T: Copy>(&mut self, held: impl Iterator<Item = (T, usize)>, crowd: usize) -> Option<T> {
        self.crowd = crowd;
        if self.all.held == 0 {
            self.bound = false;
            self.accounts.iter_mut().for_each(|a| a.wants = false);
            return None;
        }
        let reserve = self.plan.reserve.is_some_and(|(p, n)| self.on_cores(p) < n && self.held(p) > 0);
        if self.free() == 0 && !reserve {
            // Nothing can start, whoever is first: no need to look for it.
            self.bound = true;
            self.accounts.iter_mut().zip(&self.counts).for_each(|(a, c)| a.wants = c.held > 0);
            return None;
        }
        let mut firsts: Vec<Option<(usize, T)>> = vec![None; self.plan.pools.len()];
        let mut missing = self.numbers().filter(|p| self.held(*p) > 0).count();
        for (order, (request, class)) in held.enumerate() {
            if missing == 0 {
                break;
            }
            let first = &mut firsts[self.plan.pool_of.get(class).copied().unwrap_or(0)];
            if first.is_none() {
                *first = Some((order, request));
                missing -= 1;
            }
        }
        for (account, first) in self.accounts.iter_mut().zip(&firsts) {
            account.wants = first.is_some();
        }
        self.bound = self.free() == 0 && firsts.iter().any(Option::is_some);
        let may = self.permitted();
        // A pool whose own runs at calls fill its part of the crowd waits for nobody else.
        let own = |p: usize| self.on_cores(p) < self.reserve_of(p) && self.crowd_left(p) > 0;
        let kept = |p: &usize| self.accounts[*p].wants && own(*p) && !may[*p];
        self.reserve_kept += self.numbers().filter(kept).count() as u64;
        let best = self.numbers().filter(|p| may[*p]).filter_map(|p| firsts[p]);
        best.min_by_key(|(order, _)| *order).map(|(_, request)| request)
    }

    /// The pools that may start a run now.
    fn permitted(&self) -> Vec<bool> {
        let free = self.free();
        let room = |p: usize| self.accounts[p].wants && self.crowd_has_room(p);
        // The reserve stands open even where a limit that fell leaves no common slot.
        let own = |p: usize| self.on_cores(p) < self.reserve_of(p);
        let mut may: Vec<bool> = self.numbers().map(|p| room(p) && own(p)).collect();
        if free == 0 {
            return may;
        }
        let length = self.mean_length();
        let can = |p: usize| room(p) && self.used(p) < self.ceiling(p);
        let claim = |p: usize| self.guarantee(p) + self.accounts[p].credit / length - self.used(p) as f64;
        let mut claimants: Vec<(usize, f64)> =
            self.numbers().filter(|p| can(*p)).map(|p| (p, claim(p))).filter(|c| c.1 > EPSILON).collect();
        claimants.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut left = free;
        for (p, claim) in claimants.iter().copied() {
            if left == 0 {
                return may;
            }
            may[p] = true;
            // Two of a pool may start before the pools are asked again; its claim covers so many.
            left = left.saturating_sub((claim.ceil() as usize).min(self.held(p)).max(1));
        }
        if left == 0 {
            return may;
        }
        // What no guarantee claims goes by weight; where nobody stays under his part, to whoever wants some.
        let others: Vec<usize> = self.numbers().filter(|p| can(*p) && claim(*p) <= EPSILON).collect();
        let under: Vec<usize> = others.iter().copied().filter(|p| self.under_part(*p)).collect();
        for p in if under.is_empty() { others } else { under } {
            may[p] = true;
        }
        may
    }

    /// Whether one more run leaves a pool within its part, by weight, of what no guarantee claims.
    fn under_part(&self, pool: usize) -> bool {
        self.used(pool) as f64 + 0.5 <= self.part(pool, |p| self.accounts[p].wants)
    }

    /// Looks at the limit; to be called with each wake-up.
    pub fn look(&mut self, now: f64, crowd: usize) {
        self.crowd = crowd;
        let (before, on_cores) = (self.limit(), self.all.on_cores);
        if self.estimate.look(on_cores, crowd) {
            self.report.limit_changed(before);
        }
        let queues: Vec<(usize, u64)> =
            self.numbers().map(|p| (self.held(p), self.accounts[p].refused)).collect();
        self.report.write(now, &self.estimate, &self.plan, &queues);
    }

    /// Lines for the log since the last call.
    pub fn take_lines(&mut self) -> Vec<String> {
        self.report.take()
    }
}
