use super::*;

/// A hundred streams on each of five hundred connections, with windows that never open: 200 MB of responses.
#[test]
fn largest_backlogs_are_ended_first_and_no_more_than_needed() {
    let all = |list: &[(u64, usize)]| {
        list.iter().map(|(id, bytes)| ResponseBacklog { id: *id, bytes: *bytes }).collect()
    };
    assert_eq!(largest_beyond(all(&[(1, 50), (2, 50)]), 100), Vec::<u64>::new());
    assert_eq!(largest_beyond(all(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 120), [2]);
    assert_eq!(largest_beyond(all(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 100), [2, 4]);
    let many: Vec<ResponseBacklog> = (0..500).map(|id| ResponseBacklog { id, bytes: 400 * 1024 }).collect();
    assert_eq!(largest_beyond(many, 4 << 20).len(), 490);
}
