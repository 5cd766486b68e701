//! Stories of a worker that is replaced under load: real processes at one door, and scripted ones on the link between.

mod common;

use common::*;
use port_worker::hot_restart::frame::{Bytes, Frame, Key, KeyOutcome, KeyState, VERSION};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Command;
use std::time::Instant;

/// A scripted process at the other end of the handover link. Descriptors that come with frames are closed unread.
struct Peer {
    stream: UnixStream,
    input: Vec<u8>,
}

impl Peer {
    fn on(stream: UnixStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { stream, input: Vec::new() }
    }

    fn connect(door: &Door) -> Peer {
        Peer::on(UnixStream::connect(door.socket()).unwrap())
    }

    fn say(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode()).unwrap();
    }

    fn next(&mut self) -> Frame {
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

    fn hello(&mut self, version: u32) {
        let (classes, tenants) = (vec!["look".into(), "order".into()], vec!["acme".into()]);
        self.say(&Frame::Hello { version, name: "n1".into(), classes, tenants });
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

fn again<'a>(key: &'a str) -> Ask<'a> {
    Ask { extra: "X-Resent: 1\r\n", ..order(key) }
}

/// An old process that serves, and its executor.
fn first(door: &Door) -> (Site, Executor) {
    let old = Site::at(door, |_| {});
    let executor = old.link();
    wait_ready(&old);
    (old, executor)
}

/// A new one that has taken over.
fn second(door: &Door) -> (Site, Executor) {
    let new = Site::at(door, |_| {});
    let executor = new.link();
    wait_ready(&new);
    (new, executor)
}

fn job(command: &Value) -> &Value {
    &command["job"]
}

#[test]
fn no_request_ends_at_the_door_and_each_is_answered_where_it_was_asked() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    // One connection of each kind: idle, in the middle of a request, with a run, and with one that waits for a slot.
    let mut idle = Client::connect(old.http);
    idle.send(&Ask::new("look"));
    old_executor.serve(&mut idle, "first");
    let text = Ask::new("look").text();
    let mut half = Client::connect(old.http);
    half.write(&text[..60]);
    let (mut runs, mut execs) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = Client::connect(old.http);
        client.send(&Ask::new("look"));
        execs.push(old_executor.next("EXEC"));
        runs.push(client);
    }
    let mut held = Client::connect(old.http);
    held.send(&order("k-held"));
    while old.figure("svc.concurrent") < 3 {}

    let (new, mut new_executor) = second(&door);
    assert_eq!(old.call("GET", "/-/ready").0, 503);
    old.terminate();
    old.wait_log("told to leave");
    // The held one runs at the new process, once a slot is free there: both count the old one's runs.
    for (exec, client) in execs.iter().zip(&mut runs) {
        old_executor.exit(job(exec), "PASS", "of the old");
        assert_eq!(client.answer().body, b"of the old");
    }
    let exec = new_executor.next("EXEC");
    assert_eq!(exec["kind"], "order");
    new_executor.exit(job(&exec), "PASS", "held no more");
    assert_eq!(held.answer().body, b"held no more");
    // All connections go on, those of the runs included.
    half.write(&text[60..]);
    for (i, client) in [&mut half, &mut idle].into_iter().chain(&mut runs).enumerate() {
        if i > 0 {
            client.send(&Ask::new("look"));
        }
        new_executor.serve(client, "of the new");
    }
    assert!(old.ended_well());
    old.wait_log("left with all handed over");
    // SIGTERM was no notice to drain: the old process never said so.
    old.registry.set_nonblocking(true).unwrap();
    let mut bytes = [0; 64];
    while let Ok(n) = old.registry.recv(&mut bytes) {
        assert_eq!(&bytes[..n], b"BEAT n1 ready");
    }
    assert_eq!(new.figure("svc.replies.look.success"), 4);
    assert_eq!(new.health(), 200);
}

#[test]
fn a_key_runs_once_in_both_processes_together() {
    let door = Door::new();
    let (old, mut old_executor) = first(&door);
    let mut served = Client::connect(old.http);
    served.send(&order("k-served"));
    let exec = old_executor.next("EXEC");
    old_executor.exit(job(&exec), "PASS", "placed 1");
    served.answer();
    let mut open = Client::connect(old.http);
    open.send(&order("k-open"));
    let exec = old_executor.next("EXEC");

    let (new, mut new_executor) = second(&door);
    let mut client = Client::connect(new.http);
    assert_eq!(client.ask(&again("k-served")).body, b"placed 1");
    let other = Ask { body: "another order", ..again("k-served") };
    assert_eq!(client.ask(&other).status, 409);
    let mut client = Client::connect(new.http);
    client.send(&again("k-open"));
    new_executor.quiet_but_for(&new, "");
    assert!(!client.has_answer());
    old_executor.exit(job(&exec), "PASS", "placed 2");
    assert_eq!(open.answer().body, b"placed 2");
    assert_eq!(client.answer().body, b"placed 2");
    assert_eq!(client.ask(&again("k-open")).body, b"placed 2");
}

#[test]
fn a_key_whose_end_died_with_the_old_process_fails_and_never_runs_again() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let mut open = Client::connect(old.http);
    open.send(&order("k1"));
    old_executor.next("EXEC");
    let (new, mut new_executor) = second(&door);
    let mut client = Client::connect(new.http);
    client.send(&again("k1"));
    new_executor.quiet_but_for(&new, "");
    old.kill();
    assert_eq!(client.answer().status, 500);
    assert_eq!(client.ask(&again("k1")).status, 500);
    // The old process told of all its keys: another one runs.
    client.send(&again("k2"));
    new_executor.serve(&mut client, "placed");
}

#[test]
fn a_new_process_that_dies_before_it_can_serve_changes_nothing() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let mut new = Site::at(&door, |_| {});
    assert_eq!(new.call("GET", "/-/ready").0, 503);
    new.kill();
    old.wait_log("the new process has ended");
    let mut client = Client::connect(old.http);
    client.send(&Ask::new("look"));
    old_executor.serve(&mut client, "as ever");
    assert_eq!(old.call("GET", "/-/ready").0, 200);
}

#[test]
fn what_was_lent_to_a_process_that_died_before_its_word_is_taken_back() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let mut idle = Client::connect(old.http);
    assert_eq!(idle.ask_check(), 200);
    let mut clients = Vec::new();
    let mut execs = Vec::new();
    for _ in 0..2 {
        let mut client = Client::connect(old.http);
        client.send(&Ask::new("look"));
        execs.push(old_executor.next("EXEC"));
        clients.push(client);
    }
    let mut held = Client::connect(old.http);
    held.send(&order("k1"));
    while old.figure("svc.concurrent") < 3 {}
    let mut peer = Peer::connect(&door);
    peer.hello(VERSION);
    assert_eq!(peer.next(), Frame::Welcome);
    peer.say(&Frame::RequestListeners);
    let mut passed = 0;
    loop {
        match peer.next() {
            Frame::Connection(p) => passed += if p.queued_request.is_some() { 10 } else { 1 },
            Frame::StateComplete => break,
            _ => {}
        }
    }
    assert_eq!(passed, 11, "one held request and one idle connection");
    assert_eq!(old.call("GET", "/-/ready").0, 503);
    drop(peer);
    old.wait_log("the door is taken back");
    assert_eq!(old.call("GET", "/-/ready").0, 200);
    assert_eq!(idle.ask_check(), 200);
    for (exec, client) in execs.iter().zip(&mut clients) {
        old_executor.exit(job(exec), "PASS", "");
        assert_eq!(client.answer().status, 200);
    }
    old_executor.serve(&mut held, "placed");
    assert_eq!(old.figure("svc.replies.order.success"), 1);
    assert_eq!(old.figure("svc.concurrent"), 0);
}

#[test]
fn the_door_goes_back_when_the_new_process_dies_and_unknown_keys_fail_for_a_window() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let (mut new, _new_executor) = second(&door);
    old.wait_log("the new process has the door");
    new.kill();
    old.wait_log("the door is open here");
    assert_eq!(old.call("GET", "/-/ready").0, 200);
    old.wait_beat("ready");
    let mut client = Client::connect(old.http);
    client.send(&Ask::new("look"));
    old_executor.serve(&mut client, "");
    assert_eq!(client.ask(&again("k1")).status, 500);
    client.send(&order("k2"));
    old_executor.serve(&mut client, "placed");
    // And it can be replaced again.
    let (third, _executor) = second(&door);
    assert_eq!(third.health(), 200);
    old.terminate();
    assert!(old.ended_well());
}

#[test]
fn a_process_that_hangs_is_not_waited_for_and_gives_all_when_it_wakes() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let mut client = Client::connect(old.http);
    client.send(&order("k1"));
    let exec = old_executor.next("EXEC");
    old_executor.exit(job(&exec), "PASS", "placed 1");
    client.answer();
    old.hang(true);
    let (mut new, mut new_executor) = second(&door);
    let mut fresh = Client::connect(new.http);
    fresh.send(&Ask::new("look"));
    new_executor.serve(&mut fresh, "");
    // Nobody knows what the old one runs: a key fails, even one that comes for the first time.
    assert_eq!(fresh.ask(&order("k2")).status, 500);
    old.hang(false);
    new.wait_log("all keys are known again");
    old.wait_log("the new process has the door");
    let mut fresh = Client::connect(new.http);
    assert_eq!(fresh.ask(&again("k1")).body, b"placed 1");
    client.send(&Ask::new("look"));
    new_executor.serve(&mut client, "on the old connection");
    old.terminate();
    assert!(old.ended_well());
}

#[test]
fn a_stranger_and_a_damaged_word_give_nothing_and_take_nothing() {
    for damage in [false, true] {
        let door = Door::new();
        let listener = UnixListener::bind(door.socket()).unwrap();
        let mut new = Site::at(&door, |_| {});
        let mut peer = Peer::on(listener.accept().unwrap().0);
        assert!(matches!(peer.next(), Frame::Hello { version: VERSION, .. }));
        let mut executor = new.link_silently();
        if damage {
            peer.say(&Frame::Welcome);
            assert_eq!(peer.next(), Frame::RequestListeners);
            let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
            let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"made up"))));
            peer.say(&Frame::Key(KeyState { key, body_fingerprint: 0, expires_at_ms: 4e12, outcome }));
            peer.stream.write_all(b"\0\0\0\x05\0nonsense").unwrap();
        } else {
            peer.say(&Frame::Incompatible { reason: "too old".into() });
        }
        new.wait_log("keys that are not known here fail");
        wait_ready(&new);
        let mut client = Client::connect(new.http);
        assert_eq!(client.ask(&order("k1")).status, 500);
        client.send(&Ask::new("look"));
        executor.serve(&mut client, "");
        // It is watched all the same: with its end the doubt gets one.
        let watched = damage.then(|| listener.accept().unwrap());
        let (link, watched) = (peer, watched);
        drop((link, watched));
        if damage {
            new.wait_log("the old process has ended");
        }
    }
}

#[test]
fn an_unknown_version_is_told_so_and_the_old_process_serves_on() {
    let door = Door::new();
    let (mut old, _executor) = first(&door);
    let mut peer = Peer::connect(&door);
    peer.hello(VERSION + 1);
    assert!(matches!(peer.next(), Frame::Incompatible { .. }));
    peer.say(&Frame::RequestListeners);
    assert_eq!(old.health(), 200);
    assert_eq!(old.call("GET", "/-/ready").0, 200);
    drop(peer);
    // Noise on the link does no more.
    let mut peer = Peer::connect(&door);
    peer.stream.write_all(&[0xff; 64]).unwrap();
    old.wait_log("is damaged");
    assert_eq!(old.health(), 200);
}

#[test]
fn a_socket_file_without_a_process_leaves_further_tries_in_doubt() {
    let door = Door::new();
    drop(UnixListener::bind(door.socket()).unwrap());
    let (mut site, mut executor) = first(&door);
    site.wait_log("has died");
    let mut client = Client::connect(site.http);
    assert_eq!(client.ask(&again("k1")).status, 500);
    client.send(&order("k2"));
    executor.serve(&mut client, "placed");
    // One that leaves in good order leaves no file.
    site.terminate();
    assert!(site.ended_well());
    assert!(!door.socket().exists());
}

#[test]
fn a_second_replacement_right_after_the_first_keeps_the_first_ones_runs() {
    let door = Door::new();
    let (mut a, mut a_executor) = first(&door);
    let mut client = Client::connect(a.http);
    client.send(&order("k1"));
    let exec = a_executor.next("EXEC");
    let (mut b, _b_executor) = second(&door);
    a.terminate();
    a.wait_log("told to leave");
    let (c, mut c_executor) = second(&door);
    b.terminate();
    b.wait_log("told to leave");
    let mut late = Client::connect(c.http);
    late.send(&again("k1"));
    c_executor.quiet_but_for(&c, "");
    a_executor.exit(job(&exec), "PASS", "placed");
    assert_eq!(client.answer().body, b"placed");
    assert_eq!(late.answer().body, b"placed");
    assert!(a.ended_well() && b.ended_well());
    client.send(&Ask::new("look"));
    c_executor.serve(&mut client, "two hops on");
}

#[test]
fn a_drain_goes_over_with_the_door_and_reaches_it_by_the_old_console() {
    let door = Door::new();
    let (mut old, _old_executor) = first(&door);
    assert_eq!(old.call("POST", "/-/drain").0, 200);
    let new = Site::at(&door, |_| {});
    let _new_executor = new.link_silently();
    wait_ready(&new);
    assert_eq!(new.health(), 503);
    new.wait_beat("draining");
    old.reload(|c| c["stop_ms"] = json!(7000));
    assert_eq!(old.call("POST", "/-/resume").0, 200);
    new.wait_beat("ready");
    assert_eq!(new.health(), 200);
}

#[test]
fn a_descriptor_that_does_not_listen_is_one_line_and_a_bad_end() {
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
fn without_a_folder_to_meet_in_it_serves_as_the_first_process() {
    for folder in ["", "/nowhere/at/all"] {
        let mut door = Door::new();
        let kept = std::mem::replace(&mut door.folder, folder.into());
        let (mut site, _executor) = first(&door);
        assert_eq!(site.health(), 200);
        let line = |l: &String| l.contains("can't replace") || l.contains("can't be replaced");
        let said = site.log.iter().any(line) || site.find_log("replaced").is_some();
        assert!(said, "{:?}", site.log);
        door.folder = kept;
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
fn under_load_three_replacements_close_on_nobody_and_run_no_key_twice() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let door = Door::new();
    let (old, executor) = first(&door);
    let mut executors = vec![run_all(executor)];
    let (http, over) = (old.http, std::sync::Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let over = over.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(http);
                let (mut served, mut round) = (0, 0);
                while !over.load(Ordering::Relaxed) {
                    round += 1;
                    // Each order comes twice, the second time perhaps at another process than the first.
                    let key = format!("k{n}-{round}");
                    for ask in [order(&key), again(&key)] {
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
    let mut current = old;
    for _ in 0..3 {
        std::thread::sleep(std::time::Duration::from_millis(150));
        let (new, executor) = second(&door);
        executors.push(run_all(executor));
        current.terminate();
        assert!(current.ended_well());
        current = new;
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

/// Asks an AJP front whether it is there.
fn cping(stream: &mut std::net::TcpStream) -> bool {
    let mut answer = [0; 5];
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(&[0x12, 0x34, 0, 1, 10]).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == [b'A', b'B', 0, 1, 9]
}

#[test]
fn the_operators_fronts_go_over_with_their_sockets() {
    let door = Door::new();
    let (_kept, ajp) = reserve();
    let (_also, http2) = reserve();
    drop((_kept, _also));
    let operator = format!(
        "[ajp]\nlisten = \"{ajp}\"\n[[ajp.route]]\npath = \"/look\"\nclass = \"look\"\n[http2]\nlisten = \"{http2}\"\n"
    );
    let mut old = Site::at_with(&door, |_| {}, Some(&operator));
    old.wait_log("the door is open here");
    let _old_executor = old.link();
    let mut resting = std::net::TcpStream::connect(ajp).unwrap();
    assert!(cping(&mut resting));
    let mut new = Site::at_with(&door, |_| {}, Some(&operator));
    let _new_executor = new.link();
    wait_ready(&new);
    new.wait_log(&format!("ajp on {ajp}"));
    new.wait_log(&format!("http2 on {http2}"));
    // What rests at the old process is closed, as in a drain; whoever comes is the new one's.
    assert_eq!(resting.read(&mut [0; 8]).unwrap_or(0), 0);
    old.terminate();
    assert!(old.ended_well());
    assert!(cping(&mut std::net::TcpStream::connect(ajp).unwrap()));
    let mut client = std::net::TcpStream::connect(http2).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").unwrap();
    let mut frame = [0; 9];
    client.read_exact(&mut frame).unwrap();
    assert_eq!(frame[3], 4, "its first frame is SETTINGS");
}

#[test]
fn an_old_process_killed_in_the_middle_of_its_words_leaves_nothing_half_believed() {
    let door = Door::new();
    let listener = UnixListener::bind(door.socket()).unwrap();
    let mut new = Site::at(&door, |_| {});
    let mut peer = Peer::on(listener.accept().unwrap().0);
    let mut executor = new.link_silently();
    assert!(matches!(peer.next(), Frame::Hello { .. }));
    peer.say(&Frame::Welcome);
    assert_eq!(peer.next(), Frame::RequestListeners);
    let learned = port_worker::interface::LearnedState { runs: 9, ..Default::default() };
    peer.say(&Frame::State { fingerprint_key: (1, 2), draining: true, learned, running: vec!["r1".into()] });
    let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
    let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"placed"))));
    let state =
        Frame::Key(KeyState { key, body_fingerprint: 7, expires_at_ms: unix_ms() as f64 + 9000.0, outcome })
            .encode();
    peer.stream.write_all(&state[..state.len() / 2]).unwrap();
    drop(peer);
    new.wait_log("the old process has ended");
    wait_ready(&new);
    // Neither the drain nor the key came in whole.
    assert_eq!(new.health(), 200);
    let mut client = Client::connect(new.http);
    assert_eq!(client.ask(&again("k1")).status, 500);
    assert_eq!(client.ask(&again("k2")).status, 500);
    client.send(&order("k3"));
    executor.serve(&mut client, "placed");
}

#[test]
fn a_reload_of_both_in_the_overlap_moves_their_peers_and_loses_nothing() {
    let door = Door::new();
    let (mut old, mut old_executor) = first(&door);
    let mut open = Client::connect(old.http);
    open.send(&order("k1"));
    let exec = old_executor.next("EXEC");
    let (mut new, _new_executor) = second(&door);
    // The executor of each is to be found elsewhere from now on.
    let _kept = (old.move_peers(), new.move_peers());
    let mut old_next = Executor::accept(&old.executor);
    let mut new_next = Executor::accept(&new.executor);
    for executor in [&mut old_next, &mut new_next] {
        executor.next("JOIN");
        executor.say(json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_000.0}));
    }
    old_next.n = old_executor.n;
    let mut client = Client::connect(new.http);
    client.send(&again("k1"));
    // What was commanded just before may be given again on the new link.
    old_next.started.push(exec["job"].clone());
    old_next.exit(job(&exec), "PASS", "placed");
    assert_eq!(open.answer().body, b"placed");
    assert_eq!(client.answer().body, b"placed");
    client.send(&Ask::new("look"));
    new_next.serve(&mut client, "moved");
    new.wait_beat("ready");
    old.terminate();
    assert!(old.ended_well());
}

#[test]
fn a_new_process_told_to_leave_before_it_can_serve_ends_at_once() {
    let door = Door::new();
    let (mut old, _executor) = first(&door);
    let mut new = Site::at(&door, |_| {});
    assert_eq!(new.call("GET", "/-/ready").0, 503);
    new.terminate();
    assert!(new.ended_well());
    old.wait_log("the new process has ended");
    assert_eq!(old.call("GET", "/-/ready").0, 200);
    assert_eq!(old.health(), 200);
}

#[test]
fn an_old_process_that_says_more_than_one_can_have_is_not_believed() {
    let door = Door::new();
    let listener = UnixListener::bind(door.socket()).unwrap();
    let mut new = Site::at(&door, |c| c["limits"]["memory_mb"] = json!(16));
    let mut peer = Peer::on(listener.accept().unwrap().0);
    let _executor = new.link_silently();
    assert!(matches!(peer.next(), Frame::Hello { .. }));
    peer.say(&Frame::Welcome);
    assert_eq!(peer.next(), Frame::RequestListeners);
    // Results of 4 KiB, for keys without end.
    let result = Bytes(vec![b'x'; 4096].into());
    for n in 0..5000 {
        let key = Key { class: 1, tenant: Some(0), key: format!("k{n}").into() };
        let outcome = KeyOutcome::Served(Some(result.clone()));
        let state = Frame::Key(KeyState { key, body_fingerprint: 0, expires_at_ms: 4e12, outcome });
        if peer.stream.write_all(&state.encode()).is_err() {
            break;
        }
    }
    new.wait_log("the old process says too much");
    wait_ready(&new);
    assert!(new.resident_kb() < 24.0 * 1024.0, "{} KB", new.resident_kb());
}
