//! Leases of workers that are killed, suspended, partitioned, drained or hot restarted.

use super::common::{is_exactly, FleetUnderTest};
use std::time::{Duration, Instant};
use testbed::fleet::session_load::SessionLoad;
use testbed::fleet::task_log::TaskCall;

#[test]
fn lease_of_a_killed_holder_moves_to_another_worker() {
    let mut fleet = FleetUnderTest::start();
    let holder = fleet.lease_holder("report");
    fleet.rig.kill(&holder).unwrap();
    fleet.wait_other_holder("report", &holder);
    fleet.rig.restart(&holder).unwrap();
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

#[test]
fn holder_suspended_beyond_its_lease_does_not_act_when_resumed() {
    let mut fleet = FleetUnderTest::start();
    let holder = fleet.lease_holder("report");
    let token = fleet.accepted_calls("report").pop().unwrap().token;
    fleet.rig.pause(&holder).unwrap();
    fleet.wait_other_holder("report", &holder);
    fleet.rig.resume(&holder).unwrap();
    fleet.wait_all_tasks(4);
    // Calls that were in transit when the holder was suspended may arrive late; they must be rejected.
    let late = |call: &&testbed::fleet::task_log::TaskCall| call.accepted && call.token == token;
    let calls = fleet.accepted_calls("report");
    let first_after = calls.iter().find(|call| call.token > token).unwrap().begin_ms;
    assert!(
        !calls.iter().filter(late).any(|call| call.begin_ms > first_after),
        "the suspended holder carried out a call with its old token"
    );
    fleet.assert_no_violations();
}

#[test]
fn lease_of_a_partitioned_holder_moves_to_another_worker() {
    let mut fleet = FleetUnderTest::start();
    let all = fleet.rig.coordinators();
    // In turn, the responses to the holder's renewals are held back, then the renewals, then both.
    for direction in ["down", "up", "both"] {
        let holder = fleet.lease_holder("refresh");
        for c in &all {
            match direction {
                "down" => fleet.rig.set_partition(c, &holder, true, true).unwrap(),
                "up" => fleet.rig.set_partition(&holder, c, true, true).unwrap(),
                _ => fleet.rig.set_partition(&holder, c, false, true).unwrap(),
            }
        }
        fleet.wait_other_holder("refresh", &holder);
        fleet.assert_all_serve();
        for c in &all {
            fleet.rig.set_partition(&holder, c, false, false).unwrap();
        }
        fleet.wait_task_calls("refresh", 2);
    }
    fleet.assert_no_violations();
}

#[test]
fn free_lease_is_granted_to_one_of_three_hundred_waiting_sessions() {
    let fleet = FleetUnderTest::start_with_a_free_lease();
    let mut sessions = SessionLoad::new(300, "story", &fleet.rig.coordinator_addresses(), &["wanted"]);
    let wait = |sessions: &mut SessionLoad, expected: &str, condition: &dyn Fn(&SessionLoad) -> bool| {
        let deadline = Instant::now() + Duration::from_secs(40);
        while !condition(sessions) {
            sessions.turn();
            let holders = sessions.holders("wanted");
            assert!(holders.len() <= 1, "more than one holder of the lease: {holders:?}");
            assert!(Instant::now() < deadline, "{expected}: not within 40 s");
            std::thread::sleep(Duration::from_millis(2));
        }
    };
    wait(&mut sessions, "all sessions established", &SessionLoad::all_sessions_established);
    let mut before = None;
    for change in 1..=3 {
        wait(&mut sessions, "another holder", &|sessions| {
            sessions.holders("wanted").first().is_some_and(|holder| Some(*holder) != before)
        });
        assert_eq!(
            sessions.grants(),
            change,
            "the lease must be granted to one session, not to all that wait"
        );
        before = sessions.holders("wanted").first().copied();
        sessions.suspend(before.unwrap());
    }
}

#[test]
fn hot_restarted_holder_passes_its_lease_to_its_successor() {
    let mut fleet = FleetUnderTest::start();
    let holder = fleet.lease_holder("report");
    let token = fleet.accepted_calls("report").pop().unwrap().token;
    fleet.rig.replace(&holder).unwrap();
    fleet.wait("calls of its successor", |_| {
        fleet.accepted_calls("report").pop().filter(|call| call.token > token && call.holder == holder)
    });
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

/// Makes the next call of "report" begin now. Returns its holder and fencing token, and the number of calls carried out
/// before it.
fn begin_call(fleet: &mut FleetUnderTest) -> (String, u64, usize) {
    let holder = fleet.lease_holder("report");
    fleet.hold_task_calls(&holder, true);
    // Longer than a call and the pause after it, so that the call before has ended and the next one is in transit.
    std::thread::sleep(Duration::from_millis(1500));
    let calls = fleet.accepted_calls("report");
    fleet.hold_task_calls(&holder, false);
    (holder, calls.last().unwrap().token, calls.len())
}

fn first_call_after(fleet: &FleetUnderTest, token: u64) -> TaskCall {
    fleet.wait("a call under the next token", |_| {
        fleet.accepted_calls("report").into_iter().find(|call| call.token > token)
    })
}

/// Guards against a replaced process that exits during a scheduled call: the lease would not pass to its successor, but
/// expire and move to any worker.
#[test]
fn holder_replaced_during_a_call_ends_it_and_passes_its_lease_to_its_successor() {
    let mut fleet = FleetUnderTest::start_with_long_calls();
    let (holder, token, calls) = begin_call(&mut fleet);
    fleet.rig.replace(&holder).unwrap();
    assert_eq!(first_call_after(&fleet, token).holder, holder);
    // The call in flight was carried out, and its outcome is known.
    assert_eq!(fleet.accepted_calls("report")[calls].token, token);
    assert!(!fleet.log(&holder).contains("scheduled_call_failed task=report"), "{}", fleet.log(&holder));
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

/// Guards against a shutdown that cuts a scheduled call off, and whose lease is free only when it expires.
#[test]
fn holder_terminated_during_a_call_ends_it_and_releases_its_lease() {
    let mut fleet = FleetUnderTest::start_with_long_calls();
    let (holder, token, calls) = begin_call(&mut fleet);
    fleet.rig.terminate(&holder).unwrap();
    assert_ne!(first_call_after(&fleet, token).holder, holder);
    assert_eq!(fleet.accepted_calls("report")[calls].token, token);
    assert!(fleet.log(&holder).contains("lease_released task=report"), "{}", fleet.log(&holder));
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

/// Guards against a worker that accepts no leases any more after a hot restart that failed, before or after its successor
/// confirmed the takeover: with the other worker gone, nobody would carry the task out.
#[test]
fn worker_that_takes_its_listeners_back_carries_out_tasks_again() {
    let mut fleet = FleetUnderTest::start_with_two_workers();
    for is_confirmed in [false, true] {
        let holder = fleet.lease_holder("report");
        fleet.fail_takeover(&holder, is_confirmed);
        let other = fleet.rig.workers().into_iter().find(|name| *name != holder).unwrap();
        fleet.rig.kill(&other).unwrap();
        fleet.wait("calls of the worker that is left", |_| {
            let last = fleet.accepted_calls("report").pop()?;
            let holds = fleet.metric(&holder, "fleet.lease.report.token")? >= last.token as f64;
            (holds && last.holder == holder).then_some(())
        });
        fleet.wait_task_calls("report", 6);
        fleet.rig.restart(&other).unwrap();
    }
    fleet.assert_no_violations();
}

#[test]
fn drained_or_terminated_holder_releases_its_leases() {
    let mut fleet = FleetUnderTest::start();
    let holder = fleet.lease_holder("report");
    fleet.drain(&holder, true);
    let next = fleet.wait_other_holder("report", &holder);
    assert_eq!(fleet.metric(&holder, "fleet.lease.report.token"), None);
    fleet.drain(&holder, false);
    let start = Instant::now();
    fleet.rig.terminate(&next).unwrap();
    fleet.wait_other_holder("report", &next);
    // The worker releases its lease when it shuts down, so the lease moves before its time to live has passed. The bound
    // covers the shutdown and the move.
    assert!(start.elapsed() < Duration::from_secs(20));
    fleet.rig.restart(&next).unwrap();
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

#[test]
fn every_console_shows_fleet_totals_and_their_age() {
    let fleet = FleetUnderTest::start();
    for name in fleet.rig.workers() {
        fleet.wait(&format!("totals of six workers at {name}"), |_| {
            let (workers, age_s) =
                (fleet.metric(&name, "fleet.totals.workers")?, fleet.metric(&name, "fleet.totals.age_s")?);
            (is_exactly(workers, 6.0) && age_s < 10.0).then_some(())
        });
    }
}

/// Holds back a call of "report" in transit while its holder is suspended and another worker calls, and then delivers it.
/// Returns the suspended holder and its fencing token.
fn delay_task_call(fleet: &mut FleetUnderTest) -> (String, u64) {
    let holder = fleet.lease_holder("report");
    let token = fleet.accepted_calls("report").pop().unwrap().token;
    fleet.hold_task_calls(&holder, true);
    // Longer than the task's period of 0.4 s, so that a call is in transit.
    std::thread::sleep(Duration::from_millis(700));
    fleet.rig.pause(&holder).unwrap();
    fleet.wait_other_holder("report", &holder);
    fleet.hold_task_calls(&holder, false);
    fleet.rig.resume(&holder).unwrap();
    (holder, token)
}

#[test]
fn delayed_call_with_an_old_token_is_rejected() {
    let mut fleet = FleetUnderTest::start();
    let (_, token) = delay_task_call(&mut fleet);
    fleet.wait("the rejected late call", |rig| {
        rig.task_calls()
            .into_iter()
            .find(|call| call.task == "report" && call.token == token && !call.accepted)
    });
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

/// Shows that the tests of fencing can fail: if every token is accepted, the same check finds a suspended holder's late call.
#[test]
fn late_call_without_fencing_is_found_by_the_review() {
    let mut fleet = FleetUnderTest::start_without_fencing();
    delay_task_call(&mut fleet);
    fleet.wait("the violation", |rig| {
        testbed::fleet::task_log::find_violations(&rig.task_calls())
            .iter()
            .any(|violation| violation.contains("token decreases"))
            .then_some(())
    });
}
