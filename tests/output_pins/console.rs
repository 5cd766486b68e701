//! Responses of the console.

use crate::{mask_after, Transcript, POOLS, WORKER};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;
use test_support::{
    accept_link, reserve_address, Client, Executor, RequestBuilder, WorkerUnderTest, TIMEOUT,
};

/// Sends bytes to the console and reads everything up to the end of the connection.
fn console_exchange(worker: &WorkerUnderTest, request: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(worker.console.expect("a console")).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).unwrap();
    reply
}

fn console_request(worker: &WorkerUnderTest, method: &str, path: &str) -> Vec<u8> {
    console_exchange(worker, &format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n"))
}

fn start_with_console(operator: Option<&str>) -> WorkerUnderTest {
    WORKER.start_with(|config| config["console"] = json!("127.0.0.1:0"), operator)
}

/// Makes one request whose run ends in this state.
fn run_one(worker: &WorkerUnderTest, executor: &mut Executor, request: &RequestBuilder, state: &str) {
    let mut client = Client::connect(worker.http);
    client.send(request);
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], state, "done");
    client.read_response();
}

#[test]
fn console_replies_match_the_fixture() {
    let mut transcript = Transcript::default();
    let mut worker = start_with_console(None);
    transcript.add_bytes("ready without a link", &console_request(&worker, "GET", "/-/ready"));
    transcript.add_bytes("metrics without a link", &console_request(&worker, "GET", "/-/metrics"));
    let mut executor = worker.accept_link();
    for (title, method, path) in [
        ("ready", "GET", "/-/ready"),
        ("ready with a query", "GET", "/-/ready?verbose=1"),
        ("drain", "POST", "/-/drain"),
        ("drain again", "POST", "/-/drain"),
        ("ready while draining", "GET", "/-/ready"),
        ("resume", "POST", "/-/resume"),
        ("resume without a drain", "POST", "/-/resume"),
        ("unknown path", "GET", "/-/nothing"),
        ("unknown path outside of the console's", "GET", "/"),
        ("path with a slash too many", "GET", "/-/ready/"),
        ("ready with a wrong method", "POST", "/-/ready"),
        ("ready with HEAD", "HEAD", "/-/ready"),
        ("metrics with a wrong method", "POST", "/-/metrics"),
        ("drain with a wrong method", "GET", "/-/drain"),
        ("resume with a wrong method", "PUT", "/-/resume"),
        ("malformed call", "nonsense", "and more"),
    ] {
        transcript.add_bytes(title, &console_request(&worker, method, path));
    }
    transcript.add_bytes("unknown version", &console_exchange(&worker, "GET /-/ready HTTP/9\r\n\r\n"));
    transcript.add_bytes("HTTP/1.0", &console_exchange(&worker, "GET /-/ready HTTP/1.0\r\n\r\n"));
    let headers = "X-Odd: 1\r\n".repeat(33);
    let request = format!("GET /-/ready HTTP/1.1\r\n{headers}\r\n");
    transcript.add_bytes("too many headers", &console_exchange(&worker, &request));
    transcript.add_bytes("metrics of an idle worker", &console_request(&worker, "GET", "/-/metrics"));
    run_one(&worker, &mut executor, &RequestBuilder::new("look"), "PASS");
    run_one(&worker, &mut executor, &RequestBuilder::new("look"), "FAIL");
    run_one(&worker, &mut executor, &RequestBuilder::new("order").key("k1"), "PASS");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    transcript.add_bytes("metrics with counts and a run", &console_request(&worker, "GET", "/-/metrics"));
    worker.terminate();
    worker.wait_log("shutdown_started");
    transcript.add_bytes("ready after SIGTERM", &console_request(&worker, "GET", "/-/ready"));
    transcript.add_bytes("resume after SIGTERM", &console_request(&worker, "POST", "/-/resume"));
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);
    transcript.check("console.txt");
}

/// Masks the values after `prefixes`, which depend on time, and the Content-Length if any of them occurs. Checks that
/// the Content-Length is correct and that each masked value is a number.
fn mask_metrics(reply: &str, prefixes: &[&str]) -> String {
    let (head, body) = reply.split_once("\r\n\r\n").unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    assert_eq!(length, Some(body.len().to_string().as_str()), "{reply}");
    let mut masked = reply.to_owned();
    for prefix in prefixes {
        for value in body.lines().filter_map(|line| Some(line.split_once(prefix)?.1)) {
            assert!(value.parse::<f64>().is_ok(), "{prefix}{value} is not a number");
        }
        masked = mask_after(&masked, prefix);
    }
    if masked == reply {
        return masked;
    }
    mask_after(&masked, "Content-Length: ")
}

#[test]
fn console_metrics_with_operator_files_match_the_fixture() {
    let mut transcript = Transcript::default();
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p\"\nclass = \"look\"\n";
    let http2 = "[http2]\nlisten = \"127.0.0.1:0\"\n";
    // Nothing listens on the coordinator's address, which stays reserved while the worker runs.
    let (_reserved, coordinator) = reserve_address();
    let fleet = format!(
        "[fleet]\nname = \"f\"\ncoordinators = [\"{coordinator}\"]\n\
         [[fleet.task]]\nname = \"report\"\nperiod_s = 60.0\naddress = \"{coordinator}\"\nsafe = true\n\
         [[fleet.task]]\nname = \"audit\"\nperiod_s = 60.0\naddress = \"{coordinator}\"\nsafe = false\n"
    );
    let overload = format!("{fleet}[fleet.overload]\non = true\n");
    for (title, operator) in [
        ("class pools", POOLS),
        ("AJP", ajp),
        ("HTTP/2", http2),
        ("fleet with two tasks, without a coordinator", &fleet),
        ("fleet with overload control, without a coordinator", &overload),
    ] {
        let worker = start_with_console(Some(operator));
        let unlinked = console_request(&worker, "GET", "/-/metrics");
        let _executor = worker.accept_link();
        let linked = console_request(&worker, "GET", "/-/metrics");
        for (state, reply) in [("not linked", unlinked), ("linked", linked)] {
            let text = mask_metrics(&String::from_utf8(reply).unwrap(), &["fleet.linked_or_not_for_s="]);
            transcript.add_bytes(&format!("{title}; {state}"), text.as_bytes());
        }
    }
    transcript.check("console_operator_metrics.txt");
}

/// Reads one frame of the fleet's protocol: a four-byte big-endian length and JSON.
fn read_frame(stream: &mut TcpStream) -> Option<Value> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).ok()?;
    Some(serde_json::from_slice(&body).unwrap())
}

fn write_frame(stream: &mut TcpStream, message: &Value) {
    let body = message.to_string();
    let length = (body.len() as u32).to_be_bytes();
    // The worker may have exited meanwhile; the next read then ends the loop.
    let _ = stream.write_all(&[&length, body.as_bytes()].concat());
}

/// Acts as a coordinator that grants both leases and answers each heartbeat with renewals and totals, until the worker
/// exits.
fn serve_as_coordinator(mut stream: TcpStream) {
    let leases = [("report", 7), ("audit", 8)].map(|(task, token)| json!({"task": task, "token": token}));
    let renewed = leases.clone().map(|lease| json!({"held": lease, "ttl_ms": 30_000}));
    while let Some(message) = read_frame(&mut stream) {
        if message["say"] == "hello" {
            let welcome = json!({"word": "welcome", "session": 1, "session_ttl_ms": 60_000,
                "keep_every_ms": 50, "version": 2});
            write_frame(&mut stream, &welcome);
            for lease in &leases {
                write_frame(&mut stream, &json!({"word": "granted", "held": lease}));
            }
        }
        if message["say"] == "keep" {
            let totals = json!({"counts": {"svc.replies.look.success": 5, "svc.concurrent": 2},
                "workers": 2, "by": "n2", "age_ms": 100});
            let ack = json!({"word": "kept", "seq": message["seq"], "leases": renewed, "totals": totals});
            write_frame(&mut stream, &ack);
        }
    }
}

#[test]
fn console_metrics_with_a_coordinator_match_the_fixture() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let coordinator = listener.local_addr().unwrap();
    // Nothing listens on the target address of the scheduled calls.
    let (_reserved, target) = reserve_address();
    let task = |name: &str, safe: bool| {
        format!("[[fleet.task]]\nname = \"{name}\"\nperiod_s = 60.0\naddress = \"{target}\"\nsafe = {safe}\n")
    };
    let operator = format!(
        "[fleet]\nname = \"f\"\ncoordinators = [\"{coordinator}\"]\ntotals = false\n{}{}",
        task("report", true),
        task("audit", false)
    );
    let worker = start_with_console(Some(&operator));
    let _executor = worker.accept_link();
    let stream = accept_link(&listener);
    let server = std::thread::spawn(move || serve_as_coordinator(stream));
    let deadline = Instant::now() + TIMEOUT;
    let mut text = String::new();
    while !["fleet.lease.report", "fleet.lease.audit", "fleet.totals"].iter().all(|part| text.contains(part))
    {
        assert!(Instant::now() < deadline, "leases or totals missing in {text}");
        text = String::from_utf8(console_request(&worker, "GET", "/-/metrics")).unwrap();
    }
    let text = mask_metrics(&text, &["fleet.linked_or_not_for_s=", ".left_s=", "fleet.totals.age_s="]);
    let mut transcript = Transcript::default();
    transcript.add_bytes("fleet with two leases and totals", text.as_bytes());
    drop(worker);
    server.join().unwrap();
    transcript.check("console_fleet_metrics.txt");
}
