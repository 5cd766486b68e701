use super::*;
use proptest::prelude::*;

const BUDGET: OverheadBudget =
    OverheadBudget { max_bytes: 64.0 * 1024.0, bytes_per_s: 4096.0, reduced_bytes: 12.0 * 1024.0 };

/// Offers `chunk_bytes` every `interval_s`. Returns the total of bytes read, and when the client was terminated.
fn flood(
    mut detector: AbuseDetector,
    chunk_bytes: usize,
    interval_s: f64,
    duration_s: f64,
) -> (usize, Option<f64>) {
    let (mut now, mut bytes_read) = (0.0, 0);
    while now < duration_s {
        match detector.charge(now, chunk_bytes) {
            ReadDecision::Read(n) => bytes_read += n,
            ReadDecision::Throttle { .. } => {}
            ReadDecision::Terminate => return (bytes_read, Some(now)),
        }
        now += interval_s;
    }
    (bytes_read, None)
}

#[test]
fn a_flood_is_throttled_to_its_budget_and_then_terminated() {
    let (bytes_read, terminated_at) = flood(AbuseDetector::new(0.0, BUDGET, false), 8192, 0.001, 60.0);
    let terminated_at = terminated_at.expect("the flood was not terminated");
    assert!(
        (MAX_THROTTLED_S..MAX_THROTTLED_S + 0.1).contains(&terminated_at),
        "terminated at {terminated_at} s"
    );
    let max_bytes = BUDGET.max_bytes + terminated_at * BUDGET.bytes_per_s;
    assert!(
        bytes_read as f64 <= max_bytes && bytes_read as f64 > 0.9 * max_bytes,
        "read {bytes_read} bytes, expected over 90 % of {max_bytes}, and no more than that"
    );
}

/// Guards against floods that reconnect whenever they have spent a connection's initial budget.
#[test]
fn a_flood_gains_nothing_by_reconnecting() {
    let mut pressure = PressureMonitor::default();
    let (mut bytes_read, mut now) = (0, 0.0);
    for _ in 0..1000 {
        let mut detector = AbuseDetector::new(now, BUDGET, pressure.is_elevated(now));
        loop {
            match detector.charge(now, 8192) {
                ReadDecision::Read(n) => bytes_read += n,
                ReadDecision::Throttle { newly_throttled } => {
                    assert!(newly_throttled);
                    pressure.record_abuse(now);
                    break;
                }
                ReadDecision::Terminate => panic!("terminated without being throttled first"),
            }
        }
        now += 0.01;
    }
    assert!(bytes_read < 64 * 1024 + 1000 * 12 * 1024, "read {bytes_read} bytes");
    assert!(!pressure.is_elevated(now + PRESSURE_DURATION_S));
}

#[test]
fn a_throttled_client_that_sends_requests_recovers() {
    let mut detector = AbuseDetector::new(0.0, BUDGET, true);
    assert_eq!(detector.charge(0.0, 16 * 1024), ReadDecision::Read(12 * 1024));
    assert_eq!(detector.charge(0.0, 100), ReadDecision::Throttle { newly_throttled: true });
    assert_eq!(detector.charge(0.0, 100), ReadDecision::Throttle { newly_throttled: false });
    detector.credit(40 * 1024);
    assert_eq!(detector.charge(MAX_THROTTLED_S + 1.0, 8192), ReadDecision::Read(8192));
    // Requests that are reset immediately get no credit.
    detector.revoke_credit(1 << 20);
    assert_eq!(
        detector.charge(MAX_THROTTLED_S + 1.0, 8192),
        ReadDecision::Throttle { newly_throttled: true }
    );
    // A client with no input is not terminated, however long it has been idle.
    assert_eq!(detector.charge(3.0 * MAX_THROTTLED_S, 0), ReadDecision::Read(0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Holds for any segmentation of the requests and for both initial budgets.
    #[test]
    fn clients_that_send_requests_are_never_throttled(
        under_pressure in any::<bool>(),
        requests in prop::collection::vec((20usize..8192, 0usize..2048, 1usize..600), 1..200),
    ) {
        let mut detector = AbuseDetector::new(0.0, BUDGET, under_pressure);
        for (head, body, segment) in requests {
            // On the wire: frame headers of 9 bytes, and 13 bytes for an occasional settings or window update.
            let mut wire = 9 + head + body + 9 * body.div_ceil(1024) + 13;
            let uncompressed = head + 32 * 8;
            while wire > 0 {
                let decision = detector.charge(0.0, segment.min(wire));
                prop_assert!(matches!(decision, ReadDecision::Read(n) if n > 0), "expected a read, got {decision:?}");
                if let ReadDecision::Read(n) = decision {
                    wire -= n;
                }
            }
            detector.credit(uncompressed);
            detector.credit(body);
        }
    }

    /// Holds for any order of events: no more is read than the budget allows.
    #[test]
    fn bytes_that_belong_to_no_request_are_bounded(events in prop::collection::vec((0u8..4, 0usize..10_000), 1..300)) {
        let mut detector = AbuseDetector::new(0.0, BUDGET, false);
        let (mut now, mut bytes_read, mut credited) = (0.0, 0usize, 0usize);
        for (kind, n) in events {
            match kind {
                0 => now += n as f64 / 1000.0,
                1 => {
                    detector.credit(n);
                    credited += n;
                }
                2 => detector.revoke_credit(n),
                _ => if let ReadDecision::Read(m) = detector.charge(now, n) {
                    prop_assert!(m <= n);
                    bytes_read += m;
                },
            }
            let max_bytes = BUDGET.max_bytes + now * BUDGET.bytes_per_s + credited as f64;
            prop_assert!(bytes_read as f64 <= max_bytes + 1.0, "read {} bytes of at most {}", bytes_read, max_bytes);
        }
    }
}
