//! An LDAP directory with one entry for every identity, whose tenant can be changed.

use crate::world::{lock, World};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Tags of operations (RFC 4511).
const BIND_REQUEST: u8 = 0x60;
const SEARCH_REQUEST: u8 = 0x63;
const BIND_RESPONSE: u8 = 0x61;
const SEARCH_ENTRY: u8 = 0x64;
const SEARCH_DONE: u8 = 0x65;
/// Tag of an equality match in a filter.
const EQUALITY: u8 = 0xA3;
const SEQUENCE: u8 = 0x30;
const SET: u8 = 0x31;
const TEXT: u8 = 0x04;
const INTEGER: u8 = 0x02;

#[derive(Clone)]
pub struct Directory {
    pub address: SocketAddr,
    tenant: Arc<Mutex<String>>,
}

impl Directory {
    /// A directory that names this tenant.
    pub fn start(world: &World, tenant: &str) -> Result<Directory, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let directory = Directory { address, tenant: Arc::new(Mutex::new(tenant.to_owned())) };
        let (accepting, world) = (directory.clone(), world.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (directory, world) = (accepting.clone(), world.clone());
                thread::spawn(move || directory.serve(stream, &world));
            }
        });
        Ok(directory)
    }

    /// Names another tenant from now on.
    pub fn set_tenant(&self, tenant: &str) {
        *lock(&self.tenant) = tenant.to_owned();
    }

    fn serve(&self, mut stream: TcpStream, world: &World) -> Option<()> {
        let mut bytes = Vec::new();
        loop {
            while let Some((SEQUENCE, message, rest)) = element(&bytes) {
                let (_, id, operation) = element(message)?;
                let (tag, content, _) = element(operation)?;
                let answer = match tag {
                    BIND_REQUEST => reply(id, BIND_RESPONSE),
                    SEARCH_REQUEST => {
                        let identity = identity_of(content)?;
                        let tenant = lock(&self.tenant).clone();
                        world.note(&format!("directory: search for {identity}, answered with tenant {tenant}"));
                        [entry(id, &identity, &tenant), reply(id, SEARCH_DONE)].concat()
                    }
                    _ => return None,
                };
                stream.write_all(&answer).ok()?;
                let rest = rest.to_vec();
                bytes = rest;
            }
            let mut buffer = [0; 4096];
            let read = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            bytes.extend_from_slice(&buffer[..read]);
        }
    }
}

/// The value of the search's equality filter.
fn identity_of(mut search: &[u8]) -> Option<String> {
    loop {
        let (tag, content, rest) = element(search)?;
        if tag == EQUALITY {
            let (_, _, value) = element(content)?;
            return String::from_utf8(element(value)?.1.to_vec()).ok();
        }
        search = rest;
    }
}

/// The first element of BER data: tag, content, and the data after it; `None` while it is incomplete.
fn element(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (tag, first) = (*bytes.first()?, usize::from(*bytes.get(1)?));
    let (length, start) = if first < 0x80 {
        (first, 2)
    } else {
        let digits = bytes.get(2..2 + (first & 0x7F))?;
        (digits.iter().fold(0, |n, digit| n << 8 | usize::from(*digit)), 2 + digits.len())
    };
    Some((tag, bytes.get(start..start + length)?, &bytes[start + length..]))
}

fn build(tag: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag, 0x82];
    bytes.extend_from_slice(&(content.len() as u16).to_be_bytes());
    bytes.extend_from_slice(content);
    bytes
}

fn message(id: &[u8], operation: &[u8]) -> Vec<u8> {
    build(SEQUENCE, &[build(INTEGER, id), operation.to_vec()].concat())
}

/// A result with the code for success.
fn reply(id: &[u8], tag: u8) -> Vec<u8> {
    message(id, &build(tag, &[0x0A, 1, 0, TEXT, 0, TEXT, 0]))
}

fn entry(id: &[u8], identity: &str, tenant: &str) -> Vec<u8> {
    let values = build(SET, &build(TEXT, tenant.as_bytes()));
    let attribute = build(SEQUENCE, &[build(TEXT, b"o"), values].concat());
    let name = build(TEXT, format!("uid={identity},ou=portals").as_bytes());
    message(id, &build(SEARCH_ENTRY, &[name, build(SEQUENCE, &attribute)].concat()))
}
