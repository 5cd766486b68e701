use super::*;
use crate::ids::SessionId;

fn lease(token: u64, ttl_ms: u64, max_ttl_ms: u64) -> Lease {
    Lease { session: SessionId(1), token, granted_ms: 0, ttl_ms, max_ttl_ms }
}

#[test]
fn a_lease_expires_no_sooner_than_its_longest_ttl_after_any_possible_renewal() {
    let long = lease(7, 1000, 4000);
    let mut clock = LeaseClock::start_term(SafetyChecks::default(), 10.0, [&long].into_iter());
    assert!(
        !clock.start_release_if_expired(13.9, &long, 2.0),
        "an earlier leader may have renewed it just before this leader's term"
    );
    assert_eq!(clock.record_renewal(13.5, &long), 1000);
    assert!(!clock.start_release_if_expired(14.4, &long, 2.0));
    assert!(clock.start_release_if_expired(14.5, &long, 2.0));
    assert_eq!(clock.record_renewal(14.5, &long), 0, "a lease that is being released was renewed");
    assert!(!clock.start_release_if_expired(16.5, &long, 2.0), "its proposal is pending");
    assert!(clock.start_release_if_expired(16.6, &long, 2.0), "its proposal has timed out");
    clock.record_release(7);
    assert_eq!((clock.remaining_s(16.6, 7), clock.is_releasing(7)), (0.0, false));
    // A lease that was never recorded has its full TTL from when it is first seen.
    let unknown = lease(8, 1000, 1000);
    assert!(
        !clock.start_release_if_expired(20.0, &unknown, 2.0)
            && clock.start_release_if_expired(21.0, &unknown, 2.0)
    );
}

#[test]
fn a_confirmation_answers_only_requests_received_before_its_batch() {
    let mut queue = ReadIndexQueue::new(5, 2.0);
    assert_eq!(queue.start_batch(0.0), None);
    queue.push('a');
    assert_eq!(queue.start_batch(0.0), Some(5));
    queue.push('b');
    assert_eq!(queue.start_batch(1.0), None, "a batch is in progress");
    assert_eq!(queue.confirm(4), Vec::<char>::new());
    assert_eq!(queue.start_batch(2.5), Some(6), "the confirmation has timed out");
    queue.push('c');
    assert_eq!(queue.confirm(6), vec!['a', 'b'], "a later confirmation answers earlier batches too");
    assert_eq!((queue.start_batch(2.6), queue.confirm(7), queue.next_number()), (Some(7), vec!['c'], 8));
}
