//! Execution of the effects that the state machine of listener ownership returns.

use super::staged_state::StagedState;
use crate::dispatch::Input;
use crate::hot_restart::frame::{Frame, VERSION};
use crate::hot_restart::{Effect, IndeterminateKeys};
use crate::log::LogEvent;
use crate::net::events::{HotRestartEvent, UnavailableCause};
use crate::net::frontends::connections::ConnectionState;
use crate::net::Worker;

impl Worker {
    pub(super) fn execute_hot_restart_effect(&mut self, now: f64, effect: Effect, inputs: &mut Vec<Input>) {
        match effect {
            Effect::SendHello => self.send_hello(),
            Effect::RequestListeners => self.send_to_predecessor(&Frame::RequestListeners),
            Effect::ConfirmTakeover => self.send_to_predecessor(&Frame::TakeoverConfirmed),
            Effect::WatchPredecessor => {
                self.discard_staged_state();
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.links.watch_predecessor();
                }
            }
            Effect::DiscardState => self.discard_staged_state(),
            Effect::AdoptState => self.adopt_staged_state(now, inputs),
            Effect::OpenListeners => self.become_listener_owner(now),
            Effect::SetIndeterminateKeys(keys) => self.set_indeterminate_keys(keys),
            Effect::HandOff => self.hand_off(now, inputs),
            Effect::ReleaseHandedOff => self.release_handed_off(),
            Effect::Reclaim => self.reclaim(now, inputs),
            Effect::ExitWhenIdle => self.exit_when_idle(now),
        }
    }

    fn send_to_predecessor(&mut self, frame: &Frame) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.links.send_to_predecessor(frame);
        }
    }

    fn send_hello(&mut self) {
        let settings = &self.configuration.platform.settings;
        let hello = Frame::Hello {
            version: VERSION,
            name: self.configuration.platform.name.clone(),
            classes: settings.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: settings.tenants.iter().map(|t| t.name.clone()).collect(),
        };
        self.send_to_predecessor(&hello);
    }

    fn discard_staged_state(&mut self) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.staged = StagedState::default();
        }
    }

    fn set_indeterminate_keys(&mut self, keys: IndeterminateKeys) {
        HotRestartEvent::IndeterminateKeysSet(keys).emit();
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.indeterminate_keys = keys;
        }
        // After a hand-off the successor may run any key, so all of them stay indeterminate here.
        let has_handed_off = self.has_handed_off();
        if let Some(dispatcher) = self.dispatcher.as_mut().filter(|_| !has_handed_off) {
            dispatcher.set_indeterminate_keys(keys);
        }
    }

    /// Starts to accept clients, and listens for a successor.
    fn become_listener_owner(&mut self, now: f64) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        if let Err(error) = hot_restart.links.listen_for_successor() {
            HotRestartEvent::Unavailable(UnavailableCause::NoSocket(&error)).emit();
        }
        self.accept_clients(now);
        HotRestartEvent::ListenersAcquired.emit();
    }

    fn release_handed_off(&mut self) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        hot_restart.handed_off_requests.clear();
        for id in self.frontends.http1.connections.ids_where(|c| c.state == ConnectionState::HandedOff) {
            self.frontends.http1.connections.close(id);
        }
        hot_restart.links.stop_listening();
        hot_restart.frontend_listeners.clear();
        HotRestartEvent::ListenersHandedOff.emit();
    }
}
