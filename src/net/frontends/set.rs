//! Owns all frontends. Operations on every frontend iterate over one list here; the rest of the worker is independent
//! of protocols, except for the hand-off of HTTP/1.1 connections.

use super::ajp::AjpFrontend;
use super::frontend::{Frontend, FrontendTurn};
use super::http1::Http1Frontend;
use super::http2::Http2Frontend;
use crate::dispatch::{Input, Response, Ticket};
use crate::net::io::source::{FrontendKind, Readiness};
use crate::net::lifecycle::console::Console;
use crate::net::upstreams::directory::LookupResult;
use crate::net::{Availability, FrontendContext, ListenError};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// The console and all frontends of this process.
pub struct Frontends {
    /// The operators' console: served before the frontends, and open until the process exits.
    pub console: Option<Console>,
    /// The platform's frontend.
    pub http1: Http1Frontend,
    /// Present if an operator has configured it.
    http2: Option<Http2Frontend>,
    /// Present if an operator has configured it.
    ajp: Option<AjpFrontend>,
    /// When idle connections were first closed for the exit of the process (event loop's clock, seconds).
    ended_at: Option<f64>,
}

/// The listening socket of a frontend.
pub struct FrontendListener {
    /// The frontend.
    pub kind: FrontendKind,
    /// The socket.
    pub socket: Rc<TcpListener>,
}

/// The outcome of opening a frontend.
pub struct OpenedFrontend {
    /// The frontend.
    pub kind: FrontendKind,
    /// The address it listens on, or the error.
    pub result: Result<SocketAddr, ListenError>,
}

impl Frontends {
    /// Takes the console and frontends, which may already be listening.
    #[must_use]
    pub fn new(
        console: Option<Console>,
        http1: Http1Frontend,
        http2: Option<Http2Frontend>,
        ajp: Option<AjpFrontend>,
    ) -> Frontends {
        Frontends { console, http1, http2, ajp, ended_at: None }
    }

    /// All frontends, in processing order. New frontends are added here and in [`Self::all_mut`].
    fn all(&self) -> impl Iterator<Item = &dyn Frontend> {
        let http1: Option<&dyn Frontend> = Some(&self.http1);
        let http2 = self.http2.as_ref().map(|http2| http2 as &dyn Frontend);
        let ajp = self.ajp.as_ref().map(|ajp| ajp as &dyn Frontend);
        [http1, http2, ajp].into_iter().flatten()
    }

    fn all_mut(&mut self) -> impl Iterator<Item = &mut dyn Frontend> {
        let http1: Option<&mut dyn Frontend> = Some(&mut self.http1);
        let http2 = self.http2.as_mut().map(|http2| http2 as &mut dyn Frontend);
        let ajp = self.ajp.as_mut().map(|ajp| ajp as &mut dyn Frontend);
        [http1, http2, ajp].into_iter().flatten()
    }

    fn of_kind(&mut self, kind: FrontendKind) -> Option<&mut dyn Frontend> {
        self.all_mut().find(|frontend| frontend.kind() == kind)
    }

    /// Records that connections are waiting to be accepted at a listener.
    pub fn mark_listener_ready(&mut self, kind: FrontendKind) {
        match (kind, &mut self.console) {
            (FrontendKind::Console, Some(console)) => console.connections.mark_listener_ready(),
            _ => {
                if let Some(frontend) = self.of_kind(kind) {
                    frontend.connections_mut().mark_listener_ready();
                }
            }
        }
    }

    /// Records a connection's readiness.
    pub fn mark_ready(&mut self, kind: FrontendKind, id: u64, readiness: Readiness) {
        match (kind, &mut self.console) {
            (FrontendKind::Console, Some(console)) => console.connections.mark_ready(id, readiness),
            _ => {
                if let Some(frontend) = self.of_kind(kind) {
                    frontend.connections_mut().mark_ready(id, readiness);
                }
            }
        }
    }

    /// Accepts connections and reads requests on all frontends. Returns `true` if accepting had to stop early and must
    /// be resumed.
    pub fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool {
        let mut paused = false;
        for frontend in self.all_mut() {
            paused |= frontend.gather(turn);
        }
        paused
    }

    /// Passes a response to the frontend that owns its ticket.
    pub fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        if let Some(frontend) = self.all_mut().find(|frontend| frontend.owns(ticket)) {
            frontend.respond(now, ticket, response, context);
        }
    }

    /// Passes the result of a lookup to the frontend that requested it.
    pub fn complete_lookup(&mut self, ticket: Ticket, result: LookupResult, turn: &mut FrontendTurn<'_>) {
        if let Some(frontend) = self.all_mut().find(|frontend| frontend.owns(ticket)) {
            frontend.complete_lookup(ticket, result, turn);
        }
    }

    /// Whether a connection has to be processed without waiting for a poll event.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.console.as_ref().is_some_and(|console| console.connections.has_pending())
            || self.all().any(|frontend| frontend.connections().has_pending())
    }

    /// Enforces the protocols' own limits on connections.
    pub fn sweep_protocols(&mut self, now: f64, availability: &Availability, inputs: &mut Vec<Input>) {
        for frontend in self.all_mut() {
            frontend.sweep(now, availability, inputs);
        }
    }

    /// Closes connections that have been idle for `idle_s` or are too slow. With `closing`, all idle ones are closed
    /// immediately, except those to be handed off to a successor.
    pub fn sweep_connections(&mut self, now: f64, idle_s: f64, closing: bool, availability: &Availability) {
        if let Some(console) = &mut self.console {
            console.connections.sweep(now, idle_s, false);
        }
        for frontend in self.all_mut() {
            let idle_timeout_s = frontend.idle_timeout_s(idle_s);
            let keeps_idle = availability.handing_off && frontend.hands_off_connections();
            frontend.connections_mut().sweep(now, idle_timeout_s, closing && !keeps_idle);
        }
    }

    /// Whether no response is pending or being written, and no request is partly read.
    #[must_use]
    pub fn all_idle(&self) -> bool {
        self.all().all(|frontend| frontend.connections().all_idle())
    }

    /// Whether nothing is left to hand off: frontends that hand off their connections have none left, and the others
    /// have no request in progress.
    #[must_use]
    pub fn all_handed_off(&self) -> bool {
        let is_done = |frontend: &dyn Frontend| {
            if frontend.hands_off_connections() {
                frontend.connections().is_empty()
            } else {
                frontend.connections().all_idle()
            }
        };
        self.all().all(is_done)
    }

    /// Announces on every connection that this process will close it.
    pub fn announce_close(&mut self) {
        for frontend in self.all_mut() {
            frontend.announce_close();
        }
    }

    /// Answers requests that wait for anything other than the dispatcher, or passes them to it.
    pub fn respond_all(&mut self, turn: &mut FrontendTurn<'_>) {
        for frontend in self.all_mut() {
            frontend.respond_all(turn);
        }
    }

    /// Accepts the waiting connections, then closes all listeners. Returns `false` if some may still be waiting: the
    /// caller retries after it has processed other connections.
    pub fn close_listeners(&mut self, now: f64) -> bool {
        let mut all_closed = true;
        for frontend in self.all_mut() {
            all_closed &= frontend.connections_mut().close_listener(now);
        }
        all_closed
    }

    /// Stops accepting, even if connections are waiting at the listeners.
    pub fn stop_listening(&mut self) {
        for frontend in self.all_mut() {
            frontend.connections_mut().stop_listening();
        }
    }

    /// The listening sockets to send to a successor.
    #[must_use]
    pub fn listeners_to_hand_off(&self) -> Vec<FrontendListener> {
        let listener_of = |frontend: &dyn Frontend| {
            let socket = frontend.listener_to_hand_off()?;
            Some(FrontendListener { kind: frontend.kind(), socket })
        };
        self.all().filter_map(listener_of).collect()
    }

    /// Opens the operator-configured frontends that don't listen yet: on the predecessor's socket if there is one,
    /// otherwise at the configured address.
    pub fn open_operator_frontends(&mut self, mut listeners: Vec<FrontendListener>) -> Vec<OpenedFrontend> {
        let mut opened = Vec::new();
        let operator_frontends = self.all_mut().filter(|frontend| frontend.kind() != FrontendKind::Http1);
        for frontend in operator_frontends {
            if frontend.connections().address().is_some() {
                continue;
            }
            let kind = frontend.kind();
            let socket = take_socket(&mut listeners, kind);
            match (frontend.open(socket), frontend.connections().address()) {
                (Ok(()), Some(address)) => opened.push(OpenedFrontend { kind, result: Ok(address) }),
                (Ok(()), None) => {}
                (Err(error), _) => opened.push(OpenedFrontend { kind, result: Err(error) }),
            }
        }
        opened
    }

    /// Closes all idle connections; with `include_partial`, also those that have sent part of a request. Returns `true`
    /// on the first call.
    pub fn end_connections(&mut self, now: f64, include_partial: bool) -> bool {
        for frontend in self.all_mut() {
            frontend.connections_mut().close_idle(now, include_partial);
        }
        let is_first = self.ended_at.is_none();
        self.ended_at.get_or_insert(now);
        is_first
    }

    /// Whether all remaining connections are held by a successor.
    #[must_use]
    pub fn all_closed_or_handed_off(&self) -> bool {
        self.all().all(|frontend| frontend.connections().all_closed_or_handed_off())
    }

    /// Whether at least `duration_s` seconds have passed since connections were first closed for the exit.
    #[must_use]
    pub fn ended_for(&self, now: f64, duration_s: f64) -> bool {
        self.ended_at.is_some_and(|at| now >= at + duration_s)
    }

    /// Discards unread input, as the last step before the process exits: with unread bytes, the exit would send resets.
    pub fn drop_unread(&mut self) {
        for frontend in self.all_mut() {
            frontend.connections_mut().drop_unread();
        }
        if let Some(console) = &mut self.console {
            console.connections.drop_unread();
        }
    }

    /// The addresses on which the console and the frontends listen.
    pub fn addresses(&self) -> impl Iterator<Item = (FrontendKind, SocketAddr)> + '_ {
        let console = self.console.as_ref().and_then(|console| console.connections.address());
        let console = console.map(|address| (FrontendKind::Console, address));
        let others =
            self.all().filter_map(|frontend| Some((frontend.kind(), frontend.connections().address()?)));
        console.into_iter().chain(others)
    }
}

/// Takes the socket of a frontend from those that the predecessor sent.
fn take_socket(listeners: &mut Vec<FrontendListener>, kind: FrontendKind) -> Option<Rc<TcpListener>> {
    let index = listeners.iter().position(|listener| listener.kind == kind)?;
    Some(listeners.swap_remove(index).socket)
}
