//! What the programs print, compared byte for byte with the fixtures under `tests/fixtures/output`: console replies,
//! exit statuses and error lines, the simulator's replies, and the answers of the platform's front.
//!
//! To write the fixtures anew from the present programs, run with `UPDATE_OUTPUT_FIXTURES=1` and read the difference.
//! Such a run fails: nothing is compared in it.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Instant;
use test_support::{
    accept_link, reserve_address, settings, unique_request_id, Client, Executor, Reply, RequestBuilder,
    WorkerProgram, WorkerUnderTest, TIMEOUT,
};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// The programs as cargo built them, and the names by which they speak of themselves.
const WORKER_NAME: &str = "port-worker";
const SIMULATOR_ADAPTER: &str = env!("CARGO_BIN_EXE_simulator-adapter");
const SIMULATOR_ADAPTER_NAME: &str = "simulator-adapter";

const UPDATE_VARIABLE: &str = "UPDATE_OUTPUT_FIXTURES";

/// Two class pools, one for each class of `settings`.
const POOLS: &str = "[pools]\n[[pools.pool]]\nname = \"cheap\"\nclasses = [\"look\"]\n\
    [[pools.pool]]\nname = \"heavy\"\nclasses = [\"order\"]\nguarantee = 0.5\n";

/// What a run of programs or requests printed, case by case.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    fn title(&mut self, title: &str) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(&format!("== {title}\n"));
    }

    /// Adds bytes of the wire, a line each, with what is not printable escaped: line ends can be read in the fixture.
    fn wire(&mut self, title: &str, bytes: &[u8]) {
        self.title(title);
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.text.push_str(&format!("{}\n", line.escape_ascii()));
        }
    }

    /// Adds an exit status and both output streams as they are.
    fn ended(&mut self, title: &str, status: Option<i32>, stdout: &str, stderr: &str) {
        self.title(title);
        let status = status.map_or("none".to_owned(), |code| code.to_string());
        self.text.push_str(&format!("status {status}\nstdout {stdout:?}\nstderr\n{stderr}"));
    }

    /// Compares all of it with the fixture.
    fn check(&self, fixture: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/output").join(fixture);
        if std::env::var_os(UPDATE_VARIABLE).is_some() {
            std::fs::write(&path, &self.text).unwrap();
            panic!("{fixture} is written; run again without {UPDATE_VARIABLE}");
        }
        let expected = std::fs::read_to_string(&path).unwrap();
        for (number, (found, expected)) in self.text.lines().zip(expected.lines()).enumerate() {
            assert_eq!(found, expected, "{fixture}, line {}", number + 1);
        }
        assert_eq!(self.text, expected, "{fixture}");
    }
}

/// A folder that goes away with its test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let folder =
            std::env::temp_dir().join(format!("output-pins-{}-{}", std::process::id(), unique_request_id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn path(&self, file: &str) -> String {
        self.0.join(file).to_str().unwrap().to_owned()
    }

    fn write(&self, file: &str, text: &str) -> String {
        std::fs::write(self.0.join(file), text).unwrap();
        self.path(file)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Replaces the value after each `mark` up to the end of its line.
fn mask_after(text: &str, mark: &str) -> String {
    let mask = |line: &str| match line.split_once(mark) {
        Some((before, value)) => {
            let end = if value.ends_with("\r\n") { "\r\n" } else { "\n" };
            format!("{before}{mark}<varies>{end}")
        }
        None => line.to_owned(),
    };
    text.split_inclusive('\n').map(mask).collect()
}

/// Replaces the time that begins each line of a log.
fn mask_times(log: &str) -> String {
    let mask = |line: &str| {
        let (time, rest) = line.split_once(' ').expect("a time and a text");
        assert!(time.parse::<f64>().is_ok(), "{line:?} begins with no time");
        format!("<time> {rest}")
    };
    log.split_inclusive('\n').map(mask).collect()
}

// The console.

/// Sends one call as it is and reads all that comes until the console closes.
fn console_exchange(worker: &WorkerUnderTest, request: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(worker.console.expect("a console")).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).unwrap();
    reply
}

fn console_call(worker: &WorkerUnderTest, method: &str, path: &str) -> Vec<u8> {
    console_exchange(worker, &format!("{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n"))
}

fn start_with_console(operator: Option<&str>) -> WorkerUnderTest {
    WORKER.start_with(|config| config["console"] = json!("127.0.0.1:0"), operator)
}

/// Ends one run of this class with this state.
fn run_one(worker: &WorkerUnderTest, executor: &mut Executor, ask: &RequestBuilder, state: &str) {
    let mut client = Client::connect(worker.http);
    client.send(ask);
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], state, "done");
    client.read_response();
}

#[test]
fn console_replies() {
    let mut transcript = Transcript::default();
    let mut worker = start_with_console(None);
    transcript.wire("ready without a link", &console_call(&worker, "GET", "/-/ready"));
    transcript.wire("metrics without a link", &console_call(&worker, "GET", "/-/metrics"));
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
        transcript.wire(title, &console_call(&worker, method, path));
    }
    transcript.wire("unknown version", &console_exchange(&worker, "GET /-/ready HTTP/9\r\n\r\n"));
    transcript.wire("HTTP/1.0", &console_exchange(&worker, "GET /-/ready HTTP/1.0\r\n\r\n"));
    let headers = "X-Odd: 1\r\n".repeat(33);
    let request = format!("GET /-/ready HTTP/1.1\r\n{headers}\r\n");
    transcript.wire("too many headers", &console_exchange(&worker, &request));
    transcript.wire("metrics of an idle worker", &console_call(&worker, "GET", "/-/metrics"));
    run_one(&worker, &mut executor, &RequestBuilder::new("look"), "PASS");
    run_one(&worker, &mut executor, &RequestBuilder::new("look"), "FAIL");
    run_one(&worker, &mut executor, &RequestBuilder::new("order").key("k1"), "PASS");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    transcript.wire("metrics with counts and a run", &console_call(&worker, "GET", "/-/metrics"));
    worker.terminate();
    worker.wait_log("notice to leave");
    transcript.wire("ready after SIGTERM", &console_call(&worker, "GET", "/-/ready"));
    transcript.wire("resume after SIGTERM", &console_call(&worker, "POST", "/-/resume"));
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);
    transcript.check("console.txt");
}

/// Masks the values after `marks`, which depend on time, and the length of the text where they occur in it. The length
/// must be the right one, and each value a number.
fn mask_metrics(reply: &str, marks: &[&str]) -> String {
    let (head, body) = reply.split_once("\r\n\r\n").unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    assert_eq!(length, Some(body.len().to_string().as_str()), "{reply}");
    let mut masked = reply.to_owned();
    for mark in marks {
        for value in body.lines().filter_map(|line| Some(line.split_once(mark)?.1)) {
            assert!(value.parse::<f64>().is_ok(), "{mark}{value} is no number");
        }
        masked = mask_after(&masked, mark);
    }
    if masked == reply {
        return masked;
    }
    mask_after(&masked, "Content-Length: ")
}

#[test]
fn console_metrics_with_operators_files() {
    let mut transcript = Transcript::default();
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p\"\nclass = \"look\"\n";
    let http2 = "[http2]\nlisten = \"127.0.0.1:0\"\n";
    // Nobody listens at the coordinator's address: it stays reserved while the worker runs.
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
        let unlinked = console_call(&worker, "GET", "/-/metrics");
        let _executor = worker.accept_link();
        let linked = console_call(&worker, "GET", "/-/metrics");
        for (state, reply) in [("not linked", unlinked), ("linked", linked)] {
            let text = mask_metrics(&String::from_utf8(reply).unwrap(), &["fleet.linked_or_not_for_s="]);
            transcript.wire(&format!("{title}; {state}"), text.as_bytes());
        }
    }
    transcript.check("console_operator_metrics.txt");
}

/// Reads one frame of the fleet's protocol: a length of four bytes, big end first, and JSON.
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
    // The worker may have ended meanwhile; then nothing more is read either.
    let _ = stream.write_all(&[&length, body.as_bytes()].concat());
}

/// A coordinator that grants both tasks and answers each heartbeat with renewals and totals, until the worker ends.
fn serve_as_coordinator(mut stream: TcpStream) {
    let leases = [("report", 7), ("audit", 8)].map(|(task, token)| json!({"task": task, "token": token}));
    let renewed = leases.clone().map(|held| json!({"held": held, "ttl_ms": 30_000}));
    while let Some(message) = read_frame(&mut stream) {
        if message["say"] == "hello" {
            let welcome = json!({"word": "welcome", "session": 1, "session_ttl_ms": 60_000,
                "keep_every_ms": 50, "version": 2});
            write_frame(&mut stream, &welcome);
            for held in &leases {
                write_frame(&mut stream, &json!({"word": "granted", "held": held}));
            }
        }
        if message["say"] == "keep" {
            let totals = json!({"counts": {"svc.replies.look.success": 5, "svc.concurrent": 2},
                "workers": 2, "by": "n2", "age_ms": 100});
            let kept = json!({"word": "kept", "seq": message["seq"], "leases": renewed, "totals": totals});
            write_frame(&mut stream, &kept);
        }
    }
}

#[test]
fn console_metrics_with_a_coordinator() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let coordinator = listener.local_addr().unwrap();
    // Nobody listens where the tasks' calls would go.
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
    let until = Instant::now() + TIMEOUT;
    let mut text = String::new();
    while !["fleet.lease.report", "fleet.lease.audit", "fleet.totals"].iter().all(|part| text.contains(part))
    {
        assert!(Instant::now() < until, "no lease or no totals in {text}");
        text = String::from_utf8(console_call(&worker, "GET", "/-/metrics")).unwrap();
    }
    let text = mask_metrics(&text, &["fleet.linked_or_not_for_s=", ".left_s=", "fleet.totals.age_s="]);
    let mut transcript = Transcript::default();
    transcript.wire("fleet with two leases and totals", text.as_bytes());
    drop(worker);
    server.join().unwrap();
    transcript.check("console_fleet_metrics.txt");
}

// Exit statuses and error lines of the worker.

/// A configuration that is good; nothing listens at its executor's address, which is never reached here.
fn good_config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "stop_ms": 300, "settings": settings()
    })
}

/// Runs the worker to its end in a clean environment, with this configuration file and these arguments.
fn run_worker(config: Option<&str>, arguments: &[&str]) -> Output {
    let mut command = WORKER.command();
    for variable in ["ROUTER_CONFIG", "ROUTER_CONSOLE", "ROUTER_SOCKET_FD"] {
        command.env_remove(variable);
    }
    if let Some(path) = config {
        command.env("ROUTER_CONFIG", path);
    }
    command.args(arguments).stdin(Stdio::null()).output().unwrap()
}

/// Adds a failed start to the transcript, with the folder's and the program's name masked.
fn add_failure(transcript: &mut Transcript, title: &str, folder: &Folder, program: &str, ended: &Output) {
    let stdout = String::from_utf8(ended.stdout.clone()).unwrap();
    let stderr = String::from_utf8(ended.stderr.clone()).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{title}: {stderr}");
    assert!(stderr.ends_with('\n'), "{title}: {stderr}");
    let rest = stderr.strip_prefix(&format!("{program}: ")).unwrap_or_else(|| panic!("{title}: {stderr}"));
    let rest = rest.replace(folder.0.to_str().unwrap(), "<folder>");
    let rest = rest.replace(&format!("usage: {program} "), "usage: <program> ");
    transcript.ended(title, ended.status.code(), &stdout, &format!("<program>: {rest}"));
}

#[test]
fn worker_configuration_errors() {
    let mut transcript = Transcript::default();
    let folder = Folder::new();
    let mut add = |title: &str, config: Option<&str>, arguments: &[&str]| {
        let ended = run_worker(config, arguments);
        add_failure(&mut transcript, title, &folder, WORKER_NAME, &ended);
    };
    let good = folder.write("good.json", &good_config().to_string());
    add("no ROUTER_CONFIG", None, &[]);
    add("ROUTER_CONFIG is empty", Some(""), &[]);
    add("missing configuration", Some(&folder.path("missing.json")), &[]);
    add("configuration is a folder", Some(&folder.path("")), &[]);
    add("unknown flag", Some(&good), &["--nonsense"]);
    add("unknown flag with a value", Some(&good), &["--nonsense", "x"]);
    add("--operator without a value", Some(&good), &["--operator"]);
    add("--operator with two values", Some(&good), &["--operator", "a", "b"]);
    add("missing operator's file", Some(&good), &["--operator", &folder.path("missing.toml")]);
    let texts = [
        ("empty configuration", ""),
        ("broken JSON", "{\"name\": \"n1\",\n  \"listen\": }"),
        ("JSON that ends early", "{\"name\": \"n1\""),
        ("JSON of another kind", "[1, 2]"),
        ("required keys missing", "{\"name\": \"n1\"}"),
    ];
    for (title, text) in texts {
        add(title, Some(&folder.write("config.json", text)), &[]);
    }
    let changes: [(&str, &str, Value); 14] = [
        ("name of a wrong type", "/name", json!(7)),
        ("listen of a wrong type", "/listen", json!(7000)),
        ("listen is no address", "/listen", json!("nowhere")),
        ("stop_ms of a wrong type", "/stop_ms", json!("soon")),
        ("stop_ms below 0", "/stop_ms", json!(-1.0)),
        ("name of two words", "/name", json!("n 1")),
        ("no classes", "/settings/profiles", json!([])),
        ("class name taken", "/settings/profiles/1/name", json!("look")),
        ("class deadline of 0", "/settings/profiles/0/deadlineS", json!(0.0)),
        ("class effect unknown", "/settings/profiles/0/effect", json!("odd")),
        ("tenant name empty", "/settings/tenants/0/name", json!("")),
        ("no cores", "/settings/domain/nCores", json!(0)),
        ("no memory for requests", "/settings/domain/heapKb", json!(0.0)),
        ("cores of a wrong type", "/settings/domain/nCores", json!("two")),
    ];
    for (title, pointer, value) in changes {
        let mut config = good_config();
        *config.pointer_mut(pointer).unwrap() = value;
        add(title, Some(&folder.write("config.json", &config.to_string())), &[]);
    }
    for (title, limits) in [
        ("limits.memory_mb too small", json!({"memory_mb": 1})),
        ("limits.sockets too small", json!({"sockets": 10})),
    ] {
        let mut config = good_config();
        config["limits"] = limits;
        add(title, Some(&folder.write("config.json", &config.to_string())), &[]);
    }
    transcript.check("worker_configuration_errors.txt");
}

#[test]
fn worker_operator_file_errors() {
    let mut transcript = Transcript::default();
    let folder = Folder::new();
    let good = folder.write("good.json", &good_config().to_string());
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p\"\nclass = \"look\"\n";
    let http2 = "[http2]\nlisten = \"127.0.0.1:0\"\n";
    let fleet = "[fleet]\nname = \"f\"\ncoordinators = [\"127.0.0.1:1\"]\n";
    let task = "[[fleet.task]]\nname = \"t\"\nperiod_s = 60.0\naddress = \"127.0.0.1:1\"\nsafe = true\n";
    let backend = "[backend]\nservers = [\"127.0.0.1:1\"]\n";
    let directory = "[directory]\naddress = \"127.0.0.1:1\"\nbase = \"o=x\"\nidentity = \"remote-user\"\n\
        identity_attribute = \"uid\"\ntenant_attribute = \"o\"\n";
    let cases = [
        ("broken TOML", "[ajp".to_owned()),
        ("broken TOML on the second line", "[ajp]\nlisten = \n".to_owned()),
        ("unknown block", "[nonsense]\n".to_owned()),
        ("[ajp] unknown key", ajp.replace("[[", "secrt = \"x\"\n[[")),
        ("[ajp] key of a wrong type", ajp.replace("\"127.0.0.1:0\"", "7")),
        ("[ajp] no route", "[ajp]\nlisten = \"127.0.0.1:0\"\n".to_owned()),
        ("[ajp] unknown class", ajp.replace("\"look\"", "\"odd\"")),
        ("[ajp] path without a slash", ajp.replace("\"/p\"", "\"p\"")),
        ("[ajp] unknown tenant", format!("{ajp}[[ajp.tenant]]\nremote_user = \"u\"\ntenant = \"odd\"\n")),
        ("[ajp] rule without a condition", format!("{ajp}[[ajp.tenant]]\ntenant = \"acme\"\n")),
        ("[ajp] empty secret", ajp.replace("[[", "secret = \"\"\n[[")),
        ("[http2] unknown key", format!("{http2}stream = 5\n")),
        ("[http2] listen is no address", "[http2]\nlisten = \"here\"\n".to_owned()),
        ("[http2] streams out of range", format!("{http2}streams = 0\n")),
        ("[http2] connections out of range", format!("{http2}connections = 70000\n")),
        ("[http2] newcomers out of range", format!("{http2}newcomers = 0\n")),
        ("[http2] header_list_kb out of range", format!("{http2}header_list_kb = 65\n")),
        ("[http2] idle_s out of range", format!("{http2}idle_s = 0.5\n")),
        ("[http2] ping_s out of range", format!("{http2}ping_s = -1.0\n")),
        ("[http2] negative streams", format!("{http2}streams = -1\n")),
        ("[pools] unknown key", POOLS.replacen("[pools]\n", "[pools]\nwindow = 5\n", 1)),
        ("[pools] no pool", "[pools]\n".to_owned()),
        ("[pools] least_slots out of range", POOLS.replacen("[pools]\n", "[pools]\nleast_slots = 0\n", 1)),
        ("[pools] most_slots out of range", POOLS.replacen("[pools]\n", "[pools]\nmost_slots = 1\n", 1)),
        ("[pools] window_s out of range", POOLS.replacen("[pools]\n", "[pools]\nwindow_s = 0.5\n", 1)),
        ("[pools] samples out of range", POOLS.replacen("[pools]\n", "[pools]\nsamples = 3\n", 1)),
        ("[pools] slow_ratio out of range", POOLS.replacen("[pools]\n", "[pools]\nslow_ratio = 1.0\n", 1)),
        ("[pools] guarantee out of range", POOLS.replace("guarantee = 0.5", "guarantee = 1.5")),
        ("[pools] guarantee above the ceiling", format!("{POOLS}ceiling = 0.25\n")),
        ("[pools] unknown class", POOLS.replace("\"look\"", "\"odd\"")),
        ("[pools] class in two pools", POOLS.replace("[\"order\"]", "[\"look\"]")),
        ("[pools] name taken", POOLS.replace("\"heavy\"", "\"cheap\"")),
        (
            "[pools] reserve too large",
            POOLS.replacen("[pools]\n", "[pools]\nreserve = { pool = \"cheap\", slots = 2 }\n", 1),
        ),
        (
            "[pools] reserve for an unknown pool",
            POOLS.replacen("[pools]\n", "[pools]\nreserve = { pool = \"odd\", slots = 1 }\n", 1),
        ),
        ("[fleet] unknown key", format!("{fleet}colour = 1\n")),
        ("[fleet] bad name", fleet.replace("\"f\"", "\"f f\"")),
        ("[fleet] no coordinators", fleet.replace("\"127.0.0.1:1\"", "")),
        ("[fleet] drift_percent out of range", format!("{fleet}drift_percent = 51.0\n")),
        ("[fleet] task period out of range", format!("{fleet}{}", task.replace("60.0", "0.01"))),
        ("[fleet] task deadline out of range", format!("{fleet}{task}deadline_ms = 1.0\n")),
        ("[fleet] task path without a slash", format!("{fleet}{task}path = \"p\"\n")),
        ("[fleet] task name taken", format!("{fleet}{task}{task}")),
        ("[fleet] task without safe", format!("{fleet}{}", task.replace("safe = true\n", ""))),
        ("[fleet.overload] without on", format!("{fleet}[fleet.overload]\n")),
        ("[backend] unknown key", format!("{backend}secret_ = \"x\"\n")),
        ("[backend] no server", "[backend]\nservers = []\n".to_owned()),
        ("[backend] unknown class", format!("{backend}[backend.paths]\nodd = \"/p\"\n")),
        ("[directory] unknown key", format!("{directory}timeout = 5\n")),
        ("[directory] unknown identity", directory.replace("remote-user", "odd")),
        ("[directory] timeout_ms out of range", format!("{directory}timeout_ms = 0.0\n")),
        ("[directory] cache_s out of range", format!("{directory}cache_s = -1.0\n")),
        ("[directory] empty attribute", directory.replace("\"uid\"", "\"\"")),
    ];
    for (title, text) in cases {
        let path = folder.write("operator.toml", &text);
        let ended = run_worker(Some(&good), &["--operator", &path]);
        add_failure(&mut transcript, title, &folder, WORKER_NAME, &ended);
    }
    transcript.check("worker_operator_file_errors.txt");
}

/// A worker with nothing to do is told to end.
#[test]
fn worker_ends_well_at_sigterm() {
    let folder = Folder::new();
    // It accepts and never speaks: there is a link, and no lines about one.
    let executor = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = good_config();
    config["executor"] = json!(executor.local_addr().unwrap());
    config["settings"]["contract"]["drainGraceS"] = json!(0.1);
    let path = folder.write("config.json", &config.to_string());
    let mut command = WORKER.command();
    command.env("ROUTER_CONFIG", path).env_remove("ROUTER_CONSOLE").env_remove("ROUTER_SOCKET_FD");
    command.env("TMPDIR", &folder.0).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut log = String::new();
    while !log.contains(" http on ") {
        assert!(stderr.read_line(&mut log).unwrap() > 0, "it ended early: {log}");
    }
    let id = child.id();
    assert!(Command::new("sh").arg("-c").arg(format!("kill -TERM {id}")).status().unwrap().success());
    stderr.read_to_string(&mut log).unwrap();
    let ended = child.wait_with_output().unwrap();
    let stdout = String::from_utf8(ended.stdout).unwrap();
    let log = mask_after(&mask_times(&log), "http on 127.0.0.1:");
    let mut transcript = Transcript::default();
    transcript.ended("SIGTERM", ended.status.code(), &stdout, &log);
    transcript.check("worker_sigterm.txt");
}

// The simulator's adapter.

/// Runs the adapter on these lines to its end.
fn run_adapter(input: &str) -> Output {
    let mut command = Command::new(SIMULATOR_ADAPTER);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // It may end at the first line that is malformed, before it has read the others.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const ADAPTER_PROVISION: &str = r#"{"clockS":1.5,"workers":[{"workerId":4,"items":[{"cmd":"Provision","prng":7,"options":{"domain":{"nCores":2,"heapKb":50000.0,"runFactor":4.0},"contract":{"fallMultiple":4.0,"tipAfterS":2.0},"profiles":[{"credit":1.0,"deadlineS":3.0,"effect":"safe","targetS":1.0},{"credit":5.0,"deadlineS":3.0,"effect":"keyed","targetS":1.0,"windowS":8.0}],"servers":2,"periodS":0.002}},{"cmd":"Req","req":"t/aa","tierClass":0,"kb":10.0,"queuedForS":0.001}]}]}"#;

/// One batch for the worker of `ADAPTER_PROVISION`.
fn batch(clock_s: f64, items: &str) -> String {
    format!(r#"{{"clockS":{clock_s},"workers":[{{"workerId":4,"items":[{items}]}}]}}"#)
}

#[test]
fn simulator_adapter_replies() {
    let lines = [
        r#"{"clockS":1.0,"workers":[]}"#.to_owned(),
        ADAPTER_PROVISION.to_owned(),
        String::new(),
        batch(1.6, r#"{"cmd":"AtCall","req":"t/aa"}"#),
        batch(1.7, r#"{"cmd":"DepReply","req":"t/aa","disposition":"OK"}"#),
        batch(1.8, r#"{"cmd":"Ended","req":"t/aa","disposition":"OK","elapsedS":0.1}"#),
        batch(1.9, r#"{"cmd":"Req","req":"k1","tierClass":1,"kb":5.0,"write":true}"#),
        batch(2.0, r#"{"cmd":"Req","req":"k2","tierClass":1,"kb":5.0,"earlier":"k1","isRetry":true}"#),
        batch(2.1, r#"{"cmd":"Ended","req":"k1","disposition":"OK"}"#),
        batch(2.2, r#"{"cmd":"Req","req":"gone","tierClass":0,"kb":5.0},{"cmd":"Dropped","req":"gone"}"#),
        batch(2.3, r#"{"cmd":"DeadlineHit","nonce":"wake","gauge":[0.5,1.0]}"#),
        batch(2.4, r#"{"cmd":"Req","req":"late","tierClass":0,"kb":5.0,"queuedForS":2.99}"#),
        batch(2.5, r#"{"cmd":"Sigterm","remainingS":0.5}"#),
        batch(2.9, r#"{"cmd":"DeadlineHit","nonce":"wake"}"#),
        batch(3.0, r#"{"cmd":"Req","req":"after","tierClass":0,"kb":5.0}"#),
        batch(3.1, r#"{"cmd":"Stop"}"#),
    ];
    let ended = run_adapter(&format!("{}\n", lines.join("\n")));
    let mut transcript = Transcript::default();
    let (stdout, stderr) =
        (String::from_utf8(ended.stdout).unwrap(), String::from_utf8(ended.stderr).unwrap());
    transcript.ended("a short exchange", ended.status.code(), "", &stderr);
    let mut replies = stdout.split_inclusive('\n');
    for line in lines.iter().filter(|line| !line.is_empty()) {
        transcript.title(line);
        transcript.text.push_str(replies.next().expect("a reply"));
    }
    assert_eq!(replies.next(), None);
    transcript.check("simulator_adapter_replies.txt");
}

#[test]
fn simulator_adapter_errors() {
    let mut transcript = Transcript::default();
    let folder = Folder::new();
    for (title, line) in [
        ("no JSON", "not json".to_owned()),
        ("JSON that ends early", r#"{"clockS":1.0,"#.to_owned()),
        ("no clock", r#"{"workers":[]}"#.to_owned()),
        ("clock of a wrong type", r#"{"clockS":"x","workers":[]}"#.to_owned()),
        ("unknown command", batch(1.6, r#"{"cmd":"Nonsense"}"#)),
        ("request without a name", batch(1.6, r#"{"cmd":"Req","tierClass":0,"kb":1.0}"#)),
        ("unknown class", batch(1.6, r#"{"cmd":"Req","req":"a","tierClass":9,"kb":1.0}"#)),
        ("unknown disposition", batch(1.6, r#"{"cmd":"Ended","req":"a","disposition":"ODD"}"#)),
        ("event for a missing instance", batch(1.6, r#"{"cmd":"AtCall","req":"a"}"#).replace(":4,", ":9,")),
        ("stop of a missing instance", batch(1.6, r#"{"cmd":"Stop"}"#).replace(":4,", ":9,")),
    ] {
        let ended = run_adapter(&format!("{ADAPTER_PROVISION}\n{line}\n"));
        add_failure(&mut transcript, title, &folder, SIMULATOR_ADAPTER_NAME, &ended);
    }
    transcript.check("simulator_adapter_errors.txt");
}

// The platform's front.

/// Reads one whole answer and returns its bytes.
fn answer_bytes(client: &mut Client) -> Vec<u8> {
    let (first, rest, body) = client.read_message();
    [first.as_bytes(), b"\r\n", rest.as_bytes(), &body].concat()
}

/// Sends a request on a connection of its own; the bytes of its answer, after which the worker must close.
fn closing_answer(to: SocketAddr, request: &str) -> Vec<u8> {
    let mut client = Client::connect(to);
    client.write(request);
    let bytes = answer_bytes(&mut client);
    assert!(client.is_closed(), "more than one answer to {request:?}");
    bytes
}

#[test]
fn front_answers() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let check = "GET /check HTTP/1.1\r\nConnection: close\r\n\r\n";
    transcript.wire("check without a link", &closing_answer(worker.http, check));
    let bad = "GET /nothing HTTP/1.1\r\n\r\n";
    transcript.wire("404 without a link", &closing_answer(worker.http, bad));
    let mut executor = worker.accept_link();
    transcript.wire("check", &closing_answer(worker.http, check));
    let mut client = Client::connect(worker.http);
    client.write("GET /check?e2e=1 HTTP/1.1\r\n\r\n");
    transcript.wire("check on a connection that is kept", &answer_bytes(&mut client));
    let mut serve =
        |transcript: &mut Transcript, title: &str, ask: &RequestBuilder, state: &str, result: &str| {
            client.send(ask);
            let exec = executor.expect_command("EXEC");
            executor.send_exit(&exec["job"], state, result);
            transcript.wire(title, &answer_bytes(&mut client));
        };
    serve(&mut transcript, "served", &RequestBuilder::new("look"), "PASS", "the result");
    serve(&mut transcript, "served with an empty result", &RequestBuilder::new("look"), "PASS", "");
    serve(&mut transcript, "failed", &RequestBuilder::new("look"), "FAIL", "");
    serve(&mut transcript, "started nothing", &RequestBuilder::new("look"), "NOOP", "");
    let keyed = RequestBuilder::new("order").key("k1");
    serve(&mut transcript, "served with a key", &keyed, "PASS", "placed 17");
    client.send(&RequestBuilder::new("order").key("k1").retry());
    transcript.wire("repeated", &answer_bytes(&mut client));
    client.send(&RequestBuilder::new("order").key("k1").body("another"));
    transcript.wire("409: a key with another body", &answer_bytes(&mut client));
    let good = RequestBuilder::new("look").text();
    let order = RequestBuilder::new("order").key("k").text();
    client.write(&good.replace("X-Org: acme", "X-Org: acme\r\nConnection: close"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "last");
    transcript.wire("served, and the client wants the end", &answer_bytes(&mut client));
    assert!(client.is_closed());
    for (title, text) in [
        ("400: unknown version", good.replace("HTTP/1.1", "HTTP/9")),
        ("400: two lengths", good.replace("X-Org: acme\r\n", "X-Org: acme\r\nContent-Length: 5\r\n")),
        ("400: transfer encoding", good.replace("Content-Length: 5", "Transfer-Encoding: chunked")),
        ("400: no tenant", good.replace("X-Org: acme\r\n", "")),
        ("400: bad correlation", good.replace("X-Correlation-Id: ", "X-Correlation-Id: z")),
        ("400: bad deadline", good.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: NaN")),
        ("400: bad need", good.replace("X-Need-Kb: 24.5", "X-Need-Kb: 0")),
        ("400: bad criticality", good.replace("X-Criticality: 0.6250", "X-Criticality: 1.0")),
        ("400: bad peer", good.replace("X-Upstream-Peer: 4", "X-Upstream-Peer: +4")),
        ("400: stamp of another day", RequestBuilder::new("look").arrived_ms(12).text()),
        ("400: no operation key", order.replace("X-Operation-Key: k\r\n", "")),
        ("403: unknown tenant", good.replace("X-Org: acme", "X-Org: other")),
        ("404: unknown class", good.replace("/do/look", "/do/nothing")),
        ("404: unknown path", good.replace("/do/look", "/")),
        ("405: a request with DELETE", good.replace("POST", "DELETE")),
        ("405: a check with POST", "POST /check HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned()),
        ("413: body too long", good.replace("Content-Length: 5", "Content-Length: 3000")),
        ("431: head too long", good.replace("X-Org: acme", &format!("X-Org: {}", "a".repeat(9000)))),
        ("431: too many headers", good.replace("X-Org: acme", &"X-Odd: 1\r\n".repeat(80))),
    ] {
        transcript.wire(title, &closing_answer(worker.http, &text));
    }
    transcript.check("front_answers.txt");
}

/// The advice and the load are measured: their values vary, the headers and their order don't.
#[test]
fn front_refusal_with_advice() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = Client::connect(worker.http);
        client.send(&RequestBuilder::new("look"));
        clients.push(client);
    }
    executor.expect_command("EXEC");
    // Nothing ends, so the last of them can't be started in time.
    let answer = String::from_utf8(answer_bytes(clients.last_mut().unwrap())).unwrap();
    let reply = Reply { status: 503, head: answer.clone(), body: Vec::new() };
    assert!(reply.header("X-Pushback-Ms").unwrap().parse::<u64>().unwrap() > 0, "{answer}");
    let level: f64 = reply.header("X-Backend-Says").unwrap().parse().unwrap();
    assert!((0.0..=1.0).contains(&level), "{answer}");
    let answer = mask_after(&mask_after(&answer, "X-Pushback-Ms: "), "X-Backend-Says: ");
    transcript.wire("refused with advice", answer.as_bytes());
    transcript.check("front_refusal.txt");
}

/// Requests whose time runs out while they run: what is idempotent may be sent again, what has a key may not.
#[test]
fn front_timeouts() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for (title, ask) in [
        ("504: with a key", RequestBuilder::new("order").key("k4").deadline_ms(1200)),
        ("idempotent", RequestBuilder::new("look").deadline_ms(1200)),
    ] {
        let mut client = Client::connect(worker.http);
        client.send(&ask);
        let exec = executor.expect_command("EXEC");
        let answer = answer_bytes(&mut client);
        executor.send_exit(&exec["job"], "PASS", "late");
        transcript.wire(title, &answer);
    }
    transcript.check("front_timeouts.txt");
}
