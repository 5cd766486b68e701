#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::*;

fn sums(succeeded: f64, failed: f64, call_ms: f64) -> LoadSums {
    LoadSums {
        workers: 4,
        calls_succeeded: succeeded,
        calls_failed: failed,
        call_s: call_ms / 1000.0,
        ..LoadSums::default()
    }
}

/// Evaluates the sums twice per second for `for_s` seconds; returns the share of calls after each evaluation.
fn evaluate(service: &mut DownstreamService, from: f64, for_s: f64, zone: &str, sums: &LoadSums) -> Vec<f64> {
    let times = (0..).map(|n| from + 0.5 * f64::from(n)).take_while(|t| *t < from + for_s);
    times
        .map(|now| {
            service.evaluate(now, zone, sums);
            service.state_for(0, zone).call_share
        })
        .collect()
}

#[test]
fn the_call_share_of_an_overloaded_service_falls_to_a_quarter_within_three_seconds_and_recovers_in_steps() {
    let mut service = DownstreamService::new(0.0);
    assert_eq!(evaluate(&mut service, 0.0, 5.0, "z", &sums(100.0, 0.0, 10.0)).pop(), Some(1.0));
    let falling = evaluate(&mut service, 5.0, 3.0, "z", &sums(100.0, 0.0, 100.0));
    assert!(falling[0] < 1.0 && falling.windows(2).all(|w| w[1] <= w[0]), "{falling:?}");
    assert_eq!(falling.last(), Some(&MIN_CALL_SHARE));
    let recovering = evaluate(&mut service, 8.0, 5.0, "z", &sums(100.0, 0.0, 10.0));
    assert!(recovering.windows(2).all(|w| w[1] - w[0] <= RECOVERY_STEP + 1e-9), "{recovering:?}");
    assert_eq!(recovering.last(), Some(&1.0));
}

#[test]
fn each_zone_opens_its_circuit_independently_and_has_one_prober() {
    let mut service = DownstreamService::new(0.0);
    for worker in [3, 4, 5] {
        service.receive_report(3.0, worker, "east", false);
    }
    evaluate(&mut service, 3.0, 1.0, "east", &sums(1.0, 20.0, 10.0));
    evaluate(&mut service, 3.0, 1.0, "west", &sums(20.0, 1.0, 10.0));
    let probers =
        |service: &DownstreamService, zone: &str| [3, 4, 5].map(|w| service.state_for(w, zone).is_prober);
    assert!(service.state_for(3, "east").circuit_open && !service.state_for(3, "west").circuit_open);
    assert_eq!(probers(&service, "east"), [true, false, false]);
    // The prober stops reporting; another one is appointed once the prober's digest has expired.
    service.receive_report(3.0 + DIGEST_VALID_S, 4, "east", true);
    assert_eq!(probers(&service, "east"), [true, false, false]);
    service.receive_report(3.0 + PROBER_TIMEOUT_S, 4, "east", true);
    assert_eq!(probers(&service, "east"), [false, true, false]);
}

#[test]
fn the_circuit_closes_after_three_successful_probes_and_restores_the_minimum_share() {
    let mut service = DownstreamService::new(0.0);
    evaluate(&mut service, 3.0, 1.0, "z", &sums(0.0, 20.0, 0.0));
    for (probe, circuit_open) in [
        (sums(2.0, 0.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), true),
        (sums(1.0, 1.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), true),
        // An evaluation without a probe changes nothing.
        (sums(0.0, 0.0, 0.0), true),
        (sums(2.0, 0.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), false),
    ] {
        service.evaluate(5.0, "z", &probe);
        assert_eq!(service.state_for(1, "z").circuit_open, circuit_open, "{probe:?}");
    }
    assert_eq!(service.state_for(1, "z").call_share, MIN_CALL_SHARE);
}

#[test]
fn a_new_leader_adopts_an_open_circuit_and_appoints_no_prober_while_another_may_probe() {
    let mut service = DownstreamService::new(100.0);
    service.receive_report(100.5, 7, "z", true);
    assert_eq!(
        service.state_for(7, "z"),
        ServiceState { call_share: MIN_CALL_SHARE, circuit_open: true, is_prober: false }
    );
    service.receive_report(100.0 + PROBER_TIMEOUT_S, 8, "z", true);
    assert!(service.state_for(8, "z").is_prober);
    // Later in the term, a worker with an old digest does not open the circuit.
    let mut service = DownstreamService::new(100.0);
    service.receive_report(110.0, 7, "z", true);
    assert!(!service.state_for(7, "z").circuit_open);
    assert_eq!(service.zones().count(), 1);
    service.retain_zones(&[]);
    assert_eq!(service.zones().count(), 0);
}
