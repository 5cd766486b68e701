//! Hands time, plans and counts on to the parts of the controller. Nothing here decides: each part does with
//! them what its own file says.

use super::Controller;
use crate::interface::{Action, PoolPlan, RequestId};
use crate::pools::Pools;

impl Controller {
    /// Requests that no later event or action of this controller will name.
    pub fn take_released(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.released)
    }

    /// Time passes for every measurement.
    pub(super) fn advance(&mut self, now: f64) {
        let elapsed_s = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        if let Some(pools) = &mut self.pools {
            pools.advance(elapsed_s);
        }
        self.run_lengths.advance(self.requests.running_by_class(), elapsed_s);
        self.downstream.lengths.advance(self.requests.calling() as f64, elapsed_s);
        let in_hand = self.requests.calling() + self.abandoned_calls.len();
        if let Some(overload) = &mut self.overload {
            overload.limit_calls(now, in_hand, &mut self.downstream.max_limit, &mut self.downstream.limit);
        }
        if let Some(dependency) = &self.settings.dependency {
            self.downstream.accrue_budget(dependency, in_hand, elapsed_s);
        }
        self.arrivals.advance(elapsed_s);
        self.health.advance(elapsed_s, self.requests.running());
        self.tenants.advance(elapsed_s);
        self.abandoned_calls.retain(|gone_by| *gone_by > now);
    }

    /// Takes up other pools, or none. Runs and queues stay as they are.
    pub(super) fn set_pools(&mut self, plan: Option<PoolPlan>) {
        let Some(plan) = plan else { return self.pools = None };
        if let Some(pools) = &mut self.pools {
            return pools.replan(plan);
        }
        let mut pools = Pools::new(plan, &self.run_lengths.means_s(), self.survivable_runs());
        for (_, request) in self.requests.iter() {
            pools.moved(request.class, None, request.state.place());
        }
        self.pools = Some(pools);
    }

    /// Lets the pools review their limit.
    pub(super) fn review_pools(&mut self, out: &mut Vec<Action>) {
        let survivable_runs = self.survivable_runs();
        let Some(pools) = &mut self.pools else { return };
        pools.review(self.now, survivable_runs);
        out.extend(pools.take_events().into_iter().map(Action::Log));
    }

    /// A call without an outcome goes on in the dependency for a while.
    pub(super) fn count_abandoned_call(&mut self) {
        if let Some(dependency) = &self.settings.dependency {
            self.abandoned_calls.push(self.now + dependency.linger_s);
        }
    }

    /// Removes the keys that can't be repeated any more.
    pub(super) fn remove_expired_keys(&mut self) {
        let expired = self.idempotency.expired(self.now, |id| self.requests.contains(id));
        for entry_id in expired {
            self.remove_key(entry_id);
        }
    }

    /// Tells the fleet's policy what this worker can do, and what waits for calls with which weight.
    pub(super) fn report_load(&mut self, mean_run_s: f64) {
        let Some(overload) = &mut self.overload else { return };
        let waiting = self.requests.waiting_for_call_by_tier().zip(&self.tier_weights);
        overload.record_state(self.run_limit.runs as f64 / mean_run_s, waiting);
    }
}
