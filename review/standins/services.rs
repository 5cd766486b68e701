//! The records service, which answers each call at once, and the registry, which takes reports.

use crate::world::World;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;

pub struct Services {
    pub records: SocketAddr,
    pub registry: SocketAddr,
}

impl Services {
    pub fn start(world: &World) -> Result<Services, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let records = listener.local_addr().map_err(|e| e.to_string())?;
        let world = world.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || serve_calls(&stream, &world));
            }
        });
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let registry = socket.local_addr().map_err(|e| e.to_string())?;
        thread::spawn(move || while socket.recv(&mut [0; 256]).is_ok() {});
        Ok(Services { records, registry })
    }
}

/// The reply to a call with this body.
pub fn reply_to(body: &[u8]) -> Vec<u8> {
    [b"reply to ", body].concat()
}

fn serve_calls(stream: &TcpStream, world: &World) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    loop {
        let (mut length, mut of) = (0, String::new());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            } else if let Some(value) = line.strip_prefix("op-of:") {
                of = value.trim().to_owned();
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        world.note(&format!("records: call of {of}"));
        let reply = reply_to(&body);
        writer.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len()).as_bytes()).ok()?;
        writer.write_all(&reply).ok()?;
    }
}
