//! The division of slots among pools, each hard case by itself.

use super::harness::{item, plan, reserved, PoolsHarness, Run};
use crate::interface::PoolPlan;
use crate::pools::Place;

#[test]
fn flooding_class_leaves_other_pools_their_guarantee() {
    let items = vec![item("flood", 0.2, 1.0, 5.0), item("a", 0.4, 1.0, 1.0), item("b", 0.4, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 10, 10), 3);
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
fn pool_with_credit_starts_beyond_its_guarantee() {
    // Long runs of one pool stand in the way of another's guarantee; what it missed comes back on top of it.
    let items = vec![item("long", 0.5, 1.0, 1.0), item("lender", 0.5, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 4, 4), 2);
    w.saturate(&[0], 0.5, 2.0);
    assert_eq!(w.on_cores(0), 4);
    let came_back = w.now;
    // It wants its two slots for 1.5 s and has none: its credit grows by three slot seconds.
    w.saturate(&[0, 1], 1.55, 2.0);
    assert!(w.pools.state().pools[1].credit_slot_s > 2.0, "{:?}", w.pools.state());
    assert!(w.on_cores(1) >= 3, "paid back beyond its two slots: {}", w.on_cores(1));
    w.saturate(&[0, 1], 20.0 - (w.now - came_back), 2.0);
    assert!(w.served[1] >= 0.5 * 4.0 * 20.0 - 2.0, "{:?}", w.served);
}

#[test]
fn pools_with_fractions_of_a_slot_take_turns() {
    // One slot on one core for two pools: they take turns, three to one.
    let items = vec![item("more", 0.75, 1.0, 1.0), item("less", 0.25, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 1, 1), 2);
    w.saturate(&[0, 1], 40.0, 0.2);
    let part = w.served[1] / (w.served[0] + w.served[1]);
    assert!((part - 0.25).abs() < 0.03, "{part}");
}

#[test]
fn idle_reserve_starts_its_first_requests_immediately() {
    let items = vec![item("cheap", 0.0, 1.0, 1.0), item("heavy", 1.0, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, Some(reserved(0, 2)), 6, 6), 2);
    w.saturate(&[1], 60.0, 3.0);
    // Four of six slots are all that anybody else ever had.
    assert_eq!(w.on_cores(1), 4);
    for _ in 0..5 {
        w.arrive(0);
    }
    assert_eq!(w.settle(0.1), vec![0, 0]);
    assert_eq!(w.pools.state().idle_reserve_waits, 0);
}

#[test]
fn shrunk_limit_ends_no_run_and_leaves_the_reserve_usable() {
    let wide =
        plan(vec![item("cheap", 0.0, 1.0, 1.0), item("heavy", 0.5, 1.0, 1.0)], Some(reserved(0, 1)), 10, 10);
    let mut w = PoolsHarness::new(wide.clone(), 2);
    w.saturate(&[1], 1.0, 5.0);
    assert_eq!(w.on_cores(1), 9);
    w.pools.apply_plan(PoolPlan { min_slots: 3, max_slots: 3, ..wide });
    assert_eq!((w.settle(5.0).len(), w.on_cores(1), w.pools.limit()), (0, 9, 3));
    w.arrive(0);
    assert_eq!(w.settle(5.0), vec![0]);
    // Until the others are down to the new limit nobody of them starts.
    w.saturate(&[1], 4.5, 5.0);
    assert_eq!(w.on_cores(1), 2);
}

#[test]
fn pool_with_all_runs_at_calls_leaves_other_pools_their_survivable_runs() {
    let items = vec![item("stuck", 0.3, 1.0, 1.0), item("other", 0.3, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 6, 6), 2);
    w.survivable_runs = 20;
    // All its runs go to a call and stay there: they hold no slot, but come back.
    for _ in 0..100 {
        w.arrive(0);
        w.settle(10.0);
        for Run { class, .. } in std::mem::take(&mut w.running) {
            w.pools.record_transition(class, Some(Place::OnCores), Some(Place::AtCall));
            w.at_calls.push(Run { ends_at: f64::INFINITY, class });
        }
    }
    assert_eq!(w.at_calls.len(), 14);
    for _ in 0..6 {
        w.arrive(1);
    }
    assert_eq!(w.settle(10.0).len(), 6);
}

#[test]
fn highest_tier_starts_first_and_weights_divide_unclaimed_slots() {
    let items = vec![item("top", 0.0, 1.0, 3.0), item("low", 0.0, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 8, 8), 2);
    w.saturate(&[0, 1], 20.0, 0.3);
    let part = w.served[0] / (w.served[0] + w.served[1]);
    assert!((part - 0.75).abs() < 0.05, "{part}");
    // With one slot to give and both under their part, the top tier's request is it.
    let items = vec![item("top", 0.5, 1.0, 1.0), item("low", 0.5, 1.0, 1.0)];
    let mut w = PoolsHarness::new(plan(items, None, 2, 2), 2);
    w.arrive(1);
    w.arrive(0);
    assert_eq!(w.settle(1.0), vec![0, 1]);
}

#[test]
fn ceiling_holds_while_slots_are_idle_and_queue_at_capacity_is_full() {
    let mut w =
        PoolsHarness::new(plan(vec![item("a", 0.1, 0.5, 1.0), item("b", 0.1, 1.0, 1.0)], None, 8, 8), 2);
    for _ in 0..60 {
        w.arrive(0);
    }
    w.settle(9.0);
    assert_eq!(w.on_cores(0), 4);
    assert!(
        w.pools.is_queue_full(0)
            && !w.pools.is_queue_full(1)
            && w.pools.starts_at_once(1)
            && !w.pools.starts_at_once(0)
    );
}
