//! Races between the shutdown of the process and requests or responses in transit.

use super::*;

/// Closing a listener resets the connections in its backlog that are not accepted yet, and their requests are lost: the
/// worker has to accept and answer all of them first.
#[test]
fn a_backlog_longer_than_one_turn_accepts_is_answered_before_the_listeners_close() {
    let change = |c: &mut Value| {
        c["settings"]["contract"]["drainGraceS"] = json!(1.0);
        c["limits"]["sockets"] = json!(1024);
    };
    let mut worker = WORKER.start_with(change, None);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    worker.terminate();
    worker.wait_log("shutdown_started");
    worker.suspend();
    sleep_past(Duration::from_millis(1100));
    let mut backlog: Vec<Client> = (0..600).map(|_| Client::connect(worker.http)).collect();
    for client in &mut backlog {
        client.send(&RequestBuilder::new("look"));
    }
    worker.resume();
    for client in &mut backlog {
        let reply = client.read_response();
        assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    }
    finish_run(&mut executor, &job, &mut busy);
    drop((backlog, busy));
    assert!(worker.exits_successfully());
}

/// While the process is stopped, SIGTERM stays pending: the grace counts from when it was sent.
#[test]
fn shutdown_notice_read_late_runs_nothing_that_arrived_after_its_grace() {
    let mut worker = start_with_shutdown(0.2, 8000);
    let mut executor = worker.accept_link();
    // The worker answers just before it is stopped, so that the notice is sent at a known time.
    assert_eq!(worker.check_health(), 200);
    worker.suspend();
    worker.terminate();
    sleep_past(Duration::from_millis(400));
    let mut late = Client::connect(worker.http);
    let id = unique_request_id();
    late.send(&RequestBuilder::new("look").id(&id));
    worker.resume();
    assert_eq!(late.read_response().status, 503);
    drop(late);
    assert_eq!(
        executor.read_remaining_commands(),
        Vec::<Value>::new(),
        "a request was run although it arrived after the grace"
    );
    assert!(worker.exits_successfully());
}

/// Pending responses are sent however soon after the notice the process has to stop.
#[test]
fn running_and_queued_requests_are_answered_however_short_the_shutdown() {
    for stop_ms in [300, 120, 30, 1, 0] {
        let mut worker = start_with_shutdown(2.0, stop_ms);
        let mut executor = worker.accept_link();
        executor.gauges = [1.0, 4.0, 0.1, 3.0];
        let (mut first, _) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key("k"));
        let (mut second, _) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
        let mut queued = Client::connect(worker.http);
        queued.send(&RequestBuilder::new("look"));
        assert_eq!(worker.check_health(), 200);
        worker.terminate();
        // A request that may have run is never rejected as not run; one that never ran is rejected.
        assert_eq!(first.read_response().status / 100, 5);
        assert!([500, 503, 504].contains(&second.read_response().status));
        assert_eq!(queued.read_response().status, 503);
        drop((first, second, queued));
        assert!(worker.exits_successfully(), "no successful exit with stop_ms = {stop_ms}");
    }
}

#[test]
fn a_keyed_request_that_runs_at_the_stop_fails_and_is_not_rejected() {
    let mut worker = start_with_shutdown(2.0, 0);
    let mut executor = worker.accept_link();
    let order = || RequestBuilder::new("order").key("k");
    let (mut first, _) = start_run(&worker, &mut executor, &order());
    let mut retry = Client::connect(worker.http);
    retry.send(&order());
    assert_eq!(worker.check_health(), 200);
    worker.terminate();
    for client in [&mut first, &mut retry] {
        let status = client.read_response().status;
        assert!([500, 504].contains(&status), "{status}");
    }
    drop((first, retry));
    assert!(worker.exits_successfully());
}

#[test]
fn without_a_grace_requests_after_the_notice_do_not_run() {
    let mut worker = start_with_shutdown(0.0, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let mut idle = Client::connect(worker.http);
    assert_eq!(idle.check_health(), 200);
    worker.terminate();
    wait_listener_closed(worker.http);
    // An idle connection is closed; a request sent at the same time is never read.
    assert_eq!(connection_end(&mut idle), ConnectionEnd::Closed);
    idle.write(&RequestBuilder::new("look").text());
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, idle));
    assert_eq!(
        executor.read_remaining_commands(),
        Vec::<Value>::new(),
        "a request sent during the close was run"
    );
    assert!(worker.exits_successfully());
}

/// Guards against losing a request that arrives on an idle connection in the turn in which idle connections are closed.
#[test]
fn request_in_the_turn_that_closes_its_idle_connection_is_answered() {
    let mut worker = start_with_shutdown(1.0, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let mut idle = Client::connect(worker.http);
    assert_eq!(idle.check_health(), 200);
    worker.terminate();
    worker.wait_log("shutdown_started");
    worker.suspend();
    sleep_past(Duration::from_millis(1100));
    idle.send(&RequestBuilder::new("look"));
    worker.resume();
    let reply = idle.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, idle));
    assert!(worker.exits_successfully());
}

/// A partial request delays the exit, but not beyond its read timeout; one that is completed in time is answered.
#[test]
fn partial_request_at_the_close_of_the_listeners_is_answered_when_complete() {
    let mut worker = start_with_shutdown(0.1, 8000);
    let mut executor = worker.accept_link();
    let (mut completed, mut partial) = (Client::connect(worker.http), Client::connect(worker.http));
    let text = RequestBuilder::new("look").text();
    for client in [&mut completed, &mut partial] {
        client.write(&text[..text.len() - 3]);
    }
    assert_eq!(worker.check_health(), 200);
    worker.terminate();
    wait_listener_closed(worker.http);
    completed.write(&text[text.len() - 3..]);
    // The request began to arrive before the notice, but it is unknown when its last byte was written: both results are
    // valid.
    let status = match executor.read_command_or_end() {
        Some(exec) => {
            executor.send_exit(&exec["job"], "PASS", "done");
            200
        }
        None => 503,
    };
    assert_eq!(completed.read_response().status, status);
    assert_eq!(connection_end(&mut partial), ConnectionEnd::Closed);
    drop((completed, partial));
    assert!(worker.exits_successfully());
}

/// The response is written but not read yet: the exit of the process must not reset the connection.
#[test]
fn a_response_that_a_slow_peer_has_not_read_outlives_the_process() {
    let mut worker = start_with_shutdown(0.1, 8000);
    let mut executor = worker.accept_link();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1).unwrap();
    socket.connect(&worker.http.into()).unwrap();
    let mut slow = Client::from_stream(socket.into());
    slow.send(&RequestBuilder::new("look"));
    let job = executor.expect_command("EXEC")["job"].clone();
    worker.terminate();
    wait_listener_closed(worker.http);
    let result = "r".repeat(4096);
    executor.send_exit(&job, "PASS", &result);
    // The client reads nothing until the process has exited.
    assert!(worker.exits_successfully());
    assert_eq!(slow.read_response().body, result.as_bytes());
}

#[test]
fn a_notice_before_the_executor_is_up_rejects_requests_and_exits_in_time() {
    let mut worker = start_with_shutdown(0.2, 1000);
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    assert_eq!(client.read_response().status, 503);
    worker.terminate();
    worker.wait_log("shutdown_started");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    assert_eq!(client.read_response().status, 503);
    drop(client);
    assert!(worker.exits_successfully());
}

#[test]
fn second_notice_and_reload_in_one_turn_do_not_change_the_shutdown() {
    let mut worker = start_with_shutdown(0.3, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    worker.terminate();
    worker.wait_log("shutdown_started");
    worker.suspend();
    worker.terminate();
    worker.reload(|c| c["stop_ms"] = json!(1));
    sleep_past(Duration::from_millis(200));
    worker.resume();
    wait_listener_closed(worker.http);
    finish_run(&mut executor, &job, &mut busy);
    drop(busy);
    assert!(worker.exits_successfully());
    assert!(worker.find_log("shutdown_started").is_none());
}

/// The registry is down when the notice comes, and gets the `draining` report once it is back.
#[test]
fn draining_report_is_repeated_until_an_absent_registry_is_back() {
    let mut worker = start_with_shutdown(60.0, 60_000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let address = worker.registry.address();
    // Replacing the registry closes the socket of the old one.
    worker.registry = RegistryPeer::start();
    worker.terminate();
    worker.wait_log("shutdown_started");
    // The system may have given the address to another process meanwhile, which holds it only for a short time.
    let until = Instant::now() + TIMEOUT;
    worker.registry = loop {
        if let Some(registry) = RegistryPeer::bind(address) {
            break registry;
        }
        assert!(Instant::now() < until, "{address} is in use");
        std::thread::sleep(Duration::from_millis(5));
    };
    worker.wait_load_report("draining");
    worker.wait_load_report("draining");
    finish_run(&mut executor, &job, &mut busy);
}

/// A predecessor that reaches its exit deadline while a caller still waits for a run answers that caller before it
/// exits.
#[test]
fn predecessor_at_its_exit_deadline_answers_running_requests() {
    let shared = SharedListener::bind();
    let short_deadlines = |c: &mut Value| {
        for class in 0..2 {
            c["settings"]["profiles"][class]["deadlineS"] = json!(1.0);
        }
    };
    let mut predecessor = WORKER.start_on(&shared, short_deadlines);
    let mut executor = predecessor.accept_link();
    while predecessor.console_request("GET", "/-/ready").0 != 200 {}
    // The caller of this order waits for longer than the deadline of the class in the settings.
    let (mut client, _) = start_run(&predecessor, &mut executor, &RequestBuilder::new("order").key("k"));
    let successor = WORKER.start_on(&shared, short_deadlines);
    let _successor_executor = successor.accept_link();
    while successor.console_request("GET", "/-/ready").0 != 200 {}
    predecessor.terminate();
    assert_eq!(client.read_response().status, 500);
    assert!(predecessor.exits_successfully());
    assert_eq!(successor.check_health(), 200);
}

/// The time of a log line, in seconds within its day.
fn time_of_day_s(line: &str) -> f64 {
    let time = &line[11..26];
    let part = |range: std::ops::Range<usize>| time[range].parse::<f64>().unwrap();
    part(0..2) * 3600.0 + part(3..5) * 60.0 + part(6..15)
}

/// Guards against a predecessor that is stopped before it has answered its runs, because it expects SIGKILL too late: the
/// longest deadline counts as 3 s at most. A run that ends 0.4 s before the stop is still served.
#[test]
fn predecessor_answers_its_runs_before_the_stop_that_follows_the_counted_deadline() {
    for (deadline_s, stop_s) in [(1.0, 1.7), (8.0, 3.7)] {
        let shared = SharedListener::bind();
        let with_deadline = |c: &mut Value| {
            for class in 0..2 {
                c["settings"]["profiles"][class]["deadlineS"] = json!(deadline_s);
            }
        };
        let mut predecessor = WORKER.start_on(&shared, with_deadline);
        let mut executor = predecessor.accept_link();
        predecessor.wait_ready();
        let order = |key| RequestBuilder::new("order").key(key);
        let (mut ending, job) = start_run(&predecessor, &mut executor, &order("k-ending"));
        let (mut endless, _) = start_run(&predecessor, &mut executor, &order("k-endless"));
        let successor = WORKER.start_on(&shared, with_deadline);
        let _successor_executor = successor.accept_link();
        successor.wait_ready();
        predecessor.terminate();
        let noticed = time_of_day_s(&predecessor.wait_log("exit_pending"));
        sleep_past(Duration::from_secs_f64(stop_s - 0.4));
        executor.send_exit(&job, "PASS", "placed");
        assert_eq!(ending.read_response().body, b"placed");
        assert_eq!(endless.read_response().status, 500);
        let ended = time_of_day_s(&predecessor.wait_log("shutdown_complete"));
        assert!(predecessor.exits_successfully());
        let took_s = (ended - noticed).rem_euclid(86_400.0);
        assert!(
            took_s < stop_s,
            "the process ended {took_s} s after the notice, and is stopped after {stop_s} s"
        );
    }
}
