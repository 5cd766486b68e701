//! Messages of HTTP/1.1.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Longer bodies are cut off.
const MAX_BODY_BYTES: usize = 1 << 16;

/// Reads one message's head and body; `None` when there is none.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; std::cmp::min(length, MAX_BODY_BYTES)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of a header, whatever the case of its name.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|l| l.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()))
}
