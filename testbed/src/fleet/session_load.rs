//! Sessions of many workers in one process. Each is a production [`FleetMember`] on a plain socket, without the rest of the
//! worker.

use port_worker::fleet::frame::{decode, encode, ServerMessage, MAX_SERVER_FRAME_BYTES};
use port_worker::fleet::tasks::Schedule;
use port_worker::fleet::{FleetMember, Incarnation, MemberAction, MembershipConfig};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A worker's session with a coordinator.
struct Session {
    member: FleetMember,
    stream: Option<TcpStream>,
    received_bytes: Vec<u8>,
    grants: u64,
}

/// The sessions, on one clock. Suspended ones neither read nor write, but keep their connections open.
pub struct SessionLoad {
    start: Instant,
    sessions: Vec<Session>,
    suspended: Vec<bool>,
}

impl SessionLoad {
    /// Creates sessions that compete for the leases of the tasks `wants`. The tasks have a period of one day, and calls that
    /// become due are ignored.
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
        let config = |n: usize| MembershipConfig {
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
        let session = |n| Session {
            member: FleetMember::new(0.0, config(n), Incarnation(seed(n)), seed(n)),
            stream: None,
            received_bytes: Vec::new(),
            grants: 0,
        };
        SessionLoad {
            start: Instant::now(),
            sessions: (0..count).map(session).collect(),
            suspended: vec![false; count],
        }
    }

    /// Returns the time since the sessions were created (seconds).
    #[must_use]
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Runs one turn of all sessions; returns the bytes sent and received.
    pub fn turn(&mut self) -> (u64, u64) {
        let (mut up, mut down) = (0, 0);
        for n in 0..self.sessions.len() {
            if !self.suspended[n] {
                let now = self.now();
                let (sent, received) = self.sessions[n].turn(now);
                (up, down) = (up + sent, down + received);
            }
        }
        (up, down)
    }

    /// Whether every session is established.
    #[must_use]
    pub fn all_sessions_established(&self) -> bool {
        self.sessions.iter().all(|s| s.member.has_established_session())
    }

    /// Returns the sessions that may act for a task now.
    #[must_use]
    pub fn holders(&self, task: &str) -> Vec<usize> {
        let now = self.now();
        let is_holder = |s: &Session| s.member.may_act(now, task, 0.0).is_some();
        (0..self.sessions.len()).filter(|n| is_holder(&self.sessions[*n])).collect()
    }

    /// Returns the number of lease grants that the sessions received.
    #[must_use]
    pub fn grants(&self) -> u64 {
        self.sessions.iter().map(|s| s.grants).sum()
    }

    /// Suspends a session: it neither reads nor writes, but keeps its connection open.
    pub fn suspend(&mut self, n: usize) {
        self.suspended[n] = true;
    }
}

impl Session {
    /// Runs one turn; returns the bytes sent and received.
    fn turn(&mut self, now: f64) -> (u64, u64) {
        let (mut up, mut down) = (0, 0);
        let mut buffer = [0; 16 * 1024];
        if let Some(stream) = &mut self.stream {
            match stream.read(&mut buffer) {
                Ok(0) => self.disconnect(now),
                Ok(n) => {
                    down += n as u64;
                    self.received_bytes.extend_from_slice(&buffer[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.disconnect(now),
            }
        }
        while let Ok(Some((message, length))) =
            decode::<ServerMessage>(&self.received_bytes, MAX_SERVER_FRAME_BYTES)
        {
            self.received_bytes.drain(..length);
            self.grants += u64::from(matches!(message, ServerMessage::LeaseGranted { .. }));
            self.member.receive(now, &message);
        }
        self.member.tick(now, || [("concurrent".to_owned(), 3)].into_iter().collect());
        for action in self.member.take_actions() {
            match action {
                MemberAction::Connect(to) => match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                    Ok(stream) => {
                        let _ = stream.set_nonblocking(true);
                        let _ = stream.set_nodelay(true);
                        self.stream = Some(stream);
                        self.received_bytes.clear();
                        self.member.connected();
                        // The next turn sends the member's hello.
                    }
                    Err(_) => self.member.disconnected(now),
                },
                MemberAction::Send(message) => {
                    let bytes = encode(&message);
                    up += bytes.len() as u64;
                    // A frame is far smaller than the socket's send buffer, so the write takes all of it.
                    let sent = self.stream.as_mut().map_or(true, |s| s.write_all(&bytes).is_ok());
                    if !sent {
                        self.disconnect(now);
                    }
                }
                MemberAction::Close => self.stream = None,
                MemberAction::Call(_) | MemberAction::Log(_) => {}
            }
        }
        (up, down)
    }

    fn disconnect(&mut self, now: f64) {
        self.stream = None;
        self.member.disconnected(now);
    }
}
