//! Measures a fleet of real processes: the time of lease takeovers after kills and partitions, the rate of lease grants, and
//! the load of sessions on a leader.

use super::rig::{FleetFile, Programs, Rig};
use super::session_load::SessionLoad;
use crate::error::TestbedError;
use fleet_coordinator::client::{query_coordinator, query_leader, QueryOutcome};
use port_worker::fleet::frame::{
    decode, encode, ClientMessage, OperatorQuery, ServerMessage, MAX_SERVER_FRAME_BYTES, VERSION,
};
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// The fleet in which takeovers are measured.
const FLEET: &str = "fleet = \"cost\"\ncoordinators = 3\nworkers = 4\nwork_ms = 1\n\
    [[task]]\nname = \"watched\"\nperiod_s = 0.1\nttl_ms = 3000\ndeadline_ms = 200\nsafe = true\n";
/// Largest time to wait for a single condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds; returns the time that this took (seconds).
fn wait(condition: &str, mut holds: impl FnMut() -> bool) -> Result<f64, TestbedError> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > TIMEOUT {
            return Err(TestbedError::TimedOut { condition: condition.to_owned(), limit: TIMEOUT });
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(start.elapsed().as_secs_f64())
}

/// Returns the holder and the end time (milliseconds) of the last accepted call; an empty name and 0 before the first.
fn last_call(rig: &Rig) -> (String, u64) {
    let call = rig.task_calls().into_iter().rfind(|call| call.accepted);
    call.map_or_else(|| (String::new(), 0), |call| (call.holder, call.end_ms))
}

fn quantiles(mut seconds: Vec<f64>) -> String {
    seconds.sort_by(f64::total_cmp);
    let at = |q: f64| {
        seconds.get(((seconds.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
    };
    format!("p50 {:.2} s, p90 {:.2} s, max {:.2} s of {}", at(0.5), at(0.9), at(1.0), seconds.len())
}

/// Measures the time until another worker carries out the task: `times` times after the holder was killed, and `times`
/// times after the holder was partitioned from the coordinators.
///
/// # Errors
/// A process does not start, no takeover happens in time, or a guarantee was violated.
pub fn takeovers(folder: &Path, programs: Programs, times: usize) -> Result<String, TestbedError> {
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs)?;
    wait("the first call", || !last_call(&rig).0.is_empty())?;
    let (mut after_kill, mut after_cut) = (Vec::new(), Vec::new());
    for n in 0..2 * times {
        let (holder, before) = last_call(&rig);
        let kills = n % 2 == 0;
        if kills {
            rig.kill(&holder)?;
        } else {
            for c in rig.coordinators() {
                rig.set_partition(&holder, &c, false, true)?;
            }
        }
        let elapsed_s = wait("another holder", || {
            let (now, at) = last_call(&rig);
            now != holder && at > before
        })?;
        if kills {
            after_kill.push(elapsed_s);
            rig.restart(&holder)?;
        } else {
            after_cut.push(elapsed_s);
            for c in rig.coordinators() {
                rig.set_partition(&holder, &c, false, false)?;
            }
        }
        // The worker needs this time to establish a session again before the next takeover.
        std::thread::sleep(Duration::from_millis(1500));
    }
    let violations = super::task_log::find_violations(&rig.task_calls());
    if !violations.is_empty() {
        return Err(TestbedError::GuaranteeBroken(violations));
    }
    Ok(format!(
        "TTL 3 s; holder killed:  {}\n         holder cut off: {}",
        quantiles(after_kill),
        quantiles(after_cut)
    ))
}

/// Returns the coordinator that leads, if any.
fn leader(rig: &Rig) -> Option<String> {
    rig.coordinators().into_iter().find(|c| {
        let at = rig.address(c);
        let status = at.and_then(|at| {
            query_coordinator(at, "cost", &OperatorQuery::Status, Duration::from_secs(1)).ok()
        });
        matches!(status, Some(ServerMessage::QueryResult { answer }) if answer["leads"] == true)
    })
}

/// A session that acquires and releases the lease of one task repeatedly.
struct LeaseTaker {
    stream: TcpStream,
    data: Vec<u8>,
}

impl LeaseTaker {
    fn send(&mut self, message: &ClientMessage) -> Result<(), TestbedError> {
        Ok(self.stream.write_all(&encode(message))?)
    }

    /// Reads messages until `extract` returns a value for one; `None` if no message arrives within the read timeout.
    fn read_until<T>(
        &mut self,
        extract: impl Fn(&ServerMessage) -> Option<T>,
    ) -> Result<Option<T>, TestbedError> {
        let mut buffer = [0; 4096];
        loop {
            while let Some((message, length)) = decode::<ServerMessage>(&self.data, MAX_SERVER_FRAME_BYTES)? {
                self.data.drain(..length);
                if let Some(found) = extract(&message) {
                    return Ok(Some(found));
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(TestbedError::LinkClosed),
                Ok(n) => self.data.extend_from_slice(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Ok(None),
                Err(e) => return Err(e.into()),
            }
        }
    }
}

/// Measures the rate at which the leader grants and releases leases, and its memory meanwhile. Each of the `takers` is a
/// session that acquires and releases the lease of its own task for `for_s` seconds; each lease takes two log commands, one
/// for its grant and one for its release.
///
/// # Errors
/// A process does not start, or a session fails.
pub fn grants(folder: &Path, programs: Programs, takers: usize, for_s: f64) -> Result<String, TestbedError> {
    let mut text = "fleet = \"cost\"\ncoordinators = 3\nworkers = 1\n".to_owned();
    for n in 0..takers {
        let _ = write!(text, "[[task]]\nname = \"t{n}\"\nperiod_s = 1000.0\nsafe = true\n");
    }
    let mut rig = Rig::start(FleetFile::decode(&text)?, folder, programs)?;
    // The only worker is killed, so that the takers alone compete for the tasks.
    rig.kill("w1")?;
    wait("a leader", || leader(&rig).is_some())?;
    let name = leader(&rig).ok_or(TestbedError::Missing("leader"))?;
    let (at, pid) = (
        rig.address(&name).ok_or(TestbedError::Missing("address"))?,
        rig.pid(&name).ok_or(TestbedError::Missing("process"))?,
    );
    // The leases of the killed worker expire meanwhile: their time to live is 3 s.
    std::thread::sleep(Duration::from_secs(5));
    let start = Instant::now();
    let run_taker = |n: usize| -> Result<u64, TestbedError> {
        let stream = TcpStream::connect(at)?;
        let _ = stream.set_nodelay(true);
        // The leader ignores a request for a lease that it is still freeing, so the taker repeats its request after 20 ms.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut taker = LeaseTaker { stream, data: Vec::new() };
        let (fleet, process) = ("cost".to_owned(), n as u64 + 1);
        taker.send(&ClientMessage::Hello {
            fleet,
            version: VERSION,
            name: format!("s{n}"),
            zone: "z".into(),
            process,
        })?;
        while taker.read_until(|m| matches!(m, ServerMessage::Welcome { .. }).then_some(()))?.is_none() {
            if start.elapsed() > TIMEOUT {
                return Err(TestbedError::Missing("welcome"));
            }
        }
        let (mut leases, mut seq) = (0, 0);
        while start.elapsed().as_secs_f64() < for_s {
            seq += 1;
            let wants = vec![format!("t{n}")];
            taker.send(&ClientMessage::Heartbeat {
                seq,
                wants,
                leases: Vec::new(),
                counters: None,
                totals: None,
                load: None,
            })?;
            let granted = taker.read_until(|m| match m {
                ServerMessage::LeaseGranted { lease } => Some(lease.clone()),
                _ => None,
            })?;
            let Some(held) = granted else { continue };
            taker.send(&ClientMessage::ReleaseLease { lease: held, failed: false, pass_on: false })?;
            leases += 1;
        }
        Ok(leases)
    };
    let mut rows = format!("{takers} takers, memory of the leader (MB) after each tenth of the time:");
    let per_taker: Result<Vec<u64>, TestbedError> = std::thread::scope(|scope| {
        let run_taker = &run_taker;
        let handles: Vec<_> = (0..takers).map(|n| scope.spawn(move || run_taker(n))).collect();
        for _tenth in 0..10 {
            std::thread::sleep(Duration::from_secs_f64(for_s / 10.0));
            let _ = write!(rows, " {:.1}", resident_kb(pid) as f64 / 1024.0);
        }
        handles
            .into_iter()
            .map(|h| h.join().unwrap_or(Err(TestbedError::Panicked { kind: "taker" })))
            .collect()
    });
    let total: u64 = per_taker?.iter().sum();
    let per_s = total as f64 / start.elapsed().as_secs_f64();
    Ok(format!("{rows}\n{total} leases granted and released, {per_s:.0} per second, {} commands", 2 * total))
}

fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Returns the processor time of all threads of a process (seconds). `/proc/PID/schedstat` covers the main thread only, and a
/// coordinator writes to its disk on another, so the threads are read from `/proc/PID/task`.
fn cpu_of_all_threads_s(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.filter_map(|t| t.file_name().to_string_lossy().parse().ok()).map(cpu_s).sum()
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Measures the load that sessions put on the leader: for each number of sessions in `counts`, over `for_s` seconds. Returns a
/// table with one row per number.
///
/// # Errors
/// A process does not start, or the sessions are not established in time.
pub fn sessions(
    folder: &Path,
    programs: &Programs,
    counts: &[usize],
    for_s: f64,
) -> Result<String, TestbedError> {
    let mut text = "sessions  opened in  leader's CPU  resident  up B/s each  down B/s each".to_owned();
    for &count in counts {
        let file = FleetFile::decode("fleet = \"cost\"\ncoordinators = 3\nworkers = 1\n")?;
        let rig = Rig::start(file, &folder.join(format!("sessions-{count}")), programs.clone())?;
        let addresses: Vec<SocketAddr> = rig.coordinator_addresses();
        wait("a leader", || {
            matches!(
                query_leader(&addresses, "cost", &OperatorQuery::Leases, Duration::ZERO),
                QueryOutcome::Answer(_)
            )
        })?;
        let mut load = SessionLoad::new(count, "cost", &addresses, &[]);
        while !load.all_sessions_established() {
            load.turn();
            if load.now() > TIMEOUT.as_secs_f64() {
                return Err(TestbedError::SessionsNotEstablished { count, limit: TIMEOUT });
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let opened_s = load.now();
        let pid = leader(&rig).and_then(|c| rig.pid(&c)).ok_or(TestbedError::Missing("leader"))?;
        let (cpu, start) = (cpu_of_all_threads_s(pid), Instant::now());
        let (mut up, mut down) = (0, 0);
        while start.elapsed().as_secs_f64() < for_s {
            let (sent, received) = load.turn();
            (up, down) = (up + sent, down + received);
            std::thread::sleep(Duration::from_millis(5));
        }
        let elapsed_s = start.elapsed().as_secs_f64();
        let per_session_and_s = |bytes: u64| bytes as f64 / elapsed_s / count as f64;
        let _ = write!(
            text,
            "\n{count:>8}  {opened_s:>7.2} s  {:>10.2}%  {:>5.1} MB  {:>11.0}  {:>13.0}",
            100.0 * (cpu_of_all_threads_s(pid) - cpu) / elapsed_s,
            resident_kb(pid) as f64 / 1024.0,
            per_session_and_s(up),
            per_session_and_s(down)
        );
    }
    Ok(text)
}
