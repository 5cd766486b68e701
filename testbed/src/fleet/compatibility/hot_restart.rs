//! Hot restarts a worker of one build with the other build while clients send requests.

use super::{Build, CheckResult};
use crate::error::TestbedError;
use crate::fleet::rig::{get, FleetFile, Rig};
use crate::fleet::routers::Routers;
use crate::loopback::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const FLEET: &str = "fleet = \"restart\"\ncoordinators = 1\nworkers = 1\n";
const WORKER: &str = "w1";
/// Class of the background load; its requests are idempotent.
const LOAD_CLASS: &str = "status-check";
/// Class of the request that is sent to the predecessor and again to the successor, under one idempotency key.
const KEYED_CLASS: &str = "port-submit";
/// Metric that counts the runs a process has started for [`KEYED_CLASS`].
const KEYED_RUNS: &str = "svc.replies.port-submit.dispatches";
const REQUESTS_PER_S: f64 = 150.0;
/// Duration of the load before the hot restart, and after it.
const LOAD_TIME: Duration = Duration::from_secs(2);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Work of the keyed request: seconds before and after a downstream call, and 0 for no call.
const KEYED_WORK: &str = "0.003000 0.003000 0";

/// Hot restarts a worker of the build `from` with the build `to` under load.
pub(super) fn check(from: &Build, to: &Build, folder: &Path) -> Result<Vec<CheckResult>, TestbedError> {
    let subject = format!("hot restart from {} to {} under load", from.name, to.name);
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, from.programs.clone())?;
    let listen = rig.listen_address(WORKER).ok_or(TestbedError::Missing("address of the worker"))?;
    let class = rig.class(LOAD_CLASS).ok_or(TestbedError::Missing("class of the load"))?.clone();
    wait_ready(&rig)?;
    let mut idle_connection = connect(listen)?;
    let first_response = send_keyed(&mut idle_connection, "11")?;
    let load = Routers::start(&[(listen, 1)], &class, REQUESTS_PER_S);
    thread::sleep(LOAD_TIME);
    rig.set_programs(to.programs.clone());
    rig.replace(WORKER)?;
    thread::sleep(LOAD_TIME);
    let counts = load.end();
    // The predecessor has handed over the idle connection, and the idempotency key with its result.
    let second_response = send_keyed(&mut idle_connection, "22");
    let metrics = console_request(&rig, "/-/metrics")?;
    let keyed_runs = metrics.lines().find(|line| line.starts_with(KEYED_RUNS)).unwrap_or_default();
    let without_result = counts.unanswered + counts.failed;
    let is_answered = without_result == 0 && counts.sent == counts.served + counts.rejected;
    Ok(vec![
        CheckResult {
            subject: subject.clone(),
            passed: is_answered && counts.served > counts.rejected,
            observed: format!(
                "{} requests: {} served, {} rejected, {} failed, {} without exactly one response",
                counts.sent, counts.served, counts.rejected, counts.failed, counts.unanswered
            ),
        },
        CheckResult {
            subject: format!("{subject}: retry of a key on a handed-off connection"),
            passed: first_response.status == "200"
                && second_response.as_ref().is_ok_and(|response| *response == first_response)
                && keyed_runs == format!("{KEYED_RUNS}=0"),
            observed: format!("{first_response:?}, then {second_response:?}; in the successor {keyed_runs}"),
        },
    ])
}

fn console_request(rig: &Rig, path: &str) -> Result<String, TestbedError> {
    get(rig.address(WORKER).ok_or(TestbedError::Missing("console of the worker"))?, path)
}

/// Waits until the worker is connected to its executor; before that it rejects requests.
fn wait_ready(rig: &Rig) -> Result<(), TestbedError> {
    let end = Instant::now() + READY_TIMEOUT;
    while !console_request(rig, "/-/ready")?.starts_with("HTTP/1.1 200") {
        if Instant::now() > end {
            return Err(TestbedError::TimedOut {
                condition: "readiness of the worker".to_owned(),
                limit: READY_TIMEOUT,
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

#[derive(Debug, PartialEq, Eq)]
struct Response {
    status: String,
    body: String,
}

fn connect(worker: SocketAddr) -> Result<TcpStream, TestbedError> {
    let stream = TcpStream::connect(worker).map_err(TestbedError::peer(worker))?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(TestbedError::peer(worker))?;
    Ok(stream)
}

/// Sends the request with the idempotency key under this correlation id, and keeps the connection open.
fn send_keyed(stream: &mut TcpStream, correlation_id: &str) -> Result<Response, TestbedError> {
    write!(
        stream,
        "POST /do/{KEYED_CLASS} HTTP/1.1\r\nHost: testbed\r\nX-Correlation-Id: {correlation_id:0>16}\r\n\
         X-Org: lab\r\nX-Need-Kb: 24.0\r\nX-Operation-Key: 5c0f6e1a2b3d4c59\r\nContent-Length: {}\r\n\r\n{KEYED_WORK}",
        KEYED_WORK.len()
    )?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let (head, body) =
        read_message(&mut reader).ok_or(TestbedError::Missing("response to the keyed request"))?;
    let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
    Ok(Response { status, body: String::from_utf8_lossy(&body).into_owned() })
}
