//! Many workers' sessions in one process: the worker's own [`FleetMember`] behind plain sockets, without what it serves.

use port_worker::fleet::frame::{decode, encode, ServerMessage, MAX_SERVER_FRAME_BYTES};
use port_worker::fleet::tasks::Schedule;
use port_worker::fleet::{FleetMember, Incarnation, MemberAction, MembershipConfig};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One session.
struct Session {
    member: FleetMember,
    stream: Option<TcpStream>,
    data: Vec<u8>,
    grants: u64,
}

/// All of them, on one clock. Those that are stopped neither read nor write, and keep their links.
pub struct SessionLoad {
    start: Instant,
    sessions: Vec<Session>,
    stopped: Vec<bool>,
}

impl SessionLoad {
    /// So many sessions of a fleet; each would carry out `wants` once a day, and does nothing when its turn comes.
    #[must_use]
    pub fn new(count: usize, fleet: &str, coordinators: &[SocketAddr], wants: &[&str]) -> SessionLoad {
        let schedule = |name: &&str| Schedule {
            name: (*name).to_owned(),
            period_s: 86_400.0,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            path: "/".to_owned(),
            deadline_s: 0.1,
            idempotent: true,
        };
        let plan = |n: usize| MembershipConfig {
            fleet: fleet.to_owned(),
            name: format!("s{n}"),
            zone: "none".to_owned(),
            coordinators: coordinators.to_vec(),
            drift: 0.1,
            computes_totals: false,
            tasks: wants.iter().map(schedule).collect(),
            overload: None,
        };
        let seed = |n: usize| (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let new = |n| Session {
            member: FleetMember::new(0.0, plan(n), Incarnation(seed(n)), seed(n)),
            stream: None,
            data: Vec::new(),
            grants: 0,
        };
        SessionLoad {
            start: Instant::now(),
            sessions: (0..count).map(new).collect(),
            stopped: vec![false; count],
        }
    }

    /// The time since the sessions were made (seconds).
    #[must_use]
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// One round of all; bytes sent and received.
    pub fn turn(&mut self) -> (u64, u64) {
        let (mut up, mut down) = (0, 0);
        for n in 0..self.sessions.len() {
            if !self.stopped[n] {
                let now = self.now();
                let (u, d) = self.sessions[n].turn(now);
                (up, down) = (up + u, down + d);
            }
        }
        (up, down)
    }

    /// Whether every session is connected.
    #[must_use]
    pub fn all_linked(&self) -> bool {
        self.sessions.iter().all(|s| s.member.is_connected())
    }

    /// Who may act for a task now.
    #[must_use]
    pub fn holders(&self, task: &str) -> Vec<usize> {
        let now = self.now();
        let may = |s: &Session| s.member.may_act(now, task, 0.0).is_some();
        (0..self.sessions.len()).filter(|n| may(&self.sessions[*n])).collect()
    }

    /// How often anybody was told that it holds something.
    #[must_use]
    pub fn grants(&self) -> u64 {
        self.sessions.iter().map(|s| s.grants).sum()
    }

    /// Stops a session: it neither reads nor writes, and keeps its link.
    pub fn stop(&mut self, n: usize) {
        self.stopped[n] = true;
    }
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
        while let Ok(Some((word, length))) = decode::<ServerMessage>(&self.data, MAX_SERVER_FRAME_BYTES) {
            self.data.drain(..length);
            self.grants += u64::from(matches!(word, ServerMessage::LeaseGranted { .. }));
            self.member.receive(now, &word);
        }
        self.member.tick(now, || [("concurrent".to_owned(), 3)].into_iter().collect());
        for act in self.member.take_actions() {
            match act {
                MemberAction::Connect(to) => match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                    Ok(stream) => {
                        let _ = stream.set_nonblocking(true);
                        let _ = stream.set_nodelay(true);
                        self.stream = Some(stream);
                        self.data.clear();
                        self.member.connected();
                        // Its greeting goes with the next round.
                    }
                    Err(_) => self.member.disconnected(now),
                },
                MemberAction::Send(say) => {
                    let bytes = encode(&say);
                    up += bytes.len() as u64;
                    // Frames are far smaller than a socket's buffer.
                    let sent = self.stream.as_mut().map_or(true, |s| s.write_all(&bytes).is_ok());
                    if !sent {
                        self.broken(now);
                    }
                }
                MemberAction::Close => self.stream = None,
                MemberAction::Call(_) | MemberAction::Log(_) => {}
            }
        }
        (up, down)
    }

    fn broken(&mut self, now: f64) {
        self.stream = None;
        self.member.disconnected(now);
    }
}
