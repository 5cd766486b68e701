//! The platform: it holds the clients' listening socket and starts, replaces and stops processes of the worker.

use crate::executor::Executor;
use crate::services::Services;
use crate::world::{lock, World};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A new process must say yes within this time.
const READY_LIMIT: Duration = Duration::from_secs(6);
/// The classes' longest deadline counts as this where it is longer.
const LONGEST_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// SIGKILL follows SIGTERM to the old process after the longest deadline and this time.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The longest deadline of the classes in `SETTINGS`.
const LONGEST_DEADLINE: Duration = Duration::from_millis(4700);

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;
const SIGSTOP: i32 = 19;
/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, _: u64, _: u64, _: u64) -> i32;
}

/// The settings of one porting-nl worker.
const SETTINGS: &str = r#"{
 "profiles":[
  {"name":"status-check","credit":1.0,"targetS":1.9,"deadlineS":4.7,"effect":"safe","lateWorth":0.0,"windowS":5.0},
  {"name":"eligibility","credit":2.0,"targetS":1.9,"deadlineS":4.7,"effect":"safe","lateWorth":0.2,"windowS":5.0},
  {"name":"port-submit","credit":5.0,"targetS":1.3,"deadlineS":3.4,"effect":"keyed","lateWorth":0.0,"windowS":10.191}],
 "tenants":[
  {"name":"belwijs","quotaPerS":40.0,"share":0.28},{"name":"kustmobiel","quotaPerS":23.0,"share":0.16},
  {"name":"veenbel","quotaPerS":23.0,"share":0.16},{"name":"dijktel","quotaPerS":20.0,"share":0.14},
  {"name":"molennet","quotaPerS":20.0,"share":0.14},{"name":"grachtbel","quotaPerS":17.0,"share":0.12}],
 "domain":{"nCores":6,"heapKb":18648.0,"runFactor":8.0,"entryKb":106.12,"idleS":30.0,"dependsOn":"one_for_all",
  "fairCalls":5.0,"depWindowS":5.0,"staysForS":0.2,"classCalls":[true,true,true],"degradedWorth":[0.6,0.6,0.0],
  "halt":"silent","heededS":1.0,"passesDeadline":true,"readiness":true,"realChecks":true,"signal":"weight","senders":3,
  "ownStats":["cpu_busy","runnable","mem_used","sockets"],"cold":false,"freshForS":0.0,"tellsGone":false},
 "contract":{"coldFrom":0.26,"coldS":18.0,"drainGraceS":2.5,"fallMultiple":8.0,"graceToAnswerS":0.1,"tipAfterS":3.0},
 "limits":{"maxRetryAfterS":1.0,"retryAfter":true},"clients":{"marksRetry":true},"overShareWorth":0.1,"servers":10,
 "periodS":0.004}"#;

/// One process of the worker.
pub struct Process {
    /// The name in the record, such as `process 1`.
    pub name: String,
    pub executor: Executor,
    console: SocketAddr,
    child: Arc<Mutex<Child>>,
    pid: i32,
}

/// The platform of one worker.
pub struct Platform {
    world: World,
    services: Services,
    listener: TcpListener,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The worker's operator's file, if it has one.
    operator: Option<String>,
    started: usize,
}

impl Platform {
    pub fn new(world: &World, operator: Option<String>) -> Result<Platform, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        std::fs::create_dir_all(world.folder().join("shared")).map_err(|e| e.to_string())?;
        Ok(Platform { world: world.clone(), services: Services::start(world)?, listener, address, operator, started: 0 })
    }

    /// Starts `run` of the deploy file once more, with a console and an executor address of its own.
    pub fn start(&mut self, executor: Executor) -> Result<Process, String> {
        self.started += 1;
        let name = format!("process {}", self.started);
        let console = free_address()?;
        let folder = self.world.folder().to_owned();
        let config = folder.join(format!("config-{}.json", self.started));
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"executor\":\"{}\",\"registry\":\"{}\",\"records\":\"{}\",\
             \"console\":\"{console}\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"settings\":{SETTINGS}}}",
            self.address, executor.address, self.services.registry, self.services.records
        );
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        let mut command = run_command()?;
        if let Some(operator) = &self.operator {
            let file = folder.join("operator.toml");
            std::fs::write(&file, operator).map_err(|e| e.to_string())?;
            command += &format!(" --operator {}", file.display());
        }
        // The listening socket is passed as standard input, from which the shell makes descriptor 3.
        let socket: OwnedFd = self.listener.try_clone().map_err(|e| e.to_string())?.into();
        let log = std::fs::File::create(folder.join(format!("log-{}.txt", self.started))).map_err(|e| e.to_string())?;
        let mut shell = Command::new("/bin/sh");
        // No process outlives the case, however it ends. Only async-signal-safe calls are made between fork and exec.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = shell
            .args(["-c", &format!("exec 3<&0 </dev/null; {command}")])
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_SOCKET_FD", "3")
            .env("TMPDIR", folder.join("shared"))
            .env_remove("ROUTER_CONSOLE")
            .stdin(Stdio::from(socket))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{command}: {e}"))?;
        let pid = child.id() as i32;
        let child = Arc::new(Mutex::new(child));
        self.world.add_process(child.clone());
        self.world.note(&format!("{name} started, executor address {}", executor.address));
        Ok(Process { name, executor, console, child, pid })
    }

    /// Waits until `GET /-/ready` at the process's console is answered with 200.
    pub fn wait_until_ready(&self, process: &Process) -> Result<(), String> {
        let end = Instant::now() + READY_LIMIT;
        while !is_ready(process.console) {
            if Instant::now() > end {
                return Err(format!("{} is not ready within {READY_LIMIT:?}", process.name));
            }
            if lock(&process.child).try_wait().is_ok_and(|status| status.is_some()) {
                return Err(format!("{} has ended", process.name));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.world.note(&format!("{} is ready", process.name));
        Ok(())
    }

    /// Sends SIGTERM to the old process, and SIGKILL after the time that the page states unless it has ended by then.
    pub fn stop_old(&self, process: Process) -> std::thread::JoinHandle<()> {
        process.signal(SIGTERM);
        self.world.note(&format!("SIGTERM to {}", process.name));
        let world = self.world.clone();
        std::thread::spawn(move || {
            let end = Instant::now() + LONGEST_DEADLINE.min(LONGEST_DEADLINE_CAP) + KILL_AFTER_DEADLINE;
            while Instant::now() < end {
                if lock(&process.child).try_wait().is_ok_and(|status| status.is_some()) {
                    world.note(&format!("{} has ended by itself", process.name));
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            let mut child = lock(&process.child);
            let _ = child.kill();
            let _ = child.wait();
            world.note(&format!("SIGKILL to {}", process.name));
        })
    }
}

impl Process {
    fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for, so its number is still its own.
        unsafe { kill(self.pid, signal) };
    }

    /// The process falls silent.
    pub fn stop(&self) {
        self.signal(SIGSTOP);
    }
}

/// The command of the deploy file's `run`.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next()).ok_or("no run in deploy/balancer.toml")?;
    Ok(command.to_owned())
}

/// An address that nothing listens on.
pub fn free_address() -> Result<SocketAddr, String> {
    let socket = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    socket.local_addr().map_err(|e| e.to_string())
}

fn is_ready(console: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(console) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = String::new();
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: console\r\n\r\n").is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 200")
}
