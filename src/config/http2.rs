//! `[http2]` of an operator's file: the HTTP/2 frontend. `docs/operators/http2.md` gives the reasons for the bounds.

use super::ConfigError;
use serde::Deserialize;
use std::fmt::Display;
use std::net::SocketAddr;

/// The HTTP/2 frontend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Http2Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Largest number of connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Largest number of connections that have not sent a request yet.
    #[serde(default = "default_newcomers")]
    pub newcomers: usize,
    /// Largest number of concurrent streams on a connection.
    #[serde(default = "default_streams")]
    pub streams: u32,
    /// The flow-control window of a stream (KiB).
    #[serde(default = "default_stream_window_kb")]
    pub stream_window_kb: u32,
    /// The flow-control window of a connection (KiB).
    #[serde(default = "default_connection_window_kb")]
    pub connection_window_kb: u32,
    /// Largest header list of a request, names and values (KiB).
    #[serde(default = "default_header_list_kb")]
    pub header_list_kb: u32,
    /// Largest part of a response that the HTTP/2 codec buffers per stream (KiB).
    #[serde(default = "default_send_buffer_kb")]
    pub send_buffer_kb: u32,
    /// Largest amount of response data that waits for clients' windows and sockets, on all connections together (KiB).
    #[serde(default = "default_waiting_kb")]
    pub waiting_kb: u32,
    /// Largest amount of memory of open streams and their requests, on all connections together (KiB).
    #[serde(default = "default_open_streams_kb")]
    pub open_streams_kb: u32,
    /// Largest number of streams on a connection that the client has reset before the frontend accepted them (rapid reset).
    /// With more, the connection is closed.
    #[serde(default = "default_pending_resets")]
    pub pending_resets: usize,
    /// Largest number of streams that were reset because of the client's errors, per connection. With more, the connection is
    /// closed.
    #[serde(default = "default_error_resets")]
    pub error_resets: usize,
    /// Idle time after which a connection without streams is closed (seconds).
    #[serde(default = "default_idle_s")]
    pub idle_s: f64,
    /// Interval of PINGs to an idle client (seconds); 0 disables them.
    #[serde(default = "default_ping_s")]
    pub ping_s: f64,
    /// Largest burst of frames that carry no request, such as PING, that a client may send before it is throttled (KiB).
    #[serde(default = "default_overhead_kb")]
    pub overhead_kb: u32,
    /// Largest mean rate of frames that carry no request, beyond that burst (KiB per second).
    #[serde(default = "default_overhead_kb_per_s")]
    pub overhead_kb_per_s: u32,
}

fn default_waiting_kb() -> u32 {
    4096
}

fn default_open_streams_kb() -> u32 {
    8 * 1024
}

fn default_overhead_kb() -> u32 {
    64
}

fn default_overhead_kb_per_s() -> u32 {
    4
}

fn default_connections() -> usize {
    512
}

fn default_newcomers() -> usize {
    32
}

fn default_idle_s() -> f64 {
    30.0
}

fn default_ping_s() -> f64 {
    10.0
}

fn default_streams() -> u32 {
    100
}

fn default_stream_window_kb() -> u32 {
    4
}

fn default_connection_window_kb() -> u32 {
    64
}

fn default_header_list_kb() -> u32 {
    8
}

fn default_send_buffer_kb() -> u32 {
    8
}

fn default_pending_resets() -> usize {
    20
}

fn default_error_resets() -> usize {
    64
}

/// Longest time that can be set (seconds).
const MAX_TIME_S: f64 = 3600.0;

impl Http2Settings {
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        check_range("connections", self.connections as u64, 1, 65_536)?;
        check_range("newcomers", self.newcomers as u64, 1, 65_536)?;
        check_range("streams", u64::from(self.streams), 1, 1000)?;
        check_range("stream_window_kb", u64::from(self.stream_window_kb), 2, 1024)?;
        check_range("connection_window_kb", u64::from(self.connection_window_kb), 64, 16 * 1024)?;
        check_range("header_list_kb", u64::from(self.header_list_kb), 1, 64)?;
        check_range("send_buffer_kb", u64::from(self.send_buffer_kb), 4, 1024)?;
        check_range("pending_resets", self.pending_resets as u64, 1, 10_000)?;
        check_range("error_resets", self.error_resets as u64, 1, 10_000)?;
        check_range("waiting_kb", u64::from(self.waiting_kb), 64, 1024 * 1024)?;
        check_range("open_streams_kb", u64::from(self.open_streams_kb), 1024, 1024 * 1024)?;
        check_range("overhead_kb", u64::from(self.overhead_kb), 16, 16 * 1024)?;
        check_range("overhead_kb_per_s", u64::from(self.overhead_kb_per_s), 1, 1024)?;
        check_range("idle_s", self.idle_s, 1.0, MAX_TIME_S)?;
        check_range("ping_s", self.ping_s, 0.0, MAX_TIME_S)
    }
}

fn check_range<T: Copy + PartialOrd + Display>(
    key: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), ConfigError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange {
        key: format!("http2.{key}"),
        found: value.to_string(),
        min: min.to_string(),
        max: max.to_string(),
    })
}
