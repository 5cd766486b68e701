use super::*;
use proptest::prelude::*;

/// A little more than the silence after which a seat may be lost.
const STEP_S: f64 = 1.01 * SILENT_S;

/// Silent connections by the hundred, each with a preface, made the worker build a session for each.
#[test]
fn silent_newcomers_share_the_seats_and_whoever_asks_is_seated_in_time() {
    let mut lobby = SessionAdmission::new(4);
    let seated: Vec<bool> = (0..100).map(|id| lobby.enter(0.0, id)).collect();
    assert_eq!(seated.iter().filter(|s| **s).count(), 4);
    // Nobody has sat for long yet.
    assert!(lobby.move_up(0.01).is_none() && lobby.waits());
    assert!(!lobby.enter(0.01, 1000));
    let (mut now, mut closed) = (0.0, 0);
    while !lobby.enter(now, 1000) {
        now += STEP_S;
        while let Some(moved) = lobby.move_up(now) {
            closed += usize::from(moved.out.is_some());
        }
    }
    // A hundred before it, four at a time.
    assert!(now <= 26.0 * STEP_S, "{now}");
    assert_eq!(closed, 97);
}

#[test]
fn where_nobody_waits_whoever_is_silent_keeps_its_seat() {
    let mut lobby = SessionAdmission::new(2);
    assert!(lobby.enter(0.0, 1) && lobby.enter(0.0, 2));
    assert!(lobby.move_up(60.0).is_none() && !lobby.waits());
    // One that has asked leaves its seat to the next, who waits for no silence.
    assert!(!lobby.enter(60.0, 3));
    lobby.leave(2);
    assert_eq!(lobby.move_up(60.0), Some(Move { out: None, seated: 3 }));
    assert!(lobby.enter(60.0, 3));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more sessions than seats, nobody both seated and waiting, and a silent lobby empties in the end.
    #[test]
    fn seats_are_never_given_twice(events in prop::collection::vec((0u8..4, 0u64..30), 1..300)) {
        let (mut lobby, mut now) = (SessionAdmission::new(3), 0.0);
        for (kind, id) in events {
            match kind {
                0 => drop(lobby.enter(now, id)),
                1 => lobby.leave(id),
                2 => now += id as f64 / 500.0,
                _ => while let Some(moved) = lobby.move_up(now) {
                    prop_assert_ne!(moved.out, Some(moved.seated));
                    prop_assert!(lobby.enter(now, moved.seated));
                },
            }
            prop_assert!(lobby.seated.len() <= 3);
            prop_assert!(lobby.seated.iter().all(|(_, s)| !lobby.waiting.contains(s)));
            let mut all: Vec<u64> = lobby.seated.iter().map(|(_, s)| *s).chain(lobby.waiting.iter().copied()).collect();
            let len = all.len();
            all.sort_unstable();
            all.dedup();
            prop_assert_eq!(all.len(), len);
        }
        while lobby.waits() {
            now += STEP_S;
            prop_assert!(lobby.move_up(now).is_some());
        }
    }
}
