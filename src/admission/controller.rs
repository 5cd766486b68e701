//! Every admission decision. What passes in and out of it is in `interface.rs`.
//!
//! Requests are sorted into tiers by priority weight and queued; a free run slot starts the oldest of the
//! highest non-empty tier, which runs to its end. An arrival of a lower tier is rejected at once while the
//! queues of all tiers, or those of the tiers above it, are too long for its latency objective.

mod arrival;
mod completion;
mod downstream_calls;
mod downstream_limit;
mod health;
mod housekeeping;
mod learned;
mod periodic;
mod records;
mod rejection;
mod run_slots;

use crate::admission::arrival_rates::ArrivalRates;
use crate::admission::idempotency::IdempotencyTable;
use crate::admission::request_table::RequestTable;
use crate::admission::run_length::RunLengths;
use crate::admission::tenant_usage::TenantUsages;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::{
    Action, AdmissionEvent, Event, HealthState, LearnedState, RequestId, Settings, Signal, UnhealthyCause,
};
use crate::pools::Pools;
use arrival::{tenant_usages, MIN_OVER_QUOTA_WEIGHT};
use downstream_limit::DownstreamLimit;
use health::HealthMonitor;
use records::{OtherProcessUsage, ShutdownNotice};
use run_slots::RunLimit;

/// How often due times are checked, well inside the slack on responses (seconds).
const SWEEP_S: f64 = 0.025;
/// Shares of the survivable runs and of the memory that are used at most.
const MAX_SHARE_OF_SURVIVABLE_RUNS: f64 = 0.8;
const MAX_SHARE_OF_MEMORY: f64 = 0.95;
/// All that was read is answered this long before the worker is stopped (seconds).
const SHUTDOWN_MARGIN_S: f64 = 0.25;

/// The admission controller of one worker.
#[derive(Default)]
pub struct Controller {
    settings: Settings,
    /// By tier, falling.
    tier_weights: Vec<f64>,
    now: f64,
    started_at: f64,
    requests: RequestTable,
    idempotency: IdempotencyTable,
    released: Vec<RequestId>,
    run_lengths: RunLengths,
    /// The mean run length while this worker is well: the baseline for a flood.
    baseline_run_s: f64,
    downstream: DownstreamLimit,
    /// When calls that were abandoned leave the dependency at the latest.
    abandoned_calls: Vec<f64>,
    run_limit: RunLimit,
    arrivals: ArrivalRates,
    tenants: TenantUsages,
    shutdown: Option<ShutdownNotice>,
    published_weight: f64,
    health: HealthMonitor,
    /// Neither sick nor lagging in its reads.
    well: bool,
    /// What health checks are told.
    listed: bool,
    /// Where an operator set up pools they say which class may start, and how many runs there are.
    pub(crate) pools: Option<Pools>,
    /// What the fleet sheds as one, and calls that it lends.
    pub(crate) overload: Option<OverloadPolicy>,
    other_process: OtherProcessUsage,
}

impl Controller {
    /// A controller for a worker that has just started and holds no requests.
    pub fn new(settings: Settings, now: f64, out: &mut Vec<Action>) -> Self {
        let tier_weights = tier_weights(&settings);
        let mut controller = Controller {
            now,
            started_at: now,
            overload: settings.overload.then(|| OverloadPolicy::new(now, &settings)),
            requests: RequestTable::new(tier_weights.len(), settings.classes.len(), settings.run_factor),
            run_lengths: RunLengths::new(&settings.classes),
            downstream: DownstreamLimit::new(settings.dependency.as_ref()),
            run_limit: RunLimit::new(settings.cores.max(1) as usize, now),
            arrivals: ArrivalRates::new(tier_weights.len()),
            tenants: tenant_usages(&settings),
            health: HealthMonitor::new(now),
            well: true,
            listed: true,
            tier_weights,
            settings,
            ..Controller::default()
        };
        controller.baseline_run_s = controller.run_lengths.mean_s();
        let plan = controller.settings.pools.take();
        controller.set_pools(plan);
        out.extend([Action::Health(true), Action::WakeIn(SWEEP_S)]);
        controller.publish_weight(out);
        controller
    }

    /// Takes one event at the worker's clock and appends what is to be done, in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.arrived(arrival, out),
            Event::CallerGone(id) => self.caller_gone(id, out),
            Event::RunEnded { id, outcome } => self.run_ended(id, outcome),
            Event::AtCall(id) => self.at_call(id, out),
            Event::CallEnded { id, outcome } => self.call_ended(id, outcome, out),
            Event::Shutdown { ago_s, in_s } => {
                self.shutdown = Some(ShutdownNotice { received: now - ago_s, stop: now + in_s });
            }
            Event::Woken(gauges) => self.woken(&gauges, out),
            Event::Pools(plan) => self.set_pools(plan),
            Event::OtherProcess { on_cores, calling, kb } => {
                self.other_process = OtherProcessUsage { running: on_cores, calling, memory_kb: kb };
            }
            Event::LearnedState(learned) => self.adopt(learned),
        }
        self.drain_queues_while_sick(out);
        self.update_health(out);
        self.place_calls(out);
        self.start_queued(out);
    }

    fn update_health(&mut self, out: &mut Vec<Action>) {
        let sick = self.health.sick;
        let read_lagging = self.health.read_lagging;
        if self.well == (sick || read_lagging) {
            self.well = !self.well;
            self.publish_weight(out);
            let state = match (self.well, sick) {
                (true, _) => HealthState::Healthy,
                (false, true) => HealthState::Unhealthy(self.health.sick_cause),
                (false, false) => HealthState::Unhealthy(UnhealthyCause::ReadLag),
            };
            out.push(Action::Log(AdmissionEvent::HealthChanged(state)));
        }
        // A delisted worker gets no requests: after a rest a sick one is listed again, to be probed.
        let rested = self.running() == 0 && self.health.is_rested(self.now);
        // While the whole fleet is full, delisting a lagging worker would overload those that are left.
        let unfit = sick && !rested || read_lagging && !self.fleet_full();
        if unfit == self.listed && (unfit || self.well || sick) {
            self.listed = !unfit;
            out.push(Action::Health(self.listed));
        }
    }

    /// Takes over what another controller has learned, within the limits of this one.
    fn adopt(&mut self, learned: LearnedState) {
        self.run_limit.runs = learned.runs.min(self.survivable_runs()).max(self.run_limit.runs);
        self.baseline_run_s = learned.usual_s;
        self.run_lengths.adopt(learned.paces);
        let downstream = &mut self.downstream;
        downstream.limit = learned.call_limit.min(downstream.max_limit.max(1.0));
        downstream.lengths.adopt(learned.recent_calls, learned.call_baseline_s);
        downstream.budget_s =
            learned.call_budget_s.map_or(downstream.budget_s, |s| s.min(downstream.budget_s));
        let recent = learned.traffic.lately;
        self.tenants.adopt(learned.traffic.quotas);
        self.arrivals.adopt(learned.traffic.arrivals, recent.retries_per_s);
        self.health.signals.adopt(recent.failed_runs, recent.ended_runs);
    }

    /// Runs on the cores, or back to them, that are survived for certain: fewer while the worker warms up.
    fn survivable_runs(&self) -> usize {
        let cores = f64::from(self.settings.cores.max(1));
        let cold_speed = self.settings.cold_speed.clamp(0.0, 1.0);
        let warmed_up = (self.now - self.started_at) / self.settings.warm_up_s.max(SWEEP_S);
        let warm_up_speed = (cold_speed + (1.0 - cold_speed) * warmed_up).min(1.0);
        let speed = if self.settings.cold { warm_up_speed } else { 1.0 };
        let runs = cores * (1.0 + (self.settings.survivable_multiple - 1.0).max(0.0) * speed);
        (runs * MAX_SHARE_OF_SURVIVABLE_RUNS).floor().max(1.0) as usize
    }

    /// Runs a second: the run limit over the time on the cores, waits for calls apart. With pools, on what
    /// the pool of this class can count.
    fn service_rate(&self, class: usize) -> f64 {
        let lengths = &self.run_lengths;
        match &self.pools {
            Some(pools) => pools.slots(class) / lengths.mean_s_of(|other| pools.together(other, class)),
            None => self.run_limit.runs as f64 / lengths.mean_s(),
        }
    }

    /// Publishes the weight that callers give this worker: 1, and 0 while it shuts down or is not well.
    fn publish_weight(&mut self, out: &mut Vec<Action>) {
        let weight = f64::from(u8::from(self.shutdown.is_none() && self.well));
        if self.settings.signal == Signal::Weight && weight != self.published_weight {
            self.published_weight = weight;
            out.push(Action::Publish(weight));
        }
    }
}

/// The distinct weights of classes, within quota and over it, in falling order.
fn tier_weights(settings: &Settings) -> Vec<f64> {
    let least = settings.over_quota_weight.max(MIN_OVER_QUOTA_WEIGHT);
    let over_quota = if settings.tenants.is_empty() { 1.0 } else { least };
    let classes = settings.classes.iter();
    let mut weights: Vec<f64> = classes.flat_map(|c| [c.weight, c.weight * over_quota]).collect();
    weights.sort_by(|a, b| b.total_cmp(a));
    weights.dedup();
    weights
}
