use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn with_the_platforms_settings_the_grace_is_not_shortened() {
    let t = Timeline::new(10.0, 3.2, 2.5);
    assert_eq!((t.accept_until, t.kill_at), (12.5, 13.2));
    assert!(t.answer_by > t.accept_until + 0.4 && t.exit_by > t.answer_by && t.exit_by < t.kill_at);
}

#[test]
fn a_stop_shorter_than_the_margins_still_leaves_time_for_responses() {
    let t = Timeline::new(10.0, 0.1, 2.5);
    assert!(
        t.accept_until > 10.0 && t.answer_by >= t.accept_until && t.exit_by - t.answer_by >= 0.019,
        "{t:?}"
    );
}

/// Under any settings the listeners are closed by the end of the grace, and the steps follow in order.
#[test]
fn steps_are_ordered_for_every_stop_and_grace() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[8; 32]);
    let strategy = (0.0..1e6f64, 0.0..100.0f64, 0.0..100.0f64);
    let result = TestRunner::new_with_rng(config, rng).run(&strategy, |(noticed_at, stop_s, grace_s)| {
        let t = Timeline::new(noticed_at, stop_s, grace_s);
        let tolerance = 1e-6;
        prop_assert!(t.accept_until <= t.noticed_at + grace_s + tolerance);
        prop_assert!(t.noticed_at <= t.accept_until && t.accept_until <= t.answer_by + tolerance);
        prop_assert!(t.answer_by <= t.exit_by && t.exit_by <= t.kill_at);
        prop_assert!(t.kill_at <= t.noticed_at + stop_s + tolerance);
        Ok(())
    });
    result.unwrap();
}
