//! Which queued request starts next.

use super::{Pools, EPSILON};

/// The first request of a pool that could start.
#[derive(Clone, Copy)]
struct FirstStartable<T> {
    /// Its position among all queued requests.
    position: usize,
    request: T,
}

/// Common slots that a pool claims, for its guarantee and for its credit.
#[derive(Clone, Copy)]
struct Claim {
    pool: usize,
    slots: f64,
}

impl Pools {
    /// The request that may start next, of those that could: `queued` gives them with their classes, highest
    /// tier and oldest first. `survivable_runs` is the number of runs that the executor survives for certain.
    pub fn choose<T: Copy>(
        &mut self,
        queued: impl Iterator<Item = (T, usize)>,
        survivable_runs: usize,
    ) -> Option<T> {
        self.survivable_runs = survivable_runs;
        if self.all.queued == 0 {
            self.limit_reached = false;
            for account in &mut self.accounts {
                account.wants_slot = false;
            }
            return None;
        }
        if self.free() == 0 && !self.can_start_on_reserve() {
            // Nothing can start, whichever request is first: no need to look for it.
            self.limit_reached = true;
            for (account, counts) in self.accounts.iter_mut().zip(&self.counts) {
                account.wants_slot = counts.queued > 0;
            }
            return None;
        }
        let firsts = self.first_startable(queued);
        for (account, first) in self.accounts.iter_mut().zip(&firsts) {
            account.wants_slot = first.is_some();
        }
        self.limit_reached = self.free() == 0 && firsts.iter().any(Option::is_some);
        let permitted = self.permitted();
        self.count_idle_reserve(&permitted);
        let startable = self.indices().filter(|pool| permitted[*pool]).filter_map(|pool| firsts[pool]);
        startable.min_by_key(|first| first.position).map(|first| first.request)
    }

    /// Whether the reserve is free and its pool has a request queued.
    fn can_start_on_reserve(&self) -> bool {
        let Some(reserve) = self.plan.reserve else { return false };
        self.reserve_is_free(reserve.pool) && self.queued(reserve.pool) > 0
    }

    /// By pool: the first of its requests that could start.
    fn first_startable<T: Copy>(
        &self,
        queued: impl Iterator<Item = (T, usize)>,
    ) -> Vec<Option<FirstStartable<T>>> {
        let mut firsts: Vec<Option<FirstStartable<T>>> = vec![None; self.plan.pools.len()];
        let mut missing = self.indices().filter(|pool| self.queued(*pool) > 0).count();
        for (position, (request, class)) in queued.enumerate() {
            if missing == 0 {
                break;
            }
            let first = &mut firsts[self.pool_of(class)];
            if first.is_none() {
                *first = Some(FirstStartable { position, request });
                missing -= 1;
            }
        }
        firsts
    }

    /// Counts pools whose request waits although a slot of their reserve is free. A pool whose own runs at calls fill its
    /// part of the survivable runs is not counted: it waits for its own runs.
    fn count_idle_reserve(&mut self, permitted: &[bool]) {
        let waits = |pool: &usize| {
            let wants = self.accounts[*pool].wants_slot && !permitted[*pool];
            wants && self.reserve_is_free(*pool) && self.own_runs_left(*pool) > 0
        };
        self.idle_reserve_waits += self.indices().filter(waits).count() as u64;
    }

    /// By pool: whether it may start a run now.
    fn permitted(&self) -> Vec<bool> {
        // The reserve stands open even where a limit that fell leaves no common slot.
        let takes_reserve = |pool| self.can_start(pool) && self.reserve_is_free(pool);
        let mut permitted: Vec<bool> = self.indices().map(takes_reserve).collect();
        let mut free = self.free();
        if free == 0 {
            return permitted;
        }
        let mean_run_s = self.mean_run_s();
        for claim in self.claims(mean_run_s) {
            if free == 0 {
                return permitted;
            }
            permitted[claim.pool] = true;
            // More than one of a pool may start before the next choice; its claim covers so many.
            let claimed = (claim.slots.ceil() as usize).min(self.queued(claim.pool)).max(1);
            free = free.saturating_sub(claimed);
        }
        if free > 0 {
            for pool in self.pools_for_unclaimed(mean_run_s) {
                permitted[pool] = true;
            }
        }
        permitted
    }

    /// Whether a pool has a request to start, and the run is survived.
    fn can_start(&self, pool: usize) -> bool {
        self.accounts[pool].wants_slot && self.has_room_for_run(pool)
    }

    fn can_use_common(&self, pool: usize) -> bool {
        self.can_start(pool) && self.used(pool) < self.ceiling(pool)
    }

    fn claim(&self, pool: usize, mean_run_s: f64) -> Claim {
        let credit = self.accounts[pool].credit_slot_s / mean_run_s;
        Claim { pool, slots: self.guarantee(pool) + credit - self.used(pool) as f64 }
    }

    /// The claims on common slots, the largest first.
    fn claims(&self, mean_run_s: f64) -> Vec<Claim> {
        let pools = self.indices().filter(|pool| self.can_use_common(*pool));
        let claims = pools.map(|pool| self.claim(pool, mean_run_s));
        let mut claims: Vec<Claim> = claims.filter(|claim| claim.slots > EPSILON).collect();
        claims.sort_by(|a, b| b.slots.total_cmp(&a.slots));
        claims
    }

    /// The pools that may use what nobody claims: those under their part by weight; where none is, all that want
    /// some.
    fn pools_for_unclaimed(&self, mean_run_s: f64) -> Vec<usize> {
        let pools = self.indices().filter(|pool| self.can_use_common(*pool));
        let others: Vec<usize> =
            pools.filter(|pool| self.claim(*pool, mean_run_s).slots <= EPSILON).collect();
        let under: Vec<usize> = others.iter().copied().filter(|pool| self.is_under_part(*pool)).collect();
        if under.is_empty() {
            others
        } else {
            under
        }
    }

    /// Whether one more run leaves a pool within its part, by weight, of what no guarantee claims.
    fn is_under_part(&self, pool: usize) -> bool {
        let part = self.part(pool, |other| self.accounts[other].wants_slot);
        self.used(pool) as f64 + 0.5 <= part
    }
}
