//! Calls to a worker's console during a trial: `GET /-/metrics` at a fixed interval, while other clients hold
//! connections with unfinished requests.

use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A call without a response within this time has failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a new connection with an unfinished request is opened.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

/// The results of the calls.
#[derive(Clone, Debug, Default)]
pub struct ConsoleCalls {
    /// Median time of a call (milliseconds).
    pub p50_ms: f64,
    /// 99th percentile (milliseconds).
    pub p99_ms: f64,
    /// Maximum (milliseconds).
    pub max_ms: f64,
    /// Calls that were made.
    pub total: u64,
    /// Calls that were refused, broken off or late, or whose response was not a 200 with metrics.
    pub failed: u64,
}

/// Calls `GET /-/metrics` at an interval until `stop` is set, while another thread holds up to `held_connections`
/// connections with unfinished requests.
pub fn poll(
    address: SocketAddr,
    interval_ms: f64,
    held_connections: usize,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<ConsoleCalls> {
    if held_connections > 0 {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut held = VecDeque::new();
            while !stop.load(Ordering::Relaxed) {
                if let Ok(mut stream) = TcpStream::connect(address) {
                    let _ = stream.write_all(b"GET /-/metr");
                    held.push_back(stream);
                }
                if held.len() > held_connections {
                    held.pop_front();
                }
                thread::sleep(HOLD_INTERVAL);
            }
        });
    }
    let stop = stop.clone();
    let interval = Duration::from_secs_f64(interval_ms / 1000.0);
    thread::spawn(move || {
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let mut calls = ConsoleCalls::default();
        while !stop.load(Ordering::Relaxed) {
            let sent_at = Instant::now();
            calls.total += 1;
            calls.failed += u64::from(!call(address));
            if let Some(times) = &mut times {
                times.saturating_record(sent_at.elapsed().as_micros().max(1) as u64);
            }
            thread::sleep(interval.saturating_sub(sent_at.elapsed()));
        }
        if let Some(times) = &times {
            let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
            (calls.p50_ms, calls.p99_ms, calls.max_ms) = (ms(0.5), ms(0.99), ms(1.0));
        }
        calls
    })
}

/// Reads the metrics once; `false` if the call failed.
fn call(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT) else { return false };
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let mut text = String::new();
    let sent = stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: lab\r\n\r\n");
    sent.is_ok()
        && stream.read_to_string(&mut text).is_ok()
        && text.starts_with("HTTP/1.1 200 ")
        && text.contains("svc.concurrent=")
}
