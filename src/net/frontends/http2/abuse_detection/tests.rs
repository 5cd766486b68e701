use super::*;
use proptest::prelude::*;

const ALLOWANCE: Allowance =
    Allowance { most_bytes: 64.0 * 1024.0, bytes_per_s: 4096.0, first_bytes: 12.0 * 1024.0 };

/// Sends so many bytes in pieces every so often, and says what was taken in all and when it was told to go.
fn flood(mut conduct: AbuseDetector, piece: usize, every_s: f64, for_s: f64) -> (usize, Option<f64>) {
    let (mut now, mut taken) = (0.0, 0);
    while now < for_s {
        match conduct.judge(now, piece) {
            Verdict::Take(n) => taken += n,
            Verdict::Wait { .. } => {}
            Verdict::End => return (taken, Some(now)),
        }
        now += every_s;
    }
    (taken, None)
}

#[test]
fn a_flood_is_read_at_the_pace_of_its_allowance_and_then_told_to_go() {
    let (taken, ended) = flood(AbuseDetector::new(0.0, ALLOWANCE, false), 8192, 0.001, 60.0);
    let ended = ended.expect("told to go");
    assert!((PATIENCE_S..PATIENCE_S + 0.1).contains(&ended), "{ended}");
    let most = ALLOWANCE.most_bytes + ended * ALLOWANCE.bytes_per_s;
    assert!(taken as f64 <= most && taken as f64 > 0.9 * most, "{taken} of {most}");
}

/// A flood that connects anew whenever it has spent what it began with.
#[test]
fn while_a_flood_lasts_new_connections_begin_with_little() {
    let mut wariness = PressureMonitor::default();
    let (mut taken, mut now) = (0, 0.0);
    for _ in 0..1000 {
        let mut conduct = AbuseDetector::new(now, ALLOWANCE, wariness.wary(now));
        loop {
            match conduct.judge(now, 8192) {
                Verdict::Take(n) => taken += n,
                Verdict::Wait { first } => {
                    assert!(first);
                    wariness.ran_short(now);
                    break;
                }
                Verdict::End => panic!("at once"),
            }
        }
        now += 0.01;
    }
    assert!(taken < 64 * 1024 + 1000 * 12 * 1024, "{taken}");
    assert!(!wariness.wary(now + WARY_S));
}

#[test]
fn a_client_that_ran_short_and_asks_again_is_forgiven() {
    let mut conduct = AbuseDetector::new(0.0, ALLOWANCE, true);
    assert_eq!(conduct.judge(0.0, 16 * 1024), Verdict::Take(12 * 1024));
    assert_eq!(conduct.judge(0.0, 100), Verdict::Wait { first: true });
    assert_eq!(conduct.judge(0.0, 100), Verdict::Wait { first: false });
    conduct.brought(40 * 1024);
    assert_eq!(conduct.judge(PATIENCE_S + 1.0, 8192), Verdict::Take(8192));
    // What it asks for and takes back at once has brought nothing.
    conduct.taken_back(1 << 20);
    assert_eq!(conduct.judge(PATIENCE_S + 1.0, 8192), Verdict::Wait { first: true });
    // Nothing waits: nothing to complain of, however long it rests.
    assert_eq!(conduct.judge(3.0 * PATIENCE_S, 0), Verdict::Take(0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever asks is never made to wait, however its requests are cut and however little it began with.
    #[test]
    fn whoever_asks_never_runs_short(
        wary in any::<bool>(),
        requests in prop::collection::vec((20usize..8192, 0usize..2048, 1usize..600), 1..200),
    ) {
        let mut conduct = AbuseDetector::new(0.0, ALLOWANCE, wary);
        for (head, body, cut) in requests {
            // On the wire: frame heads of nine bytes, a settings or window update now and then.
            let mut wire = 9 + head + body + 9 * body.div_ceil(1024) + 13;
            let unpacked = head + 32 * 8;
            while wire > 0 {
                let verdict = conduct.judge(0.0, cut.min(wire));
                prop_assert!(matches!(verdict, Verdict::Take(n) if n > 0), "{verdict:?}");
                if let Verdict::Take(n) = verdict {
                    wire -= n;
                }
            }
            conduct.brought(unpacked);
            conduct.brought(body);
        }
    }

    /// Of what asks for nothing, never more is taken than the allowance holds, whatever the order of events.
    #[test]
    fn what_asks_for_nothing_is_bounded(events in prop::collection::vec((0u8..4, 0usize..10_000), 1..300)) {
        let mut conduct = AbuseDetector::new(0.0, ALLOWANCE, false);
        let (mut now, mut taken, mut brought) = (0.0, 0usize, 0usize);
        for (kind, n) in events {
            match kind {
                0 => now += n as f64 / 1000.0,
                1 => {
                    conduct.brought(n);
                    brought += n;
                }
                2 => conduct.taken_back(n),
                _ => if let Verdict::Take(m) = conduct.judge(now, n) {
                    prop_assert!(m <= n);
                    taken += m;
                },
            }
            let most = ALLOWANCE.most_bytes + now * ALLOWANCE.bytes_per_s + brought as f64;
            prop_assert!(taken as f64 <= most + 1.0, "{} of {}", taken, most);
        }
    }
}
