//! An HTTP/1.1 client.

use crate::network::with_timeouts;
use crate::RequestBuilder;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A received response.
#[derive(Debug)]
pub struct Reply {
    /// The status code; 0 if the message is a request.
    pub status: u16,
    /// The header lines, without the request line or status line.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The value of a header; names are compared case-insensitively.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| {
            l.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
        })
    }
}

/// A client connection. [`RecordsPeer`](crate::RecordsPeer) also uses it to read the worker's calls.
#[derive(Debug)]
pub struct Client {
    /// The connection, with buffered reads.
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a frontend.
    ///
    /// # Panics
    /// Panics if nothing listens at the address.
    #[must_use]
    pub fn connect(to: SocketAddr) -> Client {
        Client::from_stream(with_timeouts(TcpStream::connect(to).unwrap()))
    }

    /// Wraps a connected stream.
    #[must_use]
    pub fn from_stream(stream: TcpStream) -> Client {
        Client { reader: BufReader::new(stream) }
    }

    /// Writes the text as it is.
    ///
    /// # Panics
    /// Panics if the connection is broken.
    pub fn write(&mut self, text: &str) {
        self.reader.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request without waiting for its response.
    ///
    /// # Panics
    /// Panics if the connection is broken.
    pub fn send(&mut self, request: &RequestBuilder) {
        self.write(&request.text());
    }

    /// Reads one message and returns its first line, its header lines and its body.
    ///
    /// # Panics
    /// Panics if no complete message arrives.
    pub fn read_message(&mut self) -> (String, String, Vec<u8>) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(
                self.reader.read_line(&mut head).expect("can't read a message") > 0,
                "connection closed after {head:?}"
            );
        }
        let (first, rest) = head.split_once("\r\n").unwrap();
        let reply = Reply { status: 0, head: rest.to_owned(), body: Vec::new() };
        let mut body = vec![0; reply.header("Content-Length").unwrap().parse().unwrap()];
        self.reader.read_exact(&mut body).unwrap();
        (first.to_owned(), reply.head, body)
    }

    /// Reads one response.
    ///
    /// # Panics
    /// Panics if no complete response arrives.
    pub fn read_response(&mut self) -> Reply {
        let (first, head, body) = self.read_message();
        Reply { status: first.split(' ').nth(1).unwrap().parse().unwrap(), head, body }
    }

    /// Sends a request and reads its response.
    ///
    /// # Panics
    /// Panics if the connection is broken or no complete response arrives.
    pub fn request(&mut self, request: &RequestBuilder) -> Reply {
        self.send(request);
        self.read_response()
    }

    /// Reads a response if one has arrived, without waiting for it; returns whether one had arrived.
    ///
    /// # Panics
    /// Panics if the response is incomplete.
    pub fn try_read_response(&mut self) -> bool {
        self.reader.get_ref().set_nonblocking(true).unwrap();
        let available = matches!(self.reader.fill_buf(), Ok(bytes) if !bytes.is_empty());
        self.reader.get_ref().set_nonblocking(false).unwrap();
        if available {
            self.read_response();
        }
        available
    }

    /// Returns whether the connection ends before another byte arrives. A failed read counts as the end, and so does one that
    /// times out.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 16]), Ok(0) | Err(_))
    }

    /// Makes a health check and returns its status.
    ///
    /// # Panics
    /// Panics if the connection is broken or no complete response arrives.
    pub fn check_health(&mut self) -> u16 {
        self.write("GET /check HTTP/1.1\r\n\r\n");
        self.read_response().status
    }

    /// Resets the connection instead of closing it gracefully.
    ///
    /// # Panics
    /// Panics if the socket option can't be set.
    pub fn reset(self) {
        let stream = self.reader.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
