//! What the worker does with a frontend, whatever its protocol.

use super::connections::ConnectionSet;
use crate::dispatch::{Input, Response, Ticket};
use crate::net::io::source::FrontendKind;
use crate::net::upstreams::directory::{Lookup, LookupResult};
use crate::net::{Availability, Clock, FrontendContext, ListenError};
use std::net::TcpListener;
use std::rc::Rc;

/// The parts of the worker that a frontend uses in one turn of the loop.
pub struct FrontendTurn<'a> {
    /// The worker's clock.
    pub clock: &'a Clock,
    /// What frontends know of the worker.
    pub context: &'a FrontendContext,
    /// Takes what goes to the dispatcher.
    pub inputs: &'a mut Vec<Input>,
    /// Takes what goes to the directory.
    pub lookups: &'a mut Vec<Lookup>,
}

/// A frontend of the worker: a listener, connections, and the protocol spoken on them.
///
/// The dispatcher knows a request by its ticket, and the ticket identifies the frontend that the response belongs to.
pub trait Frontend {
    /// Which frontend this is.
    fn kind(&self) -> FrontendKind;

    /// Its listener and connections.
    fn connections(&self) -> &dyn ConnectionSet;

    /// Its listener and connections.
    fn connections_mut(&mut self) -> &mut dyn ConnectionSet;

    /// Accepts clients from now on: at a socket that listens already, or else at the configured address.
    ///
    /// # Errors
    /// The system does not let it listen there, or can't poll the socket.
    fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError>;

    /// Accepts and reads; requests become inputs. Returns `true` if accepting had to stop early and is to be resumed.
    fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool;

    /// Whether the response to this ticket belongs to one of its connections.
    fn owns(&self, ticket: Ticket) -> bool;

    /// Writes a response of the dispatcher to its connection.
    fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext);

    /// The socket that a successor is sent; none where it inherits the socket as this process did.
    fn listener_to_hand_off(&self) -> Option<Rc<TcpListener>> {
        self.connections().socket()
    }

    /// Whether connections are handed to a successor as they fall idle, and not closed here.
    fn hands_off_connections(&self) -> bool {
        false
    }

    /// How long a connection may be idle, where the platform allows this long (seconds).
    fn idle_timeout_s(&self, platform_s: f64) -> f64 {
        platform_s
    }

    /// Ends connections by the protocol's own limits.
    fn sweep(&mut self, _now: f64, _availability: &Availability, _inputs: &mut Vec<Input>) {}

    /// Announces on all connections that this process will close them.
    fn announce_close(&mut self) {}

    /// Answers requests that wait for something else than the dispatcher, since the process ends.
    fn respond_all(&mut self, _turn: &mut FrontendTurn<'_>) {}

    /// Takes what the directory found for a request of this frontend.
    fn complete_lookup(&mut self, _ticket: Ticket, _result: LookupResult, _turn: &mut FrontendTurn<'_>) {}
}
