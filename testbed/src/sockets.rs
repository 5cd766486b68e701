//! Plays an experiment on loopback: a real worker, and the models behind real sockets, in real time.
//!
//! A thread or two for each peer and one for each request in flight: simple, and bounded by the experiment's length
//! and its callers. What callers send is drawn ahead, so that two variants get the same requests at the same times.

use crate::callers::{again, draw, Asked};
use crate::console::{self, Calls};
use crate::error::TestbedError;
use crate::executor::{Executor, Notice, Work};
use crate::experiment::{ClassModel, Experiment, Variant};
use crate::floods;
use crate::http2;
use crate::measure::{End, Play, PoolResult, CROWD_BOUND, CROWD_S};
use crate::records::Records;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Callers that can wait for an answer at once; the worker takes fewer connections than that many.
const CALLERS: usize = 448;
/// How long a client waits for an answer beyond its deadline before it counts as owed (seconds).
pub const PATIENCE_S: f64 = 1.0;
/// How long the worker may take to come up and to leave.
const START: Duration = Duration::from_secs(10);

static NAMES: AtomicU64 = AtomicU64::new(1);

/// The play's clock: seconds since the callers start.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn from_now() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> f64 {
        Instant::now().saturating_duration_since(self.0).as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn listener() -> Result<(TcpListener, SocketAddr), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections until the play is over.
fn accept_until(
    listener: TcpListener,
    over: Arc<AtomicBool>,
    mut take: impl FnMut(TcpStream) + Send + 'static,
) {
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    take(stream);
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

/// Plays one variant with one seed against a worker's program.
pub fn play(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    worker: &Path,
) -> Result<Play, TestbedError> {
    let asked = Arc::new(draw(experiment, seed));
    let (over, called) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (executor_door, executor_at) = listener()?;
    let (records_door, records_at) = listener()?;
    let registry = UdpSocket::bind("127.0.0.1:0")?;
    let registry_at = registry.local_addr()?;
    let mut config = experiment.config(
        "127.0.0.1:0",
        &executor_at.to_string(),
        &records_at.to_string(),
        &registry_at.to_string(),
    );
    if variant.console_every_ms.is_some() {
        config["console"] = json!("127.0.0.1:0");
    }
    // The play begins when the worker is up; what is before that is time below 0, which the models never see.
    let clock = Clock(Instant::now() + Duration::from_millis(700));
    let executor = serve_executor(executor_door, experiment, clock, &over);
    serve_records(records_door, experiment, clock, &over);
    let mut child = Worker::start(variant.worker.as_deref().unwrap_or(worker), &config, &variant.operator)?;
    let console = match variant.console_every_ms {
        Some(every_ms) => Some((child.address("frontend=console address=")?, every_ms)),
        None => None,
    };
    let address = child.address("frontend=http address=")?;
    let console =
        console.map(|(at, every_ms)| console::watch(at, every_ms, variant.console_holders, &called));
    let rest_kb = child.resident_kb();
    let peak = floods::watch_memory(child.resident(), &called);
    let mut flooders = Vec::new();
    if let Some(flood) = variant.flood {
        flooders = floods::start(
            flood,
            variant.flood_connections,
            child.address("frontend=http2 address=")?,
            &called,
        );
    }
    clock.sleep_until(0.0);
    let ends = Arc::new(Mutex::new(vec![None; asked.len()]));
    let doors = match variant.http2_streams {
        Some(streams) => {
            let address = child.address("frontend=http2 address=")?;
            vec![http2::call(experiment, &asked, clock, address, streams, &ends)]
        }
        None => call(experiment, &asked, clock, address, &ends),
    };
    let cpu_before = child.cpu_ms();
    clock.sleep_until(experiment.length_s / 4.0);
    let memory = child.resident_kb();
    for door in doors {
        let _ = door.join();
    }
    let (memory_after, cpu_after) = (child.resident_kb(), child.cpu_ms());
    called.store(true, Ordering::Relaxed);
    let calls = match console {
        Some(calls) => calls.join().map_err(|_| TestbedError::ThreadFailed { owner: "the console" })?,
        None => Calls::default(),
    };
    let lines = child.leave()?;
    over.store(true, Ordering::Relaxed);
    let executor = executor.join().map_err(|_| TestbedError::ThreadFailed { owner: "the executor" })?;
    let mut play = Play::of(experiment, &variant.name, seed, &asked, &lock(&ends));
    play.console = [calls.p50_ms, calls.p99_ms, calls.most_ms];
    (play.console_made, play.console_bad) = (calls.made, calls.bad);
    play.memory_over_mb = (peak.join().unwrap_or(f64::INFINITY) - rest_kb) / 1024.0;
    for flooder in flooders {
        let came_to = flooder.join().map_err(|_| TestbedError::ThreadFailed { owner: "a flooder" })?;
        play.flood_connections += came_to.connections;
        play.flood_ended += came_to.ended;
        play.flood_mb += came_to.bytes as f64 / 1e6;
    }
    play.crowd_of_bound = executor.crowd_mean(CROWD_S) / CROWD_BOUND;
    play.most_on_cores = executor.most_on_cores;
    play.memory_growth = memory_after / memory.max(1.0);
    play.cpu_ms = (cpu_after - cpu_before) / asked.len().max(1) as f64;
    let started_at = lines.first().and_then(|line| seconds_of_day(line)).unwrap_or(0.0);
    for line in &lines {
        read_line(line, started_at, &mut play);
    }
    Ok(play)
}

/// Takes what the worker's log says of its pools.
fn read_line(line: &str, started_at: f64, play: &mut Play) {
    if let Some(state) = line.split_once("pools_state state=").and_then(|(_, text)| parse_quoted(text)) {
        play.reserve_kept = state["reserve_kept"].as_u64().unwrap_or(u64::MAX);
        let pools = state["pools"].as_array().map_or(&[][..], Vec::as_slice);
        let number = |v: &Value| v.as_u64().unwrap_or(0);
        let result = |p: &Value| PoolResult {
            name: p["name"].as_str().unwrap_or("").to_owned(),
            started: number(&p["started"]),
            refused: number(&p["refused"]),
        };
        play.pools = pools.iter().map(result).collect();
    } else if let Some((_, rest)) = line.split_once("pool_limit_changed limit=") {
        let mut words = rest.split(' ');
        let limit = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        let cause = words.find_map(|w| w.strip_prefix("cause=")).unwrap_or("");
        let since_start = seconds_of_day(line).unwrap_or(0.0) - started_at;
        // The day may end in between.
        play.limits.push((since_start.rem_euclid(SECONDS_PER_DAY), limit, cause.to_owned()));
    }
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// The JSON value in a quoted field of the log.
fn parse_quoted(text: &str) -> Option<Value> {
    let json: String = serde_json::from_str(text).ok()?;
    serde_json::from_str(&json).ok()
}

/// When a line of the log was written: seconds since midnight, from a time like `2026-12-02T13:55:12.123456Z`.
fn seconds_of_day(line: &str) -> Option<f64> {
    let (_, time) = line.split(' ').next()?.strip_suffix('Z')?.split_once('T')?;
    time.split(':').try_fold(0.0, |seconds, part| Some(seconds * 60.0 + part.parse::<f64>().ok()?))
}

/// A worker's process. Dropping it ends it.
struct Worker {
    child: Child,
    lines: Receiver<String>,
    folder: std::path::PathBuf,
}

impl Worker {
    fn start(program: &Path, config: &Value, operator: &str) -> Result<Worker, TestbedError> {
        let number = NAMES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(TestbedError::file(&path))
        };
        write("config.json", &config.to_string())?;
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        if !operator.is_empty() {
            write("operator.toml", operator)?;
            command.arg("--operator").arg(folder.join("operator.toml"));
        }
        let mut child = command.spawn().map_err(TestbedError::file(program))?;
        let (sender, lines) = channel();
        if let Some(stderr) = child.stderr.take() {
            let reader = BufReader::new(stderr);
            thread::spawn(move || reader.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
        }
        Ok(Worker { child, lines, folder })
    }

    fn address(&mut self, mark: &str) -> Result<SocketAddr, TestbedError> {
        loop {
            let line = self.lines.recv_timeout(START).map_err(|_| TestbedError::WorkerDidNotStart)?;
            if let Some((_, rest)) = line.split_once(mark) {
                let address = rest.split(' ').next().unwrap_or_default();
                return address.parse().map_err(|_| TestbedError::WorkerNoAddress { line: line.clone() });
            }
            if line.starts_with("port-worker: ") {
                return Err(TestbedError::WorkerFailed { line });
            }
        }
    }

    fn proc(&self, what: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{what}", self.child.id())).unwrap_or_default()
    }

    fn resident_kb(&self) -> f64 {
        self.resident()()
    }

    /// A look at its resident memory, for another thread (kilobytes).
    fn resident(&self) -> impl Fn() -> f64 + Send + 'static {
        let path = format!("/proc/{}/status", self.child.id());
        move || {
            let status = std::fs::read_to_string(&path).unwrap_or_default();
            let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
            line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
        }
    }

    fn cpu_ms(&self) -> f64 {
        let stat = self.proc("schedstat");
        stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
    }

    /// Gives the notice to leave and waits for the end; what is left of the log.
    fn leave(&mut self) -> Result<Vec<String>, TestbedError> {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let until = Instant::now() + START;
        loop {
            if let Some(status) = self.child.try_wait()? {
                if !status.success() {
                    return Err(TestbedError::WorkerExit { status });
                }
                let mut lines: Vec<String> = Vec::new();
                while let Ok(line) = self.lines.recv_timeout(Duration::from_millis(200)) {
                    lines.push(line);
                }
                return Ok(lines);
            }
            if Instant::now() > until {
                return Err(TestbedError::WorkerDidNotEnd);
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

enum Heard {
    Link(TcpStream),
    Line(String),
}

/// The executor behind its protocol: one thread takes links and lines, one plays the model.
pub fn serve_executor(
    door: TcpListener,
    experiment: &Experiment,
    clock: Clock,
    over: &Arc<AtomicBool>,
) -> thread::JoinHandle<Executor> {
    let model = Executor::new(experiment.executor.clone(), experiment.slow.clone());
    let (sender, heard) = channel::<Heard>();
    accept_until(door, over.clone(), move |stream| {
        let Ok(writer) = stream.try_clone() else { return };
        let _ = sender.send(Heard::Link(writer));
        let sender = sender.clone();
        thread::spawn(move || {
            let lines = BufReader::new(stream).lines();
            lines.map_while(Result::ok).try_for_each(|l| sender.send(Heard::Line(l)))
        });
    });
    let over = over.clone();
    let cold = experiment.executor.cold_s > 0.0;
    let cores = f64::from(experiment.executor.cores);
    thread::spawn(move || {
        let mut site = ExecutorSite { model, link: None, notices: Vec::new(), cold, cores, busy: (0.0, 0.0) };
        while !over.load(Ordering::Relaxed) {
            let now = clock.now();
            let wait = site.model.next().map_or(0.05, |at| at - now).clamp(0.0, 0.05);
            match heard.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(Heard::Link(stream)) => site.link = Some(stream),
                Ok(Heard::Line(line)) => {
                    site.pass(clock.now());
                    site.take(clock.now(), &line);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            site.pass(clock.now());
        }
        site.model
    })
}

struct ExecutorSite {
    model: Executor,
    link: Option<TcpStream>,
    notices: Vec<String>,
    cold: bool,
    cores: f64,
    busy: (f64, f64),
}

impl ExecutorSite {
    fn say(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    fn notice(&mut self, mut notice: Value) {
        notice["n"] = json!(self.notices.len() + 1);
        let line = notice.to_string();
        self.say(&line);
        self.notices.push(line);
    }

    fn pass(&mut self, now: f64) {
        for (_, notice) in self.model.advance(now) {
            match notice {
                Notice::Exit(job, poor) => {
                    let data = STANDARD.encode(if poor { "poor" } else { "full" });
                    self.notice(
                        json!({"type": "EXIT", "job": job, "state": "PASS", "took": 1.0, "data": data}),
                    );
                }
                Notice::Callout(job) => {
                    self.notice(json!({"type": "CALLOUT", "job": job, "data": STANDARD.encode("?")}));
                }
            }
        }
    }

    fn take(&mut self, now: f64, line: &str) {
        let Ok(command) = serde_json::from_str::<Value>(line) else {
            self.link = None;
            return;
        };
        let job = command["job"].as_str().unwrap_or("").to_owned();
        match command["type"].as_str().unwrap_or("") {
            "JOIN" => {
                let state = if self.cold { "EMPTY" } else { "LOADED" };
                let took = if self.cold { 1.0 } else { 3_600_000.0 };
                self.say(&json!({"type": "WELCOME", "state": state, "took": took}).to_string());
                let after = command["n"].as_u64().unwrap_or(0) as usize;
                let missed: Vec<String> = self.notices.iter().skip(after).cloned().collect();
                missed.iter().for_each(|line| self.say(line));
            }
            "EXEC" => {
                let body = STANDARD.decode(command["data"].as_str().unwrap_or("")).unwrap_or_default();
                self.model.start(&job, Work::read(&body));
            }
            "RETURN" => drop(self.model.resume(&job, false)),
            "BYPASS" => drop(self.model.resume(&job, true)),
            "METER" => {
                let (since, before) = self.busy;
                let busy = (self.model.busy_s() - before) / (now - since).max(1e-3) / self.cores;
                // The gauge is a mean of the last tenth of a second at least.
                if now - since > 0.1 {
                    self.busy = (now, self.model.busy_s());
                }
                let gauges = [busy.min(1.0), self.model.on_cores() as f64, 0.1, 3.0];
                self.say(&json!({"type": "METERS", "ref": command["ref"], "gauges": gauges}).to_string());
            }
            _ => {}
        }
    }
}

/// Reads one message's head and body; `None` when there is none.
pub fn message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; std::cmp::min(length, 1 << 16)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .find_map(|l| l.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()))
}

fn serve_records(door: TcpListener, experiment: &Experiment, clock: Clock, over: &Arc<AtomicBool>) {
    let model = Arc::new(Mutex::new(Records::new(experiment.records.clone(), experiment.stall.clone())));
    accept_until(door, over.clone(), move |stream| {
        let model = model.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some((head, _)) = message(&mut reader) {
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

/// Starts the callers: each takes the next request when it is due, and sees it through all its tries.
fn call(
    experiment: &Experiment,
    asked: &Arc<Vec<Asked>>,
    clock: Clock,
    to: SocketAddr,
    ends: &Arc<Mutex<Vec<Option<End>>>>,
) -> Vec<thread::JoinHandle<()>> {
    let (sender, receiver): (Sender<usize>, Receiver<usize>) = channel();
    let receiver = Arc::new(Mutex::new(receiver));
    let mut threads = Vec::new();
    for _ in 0..CALLERS.min(asked.len()) {
        let (experiment, asked, ends) = (experiment.clone(), asked.clone(), ends.clone());
        let receiver = receiver.clone();
        let body = move || {
            let mut connection = None;
            loop {
                let Ok(number) = lock(&receiver).recv() else { return };
                let end = see_through(&experiment, &asked[number], clock, to, &mut connection);
                lock(&ends)[number] = end;
            }
        };
        let built = thread::Builder::new().stack_size(256 * 1024).spawn(body);
        threads.extend(built.ok());
    }
    let asked = asked.clone();
    threads.push(thread::spawn(move || {
        for a in asked.iter() {
            clock.sleep_until(a.at);
            if sender.send(a.number).is_err() {
                return;
            }
        }
    }));
    threads
}

/// One request with all its tries; `None` if one of them got no answer in time.
fn see_through(
    experiment: &Experiment,
    a: &Asked,
    clock: Clock,
    to: SocketAddr,
    connection: &mut Option<BufReader<TcpStream>>,
) -> Option<End> {
    let class = &experiment.class[a.class];
    for tries in 1.. {
        let (status, advice_s, poor) =
            one_try(class.deadline_ms / 1000.0, a, tries, class, clock, to, connection)?;
        let now = clock.now();
        let end = end_of(status, now, poor);
        if status == 200 {
            return Some(end);
        }
        match again(experiment, tries, now, a, advice_s) {
            Some(at) => clock.sleep_until(at),
            None => return Some(end),
        }
    }
    None
}

/// What an answer with this status is to its client.
pub fn end_of(status: u16, at: f64, poor: bool) -> End {
    match status {
        200 => End::Served { at, poor },
        429 | 503 => End::Refused,
        _ => End::Failed,
    }
}

/// The platform's fields of one try.
pub fn fields(a: &Asked, class: &ClassModel, tries: u32, left_s: f64) -> Vec<(&'static str, String)> {
    let name = NAMES.fetch_add(1, Ordering::Relaxed) | (1 << 60);
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    let mut fields = vec![
        ("x-correlation-id", format!("{name:016x}")),
        ("x-arrived-ms", unix_ms.to_string()),
        ("x-upstream-peer", "1".to_owned()),
        ("x-org", "lab".to_owned()),
        ("x-deadline-ms", format!("{:.0}", left_s * 1000.0)),
        ("x-need-kb", format!("{:.1}", a.need_kb)),
        ("x-criticality", "0.5".to_owned()),
    ];
    if class.keyed {
        fields.push(("x-operation-key", format!("k{:08x}", a.number)));
    }
    if tries > 1 {
        fields.push(("x-resent", "1".to_owned()));
    }
    fields
}

fn one_try(
    deadline_s: f64,
    a: &Asked,
    tries: u32,
    class: &ClassModel,
    clock: Clock,
    to: SocketAddr,
    connection: &mut Option<BufReader<TcpStream>>,
) -> Option<(u16, f64, bool)> {
    let left_s = (a.at + deadline_s - clock.now()).max(0.01);
    let body = a.work.body();
    let fields: String = fields(a, class, tries, left_s)
        .into_iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let head = format!(
        "POST /do/{} HTTP/1.1\r\nHost: lab\r\n{fields}Content-Length: {}\r\n\r\n",
        class.name,
        body.len()
    );
    let bytes = [head.as_bytes(), &body].concat();
    // A kept connection may have been closed meanwhile: then once more on a new one, as routers do.
    for fresh in [false, true] {
        if fresh || connection.is_none() {
            let stream = TcpStream::connect(to).ok()?;
            let _ = stream.set_nodelay(true);
            *connection = Some(BufReader::new(stream));
        }
        let reader = connection.as_mut()?;
        let patience = Duration::from_secs_f64(left_s + PATIENCE_S);
        let _ = reader.get_ref().set_read_timeout(Some(patience));
        if reader.get_mut().write_all(&bytes).is_err() {
            continue;
        }
        match reader.fill_buf() {
            Ok([]) => continue,
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => continue,
            _ => {}
        }
        let answer = message(reader);
        let Some((head, body)) = answer else { break };
        if header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            *connection = None;
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let advice_ms: f64 = header(&head, "x-pushback-ms").and_then(|v| v.parse().ok()).unwrap_or(0.0);
        return Some((status, advice_ms / 1000.0, body == b"poor"));
    }
    *connection = None;
    None
}
