//! The admission controller: takes one event at a time and returns actions, as `interface.rs` defines them.
//!
//! Requests are queued by tier, which follows from their priority weight. A free run slot starts the oldest request of
//! the highest non-empty tier, and it runs to completion. An arrival is rejected immediately if the queues that it
//! would wait behind are too long for its latency objective.
//!
//! The controller only calls its components in order; each keeps its state and its rules in a file of its own.

mod arrival;
mod completion;
mod downstream_calls;
mod start;
mod sweep;

use crate::admission::arrival_rates::ArrivalRates;
use crate::admission::downstream::DownstreamCalls;
use crate::admission::fleet_overload::FleetOverload;
use crate::admission::health::HealthMonitor;
use crate::admission::idempotency::IdempotencyTable;
use crate::admission::memory::MemoryLimit;
use crate::admission::other_process::OtherProcessUsage;
use crate::admission::published_weight::PublishedWeight;
use crate::admission::request::{Request, RequestState};
use crate::admission::request_table::RequestTable;
use crate::admission::retry_after::RetryAfter;
use crate::admission::run_length::RunLengths;
use crate::admission::run_limit::SlotDemand;
use crate::admission::run_slots::RunSlots;
use crate::admission::shutdown::Shutdown;
use crate::admission::tenant_quotas::TenantQuotas;
use crate::admission::tiers::PriorityTiers;
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::{
    Action, AdmissionEvent, Class, Event, LearnedState, RecentOutcomes, RequestId, Settings, Traffic,
};
use crate::pools::Pools;

/// The admission controller of one worker.
pub struct Controller {
    settings: Settings,
    /// Time of the latest event (clock, seconds).
    now: f64,
    tiers: PriorityTiers,
    requests: RequestTable,
    idempotency: IdempotencyTable,
    /// Requests that no later event or action refers to.
    released: Vec<RequestId>,
    run_lengths: RunLengths,
    run_slots: RunSlots,
    memory: MemoryLimit,
    downstream: DownstreamCalls,
    arrivals: ArrivalRates,
    quotas: TenantQuotas,
    health: HealthMonitor,
    published_weight: PublishedWeight,
    retry_after: RetryAfter,
    fleet: FleetOverload,
    shutdown: Shutdown,
    other_process: OtherProcessUsage,
}

impl Controller {
    /// Creates the controller of a worker that has just started and has no requests.
    pub fn new(mut settings: Settings, now: f64, out: &mut Vec<Action>) -> Self {
        let plan = settings.pools.take();
        let tiers = PriorityTiers::new(&settings);
        let mut controller = Controller {
            now,
            requests: RequestTable::new(tiers.len(), settings.classes.len(), settings.run_memory_factor),
            idempotency: IdempotencyTable::default(),
            released: Vec::new(),
            run_lengths: RunLengths::new(&settings.classes),
            run_slots: RunSlots::new(&settings, now),
            memory: MemoryLimit::new(&settings),
            downstream: DownstreamCalls::new(settings.dependency.clone()),
            arrivals: ArrivalRates::new(tiers.len()),
            quotas: TenantQuotas::new(&settings),
            health: HealthMonitor::new(now),
            published_weight: PublishedWeight::new(settings.signal),
            retry_after: RetryAfter::new(&settings),
            fleet: FleetOverload::new(now, &settings),
            shutdown: Shutdown::new(settings.shutdown_grace_s),
            other_process: OtherProcessUsage::default(),
            tiers,
            settings,
        };
        controller.run_slots.set_pools(plan, now, &controller.run_lengths, &controller.requests);
        out.push(Action::Health(true));
        out.push(Action::WakeIn(SWEEP_INTERVAL_S));
        controller.publish_weight(out);
        controller
    }

    /// Handles one event at time `now` of the worker's clock, and appends the resulting actions to `out` in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        self.apply(event, now, out);
        // During a run fault, queued requests are rejected before `start_queued` could start them. The Retry-After of
        // these rejections follows from the health that was last reported, before this event.
        self.reject_queued_during_run_fault(out);
        // A change of health is reported before requests start, so that callers can go elsewhere first.
        self.update_health(out);
        // Calls come before starts: a run that skips its call returns to the cores and occupies the slot that a new run
        // would otherwise get.
        self.start_calls(out);
        self.start_queued(out);
    }

    /// Advances the clock of every component.
    fn advance(&mut self, now: f64) {
        let elapsed_s = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        self.run_slots.advance(elapsed_s);
        self.run_lengths.advance(self.requests.running_by_class(), elapsed_s);
        self.downstream.advance(now, elapsed_s, self.requests.calling(), &mut self.fleet);
        self.arrivals.advance(elapsed_s);
        self.health.advance(elapsed_s, self.requests.running());
        self.quotas.advance(elapsed_s);
    }

    fn apply(&mut self, event: Event, now: f64, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.arrived(&arrival, out),
            Event::CallerDisconnected(id) => self.caller_disconnected(id, out),
            Event::RunEnded { id, outcome } => self.run_ended(id, outcome),
            Event::CallRequested(id) => self.call_requested(id, out),
            Event::CallEnded { id, outcome } => self.call_ended(id, outcome, out),
            Event::Shutdown { notice_age_s, stop_in_s } => {
                self.shutdown.announce(now, notice_age_s, stop_in_s);
            }
            Event::Woken(gauges) => self.sweep(&gauges, out),
            Event::Pools(plan) => {
                self.run_slots.set_pools(plan, self.now, &self.run_lengths, &self.requests);
            }
            Event::OtherProcess { on_cores, calling, memory_kb } => {
                self.other_process = OtherProcessUsage::new(on_cores, calling, memory_kb);
            }
            Event::LearnedState(learned) => self.adopt(learned),
        }
    }

    /// Reports a change of health, and updates the answer to health checks.
    fn update_health(&mut self, out: &mut Vec<Action>) {
        if let Some(state) = self.health.take_change() {
            self.publish_weight(out);
            out.push(Action::Log(AdmissionEvent::HealthChanged(state)));
        }
        let fleet_is_full = self.is_fleet_full();
        if let Some(available) = self.health.update_availability(self.now, self.running(), fleet_is_full) {
            out.push(Action::Health(available));
        }
    }

    /// Publishes this worker's weight to callers if it has changed.
    fn publish_weight(&mut self, out: &mut Vec<Action>) {
        let available = !self.shutdown.is_announced() && self.health.is_reported_healthy();
        if let Some(weight) = self.published_weight.update(available) {
            out.push(Action::Publish(weight));
        }
    }

    /// The measurements to hand to a successor on this machine.
    #[must_use]
    pub fn learned(&self) -> LearnedState {
        let mut learned = LearnedState {
            run_limit: self.run_slots.limit(),
            baseline_run_s: self.run_lengths.baseline_s(),
            run_lengths: self.run_lengths.learned(),
            traffic: Traffic {
                tenants: self.quotas.learned(),
                arrivals_per_s: self.arrivals.by_tier().to_vec(),
                recent: RecentOutcomes {
                    retries_per_s: self.arrivals.retries(),
                    failed_runs: self.health.failed_runs(),
                    ended_runs: self.health.ended_runs(),
                },
            },
            ..LearnedState::default()
        };
        self.downstream.export(&mut learned);
        learned
    }

    /// Adopts the state that another controller has learned, within the limits of this one.
    fn adopt(&mut self, learned: LearnedState) {
        self.run_slots.adopt(learned.run_limit, self.now);
        self.downstream.adopt(&learned);
        self.run_lengths.adopt(learned.run_lengths, learned.baseline_run_s);
        let recent = learned.traffic.recent;
        self.quotas.adopt(learned.traffic.tenants);
        self.arrivals.adopt(learned.traffic.arrivals_per_s, recent.retries_per_s);
        self.health.adopt(recent.failed_runs, recent.ended_runs);
    }

    /// Takes the requests that no later event or action of this controller refers to.
    pub fn take_released(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.released)
    }

    /// The class pools, if the operator configured any.
    #[must_use]
    pub fn pools(&self) -> Option<&Pools> {
        self.run_slots.pools()
    }

    /// This worker's policy in fleet-wide overload control, if that is enabled.
    #[must_use]
    pub fn overload_policy(&self) -> Option<&OverloadPolicy> {
        self.fleet.policy()
    }

    /// Mutable access to the policy, to update the fleet's state and to take load samples.
    pub fn overload_policy_mut(&mut self) -> Option<&mut OverloadPolicy> {
        self.fleet.policy_mut()
    }

    fn class(&self, class: usize) -> &Class {
        &self.settings.classes[class]
    }

    /// The class of a request in progress.
    fn class_of(&self, id: RequestId) -> &Class {
        self.class(self.requests[id].class)
    }

    /// Runs on the cores, including those of the other process.
    fn running(&self) -> usize {
        self.requests.running() + self.other_process.running()
    }

    /// The demand for run slots, and their use.
    fn slot_demand(&self) -> SlotDemand {
        SlotDemand { running: self.running(), has_queued: self.requests.has_queued() }
    }

    /// Memory of requests and idempotency keys, including that of the other process (KB).
    fn memory_kb(&self) -> f64 {
        let keys_kb = self.memory.keys_kb(self.idempotency.len());
        self.requests.memory_kb() + keys_kb + self.other_process.memory_kb()
    }

    /// The expected total time of a request's run on the cores (seconds).
    fn expected_run_s(&self, request: &Request) -> f64 {
        self.run_lengths.predict(request.class, request.hint)
    }

    /// Whether the other workers are assumed to reject too. False during a shutdown, since the others keep serving.
    fn is_fleet_full(&self) -> bool {
        if self.shutdown.is_announced() {
            return false;
        }
        let reported = self.fleet.is_at_capacity();
        reported.unwrap_or_else(|| {
            self.retry_after.infers_full_fleet(&self.arrivals, self.run_lengths.baseline_s())
        })
    }

    /// Moves a request to another state, or out of all states (`None`), and updates the counts of the pools.
    fn transition(&mut self, id: RequestId, to: Option<RequestState>) {
        if let Some(transition) = self.requests.transition(id, to, self.now) {
            self.run_slots.request_moved(&transition);
        }
    }
}
