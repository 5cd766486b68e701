use super::*;
use crate::fleet::overload::level::SheddingLevel;
use crate::interface::Dependency;

fn settings(share: f64) -> Settings {
    Settings { dependency: Some(Dependency { share, ..Dependency::default() }), ..Settings::default() }
}

fn digest() -> FleetDigest {
    FleetDigest { of: 9, pass: 1.0, part: 1.0, spread_s: 4.0, ..FleetDigest::default() }
}

/// A worker at 10 s with this advice, good until 12 s, and its slice until 11 s.
fn advised(digest: FleetDigest, lent: f64) -> OverloadPolicy {
    let mut local = OverloadPolicy::new(0.0, &settings(4.0));
    local.bound_calls(10.0, 0, &mut 4.0, &mut 2.0);
    local.advise(OverloadDirective { digest, until: 12.0, slice_until: 11.0, lent });
    local
}

/// The share of a thousand requests that is shed.
fn shed(local: &OverloadPolicy, tier: usize, free: bool) -> f64 {
    (0..1000).filter(|_| local.sheds(tier, free)).count() as f64 / 1000.0
}

/// The share of a thousand tries that is beyond the budget.
fn over(local: &mut OverloadPolicy, further: bool) -> f64 {
    (0..1000).filter(|_| local.arrived(0, further)).count() as f64 / 1000.0
}

#[test]
fn the_level_sheds_by_tier_and_share_and_never_what_could_start_at_once() {
    let local = advised(FleetDigest { level: SheddingLevel { tier: 1, share: 0.25 }, ..digest() }, 0.0);
    assert_eq!([0, 2, 7, 99].map(|tier| shed(&local, tier, false)), [0.0, 1.0, 1.0, 1.0]);
    assert!((shed(&local, 1, false) - 0.75).abs() < 0.05);
    assert_eq!(shed(&local, 2, true), 0.0);
    assert_eq!(local.fleet_full(), Some(true));
}

#[test]
fn further_tries_beyond_the_budget_are_shed_and_first_ones_are_not() {
    let mut local = advised(FleetDigest { pass: 0.2, ..digest() }, 0.0);
    assert!((over(&mut local, true) - 0.8).abs() < 0.05);
    assert_eq!(over(&mut local, false), 0.0);
    let mut calm = advised(digest(), 0.0);
    assert_eq!(over(&mut calm, true), 0.0, "a fleet that is short of nothing takes them all");
}

#[test]
fn advice_that_is_old_or_speaks_for_nobody_changes_nothing() {
    let level = SheddingLevel { tier: 0, share: 0.0 };
    let mut local =
        advised(FleetDigest { level, pass: 0.0, part: 0.25, given_up: true, slice: 8.0, ..digest() }, 1.0);
    let (mut top, mut room) = (4.0, 2.0);
    local.bound_calls(12.0, 0, &mut top, &mut room);
    assert_eq!(
        (shed(&local, 5, false) + over(&mut local, true), local.fleet_full(), local.stay_away_s(5, 0.3)),
        (0.0, None, 0.3)
    );
    assert!(local.may_call(false) && !local.gives_up_call(false));
    assert_eq!((top, room), (3.0, 2.0), "a promise outlasts the view");
    assert_eq!(advised(FleetDigest { of: 1, level, ..digest() }, 0.0).fleet_full(), None);
}

#[test]
fn calls_in_hand_follow_part_loan_and_slice() {
    for (lent, slice, part, now, top) in [
        (0.0, 0.0, 1.0, 10.5, 4.0),
        (2.0, 0.0, 1.0, 10.5, 2.0),
        (0.0, 6.0, 1.0, 10.5, 10.0),
        (0.0, 6.0, 1.0, 11.0, 4.0),
        (0.0, 6.0, 0.25, 10.5, 2.5),
        (2.0, 0.0, 0.25, 10.5, 1.0),
    ] {
        let mut local = advised(FleetDigest { slice, part, ..digest() }, lent);
        let (mut seen, mut room) = (4.0, 2.0);
        local.bound_calls(now, 0, &mut seen, &mut room);
        assert_eq!((seen, room), (top, f64::min(top, 2.0)), "{lent} {slice} {part} {now}");
    }
}

#[test]
fn a_service_that_is_given_up_is_called_by_whoever_tries_it_safely_and_twice_a_second() {
    let down = FleetDigest { given_up: true, ..digest() };
    let other = advised(down.clone(), 0.0);
    assert!(other.gives_up_call(true) && !other.may_call(true));
    let mut tries = advised(FleetDigest { trial: true, ..down }, 0.0);
    assert!(tries.gives_up_call(false) && !tries.gives_up_call(true));
    let mut made = 0;
    for n in 0..100 {
        tries.bound_calls(10.0 + f64::from(n) * 0.01, 0, &mut 4.0, &mut 2.0);
        if tries.may_call(true) {
            tries.called();
            made += 1;
        }
    }
    assert_eq!(made, 2);
}

#[test]
fn returns_are_spread_by_rank_where_the_fleet_has_no_room() {
    let local = advised(FleetDigest { level: SheddingLevel { tier: 1, share: 0.0 }, ..digest() }, 0.0);
    let mean = |tier| (0..1000).map(|_| local.stay_away_s(tier, 0.1)).sum::<f64>() / 1000.0;
    assert!((mean(1) - 4.0).abs() < 0.2 && (mean(3) - 6.0).abs() < 0.3, "{} {}", mean(1), mean(3));
    assert_eq!(advised(digest(), 0.0).stay_away_s(1, 0.1), 0.1, "another worker has room");
}

#[test]
fn what_is_reported_are_rates_since_the_last_report_and_what_was_lately_not_needed() {
    let mut local = OverloadPolicy::new(0.0, &settings(8.0));
    assert!((0..10).all(|_| !local.arrived(1, false)));
    local.arrived(0, true);
    local.call_ended(true, 0.02);
    local.call_ended(true, 0.04);
    local.call_ended(false, 0.0);
    local.stands(50.0, std::iter::empty());
    let n = local.numbers(0.5, 40, 6);
    assert_eq!((n.arrivals.clone(), n.further, n.calls_good, n.calls_bad), (vec![0.0, 20.0], 2.0, 4.0, 2.0));
    assert_eq!((n.capacity, n.refused), (80.0, 12.0), "it has done more than it thought");
    assert!((n.call_s - 0.03).abs() < 1e-9 && n.spare == 0.0, "its part may have been in hand: {n:?}");
    assert_eq!(local.numbers(1.0, 40, 6).arrivals, Vec::<f64>::new());
    local.bound_calls(60.0, 1, &mut 8.0, &mut 4.0);
    assert_eq!(local.numbers(60.0, 40, 6).spare, 8.0 - 1.0 - 2.0);
    local.stands(50.0, [(2, &5.0), (1, &2.0)].into_iter());
    let n = local.numbers(61.0, 40, 6);
    assert_eq!((n.spare, n.wants, n.weight), (0.0, 3.0, 4.0));
}
