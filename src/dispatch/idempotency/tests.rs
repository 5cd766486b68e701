use super::*;
use crate::interface::RequestId;

fn served(result: &[u8]) -> KeyProgress {
    KeyProgress::Served(Some(result.into()))
}

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: None, key: name.into() }
}

/// The identity of the first attempt of a request with this body.
fn first_attempt(body: u64) -> AttemptIdentity {
    AttemptIdentity { fingerprints: RequestFingerprints { body, principal: None }, may_be_retry: false }
}

/// The first attempt of a request with this body.
fn attempt(key: &IdempotencyKey, body: u64, arrived: f64) -> KeyedAttempt {
    KeyedAttempt { key: key.clone(), tenant_is_known: true, identity: first_attempt(body), arrived }
}

/// The holder of the run that an attempt shares.
fn matched_holder(keys: &IdempotencyTable, attempt: &KeyedAttempt) -> Option<RequestId> {
    keys.match_attempt(attempt).request().map(|request| request.holder)
}

/// The holder of the run that an attempt with key "a" and body 0 shares.
fn holder_of_a(keys: &IdempotencyTable, arrived: f64) -> Option<RequestId> {
    matched_holder(keys, &attempt(&key("a"), 0, arrived))
}

#[test]
fn an_attempt_is_matched_by_its_arrival_and_not_by_when_it_is_read() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), first_attempt(0), 10.0);
    keys.complete(&key("a"), RequestId(1), served(b"done"));
    keys.remove_expired(12.0);
    assert_eq!(holder_of_a(&keys, 9.9), Some(RequestId(1)));
    assert_eq!(holder_of_a(&keys, 10.1), None);
    keys.remove_expired(17.0);
    assert!(keys.is_empty());
}

#[test]
fn an_open_run_is_matched_beyond_its_window() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), first_attempt(0), 10.0);
    keys.remove_expired(30.0);
    assert_eq!(holder_of_a(&keys, 30.0), Some(RequestId(1)));
}

#[test]
fn results_beyond_the_capacity_are_dropped_oldest_first_and_their_keys_stay() {
    let mut keys = IdempotencyTable::new(10, 9, 0.0);
    for (i, name) in ["a", "b"].iter().enumerate() {
        keys.retain(&key(name), RequestId(i as u64), first_attempt(0), 10.0);
        keys.complete(&key(name), RequestId(i as u64), served(b"sevenby"));
    }
    assert_eq!(holder_of_a(&keys, 1.0), Some(RequestId(0)));
    assert!(matches!(keys.get_mut(&key("a")).unwrap().progress, KeyProgress::Served(None)));
    assert!(matches!(keys.get_mut(&key("b")).unwrap().progress, KeyProgress::Served(Some(_))));
}

const FIRST_TENANT: Option<usize> = Some(1);
const SECOND_TENANT: Option<usize> = Some(2);
const PRINCIPAL: Option<u64> = Some(17);

/// A table with a request of the first tenant, with body 5 and of a known principal.
fn table_with_request_of_first_tenant() -> IdempotencyTable {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    let holder_key = IdempotencyKey { tenant: FIRST_TENANT, ..key("a") };
    let fingerprints = RequestFingerprints { body: 5, principal: PRINCIPAL };
    let request = AttemptIdentity { fingerprints, may_be_retry: false };
    keys.retain(&holder_key, RequestId(1), request, 10.0);
    keys
}

fn retry_of_tenant(tenant: Option<usize>, principal: Option<u64>, body: u64) -> KeyedAttempt {
    KeyedAttempt {
        key: IdempotencyKey { tenant, ..key("a") },
        tenant_is_known: true,
        identity: AttemptIdentity {
            fingerprints: RequestFingerprints { body, principal },
            may_be_retry: true,
        },
        arrived: 1.0,
    }
}

#[test]
fn a_key_is_only_known_within_its_class() {
    let keys = table_with_request_of_first_tenant();
    let mut attempt = retry_of_tenant(FIRST_TENANT, PRINCIPAL, 5);
    assert_eq!(matched_holder(&keys, &attempt), Some(RequestId(1)));
    attempt.key.class = 1;
    assert_eq!(keys.match_attempt(&attempt), KeyMatch::New);
}

/// Guards against a second run of an order whose sender was assigned to another tenant between its attempts.
#[test]
fn a_retry_of_another_tenant_with_the_same_body_is_known_by_its_principal_and_otherwise_ambiguous() {
    let keys = table_with_request_of_first_tenant();
    let of_principal = keys.match_attempt(&retry_of_tenant(SECOND_TENANT, PRINCIPAL, 5));
    assert!(matches!(of_principal, KeyMatch::OfPrincipal(_)), "{of_principal:?}");
    // The entry stays that of the first tenant, so the retry must be known under that tenant's key.
    let request = of_principal.request().unwrap();
    assert_eq!((request.holder, request.key.tenant), (RequestId(1), FIRST_TENANT));
    for principal in [None, Some(18)] {
        let other = retry_of_tenant(SECOND_TENANT, principal, 5);
        assert_eq!(keys.match_attempt(&other), KeyMatch::Ambiguous);
        let identity = AttemptIdentity { may_be_retry: false, ..other.identity };
        let first_attempt = KeyedAttempt { identity, ..other };
        assert_eq!(keys.match_attempt(&first_attempt), KeyMatch::New);
    }
}

/// Guards against a tenant that blocks another's key by sending it first.
#[test]
fn another_body_under_a_known_key_is_new_for_another_tenant_and_conflicts_for_the_same_tenant_or_principal() {
    let keys = table_with_request_of_first_tenant();
    let matched = |tenant, principal| keys.match_attempt(&retry_of_tenant(tenant, principal, 6));
    assert_eq!(matched(SECOND_TENANT, None), KeyMatch::New);
    assert_eq!(matched(SECOND_TENANT, Some(18)), KeyMatch::New);
    assert_eq!(matched(SECOND_TENANT, PRINCIPAL), KeyMatch::Conflict);
    assert_eq!(matched(FIRST_TENANT, None), KeyMatch::Conflict);
}

/// Guards against the entry of one tenant hiding or removing that of another with the same key.
#[test]
fn entries_of_two_tenants_for_one_key_are_independent() {
    let mut keys = table_with_request_of_first_tenant();
    let [first_key, second_key] =
        [FIRST_TENANT, SECOND_TENANT].map(|tenant| IdempotencyKey { tenant, ..key("a") });
    keys.retain(&second_key, RequestId(2), first_attempt(6), 10.0);
    assert_eq!(keys.len(), 2);
    keys.complete(&second_key, RequestId(2), served(b"second"));
    keys.complete(&first_key, RequestId(1), served(b"first"));
    let holder =
        |keys: &IdempotencyTable, tenant, body| matched_holder(keys, &retry_of_tenant(tenant, None, body));
    assert_eq!(holder(&keys, FIRST_TENANT, 5), Some(RequestId(1)));
    assert_eq!(holder(&keys, SECOND_TENANT, 6), Some(RequestId(2)));
    // The principal of the first request now belongs to the second tenant, which has a request of its own.
    let moved = retry_of_tenant(SECOND_TENANT, PRINCIPAL, 5);
    assert_eq!(matched_holder(&keys, &moved), Some(RequestId(1)));
    keys.remove_expired(20.0);
    assert_eq!((keys.len(), keys.result_bytes), (0, 0));
}

/// Guards against an attempt of an old window that runs a second time or is rejected, because an attempt of a later
/// window was read before it.
#[test]
fn a_previous_run_is_matched_within_its_window_while_another_holder_has_the_key_and_after() {
    let mut keys = IdempotencyTable::new(100, 9, 0.0);
    keys.retain(&key("a"), RequestId(1), first_attempt(5), 10.0);
    keys.complete(&key("a"), RequestId(1), served(b"done"));
    keys.retain(&key("a"), RequestId(2), first_attempt(6), 21.0);
    let matched = |keys: &IdempotencyTable, body, arrived| {
        keys.match_attempt(&attempt(&key("a"), body, arrived)).request().map(|request| request.holder.0)
    };
    let conflicts = |keys: &IdempotencyTable, body, arrived| {
        keys.match_attempt(&attempt(&key("a"), body, arrived)) == KeyMatch::Conflict
    };
    assert_eq!((matched(&keys, 5, 9.9), conflicts(&keys, 6, 9.9)), (Some(1), true));
    assert_eq!(keys.previous_progress(&key("a"), 9.9), Some(served(b"done")));
    assert_eq!((matched(&keys, 6, 10.1), conflicts(&keys, 5, 10.1)), (Some(2), true));
    assert_eq!(keys.previous_progress(&key("a"), 10.1), None);
    // The new holder never runs.
    keys.release(&key("a"), RequestId(2));
    assert_eq!((matched(&keys, 5, 9.9), matched(&keys, 5, 10.1)), (Some(1), None));
    assert_eq!((conflicts(&keys, 6, 9.9), conflicts(&keys, 6, 10.1)), (true, false));
    // Another holder runs; the previous run is removed once no attempt of its window can be read any more.
    keys.retain(&key("a"), RequestId(3), first_attempt(7), 22.0);
    keys.complete(&key("a"), RequestId(3), served(b"anew"));
    assert_eq!(keys.result_bytes, 8);
    keys.remove_expired(16.1);
    assert_eq!((keys.result_bytes, matched(&keys, 7, 9.9), conflicts(&keys, 5, 9.9)), (4, Some(3), true));
    keys.remove_expired(28.1);
    assert_eq!((keys.result_bytes, keys.is_empty()), (0, true));
}

#[test]
fn an_entry_is_retained_for_as_long_as_callers_wait() {
    let mut keys = IdempotencyTable::new(100, 9, 14.0);
    keys.retain(&key("a"), RequestId(1), first_attempt(0), 1.0);
    keys.complete(&key("a"), RequestId(1), KeyProgress::Failed);
    keys.remove_expired(14.9);
    assert!(holder_of_a(&keys, 0.9).is_some());
    keys.remove_expired(15.1);
    assert!(keys.is_empty());
}
