//! Compares the log lines of a lost and reacquired lease and of leader changes with the fixture
//! `tests/fixtures/log/fleet.txt`. Values that differ between runs (times, addresses, numbers, names of coordinators) are
//! masked.
//!
//! Which coordinator logs what, and in which order, also differs between runs. So each line of the fixture must have been
//! logged by some process of its kind; other lines are allowed. To record the fixture again, run with
//! `UPDATE_OUTPUT_FIXTURES=1`, review the difference, and remove lines that do not appear in every run. Such a run fails,
//! since it compares nothing.

use super::common::FleetUnderTest;
use std::collections::BTreeSet;
use std::path::Path;

const UPDATE_VARIABLE: &str = "UPDATE_OUTPUT_FIXTURES";
const FIXTURE: &str = "tests/fixtures/log/fleet.txt";

/// Masks the time, numbers, and names of coordinators; numbers inside other names, like `w1`, stay.
fn mask_line(line: &str) -> String {
    let (_time, text) = line.split_once(' ').expect("a time and a text");
    let mut masked = String::from("<time> ");
    let mut rest = text;
    while let Some(start) = rest.find(|c: char| c.is_ascii_alphanumeric()) {
        let word = &rest[start..];
        let word = &word[..word.find(|c: char| !c.is_ascii_alphanumeric()).unwrap_or(word.len())];
        masked.push_str(&rest[..start]);
        let is_number = word.chars().all(|c| c.is_ascii_digit());
        let is_coordinator = matches!(word, "c1" | "c2" | "c3");
        masked.push_str(match word {
            _ if is_number => "<n>",
            _ if is_coordinator => "<coordinator>",
            word => word,
        });
        rest = &rest[start + word.len()..];
    }
    masked + rest
}

fn masked_lines(fleet: &FleetUnderTest, names: &[String]) -> BTreeSet<String> {
    let logs: Vec<String> = names.iter().map(|name| fleet.log(name)).collect();
    logs.iter().flat_map(|log| log.lines()).map(mask_line).collect()
}

/// Cuts every link between this process and these coordinators, or heals them.
fn set_partitions(fleet: &mut FleetUnderTest, name: &str, coordinators: &[String], partitioned: bool) {
    for coordinator in coordinators {
        fleet.rig.set_partition(name, coordinator, false, partitioned).unwrap();
    }
}

#[test]
fn lease_and_leader_changes_log_the_recorded_lines() {
    let mut fleet = FleetUnderTest::start_with_two_workers();
    let (coordinators, workers) = (fleet.rig.coordinators(), fleet.rig.workers());
    // The holder is partitioned until the other worker holds its lease.
    let holder = fleet.lease_holder("report");
    set_partitions(&mut fleet, &holder, &coordinators, true);
    fleet.wait_other_holder("report", &holder);
    set_partitions(&mut fleet, &holder, &coordinators, false);
    fleet.wait("the lease is lost", |_| fleet.log(&holder).contains("lease_lost task=report").then_some(()));
    // A leader in a minority is replaced by another, and learns this when the partition heals.
    let leader = fleet.leader();
    let others: Vec<String> = coordinators.iter().filter(|c| **c != leader).cloned().collect();
    set_partitions(&mut fleet, &leader, &others, true);
    fleet.wait("another leader", |_| {
        others.iter().find(|c| fleet.status(c).is_some_and(|s| s["leads"] == true)).cloned()
    });
    set_partitions(&mut fleet, &leader, &others, false);
    fleet.wait("one leader", |_| fleet.status(&leader).filter(|s| s["leads"] == false));
    fleet.wait_task_calls("report", 2);
    // Workers that shut down release their leases.
    for worker in &workers {
        fleet.rig.terminate(worker).unwrap();
    }

    let worker = masked_lines(&fleet, &workers);
    let coordinator = masked_lines(&fleet, &coordinators);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(FIXTURE);
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        let list = |kind: &str, lines: &BTreeSet<String>| {
            lines.iter().fold(String::new(), |text, line| text + kind + " " + line + "\n")
        };
        let text = list("coordinator", &coordinator) + &list("worker", &worker);
        std::fs::write(path, text).unwrap();
        panic!("{FIXTURE} was written; run again without {UPDATE_VARIABLE}");
    }
    for expected in std::fs::read_to_string(path).unwrap().lines() {
        let (kind, line) = expected.split_once(' ').unwrap();
        let logged = if kind == "worker" { &worker } else { &coordinator };
        assert!(logged.contains(line), "no {kind} logged {line:?}; there is {logged:#?}");
    }
}
