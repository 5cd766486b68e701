//! Clients that misuse HTTP/2 while an experiment runs: frames without end that ask for nothing, or connections that say
//! nothing. Each floods for the length of the play, on so many connections, and opens a new one for each that is closed.

use serde::Deserialize;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Before a closed connection is opened anew.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// How long a flooder waits for room to write before it looks whether the play is over.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// An indexed field (RFC 7541, section 6.1): the first entry of the connection's own table.
const FIRST_OWN_ENTRY: u8 = 0x80 + 62;
/// Bytes that are written at a time.
const PIECE: usize = 16 * 1024;
/// Bytes that are read at a time.
const READ_BYTES: usize = 64 * 1024;
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Frame types of RFC 9113, section 6; PRIORITY is that of RFC 7540.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// What is sent without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flood {
    /// Streams that are opened and reset.
    Resets,
    /// SETTINGS frames.
    Settings,
    /// PING frames.
    Pings,
    /// Pings whose answers are never read.
    UnreadPings,
    /// DATA without a byte, on one stream that never ends.
    EmptyData,
    /// PRIORITY frames.
    Priorities,
    /// `WINDOW_UPDATE` frames.
    WindowUpdates,
    /// One header block that never ends.
    Continuations,
    /// Header blocks of 16 KB that unpack to 60 MB (RFC 7541, section 7.3).
    HeaderBombs,
    /// Header lists of 1 MB.
    LongHeaders,
    /// Checks whose answers the windows never let out.
    ShutWindows,
    /// Connections that say nothing, or the preface alone.
    Silence,
}

/// What a flood came to.
#[derive(Clone, Debug, Default)]
pub struct Flooded {
    /// Connections that were opened.
    pub connections: u64,
    /// Bytes that were written.
    pub bytes: u64,
    /// Connections that the worker ended.
    pub ended: u64,
}

/// Floods an address until the play is over.
pub fn start(
    flood: Flood,
    connections: usize,
    to: SocketAddr,
    over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<Flooded>> {
    let one = |number: usize| {
        let over = over.clone();
        let body = move || {
            let mut came_to = Flooded::default();
            while !over.load(Ordering::Relaxed) {
                if let Ok(stream) = TcpStream::connect(to) {
                    came_to.connections += 1;
                    let ended = Flooder {
                        stream,
                        over: &over,
                        bytes: &mut came_to.bytes,
                        unread: vec![0; READ_BYTES],
                    }
                    .run(flood, number);
                    came_to.ended += u64::from(ended.is_err());
                }
                thread::sleep(RECONNECT_PAUSE);
            }
            came_to
        };
        thread::Builder::new().stack_size(256 * 1024).spawn(body)
    };
    (0..connections).filter_map(|number| one(number).ok()).collect()
}

struct Flooder<'a> {
    stream: TcpStream,
    over: &'a AtomicBool,
    bytes: &'a mut u64,
    /// Where what the worker sends goes.
    unread: Vec<u8>,
}

impl Flooder<'_> {
    /// `Ok` when the play is over, an error when the worker has closed the connection.
    fn run(&mut self, flood: Flood, number: usize) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        self.stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        if flood == Flood::Silence {
            if number % 2 == 0 {
                self.write(&hello(0xffff))?;
            }
            loop {
                self.read_once()?;
                if self.over.load(Ordering::Relaxed) {
                    return Ok(());
                }
            }
        }
        self.write(&hello(if flood == Flood::ShutWindows { 0 } else { 0xffff }))?;
        self.write(&prelude(flood))?;
        self.stream.set_read_timeout(Some(Duration::from_micros(1)))?;
        for piece in 0.. {
            if self.over.load(Ordering::Relaxed) {
                return Ok(());
            }
            self.write(&frames(flood, piece))?;
            if flood != Flood::UnreadPings {
                self.read_once()?;
            }
        }
        Ok(())
    }

    fn write(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() && !self.over.load(Ordering::Relaxed) {
            match self.stream.write(bytes) {
                Ok(n) => {
                    *self.bytes += n as u64;
                    bytes = &bytes[n..];
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Drops what the worker has sent.
    fn read_once(&mut self) -> std::io::Result<()> {
        match self.stream.read(&mut self.unread) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(()),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// The preface, and settings with this window for streams.
fn hello(window: u32) -> Vec<u8> {
    let settings = [&4u16.to_be_bytes()[..], &window.to_be_bytes()].concat();
    [PREFACE, &frame(SETTINGS, 0, 0, &settings)].concat()
}

/// A literal field (RFC 7541, section 6.2), entered in the table or not.
fn literal(name: &str, value: &str, index: bool) -> Vec<u8> {
    let mut out = vec![if index { 0x40 } else { 0 }];
    for text in [name, value] {
        // An integer with a prefix of seven bits (section 5.1).
        if text.len() < 127 {
            out.push(text.len() as u8);
        } else {
            let mut rest = text.len() - 127;
            out.push(127);
            while rest >= 128 {
                out.push((rest % 128 + 128) as u8);
                rest /= 128;
            }
            out.push(rest as u8);
        }
        out.extend(text.bytes());
    }
    out
}

fn head(method: &str, path: &str) -> Vec<u8> {
    let pairs = [(":method", method), (":scheme", "http"), (":authority", "lab"), (":path", path)];
    pairs.iter().flat_map(|(name, value)| literal(name, value, false)).collect()
}

/// What comes once, before the flood.
fn prelude(flood: Flood) -> Vec<u8> {
    match flood {
        Flood::EmptyData => frame(HEADERS, END_HEADERS, 1, &head("POST", "/do/nonsense")),
        Flood::Continuations => frame(HEADERS, 0, 1, &head("POST", "/do/nonsense")),
        Flood::HeaderBombs => {
            let block = [head("GET", "/check"), literal("x-bomb", &"b".repeat(3900), true)].concat();
            frame(HEADERS, END_HEADERS | END_STREAM, 1, &block)
        }
        _ => Vec::new(),
    }
}

/// The flood's next piece.
fn frames(flood: Flood, piece: u32) -> Vec<u8> {
    let one = |n: u32| match flood {
        Flood::Resets => {
            let block = head("POST", "/do/nonsense");
            let cancel = 8u32.to_be_bytes();
            [frame(HEADERS, END_HEADERS, 2 * n + 1, &block), frame(RST_STREAM, 0, 2 * n + 1, &cancel)]
                .concat()
        }
        Flood::Settings => frame(SETTINGS, 0, 0, &[0, 3, 0, 0, 0, 100]),
        Flood::Pings | Flood::UnreadPings => frame(PING, 0, 0, &u64::from(n).to_be_bytes()),
        Flood::EmptyData => frame(DATA, 0, 1, &[]),
        Flood::Priorities => frame(PRIORITY, 0, 2 * n + 1, &[0, 0, 0, 0, 15]),
        Flood::WindowUpdates => frame(WINDOW_UPDATE, 0, 0, &1u32.to_be_bytes()),
        Flood::Continuations => frame(CONTINUATION, 0, 1, &literal("x-more", "y", false)),
        Flood::HeaderBombs => {
            // The table's first own entry, over and over.
            let block = [head("GET", "/check"), vec![FIRST_OWN_ENTRY; PIECE - 100]].concat();
            frame(HEADERS, END_HEADERS | END_STREAM, 2 * n + 3, &block)
        }
        Flood::LongHeaders => {
            let field = literal("x-long", &"y".repeat(PIECE - 100), false);
            let mut all = frame(HEADERS, 0, 2 * n + 1, &head("GET", "/check"));
            (0..63).for_each(|_| all.extend(frame(CONTINUATION, 0, 2 * n + 1, &field)));
            all.extend(frame(CONTINUATION, END_HEADERS, 2 * n + 1, &field));
            all
        }
        Flood::ShutWindows => frame(HEADERS, END_HEADERS | END_STREAM, 2 * n + 1, &head("GET", "/check")),
        Flood::Silence => Vec::new(),
    };
    let many = match flood {
        Flood::HeaderBombs | Flood::LongHeaders | Flood::Silence => 1,
        _ => (PIECE / one(0).len().max(1)) as u32,
    };
    (0..many).flat_map(|i| one(piece * many + i)).collect()
}

/// The most of a worker's resident memory, looked at often until the play is over (kilobytes).
pub fn watch_memory(
    read: impl Fn() -> f64 + Send + 'static,
    over: &Arc<AtomicBool>,
) -> thread::JoinHandle<f64> {
    let over = over.clone();
    thread::spawn(move || {
        let (mut most, mut looked) = (0f64, Instant::now());
        while !over.load(Ordering::Relaxed) {
            most = most.max(read());
            looked += Duration::from_millis(20);
            thread::sleep(looked.saturating_duration_since(Instant::now()));
        }
        most
    })
}

#[cfg(test)]
mod tests;
