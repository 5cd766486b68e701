//! The command line: help texts, exit statuses, and error lines on stderr.

use std::fmt::Write;
use std::fs;
use std::process::{Command, Output};

/// Path of the program under test, and its name in messages.
const PATH: &str = env!("CARGO_BIN_EXE_testbed");
const NAME: &str = "testbed";

const SUBCOMMANDS: [&str; 11] = [
    "run",
    "limits",
    "fleet",
    "fault",
    "campaign",
    "process-campaign",
    "fleet-cost",
    "fleet-overhead",
    "storm",
    "compatibility",
    "sim",
];
const EXIT_UNUSABLE: i32 = 2;

fn run(arguments: &[&str]) -> Output {
    Command::new(PATH).args(arguments).output().unwrap()
}

/// Runs the program with arguments that it must reject: exit status 2, nothing on stdout, `expected` on stderr.
fn assert_unusable(arguments: &[&str], expected: &str) {
    let output = run(arguments);
    assert_eq!(std::str::from_utf8(&output.stderr).unwrap(), expected, "{arguments:?}");
    assert_eq!(output.status.code(), Some(EXIT_UNUSABLE), "{arguments:?}");
    assert!(output.stdout.is_empty(), "{arguments:?}");
}

#[test]
fn help_texts_match_the_fixture() {
    let mut text = String::new();
    for arguments in std::iter::once(vec!["--help"]).chain(SUBCOMMANDS.iter().map(|s| vec![*s, "--help"])) {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(output.stderr.is_empty(), "{arguments:?}");
        let _ = writeln!(text, "$ {NAME} {}", arguments.join(" "));
        text.push_str(std::str::from_utf8(&output.stdout).unwrap());
    }
    assert_eq!(text, include_str!("fixtures/help.txt"));
}

/// The subcommand was renamed; its former name stays as an alias for scripts that use it.
#[test]
fn former_name_of_fleet_overhead_is_an_alias() {
    let (former, current) = (run(&["fleet-harm", "--help"]), run(&["fleet-overhead", "--help"]));
    assert_eq!(former.status.code(), Some(0));
    assert_eq!(former.stdout, current.stdout);
}

#[test]
fn missing_argument_is_a_usage_error() {
    let usage = |missing: &str, usage: &str| {
        format!("error: the following required arguments were not provided:\n  {missing}\n\nUsage: {NAME} {usage}\n\nFor more information, try '--help'.\n")
    };
    assert_unusable(&["run"], &usage("<FILE>", "run <FILE>"));
    assert_unusable(&["sim"], &usage("<FILE>", "sim <FILE>"));
    assert_unusable(&["fleet", "f"], &usage("--folder <FOLDER>", "fleet --folder <FOLDER> <FILE>"));
    assert_unusable(&["fault", "f"], &usage("<WORDS>...", "fault <FOLDER> <WORDS>..."));
}

#[test]
fn missing_subcommand_prints_the_help_on_stderr() {
    let help = run(&["--help"]).stdout;
    assert_unusable(&[], std::str::from_utf8(&help).unwrap());
}

#[test]
fn unusable_file_ends_with_a_one_line_error() {
    let missing = "/nowhere/experiment.toml";
    let expected = format!("{NAME}: {missing}: No such file or directory (os error 2)\n");
    assert_unusable(&["sim", missing], &expected);
    assert_unusable(&["run", missing], &expected);

    let file = std::env::temp_dir().join(format!("testbed-file-{}.toml", std::process::id()));
    let path = file.to_str().unwrap();
    fs::write(&file, "epock = 1\n").unwrap();
    let expected = format!(
        "{NAME}: {path}: line 1: unknown field `epock`, expected one of `name`, `seeds`, `length_s`, `load`, \
         `executor`, `records`, `callers`, `class`, `jump`, `slow`, `stall`, `variant`, `expect`\n"
    );
    assert_unusable(&["sim", path], &expected);
    let expected = format!(
        "{NAME}: {path}: TOML parse error at line 1, column 1   | 1 | epock = 1   | ^^^^^ unknown field `epock`, \
         expected one of `fleet`, `coordinators`, `workers`, `zones`, `write_overdue_ms`, `work_ms`, `task`, \
         `calls_part`, `older` \n"
    );
    assert_unusable(&["fleet", path, "--folder", "/nowhere"], &expected);
    fs::remove_file(&file).unwrap();
}
