//! Startup, health checks, reload and shutdown.

use crate::WORKER;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_support::{to_base64, unique_request_id, unix_ms, Client, Executor, RequestBuilder, TIMEOUT};

#[test]
fn health_check_succeeds_only_with_an_executor_and_before_shutdown() {
    let worker = WORKER.start();
    let check = |path: &str| {
        let mut client = Client::connect(worker.http);
        client.write(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"));
        client.read_response().status
    };
    assert_eq!(check("/check"), 503);
    let _executor = worker.accept_link();
    assert_eq!((check("/check"), check("/check?e2e=1")), (200, 200));
    worker.terminate();
    worker.wait_load_report("draining");
    assert_eq!(check("/check"), 503);
}

#[test]
fn shutdown_answers_all_requests_and_runs_none_that_arrived_after_the_grace() {
    let mut worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut early = Client::connect(worker.http);
    early.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    worker.terminate();
    worker.wait_load_report("draining");
    let mut during = Client::connect(worker.http);
    during.send(&RequestBuilder::new("look"));
    let second = executor.expect_command("EXEC");
    executor.send_exit(&second["job"], "PASS", "");
    let reply = during.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    std::thread::sleep(Duration::from_millis(1300));
    // The partial request keeps this connection open when the listeners are closed.
    let mut late = Client::connect(worker.http);
    let text = RequestBuilder::new("look").text();
    late.write(&text[..20]);
    std::thread::sleep(Duration::from_millis(800));
    let arrived_ms = text.split("X-Arrived-Ms: ").nth(1).unwrap().split('\r').next().unwrap().to_owned();
    late.write(&text[20..].replace(&arrived_ms, &unix_ms().to_string()));
    assert_eq!(late.read_response().status, 503);
    executor.send_exit(&exec["job"], "PASS", "kept");
    let reply = early.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"kept"[..]));
    assert_eq!(reply.header("Connection"), Some("close"));
    assert!(worker.exits_successfully());
}

#[test]
fn unusable_configuration_ends_the_start_with_a_one_line_error() {
    let run = |config: Option<&str>, operator: Option<&str>| {
        let folder = std::env::temp_dir().join(format!(
            "honeypost-unusable-{}-{}",
            std::process::id(),
            unique_request_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let mut command = WORKER.command();
        command.env_remove("ROUTER_CONFIG");
        if let Some(text) = config {
            std::fs::write(folder.join("c"), text).unwrap();
            command.env("ROUTER_CONFIG", folder.join("c"));
        }
        if let Some(argument) = operator {
            command.arg(argument);
        }
        let output = command.output().unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
        (output.status.success(), String::from_utf8(output.stderr).unwrap())
    };
    for (config, operator, expected) in [
        (None, None, "ROUTER_CONFIG"),
        (Some("{"), None, "EOF"),
        (Some("{\"name\": \"n1\"}"), None, "listen"),
        (None, Some("--what"), "usage"),
    ] {
        let (success, text) = run(config, operator);
        assert!(!success && text.lines().count() == 1 && text.contains(expected), "{text}");
    }
}

/// Guards against a SIGHUP that terminates the worker, by its default action, together with all requests in flight.
#[test]
fn reload_moves_to_new_peers_and_runs_and_queued_requests_continue() {
    let mut worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(worker.http)).collect();
    let mut jobs = Vec::new();
    for client in &mut clients[..2] {
        client.send(&RequestBuilder::new("look"));
        jobs.push(executor.expect_command("EXEC")["job"].clone());
    }
    executor.send_notice(json!({"type": "CALLOUT", "job": jobs[0], "data": to_base64("q")}));
    let mut records = worker.records.accept();
    records.read_message();
    // The run that waits for its call has freed a run slot, which the order takes; the last look is queued.
    clients[2].send(&RequestBuilder::new("order").key("5c0f"));
    let order = executor.expect_command("EXEC")["job"].clone();
    clients[3].send(&RequestBuilder::new("look"));
    let _previous = worker.move_peers();
    let mut new_executor = Executor::accept(&worker.executor);
    assert_eq!(new_executor.expect_command("JOIN")["n"], 1);
    new_executor.last_notice = 1;
    new_executor.started_jobs.extend([jobs[1].clone(), order.clone()]);
    new_executor.send_welcome();
    worker.wait_load_report("ready");
    // The call in flight completes on its old connection; the queued request is started over the new link.
    records.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    assert_eq!(new_executor.expect_command("RETURN")["data"], to_base64("a"));
    new_executor.send_exit(&jobs[0], "PASS", "one");
    assert_eq!(clients[0].read_response().body, b"one");
    jobs.push(new_executor.expect_command("EXEC")["job"].clone());
    // The next call goes to the new address, although the old connection was kept open.
    new_executor.send_notice(json!({"type": "CALLOUT", "job": jobs[1], "data": to_base64("r")}));
    worker.records.accept().read_message();
    new_executor.send_exit(&order, "PASS", "done");
    assert_eq!(clients[2].read_response().body, b"done");
    new_executor.send_exit(&jobs[2], "PASS", "late");
    assert_eq!(clients[3].read_response().body, b"late");
    assert_eq!(clients[4].request(&RequestBuilder::new("order").key("5c0f")).body, b"done");
}

#[test]
fn reload_of_an_unusable_file_changes_nothing_and_fixed_settings_are_logged() {
    let mut worker = WORKER.start();
    let mut executor = worker.accept_link();
    worker.reload_text("{\"name\":");
    worker.wait_log("config_reload_rejected file=configuration");
    worker.reload(|c| c["limits"]["sockets"] = json!(128));
    assert!(worker.wait_log("config_reload_deferred").ends_with("keys=limits"));
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let job = executor.expect_command("EXEC")["job"].clone();
    executor.send_exit(&job, "PASS", "x");
    assert_eq!(client.read_response().body, b"x");
}

/// Guards against a worker whose classes are all keyed and whose runs have failed: it rejected every order from then on.
#[test]
fn worker_with_keyed_classes_alone_recovers_from_failed_runs() {
    let worker = WORKER.start_with(|c| c["settings"]["profiles"][0]["effect"] = json!("keyed"), None);
    let mut executor = worker.accept_link();
    let runs_fail = Arc::new(AtomicBool::new(true));
    let outcome = runs_fail.clone();
    let running = std::thread::spawn(move || {
        while let Some(exec) = executor.read_command_or_end() {
            let state = if outcome.load(Ordering::Relaxed) { "FAIL" } else { "PASS" };
            executor.send_exit(&exec["job"], state, "");
        }
    });
    let mut client = Client::connect(worker.http);
    let mut send_order = || client.request(&RequestBuilder::new("order").key(&unique_request_id())).status;
    while worker.check_health() == 200 {
        assert_eq!(send_order(), 500);
    }
    runs_fail.store(false, Ordering::Relaxed);
    let deadline = Instant::now() + TIMEOUT;
    // The last of ten orders in a row can't be served as probes, of which there is one in half a second.
    let mut in_a_row = 0;
    while in_a_row < 10 {
        assert!(Instant::now() < deadline, "ten orders in a row: not served within {TIMEOUT:?}");
        in_a_row = if send_order() == 200 { in_a_row + 1 } else { 0 };
        if in_a_row == 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    assert_eq!(worker.check_health(), 200);
    drop(worker);
    running.join().unwrap();
}
