//! A portal that speaks AJP/1.3: one request at a time on a connection.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const GET: u8 = 2;
const POST: u8 = 4;
const FORWARD_REQUEST: u8 = 2;
const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;
const REMOTE_USER: u8 = 3;
const ATTRIBUTES_DONE: u8 = 0xff;

/// A request of a portal; one with a body is a POST.
pub struct Request<'a> {
    pub path: &'a str,
    pub user: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// The answer to a request.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the connection may be used again.
    pub reuse: bool,
}

fn text(value: &str) -> Vec<u8> {
    let mut bytes = (value.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(value.as_bytes());
    bytes.push(0);
    bytes
}

fn packet(payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x12, 0x34];
    bytes.extend((payload.len() as u16).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let mut payload = vec![FORWARD_REQUEST, if self.body.is_empty() { GET } else { POST }];
        payload.extend(text("HTTP/1.1"));
        payload.extend(text(self.path));
        payload.extend(text("127.0.0.1"));
        payload.extend(text("portal"));
        payload.extend(text("portal.example"));
        payload.extend(80u16.to_be_bytes());
        payload.push(0);
        let length = self.body.len().to_string();
        let mut headers = self.headers.to_vec();
        if !self.body.is_empty() {
            headers.push(("content-length", &length));
        }
        payload.extend((headers.len() as u16).to_be_bytes());
        for (name, value) in headers {
            payload.extend(text(name));
            payload.extend(text(value));
        }
        payload.push(REMOTE_USER);
        payload.extend(text(self.user));
        payload.push(ATTRIBUTES_DONE);
        let mut bytes = packet(&payload);
        if !self.body.is_empty() {
            bytes.extend(packet(&[&(self.body.len() as u16).to_be_bytes()[..], self.body].concat()));
        }
        bytes
    }
}

pub fn connect(port: u16) -> TcpStream {
    let stream = TcpStream::connect(("127.0.0.1", port)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(7))).unwrap();
    stream
}

/// Sends one request on the connection and reads its answer; `None` if there is none.
pub fn ask(stream: &mut TcpStream, request: &Request) -> Option<Answer> {
    stream.write_all(&request.encode()).ok()?;
    let mut answer = Answer { status: 0, body: Vec::new(), reuse: false };
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head).ok()?;
        let mut payload = vec![0; usize::from(u16::from_be_bytes([head[2], head[3]]))];
        stream.read_exact(&mut payload).ok()?;
        match *payload.first()? {
            SEND_HEADERS => answer.status = u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]),
            SEND_BODY_CHUNK => {
                let length = usize::from(u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]));
                answer.body.extend_from_slice(payload.get(3..3 + length)?);
            }
            END_RESPONSE => {
                answer.reuse = payload.get(1) == Some(&1);
                return Some(answer);
            }
            _ => {}
        }
    }
}
