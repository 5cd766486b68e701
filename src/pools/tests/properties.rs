//! Properties over random sequences of events.

use super::harness::{plan, pool_spec, PoolsHarness, Run};
use crate::interface::{PoolPlan, PoolReserve};
use crate::pools::{Counts, PoolStage};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Pools of one class each, with guarantees that add up to 1 at most, an optional reserve and a fixed limit.
fn plans() -> impl Strategy<Value = PoolPlan> {
    let pool = (0.0..1.0f64, 0.0..1.0f64, 0.1..5.0f64);
    (vec(pool, 2..5), 0.0..1.0f64, 0usize..4, 0usize..4, 0usize..9).prop_map(
        |(pools, guarantee_sum, reserve_pool, slots, extra_slots)| {
            let unscaled_sum: f64 = pools.iter().map(|p| p.0).sum::<f64>().max(1e-9);
            let reserve_pool = reserve_pool % pools.len();
            let specs = pools.iter().enumerate().map(|(i, (g, c, weight))| {
                let guarantee = g / unscaled_sum * guarantee_sum;
                pool_spec(
                    &format!("p{i}"),
                    guarantee,
                    (guarantee + c * (1.0 - guarantee)).clamp(0.01, 1.0),
                    *weight,
                )
            });
            let limit = slots + 1 + extra_slots;
            plan(
                specs.collect(),
                (slots > 0).then_some(PoolReserve { pool: reserve_pool, slots }),
                limit,
                limit,
            )
        },
    )
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize),
    Advance(f64),
    ToCall(usize),
    Cancel(usize),
    Replan(PoolPlan),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0usize..4).prop_map(Step::Arrive),
        8 => (0.0..0.4f64).prop_map(Step::Advance),
        2 => (0usize..16).prop_map(Step::ToCall),
        1 => (0usize..4).prop_map(Step::Cancel),
        1 => plans().prop_map(Step::Replan),
    ];
    vec(step, 1..250)
}

#[test]
fn random_histories_keep_limit_reserve_and_ceilings_and_end_with_zero_counts() {
    let cases = (plans(), steps(), 0.05..1.5f64, 1usize..60);
    runner(256)
        .run(&cases, |(first, steps, length, survivable_runs)| {
            let classes = 4;
            let with_classes = |mut plan: PoolPlan| {
                plan.pool_of = (0..classes).map(|c| c % plan.pools.len()).collect();
                plan
            };
            let mut harness = PoolsHarness::new(with_classes(first), classes);
            harness.survivable_runs = survivable_runs;
            for step in steps {
                match step {
                    Step::Arrive(class) => harness.arrive(class),
                    Step::Advance(dt) => harness.advance(dt),
                    Step::ToCall(n) if !harness.running.is_empty() => {
                        let Run { class, .. } = harness.running.remove(n % harness.running.len());
                        harness.pools.record_transition(
                            class,
                            Some(PoolStage::OnCores),
                            Some(PoolStage::AtCall),
                        );
                        harness.at_calls.push(Run { ends_at: harness.now + 0.3, class });
                    }
                    Step::Cancel(class) if !harness.queued[class].is_empty() => {
                        harness.queued[class].pop();
                        harness.pools.record_transition(class, Some(PoolStage::Queued), None);
                    }
                    // Slots and pools change, and runs in progress continue and stay counted.
                    Step::Replan(plan) => harness.pools.apply_plan(with_classes(plan)),
                    _ => {}
                }
                harness.settle(length);
                let counted: usize = harness.pools.total_counts.on_cores;
                assert_eq!(counted, harness.running.len());
                assert!(harness
                    .pools
                    .indices()
                    .all(|p| harness.pools.expected_slots(p).is_finite()
                        && harness.pools.expected_slots(p) > 0.0));
            }
            // Every queued request is served in the end.
            let unfinished = |harness: &PoolsHarness| {
                harness.queued.iter().map(Vec::len).sum::<usize>()
                    + harness.running.len()
                    + harness.at_calls.len()
            };
            let mut rounds = 0;
            while unfinished(&harness) > 0 {
                harness.advance(length / 2.0 + 0.1);
                harness.settle(length);
                rounds += 1;
                assert!(rounds < 4000, "a request is never served");
            }
            let counts = harness
                .pools
                .class_counts
                .iter()
                .chain(&harness.pools.pool_counts)
                .chain([&harness.pools.total_counts]);
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
            let mut harness = PoolsHarness::new(plan, n);
            // Random history: some pools wanted slots, others lent theirs.
            for (wanting, for_s) in before {
                let classes: Vec<usize> = (0..n).filter(|c| wanting[*c]).collect();
                harness.saturate(&classes, for_s * length, length);
            }
            let all: Vec<usize> = (0..n).collect();
            let used_before = harness.used_slot_s.clone();
            harness.saturate(&all, 10.0 * length, length);
            for (pool, before) in used_before.iter().enumerate() {
                let got = (harness.used_slot_s[pool] - before) / (10.0 * length);
                // A saturated pool gets its guarantee and its reserve, less a tolerance of 0.15 slots: slots and runs are
                // indivisible, which can cost one run on one slot in ten run lengths. A ceiling below one slot counts as
                // one.
                let entitled = harness.pools.guarantee(pool) + harness.pools.reserved_slots(pool) as f64;
                assert!(
                    got >= entitled - 0.15,
                    "pool {pool} got {got:.3} of {entitled:.3} slots: {:?}",
                    harness.pools.plan
                );
            }
            Ok(())
        })
        .unwrap();
}
