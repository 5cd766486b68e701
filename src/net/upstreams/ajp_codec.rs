//! AJP/1.3 messages, both ways, for the front and for the backend. Reads from byte slices and writes to byte
//! vectors; knows no connection.
//!
//! A packet is a magic, a length of two bytes and that many bytes, 8 KiB in all at most. What a web server sends is
//! marked `12 34`, what a container sends `AB`.

use std::ops::Range;

/// The largest packet, and the most that it carries beside its head.
pub const MAX_PACKET_BYTES: usize = 8 * 1024;
pub const MAX_PAYLOAD_BYTES: usize = MAX_PACKET_BYTES - 4;
/// Body bytes in one packet towards a container: after the packet's head and their own length.
pub const MAX_BODY_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 2;
/// Body bytes in one message towards a web server: code, length, and a zero behind them.
pub const MAX_RESPONSE_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 4;

/// Which way a packet goes, told by its magic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    ToContainer,
    ToWebServer,
}

impl Way {
    fn magic(self) -> [u8; 2] {
        match self {
            Way::ToContainer => [0x12, 0x34],
            Way::ToWebServer => *b"AB",
        }
    }
}

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    Magic,
    Length,
    Message,
}

/// Finds the first packet; its payload lies in the range. `None` while it is not whole.
pub fn packet(data: &[u8], way: Way) -> Result<Option<Range<usize>>, Bad> {
    let magic = way.magic();
    if data.iter().zip(&magic).any(|(a, b)| a != b) {
        return Err(Bad::Magic);
    }
    let Some(length) = data.get(2..4) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    if length > MAX_PAYLOAD_BYTES {
        return Err(Bad::Length);
    }
    Ok((data.len() >= 4 + length).then_some(4..4 + length))
}

/// Reads numbers and strings off a payload; past its end everything is bad.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Bad> {
        if n > self.0.len() {
            return Err(Bad::Message);
        }
        let (taken, rest) = self.0.split_at(n);
        self.0 = rest;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, Bad> {
        Ok(self.bytes(1)?[0])
    }

    fn int(&mut self) -> Result<u16, Bad> {
        let b = self.bytes(2)?;
        Ok(u16::from_be_bytes([b[0], b[1]]))
    }

    /// A string with its length before it and a zero behind it; the length FFFF stands for none at all.
    fn string(&mut self) -> Result<Option<&'a [u8]>, Bad> {
        let length = self.int()?;
        if length == 0xFFFF {
            return Ok(None);
        }
        let text = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(Bad::Message);
        }
        Ok(Some(text))
    }

    fn text(&mut self) -> Result<&'a str, Bad> {
        std::str::from_utf8(self.string()?.unwrap_or(b"")).map_err(|_| Bad::Message)
    }

    /// A header's name: a string, or a code in its place.
    fn name(&mut self, coded: &[&'static str]) -> Result<&'a str, Bad> {
        match self.0 {
            [0xA0, code, ..] => {
                let name = usize::from(*code).checked_sub(1).and_then(|i| coded.get(i));
                self.bytes(2)?;
                name.copied().ok_or(Bad::Message)
            }
            _ => self.text(),
        }
    }
}

const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

const REPLY_HEADERS: [&str; 11] = [
    "Content-Type",
    "Content-Language",
    "Content-Length",
    "Date",
    "Last-Modified",
    "Location",
    "Set-Cookie",
    "Set-Cookie2",
    "Servlet-Engine",
    "Status",
    "WWW-Authenticate",
];

const METHODS: [&str; 27] = [
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE-CONTROL",
    "MKACTIVITY",
];
const STORED_METHOD: u8 = 0xFF;

const REMOTE_USER: u8 = 0x03;
const REQUEST_ATTRIBUTE: u8 = 0x0A;
const SSL_KEY_SIZE: u8 = 0x0B;
const SECRET: u8 = 0x0C;
const METHOD: u8 = 0x0D;
const DONE: u8 = 0xFF;

/// A Forward Request. Its strings lie in the payload that it was read from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forward<'a> {
    pub method: &'a str,
    pub uri: &'a str,
    pub server_name: &'a str,
    pub headers: Vec<(&'a str, &'a [u8])>,
    pub remote_user: Option<&'a str>,
    pub secret: Option<&'a [u8]>,
}

/// What a web server sends. A body comes in packets without a code, see [`body`].
#[derive(Clone, Debug, PartialEq)]
pub enum ToContainer<'a> {
    Forward(Box<Forward<'a>>),
    Shutdown,
    Ping,
    CPing,
}

/// Reads a message to a container.
pub fn to_container(payload: &[u8]) -> Result<ToContainer<'_>, Bad> {
    let mut r = Reader(payload);
    match r.byte()? {
        2 => forward(r).map(|f| ToContainer::Forward(Box::new(f))),
        7 => Ok(ToContainer::Shutdown),
        8 => Ok(ToContainer::Ping),
        10 => Ok(ToContainer::CPing),
        _ => Err(Bad::Message),
    }
}

fn forward<'a>(mut r: Reader<'a>) -> Result<Forward<'a>, Bad> {
    let method = r.byte()?;
    let mut f = Forward { method: "", ..Forward::default() };
    r.text()?; // The protocol.
    f.uri = r.text()?;
    r.string()?; // The remote address, and its name.
    r.string()?;
    f.server_name = r.text()?;
    r.int()?; // The server's port, and whether TLS was used.
    r.byte()?;
    for _ in 0..r.int()? {
        let name = r.name(&REQUEST_HEADERS)?;
        f.headers.push((name, r.string()?.unwrap_or(b"")));
    }
    let mut stored = None;
    loop {
        match r.byte()? {
            DONE => break,
            REMOTE_USER => f.remote_user = Some(r.text()?),
            SECRET => f.secret = r.string()?,
            METHOD => stored = Some(r.text()?),
            REQUEST_ATTRIBUTE => {
                r.string()?;
                r.string()?;
            }
            SSL_KEY_SIZE => {
                r.int()?;
            }
            1..=9 => {
                r.string()?;
            }
            _ => return Err(Bad::Message),
        }
    }
    f.method = match method {
        STORED_METHOD => stored.ok_or(Bad::Message)?,
        n => usize::from(n).checked_sub(1).and_then(|i| METHODS.get(i)).copied().ok_or(Bad::Message)?,
    };
    Ok(f)
}

/// Reads a body packet: empty at the end of the body.
pub fn body(payload: &[u8]) -> Result<&[u8], Bad> {
    if payload.is_empty() {
        return Ok(payload);
    }
    let mut r = Reader(payload);
    let length = r.int()?;
    r.bytes(usize::from(length))
}

/// What a container sends.
#[derive(Clone, Debug, PartialEq)]
pub enum ToWebServer<'a> {
    Headers { status: u16, headers: Vec<(&'a str, &'a [u8])> },
    Chunk(&'a [u8]),
    End { reuse: bool },
    GetBody(u16),
    CPong,
}

/// Reads a message to a web server.
pub fn to_web_server(payload: &[u8]) -> Result<ToWebServer<'_>, Bad> {
    let mut r = Reader(payload);
    Ok(match r.byte()? {
        3 => {
            let length = r.int()?;
            ToWebServer::Chunk(r.bytes(usize::from(length))?)
        }
        4 => {
            let status = r.int()?;
            r.string()?;
            let mut headers = Vec::new();
            for _ in 0..r.int()? {
                let name = r.name(&REPLY_HEADERS)?;
                headers.push((name, r.string()?.unwrap_or(b"")));
            }
            ToWebServer::Headers { status, headers }
        }
        5 => ToWebServer::End { reuse: r.byte()? != 0 },
        6 => ToWebServer::GetBody(r.int()?),
        9 => ToWebServer::CPong,
        _ => return Err(Bad::Message),
    })
}

/// Writes one packet: its length is set when it is closed.
struct Writer(Vec<u8>);

impl Writer {
    fn new(way: Way) -> Writer {
        let [a, b] = way.magic();
        Writer(vec![a, b, 0, 0])
    }

    fn byte(mut self, n: u8) -> Writer {
        self.0.push(n);
        self
    }

    fn int(mut self, n: u16) -> Writer {
        self.0.extend_from_slice(&n.to_be_bytes());
        self
    }

    fn string(self, text: &[u8]) -> Writer {
        let text = &text[..text.len().min(MAX_PAYLOAD_BYTES)];
        let mut w = self.int(text.len() as u16);
        w.0.extend_from_slice(text);
        w.byte(0)
    }

    fn name(self, name: &str, coded: &[&str]) -> Writer {
        match coded.iter().position(|c| c.eq_ignore_ascii_case(name)) {
            Some(i) => self.byte(0xA0).byte(i as u8 + 1),
            None => self.string(name.as_bytes()),
        }
    }

    /// `None` where the message is larger than a packet.
    fn close(mut self) -> Option<Vec<u8>> {
        let length = u16::try_from(self.0.len() - 4).ok().filter(|n| usize::from(*n) <= MAX_PAYLOAD_BYTES)?;
        self.0[2..4].copy_from_slice(&length.to_be_bytes());
        Some(self.0)
    }
}

/// Writes a Forward Request; `None` where it does not fit into a packet or its method has no code.
pub fn write_forward(f: &Forward) -> Option<Vec<u8>> {
    let method = METHODS.iter().position(|m| *m == f.method)? as u8 + 1;
    let mut w =
        Writer::new(Way::ToContainer).byte(2).byte(method).string(b"HTTP/1.1").string(f.uri.as_bytes());
    w = w.string(b"127.0.0.1").string(b"localhost").string(f.server_name.as_bytes()).int(80).byte(0);
    w = w.int(u16::try_from(f.headers.len()).ok()?);
    for (name, value) in &f.headers {
        w = w.name(name, &REQUEST_HEADERS).string(value);
    }
    if let Some(user) = f.remote_user {
        w = w.byte(REMOTE_USER).string(user.as_bytes());
    }
    if let Some(secret) = f.secret {
        w = w.byte(SECRET).string(secret);
    }
    w.byte(DONE).close()
}

/// Writes a packet of body bytes; none at all end the body.
pub fn write_body(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut w = Writer::new(Way::ToContainer);
    if !bytes.is_empty() {
        w = w.int(u16::try_from(bytes.len()).ok()?);
        w.0.extend_from_slice(bytes);
    }
    w.close()
}

/// A packet that is nothing but a code.
fn code(way: Way, n: u8) -> Vec<u8> {
    let [a, b] = way.magic();
    vec![a, b, 0, 1, n]
}

pub fn write_cping() -> Vec<u8> {
    code(Way::ToContainer, 10)
}

pub fn write_cpong() -> Vec<u8> {
    code(Way::ToWebServer, 9)
}

pub fn write_get_body(length: u16) -> Vec<u8> {
    let [a, b] = length.to_be_bytes();
    vec![b'A', b'B', 0, 3, 6, a, b]
}

pub fn write_end(reuse: bool) -> Vec<u8> {
    vec![b'A', b'B', 0, 2, 5, u8::from(reuse)]
}

/// Writes the head of an answer; `None` where it does not fit into a packet.
pub fn write_headers(status: u16, reason: &str, headers: &[(&str, String)]) -> Option<Vec<u8>> {
    let mut w = Writer::new(Way::ToWebServer).byte(4).int(status).string(reason.as_bytes());
    w = w.int(u16::try_from(headers.len()).ok()?);
    for (name, value) in headers {
        w = w.name(name, &REPLY_HEADERS).string(value.as_bytes());
    }
    w.close()
}

/// The head of a body chunk of an answer; the bytes follow it, and a zero follows them.
pub fn chunk_head(length: usize) -> Vec<u8> {
    let length = length.min(MAX_RESPONSE_CHUNK_BYTES);
    let [a, b] = (length as u16 + 4).to_be_bytes();
    let [c, d] = (length as u16).to_be_bytes();
    vec![b'A', b'B', a, b, 3, c, d]
}

#[cfg(test)]
mod tests;
