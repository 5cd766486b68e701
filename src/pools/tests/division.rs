//! The division of slots among pools.

use super::harness::{plan, pool_spec, reserve, PoolsHarness, Run};
use crate::interface::PoolPlan;
use crate::pools::PoolStage;

#[test]
fn flooding_class_leaves_other_pools_their_guarantee() {
    let specs =
        vec![pool_spec("flood", 0.2, 1.0, 5.0), pool_spec("a", 0.4, 1.0, 1.0), pool_spec("b", 0.4, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 10, 10), 3);
    // While only the flooding class has requests, its pool gets all slots: the others lend it theirs.
    harness.saturate(&[0], 3.0, 0.5);
    assert_eq!(harness.on_cores(0), 10);
    // When the others want slots again, they have their guarantees within one run.
    harness.saturate(&[0, 1, 2], 0.55, 0.5);
    assert_eq!((harness.on_cores(1), harness.on_cores(2)), (4, 4));
    harness.saturate(&[0, 1, 2], 5.0, 0.5);
    assert!(
        harness.used_slot_s[1] >= 0.4 * 10.0 * 5.0 && harness.used_slot_s[2] >= 0.4 * 10.0 * 5.0,
        "{:?}",
        harness.used_slot_s
    );
}

#[test]
fn pool_with_credit_starts_beyond_its_guarantee() {
    // Long runs of one pool delay the slots of another pool's guarantee. The other pool later gets the slot seconds that it
    // missed in addition to its guarantee.
    let specs = vec![pool_spec("long", 0.5, 1.0, 1.0), pool_spec("lender", 0.5, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 4, 4), 2);
    harness.saturate(&[0], 0.5, 2.0);
    assert_eq!(harness.on_cores(0), 4);
    let wants_since = harness.now;
    // The lender wants its two slots for 1.5 s and gets none, so its credit grows by three slot seconds.
    harness.saturate(&[0, 1], 1.55, 2.0);
    assert!(harness.pools.state().pools[1].credit_slot_s > 2.0, "{:?}", harness.pools.state());
    assert!(harness.on_cores(1) >= 3, "expected a third slot by credit, got {} slots", harness.on_cores(1));
    harness.saturate(&[0, 1], 20.0 - (harness.now - wants_since), 2.0);
    assert!(harness.used_slot_s[1] >= 0.5 * 4.0 * 20.0 - 2.0, "{:?}", harness.used_slot_s);
}

#[test]
fn pools_with_fractions_of_a_slot_take_turns() {
    // Two pools share one slot on one core, and take turns three to one.
    let specs = vec![pool_spec("more", 0.75, 1.0, 1.0), pool_spec("less", 0.25, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 1, 1), 2);
    harness.saturate(&[0, 1], 40.0, 0.2);
    let share = harness.used_slot_s[1] / (harness.used_slot_s[0] + harness.used_slot_s[1]);
    assert!((share - 0.25).abs() < 0.03, "{share}");
}

#[test]
fn idle_reserve_starts_its_first_requests_immediately() {
    let specs = vec![pool_spec("cheap", 0.0, 1.0, 1.0), pool_spec("heavy", 1.0, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, Some(reserve(0, 2)), 6, 6), 2);
    harness.saturate(&[1], 60.0, 3.0);
    // Other pools never use more than four of the six slots.
    assert_eq!(harness.on_cores(1), 4);
    for _ in 0..5 {
        harness.arrive(0);
    }
    assert_eq!(harness.settle(0.1), vec![0, 0]);
    assert_eq!(harness.pools.state().idle_reserve_waits, 0);
}

#[test]
fn shrunk_limit_ends_no_run_and_leaves_the_reserve_usable() {
    let wide = plan(
        vec![pool_spec("cheap", 0.0, 1.0, 1.0), pool_spec("heavy", 0.5, 1.0, 1.0)],
        Some(reserve(0, 1)),
        10,
        10,
    );
    let mut harness = PoolsHarness::new(wide.clone(), 2);
    harness.saturate(&[1], 1.0, 5.0);
    assert_eq!(harness.on_cores(1), 9);
    harness.pools.apply_plan(PoolPlan { min_slots: 3, max_slots: 3, ..wide });
    assert_eq!((harness.settle(5.0).len(), harness.on_cores(1), harness.pools.limit()), (0, 9, 3));
    harness.arrive(0);
    assert_eq!(harness.settle(5.0), vec![0]);
    // No run of the other pool starts until the number of runs has fallen to the new limit.
    harness.saturate(&[1], 4.5, 5.0);
    assert_eq!(harness.on_cores(1), 2);
}

#[test]
fn pool_with_all_runs_at_calls_leaves_other_pools_their_survivable_runs() {
    let specs = vec![pool_spec("stuck", 0.3, 1.0, 1.0), pool_spec("other", 0.3, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 6, 6), 2);
    harness.survivable_runs = 20;
    // All runs of the first pool go to a downstream call and stay there: they occupy no slot, but would return.
    for _ in 0..100 {
        harness.arrive(0);
        harness.settle(10.0);
        for Run { class, .. } in std::mem::take(&mut harness.running) {
            harness.pools.record_transition(class, Some(PoolStage::OnCores), Some(PoolStage::AtCall));
            harness.at_calls.push(Run { ends_at: f64::INFINITY, class });
        }
    }
    assert_eq!(harness.at_calls.len(), 14);
    for _ in 0..6 {
        harness.arrive(1);
    }
    assert_eq!(harness.settle(10.0).len(), 6);
}

#[test]
fn highest_tier_starts_first_and_weights_divide_unclaimed_slots() {
    let specs = vec![pool_spec("top", 0.0, 1.0, 3.0), pool_spec("low", 0.0, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 8, 8), 2);
    harness.saturate(&[0, 1], 20.0, 0.3);
    let share = harness.used_slot_s[0] / (harness.used_slot_s[0] + harness.used_slot_s[1]);
    assert!((share - 0.75).abs() < 0.05, "{share}");
    // Both pools are below their share: the request of the higher tier starts first.
    let specs = vec![pool_spec("top", 0.5, 1.0, 1.0), pool_spec("low", 0.5, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs, None, 2, 2), 2);
    harness.arrive(1);
    harness.arrive(0);
    assert_eq!(harness.settle(1.0), vec![0, 1]);
}

#[test]
fn ceiling_holds_while_slots_are_idle_and_queue_at_capacity_is_full() {
    let mut harness = PoolsHarness::new(
        plan(vec![pool_spec("a", 0.1, 0.5, 1.0), pool_spec("b", 0.1, 1.0, 1.0)], None, 8, 8),
        2,
    );
    for _ in 0..60 {
        harness.arrive(0);
    }
    harness.settle(9.0);
    assert_eq!(harness.on_cores(0), 4);
    assert!(
        harness.pools.is_queue_full(0)
            && !harness.pools.is_queue_full(1)
            && harness.pools.starts_at_once(1)
            && !harness.pools.starts_at_once(0)
    );
}
