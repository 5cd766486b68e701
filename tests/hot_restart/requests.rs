//! Requests, keys and connections across a hot restart.

use crate::{job, order, retry, start_first, start_successor, ScriptedProcess};
use port_worker::hot_restart::frame::{Frame, VERSION};
use test_support::{Client, Executor, RequestBuilder, SharedListener};

#[test]
fn no_request_is_lost_in_a_hot_restart_and_each_is_answered_on_its_connection() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    // There is one idle connection, one with a partially sent request, two with a run, and one with a queued request.
    let mut idle = Client::connect(predecessor.http);
    idle.send(&RequestBuilder::new("look"));
    predecessor_executor.serve_next(&mut idle, "first");
    let text = RequestBuilder::new("look").text();
    let mut half = Client::connect(predecessor.http);
    half.write(&text[..60]);
    let (mut running, mut execs) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = Client::connect(predecessor.http);
        client.send(&RequestBuilder::new("look"));
        execs.push(predecessor_executor.expect_command("EXEC"));
        running.push(client);
    }
    let mut queued = Client::connect(predecessor.http);
    queued.send(&order("k-queued"));
    while predecessor.metric("svc.concurrent") < 3 {}

    let (successor, mut successor_executor) = start_successor(&shared);
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 503);
    predecessor.terminate();
    predecessor.wait_log("exit_pending");
    // The queued request runs in the successor once a slot is free: both processes count the predecessor's runs.
    for (exec, client) in execs.iter().zip(&mut running) {
        predecessor_executor.send_exit(job(exec), "PASS", "of the predecessor");
        assert_eq!(client.read_response().body, b"of the predecessor");
    }
    let exec = successor_executor.expect_command("EXEC");
    assert_eq!(exec["kind"], "order");
    successor_executor.send_exit(job(&exec), "PASS", "no longer queued");
    assert_eq!(queued.read_response().body, b"no longer queued");
    // All connections stay open, including those of the runs.
    half.write(&text[60..]);
    for (i, client) in [&mut half, &mut idle].into_iter().chain(&mut running).enumerate() {
        if i > 0 {
            client.send(&RequestBuilder::new("look"));
        }
        successor_executor.serve_next(client, "of the successor");
    }
    assert!(predecessor.exits_successfully());
    predecessor.wait_log("shutdown_complete responses=all_handed_off");
    // SIGTERM starts no drain here: the predecessor never reported one.
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
    let mut open_client = Client::connect(predecessor.http);
    open_client.send(&order("k-open"));
    let exec = predecessor_executor.expect_command("EXEC");

    let (successor, mut successor_executor) = start_successor(&shared);
    let mut client = Client::connect(successor.http);
    assert_eq!(client.request(&retry("k-served")).body, b"placed 1");
    let other_body = retry("k-served").body("another order");
    assert_eq!(client.request(&other_body).status, 409);
    let mut client = Client::connect(successor.http);
    client.send(&retry("k-open"));
    successor_executor.expect_no_command(&successor);
    assert!(!client.try_read_response());
    predecessor_executor.send_exit(job(&exec), "PASS", "placed 2");
    assert_eq!(open_client.read_response().body, b"placed 2");
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
    let (mut first, mut first_executor) = start_first(&shared);
    let mut client = Client::connect(first.http);
    client.send(&order("k1"));
    let exec = first_executor.expect_command("EXEC");
    let (mut second, _second_executor) = start_successor(&shared);
    first.terminate();
    first.wait_log("exit_pending");
    let (third, mut third_executor) = start_successor(&shared);
    second.terminate();
    second.wait_log("exit_pending");
    let mut late = Client::connect(third.http);
    late.send(&retry("k1"));
    third_executor.expect_no_command(&third);
    first_executor.send_exit(job(&exec), "PASS", "placed");
    assert_eq!(client.read_response().body, b"placed");
    assert_eq!(late.read_response().body, b"placed");
    assert!(first.exits_successfully() && second.exits_successfully());
    client.send(&RequestBuilder::new("look"));
    third_executor.serve_next(&mut client, "after two hot restarts");
}

/// Executes all runs until the link ends; returns the bodies of all orders.
fn run_until_link_ends(mut executor: Executor) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let mut order_bodies = Vec::new();
        while let Some(command) = executor.read_command_or_end() {
            if command["type"] == "EXEC" {
                if command["kind"] == "order" {
                    order_bodies.push(command["data"].as_str().unwrap().to_owned());
                }
                std::thread::sleep(std::time::Duration::from_millis(2));
                executor.send_exit(job(&command), "PASS", "result");
            }
        }
        order_bodies
    })
}

#[test]
fn three_hot_restarts_under_load_drop_no_connection_and_run_no_key_twice() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let shared = SharedListener::bind();
    let (predecessor, executor) = start_first(&shared);
    let mut executors = vec![run_until_link_ends(executor)];
    let (http, stop) = (predecessor.http, std::sync::Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(http);
                let (mut served, mut round) = (0, 0);
                while !stop.load(Ordering::Relaxed) {
                    round += 1;
                    // Each order is sent twice, perhaps to two processes.
                    let key = format!("k{n}-{round}");
                    for request in [order(&key), retry(&key)] {
                        let reply = client.request(&request.body(&key));
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
        executors.push(run_until_link_ends(executor));
        current.terminate();
        assert!(current.exits_successfully());
        current = successor;
    }
    stop.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served > 100, "{served} orders were served; expected more than 100");
    assert_eq!(current.metric("svc.concurrent"), 0);
    drop(current);
    let mut order_bodies: Vec<String> = executors.into_iter().flat_map(|e| e.join().unwrap()).collect();
    let all = order_bodies.len();
    order_bodies.sort();
    order_bodies.dedup();
    assert_eq!(order_bodies.len(), all, "a key ran twice");
}
