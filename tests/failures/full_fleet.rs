//! Overload of the whole fleet.

use crate::harness::{settings, Harness};
use port_worker::{Action, Arrival, Event, RequestId, Settings};

/// Workers that read late were delisted one by one where no retry carries a mark.
#[test]
fn without_retry_marks_a_flood_of_arrivals_means_a_full_fleet() {
    let play = |every: f64| {
        let mut worker = Harness::new(Settings { marks_retries: false, ..settings() });
        let (mut bad, mut last) = (false, None);
        for id in 1..=100 {
            worker.now += every;
            let read_delay_s = if id < 60 { 0.0 } else { 2.5 };
            let out = worker.handle(Event::Arrived(Arrival {
                id: RequestId(id),
                memory_kb: 1.0,
                read_delay_s,
                ..Arrival::default()
            }));
            bad |= out.contains(&Action::Health(false));
            last = out
                .iter()
                .find_map(|a| {
                    if let Action::Reject { stop_retrying, .. } = a {
                        Some(*stop_retrying)
                    } else {
                        None
                    }
                })
                .or(last);
        }
        (bad, last)
    };
    assert_eq!(play(0.05), (false, Some(true)), "twenty a second on two cores, half a second each");
    assert_eq!(play(0.5), (true, Some(false)), "a fault of this worker alone");
}

/// In a retry storm rejections say that no other worker helps.
#[test]
fn many_retries_make_rejections_final() {
    let last = |retry: bool| {
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
    assert_eq!(last(true), Some(true));
    assert_eq!(last(false), Some(false));
}

/// Workers that read late were delisted one by one, and the rest was overloaded.
#[test]
fn in_a_full_fleet_a_read_lag_does_not_delist() {
    let health = |retry: bool, read_delay_s: f64| {
        let mut worker = Harness::new(settings());
        let mut bad = false;
        for id in 1..=70 {
            worker.now += 0.1;
            let read_delay_s = if id <= 10 { 0.0 } else { read_delay_s };
            let id = RequestId(id);
            let out = worker.handle(Event::Arrived(Arrival {
                id,
                memory_kb: 10.0,
                read_delay_s,
                retry,
                ..Arrival::default()
            }));
            bad |= out.contains(&Action::Health(false));
        }
        bad
    };
    assert!(health(false, 2.5), "a fault of this worker alone");
    assert!(!health(true, 2.5), "others reject as well");
    assert!(!health(true, 6.0), "however late");
}
