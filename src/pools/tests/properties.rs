//! Properties over random courses of events.

use super::harness::{item, plan, PoolsHarness, Run};
use crate::interface::{PoolPlan, PoolReserve};
use crate::pools::{Counts, Place};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
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
            plan(items.collect(), (slots > 0).then_some(PoolReserve { pool: of, slots }), limit, limit)
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Pass(f64),
    ToCall(usize),
    CallerGone(usize),
    Replan(PoolPlan),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0usize..4).prop_map(Step::Arrive),
        8 => (0.0..0.4f64).prop_map(Step::Pass),
        2 => (0usize..16).prop_map(Step::ToCall),
        1 => (0usize..4).prop_map(Step::CallerGone),
        1 => plans().prop_map(Step::Replan),
    ];
    vec(step, 1..250)
}

#[test]
fn random_courses_keep_limit_reserve_and_ceilings_and_end_with_zero_counts() {
    let cases = (plans(), steps(), 0.05..1.5f64, 1usize..60);
    runner(256)
        .run(&cases, |(first, steps, length, survivable_runs)| {
            let classes = 4;
            let fit = |mut plan: PoolPlan| {
                plan.pool_of = (0..classes).map(|c| c % plan.pools.len()).collect();
                plan
            };
            let mut w = PoolsHarness::new(fit(first), classes);
            w.survivable_runs = survivable_runs;
            for step in steps {
                match step {
                    Step::Arrive(class) => w.arrive(class),
                    Step::Pass(dt) => w.advance(dt),
                    Step::ToCall(n) if !w.running.is_empty() => {
                        let Run { class, .. } = w.running.remove(n % w.running.len());
                        w.pools.record_transition(class, Some(Place::OnCores), Some(Place::AtCall));
                        w.at_calls.push(Run { ends_at: w.now + 0.3, class });
                    }
                    Step::CallerGone(class) if !w.queued[class].is_empty() => {
                        w.queued[class].pop();
                        w.pools.record_transition(class, Some(Place::Queued), None);
                    }
                    // Fewer slots, other pools: what runs goes on and stays counted.
                    Step::Replan(plan) => w.pools.apply_plan(fit(plan)),
                    _ => {}
                }
                w.settle(length);
                let counted: usize = w.pools.all.on_cores;
                assert_eq!(counted, w.running.len());
                assert!(w
                    .pools
                    .indices()
                    .all(|p| w.pools.expected_slots(p).is_finite() && w.pools.expected_slots(p) > 0.0));
            }
            // All that is queued is served in the end: nobody is forgotten.
            let waits = |w: &PoolsHarness| {
                w.queued.iter().map(Vec::len).sum::<usize>() + w.running.len() + w.at_calls.len()
            };
            let mut turns = 0;
            while waits(&w) > 0 {
                w.advance(length / 2.0 + 0.1);
                w.settle(length);
                turns += 1;
                assert!(turns < 4000, "something is never served");
            }
            let counts = w.pools.classes.iter().chain(&w.pools.counts).chain([&w.pools.all]);
            assert!(counts.into_iter().all(|c| *c == Counts::default()));
            Ok(())
        })
        .unwrap();
}

#[test]
fn saturated_pool_gets_its_guarantee_over_ten_mean_runs() {
    let cases = (plans(), vec((vec(any::<bool>(), 4), 0.1..6.0f64), 1..4), 0.1..1.0f64);
    runner(96)
        .run(&cases, |(plan, before, length)| {
            let n = plan.pools.len();
            let mut w = PoolsHarness::new(plan, n);
            // Whatever happened before: some pools wanted slots, and others had lent theirs.
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
