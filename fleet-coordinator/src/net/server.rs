//! The coordinator with its links: what is received goes in, and what it puts out is carried out.

use super::inbound::Inbound;
use super::peers::Peer;
use super::{boot_time_s, disk_thread, JobResult};
use crate::config::File;
use crate::coordinator::{Coordinator, Output, MAX_PEER_FRAME_BYTES};
use crate::events::ServerEvent;
use crate::replica::DiskJob;
use calloop::channel::Sender;
use port_worker::log::LogEvent;
use port_worker::net::io::buffer::Link;
use port_worker::net::io::poll::{Acceptor, Gathered, Place, Poll};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::mpsc;

/// The largest amount of data that waits to be written on one link (bytes); a link beyond that is closed.
pub(super) const MAX_QUEUED_BYTES: usize = 2 * MAX_PEER_FRAME_BYTES;

pub(super) struct Server {
    pub(super) poll: Poll,
    pub(super) acceptor: Acceptor,
    /// On the boot clock: the coordinator's time is counted from here.
    started_at: f64,
    pub(super) inbound: BTreeMap<u64, Inbound>,
    pub(super) peers: Vec<Peer>,
    disk_jobs: mpsc::Sender<(u64, DiskJob)>,
    pub(super) coordinator: Coordinator,
    pub(super) file: File,
    /// Links on which something may have been received.
    pub(super) touched: BTreeSet<u64>,
    /// When all links were last looked at.
    pub(super) swept_at: f64,
}

impl Server {
    pub(super) fn new(
        poll: Poll,
        acceptor: Acceptor,
        file: File,
        results: Sender<JobResult>,
        started_at: f64,
        seed: u64,
    ) -> Server {
        let others = file.coordinators.iter().filter(|coordinator| coordinator.name != file.name);
        Server {
            poll,
            acceptor,
            started_at,
            inbound: BTreeMap::new(),
            peers: others.map(Peer::new).collect(),
            disk_jobs: disk_thread::spawn(&file.folder, results),
            coordinator: Coordinator::new(0.0, file.coordinator_config(), seed),
            file,
            touched: BTreeSet::new(),
            swept_at: 0.0,
        }
    }

    /// Processes what the event loop has gathered, and all that is due.
    pub(super) fn poll_once(&mut self, gathered: &mut Gathered, results: Vec<JobResult>, path: &Path) {
        let now = boot_time_s() - self.started_at;
        for (place, readable, writable) in gathered.take() {
            self.mark_ready(place, readable, writable);
        }
        if std::mem::take(&mut gathered.reload) {
            self.reload(now, path);
        }
        for (number, result) in results {
            self.coordinator.disk_done(now, number, result);
        }
        self.accept(now);
        self.poll_peers(now);
        self.receive(now);
        self.coordinator.tick(now);
        self.carry_out();
        self.flush();
    }

    fn mark_ready(&mut self, place: Place, readable: bool, writable: bool) {
        match place {
            Place::FleetListener => self.acceptor.mark(),
            Place::Fleet(id) => {
                if let Some(link) = self.link(id) {
                    link.mark(readable, writable);
                }
                self.touched.insert(id);
            }
            _ => {}
        }
    }

    fn link(&mut self, id: u64) -> Option<&mut Link> {
        if let Some(inbound) = self.inbound.get_mut(&id) {
            return Some(&mut inbound.link);
        }
        self.peers.iter_mut().find_map(|peer| peer.link_with_id(id))
    }

    /// Takes up the tasks of a valid file; all other changes need a restart.
    fn reload(&mut self, now: f64, path: &Path) {
        match File::read(path) {
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

    pub(super) fn carry_out(&mut self) {
        for output in self.coordinator.take_outputs() {
            match output {
                Output::Frame(id, bytes) => {
                    if let Some(inbound) = self.inbound.get_mut(&id) {
                        inbound.link.push(bytes);
                    }
                }
                Output::Close(id) => {
                    if let Some(inbound) = self.inbound.get_mut(&id) {
                        inbound.closing = true;
                    }
                }
                // The consensus library repeats what is lost.
                Output::Peer(name, bytes) => {
                    if let Some(peer) = self.peers.iter_mut().find(|peer| peer.is_up(&name)) {
                        peer.push(bytes);
                    }
                }
                Output::Relink => self.peers.iter_mut().for_each(Peer::disconnect),
                Output::Disk(number, job) => {
                    // The thread ends only with this server.
                    let _ = self.disk_jobs.send((number, job));
                }
                Output::Log(event) => event.emit(),
            }
        }
    }

    fn flush(&mut self) {
        for peer in &mut self.peers {
            peer.flush();
        }
        let ended: Vec<u64> = self
            .inbound
            .iter_mut()
            .filter_map(|(id, inbound)| inbound.flush_or_end().then_some(*id))
            .collect();
        for id in ended {
            self.close_inbound(id);
        }
    }
}
