//! Opening the frontends of a process that owns the listeners.

use crate::log::LogEvent;
use crate::net::events::FrontendEvent;
use crate::net::frontends::frontend::Frontend;
use crate::net::frontends::OpenedFrontend;
use crate::net::io::source::FrontendKind;
use crate::net::io::timer_wheel::Timer;
use crate::net::Worker;

/// Frontends that the operator's file can enable, each with its own listening socket.
const OPERATOR_FRONTENDS: [FrontendKind; 2] = [FrontendKind::Ajp, FrontendKind::Http2];
/// Maximum number of listening sockets that a predecessor sends.
pub(super) const MAX_LISTENERS: usize = OPERATOR_FRONTENDS.len();

/// Returns the operator's frontend that has this name in a hand-off frame.
pub(super) fn operator_frontend(name: &str) -> Option<FrontendKind> {
    OPERATOR_FRONTENDS.into_iter().find(|kind| kind.as_str() == name)
}

impl Worker {
    /// Opens all frontends, and ends a hand-off that was in progress.
    pub(super) fn accept_clients(&mut self, now: f64) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        self.context.availability.handing_off = false;
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.end_hand_off();
            dispatcher.set_indeterminate_keys(hot_restart.indeterminate_keys);
            self.wheel.set(now, 0.0, Timer::Heartbeat);
        }
        // A shutdown closes the listeners permanently.
        if self.shutdown.as_ref().is_some_and(|shutdown| shutdown.listeners_closed_at.is_some()) {
            return;
        }
        let opened = self.frontends.http1.open(Some(hot_restart.http_socket.clone()));
        if let Err(error) = opened {
            let frontend = FrontendKind::Http1.as_str();
            FrontendEvent::ListenerFailed { frontend, error: &error.source }.emit();
        }
        self.open_operator_frontends();
    }

    /// Opens the operator's frontends, on the sockets that the predecessor has sent or otherwise on newly bound ones.
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
