//! What a fleet costs and how long it takes: takeovers after kills and cuts, and what sessions ask of a leader.

use super::rig::{FleetFile, Programs, Rig};
use honeypost::fleet::frame::{decode, encode, Question, Word, HEAR_MOST_BYTES};
use honeypost::fleet::{Act, Member, Plan};
use honeypost_coordinator::ask::{ask, ask_leader, Asked};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// One coordinator and worker count for all of it.
const FLEET: &str = "fleet = \"cost\"\ncoordinators = 3\nworkers = 4\nwork_ms = 1\n\
    [[task]]\nname = \"watched\"\nperiod_s = 0.1\nttl_ms = 3000\ndeadline_ms = 200\nsafe = true\n";
/// How long one thing is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until something is so; how long it took (seconds).
fn wait(what: &str, mut look: impl FnMut() -> bool) -> Result<f64, String> {
    let start = Instant::now();
    while !look() {
        if start.elapsed() > PATIENCE {
            return Err(format!("{what}: not within {PATIENCE:?}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(start.elapsed().as_secs_f64())
}

fn last_act(rig: &Rig) -> (String, u64) {
    let act = rig.acts().into_iter().rfind(|a| a.accepted);
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
pub fn takeovers(folder: &Path, programs: Programs, times: usize) -> Result<String, String> {
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
            rig.start_again(&holder)?;
        } else {
            cut.push(took);
            for c in rig.coordinators() {
                rig.cut(&holder, &c, false, false)?;
            }
        }
        // The one that came back is in session again before the next.
        std::thread::sleep(Duration::from_millis(1500));
    }
    let wrong = super::acts::judge(&rig.acts());
    if !wrong.is_empty() {
        return Err(wrong.join("; "));
    }
    Ok(format!("TTL 3 s; holder killed: {}\n          holder cut:    {}", quantiles(killed), quantiles(cut)))
}

/// A session of the tool's own.
struct Session {
    member: Member,
    stream: Option<TcpStream>,
    data: Vec<u8>,
}

impl Session {
    /// One round; bytes sent and received.
    fn turn(&mut self, now: f64) -> (u64, u64) {
        let (mut up, mut down) = (0, 0);
        let mut part = [0; 16 * 1024];
        if let Some(stream) = &mut self.stream {
            match stream.read(&mut part) {
                Ok(0) => self.broken(now),
                Ok(n) => {
                    down += n as u64;
                    self.data.extend_from_slice(&part[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.broken(now),
            }
        }
        while let Ok(Some((word, length))) = decode::<Word>(&self.data, HEAR_MOST_BYTES) {
            self.data.drain(..length);
            self.member.heard(now, &word);
        }
        self.member.tick(now, || [("concurrent".to_owned(), 3)].into_iter().collect());
        for act in self.member.take_acts() {
            match act {
                Act::Connect(to) => match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                    Ok(stream) => {
                        let _ = stream.set_nonblocking(true);
                        let _ = stream.set_nodelay(true);
                        self.stream = Some(stream);
                        self.data.clear();
                        self.member.connected();
                        // Its greeting goes with the next round.
                    }
                    Err(_) => self.member.broken(now),
                },
                Act::Send(say) => {
                    let bytes = encode(&say);
                    up += bytes.len() as u64;
                    // Frames are far smaller than a socket's buffer.
                    let sent = self.stream.as_mut().map_or(true, |s| s.write_all(&bytes).is_ok());
                    if !sent {
                        self.broken(now);
                    }
                }
                Act::Close => self.stream = None,
                Act::Call(_) | Act::Log(_) => {}
            }
        }
        (up, down)
    }

    fn broken(&mut self, now: f64) {
        self.stream = None;
        self.member.broken(now);
    }
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
pub fn sessions(folder: &Path, programs: Programs, counts: &[usize], for_s: f64) -> Result<String, String> {
    let mut text = "sessions  opened in  leader's cpu  resident  up B/s each  down B/s each".to_owned();
    for &count in counts {
        let file = FleetFile::decode("fleet = \"cost\"\ncoordinators = 3\nworkers = 1\n")?;
        let rig = Rig::start(file, &folder.join(format!("sessions-{count}")), programs.clone())?;
        let all: Vec<SocketAddr> = rig.asked();
        let plan = |n: usize| Plan {
            fleet: "cost".to_owned(),
            name: format!("s{n}"),
            zone: "none".to_owned(),
            coordinators: all.clone(),
            drift: 0.1,
            adds_up: false,
            tasks: Vec::new(),
        };
        wait("a leader", || {
            matches!(ask_leader(&all, "cost", &Question::Leases, Duration::ZERO), Asked::Answer(_))
        })?;
        let start = Instant::now();
        let now = || start.elapsed().as_secs_f64();
        let seed = |n: usize| (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let new = |n| Session {
            member: Member::new(0.0, plan(n), seed(n), seed(n)),
            stream: None,
            data: Vec::new(),
        };
        let mut sessions: Vec<Session> = (0..count).map(new).collect();
        let linked = |s: &Session| s.member.is_linked();
        while !sessions.iter().all(linked) {
            for session in &mut sessions {
                session.turn(now());
            }
            if start.elapsed() > PATIENCE {
                return Err(format!("{count} sessions did not come up"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let opened = now();
        let leader = rig.coordinators().into_iter().find(|c| {
            let status =
                rig.address(c).and_then(|at| ask(at, "cost", &Question::Status, Duration::from_secs(1)).ok());
            matches!(status, Some(Word::Answer { answer }) if answer["leads"] == true)
        });
        let pid = leader.and_then(|c| rig.pid(&c)).ok_or("no leader")?;
        let (cpu, begun) = (cpu_of_all_threads_s(pid), Instant::now());
        let (mut up, mut down) = (0, 0);
        while begun.elapsed().as_secs_f64() < for_s {
            for session in &mut sessions {
                let (u, d) = session.turn(now());
                (up, down) = (up + u, down + d);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let took = begun.elapsed().as_secs_f64();
        let each = |bytes: u64| bytes as f64 / took / count as f64;
        text += &format!(
            "\n{count:>8}  {opened:>7.2} s  {:>10.2}%  {:>5.1} MB  {:>11.0}  {:>13.0}",
            100.0 * (cpu_of_all_threads_s(pid) - cpu) / took,
            resident_kb(pid) as f64 / 1024.0,
            each(up),
            each(down)
        );
    }
    Ok(text)
}
