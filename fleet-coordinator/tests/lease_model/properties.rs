//! What holds in every world, what must be reachable, and the search itself.

use crate::limits::Limits;
use crate::steps::Action;
use crate::world::{ToWorker, World, NEWEST, PREDECESSOR, TASK};
use stateright::{Model, Property};

/// Two workers never may act at the same time.
pub const ONE_HOLDER: &str = "one holder";
/// The resource never accepts a lower token after a higher one.
pub const TOKENS_ONLY_GROW: &str = "tokens only grow";
/// Once nothing fails any more, a worker comes to hold the task.
const HELD_IN_THE_END: &str = "held in the end";
/// Rounds of heartbeats within which a worker must come to hold the task.
const MAX_RECOVERY_ROUNDS: usize = 20;

impl World {
    /// Once nothing fails any more, a worker comes to hold the task.
    fn recovers(&self, limits: &Limits) -> bool {
        let mut world = self.clone();
        world.leaders[PREDECESSOR] = None;
        for worker in 0..2 {
            world.step(limits, Action::Reconnect(worker));
        }
        for _round in 0..MAX_RECOVERY_ROUNDS {
            for worker in 0..2 {
                world.step(limits, Action::Heartbeat { worker, leader: NEWEST });
                world.step(limits, Action::Arrive { worker, message: 0 });
            }
            // One batch may be out already, with earlier heartbeats.
            for _batch in 0..2 {
                world.step(limits, Action::Confirm);
                world.deliver_all(limits);
            }
            if (0..2).any(|worker| world.may_act(worker).is_some()) {
                return true;
            }
            for action in [Action::Expire, Action::Commit, Action::Grant(0), Action::Commit] {
                world.step(limits, action);
                world.deliver_all(limits);
            }
            world.step(limits, Action::Tick);
        }
        false
    }

    /// Delivers all messages to workers.
    fn deliver_all(&mut self, limits: &Limits) {
        for worker in 0..2 {
            while self.step(limits, Action::Deliver { worker, message: 0 }).is_some() {}
        }
    }

    /// An answer that renews a lease is on its way when the newest leader knows of no lease.
    fn has_late_renewal(&self) -> bool {
        let renews = |message: &ToWorker| matches!(message, ToWorker::HeartbeatAck { leases, .. } if !leases.is_empty());
        let nobody_holds = self.leaders[NEWEST].as_ref().is_some_and(|leader| leader.state.leases.is_empty());
        nobody_holds && self.workers.iter().any(|worker| worker.incoming.iter().any(renews))
    }

    /// One worker may act while the other still knows a token.
    fn has_unaware_predecessor(&self) -> bool {
        let both_know = self.workers.iter().all(|worker| worker.holder.token(TASK).is_some());
        both_know && (self.may_act(0).is_some() || self.may_act(1).is_some())
    }
}

impl Model for Limits {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::initial(self).canonical(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        use Action as A;
        actions.extend([A::Tick, A::StepDown, A::Confirm, A::Expire, A::ChangeTtl, A::Commit]);
        actions.extend([true, false].map(|proposal_stays| A::Elect { proposal_stays }));
        for (worker, state) in world.workers.iter().enumerate() {
            actions.extend([A::Grant(worker), A::CheckLease(worker), A::Act(worker)]);
            actions.extend([A::Reconnect(worker), A::Restart(worker)]);
            actions.extend([NEWEST, PREDECESSOR].map(|leader| A::Heartbeat { worker, leader }));
            actions.extend([NEWEST, PREDECESSOR].map(|leader| A::Release { worker, leader }));
            actions.extend((0..state.sent.len()).map(|message| A::Arrive { worker, message }));
            actions.extend((0..state.incoming.len()).map(|message| A::Deliver { worker, message }));
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        next.step(self, action)?;
        Some(next.canonical(self))
    }

    fn properties(&self) -> Vec<Property<Limits>> {
        vec![
            Property::always(ONE_HOLDER, |_, world: &World| {
                world.may_act(0).is_none() || world.may_act(1).is_none()
            }),
            Property::always(TOKENS_ONLY_GROW, |_, world: &World| !world.token_decreased),
            Property::always(HELD_IN_THE_END, |limits: &Limits, world: &World| world.recovers(limits)),
            // States that must be reachable for the search to prove anything.
            Property::sometimes("a renewal is late", |_, world: &World| world.has_late_renewal()),
            Property::sometimes(
                "one holds, and the other still believes that it has a lease",
                |_, world: &World| world.has_unaware_predecessor(),
            ),
        ]
    }
}
