//! The server: passes received messages to the coordinator and executes its outputs.

use super::clock::boot_time_s;
use super::disk_thread::{self, JobResult, NumberedJob};
use super::inbound::{InboundLinks, LinkState, ReadResult};
use super::limits::MAX_FRAMES_PER_TURN;
use super::peers::PeerLinks;
use crate::config::ConfigFile;
use crate::coordinator::{Coordinator, Output};
use crate::events::ServerEvent;
use crate::ids::LinkId;
use calloop::channel::Sender;
use port_worker::log::LogEvent;
use port_worker::net::io::buffer::Link;
use port_worker::net::io::poll::{Acceptor, Poll, ReadyEvents};
use port_worker::net::io::source::{ReadySource, Source};
use std::path::Path;
use std::sync::mpsc;

pub(super) struct Server {
    poll: Poll,
    acceptor: Acceptor,
    /// When the server was started, on the boot clock (seconds). The coordinator's times are relative to it.
    started_at: f64,
    inbound: InboundLinks,
    peers: PeerLinks,
    disk_jobs: mpsc::Sender<NumberedJob>,
    coordinator: Coordinator,
    pub(super) file: ConfigFile,
}

impl Server {
    pub(super) fn new(
        poll: Poll,
        acceptor: Acceptor,
        file: ConfigFile,
        results: Sender<JobResult>,
        started_at: f64,
        seed: u64,
    ) -> Server {
        Server {
            poll,
            acceptor,
            started_at,
            inbound: InboundLinks::default(),
            peers: PeerLinks::new(&file),
            disk_jobs: disk_thread::spawn(&file.folder, results),
            coordinator: Coordinator::new(0.0, file.coordinator_config(), seed),
            file,
        }
    }

    /// Processes the events gathered by the event loop and the results of disk jobs, and does the periodic work that is due.
    pub(super) fn poll_once(&mut self, gathered: &mut ReadyEvents, results: Vec<JobResult>, path: &Path) {
        let now = boot_time_s() - self.started_at;
        for ready in gathered.take() {
            self.mark_ready(ready);
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, path);
        }
        for JobResult { number, result } in results {
            self.coordinator.on_disk_result(now, number, result);
        }
        self.accept(now);
        self.poll_peers(now);
        self.receive(now);
        self.coordinator.tick(now);
        self.execute_outputs();
        self.flush();
    }

    fn mark_ready(&mut self, ready: ReadySource) {
        match ready.source {
            Source::CoordinatorListener => self.acceptor.mark_ready(),
            Source::Coordinator(number) => {
                let id = LinkId(number);
                if let Some(link) = self.link(id) {
                    link.mark_ready(ready.readiness);
                }
                self.inbound.mark_readable(id);
            }
            _ => {}
        }
    }

    fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.inbound.link(id).or_else(|| self.peers.link(id))
    }

    /// Reloads the configuration file. Only its tasks and epoch are applied; other changes need a restart.
    fn reload(&mut self, now: f64, path: &Path) {
        match ConfigFile::read(path) {
            Ok(file) => {
                ServerEvent::ConfigReloaded { epoch: file.epoch, tasks: file.tasks.len() }.emit();
                let keys = self.file.restart_keys(&file);
                if !keys.is_empty() {
                    ServerEvent::ConfigReloadDeferred { keys }.emit();
                }
                self.file.epoch = file.epoch;
                self.file.tasks.clone_from(&file.tasks);
                self.coordinator.reload(now, file.epoch, file.tasks);
            }
            Err(error) => ServerEvent::ConfigReloadRejected { cause: error.to_string() }.emit(),
        }
    }

    fn accept(&mut self, now: f64) {
        for id in self.inbound.accept(now, &self.poll, &mut self.acceptor) {
            self.coordinator.on_link_opened(id);
        }
    }

    /// Connects to peers and passes their answers to the coordinator.
    fn poll_peers(&mut self, now: f64) {
        let answers = self.peers.poll(now, &self.poll, || self.coordinator.peer_hello());
        for answered in answers {
            self.coordinator.on_peer_answer(now, &answered.peer, answered.answer);
            self.execute_outputs();
        }
    }

    fn receive(&mut self, now: f64) {
        for id in self.inbound.take_readable(now) {
            self.receive_on(now, id);
        }
    }

    fn receive_on(&mut self, now: f64, id: LinkId) {
        let Some(mut state) = self.inbound.fill(now, id) else { return };
        for count in 1..=MAX_FRAMES_PER_TURN {
            if count == MAX_FRAMES_PER_TURN {
                // More frames may be left; they are read in the next turn.
                self.inbound.mark_readable(id);
            }
            let limit = self.coordinator.max_frame_bytes(id);
            let coordinator = &mut self.coordinator;
            let taken = self.inbound.take_frame(now, id, limit, |body| coordinator.receive(now, id, body));
            let cause = match taken {
                ReadResult::Nothing => break,
                ReadResult::Frame(Ok(())) => None,
                ReadResult::Frame(Err(error)) => Some(error.to_string()),
                ReadResult::TooLong(cause) => Some(cause),
            };
            self.execute_outputs();
            if let Some(cause) = cause {
                ServerEvent::LinkRejected { link: id, cause }.emit();
                state = LinkState::Ended;
                break;
            }
        }
        if state == LinkState::Ended {
            self.close(id);
        }
    }

    fn close(&mut self, id: LinkId) {
        if self.inbound.close(id) {
            self.coordinator.on_link_closed(id);
        }
    }

    pub(super) fn execute_outputs(&mut self) {
        for output in self.coordinator.take_outputs() {
            match output {
                Output::Frame(id, bytes) => {
                    if let Some(link) = self.inbound.link(id) {
                        link.push(bytes);
                    }
                }
                Output::Close(id) => self.inbound.start_closing(id),
                // A message to a peer without a link is dropped; the Raft library sends it again.
                Output::Peer(name, bytes) => self.peers.send(&name, bytes),
                Output::ReconnectPeers => self.peers.disconnect_all(),
                Output::Disk(number, job) => {
                    // The send can't fail, since the thread ends only with this server.
                    let _ = self.disk_jobs.send(NumberedJob { number, job });
                }
                Output::Log(event) => event.emit(),
            }
        }
    }

    fn flush(&mut self) {
        self.peers.flush();
        for id in self.inbound.flush() {
            self.close(id);
        }
    }
}
