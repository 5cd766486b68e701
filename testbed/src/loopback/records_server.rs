//! The records model behind HTTP/1.1.

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

/// Serves each connection on a thread of its own, until the play is over.
pub(super) fn serve_records(
    listener: TcpListener,
    experiment: &Experiment,
    clock: Clock,
    over: &Arc<AtomicBool>,
) {
    let model = Arc::new(Mutex::new(Records::new(experiment.records.clone(), experiment.stall.clone())));
    accept_until(listener, over.clone(), move |stream| {
        let model = model.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some((head, _)) = read_message(&mut reader) {
                let of = header(&head, "op-of").unwrap_or("").to_owned();
                let at = {
                    let mut model = lock(&model);
                    model.advance(clock.now());
                    model.call(clock.now(), &of)
                };
                clock.sleep_until(at);
                let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!";
                if reader.get_mut().write_all(reply).is_err() {
                    return;
                }
            }
        });
    });
}
