//! A toy site on loopback to try the port worker with: an executor that sleeps instead of working, a records
//! service that always agrees, and a registry that prints what it is told. Not for measurements.
//!
//! The addresses are those of `examples/config.json`; the README says how to start both.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a run takes before and after its call.
const HALF: Duration = Duration::from_millis(60);

/// What the executor keeps while there may be no link: the notices, and the runs that stand at a call.
#[derive(Default)]
struct Book {
    link: Option<TcpStream>,
    notices: Vec<String>,
    at_call: HashMap<String, Vec<u8>>,
}

impl Book {
    fn say(&mut self, line: &Value) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    fn notice(&mut self, mut line: Value) {
        line["n"] = json!(self.notices.len() + 1);
        self.notices.push(line.to_string());
        self.say(&line);
    }
}

fn main() -> std::io::Result<()> {
    // The second address is for a process that replaces the first: each numbers its own notices.
    let executors = [TcpListener::bind("127.0.0.1:7300")?, TcpListener::bind("127.0.0.1:7301")?];
    let records = TcpListener::bind("127.0.0.1:8900")?;
    let registry = UdpSocket::bind("127.0.0.1:2379")?;
    thread::spawn(move || {
        for stream in records.incoming().flatten() {
            thread::spawn(|| serve_records(stream));
        }
    });
    thread::spawn(move || {
        let mut bytes = [0; 256];
        while let Ok(n) = registry.recv(&mut bytes) {
            println!("registry: {}", String::from_utf8_lossy(&bytes[..n]));
        }
    });
    println!("the toy site is up");
    let serve = |executor: TcpListener| {
        let book = Arc::new(Mutex::new(Book::default()));
        for link in executor.incoming().flatten() {
            if let Err(e) = serve_link(link, &book) {
                println!("executor: link ended: {e}");
            }
        }
    };
    let threads = executors.map(|executor| thread::spawn(move || serve(executor)));
    for thread in threads {
        thread.join().expect("no executor's thread panics");
    }
    Ok(())
}

fn serve_link(link: TcpStream, book: &Arc<Mutex<Book>>) -> std::io::Result<()> {
    let reader = BufReader::new(link.try_clone()?);
    let mut link = Some(link);
    for line in reader.lines() {
        let command: Value = serde_json::from_str(&line?)?;
        let job = command["job"].as_str().unwrap_or("").to_owned();
        let mut held = book.lock().expect("no thread panics with the book");
        match command["type"].as_str().unwrap_or("") {
            "JOIN" => {
                let read = command["n"].as_u64().unwrap_or(0) as usize;
                held.link = link.take();
                // A worker that begins anew numbers anew.
                if read == 0 {
                    held.notices.clear();
                }
                held.say(&json!({"type": "WELCOME", "state": "LOADED", "took": 60_000.0}));
                let missed: Vec<Value> =
                    held.notices.iter().skip(read).flat_map(|n| serde_json::from_str(n)).collect();
                for notice in &missed {
                    held.say(notice);
                }
            }
            "EXEC" => {
                println!("executor: {} begins {job}", command["kind"]);
                let data = STANDARD.decode(command["data"].as_str().unwrap_or("")).unwrap_or_default();
                let book = book.clone();
                thread::spawn(move || {
                    thread::sleep(HALF);
                    let mut held = book.lock().expect("no thread panics with the book");
                    held.at_call.insert(job.clone(), data);
                    held.notice(json!({"type": "CALLOUT", "job": job, "data": STANDARD.encode("number?")}));
                });
            }
            "RETURN" | "BYPASS" => {
                let Some(data) = held.at_call.remove(&job) else { continue };
                let book = book.clone();
                thread::spawn(move || {
                    thread::sleep(HALF);
                    let result = [b"done: ", &data[..]].concat();
                    let end = json!({"type": "EXIT", "job": job, "state": "PASS", "took": 120.0,
                        "data": STANDARD.encode(result)});
                    book.lock().expect("no thread panics with the book").notice(end);
                });
            }
            "METER" => {
                held.say(&json!({"type": "METERS", "ref": command["ref"], "gauges": [0.2, 1, 0.1, 1]}));
            }
            other => println!("executor: {other} is not played here"),
        }
    }
    Ok(())
}

/// Answers calls, one after the other, until the connection ends.
fn serve_records(stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some((name, value)) = line.split_once(':') {
                if name.eq_ignore_ascii_case("Content-Length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            } else if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")?;
    }
}
