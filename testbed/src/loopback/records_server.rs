//! Serves the records model over HTTP/1.1.

use super::http1_message::{header, read_message};
use super::listener::accept_until;
use super::Clock;
use crate::experiment::Experiment;
use crate::records::Records;
use crate::sync::lock;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;

/// Accepts connections until `stop` is set, and serves each on its own thread.
pub(super) fn serve_records(
    listener: TcpListener,
    experiment: &Experiment,
    clock: Clock,
    stop: &Arc<AtomicBool>,
) {
    let model = Arc::new(Mutex::new(Records::new(experiment.records.clone(), experiment.stall.clone())));
    accept_until(listener, stop.clone(), move |stream| {
        let model = model.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some((head, _)) = read_message(&mut reader) {
                let run = header(&head, "op-of").unwrap_or("").to_owned();
                let reply_at = {
                    let mut model = lock(&model);
                    model.advance(clock.now());
                    model.call(clock.now(), &run)
                };
                clock.sleep_until(reply_at);
                let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!";
                if reader.get_mut().write_all(reply).is_err() {
                    return;
                }
            }
        });
    });
}
