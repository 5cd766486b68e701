//! What the cases share: the worker as a process, small stand-ins of its peers, a client, and the record of the run.
//! Only the standard library is used. Every address is on loopback.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

// ---- record, processes, end of the case ----

struct Case {
    record: Mutex<File>,
    started: Instant,
    children: Mutex<Vec<Child>>,
}

static CASE: OnceLock<Case> = OnceLock::new();

/// Opens the record and starts the watchdog, which ends a case that takes too long.
pub fn begin() {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let record = Mutex::new(File::create(path).expect("record.txt can't be written"));
    let case = Case { record, started: Instant::now(), children: Mutex::new(Vec::new()) };
    assert!(CASE.set(case).is_ok());
    std::panic::set_hook(Box::new(|info| {
        note(&format!("the case could not run: {info}"));
        end(COULD_NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        note("the case took too long");
        end(COULD_NOT_RUN);
    });
}

/// Writes one line to the record, with the time since the start of the case.
pub fn note(text: &str) {
    if let Some(case) = CASE.get() {
        let line = format!("{:8.3} {text}\n", case.started.elapsed().as_secs_f64());
        if let Ok(mut record) = case.record.lock() {
            let _ = record.write_all(line.as_bytes());
        }
    }
}

/// Seconds since the start of the case.
pub fn elapsed() -> f64 {
    CASE.get().map_or(0.0, |case| case.started.elapsed().as_secs_f64())
}

/// Ends all processes that the case has started, and the case.
pub fn end(status: i32) -> ! {
    if let Some(case) = CASE.get() {
        if let Ok(mut children) = case.children.lock() {
            for child in children.iter_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
    std::process::exit(status)
}

/// Writes the verdict and ends the case.
pub fn verdict(broken: bool, text: &str) -> ! {
    let word = if broken { "BROKEN" } else { "HELD" };
    note(&format!("{word}: {text}"));
    println!("{word}: {text}");
    end(if broken { BROKEN } else { HELD })
}

/// Whether the disruption is part of this run.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A free port of loopback.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// A number that differs from call to call and from run to run.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

// ---- the worker ----

/// The settings of a small deployment `porting-nl`; `tenants` names its tenants.
pub fn settings(tenants: &[&str]) -> String {
    let tenant = |name: &&str| format!(r#"{{"name":"{name}","quotaPerS":40.0,"share":0.3}}"#);
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        r#"{{"profiles":[
{{"name":"status-check","credit":1.0,"targetS":1.9,"deadlineS":4.7,"effect":"safe","lateWorth":0.0,"windowS":5.0}},
{{"name":"eligibility","credit":2.0,"targetS":1.9,"deadlineS":4.7,"effect":"safe","lateWorth":0.2,"windowS":5.0}},
{{"name":"port-submit","credit":5.0,"targetS":1.3,"deadlineS":3.4,"effect":"keyed","lateWorth":0.0,"windowS":10.191}}],
"tenants":[{}],
"domain":{{"nCores":6,"heapKb":18648.0,"runFactor":8.0,"entryKb":106.12,"idleS":30.0,"dependsOn":"one_for_all",
"fairCalls":5.0,"depWindowS":5.0,"staysForS":0.2,"classCalls":[true,true,true],"degradedWorth":[0.6,0.6,0.0],
"halt":"silent","heededS":1.0,"passesDeadline":true,"readiness":true,"realChecks":true,"signal":"weight","senders":3,
"ownStats":["cpu_busy","runnable","mem_used","sockets"]}},
"contract":{{"coldFrom":0.26,"coldS":18.0,"drainGraceS":2.5,"fallMultiple":8.0,"graceToAnswerS":0.1,"tipAfterS":3.0}},
"limits":{{"maxRetryAfterS":1.0,"retryAfter":true}},"clients":{{"marksRetry":true}},"overShareWorth":0.1,
"servers":3,"periodS":0.004}}"#,
        tenants.join(",")
    )
}

/// The addresses of a worker's configuration.
pub struct Addresses {
    pub listen: u16,
    pub executor: u16,
    pub records: u16,
    pub registry: u16,
}

/// Writes a configuration.
pub fn write_config(path: &str, addresses: &Addresses, tenants: &[&str]) {
    let Addresses { listen, executor, records, registry } = addresses;
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{listen}","executor":"127.0.0.1:{executor}",
"registry":"127.0.0.1:{registry}","records":"127.0.0.1:{records}","seed":"8c1f30d27a5be964","stop_ms":3200,
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{}}}"#,
        settings(tenants)
    );
    std::fs::write(path, text).unwrap();
}

/// A worker process.
pub struct Worker {
    pub pid: i32,
    pub console: u16,
    index: usize,
}

/// Starts a worker with the command of the deploy file. `socket` is the listening socket that it inherits as descriptor 3.
pub fn start_worker(name: &str, config: &str, folder: &str, socket: Option<&TcpListener>, arguments: &str) -> Worker {
    let run = std::env::var("RUN").expect("RUN holds the command of the deploy file");
    let console = free_port();
    let log = File::create(format!("{folder}/{name}.log")).unwrap();
    let shared = format!("{folder}/shared");
    std::fs::create_dir_all(&shared).unwrap();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{run} {arguments}"));
    command.env("ROUTER_CONFIG", config).env("ROUTER_CONSOLE", format!("127.0.0.1:{console}"));
    command.env("ROUTER_NAME", "n1").env("TMPDIR", shared).env_remove("ROUTER_SOCKET_FD");
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let descriptor = socket.map(AsRawFd::as_raw_fd);
    if descriptor.is_some() {
        command.env("ROUTER_SOCKET_FD", "3");
    }
    assert!(descriptor != Some(3), "descriptor 3 is in use");
    // SAFETY: both calls are async-signal-safe.
    unsafe {
        command.pre_exec(move || {
            // A case that is killed leaves no worker behind.
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            if descriptor.is_some_and(|descriptor| dup2(descriptor, 3) < 0) {
                return Err(std::io::Error::last_os_error());
            }
            Ok(())
        });
    }
    let child = command.spawn().unwrap();
    let pid = child.id() as i32;
    note(&format!("{name} is started"));
    let mut children = CASE.get().unwrap().children.lock().unwrap();
    children.push(child);
    Worker { pid, console, index: children.len() - 1 }
}

impl Worker {
    /// Asks the console whether the process can serve.
    pub fn is_ready(&self) -> bool {
        let call = || -> Option<u16> {
            let mut stream = TcpStream::connect(("127.0.0.1", self.console)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: n1\r\n\r\n").ok()?;
            read_response(&mut BufReader::new(stream)).map(|response| response.status)
        };
        call() == Some(200)
    }

    /// Waits until the process can serve.
    pub fn wait_ready(&self, name: &str) {
        let until = Instant::now() + Duration::from_secs(6);
        while !self.is_ready() {
            assert!(Instant::now() < until, "{name} is not ready within 6 s");
            sleep_ms(20);
        }
        note(&format!("{name} is ready"));
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this case and is not reaped before its exit is seen.
        unsafe { kill(self.pid, signal) };
    }

    /// Whether the process has exited, and with which status.
    pub fn exited(&self) -> Option<String> {
        let mut children = CASE.get().unwrap().children.lock().unwrap();
        children[self.index].try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends SIGTERM, and SIGKILL `kill_ms` later if the process has not exited by then.
    pub fn retire(&self, name: &str, kill_ms: u64) {
        note(&format!("SIGTERM to {name}"));
        self.signal(SIGTERM);
        let until = Instant::now() + Duration::from_millis(kill_ms);
        loop {
            if let Some(status) = self.exited() {
                return note(&format!("{name} has ended: {status}"));
            }
            if Instant::now() >= until {
                break;
            }
            sleep_ms(10);
        }
        note(&format!("SIGKILL to {name}"));
        self.signal(SIGKILL);
    }
}

// ---- texts ----

/// The string field of a flat JSON object whose strings hold no escapes.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let rest = &line[start..];
    Some(&rest[..rest.find('"')?])
}

/// The number field of a flat JSON object.
pub fn number(line: &str, name: &str) -> Option<u64> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = line[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == byte).unwrap_or(0);
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

// ---- HTTP ----

pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads one HTTP/1.1 message; `None` if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[before..].trim().is_empty() {
            break;
        }
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    fields.filter(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

pub fn read_response(reader: &mut impl BufRead) -> Option<Response> {
    let (head, body) = read_message(reader)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head, body })
}

/// One try of a request.
#[derive(Clone)]
pub struct Try {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub deadline_ms: u64,
    pub key: Option<String>,
    pub resent: bool,
    pub body: Vec<u8>,
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}

impl Try {
    pub fn encode(&self) -> Vec<u8> {
        let Try { id, class, tenant, deadline_ms, key, resent, body } = self;
        let mut head = format!(
            "POST /do/{class} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Arrived-Ms: {}\r\n\
             X-Upstream-Peer: 1\r\nX-Org: {tenant}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Estimate-Ms: 200.0\r\n\
             X-Need-Kb: 24.5\r\nX-Criticality: 0.6250\r\nContent-Length: {}\r\n",
            unix_ms(),
            body.len()
        );
        if let Some(key) = key {
            head += &format!("X-Operation-Key: {key}\r\n");
        }
        if *resent {
            head += "X-Resent: 1\r\n";
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Sends the try on a new connection and waits for its answer.
    pub fn send(&self, port: u16) -> Option<Response> {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 2000))).ok()?;
        stream.write_all(&self.encode()).ok()?;
        read_response(&mut BufReader::new(stream))
    }
}

// ---- the executor ----

/// What a run does: it sleeps, makes a call if there is a body for one, sleeps again, and ends with a result.
pub struct Plan {
    pub before_ms: u64,
    pub call: Option<Vec<u8>>,
    pub after_ms: u64,
    /// The result, from the reply to the call (empty without one).
    pub result: Box<dyn Fn(&[u8]) -> Vec<u8> + Send>,
}

/// A command to run a request.
pub struct Exec {
    pub job: String,
    pub class: String,
    pub body: Vec<u8>,
}

type Planner = dyn Fn(&Exec) -> Plan + Send + Sync;
type Observer = dyn Fn(&str, Option<&[u8]>) + Send + Sync;

struct Waiting {
    notice: u64,
    after_ms: u64,
    result: Box<dyn Fn(&[u8]) -> Vec<u8> + Send>,
}

#[derive(Default)]
struct ExecutorState {
    link: Option<TcpStream>,
    /// Counts links, so that an older one knows that it was replaced.
    link_number: u64,
    notices: Vec<String>,
    /// Runs that wait for their call.
    waiting: HashMap<String, Waiting>,
    /// Whether each job that was started has ended.
    jobs: HashMap<String, bool>,
    gauge_runs: usize,
}

impl ExecutorState {
    fn send(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(format!("{line}\n").as_bytes()).is_err() {
                self.link = None;
            }
        }
    }

    fn send_notice(&mut self, text: &str) -> u64 {
        let number = self.notices.len() as u64 + 1;
        let line = format!("{{\"n\":{number},{text}}}");
        self.notices.push(line.clone());
        self.send(&line);
        number
    }
}

/// An executor at one address, as the protocol page describes it.
#[derive(Clone)]
pub struct Executor {
    pub port: u16,
    name: &'static str,
    state: Arc<Mutex<ExecutorState>>,
    planner: Arc<Planner>,
    /// Is told the reply that a run gets; `None` for a call that was left out.
    observer: Arc<Observer>,
}

impl Executor {
    pub fn start(
        name: &'static str,
        planner: impl Fn(&Exec) -> Plan + Send + Sync + 'static,
        observer: impl Fn(&str, Option<&[u8]>) + Send + Sync + 'static,
    ) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Executor {
            port: listener.local_addr().unwrap().port(),
            name,
            state: Arc::default(),
            planner: Arc::new(planner),
            observer: Arc::new(observer),
        };
        let served = executor.clone();
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(link));
            }
        });
        executor
    }

    fn serve(&self, link: TcpStream) {
        let _ = link.set_nodelay(true);
        let mut own_number = 0;
        for line in BufReader::new(link.try_clone().unwrap()).lines() {
            let Ok(line) = line else { return };
            let mut state = self.state.lock().unwrap();
            if own_number != 0 && own_number != state.link_number {
                return;
            }
            let job = field(&line, "job").unwrap_or("").to_owned();
            match field(&line, "type").unwrap_or("") {
                "JOIN" => {
                    state.link_number += 1;
                    own_number = state.link_number;
                    state.link = link.try_clone().ok();
                    let read = number(&line, "n").unwrap_or(0) as usize;
                    state.send(r#"{"type":"WELCOME","state":"LOADED","took":600000.0}"#);
                    let missed: Vec<String> = state.notices.iter().skip(read).cloned().collect();
                    missed.iter().for_each(|notice| state.send(notice));
                }
                "METER" => {
                    let runs = state.gauge_runs;
                    let reference = field(&line, "ref").unwrap_or("").to_owned();
                    let busy = (runs as f64 / 6.0).min(1.0);
                    state.send(&format!(
                        r#"{{"type":"METERS","ref":"{reference}","gauges":[{busy},{runs},0.1,3]}}"#
                    ));
                }
                "EXEC" => self.exec(&mut state, &line, job),
                "RETURN" => {
                    let reply = from_base64(field(&line, "data").unwrap_or(""));
                    if state.waiting.contains_key(&job) {
                        (self.observer)(&job, Some(&reply));
                        self.resume(&mut state, &job, reply);
                    }
                }
                "BYPASS" => {
                    let notice = number(&line, "n");
                    if state.waiting.get(&job).is_some_and(|waiting| Some(waiting.notice) == notice) {
                        (self.observer)(&job, None);
                        self.resume(&mut state, &job, Vec::new());
                    }
                }
                _ => {}
            }
        }
    }

    fn exec(&self, state: &mut ExecutorState, line: &str, job: String) {
        match state.jobs.get(&job) {
            Some(false) => return,
            Some(true) => {
                state.send_notice(&format!(r#""type":"EXIT","job":"{job}","state":"NOOP","took":0"#));
                return;
            }
            None => {}
        }
        let class = field(line, "kind").unwrap_or("").to_owned();
        let body = from_base64(field(line, "data").unwrap_or(""));
        let exec = Exec { job: job.clone(), class, body };
        note(&format!("{}: run of {job} ({}) starts", self.name, exec.class));
        state.jobs.insert(job.clone(), false);
        state.gauge_runs += 1;
        let plan = (self.planner)(&exec);
        let executor = self.clone();
        thread::spawn(move || {
            sleep_ms(plan.before_ms);
            let mut state = executor.state.lock().unwrap();
            match plan.call {
                Some(call) => {
                    let data = to_base64(&call);
                    let notice = state.notices.len() as u64 + 1;
                    let waiting = Waiting { notice, after_ms: plan.after_ms, result: plan.result };
                    state.waiting.insert(job.clone(), waiting);
                    state.gauge_runs -= 1;
                    state.send_notice(&format!(r#""type":"CALLOUT","job":"{job}","data":"{data}""#));
                }
                None => executor.finish(&mut state, &job, &(plan.result)(&[])),
            }
        });
    }

    fn resume(&self, state: &mut ExecutorState, job: &str, reply: Vec<u8>) {
        let Some(waiting) = state.waiting.remove(job) else { return };
        state.gauge_runs += 1;
        let (executor, job) = (self.clone(), job.to_owned());
        thread::spawn(move || {
            sleep_ms(waiting.after_ms);
            let result = (waiting.result)(&reply);
            executor.finish(&mut executor.state.lock().unwrap(), &job, &result);
        });
    }

    fn finish(&self, state: &mut ExecutorState, job: &str, result: &[u8]) {
        state.gauge_runs -= 1;
        state.jobs.insert(job.to_owned(), true);
        note(&format!("{}: run of {job} ends", self.name));
        let data = to_base64(result);
        state.send_notice(&format!(r#""type":"EXIT","job":"{job}","state":"PASS","took":100,"data":"{data}""#));
    }
}

// ---- the records service and the registry ----

/// How the records service answers one call: each part is written after its pause (milliseconds).
pub type Parts = Vec<(u64, Vec<u8>)>;

pub fn ok_reply(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Starts a records service; `answer` gets the run and the body of a call.
pub fn start_records(answer: impl Fn(&str, &[u8]) -> Parts + Send + Sync + 'static) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut writer = stream;
                while let Some((head, body)) = read_message(&mut reader) {
                    let run = header(&head, "op-of").unwrap_or("").to_owned();
                    for (pause_ms, bytes) in answer(&run, &body) {
                        sleep_ms(pause_ms);
                        if writer.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    port
}

/// Starts a registry, which takes reports and answers nothing.
pub fn start_registry() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let port = socket.local_addr().unwrap().port();
    thread::spawn(move || {
        let mut bytes = [0; 256];
        while socket.recv(&mut bytes).is_ok() {}
    });
    port
}

/// The folder for the files of this run.
pub fn folder() -> String {
    std::env::var("FOLDER").expect("FOLDER names the temporary folder")
}

/// Reads all bytes until the connection ends.
pub fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}
