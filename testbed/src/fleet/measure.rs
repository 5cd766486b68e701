//! What a fleet costs and how long it takes: takeovers after kills and cuts, and what sessions ask of a leader.

use super::rig::{FleetFile, Programs, Rig};
use super::session_load::SessionLoad;
use crate::error::TestbedError;
use fleet_coordinator::client::{ask, ask_leader, QueryOutcome};
use port_worker::fleet::frame::{
    decode, encode, ClientMessage, OperatorQuery, ServerMessage, MAX_SERVER_FRAME_BYTES, VERSION,
};
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// One coordinator and worker count for all of it.
const FLEET: &str = "fleet = \"cost\"\ncoordinators = 3\nworkers = 4\nwork_ms = 1\n\
    [[task]]\nname = \"watched\"\nperiod_s = 0.1\nttl_ms = 3000\ndeadline_ms = 200\nsafe = true\n";
/// How long one thing is waited for.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until something is so; how long it took (seconds).
fn wait(what: &str, mut look: impl FnMut() -> bool) -> Result<f64, TestbedError> {
    let start = Instant::now();
    while !look() {
        if start.elapsed() > TIMEOUT {
            return Err(TestbedError::TimedOut { what: what.to_owned(), limit: TIMEOUT });
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(start.elapsed().as_secs_f64())
}

fn last_act(rig: &Rig) -> (String, u64) {
    let act = rig.task_calls().into_iter().rfind(|a| a.accepted);
    act.map_or_else(|| (String::new(), 0), |a| (a.holder, a.end_ms))
}

fn quantiles(mut seconds: Vec<f64>) -> String {
    seconds.sort_by(f64::total_cmp);
    let at = |q: f64| {
        seconds.get(((seconds.len() as f64 - 1.0) * q).round() as usize).copied().unwrap_or(f64::NAN)
    };
    format!("p50 {:.2} s, p90 {:.2} s, most {:.2} s of {}", at(0.5), at(0.9), at(1.0), seconds.len())
}

/// How long it takes until another worker acts, after its holder was killed and after it was cut off.
///
/// # Errors
/// What did not come about.
pub fn takeovers(folder: &Path, programs: Programs, times: usize) -> Result<String, TestbedError> {
    let mut rig = Rig::start(FleetFile::decode(FLEET)?, folder, programs)?;
    wait("the first act", || !last_act(&rig).0.is_empty())?;
    let (mut killed, mut cut) = (Vec::new(), Vec::new());
    for n in 0..2 * times {
        let (holder, before) = last_act(&rig);
        let kills = n % 2 == 0;
        if kills {
            rig.kill(&holder)?;
        } else {
            for c in rig.coordinators() {
                rig.cut(&holder, &c, false, true)?;
            }
        }
        let took = wait("another holder", || {
            let (now, at) = last_act(&rig);
            now != holder && at > before
        })?;
        if kills {
            killed.push(took);
            rig.restart(&holder)?;
        } else {
            cut.push(took);
            for c in rig.coordinators() {
                rig.cut(&holder, &c, false, false)?;
            }
        }
        // The one that came back is in session again before the next.
        std::thread::sleep(Duration::from_millis(1500));
    }
    let wrong = super::task_log::find_violations(&rig.task_calls());
    if !wrong.is_empty() {
        return Err(TestbedError::GuaranteeBroken(wrong));
    }
    Ok(format!("TTL 3 s; holder killed: {}\n          holder cut:    {}", quantiles(killed), quantiles(cut)))
}

/// The coordinator that leads.
fn leader(rig: &Rig) -> Option<String> {
    rig.coordinators().into_iter().find(|c| {
        let at = rig.address(c);
        let status = at.and_then(|at| ask(at, "cost", &OperatorQuery::Status, Duration::from_secs(1)).ok());
        matches!(status, Some(ServerMessage::QueryResult { answer }) if answer["leads"] == true)
    })
}

/// A session that takes a task and gives it back, over and over.
struct Taker {
    stream: TcpStream,
    data: Vec<u8>,
}

impl Taker {
    fn say(&mut self, say: &ClientMessage) -> Result<(), TestbedError> {
        Ok(self.stream.write_all(&encode(say))?)
    }

    /// Reads until a word is one that `wanted` takes something from; `None` if none comes for a moment.
    fn until<T>(&mut self, wanted: impl Fn(&ServerMessage) -> Option<T>) -> Result<Option<T>, TestbedError> {
        let mut part = [0; 4096];
        loop {
            while let Some((word, length)) = decode::<ServerMessage>(&self.data, MAX_SERVER_FRAME_BYTES)? {
                self.data.drain(..length);
                if let Some(found) = wanted(&word) {
                    return Ok(Some(found));
                }
            }
            match self.stream.read(&mut part) {
                Ok(0) => return Err(TestbedError::LinkClosed),
                Ok(n) => self.data.extend_from_slice(&part[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Ok(None),
                Err(e) => return Err(e.into()),
            }
        }
    }
}

/// How many leases a second are granted and given back, each two commands in the log, by so many takers of a task each; and
/// what the leader's memory comes to meanwhile.
///
/// # Errors
/// What did not come about.
pub fn grants(folder: &Path, programs: Programs, takers: usize, for_s: f64) -> Result<String, TestbedError> {
    let mut text = "fleet = \"cost\"\ncoordinators = 3\nworkers = 1\n".to_owned();
    for n in 0..takers {
        let _ = write!(text, "[[task]]\nname = \"t{n}\"\nperiod_s = 1000.0\nsafe = true\n");
    }
    let mut rig = Rig::start(FleetFile::decode(&text)?, folder, programs)?;
    // The tasks are the takers'.
    rig.kill("w1")?;
    wait("a leader", || leader(&rig).is_some())?;
    let name = leader(&rig).ok_or(TestbedError::Missing("leader"))?;
    let (at, pid) = (
        rig.address(&name).ok_or(TestbedError::Missing("address"))?,
        rig.pid(&name).ok_or(TestbedError::Missing("process"))?,
    );
    // Until the worker that was killed holds nothing any more.
    std::thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let take = |n: usize| -> Result<u64, TestbedError> {
        let stream = TcpStream::connect(at)?;
        let _ = stream.set_nodelay(true);
        // A want that comes while the lease is still being freed does not count: it is said again.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut taker = Taker { stream, data: Vec::new() };
        let (fleet, process) = ("cost".to_owned(), n as u64 + 1);
        taker.say(&ClientMessage::Hello {
            fleet,
            version: VERSION,
            name: format!("s{n}"),
            zone: "z".into(),
            process,
        })?;
        while taker.until(|w| matches!(w, ServerMessage::Welcome { .. }).then_some(()))?.is_none() {
            if begun.elapsed() > TIMEOUT {
                return Err(TestbedError::Missing("welcome"));
            }
        }
        let (mut leases, mut seq) = (0, 0);
        while begun.elapsed().as_secs_f64() < for_s {
            seq += 1;
            let wants = vec![format!("t{n}")];
            taker.say(&ClientMessage::Heartbeat {
                seq,
                wants,
                leases: Vec::new(),
                counters: None,
                totals: None,
                load: None,
            })?;
            let granted = taker.until(|w| match w {
                ServerMessage::LeaseGranted { lease } => Some(lease.clone()),
                _ => None,
            })?;
            let Some(held) = granted else { continue };
            taker.say(&ClientMessage::ReleaseLease { lease: held, failed: false, pass_on: false })?;
            leases += 1;
        }
        Ok(leases)
    };
    let mut rows = format!("takers {takers}, memory of the leader (MB) at each tenth:");
    let taken: Result<Vec<u64>, TestbedError> = std::thread::scope(|scope| {
        let take = &take;
        let handles: Vec<_> = (0..takers).map(|n| scope.spawn(move || take(n))).collect();
        for _tenth in 0..10 {
            std::thread::sleep(Duration::from_secs_f64(for_s / 10.0));
            let _ = write!(rows, " {:.1}", resident_kb(pid) as f64 / 1024.0);
        }
        handles
            .into_iter()
            .map(|h| h.join().unwrap_or(Err(TestbedError::Panicked { what: "taker" })))
            .collect()
    });
    let taken: u64 = taken?.iter().sum();
    let each_s = taken as f64 / begun.elapsed().as_secs_f64();
    Ok(format!("{rows}\n{taken} leases granted and given back, {each_s:.0} a second, {} commands", 2 * taken))
}

fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// The main thread's share alone lies in schedstat; the disk's thread is read with it.
fn cpu_of_all_threads_s(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.filter_map(|t| t.file_name().to_string_lossy().parse().ok()).map(cpu_s).sum()
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// What so many sessions ask of a leader, for `for_s` seconds each: a row a count.
///
/// # Errors
/// What did not come about.
pub fn sessions(
    folder: &Path,
    programs: &Programs,
    counts: &[usize],
    for_s: f64,
) -> Result<String, TestbedError> {
    let mut text = "sessions  opened in  leader's cpu  resident  up B/s each  down B/s each".to_owned();
    for &count in counts {
        let file = FleetFile::decode("fleet = \"cost\"\ncoordinators = 3\nworkers = 1\n")?;
        let rig = Rig::start(file, &folder.join(format!("sessions-{count}")), programs.clone())?;
        let all: Vec<SocketAddr> = rig.coordinator_addresses();
        wait("a leader", || {
            matches!(
                ask_leader(&all, "cost", &OperatorQuery::Leases, Duration::ZERO),
                QueryOutcome::Answer(_)
            )
        })?;
        let mut sessions_load = SessionLoad::new(count, "cost", &all, &[]);
        while !sessions_load.all_connected() {
            sessions_load.turn();
            if sessions_load.now() > TIMEOUT.as_secs_f64() {
                return Err(TestbedError::SessionsNotEstablished { count });
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let opened = sessions_load.now();
        let pid = leader(&rig).and_then(|c| rig.pid(&c)).ok_or(TestbedError::Missing("leader"))?;
        let (cpu, begun) = (cpu_of_all_threads_s(pid), Instant::now());
        let (mut up, mut down) = (0, 0);
        while begun.elapsed().as_secs_f64() < for_s {
            let (u, d) = sessions_load.turn();
            (up, down) = (up + u, down + d);
            std::thread::sleep(Duration::from_millis(5));
        }
        let took = begun.elapsed().as_secs_f64();
        let each = |bytes: u64| bytes as f64 / took / count as f64;
        let _ = write!(
            text,
            "\n{count:>8}  {opened:>7.2} s  {:>10.2}%  {:>5.1} MB  {:>11.0}  {:>13.0}",
            100.0 * (cpu_of_all_threads_s(pid) - cpu) / took,
            resident_kb(pid) as f64 / 1024.0,
            each(up),
            each(down)
        );
    }
    Ok(text)
}
