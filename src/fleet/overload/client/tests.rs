use super::*;

#[test]
fn a_view_counts_from_when_it_was_asked_for_and_a_slice_half_as_long() {
    let mut side = FleetOverloadClient::new(-10.0, 4.0, 0.1);
    side.report(1.0, 7, &LoadSample::default());
    let digest = FleetDigest { number: 1, of: 9, slice: 2.0, pass: 0.5, ..FleetDigest::default() };
    side.receive(7, &digest);
    let advice = side.directive(1.4);
    assert_eq!((advice.until, advice.digest.of, advice.digest.slice), (1.0 + VIEW_S * 0.9, 9, 2.0));
    assert!((advice.slice_until - 1.9).abs() < 1e-9, "{advice:?}");
    assert_eq!(side.directive(1.95).digest.slice, 0.0, "the slice is over, the view is not");
    // Nonsense, answers to nothing, and answers on the link before say nothing.
    side.report(2.0, 8, &LoadSample::default());
    side.receive(8, &FleetDigest { pass: f32::NAN, ..digest.clone() });
    side.receive(6, &digest);
    side.reconnected();
    side.receive(8, &digest);
    assert_eq!(side.directive(2.1).until, 1.0 + VIEW_S * 0.9);
}

#[test]
fn it_tells_that_it_has_given_the_service_up_only_while_it_goes_by_that() {
    let mut side = FleetOverloadClient::new(-10.0, 4.0, 0.1);
    let numbers = LoadSample { capacity: 123.4567, call_s: 0.012_345_6, spare: 3.0, ..LoadSample::default() };
    assert_eq!(side.report(1.0, 1, &numbers).lends, 0.0, "it has not been told how loans are counted");
    side.receive(1, &FleetDigest { number: 1, given_up: true, ..FleetDigest::default() });
    let load = side.report(2.0, 2, &numbers);
    assert!(load.gives_up && load.is_sound() && load.heard == 1, "{load:?}");
    assert_eq!((load.capacity, load.call_s, load.lends), (123.5, 0.01235, 1.0));
    assert!(!side.report(3.0, 3, &numbers).gives_up);
    assert_eq!(side.directive(3.0).lent, 1.0);
}
