//! Requests, keys and connections across a hot restart.

use crate::{job, order, retry, start_first, start_successor, ScriptedProcess};
use port_worker::hot_restart::frame::{Frame, VERSION};
use test_support::{Client, Executor, RequestBuilder, SharedListener};

#[test]
fn no_request_is_lost_in_a_hot_restart_and_each_is_answered_on_its_connection() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    // One connection of each kind: idle, half-way through a request, with a run, and with a queued request.
    let mut idle = Client::connect(predecessor.http);
    idle.send(&RequestBuilder::new("look"));
    predecessor_executor.serve_next(&mut idle, "first");
    let text = RequestBuilder::new("look").text();
    let mut half = Client::connect(predecessor.http);
    half.write(&text[..60]);
    let (mut runs, mut execs) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = Client::connect(predecessor.http);
        client.send(&RequestBuilder::new("look"));
        execs.push(predecessor_executor.expect_command("EXEC"));
        runs.push(client);
    }
    let mut queued = Client::connect(predecessor.http);
    queued.send(&order("k-queued"));
    while predecessor.metric("svc.concurrent") < 3 {}

    let (successor, mut successor_executor) = start_successor(&shared);
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 503);
    predecessor.terminate();
    predecessor.wait_log("exit_pending");
    // The queued request runs in the successor, once a slot is free there: both count the predecessor's runs.
    for (exec, client) in execs.iter().zip(&mut runs) {
        predecessor_executor.send_exit(job(exec), "PASS", "of the predecessor");
        assert_eq!(client.read_response().body, b"of the predecessor");
    }
    let exec = successor_executor.expect_command("EXEC");
    assert_eq!(exec["kind"], "order");
    successor_executor.send_exit(job(&exec), "PASS", "no longer queued");
    assert_eq!(queued.read_response().body, b"no longer queued");
    // All connections go on, those of the runs included.
    half.write(&text[60..]);
    for (i, client) in [&mut half, &mut idle].into_iter().chain(&mut runs).enumerate() {
        if i > 0 {
            client.send(&RequestBuilder::new("look"));
        }
        successor_executor.serve_next(client, "of the successor");
    }
    assert!(predecessor.exits_successfully());
    predecessor.wait_log("shutdown_complete responses=all_handed_off");
    // SIGTERM began no drain: the predecessor never reported one.
    for report in predecessor.registry.received_reports() {
        assert_eq!(report, "BEAT n1 ready");
    }
    assert_eq!(successor.metric("svc.replies.look.success"), 4);
    assert_eq!(successor.check_health(), 200);
}

#[test]
fn a_key_runs_once_in_both_processes_together() {
    let shared = SharedListener::bind();
    let (predecessor, mut predecessor_executor) = start_first(&shared);
    let mut served = Client::connect(predecessor.http);
    served.send(&order("k-served"));
    let exec = predecessor_executor.expect_command("EXEC");
    predecessor_executor.send_exit(job(&exec), "PASS", "placed 1");
    served.read_response();
    let mut open = Client::connect(predecessor.http);
    open.send(&order("k-open"));
    let exec = predecessor_executor.expect_command("EXEC");

    let (successor, mut successor_executor) = start_successor(&shared);
    let mut client = Client::connect(successor.http);
    assert_eq!(client.request(&retry("k-served")).body, b"placed 1");
    let other = retry("k-served").body("another order");
    assert_eq!(client.request(&other).status, 409);
    let mut client = Client::connect(successor.http);
    client.send(&retry("k-open"));
    successor_executor.expect_no_command(&successor);
    assert!(!client.try_read_response());
    predecessor_executor.send_exit(job(&exec), "PASS", "placed 2");
    assert_eq!(open.read_response().body, b"placed 2");
    assert_eq!(client.read_response().body, b"placed 2");
    assert_eq!(client.request(&retry("k-open")).body, b"placed 2");
}

#[test]
fn requests_handed_off_to_a_successor_that_died_unconfirmed_are_reclaimed() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut idle = Client::connect(predecessor.http);
    assert_eq!(idle.check_health(), 200);
    let mut clients = Vec::new();
    let mut execs = Vec::new();
    for _ in 0..2 {
        let mut client = Client::connect(predecessor.http);
        client.send(&RequestBuilder::new("look"));
        execs.push(predecessor_executor.expect_command("EXEC"));
        clients.push(client);
    }
    let mut queued = Client::connect(predecessor.http);
    queued.send(&order("k1"));
    while predecessor.metric("svc.concurrent") < 3 {}
    let mut peer = ScriptedProcess::connect(&shared);
    peer.send_hello(VERSION);
    assert_eq!(peer.receive(), Frame::Welcome);
    peer.send(&Frame::RequestListeners);
    let mut received = 0;
    loop {
        match peer.receive() {
            Frame::Connection(p) => received += if p.queued_request.is_some() { 10 } else { 1 },
            Frame::StateComplete => break,
            _ => {}
        }
    }
    assert_eq!(received, 11, "one queued request and one idle connection");
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 503);
    drop(peer);
    predecessor.wait_log("listeners_reclaimed");
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 200);
    assert_eq!(idle.check_health(), 200);
    for (exec, client) in execs.iter().zip(&mut clients) {
        predecessor_executor.send_exit(job(exec), "PASS", "");
        assert_eq!(client.read_response().status, 200);
    }
    predecessor_executor.serve_next(&mut queued, "placed");
    assert_eq!(predecessor.metric("svc.replies.order.success"), 1);
    assert_eq!(predecessor.metric("svc.concurrent"), 0);
}

#[test]
fn a_second_hot_restart_right_after_the_first_keeps_the_runs_of_the_first() {
    let shared = SharedListener::bind();
    let (mut a, mut a_executor) = start_first(&shared);
    let mut client = Client::connect(a.http);
    client.send(&order("k1"));
    let exec = a_executor.expect_command("EXEC");
    let (mut b, _b_executor) = start_successor(&shared);
    a.terminate();
    a.wait_log("exit_pending");
    let (c, mut c_executor) = start_successor(&shared);
    b.terminate();
    b.wait_log("exit_pending");
    let mut late = Client::connect(c.http);
    late.send(&retry("k1"));
    c_executor.expect_no_command(&c);
    a_executor.send_exit(job(&exec), "PASS", "placed");
    assert_eq!(client.read_response().body, b"placed");
    assert_eq!(late.read_response().body, b"placed");
    assert!(a.exits_successfully() && b.exits_successfully());
    client.send(&RequestBuilder::new("look"));
    c_executor.serve_next(&mut client, "two hops on");
}

/// Runs whatever it is given until its link ends; returns the bodies of all orders that it ran.
fn run_all(mut executor: Executor) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let mut ran = Vec::new();
        while let Some(command) = executor.read_command_or_end() {
            if command["type"] == "EXEC" {
                if command["kind"] == "order" {
                    ran.push(command["data"].as_str().unwrap().to_owned());
                }
                std::thread::sleep(std::time::Duration::from_millis(2));
                executor.send_exit(job(&command), "PASS", "result");
            }
        }
        ran
    })
}

#[test]
fn three_hot_restarts_under_load_drop_no_connection_and_run_no_key_twice() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let shared = SharedListener::bind();
    let (predecessor, executor) = start_first(&shared);
    let mut executors = vec![run_all(executor)];
    let (http, over) = (predecessor.http, std::sync::Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let over = over.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(http);
                let (mut served, mut round) = (0, 0);
                while !over.load(Ordering::Relaxed) {
                    round += 1;
                    // Each order is sent twice, perhaps to two processes.
                    let key = format!("k{n}-{round}");
                    for ask in [order(&key), retry(&key)] {
                        let reply = client.request(&ask.body(&key));
                        assert!(matches!(reply.status, 200 | 503), "{reply:?}");
                        served += u32::from(reply.status == 200);
                    }
                    assert!(matches!(client.request(&RequestBuilder::new("look")).status, 200 | 503));
                }
                served
            })
        })
        .collect();
    let mut current = predecessor;
    for _ in 0..3 {
        std::thread::sleep(std::time::Duration::from_millis(150));
        let (successor, executor) = start_successor(&shared);
        executors.push(run_all(executor));
        current.terminate();
        assert!(current.exits_successfully());
        current = successor;
    }
    over.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served > 100, "{served} orders were served");
    assert_eq!(current.metric("svc.concurrent"), 0);
    drop(current);
    let mut ran: Vec<String> = executors.into_iter().flat_map(|e| e.join().unwrap()).collect();
    let all = ran.len();
    ran.sort();
    ran.dedup();
    assert_eq!(ran.len(), all, "some key ran twice");
}
