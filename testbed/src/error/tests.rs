use super::{ExperimentError, FleetFileError, TestbedError};
use crate::experiment::Experiment;
use crate::fleet::rig::FleetFile;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn not_found() -> io::Error {
    io::Error::from_raw_os_error(2)
}

#[test]
fn system_errors_name_their_subject() {
    let file = TestbedError::file(Path::new("/nowhere/fleet.json"))(not_found());
    assert_eq!(file.to_string(), "/nowhere/fleet.json: No such file or directory (os error 2)");
    let component = TestbedError::component("relay")(not_found());
    assert_eq!(component.to_string(), "relay: No such file or directory (os error 2)");
    let peer = TestbedError::peer(([127, 0, 0, 1], 9).into())(not_found());
    assert_eq!(peer.to_string(), "127.0.0.1:9: No such file or directory (os error 2)");
    assert_eq!(TestbedError::from(not_found()).to_string(), "No such file or directory (os error 2)");
}

#[test]
fn each_fleet_error_displays_as_its_line() {
    let name = || "w1".to_owned();
    let limit = Duration::from_secs(20);
    let lines = [
        (TestbedError::UnknownProcess { name: name() }, "unknown process: w1"),
        (TestbedError::NotRunning { name: name() }, "w1 is not running"),
        (TestbedError::Running { name: name() }, "w1 is running; stop it first"),
        (TestbedError::DidNotEnd { name: name(), limit }, "w1 did not exit within 20s of SIGTERM"),
        (TestbedError::DidNotStart { name: name(), limit }, "w1 did not announce its address within 20s"),
        (
            TestbedError::NoAddress { name: name(), found: "x".to_owned() },
            "w1 announced an invalid address: \"x\"",
        ),
        (TestbedError::SuccessorNotReady { name: name(), limit }, "w1: the successor did not become ready within 20s"),
        (TestbedError::NoLink { from: name(), to: "c1".to_owned() }, "no link from w1 to c1"),
        (TestbedError::NotConnected { from: name(), to: "w2".to_owned() }, "no link between w1 and w2"),
        (
            TestbedError::UnknownFault { words: "melt w1".to_owned() },
            "unknown fault: melt w1; expected cut A B [--one-way], heal A B, or pause, resume, kill, start, fill, free NAME",
        ),
        (
            TestbedError::NotBuilt { program: PathBuf::from("t/port-worker") },
            "t/port-worker: not built; run cargo build --workspace",
        ),
        (
            TestbedError::TimedOut { condition: "a leader".to_owned(), limit: Duration::from_secs(30) },
            "timed out after 30s: a leader",
        ),
        (TestbedError::Missing("leader"), "missing leader"),
        (TestbedError::ThreadFailed { owner: "console" }, "the console thread panicked"),
        (TestbedError::Panicked { kind: "lane" }, "a lane thread panicked"),
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
