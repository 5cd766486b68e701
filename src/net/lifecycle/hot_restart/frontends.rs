//! Opens the frontends of a process that owns the listeners.

use crate::log::LogEvent;
use crate::net::events::FrontendEvent;
use crate::net::frontends::frontend::Frontend;
use crate::net::frontends::OpenedFrontend;
use crate::net::io::source::FrontendKind;
use crate::net::io::timer_wheel::Timer;
use crate::net::Worker;

/// Frontends of an operator's file that have a socket of their own.
const OPERATOR_FRONTENDS: [FrontendKind; 2] = [FrontendKind::Ajp, FrontendKind::Http2];
/// The most listening sockets that a predecessor sends.
pub(super) const MAX_LISTENERS: usize = OPERATOR_FRONTENDS.len();

/// The frontend of an operator's file that a hand-off frame names.
pub(super) fn operator_frontend(name: &str) -> Option<FrontendKind> {
    OPERATOR_FRONTENDS.into_iter().find(|kind| kind.as_str() == name)
}

impl Worker {
    /// Opens all frontends; nothing is handed off any more.
    pub(super) fn accept_clients(&mut self, now: f64) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        self.context.availability.handing_off = false;
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.end_hand_off();
            dispatcher.set_indeterminate_keys(hot_restart.indeterminate_keys);
            self.wheel.set(now, 0.0, Timer::Heartbeat);
        }
        // A shutdown may have closed the listeners for good.
        if self.shutdown.as_ref().is_some_and(|l| l.closed.is_some()) {
            return;
        }
        let opened = self.frontends.http1.open(Some(hot_restart.http_socket.clone()));
        if let Err(error) = opened {
            let frontend = FrontendKind::Http1.as_str();
            FrontendEvent::ListenerFailed { frontend, error: &error.source }.emit();
        }
        self.open_operator_frontends();
    }

    /// Accepts clients at the operator's frontends, on sockets that the predecessor has sent or else at their addresses.
    pub(super) fn open_operator_frontends(&mut self) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let listeners = std::mem::take(&mut hot_restart.frontend_listeners);
        let mut opened = self.frontends.open_operator_frontends(listeners);
        opened.sort_unstable_by_key(|frontend| frontend.kind);
        for frontend in opened {
            self.report_opened(frontend);
        }
    }

    fn report_opened(&mut self, opened: OpenedFrontend) {
        let frontend = opened.kind.as_str();
        match opened.result {
            Ok(address) => {
                let worker = &self.configuration.platform.name;
                FrontendEvent::ListenerOpened { worker, frontend, address, inherited: false }.emit();
            }
            Err(error) => {
                FrontendEvent::ListenerFailed { frontend, error: &error }.emit();
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.frontend_error = Some(error);
                }
            }
        }
    }
}
