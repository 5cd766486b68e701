//! Exit statuses and error lines of the worker.

use crate::{add_failure, mask_after, TemporaryFolder, Transcript, POOLS, WORKER, WORKER_NAME};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};
use test_support::{is_log_timestamp, settings};

/// Replaces the timestamp at the start of each log line.
fn mask_times(log: &str) -> String {
    let mask = |line: &str| {
        let (time, rest) = line.split_once(' ').expect("a timestamp and a message");
        assert!(is_log_timestamp(time), "{line:?} does not start with a timestamp");
        format!("<time> {rest}")
    };
    log.split_inclusive('\n').map(mask).collect()
}

/// A valid configuration. Nothing listens on its executor's address, to which these tests never connect.
fn valid_config() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:9", "stop_ms": 300, "settings": settings()
    })
}

/// Runs the worker until it exits, without inherited settings in its environment, with this configuration file and
/// these arguments.
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

#[test]
fn configuration_errors_match_the_fixture() {
    let mut transcript = Transcript::default();
    let folder = TemporaryFolder::new();
    let mut add = |title: &str, config: Option<&str>, arguments: &[&str]| {
        let output = run_worker(config, arguments);
        add_failure(&mut transcript, title, &folder, WORKER_NAME, &output);
    };
    let valid = folder.write("good.json", &valid_config().to_string());
    add("no ROUTER_CONFIG", None, &[]);
    add("ROUTER_CONFIG is empty", Some(""), &[]);
    add("missing configuration", Some(&folder.path("missing.json")), &[]);
    add("configuration is a folder", Some(&folder.path("")), &[]);
    add("unknown flag", Some(&valid), &["--nonsense"]);
    add("unknown flag with a value", Some(&valid), &["--nonsense", "x"]);
    add("--operator without a value", Some(&valid), &["--operator"]);
    add("--operator with two values", Some(&valid), &["--operator", "a", "b"]);
    add("missing operator's file", Some(&valid), &["--operator", &folder.path("missing.toml")]);
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
        let mut config = valid_config();
        *config.pointer_mut(pointer).unwrap() = value;
        add(title, Some(&folder.write("config.json", &config.to_string())), &[]);
    }
    for (title, limits) in [
        ("limits.memory_mb too small", json!({"memory_mb": 1})),
        ("limits.sockets too small", json!({"sockets": 10})),
    ] {
        let mut config = valid_config();
        config["limits"] = limits;
        add(title, Some(&folder.write("config.json", &config.to_string())), &[]);
    }
    transcript.check("worker_configuration_errors.txt");
}

/// Titles and texts of operator's files that can't be parsed, or with an unusable `[ajp]` or `[http2]`.
fn frontend_errors() -> Vec<(&'static str, String)> {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p\"\nclass = \"look\"\n";
    let http2 = "[http2]\nlisten = \"127.0.0.1:0\"\n";
    vec![
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
    ]
}

/// Titles and texts of operator's files with an unusable `[pools]`.
fn pool_errors() -> Vec<(&'static str, String)> {
    vec![
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
    ]
}

/// Titles and texts of operator's files with an unusable `[fleet]`, `[backend]` or `[directory]`.
fn upstream_errors() -> Vec<(&'static str, String)> {
    let fleet = "[fleet]\nname = \"f\"\ncoordinators = [\"127.0.0.1:1\"]\n";
    let task = "[[fleet.task]]\nname = \"t\"\nperiod_s = 60.0\naddress = \"127.0.0.1:1\"\nsafe = true\n";
    let backend = "[backend]\nservers = [\"127.0.0.1:1\"]\n";
    let directory = "[directory]\naddress = \"127.0.0.1:1\"\nbase = \"o=x\"\nidentity = \"remote-user\"\n\
        identity_attribute = \"uid\"\ntenant_attribute = \"o\"\n";
    vec![
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
    ]
}

#[test]
fn operator_file_errors_match_the_fixture() {
    let mut transcript = Transcript::default();
    let folder = TemporaryFolder::new();
    let valid = folder.write("good.json", &valid_config().to_string());
    let cases = [frontend_errors(), pool_errors(), upstream_errors()].concat();
    for (title, text) in cases {
        let path = folder.write("operator.toml", &text);
        let output = run_worker(Some(&valid), &["--operator", &path]);
        add_failure(&mut transcript, title, &folder, WORKER_NAME, &output);
    }
    transcript.check("worker_operator_file_errors.txt");
}

/// The output of an idle worker that is sent SIGTERM.
#[test]
fn sigterm_output_matches_the_fixture() {
    let folder = TemporaryFolder::new();
    // The system establishes connections to this listener, but nothing is sent on them: the worker has a link and logs
    // nothing about it.
    let executor = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = valid_config();
    config["executor"] = json!(executor.local_addr().unwrap());
    config["settings"]["contract"]["drainGraceS"] = json!(0.1);
    let path = folder.write("config.json", &config.to_string());
    let mut command = WORKER.command();
    command.env("ROUTER_CONFIG", path).env_remove("ROUTER_CONSOLE").env_remove("ROUTER_SOCKET_FD");
    command.env("TMPDIR", &folder.0).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut log = String::new();
    while !log.contains(" frontend=http address=") {
        assert!(stderr.read_line(&mut log).unwrap() > 0, "the worker exited early: {log}");
    }
    let id = child.id();
    assert!(Command::new("sh").arg("-c").arg(format!("kill -TERM {id}")).status().unwrap().success());
    stderr.read_to_string(&mut log).unwrap();
    let output = child.wait_with_output().unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    let log = mask_after(&mask_times(&log), "address=127.0.0.1:");
    let mut transcript = Transcript::default();
    transcript.add_exit("SIGTERM", output.status.code(), &stdout, &log);
    transcript.check("worker_sigterm.txt");
}
