//! The coordinator's configuration file: the shipped file's values, and the error messages for invalid files.

use fleet_coordinator::config::ConfigFile;
use fleet_coordinator::coordinator::CoordinatorAddress;
use fleet_coordinator::state_machine::LATEST_VERSION;
use std::path::Path;

const SHIPPED: &str = include_str!("../../deploy/coordinator.toml");

#[test]
fn shipped_file_decodes_to_its_values_and_defaults() {
    let file = ConfigFile::decode(SHIPPED).unwrap();

    assert_eq!(file.fleet, "polderlijn");
    assert_eq!(file.name, "c1");
    assert_eq!(file.folder, Path::new("/var/lib/honeypost/c1"));
    assert_eq!(file.listen, None);
    assert_eq!(file.listen_address().unwrap().to_string(), "127.0.0.1:7101");
    assert_eq!(file.epoch, 1);
    assert_eq!(file.write_overdue_ms, 1000);
    assert_eq!(file.version, LATEST_VERSION);
    let peers: Vec<_> =
        file.coordinators.iter().map(|peer| (peer.name.as_str(), peer.address.to_string())).collect();
    let expected = [("c1", "127.0.0.1:7101"), ("c2", "127.0.0.1:7102"), ("c3", "127.0.0.1:7103")];
    assert_eq!(peers, expected.map(|(name, address)| (name, address.to_owned())));
    assert_eq!(
        serde_json::to_string(&file.tasks).unwrap(),
        concat!(
            r#"[{"name":"totals","ttl_ms":3000,"zones":[],"pause_ms":2000},"#,
            r#"{"name":"nightly-report","ttl_ms":3000,"zones":["east"],"pause_ms":2000}]"#
        )
    );
    assert!(file.overload.is_none());
}

#[test]
fn every_key_is_read_and_reaches_the_coordinator_config() {
    let file = ConfigFile::decode(concat!(
        "fleet = 'f'\nname = 'a'\nfolder = '/data'\nlisten = '0.0.0.0:9'\nepoch = 7\n",
        "write_overdue_ms = 250\nversion = 1\n",
        "[[coordinator]]\nname = 'a'\naddress = '[::1]:1'\n",
        "[[task]]\nname = 't'\nttl_ms = 500\nzones = ['z1', 'z2']\npause_ms = 0\n",
        "[[task]]\nname = 'defaults'\n",
        "[overload]\ncalls_part = 4.0\nretry_percent = 25.0\n",
    ))
    .unwrap();

    assert_eq!(file.listen_address().unwrap().to_string(), "0.0.0.0:9");
    let overload = file.overload.unwrap();
    assert_eq!((overload.calls_part, overload.retry_percent), (4.0, 25.0));
    assert_eq!(
        serde_json::to_string(&file.tasks).unwrap(),
        concat!(
            r#"[{"name":"t","ttl_ms":500,"zones":["z1","z2"],"pause_ms":0},"#,
            r#"{"name":"defaults","ttl_ms":3000,"zones":[],"pause_ms":2000}]"#
        )
    );
    let config = file.coordinator_config();
    assert_eq!((config.fleet.as_str(), config.name.as_str(), config.epoch, config.version), ("f", "a", 7, 1));
    assert_eq!(
        config.coordinators,
        [CoordinatorAddress { name: "a".to_owned(), address: "[::1]:1".to_owned() }]
    );
    assert_eq!(config.tasks, file.tasks);
    let settings = config.overload.unwrap();
    assert_eq!((config.write_overdue_s, settings.base_calls, settings.retry_share), (0.25, 4.0, 0.25));
}

#[test]
fn shipped_overload_table_decodes_when_uncommented() {
    let text = SHIPPED
        .replace("#[overload]", "[overload]")
        .replace("#calls_part", "calls_part")
        .replace("#retry_percent", "retry_percent");
    let overload = ConfigFile::decode(&text).unwrap().overload.unwrap();
    assert_eq!((overload.calls_part, overload.retry_percent), (4.0, 10.0));
    let without_retry_percent = text.replace("retry_percent = 10.0", "");
    assert_eq!(
        ConfigFile::decode(&without_retry_percent).unwrap().overload,
        Some(overload),
        "retry_percent defaults to 10"
    );
}

#[test]
fn invalid_file_is_rejected_with_a_one_line_error() {
    let cases = [
        ("epoch = 1", "epock = 1", "line 7: unknown field `epock`, expected one of `fleet`, `name`, `folder`, `listen`, `epoch`, `write_overdue_ms`, `version`, `coordinator`, `task`, `overload`"),
        ("epoch = 1", "epoch = 0", "epoch is 0; expected 1 to 18446744073709551615"),
        ("epoch = 1", "", "line 1: missing field `epoch`"),
        ("epoch = 1", "epoch = \"one\"", "line 7: invalid type: string \"one\", expected u64"),
        ("write_overdue_ms = 1000", "write_overdue_ms = 10", "write_overdue_ms is 10; expected 50 to 60000"),
        ("name = \"c1\"  ", "name = \"c9\"  ", "name is \"c9\"; expected the name of a [[coordinator]]"),
        ("127.0.0.1:7102", "127.0.0.1:7101", "coordinator c2: duplicate name or address"),
        ("nightly-report", "totals", "task totals: duplicate name"),
        ("ttl_ms = 3000", "ttl_ms = 3", "task totals.ttl_ms is 3; expected 500 to 600000"),
        ("\"totals\"", "\"to tals\"", "task.name is \"to tals\"; expected 1 to 64 ASCII letters, digits, - _ or ."),
    ];
    for (from, to, expected) in cases {
        let text = SHIPPED.replacen(from, to, 1);
        assert_ne!(text, SHIPPED, "the shipped file does not contain {from}");
        assert_eq!(ConfigFile::decode(&text).unwrap_err().to_string(), expected);
    }
}

#[test]
fn unreadable_file_is_named_in_the_error() {
    let error = ConfigFile::read(Path::new("/nowhere/coordinator.toml")).unwrap_err().to_string();
    assert_eq!(error, "/nowhere/coordinator.toml: No such file or directory (os error 2)");
}
