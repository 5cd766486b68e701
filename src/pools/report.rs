//! What operators see of the pools: lines for the log, and the state as one value for a status command.

use super::estimate::{Cause, Estimate};
use super::Pools;
use crate::interface::PoolPlan;
use serde::Serialize;
use std::fmt::Write;

/// At most one line of a kind and pool in this time (seconds).
const LINE_EVERY_S: f64 = 1.0;

/// The state of all pools. Slots are run slots on the cores; times are seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolsState {
    pub limit_slots: usize,
    pub cause: &'static str,
    pub capacity_slots: f64,
    pub rate_per_s: f64,
    pub run_s: f64,
    pub usual_run_s: f64,
    /// How often a request of the reserve's pool was left waiting with a reserved slot free.
    pub reserve_kept: u64,
    pub pools: Vec<PoolState>,
}

/// The state of one pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolState {
    pub name: String,
    pub held: usize,
    pub on_cores: usize,
    pub at_calls: usize,
    pub guarantee_slots: f64,
    pub ceiling_slots: usize,
    pub reserve_slots: usize,
    /// Common slots beyond the guarantee.
    pub borrowed_slots: f64,
    /// Slot seconds that the pool is owed; below 0 it owes them.
    pub owed_slot_s: f64,
    pub started: u64,
    pub refused: u64,
}

/// Lines that wait to be taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    lines: Vec<String>,
    /// The limit before the changes that no line tells yet.
    was: Option<usize>,
    limit_said: Option<f64>,
    /// By pool: when its queue was last said to turn requests away, and how many by then.
    queues: Vec<(f64, u64)>,
}

impl Report {
    pub fn limit_changed(&mut self, before: usize) {
        self.was.get_or_insert(before);
    }

    pub fn write(&mut self, now: f64, estimate: &Estimate, plan: &PoolPlan, queues: &[(usize, u64)]) {
        let due = |at: f64| now - at >= LINE_EVERY_S;
        // A rest is over within a look or two: it is no change of what the executor is held to be worth.
        if self.limit_said.map_or(true, due) && estimate.cause() != Cause::Rest {
            if let Some(was) = self.was.take().filter(|was| *was != estimate.limit()) {
                let m = estimate.measured();
                self.limit_said = Some(now);
                self.lines.push(format!(
                    "pools: limit={} was={was} cause={} capacity={:.2} rate_per_s={:.1} run_ms={:.0} \
                     usual_run_ms={:.0} on_cores={:.2}",
                    estimate.limit(),
                    estimate.cause().word(),
                    estimate.capacity(),
                    m.rate_per_s,
                    m.run_s * 1000.0,
                    m.usual_s * 1000.0,
                    m.on_cores
                ));
            }
        }
        self.queues.resize(queues.len(), (f64::NEG_INFINITY, 0));
        for ((said, before), ((held, refused), pool)) in
            self.queues.iter_mut().zip(queues.iter().zip(&plan.pools))
        {
            // A new plan may have begun the count anew.
            *before = (*before).min(*refused);
            if *refused > *before && due(*said) {
                let mut line = format!("pools: pool={} turned_away={}", pool.name, *refused - *before);
                let _ = write!(line, " held={held} queue={}", pool.queue);
                self.lines.push(line);
                (*said, *before) = (now, *refused);
            }
        }
    }

    pub fn take(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }
}

impl Pools {
    /// The state of the limit and of each pool.
    pub fn state(&self) -> PoolsState {
        let m = self.estimate.measured();
        let pool = |p: usize| PoolState {
            name: self.plan.pools[p].name.clone(),
            held: self.held(p),
            on_cores: self.on_cores(p),
            at_calls: self.counts[p].at_call,
            guarantee_slots: self.guarantee(p),
            ceiling_slots: self.ceiling(p),
            reserve_slots: self.reserve_of(p),
            borrowed_slots: (self.used(p) as f64 - self.guarantee(p)).max(0.0),
            owed_slot_s: self.accounts[p].credit,
            started: self.accounts[p].started,
            refused: self.accounts[p].refused,
        };
        PoolsState {
            limit_slots: self.limit(),
            cause: self.estimate.cause().word(),
            capacity_slots: self.estimate.capacity(),
            rate_per_s: m.rate_per_s,
            run_s: m.run_s,
            usual_run_s: m.usual_s,
            reserve_kept: self.reserve_kept,
            pools: self.numbers().map(pool).collect(),
        }
    }
}
