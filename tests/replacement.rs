//! Hot restarts under load: real processes on one listener, and scripted processes at the other end of the link.

mod common;

use common::*;
use port_worker::hot_restart::frame::{Bytes, Frame, Key, KeyOutcome, KeyState, VERSION};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Command;
use std::time::Instant;

/// A scripted process at the other end of the link. Descriptors that come with frames are closed.
struct ScriptedProcess {
    stream: UnixStream,
    input: Vec<u8>,
}

impl ScriptedProcess {
    fn on(stream: UnixStream) -> ScriptedProcess {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        ScriptedProcess { stream, input: Vec::new() }
    }

    fn connect(shared: &SharedListener) -> ScriptedProcess {
        ScriptedProcess::on(UnixStream::connect(shared.hot_restart_socket()).unwrap())
    }

    fn send(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode()).unwrap();
    }

    fn receive(&mut self) -> Frame {
        loop {
            if let Some((frame, length)) = Frame::decode(&self.input).unwrap() {
                self.input.drain(..length);
                return frame;
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).expect("a frame");
            assert!(n > 0, "the link was closed");
            self.input.extend_from_slice(&bytes[..n]);
        }
    }

    fn send_hello(&mut self, version: u32) {
        let (classes, tenants) = (vec!["look".into(), "order".into()], vec!["acme".into()]);
        self.send(&Frame::Hello { version, name: "n1".into(), classes, tenants });
    }
}

fn wait_ready(site: &Site) {
    let until = Instant::now() + PATIENCE;
    while site.call("GET", "/-/ready").0 != 200 {
        assert!(Instant::now() < until, "it never gets ready");
    }
}

fn order<'a>(key: &'a str) -> Ask<'a> {
    Ask { key: Some(key), ..Ask::new("order") }
}

fn retry<'a>(key: &'a str) -> Ask<'a> {
    Ask { extra: "X-Resent: 1\r\n", ..order(key) }
}

/// A process without a predecessor that serves, and its executor.
fn start_first(shared: &SharedListener) -> (Site, Executor) {
    let predecessor = Site::at(shared, |_| {});
    let executor = predecessor.link();
    wait_ready(&predecessor);
    (predecessor, executor)
}

/// A successor that has taken over, and its executor.
fn start_successor(shared: &SharedListener) -> (Site, Executor) {
    let successor = Site::at(shared, |_| {});
    let executor = successor.link();
    wait_ready(&successor);
    (successor, executor)
}

fn job(command: &Value) -> &Value {
    &command["job"]
}

#[test]
fn no_request_is_lost_in_a_hot_restart_and_each_is_answered_on_its_connection() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    // One connection of each kind: idle, half-way through a request, with a run, and with a queued request.
    let mut idle = Client::connect(predecessor.http);
    idle.send(&Ask::new("look"));
    predecessor_executor.serve(&mut idle, "first");
    let text = Ask::new("look").text();
    let mut half = Client::connect(predecessor.http);
    half.write(&text[..60]);
    let (mut runs, mut execs) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = Client::connect(predecessor.http);
        client.send(&Ask::new("look"));
        execs.push(predecessor_executor.next("EXEC"));
        runs.push(client);
    }
    let mut queued = Client::connect(predecessor.http);
    queued.send(&order("k-queued"));
    while predecessor.figure("svc.concurrent") < 3 {}

    let (successor, mut successor_executor) = start_successor(&shared);
    assert_eq!(predecessor.call("GET", "/-/ready").0, 503);
    predecessor.terminate();
    predecessor.wait_log("told to leave");
    // The queued request runs in the successor, once a slot is free there: both count the predecessor's runs.
    for (exec, client) in execs.iter().zip(&mut runs) {
        predecessor_executor.exit(job(exec), "PASS", "of the predecessor");
        assert_eq!(client.answer().body, b"of the predecessor");
    }
    let exec = successor_executor.next("EXEC");
    assert_eq!(exec["kind"], "order");
    successor_executor.exit(job(&exec), "PASS", "no longer queued");
    assert_eq!(queued.answer().body, b"no longer queued");
    // All connections go on, those of the runs included.
    half.write(&text[60..]);
    for (i, client) in [&mut half, &mut idle].into_iter().chain(&mut runs).enumerate() {
        if i > 0 {
            client.send(&Ask::new("look"));
        }
        successor_executor.serve(client, "of the successor");
    }
    assert!(predecessor.ended_well());
    predecessor.wait_log("left with all handed over");
    // SIGTERM began no drain: the predecessor never reported one.
    predecessor.registry.set_nonblocking(true).unwrap();
    let mut bytes = [0; 64];
    while let Ok(n) = predecessor.registry.recv(&mut bytes) {
        assert_eq!(&bytes[..n], b"BEAT n1 ready");
    }
    assert_eq!(successor.figure("svc.replies.look.success"), 4);
    assert_eq!(successor.health(), 200);
}

#[test]
fn a_key_runs_once_in_both_processes_together() {
    let shared = SharedListener::new();
    let (predecessor, mut predecessor_executor) = start_first(&shared);
    let mut served = Client::connect(predecessor.http);
    served.send(&order("k-served"));
    let exec = predecessor_executor.next("EXEC");
    predecessor_executor.exit(job(&exec), "PASS", "placed 1");
    served.answer();
    let mut open = Client::connect(predecessor.http);
    open.send(&order("k-open"));
    let exec = predecessor_executor.next("EXEC");

    let (successor, mut successor_executor) = start_successor(&shared);
    let mut client = Client::connect(successor.http);
    assert_eq!(client.ask(&retry("k-served")).body, b"placed 1");
    let other = Ask { body: "another order", ..retry("k-served") };
    assert_eq!(client.ask(&other).status, 409);
    let mut client = Client::connect(successor.http);
    client.send(&retry("k-open"));
    successor_executor.quiet_but_for(&successor, "");
    assert!(!client.has_answer());
    predecessor_executor.exit(job(&exec), "PASS", "placed 2");
    assert_eq!(open.answer().body, b"placed 2");
    assert_eq!(client.answer().body, b"placed 2");
    assert_eq!(client.ask(&retry("k-open")).body, b"placed 2");
}

#[test]
fn a_key_that_ran_in_a_dead_predecessor_fails_and_never_runs_retry() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut open = Client::connect(predecessor.http);
    open.send(&order("k1"));
    predecessor_executor.next("EXEC");
    let (successor, mut successor_executor) = start_successor(&shared);
    let mut client = Client::connect(successor.http);
    client.send(&retry("k1"));
    successor_executor.quiet_but_for(&successor, "");
    predecessor.kill();
    assert_eq!(client.answer().status, 500);
    assert_eq!(client.ask(&retry("k1")).status, 500);
    // The predecessor reported all its keys: another one runs.
    client.send(&retry("k2"));
    successor_executor.serve(&mut client, "placed");
}

#[test]
fn a_successor_that_dies_before_it_can_serve_changes_nothing() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut successor = Site::at(&shared, |_| {});
    assert_eq!(successor.call("GET", "/-/ready").0, 503);
    successor.kill();
    predecessor.wait_log("the new process has ended");
    let mut client = Client::connect(predecessor.http);
    client.send(&Ask::new("look"));
    predecessor_executor.serve(&mut client, "as before");
    assert_eq!(predecessor.call("GET", "/-/ready").0, 200);
}

#[test]
fn requests_handed_off_to_a_successor_that_died_unconfirmed_are_reclaimed() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut idle = Client::connect(predecessor.http);
    assert_eq!(idle.ask_check(), 200);
    let mut clients = Vec::new();
    let mut execs = Vec::new();
    for _ in 0..2 {
        let mut client = Client::connect(predecessor.http);
        client.send(&Ask::new("look"));
        execs.push(predecessor_executor.next("EXEC"));
        clients.push(client);
    }
    let mut queued = Client::connect(predecessor.http);
    queued.send(&order("k1"));
    while predecessor.figure("svc.concurrent") < 3 {}
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
    assert_eq!(predecessor.call("GET", "/-/ready").0, 503);
    drop(peer);
    predecessor.wait_log("the door is taken back");
    assert_eq!(predecessor.call("GET", "/-/ready").0, 200);
    assert_eq!(idle.ask_check(), 200);
    for (exec, client) in execs.iter().zip(&mut clients) {
        predecessor_executor.exit(job(exec), "PASS", "");
        assert_eq!(client.answer().status, 200);
    }
    predecessor_executor.serve(&mut queued, "placed");
    assert_eq!(predecessor.figure("svc.replies.order.success"), 1);
    assert_eq!(predecessor.figure("svc.concurrent"), 0);
}

#[test]
fn listeners_reopen_when_the_successor_dies_and_unknown_retries_fail_for_a_window() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let (mut successor, _successor_executor) = start_successor(&shared);
    predecessor.wait_log("the new process has the door");
    successor.kill();
    predecessor.wait_log("the door is open here");
    assert_eq!(predecessor.call("GET", "/-/ready").0, 200);
    predecessor.wait_beat("ready");
    let mut client = Client::connect(predecessor.http);
    client.send(&Ask::new("look"));
    predecessor_executor.serve(&mut client, "");
    assert_eq!(client.ask(&retry("k1")).status, 500);
    client.send(&order("k2"));
    predecessor_executor.serve(&mut client, "placed");
    // Another successor can take over.
    let (third, _executor) = start_successor(&shared);
    assert_eq!(third.health(), 200);
    predecessor.terminate();
    assert!(predecessor.ended_well());
}

#[test]
fn a_hung_predecessor_is_not_waited_for_and_hands_off_when_it_recovers() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut client = Client::connect(predecessor.http);
    client.send(&order("k1"));
    let exec = predecessor_executor.next("EXEC");
    predecessor_executor.exit(job(&exec), "PASS", "placed 1");
    client.answer();
    predecessor.hang(true);
    let (mut successor, mut successor_executor) = start_successor(&shared);
    let mut fresh = Client::connect(successor.http);
    fresh.send(&Ask::new("look"));
    successor_executor.serve(&mut fresh, "");
    // What the predecessor runs is not known: a key fails, even one that comes for the first time.
    assert_eq!(fresh.ask(&order("k2")).status, 500);
    predecessor.hang(false);
    successor.wait_log("all keys are known again");
    predecessor.wait_log("the new process has the door");
    let mut fresh = Client::connect(successor.http);
    assert_eq!(fresh.ask(&retry("k1")).body, b"placed 1");
    client.send(&Ask::new("look"));
    successor_executor.serve(&mut client, "on the predecessor connection");
    predecessor.terminate();
    assert!(predecessor.ended_well());
}

#[test]
fn an_incompatible_or_damaged_predecessor_is_not_believed() {
    for damage in [false, true] {
        let shared = SharedListener::new();
        let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
        let mut successor = Site::at(&shared, |_| {});
        let mut peer = ScriptedProcess::on(listener.accept().unwrap().0);
        assert!(matches!(peer.receive(), Frame::Hello { version: VERSION, .. }));
        let mut executor = successor.link_silently();
        if damage {
            peer.send(&Frame::Welcome);
            assert_eq!(peer.receive(), Frame::RequestListeners);
            let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
            let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"made up"))));
            peer.send(&Frame::Key(KeyState { key, body_fingerprint: 0, expires_at_ms: 4e12, outcome }));
            peer.stream.write_all(b"\0\0\0\x05\0nonsense").unwrap();
        } else {
            peer.send(&Frame::Incompatible { reason: "too predecessor".into() });
        }
        successor.wait_log("keys that are not known here fail");
        wait_ready(&successor);
        let mut client = Client::connect(successor.http);
        assert_eq!(client.ask(&order("k1")).status, 500);
        client.send(&Ask::new("look"));
        executor.serve(&mut client, "");
        // It is watched all the same: its end limits for how long keys are indeterminate.
        let watched = damage.then(|| listener.accept().unwrap());
        let (link, watched) = (peer, watched);
        drop((link, watched));
        if damage {
            successor.wait_log("the old process has ended");
        }
    }
}

#[test]
fn a_successor_of_an_unknown_version_is_rejected_and_the_predecessor_serves_on() {
    let shared = SharedListener::new();
    let (mut predecessor, _executor) = start_first(&shared);
    let mut peer = ScriptedProcess::connect(&shared);
    peer.send_hello(VERSION + 1);
    assert!(matches!(peer.receive(), Frame::Incompatible { .. }));
    peer.send(&Frame::RequestListeners);
    assert_eq!(predecessor.health(), 200);
    assert_eq!(predecessor.call("GET", "/-/ready").0, 200);
    drop(peer);
    // Bytes that are no frame do no more.
    let mut peer = ScriptedProcess::connect(&shared);
    peer.stream.write_all(&[0xff; 64]).unwrap();
    predecessor.wait_log("is damaged");
    assert_eq!(predecessor.health(), 200);
}

#[test]
fn unknown_retries_fail_after_a_dead_predecessor() {
    let shared = SharedListener::new();
    drop(UnixListener::bind(shared.hot_restart_socket()).unwrap());
    let (mut site, mut executor) = start_first(&shared);
    site.wait_log("has died");
    let mut client = Client::connect(site.http);
    assert_eq!(client.ask(&retry("k1")).status, 500);
    client.send(&order("k2"));
    executor.serve(&mut client, "placed");
    // A graceful shutdown leaves no file.
    site.terminate();
    assert!(site.ended_well());
    assert!(!shared.hot_restart_socket().exists());
}

#[test]
fn a_second_hot_restart_right_after_the_first_keeps_the_runs_of_the_first() {
    let shared = SharedListener::new();
    let (mut a, mut a_executor) = start_first(&shared);
    let mut client = Client::connect(a.http);
    client.send(&order("k1"));
    let exec = a_executor.next("EXEC");
    let (mut b, _b_executor) = start_successor(&shared);
    a.terminate();
    a.wait_log("told to leave");
    let (c, mut c_executor) = start_successor(&shared);
    b.terminate();
    b.wait_log("told to leave");
    let mut late = Client::connect(c.http);
    late.send(&retry("k1"));
    c_executor.quiet_but_for(&c, "");
    a_executor.exit(job(&exec), "PASS", "placed");
    assert_eq!(client.answer().body, b"placed");
    assert_eq!(late.answer().body, b"placed");
    assert!(a.ended_well() && b.ended_well());
    client.send(&Ask::new("look"));
    c_executor.serve(&mut client, "two hops on");
}

#[test]
fn a_drain_reaches_the_successor_at_the_hand_off_and_by_the_predecessors_console() {
    let shared = SharedListener::new();
    let (mut predecessor, _predecessor_executor) = start_first(&shared);
    assert_eq!(predecessor.call("POST", "/-/drain").0, 200);
    let successor = Site::at(&shared, |_| {});
    let _successor_executor = successor.link_silently();
    wait_ready(&successor);
    assert_eq!(successor.health(), 503);
    successor.wait_beat("draining");
    predecessor.reload(|c| c["stop_ms"] = json!(7000));
    assert_eq!(predecessor.call("POST", "/-/resume").0, 200);
    successor.wait_beat("ready");
    assert_eq!(successor.health(), 200);
}

#[test]
fn a_descriptor_that_does_not_listen_is_a_one_line_error() {
    let folder = std::env::temp_dir().join(format!("honeypost-fd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "settings": settings()
    });
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let file = std::fs::File::open(folder.join("config.json")).unwrap();
    rustix::io::fcntl_setfd(&file, rustix::io::FdFlags::empty()).unwrap();
    for number in ["nonsense", "1", "987654", &file.as_raw_fd().to_string()] {
        let ended = Command::new(env!("CARGO_BIN_EXE_port-worker"))
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("ROUTER_SOCKET_FD", number)
            .output()
            .unwrap();
        let text = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(ended.status.code(), Some(2), "{number}: {text}");
        assert!(text.contains("ROUTER_SOCKET_FD") && text.lines().count() == 1, "{number}: {text}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn without_a_shared_folder_a_process_serves_alone() {
    for (folder, expected) in [
        ("", "this process can't replace or be replaced"),
        ("/nowhere/at/all", "this process can't be replaced"),
    ] {
        let mut shared = SharedListener::new();
        let kept = std::mem::replace(&mut shared.folder, folder.into());
        let (mut site, _executor) = start_first(&shared);
        assert_eq!(site.health(), 200);
        // The line may come after the answer: it goes through a pipe of its own.
        let seen = site.log.iter().any(|line| line.contains(expected));
        let waited = seen || site.wait_log("replaced").contains(expected);
        assert!(waited, "{expected:?} is not in {:?}", site.log);
        shared.folder = kept;
    }
}

/// Runs whatever it is given until its link ends; returns the bodies of all orders that it ran.
fn run_all(mut executor: Executor) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let mut ran = Vec::new();
        while let Some(command) = executor.command_or_end() {
            if command["type"] == "EXEC" {
                if command["kind"] == "order" {
                    ran.push(command["data"].as_str().unwrap().to_owned());
                }
                std::thread::sleep(std::time::Duration::from_millis(2));
                executor.exit(job(&command), "PASS", "result");
            }
        }
        ran
    })
}

#[test]
fn three_hot_restarts_under_load_drop_no_connection_and_run_no_key_twice() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let shared = SharedListener::new();
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
                        let reply = client.ask(&Ask { body: &key, ..ask });
                        assert!(matches!(reply.status, 200 | 503), "{reply:?}");
                        served += u32::from(reply.status == 200);
                    }
                    assert!(matches!(client.ask(&Ask::new("look")).status, 200 | 503));
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
        assert!(current.ended_well());
        current = successor;
    }
    over.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served > 100, "{served} orders were served");
    assert_eq!(current.figure("svc.concurrent"), 0);
    drop(current);
    let mut ran: Vec<String> = executors.into_iter().flat_map(|e| e.join().unwrap()).collect();
    let all = ran.len();
    ran.sort();
    ran.dedup();
    assert_eq!(ran.len(), all, "some key ran twice");
}

/// Whether an AJP frontend answers a CPing.
fn cping(stream: &mut std::net::TcpStream) -> bool {
    let mut answer = [0; 5];
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(&[0x12, 0x34, 0, 1, 10]).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == [b'A', b'B', 0, 1, 9]
}

#[test]
fn operator_frontends_are_handed_off_with_their_sockets() {
    let shared = SharedListener::new();
    let (_kept, ajp) = reserve();
    let (_also, http2) = reserve();
    drop((_kept, _also));
    let operator = format!(
        "[ajp]\nlisten = \"{ajp}\"\n[[ajp.route]]\npath = \"/look\"\nclass = \"look\"\n[http2]\nlisten = \"{http2}\"\n"
    );
    let mut predecessor = Site::at_with(&shared, |_| {}, Some(&operator));
    predecessor.wait_log("the door is open here");
    let _predecessor_executor = predecessor.link();
    let mut resting = std::net::TcpStream::connect(ajp).unwrap();
    assert!(cping(&mut resting));
    let mut successor = Site::at_with(&shared, |_| {}, Some(&operator));
    let _successor_executor = successor.link();
    wait_ready(&successor);
    successor.wait_log(&format!("ajp on {ajp}"));
    successor.wait_log(&format!("http2 on {http2}"));
    // Idle connections of the predecessor are closed, as in a shutdown; successor ones are the successor's.
    assert_eq!(resting.read(&mut [0; 8]).unwrap_or(0), 0);
    predecessor.terminate();
    assert!(predecessor.ended_well());
    assert!(cping(&mut std::net::TcpStream::connect(ajp).unwrap()));
    let mut client = std::net::TcpStream::connect(http2).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").unwrap();
    let mut frame = [0; 9];
    client.read_exact(&mut frame).unwrap();
    assert_eq!(frame[3], 4, "its first frame is SETTINGS");
}

#[test]
fn a_predecessor_killed_while_it_sends_state_leaves_nothing_half_adopted() {
    let shared = SharedListener::new();
    let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
    let mut successor = Site::at(&shared, |_| {});
    let mut peer = ScriptedProcess::on(listener.accept().unwrap().0);
    let mut executor = successor.link_silently();
    assert!(matches!(peer.receive(), Frame::Hello { .. }));
    peer.send(&Frame::Welcome);
    assert_eq!(peer.receive(), Frame::RequestListeners);
    let learned = port_worker::interface::LearnedState { run_limit: 9, ..Default::default() };
    peer.send(&Frame::State { fingerprint_key: (1, 2), draining: true, learned, running: vec!["r1".into()] });
    let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
    let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"placed"))));
    let state =
        Frame::Key(KeyState { key, body_fingerprint: 7, expires_at_ms: unix_ms() as f64 + 9000.0, outcome })
            .encode();
    peer.stream.write_all(&state[..state.len() / 2]).unwrap();
    drop(peer);
    successor.wait_log("the old process has ended");
    wait_ready(&successor);
    // Neither the drain nor the key was received completely.
    assert_eq!(successor.health(), 200);
    let mut client = Client::connect(successor.http);
    assert_eq!(client.ask(&retry("k1")).status, 500);
    assert_eq!(client.ask(&retry("k2")).status, 500);
    client.send(&order("k3"));
    executor.serve(&mut client, "placed");
}

#[test]
fn a_reload_during_a_hot_restart_moves_the_peers_of_both_and_loses_nothing() {
    let shared = SharedListener::new();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut open = Client::connect(predecessor.http);
    open.send(&order("k1"));
    let exec = predecessor_executor.next("EXEC");
    let (mut successor, _successor_executor) = start_successor(&shared);
    // The executor of each is to be found elsewhere from now on.
    let _kept = (predecessor.move_peers(), successor.move_peers());
    let mut predecessor_next = Executor::accept(&predecessor.executor);
    let mut successor_next = Executor::accept(&successor.executor);
    for executor in [&mut predecessor_next, &mut successor_next] {
        executor.next("JOIN");
        executor.say(json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_000.0}));
    }
    predecessor_next.n = predecessor_executor.n;
    let mut client = Client::connect(successor.http);
    client.send(&retry("k1"));
    // What was commanded just before may be sent again on the successor link.
    predecessor_next.started.push(exec["job"].clone());
    predecessor_next.exit(job(&exec), "PASS", "placed");
    assert_eq!(open.answer().body, b"placed");
    assert_eq!(client.answer().body, b"placed");
    client.send(&Ask::new("look"));
    successor_next.serve(&mut client, "moved");
    successor.wait_beat("ready");
    predecessor.terminate();
    assert!(predecessor.ended_well());
}

#[test]
fn a_successor_shut_down_before_it_can_serve_exits_immediately() {
    let shared = SharedListener::new();
    let (mut predecessor, _executor) = start_first(&shared);
    let mut successor = Site::at(&shared, |_| {});
    assert_eq!(successor.call("GET", "/-/ready").0, 503);
    successor.terminate();
    assert!(successor.ended_well());
    predecessor.wait_log("the new process has ended");
    assert_eq!(predecessor.call("GET", "/-/ready").0, 200);
    assert_eq!(predecessor.health(), 200);
}

#[test]
fn a_predecessor_that_sends_too_much_state_is_not_believed() {
    let shared = SharedListener::new();
    let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
    let mut successor = Site::at(&shared, |c| c["limits"]["memory_mb"] = json!(16));
    let mut peer = ScriptedProcess::on(listener.accept().unwrap().0);
    let _executor = successor.link_silently();
    assert!(matches!(peer.receive(), Frame::Hello { .. }));
    peer.send(&Frame::Welcome);
    assert_eq!(peer.receive(), Frame::RequestListeners);
    // Results of 4 KiB, for more keys than a process can have.
    let result = Bytes(vec![b'x'; 4096].into());
    for n in 0..5000 {
        let key = Key { class: 1, tenant: Some(0), key: format!("k{n}").into() };
        let outcome = KeyOutcome::Served(Some(result.clone()));
        let state = Frame::Key(KeyState { key, body_fingerprint: 0, expires_at_ms: 4e12, outcome });
        if peer.stream.write_all(&state.encode()).is_err() {
            break;
        }
    }
    successor.wait_log("the old process says too much");
    wait_ready(&successor);
    assert!(successor.resident_kb() < 24.0 * 1024.0, "{} KB", successor.resident_kb());
}
