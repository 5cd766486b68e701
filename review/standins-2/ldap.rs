//! A directory that speaks as much LDAP as the worker uses: one entry for each portal.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BIND_REQUEST: u8 = 0x60;
const BIND_RESPONSE: u8 = 0x61;
const SEARCH_REQUEST: u8 = 0x63;
const SEARCH_ENTRY: u8 = 0x64;
const SEARCH_DONE: u8 = 0x65;

/// A directory.
#[derive(Clone)]
pub struct Directory {
    pub port: u16,
    /// Of each connection so far, whether it has fallen quiet: nothing more is sent on it, and it stays open.
    pub quiet: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    /// How long each search takes (milliseconds).
    pub search_ms: Arc<AtomicU64>,
}

impl Directory {
    /// Starts a directory with the tenant of each portal.
    pub fn start(tenants: HashMap<String, &'static str>) -> Directory {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let directory = Directory { port, quiet: Arc::default(), search_ms: Arc::default() };
        let served = directory.clone();
        thread::spawn(move || {
            let tenants = Arc::new(tenants);
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let quiet = Arc::new(AtomicBool::new(false));
                served.quiet.lock().unwrap().push(quiet.clone());
                let (tenants, search_ms) = (tenants.clone(), served.search_ms.clone());
                thread::spawn(move || serve(stream, &tenants, &quiet, &search_ms));
            }
        });
        directory
    }

    /// Asks the directory as a client of its own; whether it answers within a second.
    pub fn answers(&self) -> bool {
        let ask = || -> Option<u8> {
            let mut stream = TcpStream::connect(("127.0.0.1", self.port)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let bind = element(BIND_REQUEST, &[0x02, 0x01, 0x03, 0x04, 0x00, 0x80, 0x00]);
            stream.write_all(&message(&[1], &bind)).ok()?;
            let (_, content) = read_element(&mut stream)?;
            content.get(3).copied()
        };
        ask() == Some(BIND_RESPONSE)
    }
}

/// The directory's block of an operator's file, with the values of `deploy/ajp.toml` but these.
pub fn block(port: u16, cache_s: u32) -> String {
    format!(
        "[directory]\naddress = \"127.0.0.1:{port}\"\nbind_dn = \"cn=honeypost\"\nbind_password = \"secret\"\n\
         base = \"dc=example\"\nidentity = \"remote-user\"\nidentity_attribute = \"uid\"\ntenant_attribute = \"o\"\n\
         timeout_ms = 500\ncache_s = {cache_s}\ncache_entries = 1024\n"
    )
}

/// Reads one BER element: its tag and content.
fn read_element(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 2];
    stream.read_exact(&mut head).ok()?;
    let mut length = usize::from(head[1]);
    if length >= 0x80 {
        let mut bytes = vec![0; length & 0x7f];
        stream.read_exact(&mut bytes).ok()?;
        length = bytes.iter().fold(0, |length, byte| length << 8 | usize::from(*byte));
    }
    let mut content = vec![0; length];
    stream.read_exact(&mut content).ok()?;
    Some((head[0], content))
}

fn element(tag: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    match content.len() {
        length @ 0..=0x7f => bytes.push(length as u8),
        length => bytes.extend([0x82, (length >> 8) as u8, length as u8]),
    }
    bytes.extend_from_slice(content);
    bytes
}

/// A message with this operation; `id` is the encoded id of the request.
fn message(id: &[u8], operation: &[u8]) -> Vec<u8> {
    element(0x30, &[&element(0x02, id)[..], operation].concat())
}

fn result(tag: u8) -> Vec<u8> {
    element(tag, &[0x0a, 0x01, 0x00, 0x04, 0x00, 0x04, 0x00])
}

fn serve(mut stream: TcpStream, tenants: &HashMap<String, &'static str>, quiet: &AtomicBool, search_ms: &AtomicU64) {
    while let Some((_, content)) = read_element(&mut stream) {
        let mut rest = &content[..];
        let (Some((_, id)), Some((operation, request))) = (read_element(&mut rest), read_element(&mut rest)) else {
            return;
        };
        let mut answer = Vec::new();
        match operation {
            BIND_REQUEST => answer = message(&id, &result(BIND_RESPONSE)),
            SEARCH_REQUEST => {
                thread::sleep(Duration::from_millis(search_ms.load(Ordering::Relaxed)));
                let text = String::from_utf8_lossy(&request).into_owned();
                let portal = tenants.keys().filter(|portal| text.contains(portal.as_str())).max_by_key(|p| p.len());
                if let Some(portal) = portal {
                    let values = element(0x31, &element(0x04, tenants[portal].as_bytes()));
                    let attribute = element(0x30, &[element(0x04, b"o"), values].concat());
                    let name = element(0x04, format!("uid={portal},dc=example").as_bytes());
                    let entry = element(SEARCH_ENTRY, &[name, element(0x30, &attribute)].concat());
                    answer.extend(message(&id, &entry));
                }
                answer.extend(message(&id, &result(SEARCH_DONE)));
            }
            _ => return,
        }
        if !quiet.load(Ordering::Relaxed) && stream.write_all(&answer).is_err() {
            return;
        }
    }
}
