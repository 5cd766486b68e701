//! Events about changes of the limit and about rejections.

use super::harness::{plan, pool_spec, PoolsHarness};
use crate::interface::{AdmissionEvent, PoolLimitCause, PoolLimitChange};

#[test]
fn limit_changes_and_rejections_are_reported_at_most_once_a_second() {
    let specs = vec![pool_spec("a", 0.5, 1.0, 1.0), pool_spec("b", 0.5, 1.0, 1.0)];
    let mut harness = PoolsHarness::new(plan(specs.clone(), None, 4, 40), 2);
    let mut events: Vec<(f64, AdmissionEvent)> = Vec::new();
    for round in 0..4000 {
        harness.saturate(&[0, 1], 0.025, 0.1);
        harness.pools.count_rejection(1);
        if round == 2000 {
            harness.pools.apply_plan(plan(specs.clone(), None, 2, 3));
        }
        harness.pools.review(harness.now, 1000);
        events.extend(harness.pools.take_events().into_iter().map(|event| (harness.now, event)));
    }
    let limit_change = |(at, event): &(f64, AdmissionEvent)| match event {
        AdmissionEvent::PoolLimitChanged(change) => Some((*at, *change)),
        _ => None,
    };
    let limits: Vec<(f64, PoolLimitChange)> = events.iter().filter_map(limit_change).collect();
    assert!(limits.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 0.99), "{limits:?}");
    let first = limits[0].1;
    assert!(
        first.previous == 4 && first.cause == PoolLimitCause::Rate && first.baseline_run_s > 0.0,
        "{first:?}"
    );
    let is_reload = |change: &PoolLimitChange| change.limit == 3 && change.cause == PoolLimitCause::Reload;
    assert!(limits.iter().any(|(_, change)| is_reload(change)), "{limits:?}");
    let rejections_of = |name: &'static str| {
        events.iter().filter_map(move |(at, event)| match event {
            AdmissionEvent::PoolRequestsRejected { pool, rejected, .. } if pool == name => {
                assert!(*rejected > 0, "an event reports zero rejections");
                Some(*at)
            }
            _ => None,
        })
    };
    let rejections: Vec<f64> = rejections_of("b").collect();
    assert!(rejections.len() > 50 && rejections.windows(2).all(|pair| pair[1] - pair[0] >= 0.99));
    assert_eq!(rejections_of("a").count(), 0);
}
