use super::*;

/// A hundred streams on each of five hundred connections, with windows that never open: 200 MB of answers.
#[test]
fn those_with_the_most_go_first_and_no_more_than_must() {
    let all =
        |list: &[(u64, usize)]| list.iter().map(|(id, bytes)| Waiting { id: *id, bytes: *bytes }).collect();
    assert_eq!(too_much(all(&[(1, 50), (2, 50)]), 100), Vec::<u64>::new());
    assert_eq!(too_much(all(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 120), [2]);
    assert_eq!(too_much(all(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 100), [2, 4]);
    let many: Vec<Waiting> = (0..500).map(|id| Waiting { id, bytes: 400 * 1024 }).collect();
    assert_eq!(too_much(many, 4 << 20).len(), 490);
}
