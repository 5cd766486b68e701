//! Overload of the complete fleet.

use crate::harness::{settings, Harness};
use port_worker::{Action, Arrival, Event, RequestId, Settings};

/// Guards against delisting one worker after the other for late reads where callers don't mark retries.
#[test]
fn without_retry_marks_a_flood_of_arrivals_means_a_full_fleet() {
    let run_arrivals = |interval_s: f64| {
        let mut worker = Harness::new(Settings { marks_retries: false, ..settings() });
        let (mut became_unhealthy, mut last_stop_retrying) = (false, None);
        for id in 1..=100 {
            worker.now += interval_s;
            let read_delay_s = if id < 60 { 0.0 } else { 2.5 };
            let actions = worker.handle(Event::Arrived(Arrival {
                id: RequestId(id),
                memory_kb: 1.0,
                read_delay_s,
                ..Arrival::default()
            }));
            became_unhealthy |= actions.contains(&Action::Health(false));
            last_stop_retrying = actions
                .iter()
                .find_map(|a| {
                    if let Action::Reject { stop_retrying, .. } = a {
                        Some(*stop_retrying)
                    } else {
                        None
                    }
                })
                .or(last_stop_retrying);
        }
        (became_unhealthy, last_stop_retrying)
    };
    assert_eq!(
        run_arrivals(0.05),
        (false, Some(true)),
        "20 requests a second of 0.5 s each on two cores are an overload of the fleet"
    );
    assert_eq!(
        run_arrivals(0.5),
        (true, Some(false)),
        "late reads at a low rate are a fault of this worker alone"
    );
}

/// In a retry storm, rejections tell callers to stop retrying, since no other worker can help.
#[test]
fn many_retries_make_rejections_final() {
    let last_stop_retrying = |retry: bool| {
        let mut worker = Harness::new(settings());
        (1..60)
            .flat_map(|id| {
                worker.handle(Event::Arrived(Arrival {
                    id: RequestId(id),
                    class: 0,
                    memory_kb: 10.0,
                    retry: retry && id % 2 == 0,
                    ..Arrival::default()
                }))
            })
            .filter_map(
                |a| if let Action::Reject { stop_retrying, .. } = a { Some(stop_retrying) } else { None },
            )
            .next_back()
    };
    assert_eq!(last_stop_retrying(true), Some(true));
    assert_eq!(last_stop_retrying(false), Some(false));
}

/// Guards against delisting one worker after the other for late reads, which overloads the rest.
#[test]
fn in_a_full_fleet_a_read_lag_does_not_delist() {
    let becomes_unhealthy = |retry: bool, read_delay_s: f64| {
        let mut worker = Harness::new(settings());
        let mut became_unhealthy = false;
        for id in 1..=70 {
            worker.now += 0.1;
            let read_delay_s = if id <= 10 { 0.0 } else { read_delay_s };
            let id = RequestId(id);
            let actions = worker.handle(Event::Arrived(Arrival {
                id,
                memory_kb: 10.0,
                read_delay_s,
                retry,
                ..Arrival::default()
            }));
            became_unhealthy |= actions.contains(&Action::Health(false));
        }
        became_unhealthy
    };
    assert!(becomes_unhealthy(false, 2.5), "late reads without retries are a fault of this worker alone");
    assert!(!becomes_unhealthy(true, 2.5), "retries show that other workers reject too");
    assert!(!becomes_unhealthy(true, 6.0), "the worker is delisted for a read delay of 6 s");
}
