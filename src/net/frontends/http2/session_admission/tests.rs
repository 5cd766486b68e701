use super::*;
use proptest::prelude::*;

/// Slightly longer than a client keeps its slot.
const STEP_S: f64 = 1.01 * MIN_SLOT_S;

/// Guards against hundreds of silent connections that send only a preface, each of which was given a session.
#[test]
fn silent_connections_share_the_slots_and_a_waiting_client_is_admitted_in_time() {
    let mut admission = SessionAdmission::new(4);
    let admitted: Vec<bool> = (0..100).map(|id| admission.admit(0.0, id)).collect();
    assert_eq!(admitted.iter().filter(|is| **is).count(), 4);
    // No holder has had its slot for the minimum time yet.
    assert!(admission.admit_next(0.01).is_none() && admission.has_waiting());
    assert!(!admission.admit(0.01, 1000));
    let (mut now, mut closed) = (0.0, 0);
    while !admission.admit(now, 1000) {
        now += STEP_S;
        while let Some(admitted) = admission.admit_next(now) {
            closed += usize::from(admitted.evicted.is_some());
        }
    }
    // A hundred connections precede it, and are admitted four at a time.
    assert!(now <= 26.0 * STEP_S, "admitted only after {now} s");
    assert_eq!(closed, 97);
}

#[test]
fn a_silent_connection_is_not_evicted_while_none_waits() {
    let mut admission = SessionAdmission::new(2);
    assert!(admission.admit(0.0, 1) && admission.admit(0.0, 2));
    assert!(admission.admit_next(60.0).is_none() && !admission.has_waiting());
    // A connection that has sent a request frees its slot for the next one immediately.
    assert!(!admission.admit(60.0, 3));
    admission.release(2);
    assert_eq!(admission.admit_next(60.0), Some(Admitted { evicted: None, id: 3 }));
    assert!(admission.admit(60.0, 3));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// There are never more sessions than slots, no connection is both admitted and waiting, and the queue empties.
    #[test]
    fn slots_are_never_given_twice(events in prop::collection::vec((0u8..4, 0u64..30), 1..300)) {
        let (mut admission, mut now) = (SessionAdmission::new(3), 0.0);
        for (kind, id) in events {
            match kind {
                0 => drop(admission.admit(now, id)),
                1 => admission.release(id),
                2 => now += id as f64 / 500.0,
                _ => while let Some(admitted) = admission.admit_next(now) {
                    prop_assert_ne!(admitted.evicted, Some(admitted.id));
                    prop_assert!(admission.admit(now, admitted.id));
                },
            }
            prop_assert!(admission.holders.len() <= 3);
            prop_assert!(admission.holders.iter().all(|holder| !admission.waiting.contains(&holder.id)));
            let held = admission.holders.iter().map(|holder| holder.id);
            let mut all: Vec<u64> = held.chain(admission.waiting.iter().copied()).collect();
            let len = all.len();
            all.sort_unstable();
            all.dedup();
            prop_assert_eq!(all.len(), len);
        }
        while admission.has_waiting() {
            now += STEP_S;
            prop_assert!(admission.admit_next(now).is_some());
        }
    }
}
