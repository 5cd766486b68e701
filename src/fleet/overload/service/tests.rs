use super::*;

fn sums(good: f64, bad: f64, call_ms: f64) -> Sums {
    Sums { of: 4, calls_good: good, calls_bad: bad, call_s: call_ms / 1000.0, ..Sums::default() }
}

/// Looks twice a second for so long; the part at each look.
fn look(service: &mut Service, from: f64, for_s: f64, zone: &str, sums: &Sums) -> Vec<f64> {
    let times = (0..).map(|n| from + 0.5 * n as f64).take_while(|t| *t < from + for_s);
    times
        .map(|now| {
            service.look(now, zone, sums);
            service.standing(0, zone).part
        })
        .collect()
}

#[test]
fn a_service_that_slows_gets_a_quarter_within_three_seconds_and_all_back_in_steps() {
    let mut service = Service::lead(0.0);
    assert_eq!(look(&mut service, 0.0, 5.0, "z", &sums(100.0, 0.0, 10.0)).pop(), Some(1.0));
    let falls = look(&mut service, 5.0, 3.0, "z", &sums(100.0, 0.0, 100.0));
    assert!(falls[0] < 1.0 && falls.windows(2).all(|w| w[1] <= w[0]), "{falls:?}");
    assert_eq!(falls.last(), Some(&PART_LEAST));
    let rises = look(&mut service, 8.0, 5.0, "z", &sums(100.0, 0.0, 10.0));
    assert!(rises.windows(2).all(|w| w[1] - w[0] <= STEP + 1e-9), "{rises:?}");
    assert_eq!(rises.last(), Some(&1.0));
}

#[test]
fn a_zone_that_sees_it_down_gives_it_up_alone_and_one_tries_it_for_the_zone() {
    let mut service = Service::lead(0.0);
    for worker in [3, 4, 5] {
        service.heard(3.0, worker, "east", false);
    }
    look(&mut service, 3.0, 1.0, "east", &sums(1.0, 20.0, 10.0));
    look(&mut service, 3.0, 1.0, "west", &sums(20.0, 1.0, 10.0));
    let of = |service: &Service, zone: &str| [3, 4, 5].map(|w| service.standing(w, zone).trial);
    assert!(service.standing(3, "east").given_up && !service.standing(3, "west").given_up);
    assert_eq!(of(&service, "east"), [true, false, false]);
    // It falls silent: another is named when it can't go by its digest any more.
    service.heard(3.0 + VIEW_S, 4, "east", true);
    assert_eq!(of(&service, "east"), [true, false, false]);
    service.heard(3.0 + TRIAL_S, 4, "east", true);
    assert_eq!(of(&service, "east"), [false, true, false]);
}

#[test]
fn a_trial_that_succeeds_by_luck_opens_nothing_and_three_open_the_least_part() {
    let mut service = Service::lead(0.0);
    look(&mut service, 3.0, 1.0, "z", &sums(0.0, 20.0, 0.0));
    for (trial, given_up) in [
        (sums(2.0, 0.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), true),
        (sums(1.0, 1.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), true),
        // A look without a trial says nothing.
        (sums(0.0, 0.0, 0.0), true),
        (sums(2.0, 0.0, 10.0), true),
        (sums(2.0, 0.0, 10.0), false),
    ] {
        service.look(5.0, "z", &trial);
        assert_eq!(service.standing(1, "z").given_up, given_up, "{trial:?}");
    }
    assert_eq!(service.standing(1, "z").part, PART_LEAST);
}

#[test]
fn a_new_leader_takes_over_that_it_is_given_up_and_names_nobody_while_another_may_be_trying() {
    let mut service = Service::lead(100.0);
    service.heard(100.5, 7, "z", true);
    assert_eq!(service.standing(7, "z"), ServiceState { part: PART_LEAST, given_up: true, trial: false });
    service.heard(100.0 + TRIAL_S, 8, "z", true);
    assert!(service.standing(8, "z").trial);
    // Later on it knows better than a worker with an old digest.
    let mut service = Service::lead(100.0);
    service.heard(110.0, 7, "z", true);
    assert!(!service.standing(7, "z").given_up);
    assert_eq!(service.zones().count(), 1);
    service.keep(&[]);
    assert_eq!(service.zones().count(), 0);
}
