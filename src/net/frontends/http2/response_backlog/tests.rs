use super::*;

/// Guards against exhausting memory: 500 connections with 100 streams each, whose windows never open, would hold 200 MB
/// of responses.
#[test]
fn largest_backlogs_are_ended_first_and_no_more_than_needed() {
    let backlogs = |list: &[(u64, usize)]| {
        list.iter().map(|(id, bytes)| ResponseBacklog { id: *id, bytes: *bytes }).collect()
    };
    assert_eq!(connections_over_limit(backlogs(&[(1, 50), (2, 50)]), 100), Vec::<u64>::new());
    assert_eq!(connections_over_limit(backlogs(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 120), [2]);
    assert_eq!(connections_over_limit(backlogs(&[(1, 10), (2, 80), (3, 30), (4, 80)]), 100), [2, 4]);
    let many: Vec<ResponseBacklog> = (0..500).map(|id| ResponseBacklog { id, bytes: 400 * 1024 }).collect();
    assert_eq!(connections_over_limit(many, 4 << 20).len(), 490);
}
