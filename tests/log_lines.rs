//! Compares workers' complete logs, from start to exit, with the fixtures under `tests/fixtures/log`. Values that
//! differ between runs (timestamps, ports, durations, paths) are masked.
//!
//! To regenerate the fixtures from the current worker, run with `UPDATE_OUTPUT_FIXTURES=1` and review the difference.
//! Such a run fails, because it compares nothing.

use serde_json::json;
use std::path::PathBuf;
use test_support::{
    is_log_timestamp, Client, RequestBuilder, SharedListener, WorkerProgram, WorkerUnderTest,
};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

const UPDATE_VARIABLE: &str = "UPDATE_OUTPUT_FIXTURES";

/// Replaces the characters after each `prefix`, as long as `is_masked` accepts them.
fn mask_after(line: &str, prefix: &str, replacement: &str, is_masked: fn(char) -> bool) -> String {
    let mut parts = line.split(prefix);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        masked.push_str(prefix);
        masked.push_str(replacement);
        masked.push_str(part.trim_start_matches(is_masked));
    }
    masked
}

/// Masks measured durations, which are the numbers with exactly three decimal places.
fn mask_durations(line: &str) -> String {
    let is_number = |c: char| c.is_ascii_digit() || c == '.';
    let mut masked = String::new();
    let mut rest = line;
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        let number = &rest[start..];
        let number = &number[..number.find(|c| !is_number(c)).unwrap_or(number.len())];
        let is_duration = number
            .split_once('.')
            .is_some_and(|(_, fraction)| fraction.len() == 3 && !fraction.contains('.'));
        masked.push_str(&rest[..start]);
        masked.push_str(if is_duration { "<seconds>" } else { number });
        rest = &rest[start + number.len()..];
    }
    masked + rest
}

/// Masks the timestamp of a log line and the values that differ between runs.
fn mask_line(line: &str) -> String {
    let (time, text) = line.split_once(' ').expect("a timestamp and a message");
    assert!(is_log_timestamp(time), "{line:?} does not start with a timestamp");
    let text = mask_after(text, "127.0.0.1:", "<port>", |c| c.is_ascii_digit());
    let folder = std::env::temp_dir();
    let text = mask_after(&text, folder.to_str().unwrap(), "<path>", |c| !" \",;:".contains(c));
    format!("<time> {}", mask_durations(&text))
}

/// The complete masked log of a worker that has exited.
fn masked_log(worker: &mut WorkerUnderTest) -> String {
    worker.complete_log().iter().map(|line| mask_line(line) + "\n").collect()
}

/// Compares a log with its fixture.
fn check_log(fixture: &str, found: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/log").join(fixture);
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&path, found).unwrap();
        panic!("{fixture} is written; run again without {UPDATE_VARIABLE}");
    }
    let expected = std::fs::read_to_string(&path).unwrap();
    assert_eq!(found, expected, "{fixture}");
}

fn terminate(worker: &mut WorkerUnderTest) {
    worker.terminate();
    assert!(worker.exits_successfully());
}

#[test]
fn start_and_graceful_shutdown_log_the_recorded_lines() {
    let mut worker = WORKER.start_with(|config| config["console"] = json!("127.0.0.1:0"), None);
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    executor.serve_next(&mut client, "done");
    terminate(&mut worker);
    check_log("shutdown.txt", &masked_log(&mut worker));
}

#[test]
fn accepted_and_rejected_reloads_log_the_recorded_lines() {
    let pools = "[pools]\n[[pools.pool]]\nname = \"all\"\nclasses = [\"look\", \"order\"]\n";
    let mut worker = WORKER.start_with(|_| {}, Some(""));
    let _executor = worker.accept_link();
    worker.reload(|config| config["stop_ms"] = json!(7000));
    worker.wait_log("config_reloaded");
    worker.reload(|config| config["name"] = json!("n2"));
    worker.wait_log("config_reloaded");
    worker.reload_text("{\"name\": ");
    worker.wait_log("config_reload_rejected");
    worker.reload_text(&json!({"name": "n1"}).to_string());
    worker.wait_log("config_reload_rejected");
    worker.reload(|config| config["name"] = json!("n1"));
    worker.wait_log("config_reloaded");
    for operator in ["misspelt = 1\n", pools] {
        worker.reload_operator(operator);
        worker.wait_log("config_reloaded");
    }
    terminate(&mut worker);
    check_log("reload.txt", &masked_log(&mut worker));
}

#[test]
fn executor_link_lost_and_restored_logs_the_recorded_lines() {
    let mut worker = WORKER.start();
    let first = worker.accept_link();
    first.end_link();
    worker.wait_log("executor_link_lost");
    let mut executor = worker.accept_link_without_waiting();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    executor.serve_next(&mut client, "served over the second link");
    terminate(&mut worker);
    check_log("executor_link.txt", &masked_log(&mut worker));
}

#[test]
fn console_drain_and_resume_log_the_recorded_lines() {
    let mut worker = WORKER.start_with(|config| config["console"] = json!("127.0.0.1:0"), None);
    let _executor = worker.accept_link();
    for path in ["/-/drain", "/-/drain", "/-/resume", "/-/resume"] {
        assert_eq!(worker.console_request("POST", path).0, 200);
    }
    terminate(&mut worker);
    check_log("console_drain.txt", &masked_log(&mut worker));
}

#[test]
fn hot_restart_logs_the_recorded_lines_in_both_processes() {
    let shared = SharedListener::bind();
    let mut predecessor = WORKER.start_on(&shared, |_| {});
    let _predecessor_executor = predecessor.accept_link();
    predecessor.wait_ready();
    let mut successor = WORKER.start_on(&shared, |_| {});
    let _successor_executor = successor.accept_link();
    successor.wait_ready();
    terminate(&mut predecessor);
    terminate(&mut successor);
    let (predecessor, successor) = (masked_log(&mut predecessor), masked_log(&mut successor));
    check_log("hot_restart.txt", &format!("== predecessor\n{predecessor}== successor\n{successor}"));
}
