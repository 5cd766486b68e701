//! Properties that hold in every state, states that must be reachable, and the model's interface to the checker.

use crate::config::ModelConfig;
use crate::model_state::{MessageToWorker, ModelState, NEWEST_LEADER, PREVIOUS_LEADER, TASK};
use crate::steps::Action;
use stateright::{Model, Property};

/// Two workers may never act at the same time.
pub const SINGLE_HOLDER: &str = "at most one holder";
/// The resource never accepts a lower token after a higher one.
pub const TOKENS_NEVER_DECREASE: &str = "accepted tokens never decrease";
/// Without further faults, a worker eventually holds the lease.
const EVENTUALLY_HELD: &str = "eventually held without further faults";
/// Heartbeat rounds within which a worker must hold the lease.
const MAX_RECOVERY_ROUNDS: usize = 20;

impl ModelState {
    /// Returns whether a worker holds the lease within [`MAX_RECOVERY_ROUNDS`] if no further faults occur.
    fn recovers(&self, config: &ModelConfig) -> bool {
        let mut state = self.clone();
        state.leaders[PREVIOUS_LEADER] = None;
        for worker in 0..2 {
            state.step(config, Action::Reconnect(worker));
        }
        for _round in 0..MAX_RECOVERY_ROUNDS {
            for worker in 0..2 {
                state.step(config, Action::Heartbeat { worker, leader: NEWEST_LEADER });
                state.step(config, Action::ReceiveAtLeader { worker, message: 0 });
            }
            // A batch with earlier heartbeats may already await confirmation.
            for _batch in 0..2 {
                state.step(config, Action::Confirm);
                state.deliver_all(config);
            }
            if (0..2).any(|worker| state.may_act(worker).is_some()) {
                return true;
            }
            for action in [Action::Expire, Action::Commit, Action::Grant(0), Action::Commit] {
                state.step(config, action);
                state.deliver_all(config);
            }
            state.step(config, Action::Tick);
        }
        false
    }

    /// Lets the workers receive all messages in flight.
    fn deliver_all(&mut self, config: &ModelConfig) {
        for worker in 0..2 {
            while self.step(config, Action::ReceiveAtWorker { worker, message: 0 }).is_some() {}
        }
    }

    /// Returns whether an acknowledgement that renews a lease is in flight although the newest leader's state has no lease.
    fn has_late_renewal(&self) -> bool {
        let renews = |message: &MessageToWorker| matches!(message, MessageToWorker::HeartbeatAck { leases, .. } if !leases.is_empty());
        let no_lease =
            self.leaders[NEWEST_LEADER].as_ref().is_some_and(|leader| leader.state.leases.is_empty());
        no_lease && self.workers.iter().any(|worker| worker.incoming.iter().any(renews))
    }

    /// Returns whether a worker may act while the other one still has the token of a lease.
    fn has_stale_holder(&self) -> bool {
        let both_have_token = self.workers.iter().all(|worker| worker.holder.token(TASK).is_some());
        both_have_token && (self.may_act(0).is_some() || self.may_act(1).is_some())
    }
}

impl Model for ModelConfig {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::initial(self).canonical(self)]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        use Action as A;
        actions.extend([A::Tick, A::StepDown, A::Confirm, A::Expire, A::ChangeTtl, A::Commit]);
        actions.extend([true, false].map(|proposal_committed| A::Elect { proposal_committed }));
        for (worker, worker_state) in state.workers.iter().enumerate() {
            actions.extend([A::Grant(worker), A::CheckLease(worker), A::UseResource(worker)]);
            actions.extend([A::Reconnect(worker), A::Restart(worker)]);
            actions.extend([NEWEST_LEADER, PREVIOUS_LEADER].map(|leader| A::Heartbeat { worker, leader }));
            actions.extend([NEWEST_LEADER, PREVIOUS_LEADER].map(|leader| A::Release { worker, leader }));
            actions
                .extend((0..worker_state.sent.len()).map(|message| A::ReceiveAtLeader { worker, message }));
            actions.extend(
                (0..worker_state.incoming.len()).map(|message| A::ReceiveAtWorker { worker, message }),
            );
        }
    }

    fn next_state(&self, state: &ModelState, action: Action) -> Option<ModelState> {
        let mut next = state.clone();
        next.step(self, action)?;
        Some(next.canonical(self))
    }

    fn properties(&self) -> Vec<Property<ModelConfig>> {
        vec![
            Property::always(SINGLE_HOLDER, |_, state: &ModelState| {
                state.may_act(0).is_none() || state.may_act(1).is_none()
            }),
            Property::always(TOKENS_NEVER_DECREASE, |_, state: &ModelState| !state.token_decreased),
            Property::always(EVENTUALLY_HELD, |config: &ModelConfig, state: &ModelState| {
                state.recovers(config)
            }),
            // The search proves something only if these states are reachable.
            Property::sometimes("renewal in flight for a released lease", |_, state: &ModelState| {
                state.has_late_renewal()
            }),
            Property::sometimes(
                "one worker may act while the other has a stale lease",
                |_, state: &ModelState| state.has_stale_holder(),
            ),
        ]
    }
}
