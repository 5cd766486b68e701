use super::*;

#[test]
fn a_full_report_fits_into_256_bytes_and_values_out_of_range_are_invalid() {
    let full = LoadReport {
        number: 1_000_000,
        last_digest: 1_000_000,
        arrivals: vec![12345.6; MAX_TIERS],
        retries: 1234.5,
        rejected: 1234.5,
        capacity: 4321.5,
        calls_succeeded: 1234.25,
        calls_failed: 1234.25,
        call_s: 0.0125,
        wanted_calls: 12.5,
        weight: 5.0,
        lent_calls: 12.5,
        circuit_open: true,
    };
    assert!(serde_json::to_string(&full).unwrap().len() <= 256, "{}", serde_json::to_string(&full).unwrap());
    assert!(full.is_valid());
    for bad in [f32::NAN, f32::INFINITY, -1.0, 1e9] {
        assert!(!LoadReport { capacity: bad, ..full.clone() }.is_valid(), "{bad}");
        assert!(!LoadReport { arrivals: vec![bad], ..full.clone() }.is_valid(), "{bad}");
        assert!(!FleetDigest { slice: bad, ..FleetDigest::default() }.is_valid(), "{bad}");
    }
    assert!(!LoadReport { arrivals: vec![1.0; MAX_TIERS + 1], ..full }.is_valid());
}
