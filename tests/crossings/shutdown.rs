//! The end of the process against requests and responses that are on their way.

use super::*;

/// Connections in the system's backlog are the worker's, whether it has accepted them or not: closing the listener
/// resets them, and their requests are lost.
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
    let_pass(Duration::from_millis(1100));
    let mut queue: Vec<Client> = (0..600).map(|_| Client::connect(worker.http)).collect();
    for client in &mut queue {
        client.send(&RequestBuilder::new("look"));
    }
    worker.resume();
    for client in &mut queue {
        let reply = client.read_response();
        assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    }
    finish_run(&mut executor, &job, &mut busy);
    drop((queue, busy));
    assert!(worker.exits_successfully());
}

/// The notice may lie unhandled while the process is stopped: the grace counts from when it was sent.
#[test]
fn shutdown_notice_read_late_runs_nothing_that_arrived_after_its_grace() {
    let mut worker = start_with_shutdown(0.2, 8000);
    let mut executor = worker.accept_link();
    // The worker is seen to run just before it is stopped, so that this is when the notice comes.
    assert_eq!(worker.check_health(), 200);
    worker.suspend();
    worker.terminate();
    let_pass(Duration::from_millis(400));
    let mut late = Client::connect(worker.http);
    let id = unique_request_id();
    late.send(&RequestBuilder::new("look").id(&id));
    worker.resume();
    assert_eq!(late.read_response().status, 503);
    drop(late);
    assert_eq!(executor.read_remaining_commands(), Vec::<Value>::new(), "what came after the grace was run");
    assert!(worker.exits_successfully());
}

/// Responses that are pending at the stop are given however early the stop is.
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
        // What may have run is never reported as not run; what never ran is.
        assert_eq!(first.read_response().status / 100, 5);
        assert!([500, 503, 504].contains(&second.read_response().status));
        assert_eq!(queued.read_response().status, 503);
        drop((first, second, queued));
        assert!(worker.exits_successfully(), "stop of {stop_ms} ms");
    }
}

#[test]
fn a_keyed_request_that_runs_at_the_stop_fails_and_is_not_rejected() {
    let mut worker = start_with_shutdown(2.0, 0);
    let mut executor = worker.accept_link();
    let order = || RequestBuilder::new("order").key("k");
    let (mut first, _) = start_run(&worker, &mut executor, &order());
    let mut again = Client::connect(worker.http);
    again.send(&order());
    assert_eq!(worker.check_health(), 200);
    worker.terminate();
    for client in [&mut first, &mut again] {
        let status = client.read_response().status;
        assert!([500, 504].contains(&status), "{status}");
    }
    drop((first, again));
    assert!(worker.exits_successfully());
}

#[test]
fn with_no_grace_nothing_that_arrives_after_the_notice_runs() {
    let mut worker = start_with_shutdown(0.0, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let mut resting = Client::connect(worker.http);
    assert_eq!(resting.check_health(), 200);
    worker.terminate();
    wait_refused(worker.http);
    // It ends by a close, in which a request that crosses it is dropped unread by anybody.
    assert_eq!(end_of(&mut resting), End::Closed);
    resting.write(&RequestBuilder::new("look").text());
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, resting));
    assert_eq!(executor.read_remaining_commands(), Vec::<Value>::new(), "what crossed the close was run");
    assert!(worker.exits_successfully());
}

/// A request on a resting connection, and the moment at which such connections are ended: in one turn.
#[test]
fn request_that_meets_the_close_of_its_idle_connection_is_answered() {
    let mut worker = start_with_shutdown(1.0, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let mut resting = Client::connect(worker.http);
    assert_eq!(resting.check_health(), 200);
    worker.terminate();
    worker.wait_log("shutdown_started");
    worker.suspend();
    let_pass(Duration::from_millis(1100));
    resting.send(&RequestBuilder::new("look"));
    worker.resume();
    let reply = resting.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, resting));
    assert!(worker.exits_successfully());
}

/// Half a request keeps the process, but not beyond its time; the half that comes in time is answered.
#[test]
fn half_a_request_at_the_close_of_the_listeners_is_answered_when_it_is_complete() {
    let mut worker = start_with_shutdown(0.1, 8000);
    let mut executor = worker.accept_link();
    let (mut whole, mut half) = (Client::connect(worker.http), Client::connect(worker.http));
    let text = RequestBuilder::new("look").text();
    for client in [&mut whole, &mut half] {
        client.write(&text[..text.len() - 3]);
    }
    assert_eq!(worker.check_health(), 200);
    worker.terminate();
    wait_refused(worker.http);
    whole.write(&text[text.len() - 3..]);
    // The arrival is of before the notice, but nothing says when its last byte was written: either is right.
    let status = match executor.read_command_or_end() {
        Some(exec) => {
            executor.send_exit(&exec["job"], "PASS", "done");
            200
        }
        None => 503,
    };
    assert_eq!(whole.read_response().status, status);
    assert_eq!(end_of(&mut half), End::Closed);
    drop((whole, half));
    assert!(worker.exits_successfully());
}

/// The response is written, and its reader is slow: the exit of the process must not reset the connection.
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
    wait_refused(worker.http);
    let result = "r".repeat(4096);
    executor.send_exit(&job, "PASS", &result);
    // Nothing is read until the process has exited.
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
fn a_second_notice_and_a_reload_in_its_turn_change_nothing_about_the_first() {
    let mut worker = start_with_shutdown(0.3, 8000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    worker.terminate();
    worker.wait_log("shutdown_started");
    worker.suspend();
    worker.terminate();
    worker.reload(|c| c["stop_ms"] = json!(1));
    let_pass(Duration::from_millis(200));
    worker.resume();
    wait_refused(worker.http);
    finish_run(&mut executor, &job, &mut busy);
    drop(busy);
    assert!(worker.exits_successfully());
    assert!(worker.find_log("shutdown_started").is_none());
}

/// The registry is down at the notice, and hears `draining` once it is back.
#[test]
fn draining_report_is_repeated_until_an_absent_registry_is_back() {
    let mut worker = start_with_shutdown(60.0, 60_000);
    let mut executor = worker.accept_link();
    let (mut busy, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    let address = worker.registry.address();
    // Another socket takes its place, so that the old one closes.
    worker.registry = RegistryPeer::start();
    worker.terminate();
    worker.wait_log("shutdown_started");
    // Another process may have been given the address meanwhile; it ends soon.
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

/// A predecessor reaches its exit deadline while a caller still waits for a run: that caller gets its response first.
#[test]
fn a_predecessor_at_its_exit_deadline_answers_what_still_runs() {
    let shared = SharedListener::bind();
    let short = |c: &mut Value| {
        for class in 0..2 {
            c["settings"]["profiles"][class]["deadlineS"] = json!(1.0);
        }
    };
    let mut predecessor = WORKER.start_on(&shared, short);
    let mut executor = predecessor.accept_link();
    while predecessor.console_request("GET", "/-/ready").0 != 200 {}
    // Its caller waits for longer than the settings say of the class.
    let (mut client, _) = start_run(&predecessor, &mut executor, &RequestBuilder::new("order").key("k"));
    let successor = WORKER.start_on(&shared, short);
    let _successor_executor = successor.accept_link();
    while successor.console_request("GET", "/-/ready").0 != 200 {}
    predecessor.terminate();
    assert_eq!(client.read_response().status, 500);
    assert!(predecessor.exits_successfully());
    assert_eq!(successor.check_health(), 200);
}
