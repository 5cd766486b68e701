//! Memory, and resources shared with another process.

use crate::harness::{rejected, settings, starts, with_calls, Harness};
use port_worker::{Action, Event, RequestId, Settings};

#[test]
fn memory_pressure_evicts_the_lowest_tier_and_the_newest_first() {
    let mut worker = Harness::new(Settings { memory_kb: 150.0, ..settings() });
    let mut out = Vec::new();
    for id in 1..=3 {
        out.extend(worker.arrive(id, 1));
    }
    for id in 4..=6 {
        out.extend(worker.arrive(id, 0));
    }
    let gone: Vec<u64> = (1..=6).filter(|&id| rejected(&out, id)).collect();
    assert!(gone.contains(&6) && !gone.contains(&1) && !gone.contains(&2), "{gone:?}");
    assert!(!out.contains(&Action::ReleaseKey(RequestId(1))));
}

/// What another process of the same worker uses counts against the runs, the memory and the share of calls.
#[test]
fn resources_used_by_another_process_are_not_used_twice() {
    let other_process = |on_cores, calling, kb| Event::OtherProcess { on_cores, calling, memory_kb: kb };
    let mut worker = Harness::new(settings());
    worker.handle(other_process(2, 0, 0.0));
    assert!(starts(&worker.arrive(1, 0)).is_empty());
    assert_eq!(starts(&worker.handle(other_process(1, 0, 0.0))), [1]);
    let mut worker = Harness::new(settings());
    worker.handle(other_process(0, 0, 99_000.0));
    assert!(matches!(worker.arrive(1, 0)[..], [Action::Reject { .. }]));
    worker.handle(other_process(0, 0, 0.0));
    assert_eq!(starts(&worker.arrive(2, 0)), [2]);
    let mut worker = Harness::new(with_calls(4.0));
    worker.handle(other_process(0, 4, 0.0));
    worker.arrive(1, 0);
    let made = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Call { .. }));
    assert!(!made(&worker.handle(Event::CallRequested(RequestId(1)))));
    assert!(made(&worker.handle(other_process(0, 0, 0.0))));
}
