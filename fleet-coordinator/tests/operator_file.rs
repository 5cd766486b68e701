//! Compatibility of coordinator configuration files. The files shipped at commit c001dc7 are in the repository root's
//! `tests/fixtures/operator_files` and must be read with the same values. Tests never write there.

use fleet_coordinator::config::{ConfigFile, Overload};
use std::path::Path;

fn read(path: &str) -> ConfigFile {
    ConfigFile::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path)).unwrap()
}

fn file_with_every_key() -> String {
    let path = "../tests/fixtures/operator_files/coordinator_every_key.toml";
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

#[test]
fn shipped_file_and_its_first_version_have_the_same_values() {
    for path in ["tests/fixtures/operator_files/coordinator.toml", "deploy/coordinator.toml"] {
        let file = read(path);
        assert_eq!([&file.fleet, &file.name], ["polderlijn", "c1"]);
        assert_eq!(file.folder, Path::new("/var/lib/honeypost/c1"));
        assert_eq!((file.epoch, file.write_overdue_ms, file.version), (1, 1000, 2));
        assert_eq!(file.listen_address(), Some("127.0.0.1:7101".parse().unwrap()));
        let peers = file.coordinators.iter().map(|peer| (peer.name.as_str(), peer.address.port()));
        assert_eq!(peers.collect::<Vec<_>>(), [("c1", 7101), ("c2", 7102), ("c3", 7103)]);
        let [totals, report] = &file.tasks[..] else { panic!("expected 2 tasks, found {:?}", file.tasks) };
        assert_eq!((totals.name.as_str(), totals.ttl_ms, totals.backoff_ms), ("totals", 3000, 2000));
        assert!(totals.zones.is_empty());
        assert_eq!((report.name.as_str(), report.ttl_ms, report.backoff_ms), ("nightly-report", 3000, 2000));
        assert_eq!(report.zones, ["east"]);
        assert!(file.overload.is_none());
    }
}

#[test]
fn file_with_every_key_is_read_with_the_same_values() {
    let file = read("tests/fixtures/operator_files/coordinator_every_key.toml");
    assert_eq!((file.epoch, file.write_overdue_ms, file.version), (4, 750, 1));
    assert_eq!(file.listen_address(), Some("0.0.0.0:7201".parse().unwrap()));
    let task = &file.tasks[0];
    assert_eq!((task.name.as_str(), task.ttl_ms, task.backoff_ms), ("nightly-report", 2500, 1500));
    assert_eq!(task.zones, ["east", "west"]);
    let overload = file.overload.unwrap();
    assert_eq!((overload.calls_part, overload.retry_percent), (4.5, 12.5));
}

#[test]
fn missing_keys_have_defaults() {
    let file = read("tests/fixtures/operator_files/coordinator_needed_keys.toml");
    assert_eq!((file.write_overdue_ms, file.version), (1000, 2));
    assert_eq!(file.listen_address(), Some("127.0.0.1:7101".parse().unwrap()));
    let task = &file.tasks[0];
    assert_eq!((task.ttl_ms, task.backoff_ms, task.zones.len()), (3000, 2000, 0));
    assert_eq!(file.overload, Some(Overload { calls_part: 4.0, retry_percent: 10.0 }));
}

#[test]
fn unknown_key_in_any_table_is_rejected_by_name() {
    let text = file_with_every_key();
    let mut invalid = vec![format!("misspelt = 1\n{text}")];
    for header in text.lines().filter(|line| line.starts_with('[')) {
        invalid.push(text.replacen(header, &format!("{header}\nmisspelt = 1"), 1));
    }
    assert_eq!(invalid.len(), 4);
    for text in invalid {
        let error = ConfigFile::decode(&text).expect_err(&text).to_string();
        assert!(error.contains("unknown field `misspelt`"), "{error}");
    }
}
