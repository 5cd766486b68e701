use super::{ExperimentError, FleetFileError, TestbedError};
use crate::experiment::Experiment;
use crate::fleet::rig::FleetFile;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn missing() -> io::Error {
    io::Error::from_raw_os_error(2)
}

#[test]
fn system_errors_name_their_subject() {
    let file = TestbedError::file(Path::new("/nowhere/fleet.json"))(missing());
    assert_eq!(file.to_string(), "/nowhere/fleet.json: No such file or directory (os error 2)");
    let component = TestbedError::component("relay")(missing());
    assert_eq!(component.to_string(), "relay: No such file or directory (os error 2)");
    let peer = TestbedError::peer(([127, 0, 0, 1], 9).into())(missing());
    assert_eq!(peer.to_string(), "127.0.0.1:9: No such file or directory (os error 2)");
    assert_eq!(TestbedError::from(missing()).to_string(), "No such file or directory (os error 2)");
}

#[test]
fn fleet_error_lines_are_unchanged() {
    let name = || "w1".to_owned();
    let lines = [
        (TestbedError::UnknownProcess { name: name() }, "there is no w1"),
        (TestbedError::NotRunning { name: name() }, "w1 does not run"),
        (TestbedError::Running { name: name() }, "w1 runs"),
        (TestbedError::DidNotEnd { name: name() }, "w1 did not end"),
        (TestbedError::DidNotStart { name: name() }, "w1 did not come up"),
        (TestbedError::NoAddress { name: name(), found: "x".to_owned() }, "w1 says \"x\""),
        (TestbedError::SuccessorNotReady { name: name() }, "w1: its successor did not get ready"),
        (TestbedError::NoLink { from: name(), to: "c1".to_owned() }, "there is no link from w1 to c1"),
        (
            TestbedError::NotConnected { from: name(), to: "w2".to_owned() },
            "w1 and w2 do not speak to each other",
        ),
        (TestbedError::UnknownFault { words: "melt w1".to_owned() }, "melt w1: not a fault"),
        (
            TestbedError::NotBuilt { program: PathBuf::from("t/port-worker") },
            "t/port-worker: not built; run cargo build --workspace",
        ),
        (
            TestbedError::TimedOut { what: "a leader".to_owned(), limit: Duration::from_secs(30) },
            "a leader: not within 30s",
        ),
        (TestbedError::Missing("leader"), "no leader"),
        (TestbedError::ThreadFailed { owner: "the console" }, "the console's thread ended badly"),
        (TestbedError::Panicked { what: "lane" }, "a lane panicked"),
        (TestbedError::GuaranteeBroken(vec!["a".to_owned(), "b".to_owned()]), "a; b"),
    ];
    for (error, line) in lines {
        assert_eq!(error.to_string(), line);
    }
}

#[test]
fn out_of_range_value_error_names_the_key() {
    let fleet = FleetFile::decode("fleet = \"f\"\ncoordinators = 4\nworkers = 1\n");
    assert!(matches!(fleet, Err(FleetFileError::CoordinatorCount { found: 4 })));
    assert_eq!(fleet.unwrap_err().to_string(), "coordinators is 4; expected 1, 3, 5, 7 or 9");
    let text = include_str!("../../experiments/console.toml").replacen("load = ", "load = -", 1);
    let experiment = Experiment::decode(&text);
    assert!(matches!(experiment, Err(ExperimentError::NotPositive { .. })));
    assert!(experiment.unwrap_err().to_string().starts_with("load is -"));
}
