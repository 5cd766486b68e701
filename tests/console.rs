//! Stories of the operators' console: a started worker, its scripted peers, and calls on its second address.

mod common;

use common::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

fn site() -> Site {
    Site::with(|c| c["console"] = json!("127.0.0.1:0"), None)
}

#[test]
fn ready_says_no_until_the_executor_is_up_and_after_the_notice_to_leave() {
    let mut site = site();
    assert_eq!(site.call("GET", "/-/ready").0, 503);
    let mut executor = site.link();
    assert_eq!(site.call("GET", "/-/ready").0, 200);
    let mut client = Client::connect(site.http);
    client.send(&Ask::new("look"));
    let exec = executor.next("EXEC");
    site.terminate();
    site.wait_log("shutdown_started");
    assert_eq!(site.call("GET", "/-/ready").0, 503);
    executor.exit(&exec["job"], "PASS", "");
    assert_eq!(client.answer().status, 200);
    assert!(site.ended_well());
}

#[test]
fn what_is_no_call_is_turned_away_by_its_status() {
    let site = site();
    assert_eq!(site.call("GET", "/-/nothing").0, 404);
    assert_eq!(site.call("POST", "/-/metrics").0, 405);
    assert_eq!(site.call("GET", "/-/drain").0, 405);
    assert_eq!(site.call("nonsense", "and more").0, 400);
    // Nothing of that drained it.
    let _executor = site.link();
    assert_eq!(site.health(), 200);
}

#[test]
fn figures_are_what_the_peers_saw_and_all_classes_are_there_from_the_start() {
    let site = site();
    let mut executor = site.link();
    let (_, text) = site.call("GET", "/-/metrics");
    for class in ["look", "order"] {
        for what in ["success", "overload", "error", "dispatches"] {
            assert!(text.contains(&format!("svc.replies.{class}.{what}=0\n")), "{text}");
        }
    }
    let mut client = Client::connect(site.http);
    for state in ["PASS", "PASS", "FAIL"] {
        client.send(&Ask::new("look"));
        let exec = executor.next("EXEC");
        assert_eq!(site.figure("svc.concurrent"), 1);
        executor.exit(&exec["job"], state, "");
        client.answer();
    }
    // A key's second try is a second request and the same run.
    for _ in 0..2 {
        client.send(&Ask { key: Some("k1"), ..Ask::new("order") });
        if executor.started.is_empty() {
            let exec = executor.next("EXEC");
            executor.started.push(exec["job"].clone());
            executor.exit(&exec["job"], "PASS", "");
        }
        assert_eq!(client.answer().status, 200);
    }
    // One that its client leaves ends too, and its run with it.
    client.send(&Ask::new("look"));
    let exec = executor.next("EXEC");
    client.reset();
    let until = Instant::now() + PATIENCE;
    while site.figure("svc.concurrent") > 0 {
        assert!(Instant::now() < until, "the request of a client that left never ends");
    }
    executor.exit(&exec["job"], "PASS", "");
    for (name, n) in [
        ("svc.replies.look.success", 2),
        ("svc.replies.look.dispatches", 4),
        ("svc.replies.look.overload", 0),
        ("svc.replies.look.error", 2),
        ("svc.replies.order.success", 2),
        ("svc.replies.order.dispatches", 1),
    ] {
        assert_eq!(site.figure(name), n, "{name}");
    }
}

#[test]
fn a_drain_makes_health_bad_and_answers_what_still_comes_until_it_is_ended() {
    let mut site = site();
    let mut executor = site.link();
    assert_eq!(site.call("POST", "/-/resume").0, 200);
    for _ in 0..2 {
        assert_eq!(site.call("POST", "/-/drain").0, 200);
        assert_eq!(site.health(), 503);
        site.wait_beat("draining");
    }
    // A reload and a new link do not end it.
    site.reload(|c| c["stop_ms"] = json!(7000));
    site.wait_log("reload");
    drop(executor);
    executor = Executor::accept(&site.executor);
    executor.next("JOIN");
    assert_eq!(site.health(), 503);
    let mut client = Client::connect(site.http);
    client.send(&Ask { key: Some("k1"), ..Ask::new("order") });
    let exec = executor.next("EXEC");
    executor.exit(&exec["job"], "PASS", "as ever");
    let reply = client.answer();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"as ever"[..]));
    assert_eq!(reply.header("Connection"), None);
    assert_eq!(site.call("POST", "/-/resume").0, 200);
    assert_eq!(site.health(), 200);
    site.wait_beat("ready");
    assert!(site.alive());
}

#[test]
fn a_notice_to_leave_wins_over_the_end_of_a_drain() {
    let mut site = site();
    let mut executor = site.link();
    let mut client = Client::connect(site.http);
    client.send(&Ask::new("look"));
    let exec = executor.next("EXEC");
    assert_eq!(site.call("POST", "/-/drain").0, 200);
    site.terminate();
    site.wait_log("shutdown_started");
    assert_eq!(site.call("POST", "/-/resume").0, 200);
    assert_eq!(site.health(), 503);
    executor.exit(&exec["job"], "PASS", "");
    assert_eq!(client.answer().status, 200);
    assert!(site.ended_well());
}

/// The oldest that has not asked goes for the next, so that holders keep nobody out; and no crowd of clients takes
/// the console's descriptors.
#[test]
fn calls_are_answered_beside_holders_and_a_flood_of_clients() {
    let site = site();
    let _executor = site.link();
    let flood: Vec<TcpStream> = (0..220).filter_map(|_| TcpStream::connect(site.http).ok()).collect();
    let mut holders = Vec::new();
    for round in 0..80 {
        let mut holder = TcpStream::connect(site.console.unwrap()).unwrap();
        if round % 2 == 0 {
            holder.write_all(b"GET /-/rea").unwrap();
        }
        holders.push(holder);
        if round % 8 == 0 {
            let asked = Instant::now();
            assert_eq!(site.call("GET", "/-/ready").0, 200);
            // What the page wants; it takes a millisecond where nothing else runs.
            assert!(asked.elapsed() < PATIENCE / 2, "{:?}", asked.elapsed());
        }
    }
    drop(flood);
}

#[test]
fn a_call_that_comes_byte_by_byte_is_answered() {
    let site = site();
    let mut client = Client::connect(site.console.unwrap());
    for byte in "GET /-/metrics HTTP/1.1\r\nHost: n1\r\n\r\n".chars() {
        client.write(&byte.to_string());
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(client.answer().status, 200);
}

#[test]
fn an_address_that_cant_be_used_is_one_line_and_a_bad_end() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = std::env::temp_dir().join(format!("honeypost-console-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "settings": settings()
    });
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    for (address, said) in
        [("nowhere", "ROUTER_CONSOLE"), (&taken.local_addr().unwrap().to_string(), "console")]
    {
        let ended = Command::new(env!("CARGO_BIN_EXE_port-worker"))
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("ROUTER_CONSOLE", address)
            .output()
            .unwrap();
        let text = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(ended.status.code(), Some(2), "{text}");
        assert!(text.contains(said) && text.lines().count() == 1, "{text}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_environments_address_goes_before_the_files_and_the_log_says_so() {
    let mut site =
        Site::with_env(&[("ROUTER_CONSOLE", "127.0.0.1:0")], |c| c["console"] = json!("127.0.0.1:9"));
    site.wait_log("console_address_overridden configured=127.0.0.1:9");
    assert_eq!(site.call("GET", "/-/metrics").0, 200);
}

#[test]
fn ready_says_no_while_there_is_no_link_to_the_executor() {
    // An address that no other test is given: nobody else listens there once this one does not.
    let executor = std::net::TcpListener::bind("127.0.77.1:0").unwrap();
    let at = executor.local_addr().unwrap();
    let mut site = Site::with(
        |c| {
            c["console"] = json!("127.0.0.1:0");
            c["executor"] = json!(at);
        },
        None,
    );
    let mut link = Executor::accept(&executor);
    link.next("JOIN");
    link.say(json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_000.0}));
    site.wait_beat("ready");
    assert_eq!(site.call("GET", "/-/ready").0, 200);
    drop((link, executor));
    site.wait_log("executor_connect_failed");
    assert_eq!(site.call("GET", "/-/ready"), (503, "no link to the executor\n".to_owned()));
}
