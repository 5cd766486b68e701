use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn with_the_platforms_figures_the_grace_is_kept_whole() {
    let t = Timeline::new(10.0, 3.2, 2.5);
    assert_eq!((t.accept_until, t.kill_at), (12.5, 13.2));
    assert!(t.answer_by > t.accept_until + 0.4 && t.exit_by > t.answer_by && t.exit_by < t.kill_at);
}

#[test]
fn a_stop_shorter_than_the_margins_still_leaves_time_for_answers() {
    let t = Timeline::new(10.0, 0.1, 2.5);
    assert!(
        t.accept_until > 10.0 && t.answer_by >= t.accept_until && t.exit_by - t.answer_by >= 0.019,
        "{t:?}"
    );
}

/// Under any customer's settings nothing is admitted after the grace, and each step comes before the next.
#[test]
fn the_order_holds_for_every_stop_and_grace() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let dice = TestRng::from_seed(RngAlgorithm::ChaCha, &[8; 32]);
    let drawn = (0.0..1e6f64, 0.0..100.0f64, 0.0..100.0f64);
    let ran = TestRunner::new_with_rng(config, dice).run(&drawn, |(notice, stop_s, grace_s)| {
        let t = Timeline::new(notice, stop_s, grace_s);
        let tiny = 1e-6;
        prop_assert!(t.accept_until <= t.notice + grace_s + tiny);
        prop_assert!(t.notice <= t.accept_until && t.accept_until <= t.answer_by + tiny);
        prop_assert!(t.answer_by <= t.exit_by && t.exit_by <= t.kill_at);
        prop_assert!(t.kill_at <= t.notice + stop_s + tiny);
        Ok(())
    });
    ran.unwrap();
}
