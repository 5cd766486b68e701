//! A coordinator's sockets, disk and clock, round [`crate::coordinator`]. One loop; the disk has a thread of its own,
//! since a sync may take seconds and the loop must go on saying so.

use crate::config::File;
use crate::coordinator::{next_frame, Coordinator, Output, PeerAnswer, PEER_MOST_BYTES, WORD_MOST_BYTES};
use crate::replica::{carry_out, DiskJob, DiskResult};
use calloop::channel::{channel, Event as Told, Sender};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::EventLoop;
use durable_log::Folder;
use port_worker::fleet::frame::MAX_CLIENT_FRAME_BYTES;
use port_worker::net::io::buffer::{Filled, Link};
use port_worker::net::io::poll::{Accepted, Acceptor, Gathered, Place, Poll};
use rustix::time::{clock_gettime, ClockId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Links at once: as many sessions as the facts allow, peers and operators among them (descriptors).
const LINKS_MOST: usize = 4096 + 64;
/// How often time is looked at (seconds).
const TICK_S: f64 = 0.02;
/// A link that says nothing whole for so long is closed (seconds): workers say something every second.
const SILENT_S: f64 = 30.0;
/// How often all links are looked at (seconds).
const SWEEP_S: f64 = 1.0;
/// How often a peer that is not linked is tried (seconds).
const DIAL_S: f64 = 0.2;
/// What may wait to be written on one link (bytes).
const QUEUED_MOST: usize = 2 * PEER_MOST_BYTES;
/// Frames taken from one link in one turn.
const FRAMES_MOST: usize = 128;

struct Inbound {
    link: Link,
    heard: f64,
    closing: bool,
}

/// The link to one peer, for what this member says.
struct Outbound {
    name: String,
    address: std::net::SocketAddr,
    link: Option<(u64, Link)>,
    stage: Stage,
    dialled: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Dialling,
    Greeted,
    Up,
}

/// Seconds on a clock that no setting of the time moves and that goes on during sleep.
fn boot_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Runs a coordinator until it is told to end.
///
/// # Errors
/// One line: what can't be used.
pub fn run(path: &Path) -> Result<(), String> {
    let file = File::read(path)?;
    let mut events: EventLoop<Gathered> = EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])
        .map_err(|e| format!("signals: {e}"))?;
    handle
        .insert_source(signals, |event, _, gathered: &mut Gathered| match event.signal() {
            Signal::SIGHUP => gathered.reload = true,
            // A write beyond the limit on files has failed: the disk's thread says so.
            Signal::SIGXFSZ => {}
            _ => gathered.leave = true,
        })
        .map_err(|e| format!("signals: {e}"))?;
    let poll = Poll::new(handle.clone(), LINKS_MOST);
    let listen = file.listens().ok_or("listen: there is no address")?;
    let acceptor =
        Acceptor::bind(&poll, listen, Place::FleetListener).map_err(|e| format!("listen {listen}: {e}"))?;
    let at = acceptor.address().map_err(|e| e.to_string())?;
    let (answers, answered) = channel();
    let done: Rc<RefCell<Vec<(u64, DiskResult)>>> = Rc::default();
    let inbox = done.clone();
    handle
        .insert_source(answered, move |event, _, _: &mut Gathered| {
            if let Told::Msg(answer) = event {
                inbox.borrow_mut().push(answer);
            }
        })
        .map_err(|e| format!("disk: {e}"))?;
    let timer = Timer::from_duration(Duration::from_secs_f64(TICK_S));
    handle
        .insert_source(timer, |_, _, _| TimeoutAction::ToDuration(Duration::from_secs_f64(TICK_S)))
        .map_err(|e| format!("timer: {e}"))?;
    let start = boot_s();
    let seed = u64::from(std::process::id()) << 32 ^ (start * 1e9) as u64;
    let mut shell = Shell {
        poll,
        acceptor,
        start,
        inbound: BTreeMap::new(),
        peers: file
            .coordinators
            .iter()
            .filter(|p| p.name != file.name)
            .map(|p| Outbound {
                name: p.name.clone(),
                address: p.address,
                link: None,
                stage: Stage::Dialling,
                dialled: f64::NEG_INFINITY,
            })
            .collect(),
        disk: disk_thread(&file.folder, answers),
        machine: Coordinator::new(0.0, file.setup(), seed),
        file,
        touched: BTreeSet::new(),
        swept: 0.0,
    };
    tracing::info!(coordinator = %shell.file.name, fleet = %shell.file.fleet, %at, "listens");
    let mut gathered = Gathered::default();
    shell.carry_out();
    while !gathered.leave {
        events.dispatch(None, &mut gathered).map_err(|e| format!("event loop: {e}"))?;
        let answers = std::mem::take(&mut *done.borrow_mut());
        shell.turn(&mut gathered, answers, path);
    }
    tracing::info!(coordinator = %shell.file.name, "ends");
    Ok(())
}

/// The thread that alone touches the folder: one job after the other.
fn disk_thread(folder: &Path, answers: Sender<(u64, DiskResult)>) -> std::sync::mpsc::Sender<(u64, DiskJob)> {
    let (jobs, todo) = std::sync::mpsc::channel::<(u64, DiskJob)>();
    let folder: PathBuf = folder.to_owned();
    std::thread::spawn(move || {
        let mut store = None;
        for (number, job) in todo {
            let done = carry_out(&mut store, &job, || Folder::lock(&folder));
            if answers.send((number, done)).is_err() {
                break;
            }
        }
    });
    jobs
}

struct Shell {
    poll: Poll,
    acceptor: Acceptor,
    start: f64,
    inbound: BTreeMap<u64, Inbound>,
    peers: Vec<Outbound>,
    disk: std::sync::mpsc::Sender<(u64, DiskJob)>,
    machine: Coordinator,
    file: File,
    /// Links on which something may be read.
    touched: BTreeSet<u64>,
    swept: f64,
}

impl Shell {
    fn now(&self) -> f64 {
        boot_s() - self.start
    }

    fn turn(&mut self, gathered: &mut Gathered, answers: Vec<(u64, DiskResult)>, path: &Path) {
        let now = self.now();
        for (place, readable, writable) in gathered.take() {
            match place {
                Place::FleetListener => self.acceptor.mark(),
                Place::Fleet(id) => {
                    let peer =
                        self.peers.iter_mut().filter_map(|p| p.link.as_mut()).find(|(own, _)| *own == id);
                    let link = self.inbound.get_mut(&id).map(|i| &mut i.link);
                    if let Some(link) = link.or(peer.map(|(_, link)| link)) {
                        link.mark(readable, writable);
                    }
                    self.touched.insert(id);
                }
                _ => {}
            }
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, path);
        }
        for (number, done) in answers {
            self.machine.disk_done(now, number, done);
        }
        self.accept(now);
        self.follow_peers(now);
        self.hear(now);
        self.machine.tick(now);
        self.carry_out();
        self.flush(now);
    }

    /// Takes up the tasks of a file that is sound; the rest of it wants a restart.
    fn reload(&mut self, now: f64, path: &Path) {
        match File::read(path) {
            Ok(file) => {
                tracing::info!(epoch = file.epoch, tasks = file.tasks.len(), "reload");
                let rest = File { epoch: self.file.epoch, tasks: self.file.tasks.clone(), ..file.clone() };
                if rest != self.file {
                    tracing::warn!("reload: only epoch and tasks are taken up before a restart");
                }
                (self.file.epoch, self.file.tasks) = (file.epoch, file.tasks.clone());
                self.machine.reload(now, file.epoch, file.tasks);
            }
            Err(why) => tracing::warn!(%why, "reload: the old tasks stay"),
        }
    }

    fn accept(&mut self, now: f64) {
        let mut taken = 0;
        while let Accepted::Stream(stream) = self.acceptor.accept(taken) {
            taken += 1;
            let id = self.poll.fresh();
            let made = stream
                .set_nonblocking(true)
                .and_then(|()| Link::new(&self.poll, stream, Place::Fleet(id), MAX_CLIENT_FRAME_BYTES + 4));
            if let Ok(link) = made {
                self.machine.opened(id);
                self.touched.insert(id);
                self.inbound.insert(id, Inbound { link, heard: now, closing: false });
            }
        }
    }

    fn hear(&mut self, now: f64) {
        if now - self.swept >= SWEEP_S {
            // Silent links are found by looking at all of them, now and then.
            self.swept = now;
            self.touched.extend(self.inbound.keys());
        }
        for id in std::mem::take(&mut self.touched) {
            let Some(own) = self.inbound.get_mut(&id).filter(|i| !i.closing) else { continue };
            let filled = own.link.fill();
            let mut over = filled != Filled::Open || now - own.heard > SILENT_S;
            for n in 0..FRAMES_MOST {
                if n + 1 == FRAMES_MOST {
                    self.touched.insert(id);
                }
                let most = self.machine.frame_most(id);
                let Some(own) = self.inbound.get_mut(&id).filter(|i| !i.closing) else { break };
                own.link.set_room(most + 4);
                let result = match next_frame(own.link.data(), most) {
                    Ok(None) => {
                        if own.link.unread() {
                            self.touched.insert(id);
                        }
                        break;
                    }
                    Ok(Some((body, length))) => {
                        let result = self.machine.heard(now, id, body);
                        own.heard = now;
                        own.link.consume(length);
                        if own.link.unread() {
                            // The buffer was full: the rest lies in the socket, and nobody will tell of it again.
                            self.touched.insert(id);
                        }
                        result
                    }
                    Err(why) => Err(why),
                };
                self.carry_out();
                if let Err(why) = result {
                    tracing::debug!(link = id, %why, "closed");
                    over = true;
                    break;
                }
            }
            if over {
                self.end(id);
            }
        }
    }

    fn end(&mut self, id: u64) {
        if let Some(mut own) = self.inbound.remove(&id) {
            // The last word may still go.
            let _ = own.link.flush();
            self.machine.closed(id);
        }
    }

    fn follow_peers(&mut self, now: f64) {
        let mut answers = Vec::new();
        for peer in &mut self.peers {
            let Some((_, link)) = &mut peer.link else {
                if now - peer.dialled >= DIAL_S {
                    peer.dialled = now;
                    let id = self.poll.fresh();
                    peer.stage = Stage::Dialling;
                    peer.link = Link::connect(&self.poll, peer.address, Place::Fleet(id), PEER_MOST_BYTES)
                        .ok()
                        .map(|link| (id, link));
                }
                continue;
            };
            let mut sound = true;
            if peer.stage == Stage::Dialling {
                match link.connected() {
                    None => sound = now - peer.dialled < 2.0,
                    Some(Ok(())) => {
                        link.mark(true, true);
                        link.push(self.machine.peer_hello());
                        peer.stage = Stage::Greeted;
                    }
                    Some(Err(_)) => sound = false,
                }
            }
            if sound && peer.stage != Stage::Dialling {
                sound = link.fill() == Filled::Open;
                match next_frame(link.data(), WORD_MOST_BYTES) {
                    Ok(Some((body, length))) => {
                        match serde_json::from_slice::<PeerAnswer>(body) {
                            Ok(answer) => {
                                peer.stage = Stage::Up;
                                answers.push((peer.name.clone(), answer));
                            }
                            Err(_) => sound = false,
                        }
                        link.consume(length);
                    }
                    Ok(None) => {}
                    Err(_) => sound = false,
                }
            }
            if !sound {
                peer.link = None;
            }
        }
        for (name, answer) in answers {
            self.machine.peer_answered(now, &name, answer);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        for out in self.machine.take_out() {
            match out {
                Output::Frame(id, bytes) => {
                    if let Some(own) = self.inbound.get_mut(&id) {
                        own.link.push(bytes);
                    }
                }
                Output::Close(id) => {
                    if let Some(own) = self.inbound.get_mut(&id) {
                        own.closing = true;
                    }
                }
                Output::Peer(name, bytes) => {
                    // The consensus library sends again what is lost.
                    let up = self.peers.iter_mut().find(|p| p.name == name && p.stage == Stage::Up);
                    if let Some((_, link)) = up.and_then(|p| p.link.as_mut()) {
                        link.push(bytes);
                    }
                }
                Output::Relink => self.peers.iter_mut().for_each(|p| p.link = None),
                Output::Disk(number, job) => {
                    // The thread ends with this one; there is nothing to be told by then.
                    let _ = self.disk.send((number, job));
                }
                Output::Note(true, text) => tracing::warn!(coordinator = %self.file.name, "{text}"),
                Output::Note(false, text) => tracing::info!(coordinator = %self.file.name, "{text}"),
            }
        }
    }

    fn flush(&mut self, _: f64) {
        for peer in &mut self.peers {
            let broken = peer.stage != Stage::Dialling
                && peer.link.as_mut().is_some_and(|(_, l)| l.flush().is_err() || l.queued() > QUEUED_MOST);
            if broken {
                peer.link = None;
            }
        }
        let broken: Vec<u64> = self
            .inbound
            .iter_mut()
            .filter_map(|(id, own)| {
                let bad = own.link.flush().is_err() || own.link.queued() > QUEUED_MOST;
                (bad || own.closing && own.link.queued() == 0).then_some(*id)
            })
            .collect();
        broken.into_iter().for_each(|id| self.end(id));
    }
}
