//! Fleet-wide overload control with real processes, checked by the service's own count of calls and the routers' counts of
//! responses.

use super::common::{is_exactly, FleetUnderTest};
use std::time::{Duration, Instant};
use testbed::fleet::routers::Routers;

/// Starts sending `per_s` requests of a class per second to the workers, to each in proportion to its weight.
fn send(fleet: &FleetUnderTest, class: &str, weights: [usize; 4], per_s: f64) -> Routers {
    let addresses: Vec<_> = fleet
        .rig
        .workers()
        .iter()
        .zip(weights)
        .filter_map(|(w, n)| Some((fleet.rig.listen_address(w)?, n)))
        .collect();
    Routers::start(&addresses, fleet.rig.class(class).unwrap(), per_s)
}

/// Waits until a metric has this value at every worker.
fn wait_all(fleet: &FleetUnderTest, metric: &str, expected: f64) {
    for name in fleet.rig.workers() {
        fleet.wait(&format!("{metric} is {expected} at {name}"), |_| {
            fleet
                .metric(&name, &format!("fleet.overload.{metric}"))
                .filter(|value| is_exactly(*value, expected))
        });
    }
}

fn calls_made(fleet: &FleetUnderTest) -> u64 {
    fleet.rig.service.as_ref().unwrap().counts().0
}

#[test]
fn unavailable_service_is_probed_by_one_worker_per_zone_and_reopens_when_back() {
    let fleet = FleetUnderTest::start_with_overload_control();
    let service = fleet.rig.service.clone().unwrap();
    let routers = send(&fleet, "eligibility", [1; 4], 120.0);
    fleet.wait("calls", |_| (calls_made(&fleet) > 50).then_some(()));
    service.set_down(true);
    wait_all(&fleet, "given_up", 1.0);
    fleet.wait("one probing worker per zone", |_| {
        let probing =
            fleet.rig.workers().iter().filter_map(|w| fleet.metric(w, "fleet.overload.trial")).sum::<f64>();
        is_exactly(probing, 2.0).then_some(())
    });
    let (before, start) = (calls_made(&fleet), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let (calls, elapsed_s) = (calls_made(&fleet) - before, start.elapsed().as_secs_f64());
    // At most two probes per second in each of the two zones, and one per zone that may have been due already.
    assert!(calls as f64 <= 2.0 * (2.0 * elapsed_s + 1.0), "{calls} probes of two zones in {elapsed_s:.1} s");
    fleet.wait("a probe", |_| (calls_made(&fleet) > before).then_some(()));
    service.set_down(false);
    wait_all(&fleet, "given_up", 0.0);
    wait_all(&fleet, "calls_part", 1.0);
    let counts = routers.end();
    assert!(counts.unanswered == 0 && counts.served > 100, "{counts:?}");
}

#[test]
fn leader_killed_while_the_service_is_down_keeps_calls_suspended() {
    let mut fleet = FleetUnderTest::start_with_overload_control();
    let service = fleet.rig.service.clone().unwrap();
    let routers = send(&fleet, "eligibility", [1; 4], 120.0);
    fleet.wait("calls", |_| (calls_made(&fleet) > 50).then_some(()));
    service.set_down(true);
    wait_all(&fleet, "given_up", 1.0);
    let leader = fleet.leader();
    fleet.rig.kill(&leader).unwrap();
    fleet.wait("another leader", |rig| {
        let names: Vec<String> = rig.coordinators().into_iter().filter(|c| *c != leader).collect();
        names.into_iter().find(|c| fleet.status(c).is_some_and(|s| s["leads"] == true))
    });
    wait_all(&fleet, "fresh", 1.0);
    wait_all(&fleet, "given_up", 1.0);
    service.set_down(false);
    wait_all(&fleet, "given_up", 0.0);
    let counts = routers.end();
    assert!(counts.unanswered == 0, "{counts:?}");
}

#[test]
fn busy_worker_uses_idle_workers_capacity_and_never_exceeds_the_total() {
    let mut fleet = FleetUnderTest::start_with_overload_control();
    let service = fleet.rig.service.clone().unwrap();
    // Calls take 100 ms, so four in flight are 40 per second; the first worker receives 90 requests per second.
    service.set_call_ms(100);
    let routers = send(&fleet, "eligibility", [9, 1, 1, 1], 120.0);
    fleet.wait("a slice", |_| fleet.metric("w1", "fleet.overload.calls_slice").filter(|slice| *slice >= 1.0));
    for name in ["w2", "w3", "w4"] {
        fleet.wait(&format!("a loan of {name}"), |_| {
            fleet.metric(name, "fleet.overload.calls_lent").filter(|lent| *lent > 0.0)
        });
    }
    // The borrower is suspended with its slice and resumed; the leader is killed while all slices are granted.
    fleet.rig.pause("w1").unwrap();
    std::thread::sleep(Duration::from_millis(1500));
    fleet.rig.resume("w1").unwrap();
    let leader = fleet.leader();
    fleet.rig.kill(&leader).unwrap();
    fleet.wait("a slice from the next leader", |_| {
        let led = fleet
            .rig
            .coordinators()
            .iter()
            .any(|c| *c != leader && fleet.status(c).is_some_and(|s| s["leads"] == true));
        let slice = fleet.metric("w1", "fleet.overload.calls_slice").filter(|slice| *slice >= 1.0);
        slice.filter(|_| led && fleet.metric("w1", "fleet.overload.fresh") == Some(1.0))
    });
    std::thread::sleep(Duration::from_secs(1));
    let counts = routers.end();
    let (_, peak) = service.counts();
    assert!(peak <= 16, "{peak} calls in flight, more than 16");
    assert!(counts.unanswered == 0 && counts.served > 50, "{counts:?}");
}
