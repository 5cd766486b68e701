//! HTTP/1.1 messages.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// The maximum number of bytes that are read of a body.
const MAX_BODY_BYTES: usize = 1 << 16;

/// Reads one message's head and body; `None` if the connection ends before a whole message.
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

/// The value of a header; its name is case-insensitive.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|l| l.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()))
}
