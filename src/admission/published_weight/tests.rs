use super::*;

#[test]
fn weight_is_published_when_it_changes() {
    let mut published = PublishedWeight::new(Signal::Weight);
    assert_eq!(published.update(true), Some(1.0));
    assert_eq!(published.update(true), None);
    assert_eq!(published.update(false), Some(0.0));
}

#[test]
fn nothing_is_published_where_callers_expect_no_weight() {
    for signal in [Signal::None, Signal::RankFloor] {
        assert_eq!(PublishedWeight::new(signal).update(true), None);
    }
}
