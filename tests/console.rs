//! The operators' console of a worker process with scripted peers.

use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_support::{settings, Client, Executor, RequestBuilder, WorkerProgram, WorkerUnderTest, TIMEOUT};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

fn start_with_console() -> WorkerUnderTest {
    WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), None)
}

#[test]
fn ready_fails_until_the_executor_is_up_and_after_the_shutdown_notice() {
    let mut worker = start_with_console();
    assert_eq!(worker.console_request("GET", "/-/ready").0, 503);
    let mut executor = worker.accept_link();
    assert_eq!(worker.console_request("GET", "/-/ready").0, 200);
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    worker.terminate();
    worker.wait_log("shutdown_started");
    assert_eq!(worker.console_request("GET", "/-/ready").0, 503);
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);
    assert!(worker.exits_successfully());
}

#[test]
fn invalid_console_request_gets_its_error_status() {
    let worker = start_with_console();
    assert_eq!(worker.console_request("GET", "/-/nothing").0, 404);
    assert_eq!(worker.console_request("POST", "/-/metrics").0, 405);
    assert_eq!(worker.console_request("GET", "/-/drain").0, 405);
    assert_eq!(worker.console_request("nonsense", "and more").0, 400);
    // None of these requests drained the worker.
    let _executor = worker.accept_link();
    assert_eq!(worker.check_health(), 200);
}

#[test]
fn metrics_count_responses_and_list_all_classes_from_the_start() {
    let worker = start_with_console();
    let mut executor = worker.accept_link();
    let (_, text) = worker.console_request("GET", "/-/metrics");
    for class in ["look", "order"] {
        for outcome in ["success", "overload", "error", "dispatches"] {
            assert!(text.contains(&format!("svc.replies.{class}.{outcome}=0\n")), "{text}");
        }
    }
    let mut client = Client::connect(worker.http);
    for state in ["PASS", "PASS", "FAIL"] {
        client.send(&RequestBuilder::new("look"));
        let exec = executor.expect_command("EXEC");
        assert_eq!(worker.metric("svc.concurrent"), 1);
        executor.send_exit(&exec["job"], state, "");
        client.read_response();
    }
    // The second attempt with a key is a second request, but not a second run.
    for _ in 0..2 {
        client.send(&RequestBuilder::new("order").key("k1"));
        if executor.started_jobs.is_empty() {
            let exec = executor.expect_command("EXEC");
            executor.started_jobs.push(exec["job"].clone());
            executor.send_exit(&exec["job"], "PASS", "");
        }
        assert_eq!(client.read_response().status, 200);
    }
    // A request ends, and its run with it, when its client disconnects.
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    client.reset();
    let until = Instant::now() + TIMEOUT;
    while worker.metric("svc.concurrent") > 0 {
        assert!(
            Instant::now() < until,
            "the request of a disconnected client has not ended after {TIMEOUT:?}"
        );
    }
    executor.send_exit(&exec["job"], "PASS", "");
    for (name, count) in [
        ("svc.replies.look.success", 2),
        ("svc.replies.look.dispatches", 4),
        ("svc.replies.look.overload", 0),
        ("svc.replies.look.error", 2),
        ("svc.replies.order.success", 2),
        ("svc.replies.order.dispatches", 1),
    ] {
        assert_eq!(worker.metric(name), count, "{name}");
    }
}

#[test]
fn drain_fails_health_checks_and_serves_requests_until_resumed() {
    let mut worker = start_with_console();
    let mut executor = worker.accept_link();
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    for _ in 0..2 {
        assert_eq!(worker.console_request("POST", "/-/drain").0, 200);
        assert_eq!(worker.check_health(), 503);
        worker.wait_load_report("draining");
    }
    // A reload and a new executor link do not end the drain.
    worker.reload(|c| c["stop_ms"] = json!(7000));
    worker.wait_log("reload");
    drop(executor);
    executor = Executor::accept(&worker.executor);
    executor.expect_command("JOIN");
    assert_eq!(worker.check_health(), 503);
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("order").key("k1"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "as ever");
    let reply = client.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"as ever"[..]));
    assert_eq!(reply.header("Connection"), None);
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    assert_eq!(worker.check_health(), 200);
    worker.wait_load_report("ready");
    assert!(worker.is_running());
}

#[test]
fn resuming_from_a_drain_does_not_cancel_the_shutdown() {
    let mut worker = start_with_console();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    assert_eq!(worker.console_request("POST", "/-/drain").0, 200);
    worker.terminate();
    worker.wait_log("shutdown_started");
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    assert_eq!(worker.check_health(), 503);
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);
    assert!(worker.exits_successfully());
}

/// The console evicts its oldest idle connection for a new one, so that idle connections do not block it, and a flood
/// of clients does not use up its descriptors.
#[test]
fn console_answers_beside_idle_connections_and_a_flood_of_clients() {
    let worker = start_with_console();
    let _executor = worker.accept_link();
    let flood: Vec<TcpStream> = (0..220).filter_map(|_| TcpStream::connect(worker.http).ok()).collect();
    let mut idle_connections = Vec::new();
    for round in 0..80 {
        let mut connection = TcpStream::connect(worker.console.unwrap()).unwrap();
        if round % 2 == 0 {
            connection.write_all(b"GET /-/rea").unwrap();
        }
        idle_connections.push(connection);
        if round % 8 == 0 {
            let sent = Instant::now();
            assert_eq!(worker.console_request("GET", "/-/ready").0, 200);
            // 7.5 s is far more than the 1 ms that a response takes when nothing else runs.
            assert!(
                sent.elapsed() < TIMEOUT / 2,
                "answered after {:?}; expected less than 7.5 s",
                sent.elapsed()
            );
        }
    }
    drop(flood);
}

#[test]
fn console_request_in_single_bytes_is_answered() {
    let worker = start_with_console();
    let mut client = Client::connect(worker.console.unwrap());
    for byte in "GET /-/metrics HTTP/1.1\r\nHost: n1\r\n\r\n".chars() {
        client.write(&byte.to_string());
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(client.read_response().status, 200);
}

#[test]
fn unusable_console_address_ends_the_start_with_a_one_line_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = std::env::temp_dir().join(format!("honeypost-console-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "settings": settings()
    });
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    for (address, expected) in
        [("nowhere", "ROUTER_CONSOLE"), (&listener.local_addr().unwrap().to_string(), "console")]
    {
        let output = WORKER
            .command()
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("ROUTER_CONSOLE", address)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(expected) && text.lines().count() == 1, "{text}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn environment_console_address_overrides_the_file_and_is_logged() {
    let mut worker = WORKER.start_with_environment(&[("ROUTER_CONSOLE", "127.0.0.1:0")], |c| {
        c["console"] = json!("127.0.0.1:9");
    });
    worker.wait_log("console_address_overridden configured=127.0.0.1:9");
    assert_eq!(worker.console_request("GET", "/-/metrics").0, 200);
}

#[test]
fn ready_fails_without_a_link_to_the_executor() {
    // No other test uses this address, so that nothing listens there once this listener is closed.
    let executor = std::net::TcpListener::bind("127.0.77.1:0").unwrap();
    let executor_address = executor.local_addr().unwrap();
    let mut worker = WORKER.start_with(
        |c| {
            c["console"] = json!("127.0.0.1:0");
            c["executor"] = json!(executor_address);
        },
        None,
    );
    let mut link = Executor::accept(&executor);
    link.expect_command("JOIN");
    link.send_welcome();
    worker.wait_load_report("ready");
    assert_eq!(worker.console_request("GET", "/-/ready").0, 200);
    drop((link, executor));
    worker.wait_log("executor_connect_failed");
    assert_eq!(worker.console_request("GET", "/-/ready"), (503, "no link to the executor\n".to_owned()));
}
