//! Quotas of tenants.

use crate::harness::{rejected, settings, started_requests, Harness};
use port_worker::{Arrival, Event, Outcome, RequestId, Settings, Tenant};

/// Requests of one heavy tenant must not displace those of other tenants in their class.
#[test]
fn work_over_quota_waits_behind_the_rest_of_its_class_only() {
    let settings =
        Settings { tenants: vec![Tenant { quota_per_s: 2.0 }; 2], over_quota_weight: 0.05, ..settings() };
    let mut worker = Harness::new(settings);
    let arrive_from = |worker: &mut Harness, id: u64, tenant: usize, class: usize| {
        let (id, tenant) = (RequestId(id), Some(tenant));
        worker.handle(Event::Arrived(Arrival { id, class, tenant, memory_kb: 10.0, ..Arrival::default() }))
    };
    for id in 1..=7 {
        arrive_from(&mut worker, id, usize::from(id % 2 == 0), 1);
    }
    worker.now = 0.1;
    for id in 1..=4 {
        worker.end_run(id, Outcome::Ok);
    }
    arrive_from(&mut worker, 8, 0, 1);
    arrive_from(&mut worker, 9, 1, 1);
    arrive_from(&mut worker, 10, 1, 0);
    let order: Vec<u64> = (5..=9).flat_map(|id| started_requests(&worker.end_run(id, Outcome::Ok))).collect();
    assert_eq!(order, vec![7, 9, 8, 10]);
}

/// The excess requests of a tenant that sends nine of ten requests, with half of the quotas, are queued with 0.05 of their
/// weight. Where all tenants appear to be over quota (after the fleet shrank or lost a zone), none are.
#[test]
fn only_a_tenant_far_over_its_share_of_arrivals_is_queued_for_less() {
    let admitted = |heavy: bool| {
        let mut settings = settings();
        (settings.workers, settings.over_quota_weight) = (200, 0.05);
        settings.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
        let mut worker = Harness::new(settings);
        let mut admitted = 0;
        for id in 1..=60 {
            worker.now += 0.1;
            let tenant = Some(usize::from(id % if heavy { 10 } else { 2 } == 0));
            let arrival = Arrival { id: RequestId(id), tenant, memory_kb: 10.0, ..Arrival::default() };
            admitted += u32::from(!rejected(&worker.handle(Event::Arrived(arrival)), id));
            if id % 5 == 0 {
                worker.end_run(id / 5, Outcome::Ok);
            }
        }
        admitted
    };
    assert!(
        admitted(true) < admitted(false),
        "{} requests admitted with a heavy tenant, {} without; expected fewer with it",
        admitted(true),
        admitted(false)
    );
}

/// Guards against small tenants whose token buckets are emptied by rejected requests and unmarked retries.
#[test]
fn a_rejected_request_takes_no_token() {
    let mut settings = settings();
    (settings.workers, settings.over_quota_weight) = (200, 0.05);
    settings.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
    let mut worker = Harness::new(settings);
    let arrive = |worker: &mut Harness, id: u64, tenant: usize, read_delay_s: f64| {
        let (id, tenant) = (RequestId(id), Some(tenant));
        worker.handle(Event::Arrived(Arrival {
            id,
            tenant,
            memory_kb: 10.0,
            read_delay_s,
            ..Arrival::default()
        }))
    };
    for id in 1..=4 {
        arrive(&mut worker, id, 0, 0.0);
    }
    assert!(
        (5..=14).all(|id| rejected(&arrive(&mut worker, id, 1, 1.9), id)),
        "requests that are read too late are admitted"
    );
    arrive(&mut worker, 20, 0, 0.0);
    arrive(&mut worker, 21, 1, 0.0);
    let order: Vec<u64> = (1..=4).flat_map(|id| started_requests(&worker.end_run(id, Outcome::Ok))).collect();
    assert_eq!(order.first(), Some(&3));
    assert!(
        order.contains(&21)
            && order.iter().position(|i| *i == 21) < order.iter().position(|i| *i == 20).or(Some(9))
    );
}

/// In a large fleet a worker's part of a tenant's quota is a fraction of a request per second, yet a few requests are
/// not over quota.
#[test]
fn a_tiny_part_of_a_quota_still_allows_a_few_requests() {
    let mut settings = settings();
    (settings.workers, settings.over_quota_weight) = (200, 0.1);
    settings.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
    let mut worker = Harness::new(settings);
    for (id, tenant) in [(1, 0), (2, 0), (3, 0), (4, 0), (5, 0), (6, 1)] {
        let id = RequestId(id);
        worker.handle(Event::Arrived(Arrival {
            id,
            tenant: Some(tenant),
            memory_kb: 10.0,
            ..Arrival::default()
        }));
    }
    // The first tenant's fifth request exceeds its burst, and nearly all arrivals are its own; the other tenant's
    // request does not.
    let order: Vec<u64> = (1..=4).flat_map(|id| started_requests(&worker.end_run(id, Outcome::Ok))).collect();
    assert_eq!(order, vec![3, 4, 6]);
}
