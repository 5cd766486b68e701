//! Plays a run: takes each event at its time and hands it to the part that it is for.

use super::shape::Scenario;
use super::verdict::Verdict;
use super::world::{Event, EventKey, World};
use rand::Rng;

/// After a pause the events that waited follow by so much (seconds).
const RESUME_DELAY_S: f64 = 2e-6;
/// Between two ticks of a coordinator (seconds).
const COORDINATOR_TICK_S: f64 = 0.02;
/// The multiplier of the digest: FNV's prime.
const DIGEST_PRIME: u64 = 0x0100_0000_01b3;

/// Plays one seed.
#[must_use]
pub fn play(shape: &Scenario, seed: u64) -> Verdict {
    let mut world = World::new(shape, seed);
    world.run();
    world.verdict
}

impl World {
    /// Plays to the end, or to the first violation.
    fn run(&mut self) {
        let end = self.shape.faults_s + self.shape.quiet_s;
        while let Some((EventKey { at_us, order }, event)) = self.queue.pop_first() {
            self.now = at_us as f64 / 1e6;
            if self.now > end || !self.verdict.violations.is_empty() {
                break;
            }
            self.verdict.digest = (self.verdict.digest ^ at_us ^ order).wrapping_mul(DIGEST_PRIME);
            if let Some(event) = self.unless_paused(event) {
                self.handle(event);
            }
        }
        if self.verdict.violations.is_empty() {
            self.check_recovery();
        }
    }

    /// What happens to a process that is stopped waits until it goes on.
    fn unless_paused(&mut self, event: Event) -> Option<Event> {
        let until = match &event {
            Event::TickCoordinator { coordinator, .. } => self.coordinators[*coordinator].paused_until,
            Event::PeerFrame { peers, .. } => self.coordinators[peers.to].paused_until,
            Event::PeerAnswer { peers, .. } => self.coordinators[peers.from].paused_until,
            Event::Up { worker, .. } => {
                let link = self.workers[*worker].link;
                link.map_or(0.0, |link| self.coordinators[link.coordinator].paused_until)
            }
            Event::TickWorker { worker, .. }
            | Event::Down { worker, .. }
            | Event::Connected { worker, .. }
            | Event::Broken { worker, .. }
            | Event::CallEnded { worker, .. } => self.workers[*worker].paused_until,
            _ => 0.0,
        };
        if self.now < until {
            // Events keep their order: each gets a later number at the same time.
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
            Event::Disk { coordinator, incarnation, number, job } => {
                self.disk_done(coordinator, incarnation, number, &job);
            }
            Event::Connected { worker, incarnation, coordinator, link } => {
                self.connected(worker, incarnation, coordinator, link);
            }
            Event::Broken { worker, link } => self.break_link(worker, link),
            Event::Up { worker, link, bytes } => self.receive_from_worker(worker, link, &bytes),
            Event::Down { worker, link, bytes } => self.receive_at_worker(worker, link, &bytes),
            Event::PeerConnect { peers, incarnation } => self.connect_peer(peers, incarnation),
            Event::PeerFrame { peers, link, bytes } => self.receive_from_peer(peers, link, &bytes),
            Event::PeerAnswer { peers, link, bytes } => self.receive_peer_answer(peers, link, &bytes),
            Event::CallArrives { worker, incarnation, call, lasts_s } => {
                self.call_arrives(worker, incarnation, call, lasts_s);
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
            Event::FreeDisk(coordinator) => self.coordinators[coordinator].disk.set_full(false),
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
            let pause = self.rng.random_range(0.08..0.12);
            self.schedule(self.now + pause, Event::TickWorker { worker, incarnation });
        }
    }
}
