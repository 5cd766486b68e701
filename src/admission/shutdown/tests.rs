use super::*;

/// A shutdown with a notice that was received one second ago, a stop in three seconds and a grace of two seconds.
fn announced() -> Shutdown {
    let mut shutdown = Shutdown::new(2.0);
    shutdown.announce(10.0, 1.0, 3.0);
    shutdown
}

#[test]
fn without_a_notice_nothing_is_too_late() {
    let shutdown = Shutdown::new(2.0);
    assert!(!shutdown.is_announced());
    assert!(!shutdown.is_too_late_to_start(1e9, 1e9));
    assert!(!shutdown.ends_too_late(1e9));
    assert_eq!(shutdown.answer_by(), None);
}

#[test]
fn arrival_after_the_grace_is_too_late_to_start() {
    let shutdown = announced();
    assert!(!shutdown.is_too_late_to_start(10.9, 11.0));
    assert!(shutdown.is_too_late_to_start(11.0, 11.0));
}

#[test]
fn nothing_starts_or_ends_within_the_margin_before_the_stop() {
    let shutdown = announced();
    assert_eq!(shutdown.answer_by(), Some(12.75));
    assert!(shutdown.is_too_late_to_start(10.0, 12.75));
    assert!(shutdown.ends_too_late(12.8));
    assert!(!shutdown.ends_too_late(12.7));
}
