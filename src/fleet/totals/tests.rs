use super::*;

fn counters(pairs: &[(&str, u64)]) -> Counters {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect()
}

#[test]
fn sums_saturate_and_have_the_age_of_the_oldest_counters() {
    let workers = [
        AgedCounters { age_ms: 40, counters: counters(&[("a.success", 3), ("huge", u64::MAX)]) },
        AgedCounters { age_ms: 900, counters: counters(&[("a.success", 4), ("huge", 1)]) },
    ];
    let totals = sum_counters("w1", &workers);
    assert_eq!(totals.counts, counters(&[("a.success", 7), ("huge", u64::MAX)]));
    assert_eq!((totals.workers, totals.computed_by.as_str(), totals.age_ms), (2, "w1", 900));
    assert_eq!(sum_counters("w1", &[]).age_ms, 0);
}
