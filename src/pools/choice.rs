//! Selection of the queued request to start next.

use super::{Pools, EPSILON};

/// The first queued request of a pool.
#[derive(Clone, Copy)]
struct Candidate<T> {
    /// Its position among all queued requests.
    position: usize,
    request: T,
}

/// A pool's claim on common slots: its guarantee and its credit, less the common slots that it uses.
#[derive(Clone, Copy)]
struct Claim {
    pool: usize,
    slots: f64,
}

impl Pools {
    /// Returns the request to start next, if any may start. `queued` yields the queued requests with their classes,
    /// ordered by tier (highest first), then by age (oldest first). `survivable_runs` is the number of concurrent runs
    /// that the executor survives for certain.
    pub fn choose<T: Copy>(
        &mut self,
        queued: impl Iterator<Item = (T, usize)>,
        survivable_runs: usize,
    ) -> Option<T> {
        self.survivable_runs = survivable_runs;
        if self.total_counts.queued == 0 {
            self.limit_reached = false;
            for account in &mut self.accounts {
                account.wants_slot = false;
            }
            return None;
        }
        if self.free_common_slots() == 0 && !self.can_start_on_reserve() {
            // Nothing can start, so the queue need not be searched.
            self.limit_reached = true;
            for (account, counts) in self.accounts.iter_mut().zip(&self.pool_counts) {
                account.wants_slot = counts.queued > 0;
            }
            return None;
        }
        let candidates = self.candidates_by_pool(queued);
        for (account, candidate) in self.accounts.iter_mut().zip(&candidates) {
            account.wants_slot = candidate.is_some();
        }
        self.limit_reached = self.free_common_slots() == 0 && candidates.iter().any(Option::is_some);
        let permitted = self.permitted();
        self.count_idle_reserve_waits(&permitted);
        let startable = self.indices().filter(|pool| permitted[*pool]).filter_map(|pool| candidates[pool]);
        startable.min_by_key(|candidate| candidate.position).map(|candidate| candidate.request)
    }

    /// Whether a reserved slot is free and the pool that owns the reserve has a queued request.
    fn can_start_on_reserve(&self) -> bool {
        let Some(reserve) = self.plan.reserve else { return false };
        self.reserve_is_free(reserve.pool) && self.queued(reserve.pool) > 0
    }

    /// Returns the first queued request of each pool, indexed by pool.
    fn candidates_by_pool<T: Copy>(
        &self,
        queued: impl Iterator<Item = (T, usize)>,
    ) -> Vec<Option<Candidate<T>>> {
        let mut candidates: Vec<Option<Candidate<T>>> = vec![None; self.plan.pools.len()];
        let mut missing = self.indices().filter(|pool| self.queued(*pool) > 0).count();
        for (position, (request, class)) in queued.enumerate() {
            if missing == 0 {
                break;
            }
            let candidate = &mut candidates[self.pool_of(class)];
            if candidate.is_none() {
                *candidate = Some(Candidate { position, request });
                missing -= 1;
            }
        }
        candidates
    }

    /// Counts the pools that have a startable request and a free reserved slot but may not start a run. A pool that has
    /// used up its own survivable runs, for example with runs at calls, is not counted: it waits for its own runs.
    fn count_idle_reserve_waits(&mut self, permitted: &[bool]) {
        let waits = |pool: &usize| {
            let wants = self.accounts[*pool].wants_slot && !permitted[*pool];
            wants && self.reserve_is_free(*pool) && self.remaining_own_runs(*pool) > 0
        };
        self.idle_reserve_waits += self.indices().filter(waits).count() as u64;
    }

    /// Whether each pool may start a run now, indexed by pool.
    fn permitted(&self) -> Vec<bool> {
        // The reserve stays usable even if the limit has fallen so far that no common slot is free.
        let can_use_reserve = |pool| self.can_start(pool) && self.reserve_is_free(pool);
        let mut permitted: Vec<bool> = self.indices().map(can_use_reserve).collect();
        let mut free = self.free_common_slots();
        if free == 0 {
            return permitted;
        }
        let mean_run_s = self.mean_run_s();
        for claim in self.claims(mean_run_s) {
            if free == 0 {
                return permitted;
            }
            permitted[claim.pool] = true;
            // Earmark as many slots as the claim covers, so that pools with a smaller claim or none can't take them.
            let claimed = (claim.slots.ceil() as usize).min(self.queued(claim.pool)).max(1);
            free = free.saturating_sub(claimed);
        }
        if free > 0 {
            for pool in self.pools_for_unclaimed_slots(mean_run_s) {
                permitted[pool] = true;
            }
        }
        permitted
    }

    /// Whether a pool has a request to start and the number of runs stays survivable.
    fn can_start(&self, pool: usize) -> bool {
        self.accounts[pool].wants_slot && self.has_room_for_run(pool)
    }

    fn can_use_common(&self, pool: usize) -> bool {
        self.can_start(pool) && self.common_in_use(pool) < self.ceiling(pool)
    }

    fn claim(&self, pool: usize, mean_run_s: f64) -> Claim {
        let credit = self.accounts[pool].credit_slot_s / mean_run_s;
        Claim { pool, slots: self.guarantee(pool) + credit - self.common_in_use(pool) as f64 }
    }

    /// Returns the claims on common slots, largest first.
    fn claims(&self, mean_run_s: f64) -> Vec<Claim> {
        let pools = self.indices().filter(|pool| self.can_use_common(*pool));
        let claims = pools.map(|pool| self.claim(pool, mean_run_s));
        let mut claims: Vec<Claim> = claims.filter(|claim| claim.slots > EPSILON).collect();
        claims.sort_by(|a, b| b.slots.total_cmp(&a.slots));
        claims
    }

    /// Returns the pools that may use unclaimed slots: those below their fair share, or all that want slots if none is
    /// below it.
    fn pools_for_unclaimed_slots(&self, mean_run_s: f64) -> Vec<usize> {
        let pools = self.indices().filter(|pool| self.can_use_common(*pool));
        let without_claim: Vec<usize> =
            pools.filter(|pool| self.claim(*pool, mean_run_s).slots <= EPSILON).collect();
        let below_share: Vec<usize> =
            without_claim.iter().copied().filter(|pool| self.is_below_fair_share(*pool)).collect();
        if below_share.is_empty() {
            without_claim
        } else {
            below_share
        }
    }

    /// Whether a pool is at least half a slot below its fair share, so that one more run exceeds it by at most half
    /// a slot.
    fn is_below_fair_share(&self, pool: usize) -> bool {
        let share = self.fair_share(pool, |other| self.accounts[other].wants_slot);
        self.common_in_use(pool) as f64 + 0.5 <= share
    }
}
