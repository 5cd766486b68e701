//! The event loop of a simulation: takes events in order of time and passes each to its handler.

use super::report::RunReport;
use super::scenario::Scenario;
use super::world::{Event, EventKey, World};
use rand::Rng;

/// Delay between the end of a suspension and the delivery of the events deferred by it (seconds).
const RESUME_DELAY_S: f64 = 2e-6;
/// Interval between a coordinator's ticks (seconds).
const COORDINATOR_TICK_S: f64 = 0.02;
/// Multiplier of the digest: the 64-bit FNV prime.
const DIGEST_PRIME: u64 = 0x0100_0000_01b3;

/// Simulates one seed.
#[must_use]
pub fn simulate(scenario: &Scenario, seed: u64) -> RunReport {
    let mut world = World::new(scenario, seed);
    world.run();
    world.report
}

impl World {
    /// Runs to the end of the scenario, or to the first violation.
    fn run(&mut self) {
        let end = self.scenario.fault_phase_s + self.scenario.recovery_phase_s;
        while let Some((EventKey { at_us, order }, event)) = self.queue.pop_first() {
            self.now = at_us as f64 / 1e6;
            if self.now > end || !self.report.violations.is_empty() {
                break;
            }
            self.report.digest = (self.report.digest ^ at_us ^ order).wrapping_mul(DIGEST_PRIME);
            if let Some(event) = self.defer_if_paused(event) {
                self.handle(event);
            }
        }
        if self.report.violations.is_empty() {
            self.check_recovery();
        }
    }

    /// Returns the event unless its process is suspended; otherwise defers it to the end of the suspension.
    fn defer_if_paused(&mut self, event: Event) -> Option<Event> {
        let until = match &event {
            Event::TickCoordinator { coordinator, .. } => self.coordinators[*coordinator].paused_until,
            Event::PeerFrame { peers, .. } => self.coordinators[peers.to].paused_until,
            Event::PeerReply { peers, .. } => self.coordinators[peers.from].paused_until,
            Event::ToCoordinator { worker, .. } => {
                let link = self.workers[*worker].link;
                link.map_or(0.0, |link| self.coordinators[link.coordinator].paused_until)
            }
            Event::TickWorker { worker, .. }
            | Event::ToWorker { worker, .. }
            | Event::Connected { worker, .. }
            | Event::LinkBroken { worker, .. }
            | Event::CallEnded { worker, .. } => self.workers[*worker].paused_until,
            _ => 0.0,
        };
        if self.now < until {
            // Deferred events keep their order: they share one time and are numbered in the order of deferral.
            self.schedule(until + RESUME_DELAY_S, event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartCoordinator(coordinator) => self.start_coordinator(coordinator),
            Event::StartWorker(worker) => self.start_worker(worker),
            Event::TickCoordinator { coordinator, incarnation } => {
                self.tick_coordinator(coordinator, incarnation);
            }
            Event::TickWorker { worker, incarnation } => self.tick_worker(worker, incarnation),
            Event::DiskJobCompleted { coordinator, incarnation, number, job } => {
                self.complete_disk_job(coordinator, incarnation, number, &job);
            }
            Event::Connected { worker, incarnation, coordinator, link } => {
                self.connected(worker, incarnation, coordinator, link);
            }
            Event::LinkBroken { worker, link } => self.break_link(worker, link),
            Event::ToCoordinator { worker, link, bytes } => self.receive_from_worker(worker, link, &bytes),
            Event::ToWorker { worker, link, bytes } => self.receive_at_worker(worker, link, &bytes),
            Event::PeerConnect { peers, incarnation } => self.connect_peer(peers, incarnation),
            Event::PeerFrame { peers, link, bytes } => self.receive_from_peer(peers, link, &bytes),
            Event::PeerReply { peers, link, bytes } => self.receive_peer_reply(peers, link, &bytes),
            Event::CallArrives { worker, incarnation, call, duration_s } => {
                self.call_arrives(worker, incarnation, call, duration_s);
            }
            Event::CallCompletes { worker, incarnation, call } => {
                self.call_completes(worker, incarnation, &call);
            }
            Event::CallEnded { worker, incarnation, task, outcome } => {
                if self.workers[worker].incarnation == incarnation {
                    self.with_worker(worker, |member, now| member.call_ended(now, task, outcome));
                }
            }
            Event::ReplaceMember(coordinator) => self.replace_member(coordinator),
            Event::FreeDiskSpace(coordinator) => self.coordinators[coordinator].disk.set_full(false),
            Event::Fault => self.inject_fault(),
        }
    }

    fn tick_coordinator(&mut self, coordinator: usize, incarnation: u64) {
        if self.coordinators[coordinator].incarnation == incarnation {
            self.with_coordinator(coordinator, fleet_coordinator::coordinator::Coordinator::tick);
            self.connect_peers(coordinator);
            let next = self.now + COORDINATOR_TICK_S;
            self.schedule(next, Event::TickCoordinator { coordinator, incarnation });
        }
    }

    fn tick_worker(&mut self, worker: usize, incarnation: u64) {
        if self.workers[worker].incarnation == incarnation {
            self.with_worker(worker, |_, _| ());
            let interval = self.rng.random_range(0.08..0.12);
            self.schedule(self.now + interval, Event::TickWorker { worker, incarnation });
        }
    }
}
