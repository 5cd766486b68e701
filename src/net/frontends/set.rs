//! The owner of all frontends. What is done to every frontend is done here, over one list; the rest of the worker names
//! no protocol, but for the hand-off of HTTP/1.1 connections.

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

/// All that accepts connections in this process.
pub struct Frontends {
    /// The operators' console: served before the frontends, and open until the process ends.
    pub console: Option<Console>,
    /// The platform's frontend.
    pub http1: Http1Frontend,
    /// Set up by an operator.
    http2: Option<Http2Frontend>,
    /// Set up by an operator.
    ajp: Option<AjpFrontend>,
    /// When idle connections were first ended for the end of the process (loop's clock, seconds).
    ended_at: Option<f64>,
}

/// The socket that a frontend listens at.
pub struct FrontendListener {
    /// Which frontend.
    pub kind: FrontendKind,
    /// The socket.
    pub socket: Rc<TcpListener>,
}

/// How the attempt to open a frontend went.
pub struct OpenedFrontend {
    /// Which frontend.
    pub kind: FrontendKind,
    /// Its address, or why it can't listen.
    pub result: Result<SocketAddr, ListenError>,
}

impl Frontends {
    /// Frontends that may listen already.
    #[must_use]
    pub fn new(
        console: Option<Console>,
        http1: Http1Frontend,
        http2: Option<Http2Frontend>,
        ajp: Option<AjpFrontend>,
    ) -> Frontends {
        Frontends { console, http1, http2, ajp, ended_at: None }
    }

    /// Every frontend, in the order in which they are processed. A further frontend is added here and in [`Self::all_mut`].
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

    /// Records that connections wait at a listener.
    pub fn mark_listener(&mut self, kind: FrontendKind) {
        match (kind, &mut self.console) {
            (FrontendKind::Console, Some(console)) => console.connections.mark_listener(),
            _ => {
                if let Some(frontend) = self.of_kind(kind) {
                    frontend.connections_mut().mark_listener();
                }
            }
        }
    }

    /// Records a connection's readiness.
    pub fn mark(&mut self, kind: FrontendKind, id: u64, readiness: Readiness) {
        match (kind, &mut self.console) {
            (FrontendKind::Console, Some(console)) => console.connections.mark(id, readiness),
            _ => {
                if let Some(frontend) = self.of_kind(kind) {
                    frontend.connections_mut().mark(id, readiness);
                }
            }
        }
    }

    /// Accepts and reads at all frontends. Returns `true` if accepting had to stop early and is to be resumed.
    pub fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool {
        let mut paused = false;
        for frontend in self.all_mut() {
            paused |= frontend.gather(turn);
        }
        paused
    }

    /// Hands a response to the frontend that its ticket belongs to.
    pub fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        if let Some(frontend) = self.all_mut().find(|frontend| frontend.owns(ticket)) {
            frontend.respond(now, ticket, response, context);
        }
    }

    /// Hands the result of a lookup to the frontend that requested it.
    pub fn complete_lookup(&mut self, ticket: Ticket, result: LookupResult, turn: &mut FrontendTurn<'_>) {
        if let Some(frontend) = self.all_mut().find(|frontend| frontend.owns(ticket)) {
            frontend.complete_lookup(ticket, result, turn);
        }
    }

    /// Whether a connection is to be processed without an event of the poll.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.console.as_ref().is_some_and(|console| console.connections.has_pending())
            || self.all().any(|frontend| frontend.connections().has_pending())
    }

    /// Ends connections by the limits of their protocols.
    pub fn sweep_protocols(&mut self, now: f64, availability: &Availability, inputs: &mut Vec<Input>) {
        for frontend in self.all_mut() {
            frontend.sweep(now, availability, inputs);
        }
    }

    /// Ends connections that have been idle for `idle_s` or are too slow. With `closing` all idle ones are ended at once,
    /// but for those that a successor is handed.
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

    /// Whether no response is pending or being written, and no request is half read.
    #[must_use]
    pub fn all_idle(&self) -> bool {
        self.all().all(|frontend| frontend.connections().all_idle())
    }

    /// Whether nothing is left here for a successor: frontends that hand off their connections have none.
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

    /// Announces on all connections that this process will close them.
    pub fn announce_close(&mut self) {
        for frontend in self.all_mut() {
            frontend.announce_close();
        }
    }

    /// Answers requests that wait for something else than the dispatcher.
    pub fn respond_all(&mut self, turn: &mut FrontendTurn<'_>) {
        for frontend in self.all_mut() {
            frontend.respond_all(turn);
        }
    }

    /// Closes all listeners, after what waits there was accepted. Returns `false` where some may still wait, until other
    /// connections have been processed.
    pub fn close_listeners(&mut self, now: f64) -> bool {
        let mut all_closed = true;
        for frontend in self.all_mut() {
            all_closed &= frontend.connections_mut().close_listener(now);
        }
        all_closed
    }

    /// Accepts nothing more, whatever waits at the listeners.
    pub fn stop_listening(&mut self) {
        for frontend in self.all_mut() {
            frontend.connections_mut().stop_listening();
        }
    }

    /// The sockets that a successor is sent.
    #[must_use]
    pub fn listeners_to_hand_off(&self) -> Vec<FrontendListener> {
        let listener_of = |frontend: &dyn Frontend| {
            let socket = frontend.listener_to_hand_off()?;
            Some(FrontendListener { kind: frontend.kind(), socket })
        };
        self.all().filter_map(listener_of).collect()
    }

    /// Opens the frontends that an operator set up and that don't listen yet: at a socket from the predecessor where there
    /// is one, or else at the configured address.
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

    /// Ends all idle connections, and with `at_once` those that have sent half a request. Returns `true` the first time.
    pub fn end_connections(&mut self, now: f64, at_once: bool) -> bool {
        for frontend in self.all_mut() {
            frontend.connections_mut().close_idle(now, at_once);
        }
        let is_first = self.ended_at.is_none();
        self.ended_at.get_or_insert(now);
        is_first
    }

    /// Whether no connection is left but those that a successor has.
    #[must_use]
    pub fn all_ended(&self) -> bool {
        self.all().all(|frontend| frontend.connections().all_ended())
    }

    /// Whether connections were first ended this long ago (seconds).
    #[must_use]
    pub fn ended_for(&self, now: f64, duration_s: f64) -> bool {
        self.ended_at.is_some_and(|at| now >= at + duration_s)
    }

    /// Discards what lies unread, the last thing before the process ends: unread bytes would make its end a reset.
    pub fn drop_unread(&mut self) {
        for frontend in self.all_mut() {
            frontend.connections_mut().drop_unread();
        }
        if let Some(console) = &mut self.console {
            console.connections.drop_unread();
        }
    }

    /// The addresses at which frontends listen.
    pub fn addresses(&self) -> impl Iterator<Item = (FrontendKind, SocketAddr)> + '_ {
        let console = self.console.as_ref().and_then(|console| console.connections.address());
        let console = console.map(|address| (FrontendKind::Console, address));
        let others =
            self.all().filter_map(|frontend| Some((frontend.kind(), frontend.connections().address()?)));
        console.into_iter().chain(others)
    }
}

/// Takes the socket of a frontend that the predecessor has sent.
fn take_socket(listeners: &mut Vec<FrontendListener>, kind: FrontendKind) -> Option<Rc<TcpListener>> {
    let index = listeners.iter().position(|listener| listener.kind == kind)?;
    Some(listeners.swap_remove(index).socket)
}
