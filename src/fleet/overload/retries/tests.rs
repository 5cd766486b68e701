use super::*;
use crate::fleet::overload::MAX_TIERS;

fn sums(first: f64, further: f64) -> Sums {
    let mut arrivals = [0.0; MAX_TIERS];
    arrivals[0] = first;
    Sums { of: 10, arrivals, further, ..Sums::default() }
}

/// Looks twice a second for ten seconds; further tries that were taken in them.
fn taken(retries: &mut Retries, from: f64, sums: &Sums, short: bool) -> f64 {
    let mut taken = 0.0;
    for n in 1..=20 {
        retries.look(from + f64::from(n) * 0.5, sums, short);
        taken += retries.pass() * sums.further * 0.5;
    }
    taken
}

#[test]
fn a_storm_gets_its_share_and_what_was_saved_up_and_no_more() {
    for (first, further) in [(100.0, 20.0), (100.0, 300.0), (10.0, 3000.0)] {
        let mut retries = Retries::new(0.0, 0.1);
        // Calm saves up two seconds of the share.
        taken(&mut retries, 0.0, &sums(first, 0.0), false);
        let got = taken(&mut retries, 10.0, &sums(first, further), true);
        let most = 0.1 * first * (10.0 + BURST_S) + 1e-6;
        assert!(got <= most && got >= most * 0.8, "{first}, {further}: {got} of {most}");
    }
}

#[test]
fn a_fleet_with_room_takes_them_all_and_no_first_tries_mean_none() {
    let mut retries = Retries::new(0.0, 0.1);
    assert_eq!(taken(&mut retries, 0.0, &sums(10.0, 50.0), false), 500.0);
    assert_eq!(taken(&mut retries, 10.0, &sums(0.0, 50.0), true), 0.0);
    assert_eq!(taken(&mut retries, 20.0, &sums(0.0, 0.0), true), 0.0);
}
