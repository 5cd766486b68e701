#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::*;

#[test]
fn validity_of_a_digest_starts_when_its_report_was_sent_and_a_slice_is_valid_half_as_long() {
    let mut client = FleetOverloadClient::new(-10.0, 4.0, 0.1);
    client.report(1.0, 7, &LoadSample::default());
    let digest =
        FleetDigest { number: 1, workers: 9, slice: 2.0, retry_share: 0.5, ..FleetDigest::default() };
    client.receive(7, &digest);
    let directive = client.directive(1.4);
    assert_eq!(
        (directive.valid_until, directive.digest.workers, directive.digest.slice),
        (1.0 + DIGEST_VALID_S * 0.9, 9, 2.0)
    );
    assert!((directive.slice_valid_until - 1.9).abs() < 1e-9, "{directive:?}");
    assert_eq!(client.directive(1.95).digest.slice, 0.0, "the slice has expired, the digest has not");
    // Digests with values out of range, that answer no report, or from an earlier link are ignored.
    client.report(2.0, 8, &LoadSample::default());
    client.receive(8, &FleetDigest { retry_share: f32::NAN, ..digest.clone() });
    client.receive(6, &digest);
    client.reconnected();
    client.receive(8, &digest);
    assert_eq!(client.directive(2.1).valid_until, 1.0 + DIGEST_VALID_S * 0.9);
}

#[test]
fn an_open_circuit_is_reported_only_while_its_digest_is_valid() {
    let mut client = FleetOverloadClient::new(-10.0, 4.0, 0.1);
    let sample =
        LoadSample { capacity: 123.4567, call_s: 0.012_345_6, spare_calls: 3.0, ..LoadSample::default() };
    assert_eq!(
        client.report(1.0, 1, &sample).lent_calls,
        0.0,
        "without a digest the leader cannot count the loan"
    );
    client.receive(1, &FleetDigest { number: 1, circuit_open: true, ..FleetDigest::default() });
    let load = client.report(2.0, 2, &sample);
    assert!(load.circuit_open && load.is_valid() && load.last_digest == 1, "{load:?}");
    assert_eq!((load.capacity, load.call_s, load.lent_calls), (123.5, 0.01235, 1.0));
    assert!(!client.report(3.0, 3, &sample).circuit_open);
    assert_eq!(client.directive(3.0).lent_calls, 1.0);
}
