//! A caller over HTTP/1.1.

use crate::network::with_timeouts;
use crate::RequestBuilder;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response as it was read.
#[derive(Debug)]
pub struct Reply {
    /// The status code; 0 where the message is a request.
    pub status: u16,
    /// The header lines, without the first line.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The value of a header, whatever the case of its name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|l| {
            l.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
        })
    }
}

/// One connection of a caller. The records service reads the worker's calls with it too.
#[derive(Debug)]
pub struct Client {
    /// The connection.
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a frontend.
    ///
    /// # Panics
    /// Nobody listens there.
    #[must_use]
    pub fn connect(to: SocketAddr) -> Client {
        Client::from_stream(with_timeouts(TcpStream::connect(to).unwrap()))
    }

    /// A client on a connection that is there.
    #[must_use]
    pub fn from_stream(stream: TcpStream) -> Client {
        Client { reader: BufReader::new(stream) }
    }

    /// Writes text as it is.
    ///
    /// # Panics
    /// The connection is broken.
    pub fn write(&mut self, text: &str) {
        self.reader.get_ref().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request and does not wait for its response.
    ///
    /// # Panics
    /// The connection is broken.
    pub fn send(&mut self, request: &RequestBuilder) {
        self.write(&request.text());
    }

    /// Reads one message: its first line, the rest of its head, its body.
    ///
    /// # Panics
    /// No complete message comes.
    pub fn read_message(&mut self) -> (String, String, Vec<u8>) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.reader.read_line(&mut head).expect("a message") > 0, "closed after {head:?}");
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
    /// No complete response comes.
    pub fn read_response(&mut self) -> Reply {
        let (first, head, body) = self.read_message();
        Reply { status: first.split(' ').nth(1).unwrap().parse().unwrap(), head, body }
    }

    /// Sends a request and reads its response.
    ///
    /// # Panics
    /// The connection is broken, or no complete response comes.
    pub fn request(&mut self, request: &RequestBuilder) -> Reply {
        self.send(request);
        self.read_response()
    }

    /// Reads a response if one is there, without a wait; whether there was one.
    ///
    /// # Panics
    /// The response is not complete.
    pub fn try_read_response(&mut self) -> bool {
        self.reader.get_ref().set_nonblocking(true).unwrap();
        let there = matches!(self.reader.fill_buf(), Ok(bytes) if !bytes.is_empty());
        self.reader.get_ref().set_nonblocking(false).unwrap();
        if there {
            self.read_response();
        }
        there
    }

    /// Whether the peer closes the connection without another byte.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 16]), Ok(0) | Err(_))
    }

    /// The status of a health check.
    ///
    /// # Panics
    /// The connection is broken, or no complete response comes.
    pub fn check_health(&mut self) -> u16 {
        self.write("GET /check HTTP/1.1\r\n\r\n");
        self.read_response().status
    }

    /// Resets the connection.
    ///
    /// # Panics
    /// The system refuses it.
    pub fn reset(self) {
        let stream = self.reader.into_inner();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
