use super::*;

#[test]
fn a_load_fits_into_256_bytes_and_nonsense_is_known() {
    let full = LoadReport {
        number: 1_000_000,
        heard: 1_000_000,
        arrivals: vec![12345.6; MAX_TIERS],
        further: 1234.5,
        refused: 1234.5,
        capacity: 4321.5,
        calls_good: 1234.25,
        calls_bad: 1234.25,
        call_s: 0.0125,
        wants: 12.5,
        weight: 5.0,
        lends: 12.5,
        gives_up: true,
    };
    assert!(serde_json::to_string(&full).unwrap().len() <= 256, "{}", serde_json::to_string(&full).unwrap());
    assert!(full.is_sound());
    for bad in [f32::NAN, f32::INFINITY, -1.0, 1e9] {
        assert!(!LoadReport { capacity: bad, ..full.clone() }.is_sound(), "{bad}");
        assert!(!LoadReport { arrivals: vec![bad], ..full.clone() }.is_sound(), "{bad}");
        assert!(!FleetDigest { slice: bad, ..FleetDigest::default() }.is_sound(), "{bad}");
    }
    assert!(!LoadReport { arrivals: vec![1.0; MAX_TIERS + 1], ..full }.is_sound());
}

#[test]
fn dice_are_even() {
    let mean = (0..10_000).map(|n| dice(7, n)).sum::<f64>() / 10_000.0;
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
}
