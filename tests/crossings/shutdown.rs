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
    let mut site = Site::with(change, None);
    let mut executor = site.link();
    let (mut busy, job) = start_run(&site, &mut executor, &Ask::new("look"));
    site.terminate();
    site.wait_log("shutdown_started");
    site.hang(true);
    let_pass(Duration::from_millis(1100));
    let mut queue: Vec<Client> = (0..600).map(|_| Client::connect(site.http)).collect();
    queue.iter_mut().for_each(|c| c.send(&Ask::new("look")));
    site.hang(false);
    for client in &mut queue {
        let reply = client.answer();
        assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    }
    finish_run(&mut executor, &job, &mut busy);
    drop((queue, busy));
    assert!(site.ended_well());
}

/// The notice may lie unhandled while the process is stopped: the grace counts from when it was sent.
#[test]
fn a_notice_read_late_lets_nothing_run_that_came_after_its_grace() {
    let mut site = site_with_shutdown(0.2, 8000);
    let mut executor = site.link();
    // The worker is seen to run just before it is stopped, so that this is when the notice comes.
    assert_eq!(site.health(), 200);
    site.hang(true);
    site.terminate();
    let_pass(Duration::from_millis(400));
    let mut late = Client::connect(site.http);
    let id = name();
    late.send(&Ask { id: &id, ..Ask::new("look") });
    site.hang(false);
    assert_eq!(late.answer().status, 503);
    drop(late);
    assert_eq!(executor.rest(), Vec::<Value>::new(), "what came after the grace was run");
    assert!(site.ended_well());
}

/// Responses that are pending at the stop are given however early the stop is.
#[test]
fn running_and_queued_requests_are_answered_however_short_the_shutdown() {
    for stop_ms in [300, 120, 30, 1, 0] {
        let mut site = site_with_shutdown(2.0, stop_ms);
        let mut executor = site.link();
        executor.gauges = [1.0, 4.0, 0.1, 3.0];
        let (mut first, _) = start_run(&site, &mut executor, &Ask { key: Some("k"), ..Ask::new("order") });
        let (mut second, _) = start_run(&site, &mut executor, &Ask::new("look"));
        let mut queued = Client::connect(site.http);
        queued.send(&Ask::new("look"));
        assert_eq!(site.health(), 200);
        site.terminate();
        // What may have run is never reported as not run; what never ran is.
        assert_eq!(first.answer().status / 100, 5);
        assert!([500, 503, 504].contains(&second.answer().status));
        assert_eq!(queued.answer().status, 503);
        drop((first, second, queued));
        assert!(site.ended_well(), "stop of {stop_ms} ms");
    }
}

#[test]
fn a_keyed_request_that_runs_at_the_stop_fails_and_is_not_rejected() {
    let mut site = site_with_shutdown(2.0, 0);
    let mut executor = site.link();
    let order = || Ask { key: Some("k"), ..Ask::new("order") };
    let (mut first, _) = start_run(&site, &mut executor, &order());
    let mut again = Client::connect(site.http);
    again.send(&order());
    assert_eq!(site.health(), 200);
    site.terminate();
    for client in [&mut first, &mut again] {
        let status = client.answer().status;
        assert!([500, 504].contains(&status), "{status}");
    }
    drop((first, again));
    assert!(site.ended_well());
}

#[test]
fn with_no_grace_nothing_that_arrives_after_the_notice_runs() {
    let mut site = site_with_shutdown(0.0, 8000);
    let mut executor = site.link();
    let (mut busy, job) = start_run(&site, &mut executor, &Ask::new("look"));
    let mut resting = Client::connect(site.http);
    assert_eq!(resting.ask_check(), 200);
    site.terminate();
    wait_refused(site.http);
    // It ends by a close, in which a request that crosses it is dropped unread by anybody.
    assert_eq!(end_of(&mut resting), End::Closed);
    resting.write(&Ask::new("look").text());
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, resting));
    assert_eq!(executor.rest(), Vec::<Value>::new(), "what crossed the close was run");
    assert!(site.ended_well());
}

/// A request on a resting connection, and the moment at which such connections are ended: in one turn.
#[test]
fn a_request_that_meets_the_end_of_its_resting_connection_is_answered() {
    let mut site = site_with_shutdown(1.0, 8000);
    let mut executor = site.link();
    let (mut busy, job) = start_run(&site, &mut executor, &Ask::new("look"));
    let mut resting = Client::connect(site.http);
    assert_eq!(resting.ask_check(), 200);
    site.terminate();
    site.wait_log("shutdown_started");
    site.hang(true);
    let_pass(Duration::from_millis(1100));
    resting.send(&Ask::new("look"));
    site.hang(false);
    let reply = resting.answer();
    assert_eq!((reply.status, reply.header("Connection")), (503, Some("close")));
    finish_run(&mut executor, &job, &mut busy);
    drop((busy, resting));
    assert!(site.ended_well());
}

/// Half a request keeps the process, but not beyond its time; the half that comes in time is answered.
#[test]
fn half_a_request_at_the_close_of_the_listeners_is_answered_when_it_is_complete() {
    let mut site = site_with_shutdown(0.1, 8000);
    let mut executor = site.link();
    let (mut whole, mut half) = (Client::connect(site.http), Client::connect(site.http));
    let text = Ask::new("look").text();
    for client in [&mut whole, &mut half] {
        client.write(&text[..text.len() - 3]);
    }
    assert_eq!(site.health(), 200);
    site.terminate();
    wait_refused(site.http);
    whole.write(&text[text.len() - 3..]);
    // The arrival is of before the notice, but nothing says when its last byte was written: either is right.
    let status = match executor.command_or_end() {
        Some(exec) => {
            executor.exit(&exec["job"], "PASS", "done");
            200
        }
        None => 503,
    };
    assert_eq!(whole.answer().status, status);
    assert_eq!(end_of(&mut half), End::Closed);
    drop((whole, half));
    assert!(site.ended_well());
}

/// The response is written, and its reader is slow: the exit of the process must not reset the connection.
#[test]
fn a_response_that_a_slow_peer_has_not_read_outlives_the_process() {
    let mut site = site_with_shutdown(0.1, 8000);
    let mut executor = site.link();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1).unwrap();
    socket.connect(&site.http.into()).unwrap();
    let mut slow = Client::on(socket.into());
    slow.send(&Ask::new("look"));
    let job = executor.next("EXEC")["job"].clone();
    site.terminate();
    wait_refused(site.http);
    let result = "r".repeat(4096);
    executor.exit(&job, "PASS", &result);
    // Nothing is read until the process has exited.
    assert!(site.ended_well());
    assert_eq!(slow.answer().body, result.as_bytes());
}

#[test]
fn a_notice_before_the_executor_is_up_rejects_requests_and_exits_in_time() {
    let mut site = site_with_shutdown(0.2, 1000);
    let mut client = Client::connect(site.http);
    client.send(&Ask::new("look"));
    assert_eq!(client.answer().status, 503);
    site.terminate();
    site.wait_log("shutdown_started");
    let mut client = Client::connect(site.http);
    client.send(&Ask::new("look"));
    assert_eq!(client.answer().status, 503);
    drop(client);
    assert!(site.ended_well());
}

#[test]
fn a_second_notice_and_a_reload_in_its_turn_change_nothing_about_the_first() {
    let mut site = site_with_shutdown(0.3, 8000);
    let mut executor = site.link();
    let (mut busy, job) = start_run(&site, &mut executor, &Ask::new("look"));
    site.terminate();
    site.wait_log("shutdown_started");
    site.hang(true);
    site.terminate();
    site.reload(|c| c["stop_ms"] = json!(1));
    let_pass(Duration::from_millis(200));
    site.hang(false);
    wait_refused(site.http);
    finish_run(&mut executor, &job, &mut busy);
    drop(busy);
    assert!(site.ended_well());
    assert!(site.find_log("shutdown_started").is_none());
}

/// The registry is down at the notice, and hears `draining` once it is back.
#[test]
fn draining_is_repeated_for_a_registry_that_was_away() {
    let mut site = site_with_shutdown(60.0, 60_000);
    let mut executor = site.link();
    let (mut busy, job) = start_run(&site, &mut executor, &Ask::new("look"));
    let address = site.registry.local_addr().unwrap();
    // Another socket takes its place, so that the old one closes.
    site.registry = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    site.terminate();
    site.wait_log("shutdown_started");
    // Another process may have been given the address meanwhile; it ends soon.
    let until = Instant::now() + PATIENCE;
    site.registry = loop {
        match std::net::UdpSocket::bind(address) {
            Ok(socket) => break socket,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    site.registry.set_read_timeout(Some(PATIENCE)).unwrap();
    site.wait_beat("draining");
    site.wait_beat("draining");
    finish_run(&mut executor, &job, &mut busy);
}

/// A predecessor reaches its exit deadline while a caller still waits for a run: that caller gets its response first.
#[test]
fn a_predecessor_at_its_exit_deadline_answers_what_still_runs() {
    let shared = SharedListener::new();
    let short = |c: &mut Value| {
        for class in 0..2 {
            c["settings"]["profiles"][class]["deadlineS"] = json!(1.0);
        }
    };
    let mut predecessor = Site::at(&shared, short);
    let mut executor = predecessor.link();
    while predecessor.call("GET", "/-/ready").0 != 200 {}
    // Its caller waits for longer than the settings say of the class.
    let (mut client, _) =
        start_run(&predecessor, &mut executor, &Ask { key: Some("k"), ..Ask::new("order") });
    let successor = Site::at(&shared, short);
    let _successor_executor = successor.link();
    while successor.call("GET", "/-/ready").0 != 200 {}
    predecessor.terminate();
    assert_eq!(client.answer().status, 500);
    assert!(predecessor.ended_well());
    assert_eq!(successor.health(), 200);
}
