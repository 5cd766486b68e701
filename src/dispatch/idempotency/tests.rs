use super::*;

fn served(result: &[u8]) -> KeyProgress {
    KeyProgress::Served(Some(result.into()))
}

fn name(key: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: None, key: key.into() }
}

#[test]
fn a_try_is_linked_by_its_arrival_not_by_when_it_is_read() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&name("a"), RequestId(1), 0, 10.0);
    keys.complete(&name("a"), RequestId(1), served(b"done"));
    keys.remove_expired(12.0);
    assert_eq!(keys.matching_attempt(&name("a"), 9.9).map(|l| l.holder), Some(RequestId(1)));
    assert_eq!(keys.matching_attempt(&name("a"), 10.1).map(|l| l.holder), None);
    keys.remove_expired(17.0);
    assert!(keys.is_empty());
}

#[test]
fn an_open_run_is_linked_beyond_its_time() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&name("a"), RequestId(1), 0, 10.0);
    keys.remove_expired(30.0);
    assert_eq!(keys.matching_attempt(&name("a"), 30.0).map(|l| l.holder), Some(RequestId(1)));
}

#[test]
fn results_beyond_the_room_go_oldest_first_and_their_links_stay() {
    let mut keys = IdempotencyTable::new(10, 9, 0.0);
    for (i, key) in ["a", "b"].iter().enumerate() {
        keys.retain(&name(key), RequestId(i as u64), 0, 10.0);
        keys.complete(&name(key), RequestId(i as u64), served(b"sevenby"));
    }
    assert_eq!(keys.matching_attempt(&name("a"), 1.0).map(|l| l.holder), Some(RequestId(0)));
    assert!(matches!(keys.get_mut(&name("a")).unwrap().progress, KeyProgress::Served(None)));
    assert!(matches!(keys.get_mut(&name("b")).unwrap().progress, KeyProgress::Served(Some(_))));
}

#[test]
fn a_key_is_only_known_within_its_class_and_tenant() {
    let mut keys = IdempotencyTable::new(10, 9, 0.0);
    keys.retain(&name("a"), RequestId(1), 0, 10.0);
    let other = IdempotencyKey { tenant: Some(2), ..name("a") };
    assert_eq!(keys.matching_attempt(&other, 1.0).map(|l| l.holder), None);
}

/// A try of the old window ran a second time, or was refused, because a later one was read before it.
#[test]
fn a_run_stands_for_its_window_while_another_holder_has_the_key_and_after_it() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&name("a"), RequestId(1), 5, 10.0);
    keys.complete(&name("a"), RequestId(1), served(b"done"));
    keys.retain(&name("a"), RequestId(2), 6, 21.0);
    let linked =
        |holder, body_fingerprint| Some(MatchedAttempt { holder: RequestId(holder), body_fingerprint });
    assert_eq!(keys.matching_attempt(&name("a"), 9.9), linked(1, 5));
    assert_eq!(keys.previous_progress(&name("a"), 9.9), Some(served(b"done")));
    assert_eq!(keys.matching_attempt(&name("a"), 10.1), linked(2, 6));
    assert_eq!(keys.previous_progress(&name("a"), 10.1), None);
    // The new one never runs.
    keys.release(&name("a"), RequestId(2));
    assert_eq!(
        (keys.matching_attempt(&name("a"), 9.9), keys.matching_attempt(&name("a"), 10.1)),
        (linked(1, 5), None)
    );
    // Another does, and the old one goes when nothing of its time can be read any more.
    keys.retain(&name("a"), RequestId(3), 7, 22.0);
    keys.complete(&name("a"), RequestId(3), served(b"anew"));
    assert_eq!(keys.result_bytes, 8);
    keys.remove_expired(16.1);
    assert_eq!((keys.result_bytes, keys.matching_attempt(&name("a"), 9.9)), (4, linked(3, 7)));
    keys.remove_expired(28.1);
    assert_eq!((keys.result_bytes, keys.is_empty()), (0, true));
}

#[test]
fn an_entry_is_kept_for_as_long_as_callers_wait() {
    let mut keys = IdempotencyTable::new(100, 9, 14.0);
    keys.retain(&name("a"), RequestId(1), 0, 1.0);
    keys.complete(&name("a"), RequestId(1), KeyProgress::Failed);
    keys.remove_expired(14.9);
    assert!(keys.matching_attempt(&name("a"), 0.9).is_some());
    keys.remove_expired(15.1);
    assert!(keys.is_empty());
}
