//! Operators on a worker's console while an experiment runs: calls at a steady pace, beside holders.

use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A response that takes longer is a bad one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a holder opens a connection, sends half a call, and leaves it at that.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);

/// How the calls went.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// Median time of a call (milliseconds).
    pub p50_ms: f64,
    /// 99th percentile (milliseconds).
    pub p99_ms: f64,
    /// Maximum (milliseconds).
    pub most_ms: f64,
    /// Calls that were made.
    pub made: u64,
    /// Refused, broken, late, or with another status than 200.
    pub bad: u64,
}

/// Calls `GET /-/metrics` at a pace until the play is over, beside so many holders.
pub fn watch(
    address: SocketAddr,
    every_ms: f64,
    holders: usize,
    over: &Arc<AtomicBool>,
) -> thread::JoinHandle<Calls> {
    if holders > 0 {
        let over = over.clone();
        thread::spawn(move || {
            let mut held = VecDeque::new();
            while !over.load(Ordering::Relaxed) {
                if let Ok(mut stream) = TcpStream::connect(address) {
                    let _ = stream.write_all(b"GET /-/metr");
                    held.push_back(stream);
                }
                if held.len() > holders {
                    held.pop_front();
                }
                thread::sleep(HOLD_INTERVAL);
            }
        });
    }
    let over = over.clone();
    let every = Duration::from_secs_f64(every_ms / 1000.0);
    thread::spawn(move || {
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let mut calls = Calls::default();
        while !over.load(Ordering::Relaxed) {
            let asked = Instant::now();
            calls.made += 1;
            calls.bad += u64::from(!call(address));
            if let Some(times) = &mut times {
                times.saturating_record(asked.elapsed().as_micros().max(1) as u64);
            }
            thread::sleep(every.saturating_sub(asked.elapsed()));
        }
        if let Some(times) = &times {
            let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
            (calls.p50_ms, calls.p99_ms, calls.most_ms) = (ms(0.5), ms(0.99), ms(1.0));
        }
        calls
    })
}

fn call(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT) else { return false };
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let mut text = String::new();
    let asked = stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: lab\r\n\r\n");
    asked.is_ok()
        && stream.read_to_string(&mut text).is_ok()
        && text.starts_with("HTTP/1.1 200 ")
        && text.contains("svc.concurrent=")
}
