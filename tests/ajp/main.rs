//! Integration tests of the AJP frontend, AJP servers and the directory, with scripted clients and servers.

mod backend;
mod directory;
mod directory_outage;
mod frontend;
mod ldap;
mod portals;
mod tenant_change;

use port_worker::net::upstreams::ajp_codec::{self, Direction, Forward, ToWebServer};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use test_support::{Reply, RequestBuilder, WorkerProgram, TIMEOUT};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// An operator's file with an AJP frontend.
const FRONTEND: &str = r#"
[ajp]
listen = "127.0.0.1:0"
secret = "s3cret"
[[ajp.route]]
path = "/portal/look"
class = "look"
[[ajp.route]]
path = "/portal/order"
class = "order"
"#;

/// One end of an AJP connection.
struct Ajp {
    stream: TcpStream,
}

impl Ajp {
    fn connect(to: SocketAddr) -> Ajp {
        Ajp::from_stream(TcpStream::connect(to).unwrap())
    }

    fn from_stream(stream: TcpStream) -> Ajp {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Ajp { stream }
    }

    /// Resets the connection instead of closing it gracefully.
    fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads the payload of the next packet; `None` at the end of the connection.
    fn read_packet(&mut self, direction: Direction) -> Option<Vec<u8>> {
        let mut bytes = vec![0; 4];
        self.stream.read_exact(&mut bytes).ok()?;
        bytes.resize(4 + usize::from(u16::from_be_bytes([bytes[2], bytes[3]])), 0);
        self.stream.read_exact(&mut bytes[4..]).unwrap();
        ajp_codec::find_packet(&bytes, direction).unwrap().map(|range| bytes[range].to_vec())
    }

    fn send(&mut self, f: &Forward, body: &[u8]) {
        let mut bytes = ajp_codec::write_forward(f).unwrap();
        if !body.is_empty() {
            bytes.extend(ajp_codec::write_body(body).unwrap());
        }
        self.write(&bytes);
    }

    /// Reads one response, and whether the connection may be reused.
    fn read_response(&mut self) -> (Reply, bool) {
        let mut reply = Reply { status: 0, head: String::new(), body: Vec::new() };
        loop {
            let payload = self.read_packet(Direction::ToWebServer).expect("a response");
            match ajp_codec::parse_to_web_server(&payload).unwrap() {
                ToWebServer::Headers { status, headers } => {
                    reply.status = status;
                    for (name, value) in headers {
                        writeln!(reply.head, "{name}: {}", String::from_utf8_lossy(value)).unwrap();
                    }
                }
                ToWebServer::Chunk(bytes) => reply.body.extend(bytes),
                ToWebServer::End { reuse } => return (reply, reuse),
                other => panic!("{other:?}"),
            }
        }
    }

    fn request(&mut self, f: &Forward, body: &[u8]) -> Reply {
        self.send(f, body);
        self.read_response().0
    }

    /// Whether the connection ends without another byte. A read that fails counts as the end, also by timeout.
    fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0; 16]), Ok(0) | Err(_))
    }
}

/// A request as a portal's web server forwards it, with a Content-Length of 5.
fn forward<'a>(uri: &'a str, key: &'a str) -> Forward<'a> {
    let mut headers: Vec<(&str, &[u8])> = vec![("content-length", b"5"), ("X-Org", b"acme")];
    if !key.is_empty() {
        headers.push(("X-Operation-Key", key.as_bytes()));
    }
    let secret = Some(&b"s3cret"[..]);
    Forward { method: "POST", uri, server_name: "portal.example", headers, remote_user: None, secret }
}

fn order(key: &str) -> RequestBuilder<'_> {
    RequestBuilder::new("order").key(key)
}
