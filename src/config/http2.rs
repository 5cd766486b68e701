//! `[http2]` of an operator's file: the HTTP/2 frontend. `docs/operators/http2.md` gives the reason for each bound.

use super::ConfigError;
use serde::Deserialize;
use std::fmt::Display;
use std::net::SocketAddr;

/// The HTTP/2 frontend.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Http2Settings {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// Most connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Most connections that have not sent a request yet.
    #[serde(default = "default_newcomers")]
    pub newcomers: usize,
    /// Concurrent streams that a client may have on a connection.
    #[serde(default = "default_streams")]
    pub streams: u32,
    /// The flow-control window of a stream (KiB).
    #[serde(default = "default_stream_window_kb")]
    pub stream_window_kb: u32,
    /// The flow-control window of a connection (KiB).
    #[serde(default = "default_connection_window_kb")]
    pub connection_window_kb: u32,
    /// Largest header list of a request: names and values (KiB).
    #[serde(default = "default_header_list_kb")]
    pub header_list_kb: u32,
    /// Largest part of a stream's response that the codec buffers (KiB).
    #[serde(default = "default_send_buffer_kb")]
    pub send_buffer_kb: u32,
    /// Most bytes of responses, of all connections, that wait for clients' windows and sockets (KiB).
    #[serde(default = "default_waiting_kb")]
    pub waiting_kb: u32,
    /// Streams reset before they were accepted after which the connection is closed.
    #[serde(default = "default_pending_resets")]
    pub pending_resets: usize,
    /// Streams in error after which the connection is closed.
    #[serde(default = "default_error_resets")]
    pub error_resets: usize,
    /// Idle time after which a connection without a stream is closed (seconds).
    #[serde(default = "default_idle_s")]
    pub idle_s: f64,
    /// Interval of PINGs to an idle client (seconds); 0 for none.
    #[serde(default = "default_ping_s")]
    pub ping_s: f64,
    /// Burst of bytes that belong to no request which a client may send (KiB).
    #[serde(default = "default_overhead_kb")]
    pub overhead_kb: u32,
    /// Mean rate of bytes that belong to no request which a client may send (KiB a second).
    #[serde(default = "default_overhead_kb_per_s")]
    pub overhead_kb_per_s: u32,
}

fn default_waiting_kb() -> u32 {
    4096
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

/// The longest time that can be set (seconds).
const MAX_TIME_S: f64 = 3600.0;

impl Http2Settings {
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        within("connections", self.connections as u64, 1, 65_536)?;
        within("newcomers", self.newcomers as u64, 1, 65_536)?;
        within("streams", u64::from(self.streams), 1, 1000)?;
        within("stream_window_kb", u64::from(self.stream_window_kb), 2, 1024)?;
        within("connection_window_kb", u64::from(self.connection_window_kb), 64, 16 * 1024)?;
        within("header_list_kb", u64::from(self.header_list_kb), 1, 64)?;
        within("send_buffer_kb", u64::from(self.send_buffer_kb), 4, 1024)?;
        within("pending_resets", self.pending_resets as u64, 1, 10_000)?;
        within("error_resets", self.error_resets as u64, 1, 10_000)?;
        within("waiting_kb", u64::from(self.waiting_kb), 64, 1024 * 1024)?;
        within("overhead_kb", u64::from(self.overhead_kb), 16, 16 * 1024)?;
        within("overhead_kb_per_s", u64::from(self.overhead_kb_per_s), 1, 1024)?;
        within("idle_s", self.idle_s, 1.0, MAX_TIME_S)?;
        within("ping_s", self.ping_s, 0.0, MAX_TIME_S)
    }
}

fn within<T: Copy + PartialOrd + Display>(key: &str, value: T, min: T, max: T) -> Result<(), ConfigError> {
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
