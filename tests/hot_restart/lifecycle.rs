//! Start, reload, drain and shutdown before, during and after a hot restart.

use crate::{job, order, retry, start_first, start_successor, WORKER};
use serde_json::json;
use std::io::{Read, Write};
use std::os::fd::AsRawFd;
use test_support::{reserve_address, settings, Client, Executor, RequestBuilder, SharedListener, TIMEOUT};

#[test]
fn drain_reaches_the_successor_at_the_hand_off_and_through_the_predecessors_console() {
    let shared = SharedListener::bind();
    let (mut predecessor, _predecessor_executor) = start_first(&shared);
    assert_eq!(predecessor.console_request("POST", "/-/drain").0, 200);
    let successor = WORKER.start_on(&shared, |_| {});
    let _successor_executor = successor.accept_link_without_waiting();
    successor.wait_ready();
    assert_eq!(successor.check_health(), 503);
    successor.wait_load_report("draining");
    predecessor.reload(|c| c["stop_ms"] = json!(7000));
    assert_eq!(predecessor.console_request("POST", "/-/resume").0, 200);
    successor.wait_load_report("ready");
    assert_eq!(successor.check_health(), 200);
}

#[test]
fn invalid_listener_descriptor_ends_the_start_with_a_one_line_error() {
    let folder = std::env::temp_dir().join(format!("honeypost-fd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "settings": settings()
    });
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let file = std::fs::File::open(folder.join("config.json")).unwrap();
    rustix::io::fcntl_setfd(&file, rustix::io::FdFlags::empty()).unwrap();
    for descriptor in ["nonsense", "1", "987654", &file.as_raw_fd().to_string()] {
        let output = WORKER
            .command()
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("ROUTER_SOCKET_FD", descriptor)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{descriptor}: {text}");
        assert!(text.contains("ROUTER_SOCKET_FD") && text.lines().count() == 1, "{descriptor}: {text}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn worker_without_a_shared_folder_serves_without_hot_restart() {
    for (folder, expected) in [
        ("", "hot_restart_unavailable cause=\"TMPDIR names no folder\""),
        ("/nowhere/at/all", "hot_restart_unavailable cause=\"No such file"),
    ] {
        let mut shared = SharedListener::bind();
        let real_folder = std::mem::replace(&mut shared.folder, folder.into());
        let (mut worker, _executor) = start_first(&shared);
        assert_eq!(worker.check_health(), 200);
        // The log line may be read after the response, since it goes through a separate pipe.
        let already_read = worker.log.iter().any(|line| line.contains(expected));
        let logged = already_read || worker.wait_log("hot_restart_unavailable").contains(expected);
        assert!(logged, "{expected:?} is not in {:?}", worker.log);
        shared.folder = real_folder;
    }
}

/// Whether an AJP frontend replies to a `CPing`.
fn cping(stream: &mut std::net::TcpStream) -> bool {
    let mut reply = [0; 5];
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&[0x12, 0x34, 0, 1, 10]).is_ok()
        && stream.read_exact(&mut reply).is_ok()
        && reply == [b'A', b'B', 0, 1, 9]
}

#[test]
fn operator_frontends_are_handed_off_with_their_sockets() {
    let shared = SharedListener::bind();
    let (reserved_ajp, ajp) = reserve_address();
    let (reserved_http2, http2) = reserve_address();
    drop((reserved_ajp, reserved_http2));
    let operator = format!(
        "[ajp]\nlisten = \"{ajp}\"\n[[ajp.route]]\npath = \"/look\"\nclass = \"look\"\n[http2]\nlisten = \"{http2}\"\n"
    );
    let mut predecessor = WORKER.start_on_with(&shared, |_| {}, Some(&operator));
    predecessor.wait_log("listeners_acquired");
    let _predecessor_executor = predecessor.accept_link();
    let mut idle = std::net::TcpStream::connect(ajp).unwrap();
    assert!(cping(&mut idle));
    let mut successor = WORKER.start_on_with(&shared, |_| {}, Some(&operator));
    let _successor_executor = successor.accept_link();
    successor.wait_ready();
    successor.wait_log(&format!("frontend=ajp address={ajp}"));
    successor.wait_log(&format!("frontend=http2 address={http2}"));
    // The predecessor closes its idle connections, as in a shutdown; new connections reach the successor.
    assert_eq!(idle.read(&mut [0; 8]).unwrap_or(0), 0);
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
    assert!(cping(&mut std::net::TcpStream::connect(ajp).unwrap()));
    let mut client = std::net::TcpStream::connect(http2).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").unwrap();
    let mut frame = [0; 9];
    client.read_exact(&mut frame).unwrap();
    assert_eq!(frame[3], 4, "the first frame is not SETTINGS");
}

#[test]
fn reload_during_a_hot_restart_moves_the_peers_of_both_processes_without_loss() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut first_client = Client::connect(predecessor.http);
    first_client.send(&order("k1"));
    let exec = predecessor_executor.expect_command("EXEC");
    let (mut successor, _successor_executor) = start_successor(&shared);
    // From now on the peers of each process have new addresses.
    let _old_peers = (predecessor.move_peers(), successor.move_peers());
    let mut predecessor_next = Executor::accept(&predecessor.executor);
    let mut successor_next = Executor::accept(&successor.executor);
    for executor in [&mut predecessor_next, &mut successor_next] {
        executor.expect_command("JOIN");
        executor.send_welcome();
    }
    predecessor_next.last_notice = predecessor_executor.last_notice;
    let mut client = Client::connect(successor.http);
    client.send(&retry("k1"));
    // A command sent just before the move may be sent again on the new link.
    predecessor_next.started_jobs.push(exec["job"].clone());
    predecessor_next.send_exit(job(&exec), "PASS", "placed");
    assert_eq!(first_client.read_response().body, b"placed");
    assert_eq!(client.read_response().body, b"placed");
    client.send(&RequestBuilder::new("look"));
    successor_next.serve_next(&mut client, "moved");
    successor.wait_load_report("ready");
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
}

#[test]
fn a_successor_shut_down_before_it_can_serve_exits_immediately() {
    let shared = SharedListener::bind();
    let (mut predecessor, _executor) = start_first(&shared);
    let mut successor = WORKER.start_on(&shared, |_| {});
    assert_eq!(successor.console_request("GET", "/-/ready").0, 503);
    successor.terminate();
    assert!(successor.exits_successfully());
    predecessor.wait_log("hot_restart_peer_exited peer=successor");
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 200);
    assert_eq!(predecessor.check_health(), 200);
}
