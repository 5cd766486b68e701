//! State that the predecessor has sent and this process has not adopted yet.

use crate::hot_restart::frame::{HandedOffConnection, KeyOutcome, KeyState, Usage};
use crate::hot_restart::FingerprintKey;
use crate::interface::LearnedState;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// Estimated size of a key without its text and result (bytes).
const KEY_BYTES: usize = 256;

/// The fields of [`Frame::State`](crate::hot_restart::frame::Frame::State).
pub(super) struct PredecessorState {
    pub(super) fingerprint_key: FingerprintKey,
    pub(super) draining: bool,
    pub(super) learned: LearnedState,
    pub(super) running: Vec<Rc<str>>,
}

/// A connection that the predecessor has sent.
pub(super) struct ReceivedConnection {
    pub(super) connection: HandedOffConnection,
    pub(super) stream: OwnedFd,
}

/// State received from the predecessor, collected until it is complete.
#[derive(Default)]
pub(super) struct StagedState {
    pub(super) state: Option<PredecessorState>,
    pub(super) keys: Vec<KeyState>,
    /// Estimated size of the keys with their results (bytes).
    pub(super) key_bytes: usize,
    pub(super) usage: Usage,
    pub(super) connections: Vec<ReceivedConnection>,
    /// The state has been adopted: later frames are acted on immediately.
    pub(super) adopted: bool,
}

impl StagedState {
    pub(super) fn add_key(&mut self, key_state: KeyState) {
        let result_bytes = match &key_state.outcome {
            KeyOutcome::Served(Some(result)) => result.0.len(),
            _ => 0,
        };
        self.key_bytes += KEY_BYTES + key_state.key.key.len() + result_bytes;
        self.keys.push(key_state);
    }

    /// Takes the staged state. Later frames are acted on immediately.
    pub(super) fn adopt(&mut self) -> StagedState {
        let adopted = StagedState { adopted: true, ..StagedState::default() };
        std::mem::replace(self, adopted)
    }
}
