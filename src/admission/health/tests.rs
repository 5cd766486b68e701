use super::*;

/// A monitor that has just recorded this many failed runs.
fn with_failed_runs(failed: usize) -> HealthMonitor {
    let mut health = HealthMonitor::new(0.0);
    for _ in 0..failed {
        health.run_ended(0.0, true);
    }
    health
}

/// A monitor of a worker that reads requests ten objectives late.
fn with_read_lag() -> HealthMonitor {
    let mut health = HealthMonitor::new(0.0);
    for _ in 0..10 {
        health.record_read(10.0, 1.0);
    }
    health
}

#[test]
fn failing_runs_are_reported_once_and_recovery_takes_three_successes() {
    assert_eq!(with_failed_runs(2).take_change(), None);
    let mut health = with_failed_runs(3);
    assert_eq!(health.take_change(), Some(HealthState::Unhealthy(UnhealthyCause::FailingRuns)));
    assert_eq!(health.take_change(), None);
    // The failures have decayed, but two successes are not enough.
    health.advance(10.0, 0);
    health.run_ended(10.0, false);
    health.run_ended(10.0, false);
    assert_eq!(health.take_change(), None);
    health.run_ended(10.0, false);
    assert_eq!(health.take_change(), Some(HealthState::Healthy));
}

#[test]
fn runs_without_an_end_are_stalled_once_twenty_mean_runs_have_passed() {
    let mut health = HealthMonitor::new(0.0);
    health.advance(1.9, 1);
    health.check_stalled(1.9, 0.1);
    assert!(!health.has_run_fault());
    health.advance(0.2, 1);
    health.check_stalled(2.1, 0.1);
    assert_eq!(health.take_change(), Some(HealthState::Unhealthy(UnhealthyCause::StalledRuns)));
}

#[test]
fn worker_with_failing_runs_is_unavailable_until_an_idle_period_has_passed() {
    let mut health = with_failed_runs(3);
    assert_eq!(health.update_availability(0.0, 0, false), Some(false));
    assert_eq!(health.update_availability(1.9, 0, false), None);
    // A run on the cores already serves as a probe.
    assert_eq!(health.update_availability(2.1, 1, false), None);
    assert_eq!(health.update_availability(2.1, 0, false), Some(true));
}

#[test]
fn worker_with_read_lag_is_unavailable_unless_the_fleet_is_full() {
    let mut health = with_read_lag();
    assert_eq!(health.update_availability(0.0, 0, true), None);
    assert_eq!(health.update_availability(0.0, 0, false), Some(false));
    // An unavailable worker stays unavailable while the fleet is full, until the read lag has ended.
    assert_eq!(health.update_availability(0.0, 0, true), None);
    health.record_free_core();
    assert_eq!(health.update_availability(0.0, 0, true), Some(true));
}

#[test]
fn failing_runs_are_the_reported_cause_when_reads_lag_too() {
    let mut health = with_read_lag();
    for _ in 0..3 {
        health.run_ended(0.0, true);
    }
    assert_eq!(health.take_change(), Some(HealthState::Unhealthy(UnhealthyCause::FailingRuns)));
    // With both causes, an idle period is not enough for a probe while other workers have capacity.
    assert_eq!(health.update_availability(3.0, 0, false), Some(false));
    assert_eq!(health.update_availability(3.0, 0, true), Some(true));
}

#[test]
fn probes_are_half_a_second_apart() {
    let mut health = with_failed_runs(3);
    assert!(health.is_probe_due(0.0));
    health.probe_admitted(0.0);
    assert!(!health.is_probe_due(0.49));
    assert!(health.is_probe_due(0.5));
}
