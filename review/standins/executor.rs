//! The executor at one address: it numbers its own notices and tells only of the runs that were begun through it. Each run takes
//! a given time and makes one call after a tenth of it.

use crate::services::reply_to;
use crate::world::{lock, Run, World};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A run waits at most this long for the reply to its call; then it ends, as its request is over.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// The call of a run.
struct Call {
    /// The notice that asked for it.
    notice: usize,
    body: Vec<u8>,
    /// Whether a reply has come, or the run goes on without one.
    ended: bool,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    notices: Vec<String>,
    /// The numbers of the last notices read, of links whose WELCOME is held back.
    waiting: Option<(TcpStream, usize)>,
    up: bool,
    joined: bool,
    calls: HashMap<String, Call>,
    running: Vec<String>,
}

struct Shared {
    world: World,
    name: String,
    run_time: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Executor {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Executor {
    /// An executor whose runs take this long. It holds WELCOME back until [`Executor::come_up`].
    pub fn start(world: &World, name: &str, run_time: Duration) -> Result<Executor, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Shared {
            world: world.clone(),
            name: name.to_owned(),
            run_time,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                let _ = stream.set_nodelay(true);
                thread::spawn(move || read_commands(&shared, stream));
            }
        });
        Ok(Executor { address, shared })
    }

    /// Sends the WELCOME that was held back, if any, and no longer holds it back.
    pub fn come_up(&self) {
        let mut state = lock(&self.shared.state);
        state.up = true;
        if let Some((link, n)) = state.waiting.take() {
            state.welcome(link, n);
        }
    }

    /// Whether the worker's process has sent JOIN.
    pub fn has_joined(&self) -> bool {
        lock(&self.shared.state).joined
    }

    /// Whether the call of this run has been answered or left out.
    pub fn call_has_ended(&self, job: &str) -> bool {
        lock(&self.shared.state).calls.get(job).is_some_and(|call| call.ended)
    }
}

impl State {
    fn welcome(&mut self, link: TcpStream, n: usize) {
        self.link = Some(link);
        self.send("{\"type\":\"WELCOME\",\"state\":\"LOADED\",\"took\":600000.0}");
        for notice in self.notices.clone().iter().skip(n) {
            self.send(notice);
        }
    }

    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    /// Sends a notice under the next number, which it returns.
    fn notice(&mut self, make: impl FnOnce(usize) -> String) -> usize {
        let number = self.notices.len() + 1;
        let line = make(number);
        self.notices.push(line.clone());
        self.send(&line);
        number
    }
}

fn read_commands(shared: &Arc<Shared>, stream: TcpStream) -> Option<()> {
    let reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = Some(stream);
    for line in reader.lines() {
        let line = line.ok()?;
        let text = |key| field(&line, key);
        match text("type")?.as_str() {
            "JOIN" => {
                let n = text("n")?.parse().ok()?;
                let mut state = lock(&shared.state);
                state.joined = true;
                let link = stream.take()?;
                if state.up {
                    state.welcome(link, n);
                } else {
                    state.waiting = Some((link, n));
                }
            }
            "METER" => {
                let mut state = lock(&shared.state);
                let running = state.running.len();
                let busy = (running as f64 / 6.0).min(1.0);
                let line = format!(
                    "{{\"type\":\"METERS\",\"ref\":\"{}\",\"gauges\":[{busy},{running},0.1,20]}}",
                    text("ref")?
                );
                state.send(&line);
            }
            "EXEC" => execute(shared, &text("job")?, &text("kind")?, &decode(&text("data")?)),
            "RETURN" => end_call(shared, &text("job")?, Some(&decode(&text("data")?)), None),
            "BYPASS" => end_call(shared, &text("job")?, None, text("n")?.parse().ok()),
            other => shared.world.note(&format!("{}: unknown command {other}", shared.name)),
        }
    }
    None
}

fn execute(shared: &Arc<Shared>, job: &str, kind: &str, body: &[u8]) {
    let known = shared.world.sent(job).filter(|sent| sent.class == kind && sent.body == body);
    let Some(sent) = known else {
        shared.world.note(&format!("{}: EXEC of unknown request {job}", shared.name));
        let line = format!("{{\"type\":\"BAD\",\"state\":\"EXEC\",\"job\":\"{job}\"}}");
        return lock(&shared.state).send(&line);
    };
    let run = Run {
        job: job.to_owned(),
        executor: shared.name.clone(),
        key: sent.key,
        arrived_ms: sent.arrived_ms,
        result: None,
    };
    let mut state = lock(&shared.state);
    if state.running.iter().any(|running| running == job) {
        return;
    }
    if sent.over || !shared.world.begin_run(run) {
        state.notice(|n| exit_notice(n, job, "NOOP", &[]));
        return;
    }
    shared.world.note(&format!("{}: run of {kind} {job} begins", shared.name));
    state.running.push(job.to_owned());
    drop(state);
    let (shared, job, body) = (shared.clone(), job.to_owned(), body.to_vec());
    thread::spawn(move || carry_out(&shared, &job, &body));
}

fn carry_out(shared: &Shared, job: &str, body: &[u8]) {
    thread::sleep(shared.run_time / 10);
    let mut state = lock(&shared.state);
    let call_body = format!("call of {job}").into_bytes();
    let encoded = encode(&call_body);
    let notice = state.notice(|n| {
        format!("{{\"type\":\"CALLOUT\",\"n\":{n},\"job\":\"{job}\",\"data\":\"{encoded}\"}}")
    });
    state.calls.insert(job.to_owned(), Call { notice, body: call_body, ended: false });
    let waits = |state: &mut State| !state.calls.get(job).is_some_and(|call| call.ended);
    let waited = shared.changed.wait_timeout_while(state, CALL_LIMIT, waits);
    let (mut state, waited) = waited.unwrap_or_else(|error| error.into_inner());
    if waited.timed_out() {
        shared.world.note(&format!("{}: run {job} ends at its call", shared.name));
        state.running.retain(|running| running != job);
        state.notice(|n| exit_notice(n, job, "KILLED", &[]));
        return;
    }
    drop(state);
    thread::sleep(shared.run_time * 9 / 10);
    let result = [format!("result of {job}: ").as_bytes(), body].concat();
    shared.world.end_run(job, &result);
    shared.world.note(&format!("{}: run {job} ends with its result", shared.name));
    let mut state = lock(&shared.state);
    state.running.retain(|running| running != job);
    state.notice(|n| exit_notice(n, job, "PASS", &result));
}

fn end_call(shared: &Shared, job: &str, reply: Option<&[u8]>, notice: Option<usize>) {
    let mut state = lock(&shared.state);
    let Some(call) = state.calls.get_mut(job) else { return };
    if notice.is_some_and(|notice| notice != call.notice) {
        return;
    }
    if reply.is_some_and(|reply| reply != reply_to(&call.body)) {
        shared.world.note(&format!("{}: wrong reply for {job}", shared.name));
    }
    call.ended = true;
    shared.changed.notify_all();
}

fn exit_notice(n: usize, job: &str, state: &str, result: &[u8]) -> String {
    let data = encode(result);
    format!("{{\"type\":\"EXIT\",\"n\":{n},\"job\":\"{job}\",\"state\":\"{state}\",\"took\":100.0,\"data\":\"{data}\"}}")
}

/// A field of a flat JSON object whose strings need no escapes.
fn field(line: &str, key: &str) -> Option<String> {
    let rest = line.split_once(&format!("\"{key}\":"))?.1;
    match rest.strip_prefix('"') {
        Some(text) => Some(text.split('"').next()?.to_owned()),
        None => Some(rest.split([',', '}']).next()?.to_owned()),
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().enumerate().fold(0u32, |n, (i, byte)| n | u32::from(*byte) << (16 - 8 * i));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= chunk.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for digit in text.bytes().filter_map(|byte| DIGITS.iter().position(|known| *known == byte)) {
        number = number << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    bytes
}
