//! The command-line interface that operators' scripts depend on: help texts, exit statuses, and messages on stderr.

use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};

/// A program under test, and the name in its messages.
struct Program {
    path: &'static str,
    name: &'static str,
}

const COORDINATOR: Program =
    Program { path: env!("CARGO_BIN_EXE_fleet-coordinator"), name: "fleet-coordinator" };
const FLEETCTL: Program = Program { path: env!("CARGO_BIN_EXE_fleetctl"), name: "fleetctl" };
/// Environment variables that replace arguments.
const ENV_VARIABLES: [&str; 2] = ["HONEYPOST_COORDINATORS", "HONEYPOST_FLEET"];

const STATUS_REJECTED: i32 = 1;
const STATUS_CANNOT_START: i32 = 2;
const STATUS_NO_QUORUM: i32 = 3;

fn run(program: &Program, arguments: &[&str]) -> Output {
    let mut command = Command::new(program.path);
    command.args(arguments).env_remove("RUST_LOG");
    for variable in ENV_VARIABLES {
        command.env_remove(variable);
    }
    command.output().unwrap()
}

/// A program's help text, followed by those of its subcommands.
fn help_texts(program: &Program, subcommands: &[&str]) -> String {
    let mut text = String::new();
    for arguments in std::iter::once(vec!["--help"]).chain(subcommands.iter().map(|s| vec![*s, "--help"])) {
        let output = run(program, &arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(output.stderr.is_empty(), "{arguments:?}");
        writeln!(text, "$ {} {}", program.name, arguments.join(" ")).unwrap();
        text.push_str(std::str::from_utf8(&output.stdout).unwrap());
    }
    text
}

/// Asserts that the program exits with this status, prints exactly `expected` on stderr, and prints nothing on stdout.
fn assert_fails(program: &Program, arguments: &[&str], status: i32, expected: &str) {
    let output = run(program, arguments);
    assert_eq!(std::str::from_utf8(&output.stderr).unwrap(), expected, "{arguments:?}");
    assert_eq!(output.status.code(), Some(status), "{arguments:?}");
    assert!(output.stdout.is_empty(), "{arguments:?}");
}

/// An error line with the program's name as its prefix.
fn error_line(program: &Program, message: &str) -> String {
    format!("{}: {message}\n", program.name)
}

/// A loopback address on which no process listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// Runs `fleetctl` against a mock coordinator that answers one query with this body. Returns the query and the output.
fn query_mock_coordinator(arguments: &[&str], answer: &'static str) -> (String, Output) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let coordinator = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut query = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut query).unwrap();
        stream.write_all(&(answer.len() as u32).to_be_bytes()).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8(query).unwrap()
    });
    let mut all_arguments = vec!["--coordinators", address.as_str()];
    all_arguments.extend(arguments);
    let output = run(&FLEETCTL, &all_arguments);
    (coordinator.join().unwrap(), output)
}

#[test]
fn help_texts_are_unchanged() {
    assert_eq!(help_texts(&COORDINATOR, &[]), include_str!("fixtures/coordinator-help.txt"));
    let subcommands = ["status", "members", "leases", "tasks", "overload", "pin", "replace"];
    assert_eq!(help_texts(&FLEETCTL, &subcommands), include_str!("fixtures/fleet-help.txt"));
}

#[test]
fn missing_argument_is_a_usage_error() {
    let usage = |missing: &str, usage: &str| {
        format!("error: the following required arguments were not provided:\n  {missing}\n\nUsage: {usage}\n\nFor more information, try '--help'.\n")
    };
    let (coordinator, fleet) = (COORDINATOR.name, FLEETCTL.name);
    let expected = usage("--config <CONFIG>", &format!("{coordinator} --config <CONFIG>"));
    assert_fails(&COORDINATOR, &[], STATUS_CANNOT_START, &expected);
    let coordinators = "--coordinators <COORDINATORS>";
    let expected = usage(coordinators, &format!("{fleet} {coordinators} <COMMAND>"));
    assert_fails(&FLEETCTL, &["status"], STATUS_CANNOT_START, &expected);
    let expected = usage("<COORDINATOR>", &format!("{fleet} {coordinators} replace <COORDINATOR>"));
    assert_fails(&FLEETCTL, &["--coordinators", "127.0.0.1:1", "replace"], STATUS_CANNOT_START, &expected);
}

#[test]
fn invalid_argument_value_is_reported_with_one_line_or_the_usage_hint() {
    let expected = error_line(&FLEETCTL, "--wait is 3601; expected 0 to 3600");
    assert_fails(
        &FLEETCTL,
        &["--coordinators", "127.0.0.1:1", "--wait", "3601", "status"],
        STATUS_CANNOT_START,
        &expected,
    );
    let expected = "error: invalid value 'c1' for '--coordinators <COORDINATORS>': invalid socket address syntax\n\nFor more information, try '--help'.\n";
    assert_fails(&FLEETCTL, &["--coordinators", "c1", "status"], STATUS_CANNOT_START, expected);
}

#[test]
fn invalid_configuration_file_is_reported_with_one_line() {
    let path = "/nowhere/coordinator.toml";
    let expected = error_line(&COORDINATOR, &format!("{path}: No such file or directory (os error 2)"));
    assert_fails(&COORDINATOR, &["--config", path], STATUS_CANNOT_START, &expected);

    let file = std::env::temp_dir().join(format!("coordinator-file-{}.toml", std::process::id()));
    let path = file.to_str().unwrap();
    let shipped = include_str!("../../deploy/coordinator.toml");
    fs::write(&file, shipped.replacen("epoch = 1", "epoch = 0", 1)).unwrap();
    let expected =
        error_line(&COORDINATOR, &format!("{path}: epoch is 0; expected 1 to 18446744073709551615"));
    assert_fails(&COORDINATOR, &["--config", path], STATUS_CANNOT_START, &expected);
    fs::remove_file(&file).unwrap();
}

#[test]
fn listen_address_in_use_is_reported_with_one_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let file = std::env::temp_dir().join(format!("coordinator-taken-{}.toml", std::process::id()));
    let text = format!(
        "fleet = 'f'\nname = 'a'\nfolder = '/nowhere'\nepoch = 1\n[[coordinator]]\nname = 'a'\naddress = '{address}'\n"
    );
    fs::write(&file, text).unwrap();
    let expected =
        error_line(&COORDINATOR, &format!("listen {address}: Address already in use (os error 98)"));
    assert_fails(&COORDINATOR, &["--config", file.to_str().unwrap()], STATUS_CANNOT_START, &expected);
    fs::remove_file(&file).unwrap();
}

#[test]
fn unreachable_coordinators_are_reported_as_missing_quorum() {
    let address = CLOSED_ADDRESS;
    let refused = format!("{address}: Connection refused (os error 111)");
    let expected = error_line(&FLEETCTL, &format!("no quorum within 0.2 s: {refused}"));
    assert_fails(
        &FLEETCTL,
        &["--coordinators", address, "--wait", "0.2", "leases"],
        STATUS_NO_QUORUM,
        &expected,
    );
    let status_rows = format!(r#"[{{"name":"{address}","standing":"silent","why":"{refused}"}}]"#);
    let expected = error_line(&FLEETCTL, &format!("no quorum within 0.2 s: {status_rows}"));
    assert_fails(
        &FLEETCTL,
        &["--coordinators", address, "--wait", "0.2", "status"],
        STATUS_NO_QUORUM,
        &expected,
    );
}

#[test]
fn response_is_printed_as_a_table_or_as_unchanged_json() {
    let answer = r#"{"word":"answer","answer":[{"held":null,"task":"totals","token":7},{"held":true,"task":"a","token":12}]}"#;
    let (query, output) = query_mock_coordinator(&["leases"], answer);
    assert_eq!(query, r#"{"say":"ask","fleet":"polderlijn","what":"leases"}"#);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        std::str::from_utf8(&output.stdout).unwrap(),
        "held  task    token\n-     totals  7\ntrue  a       12\n"
    );

    let (query, output) = query_mock_coordinator(&["--json", "--fleet", "f", "members"], answer);
    assert_eq!(query, r#"{"say":"ask","fleet":"f","what":"members"}"#);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        std::str::from_utf8(&output.stdout).unwrap(),
        concat!(r#"[{"held":null,"task":"totals","token":7},{"held":true,"task":"a","token":12}]"#, "\n")
    );
}

#[test]
fn rejected_query_is_reported_with_one_line_and_its_own_exit_status() {
    let cases: [(&[&str], &str); 3] = [
        (&["replace", "c2"], r#"{"replace":{"coordinator":"c2"}}"#),
        (&["pin", "2", "0.5", "--for", "30"], r#"{"pin":{"tier":2,"share":0.5,"for_s":30.0}}"#),
        (&["overload"], r#""overload""#),
    ];
    for (arguments, expected) in cases {
        let (query, output) = query_mock_coordinator(arguments, r#"{"word":"refused","why":"not now"}"#);
        assert_eq!(query, format!(r#"{{"say":"ask","fleet":"polderlijn","what":{expected}}}"#));
        assert_eq!(std::str::from_utf8(&output.stderr).unwrap(), error_line(&FLEETCTL, "refused: not now"));
        assert_eq!(output.status.code(), Some(STATUS_REJECTED), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}
