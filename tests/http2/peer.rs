//! An HTTP/2 client that writes arbitrary frames, valid or not.

use std::io::{Read, Write};
use std::net::TcpStream;
use test_support::{unique_request_id, unix_ms, WorkerUnderTest, TIMEOUT};

pub const FRONTEND: &str = "[http2]\nlisten = \"127.0.0.1:0\"\n";
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Frame types, flags and error codes of RFC 9113, sections 6 and 7.
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;
pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;
pub const NO_ERROR: u32 = 0;
pub const PROTOCOL_ERROR: u32 = 1;
pub const REFUSED_STREAM: u32 = 7;
pub const CANCEL: u32 = 8;
pub const ENHANCE_YOUR_CALM: u32 = 11;

#[derive(Clone, Debug)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
    /// The decoded header block of a HEADERS frame. Blocks must be decoded in the order in which they are received,
    /// since they share the HPACK dynamic table.
    pub headers: Vec<(String, String)>,
}

impl Frame {
    /// The big-endian number at this offset of the payload, such as an error code.
    pub fn code(&self, offset: usize) -> u32 {
        u32::from_be_bytes(self.payload[offset..offset + 4].try_into().unwrap())
    }
}

#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The error code with which the stream was reset.
    pub reset: Option<u32>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

pub struct Peer {
    pub stream: TcpStream,
    pub decoder: hpack::Decoder<'static>,
    /// Frames that were read while waiting for another one.
    pub unmatched: Vec<Frame>,
    pub ack_pings: bool,
}

pub fn pair(name: &str, value: &str) -> (String, String) {
    (name.to_owned(), value.to_owned())
}

impl Peer {
    /// Connects without sending anything.
    pub fn silent(worker: &WorkerUnderTest) -> Peer {
        let stream = TcpStream::connect(worker.http2.unwrap()).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer { stream, decoder: hpack::Decoder::new(), unmatched: Vec::new(), ack_pings: true }
    }

    /// Connects and sends the preface with these settings (identifier, value).
    pub fn connect(worker: &WorkerUnderTest, settings: &[(u16, u32)]) -> Peer {
        let mut peer = Peer::silent(worker);
        peer.write_raw(PREFACE);
        let payload: Vec<u8> = settings
            .iter()
            .flat_map(|(id, v)| [&id.to_be_bytes()[..], &v.to_be_bytes()[..]].concat())
            .collect();
        peer.frame(SETTINGS, 0, 0, &payload);
        peer
    }

    pub fn frame_bytes(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let length = &(payload.len() as u32).to_be_bytes()[1..];
        [length, &[kind, flags], &stream.to_be_bytes(), payload].concat()
    }

    pub fn write_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        // After a GOAWAY the connection may be closed; the test notices that when it reads.
        let _ = self.stream.write_all(&Peer::frame_bytes(kind, flags, stream, payload));
    }

    /// Encodes a header block of literals without indexing and without Huffman coding (RFC 7541, 6.2.2).
    pub fn header_block(list: &[(String, String)]) -> Vec<u8> {
        let mut block = Vec::new();
        for (name, value) in list {
            assert!(name.len() < 127 && value.len() < 127);
            block.push(0);
            block.push(name.len() as u8);
            block.extend(name.bytes());
            block.push(value.len() as u8);
            block.extend(value.bytes());
        }
        block
    }

    /// The header fields of a request.
    pub fn request_headers(class: &str, key: Option<&str>) -> Vec<(String, String)> {
        let mut head = vec![
            pair(":method", "POST"),
            pair(":scheme", "http"),
            pair(":authority", "service.internal"),
            pair(":path", &format!("/do/{class}")),
            pair("x-correlation-id", &unique_request_id()),
            pair("x-arrived-ms", &unix_ms().to_string()),
            pair("x-org", "acme"),
            pair("x-deadline-ms", "8000"),
        ];
        head.extend(key.map(|k| pair("x-operation-key", k)));
        head
    }

    pub fn send_request(&mut self, stream: u32, class: &str, key: Option<&str>, body: &str) {
        let block = Peer::header_block(&Peer::request_headers(class, key));
        self.frame(HEADERS, END_HEADERS, stream, &block);
        self.frame(DATA, END_STREAM, stream, body.as_bytes());
    }

    pub fn reset(&mut self, stream: u32) {
        self.frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes());
    }

    /// Sends `WINDOW_UPDATE`.
    pub fn update_window(&mut self, stream: u32, increment: u32) {
        self.frame(WINDOW_UPDATE, 0, stream, &increment.to_be_bytes());
    }

    /// Reads the next frame; `None` at the end of the connection. Acknowledges settings, and pings unless `ack_pings`
    /// is false.
    pub fn read(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        self.stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.stream.read_exact(&mut payload).ok()?;
        let stream = u32::from_be_bytes(head[5..9].try_into().unwrap());
        let mut frame = Frame { kind: head[3], flags: head[4], stream, payload, headers: Vec::new() };
        if frame.kind == HEADERS {
            let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
            let list = self.decoder.decode(&frame.payload).unwrap();
            frame.headers = list.into_iter().map(|(n, v)| (text(n), text(v))).collect();
        }
        if frame.kind == SETTINGS && frame.flags & ACK == 0 {
            self.frame(SETTINGS, ACK, 0, &[]);
        }
        if frame.kind == PING && frame.flags & ACK == 0 && self.ack_pings {
            let payload = frame.payload.clone();
            self.frame(PING, ACK, 0, &payload);
        }
        Some(frame)
    }

    /// Returns the first frame that matches, read before or still to come.
    pub fn next(&mut self, expected: &str, matches: impl Fn(&Frame) -> bool) -> Frame {
        if let Some(at) = self.unmatched.iter().position(&matches) {
            return self.unmatched.remove(at);
        }
        loop {
            let frame = self.read().unwrap_or_else(|| {
                panic!("connection closed before {expected}; frames read: {:?}", self.unmatched)
            });
            if matches(&frame) {
                return frame;
            }
            self.unmatched.push(frame);
        }
    }

    /// Reads the complete response on a stream, or its reset.
    pub fn read_response(&mut self, stream: u32) -> Reply {
        let mut reply = Reply::default();
        loop {
            let frame = self
                .next("a response", |f| f.stream == stream && matches!(f.kind, DATA | HEADERS | RST_STREAM));
            match frame.kind {
                HEADERS => {
                    for (name, value) in frame.headers {
                        if name == ":status" {
                            reply.status = value.parse().unwrap();
                        }
                        reply.headers.push((name, value));
                    }
                }
                DATA => reply.body.extend(&frame.payload),
                _ => {
                    reply.reset = Some(frame.code(0));
                    return reply;
                }
            }
            if frame.flags & END_STREAM != 0 {
                return reply;
            }
        }
    }

    /// Waits for GOAWAY and returns its last stream and error code.
    pub fn read_goaway(&mut self) -> (u32, u32) {
        let frame = self.next("GOAWAY", |f| f.kind == GOAWAY);
        (frame.code(0) & 0x7fff_ffff, frame.code(4))
    }

    /// Reads and keeps all frames until the connection ends or a read fails, also by timeout, and then returns `true`.
    pub fn is_closed(&mut self) -> bool {
        while let Some(frame) = self.read() {
            self.unmatched.push(frame);
        }
        true
    }
}
