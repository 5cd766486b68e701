use super::*;
use proptest::prelude::*;

const BUDGET: OverheadBudget =
    OverheadBudget { max_bytes: 64.0 * 1024.0, bytes_per_s: 4096.0, reduced_bytes: 12.0 * 1024.0 };

/// Sends pieces at an interval; returns the bytes that were read in all, and when the client was terminated.
fn flood(mut account: AbuseDetector, piece: usize, every_s: f64, for_s: f64) -> (usize, Option<f64>) {
    let (mut now, mut taken) = (0.0, 0);
    while now < for_s {
        match account.charge(now, piece) {
            ReadDecision::Read(n) => taken += n,
            ReadDecision::Throttle { .. } => {}
            ReadDecision::Terminate => return (taken, Some(now)),
        }
        now += every_s;
    }
    (taken, None)
}

#[test]
fn a_flood_is_throttled_to_its_budget_and_then_terminated() {
    let (taken, ended) = flood(AbuseDetector::new(0.0, BUDGET, false), 8192, 0.001, 60.0);
    let ended = ended.expect("terminated");
    assert!((MAX_THROTTLED_S..MAX_THROTTLED_S + 0.1).contains(&ended), "{ended}");
    let most = BUDGET.max_bytes + ended * BUDGET.bytes_per_s;
    assert!(taken as f64 <= most && taken as f64 > 0.9 * most, "{taken} of {most}");
}

/// It connects anew whenever it has spent the budget with which a connection begins.
#[test]
fn a_flood_gains_nothing_by_connecting_anew() {
    let mut pressure = PressureMonitor::default();
    let (mut taken, mut now) = (0, 0.0);
    for _ in 0..1000 {
        let mut account = AbuseDetector::new(now, BUDGET, pressure.is_elevated(now));
        loop {
            match account.charge(now, 8192) {
                ReadDecision::Read(n) => taken += n,
                ReadDecision::Throttle { first } => {
                    assert!(first);
                    pressure.record_abuse(now);
                    break;
                }
                ReadDecision::Terminate => panic!("at once"),
            }
        }
        now += 0.01;
    }
    assert!(taken < 64 * 1024 + 1000 * 12 * 1024, "{taken}");
    assert!(!pressure.is_elevated(now + PRESSURE_S));
}

#[test]
fn a_throttled_client_that_sends_requests_recovers() {
    let mut account = AbuseDetector::new(0.0, BUDGET, true);
    assert_eq!(account.charge(0.0, 16 * 1024), ReadDecision::Read(12 * 1024));
    assert_eq!(account.charge(0.0, 100), ReadDecision::Throttle { first: true });
    assert_eq!(account.charge(0.0, 100), ReadDecision::Throttle { first: false });
    account.credit(40 * 1024);
    assert_eq!(account.charge(MAX_THROTTLED_S + 1.0, 8192), ReadDecision::Read(8192));
    // Requests that are reset immediately earn no credit.
    account.revoke_credit(1 << 20);
    assert_eq!(account.charge(MAX_THROTTLED_S + 1.0, 8192), ReadDecision::Throttle { first: true });
    // Without bytes to read a client is not terminated, however long it is idle.
    assert_eq!(account.charge(3.0 * MAX_THROTTLED_S, 0), ReadDecision::Read(0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// However its requests are cut, and however little it began with.
    #[test]
    fn clients_that_send_requests_are_never_throttled(
        under_pressure in any::<bool>(),
        requests in prop::collection::vec((20usize..8192, 0usize..2048, 1usize..600), 1..200),
    ) {
        let mut account = AbuseDetector::new(0.0, BUDGET, under_pressure);
        for (head, body, cut) in requests {
            // On the wire: frame heads of nine bytes, a settings or window update now and then.
            let mut wire = 9 + head + body + 9 * body.div_ceil(1024) + 13;
            let unpacked = head + 32 * 8;
            while wire > 0 {
                let decision = account.charge(0.0, cut.min(wire));
                prop_assert!(matches!(decision, ReadDecision::Read(n) if n > 0), "{decision:?}");
                if let ReadDecision::Read(n) = decision {
                    wire -= n;
                }
            }
            account.credit(unpacked);
            account.credit(body);
        }
    }

    /// Never more is read than the budget allows, whatever the order of events.
    #[test]
    fn bytes_that_belong_to_no_request_are_bounded(events in prop::collection::vec((0u8..4, 0usize..10_000), 1..300)) {
        let mut account = AbuseDetector::new(0.0, BUDGET, false);
        let (mut now, mut taken, mut brought) = (0.0, 0usize, 0usize);
        for (kind, n) in events {
            match kind {
                0 => now += n as f64 / 1000.0,
                1 => {
                    account.credit(n);
                    brought += n;
                }
                2 => account.revoke_credit(n),
                _ => if let ReadDecision::Read(m) = account.charge(now, n) {
                    prop_assert!(m <= n);
                    taken += m;
                },
            }
            let most = BUDGET.max_bytes + now * BUDGET.bytes_per_s + brought as f64;
            prop_assert!(taken as f64 <= most + 1.0, "{} of {}", taken, most);
        }
    }
}
