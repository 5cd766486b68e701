use super::*;

const CORES: usize = 4;
const QUEUED: SlotDemand = SlotDemand { running: CORES, has_queued: true };
const SURVIVABLE: usize = 100;

fn gauges(cores_busy: f64, runnable: f64) -> Gauges {
    Gauges { cores_busy: Some(cores_busy), runnable: Some(runnable), connections: None }
}

fn reviewed(gauges: &Gauges, demand: SlotDemand, healthy: bool) -> usize {
    let mut limit = RunLimit::new(CORES, 0.0);
    limit.review(0.5, gauges, demand, healthy, SURVIVABLE);
    limit.runs()
}

#[test]
fn limit_rises_by_one_while_a_core_is_idle_and_requests_want_slots() {
    assert_eq!(reviewed(&gauges(0.5, 3.0), QUEUED, true), CORES + 1);
}

#[test]
fn limit_stays_while_unhealthy_or_without_demand_or_with_all_cores_in_use() {
    assert_eq!(reviewed(&gauges(0.5, 3.0), QUEUED, false), CORES);
    assert_eq!(reviewed(&gauges(0.5, 3.0), SlotDemand { has_queued: false, ..QUEUED }, true), CORES);
    assert_eq!(reviewed(&gauges(0.5, 3.0), SlotDemand { running: 3, ..QUEUED }, true), CORES);
    assert_eq!(reviewed(&gauges(0.5, 4.0), QUEUED, true), CORES);
}

#[test]
fn limit_falls_while_cores_are_busy_until_completions_rise_and_never_below_the_cores() {
    let busy = gauges(1.0, 9.0);
    let mut limit = RunLimit::new(CORES, 0.0);
    limit.set(CORES + 2);
    limit.count_ended_run();
    limit.review(0.5, &busy, QUEUED, true, SURVIVABLE);
    assert_eq!(limit.runs(), CORES + 2);
    for _ in 0..5 {
        limit.review(1.0, &busy, QUEUED, true, SURVIVABLE);
    }
    assert_eq!(limit.runs(), CORES);
}

#[test]
fn limit_is_bounded_by_the_survivable_runs() {
    let mut limit = RunLimit::new(CORES, 0.0);
    limit.set(20);
    limit.review(0.5, &gauges(0.0, 0.0), QUEUED, true, 6);
    assert_eq!(limit.runs(), 6);
}
