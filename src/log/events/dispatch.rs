//! Events of the dispatcher.

use crate::dispatch::DispatchEvent;
use crate::log::LogEvent;
use tracing::warn;

impl LogEvent for DispatchEvent {
    fn emit(&self) {
        match self {
            DispatchEvent::Admission(event) => event.emit(),
            DispatchEvent::LearnedStateRejected => {
                warn!(name: "learned_state_rejected", peer = "predecessor");
            }
        }
    }
}
