//! Memory, and resources shared with another process.

use crate::harness::{rejected, settings, settings_with_calls, started_requests, Harness};
use port_worker::{Action, Event, RequestId, Settings};

#[test]
fn memory_pressure_evicts_the_lowest_tier_and_the_newest_first() {
    let mut worker = Harness::new(Settings { memory_kb: 150.0, ..settings() });
    let mut actions = Vec::new();
    for id in 1..=3 {
        actions.extend(worker.arrive(id, 1));
    }
    for id in 4..=6 {
        actions.extend(worker.arrive(id, 0));
    }
    let evicted: Vec<u64> = (1..=6).filter(|&id| rejected(&actions, id)).collect();
    assert!(evicted.contains(&6) && !evicted.contains(&1) && !evicted.contains(&2), "{evicted:?}");
    assert!(!actions.contains(&Action::ReleaseKey(RequestId(1))));
}

/// Resources used by another process of the same worker count against its runs, its memory and its share of calls.
#[test]
fn resources_used_by_another_process_are_not_used_twice() {
    let other_process = |on_cores, calling, kb| Event::OtherProcess { on_cores, calling, memory_kb: kb };
    let mut worker = Harness::new(settings());
    worker.handle(other_process(2, 0, 0.0));
    assert!(started_requests(&worker.arrive(1, 0)).is_empty());
    assert_eq!(started_requests(&worker.handle(other_process(1, 0, 0.0))), [1]);
    let mut worker = Harness::new(settings());
    worker.handle(other_process(0, 0, 99_000.0));
    assert!(matches!(worker.arrive(1, 0)[..], [Action::Reject { .. }]));
    worker.handle(other_process(0, 0, 0.0));
    assert_eq!(started_requests(&worker.arrive(2, 0)), [2]);
    let mut worker = Harness::new(settings_with_calls(4.0));
    worker.handle(other_process(0, 4, 0.0));
    worker.arrive(1, 0);
    let makes_call = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Call { .. }));
    assert!(!makes_call(&worker.handle(Event::CallRequested(RequestId(1)))));
    assert!(makes_call(&worker.handle(other_process(0, 0, 0.0))));
}
