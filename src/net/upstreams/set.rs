//! The owner of all upstreams: what runs requests, what they call, and what the worker reports to.

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

/// All that this process connects to.
pub struct Upstreams {
    /// Runs requests, unless AJP servers do.
    pub executor: Executor,
    /// AJP servers that run requests in the place of the executor.
    pub ajp_backend: Option<AjpBackend>,
    /// Takes downstream calls.
    pub records: Option<Records>,
    /// Takes load reports.
    pub registry: Option<Registry>,
    /// Knows the tenants of AJP clients.
    pub directory: Option<Directory>,
    /// The coordinators of the fleet.
    pub coordinators: Option<CoordinatorLink>,
}

impl Upstreams {
    /// Records what a connection to an upstream is ready for. Other sources are none of its own.
    pub fn mark(&mut self, source: Source, readiness: Readiness) {
        match source {
            Source::Executor(id) => self.executor.mark(id, readiness),
            Source::AjpServer(id) => {
                if let Some(servers) = &mut self.ajp_backend {
                    servers.mark(id, readiness);
                }
            }
            Source::Records(id) => {
                if let Some(records) = &mut self.records {
                    records.mark(id, readiness);
                }
            }
            Source::Directory(id) => {
                if let Some(directory) = &mut self.directory {
                    directory.mark(id, readiness);
                }
            }
            Source::Coordinator(id) => {
                if let Some(coordinators) = &mut self.coordinators {
                    coordinators.mark(id, readiness);
                }
            }
            _ => {}
        }
    }

    /// Reads from whatever runs requests.
    pub fn gather_runs(&mut self, now: f64, catalog: &Catalog, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        match &mut self.ajp_backend {
            Some(servers) => servers.gather(now, catalog, inputs, wheel),
            None => self.executor.gather(now, inputs),
        }
    }

    /// Reads replies to downstream calls.
    pub fn gather_calls(&mut self, now: f64, inputs: &mut Vec<Input>, wheel: &mut Wheel) {
        if let Some(records) = &mut self.records {
            records.gather(now, inputs, wheel);
        }
    }

    /// How far the start of whatever runs requests has come; none while it is not up. AJP servers report nothing of their
    /// start: they count as up and warm.
    #[must_use]
    pub fn welcome(&self, now: f64) -> Option<Welcome> {
        if self.ajp_backend.is_some() {
            return Some(Welcome { cold: false, started: now });
        }
        self.executor.welcome()
    }

    /// Whether requests can be handed to something that runs them.
    #[must_use]
    pub fn can_run(&self) -> bool {
        self.ajp_backend.is_some() || self.executor.is_connected()
    }

    /// When the link to the executor is to be connected anew, where it is lost and in use (seconds from now).
    #[must_use]
    pub fn reconnect_in(&self, now: f64) -> Option<f64> {
        if self.ajp_backend.is_some() {
            return None;
        }
        self.executor.reconnect_in(now)
    }

    /// Whether a connection is to be processed without an event of the poll.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.ajp_backend.as_ref().is_some_and(AjpBackend::has_pending)
            || self.records.as_ref().is_some_and(Records::has_pending)
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&mut self, now: f64) {
        if let Some(servers) = &mut self.ajp_backend {
            servers.sweep(now);
        }
        if let Some(records) = &mut self.records {
            records.sweep(now);
        }
    }

    /// Writes what waits for the executor and the directory.
    pub fn flush(&mut self, now: f64) {
        self.executor.flush(now);
        if let Some(directory) = &mut self.directory {
            directory.flush(now);
        }
    }
}
