//! Coordinators that are killed, partitioned, restarted, run out of disk space, or lose their disks.

use super::common::{FleetUnderTest, TASKS};
use fleet_coordinator::client::{query_leader, QueryOutcome};
use port_worker::fleet::frame::OperatorQuery;
use std::time::{Duration, Instant};

#[test]
fn killed_leader_is_replaced_and_lease_holders_stay() {
    let mut fleet = FleetUnderTest::start();
    let leader = fleet.leader();
    let holders = TASKS.map(|task| fleet.lease_holder(task));
    fleet.rig.kill(&leader).unwrap();
    fleet.wait_all_tasks(4);
    assert_ne!(fleet.leader(), leader);
    assert_eq!(
        TASKS.map(|task| fleet.lease_holder(task)),
        holders,
        "a change of leader must not change holders"
    );
    fleet.rig.restart(&leader).unwrap();
    fleet.wait_member_status(&leader, "member");
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

#[test]
fn lost_quorum_stops_tasks_but_not_serving_until_it_is_back() {
    let mut fleet = FleetUnderTest::start();
    let (leader, follower) = (fleet.leader(), fleet.follower());
    fleet.rig.kill(&leader).unwrap();
    fleet.rig.kill(&follower).unwrap();
    // Without a quorum no coordinator begins a period of a task. Calls whose period began before have ended by now.
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.rig.task_calls().len();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.rig.task_calls().len(), before, "a task was called without a quorum");
    fleet.assert_all_serve();
    let asked = query_leader(
        &fleet.rig.coordinator_addresses(),
        "story",
        &OperatorQuery::Leases,
        Duration::from_millis(300),
    );
    assert!(matches!(asked, QueryOutcome::NoQuorum(_)), "{asked:?}");
    fleet.rig.restart(&leader).unwrap();
    fleet.rig.restart(&follower).unwrap();
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

#[test]
fn leader_in_a_minority_renews_no_lease() {
    let mut fleet = FleetUnderTest::start();
    let leader = fleet.leader();
    for other in fleet.rig.coordinators().into_iter().filter(|c| *c != leader) {
        fleet.rig.set_partition(&leader, &other, false, true).unwrap();
    }
    fleet.wait("another leader", |rig| {
        let mut others = rig.coordinators().into_iter().filter(|c| *c != leader);
        others.find(|c| fleet.status(c).is_some_and(|s| s["leads"] == true))
    });
    fleet.wait_all_tasks(4);
    for other in fleet.rig.coordinators().into_iter().filter(|c| *c != leader) {
        fleet.rig.set_partition(&leader, &other, false, false).unwrap();
    }
    fleet.wait("one leader", |_| fleet.status(&leader).filter(|s| s["leads"] == false));
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

#[test]
fn leader_with_a_full_disk_is_suspended_until_space_is_free() {
    let mut fleet = FleetUnderTest::start();
    let leader = fleet.leader();
    fleet.rig.fill(&leader, true).unwrap();
    let full = Instant::now();
    let why = fleet.wait_member_status(&leader, "aside");
    assert!(why.contains("append") || why.contains("create"), "{why}");
    // The next log write is due within a task's period, and it fails immediately.
    assert!(
        full.elapsed() < Duration::from_secs(10),
        "suspended {:?} after its disk was full; expected less than 10 s",
        full.elapsed()
    );
    fleet.wait_all_tasks(3);
    assert_ne!(fleet.leader(), leader);
    fleet.rig.fill(&leader, false).unwrap();
    fleet.wait_member_status(&leader, "member");
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

#[test]
fn quorum_survives_two_of_five_full_disks_and_not_three() {
    let mut fleet = FleetUnderTest::start_with_five_coordinators();
    let leader = fleet.leader();
    let full: Vec<String> = fleet.rig.coordinators().into_iter().filter(|c| *c != leader).take(2).collect();
    for c in &full {
        fleet.rig.fill(c, true).unwrap();
    }
    for c in &full {
        drop(fleet.wait_member_status(c, "aside"));
    }
    fleet.wait_all_tasks(3);
    fleet.rig.fill(&leader, true).unwrap();
    fleet.wait_member_status(&leader, "aside");
    let asked = query_leader(
        &fleet.rig.coordinator_addresses(),
        "story",
        &OperatorQuery::Leases,
        Duration::from_millis(300),
    );
    assert!(matches!(asked, QueryOutcome::NoQuorum(_)), "{asked:?}");
    fleet.assert_all_serve();
    // Longer than every time to live: leases renewed before have expired.
    std::thread::sleep(Duration::from_millis(3500));
    let before = fleet.rig.task_calls().len();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(fleet.rig.task_calls().len(), before, "a task was called without a quorum");
    // Free space on one of the three is enough.
    fleet.rig.fill(&full[0], false).unwrap();
    fleet.wait_member_status(&full[0], "member");
    fleet.wait_all_tasks(3);
    for name in [&full[1], &leader] {
        fleet.rig.fill(name, false).unwrap();
        fleet.wait_member_status(name, "member");
    }
    fleet.assert_no_violations();
}

#[test]
fn rolling_coordinator_restart_loses_nothing() {
    let mut fleet = FleetUnderTest::start();
    for name in fleet.rig.coordinators() {
        fleet.rig.terminate(&name).unwrap();
        fleet.rig.restart(&name).unwrap();
        fleet.wait_member_status(&name, "member");
        fleet.leader();
    }
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

#[test]
fn coordinators_killed_together_recover_all_acknowledged_tokens() {
    let mut fleet = FleetUnderTest::start();
    let before: Vec<u64> = TASKS.iter().map(|t| fleet.accepted_calls(t).pop().unwrap().token).collect();
    let all = fleet.rig.coordinators();
    for c in &all {
        fleet.rig.kill(c).unwrap();
    }
    for c in &all {
        fleet.rig.restart(c).unwrap();
    }
    fleet.wait_all_tasks(3);
    for (task, token) in TASKS.iter().zip(before) {
        assert!(fleet.accepted_calls(task).pop().unwrap().token >= token, "{task}: the token decreased");
    }
    fleet.assert_no_violations();
}

#[test]
fn new_protocol_version_starts_when_every_coordinator_has_it() {
    // Task periods exist since version 2: while one coordinator lacks it, leases are held but no task is called.
    let mut fleet = FleetUnderTest::start_with_mixed_versions();
    fleet.lease_holder("report");
    let leader = fleet.leader();
    assert_eq!(fleet.status(&leader).unwrap()["version"], 1);
    assert_eq!(fleet.rig.task_calls(), vec![]);
    fleet.rig.file.older.clear();
    fleet.rig.terminate("c3").unwrap();
    fleet.rig.restart("c3").unwrap();
    fleet.wait_all_tasks(4);
    fleet.assert_no_violations();
}

#[test]
fn coordinator_with_a_lost_disk_rejoins_only_by_replace_command() {
    let mut fleet = FleetUnderTest::start();
    let lost = fleet.follower();
    fleet.rig.kill(&lost).unwrap();
    fleet.rig.wipe(&lost).unwrap();
    fleet.rig.restart(&lost).unwrap();
    let why = fleet.wait("the coordinator reports its lost disk", |_| {
        let status = fleet.status(&lost).filter(|s| s["standing"] == "blank")?;
        status["why"].as_str().filter(|w| w.contains("held the log up to")).map(str::to_owned)
    });
    assert!(why.starts_with("the disk is empty"), "{why}");
    let replace = OperatorQuery::Replace { coordinator: lost.clone() };
    let asked = query_leader(&fleet.rig.coordinator_addresses(), "story", &replace, Duration::from_secs(5));
    assert!(matches!(&asked, QueryOutcome::Answer(a) if a["member"] == 4), "{asked:?}");
    fleet.wait_member_status(&lost, "member");
    fleet.wait("the new member votes", |_| {
        fleet.status(&lost).filter(|s| s["voters"].as_array().is_some_and(|v| v.contains(&4.into())))
    });
    // The new member counts towards the quorum, so another coordinator may be lost.
    let other = fleet.rig.coordinators().into_iter().find(|c| *c != lost && *c != fleet.leader()).unwrap();
    fleet.rig.kill(&other).unwrap();
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

#[test]
fn coordinator_with_an_outdated_disk_is_excluded() {
    let mut fleet = FleetUnderTest::start();
    let old = fleet.follower();
    fleet.rig.kill(&old).unwrap();
    let (folder, copy) = (fleet.rig.folder.join(&old), fleet.rig.folder.join("outdated-copy"));
    std::fs::rename(&folder, &copy).unwrap();
    std::fs::create_dir_all(&folder).unwrap();
    for entry in std::fs::read_dir(&copy).unwrap().flatten() {
        std::fs::copy(entry.path(), folder.join(entry.file_name())).unwrap();
    }
    let end = fleet.status(&fleet.leader()).unwrap()["last"].as_u64().unwrap();
    fleet.rig.restart(&old).unwrap();
    fleet.wait_member_status(&old, "member");
    fleet.wait_persisted(&old, end);
    fleet.rig.kill(&old).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::rename(&copy, &folder).unwrap();
    fleet.rig.restart(&old).unwrap();
    let why = fleet.wait_member_status(&old, "barred");
    assert!(why.contains("its disk is older than it was"), "{why}");
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}

#[test]
fn links_reset_in_mid_frame_lose_nothing() {
    let mut fleet = FleetUnderTest::start();
    let names: Vec<String> = fleet.rig.coordinators().into_iter().chain(fleet.rig.workers()).collect();
    for _ in 0..5 {
        for c in fleet.rig.coordinators() {
            for name in &names {
                fleet.rig.reset(name, &c);
            }
        }
        fleet.wait_task_calls("refresh", 1);
    }
    fleet.wait_all_tasks(3);
    fleet.assert_no_violations();
}

#[test]
fn connection_with_malformed_frames_is_closed_without_a_reply() {
    use std::io::{Read, Write};
    let fleet = FleetUnderTest::start();
    let at = fleet.rig.address(&fleet.leader()).unwrap();
    for bytes in [
        &b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"[..],
        &[0xff; 64],
        &[0, 0, 0, 2, b'{', b'}'],
        &[0, 0, 0x40, 1, 0],
    ] {
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(bytes).unwrap();
        let mut end = Vec::new();
        // The connection is closed, with or without a reset, and never answered.
        let _ = stream.read_to_end(&mut end);
        assert!(end.is_empty(), "{bytes:?}: {end:?}");
    }
    fleet.wait_all_tasks(2);
    fleet.assert_no_violations();
}
