//! Opens the frontends of a process that owns the listeners.

use super::FrontendListener;
use crate::log::LogEvent;
use crate::net::events::FrontendEvent;
use crate::net::io::timer_wheel::Timer;
use crate::net::{ListenError, Worker};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Frontends of an operator's file that have a socket of their own.
pub(super) const MAX_FRONTENDS: usize = 2;
/// The block of the operator's file that sets up the AJP frontend.
pub(super) const AJP: &str = "ajp";
/// The block of the operator's file that sets up the HTTP/2 frontend.
pub(super) const HTTP2: &str = "http2";

/// How the attempt to open a frontend went.
struct OpenedFrontend {
    frontend: &'static str,
    result: Result<(), ListenError>,
    address: Option<SocketAddr>,
}

/// Takes the socket of a frontend that the predecessor has sent.
fn take_socket(listeners: &mut Vec<FrontendListener>, frontend: &str) -> Option<Rc<TcpListener>> {
    let at = listeners.iter().position(|listener| listener.frontend == frontend)?;
    Some(listeners.swap_remove(at).socket)
}

impl Worker {
    /// Opens all frontends; nothing is handed off any more.
    pub(super) fn accept_clients(&mut self, now: f64) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        self.context.availability.handing_off = false;
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.end_hand_off();
            dispatcher.set_indeterminate_keys(hot_restart.indeterminate_keys);
            self.wheel.set(now, 0.0, Timer::Beat);
        }
        // A shutdown may have closed the listeners for good.
        if self.shutdown.as_ref().is_some_and(|l| l.closed.is_some()) {
            return;
        }
        if let Err(error) = self.http.open(&hot_restart.http_socket) {
            FrontendEvent::ListenerFailed { frontend: "http", error: &error }.emit();
        }
        self.open_operator_frontends();
    }

    /// Accepts clients at the operator's frontends, on sockets that the predecessor has sent or else at their addresses.
    pub(super) fn open_operator_frontends(&mut self) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let mut listeners = std::mem::take(&mut hot_restart.frontend_listeners);
        let mut opened = Vec::new();
        if let Some(ajp) = self.ajp.as_mut().filter(|a| a.connections.address().is_none()) {
            let result = ajp.open(take_socket(&mut listeners, AJP));
            opened.push(OpenedFrontend { frontend: AJP, result, address: ajp.connections.address() });
        }
        if let Some(http2) = self.http2.as_mut().filter(|h| h.connections.address().is_none()) {
            let result = http2.open(take_socket(&mut listeners, HTTP2));
            opened.push(OpenedFrontend { frontend: HTTP2, result, address: http2.connections.address() });
        }
        for frontend in opened {
            self.note_opened(frontend);
        }
    }

    fn note_opened(&mut self, OpenedFrontend { frontend, result, address }: OpenedFrontend) {
        match (result, address) {
            (Ok(()), Some(address)) => {
                let worker = &self.config.name;
                FrontendEvent::ListenerOpened { worker, frontend, address, inherited: false }.emit();
            }
            (Ok(()), None) => {}
            (Err(error), _) => {
                FrontendEvent::ListenerFailed { frontend, error: &error }.emit();
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.frontend_error = Some(error);
                }
            }
        }
    }
}
