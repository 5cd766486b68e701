//! Properties of the pools over random courses of events, and each hard case by itself. Seeds are fixed.

use super::limit::{LimitSettings, SlotLimit};
use super::{Place, Pools};
use crate::interface::{AdmissionEvent, PoolLimitCause, PoolLimitChange};
use crate::interface::{PoolItem, PoolPlan};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn item(name: &str, guarantee: f64, ceiling: f64, weight: f64) -> PoolItem {
    PoolItem { name: name.to_owned(), guarantee, ceiling, weight, queue: 50 }
}

fn plan(items: Vec<PoolItem>, reserve: Option<(usize, usize)>, least: usize, most: usize) -> PoolPlan {
    PoolPlan {
        pool_of: (0..items.len()).collect(),
        pools: items,
        reserve,
        least_slots: least,
        most_slots: most,
        window_s: 10.0,
        look_s: 0.5,
        samples: 16,
        slow_ratio: 1.6,
    }
}

/// A worker's part of the bargain: classes are tiers, the first the highest, and ages go by number.
struct World {
    pools: Pools,
    now: f64,
    next: u64,
    held: Vec<Vec<u64>>,
    /// End, class.
    running: Vec<(f64, usize)>,
    at_calls: Vec<(f64, usize)>,
    crowd: usize,
    /// Slot seconds by class.
    served: Vec<f64>,
}

impl World {
    fn new(plan: PoolPlan, classes: usize) -> World {
        World {
            pools: Pools::new(plan, &vec![1.0; classes], 1000),
            now: 0.0,
            next: 0,
            held: vec![Vec::new(); classes],
            running: Vec::new(),
            at_calls: Vec::new(),
            crowd: 1000,
            served: vec![0.0; classes],
        }
    }

    fn arrive(&mut self, class: usize) {
        self.next += 1;
        self.held[class].push(self.next);
        self.pools.moved(class, None, Some(Place::Queued));
    }

    fn pass(&mut self, dt: f64) {
        self.now += dt;
        for &(_, class) in &self.running {
            self.served[class] += dt;
        }
        self.pools.advance(dt);
    }

    /// Ends what is due, then starts what may start; each start is held against the rules.
    fn settle(&mut self, length: f64) -> Vec<usize> {
        let due = |list: &mut Vec<(f64, usize)>, now: f64| {
            let (over, left) = list.iter().partition(|(end, _)| *end <= now);
            *list = left;
            let over: Vec<(f64, usize)> = over;
            over
        };
        for (_, class) in due(&mut self.running, self.now) {
            self.pools.moved(class, Some(Place::OnCores), None);
            self.pools.run_ended(class, length);
        }
        for (_, class) in due(&mut self.at_calls, self.now) {
            self.pools.moved(class, Some(Place::AtCall), Some(Place::OnCores));
            self.running.push((self.now + length, class));
        }
        let mut started = Vec::new();
        while let Some(class) = self.choose() {
            self.held[class].remove(0);
            let pool = self.pools.pool_of(class);
            let own = self.pools.on_cores(pool) < self.pools.reserve_of(pool);
            assert!(own || self.pools.free() > 0, "a start without a slot");
            assert!(own || self.pools.used(pool) < self.pools.ceiling(pool), "a start above the ceiling");
            self.pools.moved(class, Some(Place::Queued), Some(Place::OnCores));
            self.running.push((self.now + length, class));
            started.push(class);
        }
        self.nothing_waits_in_vain();
        started
    }

    fn choose(&mut self) -> Option<usize> {
        let held =
            self.held.iter().enumerate().flat_map(|(class, ids)| ids.iter().map(move |_| (class, class)));
        self.pools.choose(held, self.crowd)
    }

    /// A free slot that a pool may take, and a request of it that waits, never stand side by side.
    fn nothing_waits_in_vain(&self) {
        for pool in self.pools.indices().filter(|p| self.pools.queued(*p) > 0) {
            let own = self.pools.on_cores(pool) < self.pools.reserve_of(pool);
            let common = self.pools.free() > 0 && self.pools.used(pool) < self.pools.ceiling(pool);
            let crowd = self.pools.has_room_for_run(pool);
            assert!(!crowd || !own && !common, "pool {pool} waits with a slot free");
        }
    }

    /// Keeps requests of these classes waiting for so long; all runs take `length`.
    fn saturate(&mut self, classes: &[usize], for_s: f64, length: f64) {
        let until = self.now + for_s;
        while self.now < until {
            for &class in classes {
                while self.held[class].len() < 40 {
                    self.arrive(class);
                }
            }
            self.settle(length);
            self.pass(0.01);
        }
    }

    fn on_cores(&self, class: usize) -> usize {
        self.running.iter().filter(|(_, c)| *c == class).count()
    }
}

/// Pools with guarantees that add up to 1 at most, one class each, perhaps a reserve, a fixed limit.
fn plans() -> impl Strategy<Value = PoolPlan> {
    let pool = (0.0..1.0f64, 0.0..1.0f64, 0.1..5.0f64);
    (vec(pool, 2..5), 0.0..1.0f64, 0usize..4, 0usize..4, 0usize..9).prop_map(
        |(pools, sum, of, slots, more)| {
            let all: f64 = pools.iter().map(|p| p.0).sum::<f64>().max(1e-9);
            let of = of % pools.len();
            let items = pools.iter().enumerate().map(|(i, (g, c, w))| {
                let guarantee = g / all * sum;
                item(&format!("p{i}"), guarantee, (guarantee + c * (1.0 - guarantee)).clamp(0.01, 1.0), *w)
            });
            let limit = slots + 1 + more;
            plan(items.collect(), (slots > 0).then_some((of, slots)), limit, limit)
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Pass(f64),
    ToCall(usize),
    GoneFromHold(usize),
    Replan(PoolPlan),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0usize..4).prop_map(Step::Arrive),
        8 => (0.0..0.4f64).prop_map(Step::Pass),
        2 => (0usize..16).prop_map(Step::ToCall),
        1 => (0usize..4).prop_map(Step::GoneFromHold),
        1 => plans().prop_map(Step::Replan),
    ];
    vec(step, 1..250)
}

#[test]
fn starts_keep_to_limit_reserve_and_ceilings_nothing_waits_in_vain_and_counts_return_to_zero() {
    let cases = (plans(), steps(), 0.05..1.5f64, 1usize..60);
    runner(256)
        .run(&cases, |(first, steps, length, crowd)| {
            let classes = 4;
            let fit = |mut plan: PoolPlan| {
                plan.pool_of = (0..classes).map(|c| c % plan.pools.len()).collect();
                plan
            };
            let mut w = World::new(fit(first), classes);
            w.crowd = crowd;
            for step in steps {
                match step {
                    Step::Arrive(class) => w.arrive(class),
                    Step::Pass(dt) => w.pass(dt),
                    Step::ToCall(n) if !w.running.is_empty() => {
                        let (_, class) = w.running.remove(n % w.running.len());
                        w.pools.moved(class, Some(Place::OnCores), Some(Place::AtCall));
                        w.at_calls.push((w.now + 0.3, class));
                    }
                    Step::GoneFromHold(class) if !w.held[class].is_empty() => {
                        w.held[class].pop();
                        w.pools.moved(class, Some(Place::Queued), None);
                    }
                    // Fewer slots, other pools: what runs goes on and stays counted.
                    Step::Replan(plan) => w.pools.replan(fit(plan)),
                    _ => {}
                }
                w.settle(length);
                let counted: usize = w.pools.all.on_cores;
                assert_eq!(counted, w.running.len());
                assert!(w.pools.indices().all(|p| w.pools.slots(p).is_finite() && w.pools.slots(p) > 0.0));
            }
            // All that is held is served in the end: nobody is forgotten.
            let waits =
                |w: &World| w.held.iter().map(Vec::len).sum::<usize>() + w.running.len() + w.at_calls.len();
            let mut turns = 0;
            while waits(&w) > 0 {
                w.pass(length / 2.0 + 0.1);
                w.settle(length);
                turns += 1;
                assert!(turns < 4000, "something is never served");
            }
            let counts = w.pools.classes.iter().chain(&w.pools.counts).chain([&w.pools.all]);
            assert!(counts.into_iter().all(|c| *c == super::Counts::default()));
            Ok(())
        })
        .unwrap();
}

#[test]
fn each_pool_that_wants_it_gets_its_guarantee_over_ten_mean_runs() {
    let cases = (plans(), vec((vec(any::<bool>(), 4), 0.1..6.0f64), 1..4), 0.1..1.0f64);
    runner(96)
        .run(&cases, |(plan, before, length)| {
            let n = plan.pools.len();
            let mut w = World::new(plan, n);
            // Whatever went before: some pools wanted slots, and others had lent theirs.
            for (wanting, for_s) in before {
                let classes: Vec<usize> = (0..n).filter(|c| wanting[*c]).collect();
                w.saturate(&classes, for_s * length, length);
            }
            let all: Vec<usize> = (0..n).collect();
            let served = w.served.clone();
            w.saturate(&all, 10.0 * length, length);
            for (pool, before) in served.iter().enumerate() {
                let got = (w.served[pool] - before) / (10.0 * length);
                // A pool that wants all: its guarantee and its reserve, but for one run of one slot in ten,
                // since slots are whole and so are runs. A ceiling of less than a slot is one.
                let due = w.pools.guarantee(pool) + w.pools.reserve_of(pool) as f64;
                assert!(got >= due - 0.15, "pool {pool} got {got:.3} of {due:.3} slots: {:?}", w.pools.plan);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_class_at_three_times_the_capacity_leaves_the_others_their_guarantee() {
    let items = vec![item("flood", 0.2, 1.0, 5.0), item("a", 0.4, 1.0, 1.0), item("b", 0.4, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 10, 10), 3);
    // Alone it has all slots: what nobody wants is lent.
    w.saturate(&[0], 3.0, 0.5);
    assert_eq!(w.on_cores(0), 10);
    // The others come back: within one run they have what is theirs.
    w.saturate(&[0, 1, 2], 0.55, 0.5);
    assert_eq!((w.on_cores(1), w.on_cores(2)), (4, 4));
    w.saturate(&[0, 1, 2], 5.0, 0.5);
    assert!(w.served[1] >= 0.4 * 10.0 * 5.0 && w.served[2] >= 0.4 * 10.0 * 5.0, "{:?}", w.served);
}

#[test]
fn what_was_lent_is_paid_back_first() {
    // Long runs of one pool stand in the way of another's guarantee; what it missed comes back on top of it.
    let items = vec![item("long", 0.5, 1.0, 1.0), item("lender", 0.5, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 4, 4), 2);
    w.saturate(&[0], 0.5, 2.0);
    assert_eq!(w.on_cores(0), 4);
    let came_back = w.now;
    // It wants its two slots for 1.5 s and has none: it is owed three slot seconds.
    w.saturate(&[0, 1], 1.55, 2.0);
    assert!(w.pools.state().pools[1].owed_slot_s > 2.0, "{:?}", w.pools.state());
    assert!(w.on_cores(1) >= 3, "paid back beyond its two slots: {}", w.on_cores(1));
    w.saturate(&[0, 1], 20.0 - (w.now - came_back), 2.0);
    assert!(w.served[1] >= 0.5 * 4.0 * 20.0 - 2.0, "{:?}", w.served);
}

#[test]
fn fractions_of_a_slot_add_up_over_time() {
    // One slot on one core for two pools: they take turns, three to one.
    let items = vec![item("more", 0.75, 1.0, 1.0), item("less", 0.25, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 1, 1), 2);
    w.saturate(&[0, 1], 40.0, 0.2);
    let part = w.served[1] / (w.served[0] + w.served[1]);
    assert!((part - 0.25).abs() < 0.03, "{part}");
}

#[test]
fn a_reserve_that_was_silent_starts_its_first_requests_at_once() {
    let items = vec![item("cheap", 0.0, 1.0, 1.0), item("heavy", 1.0, 1.0, 1.0)];
    let mut w = World::new(plan(items, Some((0, 2)), 6, 6), 2);
    w.saturate(&[1], 60.0, 3.0);
    // Four of six slots are all that anybody else ever had.
    assert_eq!(w.on_cores(1), 4);
    for _ in 0..5 {
        w.arrive(0);
    }
    assert_eq!(w.settle(0.1), vec![0, 0]);
    assert_eq!(w.pools.state().reserve_kept, 0);
}

#[test]
fn a_shrunk_limit_kills_no_run_and_the_reserve_still_opens() {
    let wide = plan(vec![item("cheap", 0.0, 1.0, 1.0), item("heavy", 0.5, 1.0, 1.0)], Some((0, 1)), 10, 10);
    let mut w = World::new(wide.clone(), 2);
    w.saturate(&[1], 1.0, 5.0);
    assert_eq!(w.on_cores(1), 9);
    w.pools.replan(PoolPlan { least_slots: 3, most_slots: 3, ..wide });
    assert_eq!((w.settle(5.0).len(), w.on_cores(1), w.pools.limit()), (0, 9, 3));
    w.arrive(0);
    assert_eq!(w.settle(5.0), vec![0]);
    // Until the others are down to the new limit nobody of them starts.
    w.saturate(&[1], 4.5, 5.0);
    assert_eq!(w.on_cores(1), 2);
}

#[test]
fn runs_of_one_pool_stuck_at_calls_leave_the_crowds_room_to_the_others() {
    let items = vec![item("stuck", 0.3, 1.0, 1.0), item("other", 0.3, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 6, 6), 2);
    w.crowd = 20;
    // All its runs go to a call and stay there: they hold no slot, but come back.
    for _ in 0..100 {
        w.arrive(0);
        w.settle(10.0);
        for (_, class) in std::mem::take(&mut w.running) {
            w.pools.moved(class, Some(Place::OnCores), Some(Place::AtCall));
            w.at_calls.push((f64::INFINITY, class));
        }
    }
    assert_eq!(w.at_calls.len(), 14);
    for _ in 0..6 {
        w.arrive(1);
    }
    assert_eq!(w.settle(10.0).len(), 6);
}

#[test]
fn within_what_pools_allow_the_highest_tier_goes_first_and_weights_divide_the_rest() {
    let items = vec![item("top", 0.0, 1.0, 3.0), item("low", 0.0, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 8, 8), 2);
    w.saturate(&[0, 1], 20.0, 0.3);
    let part = w.served[0] / (w.served[0] + w.served[1]);
    assert!((part - 0.75).abs() < 0.05, "{part}");
    // With one slot to give and both under their part, the top tier's request is it.
    let items = vec![item("top", 0.5, 1.0, 1.0), item("low", 0.5, 1.0, 1.0)];
    let mut w = World::new(plan(items, None, 2, 2), 2);
    w.arrive(1);
    w.arrive(0);
    assert_eq!(w.settle(1.0), vec![0, 1]);
}

#[test]
fn a_ceiling_holds_while_slots_idle_and_a_full_queue_says_so() {
    let mut w = World::new(plan(vec![item("a", 0.1, 0.5, 1.0), item("b", 0.1, 1.0, 1.0)], None, 8, 8), 2);
    for _ in 0..60 {
        w.arrive(0);
    }
    w.settle(9.0);
    assert_eq!(w.on_cores(0), 4);
    assert!(w.pools.full(0) && !w.pools.full(1) && w.pools.open(1) && !w.pools.open(0));
}

/// A closed loop on shared cores: as many runs as the limit lets, and `above` more that came back from calls.
struct Loop {
    limit: SlotLimit,
    cores: f64,
    speed: f64,
    /// Work left, work in all, time on the cores.
    runs: Vec<(f64, f64)>,
    random: u64,
    above: usize,
    crowd: usize,
    limits: Vec<(f64, usize, PoolLimitCause)>,
    now: f64,
}

impl Loop {
    fn new(cores: f64, settings: LimitSettings) -> Loop {
        Loop {
            limit: SlotLimit::new(settings, &[0.3]),
            cores,
            speed: 1.0,
            runs: Vec::new(),
            random: 7,
            above: 0,
            crowd: 1000,
            limits: Vec::new(),
            now: 0.0,
        }
    }

    /// Lengths with a coefficient of variation of about 0.6, 0.3 s in the mean.
    fn work(&mut self) -> f64 {
        let mut unit = || {
            self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            ((self.random >> 11) as f64 + 1.0) / (1u64 << 53) as f64
        };
        -0.05 * (unit().ln() + unit().ln() + unit().ln()) * 2.0
    }

    fn play(&mut self, for_s: f64, wanted: usize) -> f64 {
        const STEP: f64 = 0.005;
        let (until, mut work_done) = (self.now + for_s, 0.0);
        while self.now < until {
            while self.runs.len() < wanted.min(self.limit.slots() + self.above) {
                let work = self.work();
                self.runs.push((work, 0.0));
            }
            let rate = self.speed * (self.cores / self.runs.len().max(1) as f64).min(1.0);
            self.now += STEP;
            self.limit.advance(STEP, self.runs.len(), wanted > self.limit.slots());
            for (left, time) in &mut self.runs {
                (*left, *time) = (*left - rate * STEP, *time + STEP);
            }
            work_done += rate * STEP * self.runs.len() as f64;
            for (_, time) in self.runs.iter().filter(|(left, _)| *left <= 0.0) {
                self.limit.run_ended(0, *time);
            }
            self.runs.retain(|(left, _)| *left > 0.0);
            if (self.now / 0.025).floor() > ((self.now - STEP) / 0.025).floor() {
                self.limit.review(self.runs.len(), self.crowd);
                self.limits.push((self.now, self.limit.slots(), self.limit.cause()));
            }
        }
        work_done / for_s
    }

    fn mean_limit(&self, from: f64) -> f64 {
        let late: Vec<f64> = self.limits.iter().filter(|l| l.0 >= from).map(|l| l.1 as f64).collect();
        late.iter().sum::<f64>() / late.len().max(1) as f64
    }
}

fn bounds(least: usize, most: usize) -> LimitSettings {
    LimitSettings {
        min_slots: least,
        max_slots: most,
        window_s: 10.0,
        review_s: 0.5,
        min_samples: 16.0,
        slow_ratio: 1.6,
    }
}

#[test]
fn the_limit_stays_near_the_cores_where_more_runs_bring_no_more_throughput() {
    for above in [0, 2] {
        let mut l = Loop { above, ..Loop::new(6.0, bounds(6, 40)) };
        l.play(120.0, 1000);
        let mean = l.mean_limit(20.0);
        assert!((6.0..8.0).contains(&mean), "with {above} back from calls: {mean}");
    }
}

#[test]
fn the_limit_finds_throughput_that_the_settings_do_not_tell() {
    // Servers behind are worth 30 slots, and the file says 6 at least: no gauge tells.
    let mut l = Loop::new(30.0, bounds(6, 64));
    l.play(60.0, 1000);
    let mean = l.mean_limit(40.0);
    assert!((27.0..42.0).contains(&mean), "{mean}");
}

#[test]
fn a_slowed_executor_lowers_the_limit_and_it_is_back_within_three_seconds() {
    for times in [2.0, 10.0] {
        let mut l = Loop::new(30.0, bounds(6, 64));
        l.play(60.0, 1000);
        assert!(l.mean_limit(50.0) >= 27.0);
        l.speed = 1.0 / times;
        l.play(10.0, 1000);
        let fell = l
            .limits
            .iter()
            .find(|x| x.0 > 60.0 && x.2 == PoolLimitCause::Slow && x.1 == 6)
            .map(|x| x.0 - 60.0);
        assert!(fell.is_some_and(|s| s < 3.0), "{times}: it fell after {fell:?}");
        l.speed = 1.0;
        l.play(6.0, 1000);
        let back = l.limits.iter().find(|x| x.0 > 70.0 && x.1 >= 30).map(|x| x.0 - 70.0);
        assert!(back.is_some_and(|s| s <= 3.0), "{times}: at the cores again after {back:?}");
    }
}

#[test]
fn an_idle_pool_and_too_few_ends_change_nothing() {
    let mut l = Loop::new(30.0, bounds(6, 64));
    l.play(60.0, 1000);
    let (limit, capacity) = (l.limit.slots(), l.limit.capacity());
    l.play(5.0, 0);
    l.play(60.0, 1);
    let changes: Vec<_> = l.limits.windows(2).filter(|w| w[0].1 != w[1].1).map(|w| w[1]).collect();
    assert!(l.limit.slots() >= limit.min(30) - 3, "{limit} -> {} {changes:?}", l.limit.slots());
    assert!((l.limit.capacity() - capacity).abs() < 0.1 * capacity);
}

#[test]
fn a_cold_executor_is_no_slow_one_and_its_crowd_bounds_the_limit() {
    let mut l = Loop::new(6.0, bounds(6, 24));
    l.crowd = 7;
    for tenth in 0..180 {
        l.speed = 0.26 + 0.74 * f64::from(tenth) / 180.0;
        l.play(0.1, 1000);
    }
    assert!(l.limits.iter().all(|x| x.1 <= 7), "the crowd bounds it");
    l.crowd = 1000;
    l.play(20.0, 1000);
    assert!((6.0..9.0).contains(&l.mean_limit(25.0)), "{}", l.mean_limit(25.0));
}

#[test]
fn a_change_of_limit_is_one_line_with_its_cause_and_no_more_than_one_a_second() {
    let items = vec![item("a", 0.5, 1.0, 1.0), item("b", 0.5, 1.0, 1.0)];
    let mut w = World::new(plan(items.clone(), None, 4, 40), 2);
    let mut events: Vec<(f64, AdmissionEvent)> = Vec::new();
    for turn in 0..4000 {
        w.saturate(&[0, 1], 0.025, 0.1);
        w.pools.count_rejection(1);
        if turn == 2000 {
            w.pools.replan(plan(items.clone(), None, 2, 3));
        }
        w.pools.review(w.now, 1000);
        events.extend(w.pools.take_events().into_iter().map(|event| (w.now, event)));
    }
    let limit_change = |(at, event): &(f64, AdmissionEvent)| match event {
        AdmissionEvent::PoolLimitChanged(change) => Some((*at, *change)),
        _ => None,
    };
    let limits: Vec<(f64, PoolLimitChange)> = events.iter().filter_map(limit_change).collect();
    assert!(limits.windows(2).all(|w| w[1].0 - w[0].0 >= 0.99), "{limits:?}");
    let first = limits[0].1;
    assert!(
        first.previous == 4 && first.cause == PoolLimitCause::Rate && first.baseline_run_s > 0.0,
        "{first:?}"
    );
    let is_reload = |change: &PoolLimitChange| change.limit == 3 && change.cause == PoolLimitCause::Reload;
    assert!(limits.iter().any(|(_, change)| is_reload(change)), "{limits:?}");
    let rejections_of = |name: &'static str| {
        events.iter().filter_map(move |(at, event)| match event {
            AdmissionEvent::PoolRequestsRejected { pool, rejected, .. } if pool == name => {
                assert!(*rejected > 0, "an event reports no rejection");
                Some(*at)
            }
            _ => None,
        })
    };
    let rejections: Vec<f64> = rejections_of("b").collect();
    assert!(rejections.len() > 50 && rejections.windows(2).all(|w| w[1] - w[0] >= 0.99));
    assert_eq!(rejections_of("a").count(), 0);
}
