//! A portal's web server: one AJP/1.3 request on a connection of its own.

use crate::client::Answer;
use crate::world::{unix_ms, Sent, World};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long the web server waits beyond the request's due time before it counts the answer as missing.
const SLACK: Duration = Duration::from_millis(500);

pub struct Forward {
    pub id: String,
    pub class: &'static str,
    pub path: &'static str,
    /// The user that the web server has authenticated.
    pub user: &'static str,
    pub key: Option<&'static str>,
    pub body: &'static [u8],
    pub deadline: Duration,
    pub retry: bool,
}

/// Sends a request and returns its answer.
pub fn send(world: &World, to: SocketAddr, request: &Forward) -> Answer {
    let answer = exchange(world, to, request).unwrap_or(Answer::Ended);
    world.record_over(&request.id);
    let text = match &answer {
        Answer::Status(status, body) => format!("answered {status}, {:?}", String::from_utf8_lossy(body)),
        other => format!("{other:?}"),
    };
    world.note(&format!("portal: {} {}: {text}", request.class, request.id));
    answer
}

fn exchange(world: &World, to: SocketAddr, request: &Forward) -> Option<Answer> {
    let Ok(mut stream) = TcpStream::connect(to) else { return Some(Answer::Refused) };
    let arrived_ms = unix_ms();
    let sent = Sent {
        class: request.class.to_owned(),
        key: request.key.map(str::to_owned),
        body: request.body.to_vec(),
        arrived_ms,
        over: false,
    };
    world.record_sent(&request.id, sent);
    let retry = if request.retry { ", marked as a retry" } else { "" };
    world.note(&format!("portal: {} {} sent by user {}{retry}", request.class, request.id, request.user));
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(request.deadline + SLACK)).ok()?;
    stream.write_all(&encode(request, arrived_ms)).ok()?;
    let (mut status, mut body) = (0, Vec::new());
    loop {
        let payload = match read_packet(&mut stream) {
            Ok(payload) => payload,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                return Some(Answer::Missing);
            }
            Err(_) => return Some(Answer::Ended),
        };
        match payload.first()? {
            4 => status = u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]),
            3 => {
                let length = usize::from(u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]));
                body.extend_from_slice(payload.get(3..3 + length)?);
            }
            5 => return Some(Answer::Status(status, body)),
            _ => return Some(Answer::Ended),
        }
    }
}

fn read_packet(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let mut payload = vec![0; usize::from(u16::from_be_bytes([header[2], header[3]]))];
    stream.read_exact(&mut payload)?;
    Ok(payload)
}

/// A Forward Request, and the packet with its body right after it.
fn encode(request: &Forward, arrived_ms: u64) -> Vec<u8> {
    let mut headers = vec![
        ("content-length", request.body.len().to_string()),
        ("X-Correlation-Id", request.id.clone()),
        ("X-Arrived-Ms", arrived_ms.to_string()),
        ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
        ("X-Need-Kb", "24.5".to_owned()),
    ];
    if let Some(key) = request.key {
        headers.push(("X-Operation-Key", key.to_owned()));
    }
    if request.retry {
        headers.push(("X-Resent", "1".to_owned()));
    }
    // Code of a Forward Request, code of POST.
    let mut payload = vec![2, 4];
    for text in ["HTTP/1.1", request.path, "127.0.0.1", "localhost", "portal.example"] {
        push_text(&mut payload, text);
    }
    payload.extend_from_slice(&80u16.to_be_bytes());
    payload.push(0);
    payload.extend_from_slice(&(headers.len() as u16).to_be_bytes());
    for (name, value) in &headers {
        push_text(&mut payload, name);
        push_text(&mut payload, value);
    }
    // The attribute with the remote user, and the end of the attributes.
    payload.push(3);
    push_text(&mut payload, request.user);
    payload.push(0xFF);
    let mut body = (request.body.len() as u16).to_be_bytes().to_vec();
    body.extend_from_slice(request.body);
    [packet(&payload), packet(&body)].concat()
}

fn packet(payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x12, 0x34];
    bytes.extend_from_slice(&(payload.len() as u16).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

fn push_text(payload: &mut Vec<u8>, text: &str) {
    payload.extend_from_slice(&(text.len() as u16).to_be_bytes());
    payload.extend_from_slice(text.as_bytes());
    payload.push(0);
}
