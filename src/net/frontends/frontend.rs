//! The protocol-independent interface between the worker and a frontend.

use super::connections::ConnectionSet;
use crate::dispatch::{Input, Response, Ticket};
use crate::net::io::source::FrontendKind;
use crate::net::upstreams::directory::{Lookup, LookupResult};
use crate::net::{Availability, Clock, FrontendContext, ListenError};
use std::net::TcpListener;
use std::rc::Rc;

/// The parts of the worker that a frontend uses in one turn of the event loop.
pub struct FrontendTurn<'a> {
    /// The worker's clock.
    pub clock: &'a Clock,
    /// The worker's state as far as frontends need it.
    pub context: &'a FrontendContext,
    /// Collects inputs for the dispatcher.
    pub inputs: &'a mut Vec<Input>,
    /// Collects lookups for the directory.
    pub lookups: &'a mut Vec<Lookup>,
}

/// A frontend of the worker: a listener, its connections, and the protocol spoken on them.
///
/// The dispatcher identifies a request by its ticket, which also determines the frontend that sends the response.
pub trait Frontend {
    /// Which frontend this is.
    fn kind(&self) -> FrontendKind;

    /// The listener and its connections.
    fn connections(&self) -> &dyn ConnectionSet;

    /// The listener and its connections.
    fn connections_mut(&mut self) -> &mut dyn ConnectionSet;

    /// Starts accepting clients: on `socket` if it is given, otherwise on a new socket at the configured address.
    ///
    /// # Errors
    /// If the address can't be bound or the socket can't be polled.
    fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError>;

    /// Accepts connections and reads from them; requests become inputs. Returns `true` if it must be called
    /// again after the pause of accepting, without a poll event.
    fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool;

    /// Whether the request with this ticket came on one of this frontend's connections.
    fn owns(&self, ticket: Ticket) -> bool;

    /// Writes a response from the dispatcher to its connection.
    fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext);

    /// The listening socket to send to a successor; `None` if the successor inherits it, as this process did.
    fn listener_to_hand_off(&self) -> Option<Rc<TcpListener>> {
        self.connections().socket()
    }

    /// Whether idle connections are handed off to a successor rather than closed.
    fn hands_off_connections(&self) -> bool {
        false
    }

    /// The idle timeout of connections, given the platform's (seconds).
    fn idle_timeout_s(&self, platform_s: f64) -> f64 {
        platform_s
    }

    /// Enforces the protocol's own limits on connections.
    fn sweep(&mut self, _now: f64, _availability: &Availability, _inputs: &mut Vec<Input>) {}

    /// Announces on every connection that this process will close it.
    fn announce_close(&mut self) {}

    /// Answers requests that wait for anything other than the dispatcher, or passes them to it, since the process is about
    /// to exit.
    fn respond_all(&mut self, _turn: &mut FrontendTurn<'_>) {}

    /// Receives the directory's result for a request of this frontend.
    fn complete_lookup(&mut self, _ticket: Ticket, _result: LookupResult, _turn: &mut FrontendTurn<'_>) {}
}
