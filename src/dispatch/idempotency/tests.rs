use super::*;
use crate::interface::RequestId;

fn served(result: &[u8]) -> KeyProgress {
    KeyProgress::Served(Some(result.into()))
}

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: None, key: name.into() }
}

#[test]
fn an_attempt_is_matched_by_its_arrival_and_not_by_when_it_is_read() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), 0, 10.0);
    keys.complete(&key("a"), RequestId(1), served(b"done"));
    keys.remove_expired(12.0);
    assert_eq!(keys.matching_attempt(&key("a"), 9.9).map(|m| m.holder), Some(RequestId(1)));
    assert_eq!(keys.matching_attempt(&key("a"), 10.1).map(|m| m.holder), None);
    keys.remove_expired(17.0);
    assert!(keys.is_empty());
}

#[test]
fn an_open_run_is_matched_beyond_its_window() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), 0, 10.0);
    keys.remove_expired(30.0);
    assert_eq!(keys.matching_attempt(&key("a"), 30.0).map(|m| m.holder), Some(RequestId(1)));
}

#[test]
fn results_beyond_the_capacity_are_dropped_oldest_first_and_their_keys_stay() {
    let mut keys = IdempotencyTable::new(10, 9, 0.0);
    for (i, name) in ["a", "b"].iter().enumerate() {
        keys.retain(&key(name), RequestId(i as u64), 0, 10.0);
        keys.complete(&key(name), RequestId(i as u64), served(b"sevenby"));
    }
    assert_eq!(keys.matching_attempt(&key("a"), 1.0).map(|m| m.holder), Some(RequestId(0)));
    assert!(matches!(keys.get_mut(&key("a")).unwrap().progress, KeyProgress::Served(None)));
    assert!(matches!(keys.get_mut(&key("b")).unwrap().progress, KeyProgress::Served(Some(_))));
}

#[test]
fn a_key_is_only_known_within_its_class_and_tenant() {
    let mut keys = IdempotencyTable::new(10, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), 0, 10.0);
    let other = IdempotencyKey { tenant: Some(2), ..key("a") };
    assert_eq!(keys.matching_attempt(&other, 1.0).map(|m| m.holder), None);
}

/// Guards against an attempt of an old window that runs a second time or is rejected, because an attempt of a later
/// window was read before it.
#[test]
fn a_previous_run_is_matched_within_its_window_while_another_holder_has_the_key_and_after() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), 5, 10.0);
    keys.complete(&key("a"), RequestId(1), served(b"done"));
    keys.retain(&key("a"), RequestId(2), 6, 21.0);
    let matched =
        |holder, body_fingerprint| Some(MatchedAttempt { holder: RequestId(holder), body_fingerprint });
    assert_eq!(keys.matching_attempt(&key("a"), 9.9), matched(1, 5));
    assert_eq!(keys.previous_progress(&key("a"), 9.9), Some(served(b"done")));
    assert_eq!(keys.matching_attempt(&key("a"), 10.1), matched(2, 6));
    assert_eq!(keys.previous_progress(&key("a"), 10.1), None);
    // The new holder never runs.
    keys.release(&key("a"), RequestId(2));
    assert_eq!(
        (keys.matching_attempt(&key("a"), 9.9), keys.matching_attempt(&key("a"), 10.1)),
        (matched(1, 5), None)
    );
    // Another holder runs; the previous run is removed once no attempt of its window can be read any more.
    keys.retain(&key("a"), RequestId(3), 7, 22.0);
    keys.complete(&key("a"), RequestId(3), served(b"anew"));
    assert_eq!(keys.result_bytes, 8);
    keys.remove_expired(16.1);
    assert_eq!((keys.result_bytes, keys.matching_attempt(&key("a"), 9.9)), (4, matched(3, 7)));
    keys.remove_expired(28.1);
    assert_eq!((keys.result_bytes, keys.is_empty()), (0, true));
}

#[test]
fn an_entry_is_retained_for_as_long_as_callers_wait() {
    let mut keys = IdempotencyTable::new(100, 9, 14.0);
    keys.retain(&key("a"), RequestId(1), 0, 1.0);
    keys.complete(&key("a"), RequestId(1), KeyProgress::Failed);
    keys.remove_expired(14.9);
    assert!(keys.matching_attempt(&key("a"), 0.9).is_some());
    keys.remove_expired(15.1);
    assert!(keys.is_empty());
}
