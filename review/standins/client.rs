//! A router's request over HTTP/1.1, on a connection of its own.

use crate::world::{unix_ms, Sent, World};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a client waits beyond the request's due time before it counts the answer as missing. The answer slack is 100 ms, and
/// every time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(500);

static LAST_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_0000);

#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub key: Option<&'static str>,
    pub body: &'static [u8],
    pub deadline: Duration,
    pub retry: bool,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16, Vec<u8>),
    /// The connection ended without a whole answer.
    Ended,
    /// There was no answer in time.
    Missing,
    /// The connection was refused: nothing was sent.
    Refused,
}

/// A new correlation id.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed) + 1)
}

/// Sends a request and returns its answer once there is one.
pub fn send(world: &World, to: SocketAddr, request: Request) -> JoinHandle<Answer> {
    let world = world.clone();
    std::thread::spawn(move || {
        let answer = exchange(&world, to, &request);
        world.record_over(&request.id);
        let text = match &answer {
            Answer::Status(status, body) => format!("answered {status}, {:?}", String::from_utf8_lossy(body)),
            Answer::Ended => "its connection ended without an answer".to_owned(),
            Answer::Missing => "no answer in time".to_owned(),
            Answer::Refused => "the connection was refused".to_owned(),
        };
        world.note(&format!("client: {} {}: {text}", request.class, request.id));
        answer
    })
}

fn exchange(world: &World, to: SocketAddr, request: &Request) -> Answer {
    let Ok(mut stream) = TcpStream::connect(to) else { return Answer::Refused };
    let arrived_ms = unix_ms();
    let mut head = format!(
        "POST /do/{} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Arrived-Ms: {arrived_ms}\r\n\
         X-Upstream-Peer: 1\r\nX-Org: {}\r\nX-Deadline-Ms: {}\r\nX-Need-Kb: 24.5\r\nX-Criticality: 0.6250\r\n\
         X-Estimate-Ms: 300.00\r\nContent-Length: {}\r\n",
        request.class,
        request.id,
        request.tenant,
        request.deadline.as_millis(),
        request.body.len()
    );
    if let Some(key) = request.key {
        head += &format!("X-Operation-Key: {key}\r\n");
    }
    if request.retry {
        head += "X-Resent: 1\r\n";
    }
    let bytes = [head.as_bytes(), b"\r\n", request.body].concat();
    world.record_sent(
        &request.id,
        Sent {
            class: request.class.to_owned(),
            key: request.key.map(str::to_owned),
            body: request.body.to_vec(),
            arrived_ms,
            over: false,
        },
    );
    let retry = if request.retry { ", marked as a retry" } else { "" };
    world.note(&format!("client: {} {} sent{retry}", request.class, request.id));
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(request.deadline + SLACK));
    if stream.write_all(&bytes).is_err() {
        return Answer::Ended;
    }
    read_answer(&mut stream)
}

fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        if let Some(answer) = parse(&bytes) {
            return answer;
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Answer::Ended,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                return Answer::Missing;
            }
            Err(_) => return Answer::Ended,
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head.split_once("content-length:")?.1.split("\r\n").next()?.trim().parse().ok()?;
    let body = bytes.get(end..end + length)?;
    Some(Answer::Status(status, body.to_vec()))
}
