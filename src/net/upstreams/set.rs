//! The set of all upstreams of the worker.

use super::ajp_backend::AjpBackend;
use super::coordinator_link::CoordinatorLink;
use super::directory::Directory;
use super::executor::{Executor, Welcome};
use super::records::Records;
use super::registry::Registry;
use crate::dispatch::Input;
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::Wheel;

/// All services that the worker connects to.
pub struct Upstreams {
    /// The executor; unused if `ajp_backend` is set.
    pub executor: Executor,
    /// AJP servers that run requests instead of the executor.
    pub ajp_backend: Option<AjpBackend>,
    /// The records service, which handles downstream calls.
    pub records: Option<Records>,
    /// The registry, which receives load reports.
    pub registry: Option<Registry>,
    /// The directory, which maps AJP clients to tenants.
    pub directory: Option<Directory>,
    /// The coordinators of the fleet.
    pub coordinators: Option<CoordinatorLink>,
}

impl Upstreams {
    /// Records the readiness of a connection to an upstream; ignores other sources.
    pub fn mark_ready(&mut self, source: Source, readiness: Readiness) {
        match source {
            Source::Executor(id) => self.executor.mark_ready(id, readiness),
            Source::AjpServer(id) => {
                if let Some(backend) = &mut self.ajp_backend {
                    backend.mark_ready(id, readiness);
                }
            }
            Source::Records(id) => {
                if let Some(records) = &mut self.records {
                    records.mark_ready(id, readiness);
                }
            }
            Source::Directory(id) => {
                if let Some(directory) = &mut self.directory {
                    directory.mark_ready(id, readiness);
                }
            }
            Source::Coordinator(id) => {
                if let Some(coordinators) = &mut self.coordinators {
                    coordinators.mark_ready(id, readiness);
                }
            }
            _ => {}
        }
    }

    /// Reads from the executor or the AJP servers.
    pub fn gather_runs(&mut self, now: f64, catalog: &Catalog, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        match &mut self.ajp_backend {
            Some(backend) => backend.gather(now, catalog, inputs, wheel),
            None => self.executor.gather(now, inputs),
        }
    }

    /// Reads replies to downstream calls.
    pub fn gather_calls(&mut self, now: f64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        if let Some(records) = &mut self.records {
            records.gather(now, inputs, wheel);
        }
    }

    /// What the executor reported about its start; `None` while it is not up. AJP servers report nothing about their
    /// start and count as up and warm.
    #[must_use]
    pub fn welcome(&self, now: f64) -> Option<Welcome> {
        if self.ajp_backend.is_some() {
            return Some(Welcome { cold: false, started: now });
        }
        self.executor.welcome()
    }

    /// Whether requests can be run: the executor is connected, or AJP servers are configured.
    #[must_use]
    pub fn can_run(&self) -> bool {
        self.ajp_backend.is_some() || self.executor.is_connected()
    }

    /// Time until the next attempt to connect to the executor (seconds); `None` if it is connected or not used.
    #[must_use]
    pub fn reconnect_in(&self, now: f64) -> Option<f64> {
        if self.ajp_backend.is_some() {
            return None;
        }
        self.executor.reconnect_in(now)
    }

    /// Whether a connection must be processed without a readiness event.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.ajp_backend.as_ref().is_some_and(AjpBackend::has_pending)
            || self.records.as_ref().is_some_and(Records::has_pending)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&mut self, now: f64) {
        if let Some(backend) = &mut self.ajp_backend {
            backend.sweep(now);
        }
        if let Some(records) = &mut self.records {
            records.sweep(now);
        }
    }

    /// Writes data queued for the executor and the directory.
    pub fn flush(&mut self, now: f64) {
        self.executor.flush(now);
        if let Some(directory) = &mut self.directory {
            directory.flush(now);
        }
    }
}
