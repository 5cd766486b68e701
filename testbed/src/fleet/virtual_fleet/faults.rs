//! The faults of a run: which comes is drawn at random, as is whom it hits and how long it lasts.

use super::links::NodePair;
use super::names::coordinator_name;
use super::process_state::CoordinatorProcess;
use super::world::{Event, World};
use durable_log::simulated::SimulatedDisk;
use fleet_coordinator::replica::MemberStatus;
use rand::Rng;

/// The numbers that a fault's kind is drawn from; some kinds have several of them.
const FAULT_NUMBERS: i32 = 17;
/// How long after the faults an operator still looks for coordinators without a disk (seconds).
const REPLACE_FOR_S: f64 = 5.0;
/// Entries that a coordinator may lack and still count as one that knows what was decided.
const MAX_LAG: u64 = 2;

/// Whom a fault hits, and for how long.
#[derive(Clone, Copy)]
struct Target {
    coordinator: usize,
    worker: usize,
    lasts_s: f64,
}

impl World {
    fn leader(&self) -> Option<usize> {
        let is_leader =
            |process: &CoordinatorProcess| process.machine.as_ref().is_some_and(|m| m.replica.is_leader());
        self.coordinators.iter().position(is_leader)
    }

    /// What an operator does about a coordinator that says it has lost its disk, or is suspended for an old one.
    pub fn replace_member(&mut self, coordinator: usize) {
        let name = coordinator_name(coordinator);
        let machine = self.coordinators[coordinator].machine.as_ref();
        let lost = machine.is_some_and(|machine| match &machine.replica.status {
            MemberStatus::Uninitialized(uninitialized) => uninitialized.lost_index.is_some(),
            _ => false,
        });
        match self.leader().filter(|_| lost) {
            Some(leader) => {
                self.with_coordinator(leader, |machine, now| drop(machine.replica.replace(now, &name)));
            }
            None if self.now < self.shape.faults_s + REPLACE_FOR_S => {
                self.schedule(self.now + 1.0, Event::ReplaceMember(coordinator));
            }
            None => {}
        }
    }

    /// Injects one fault, drawn at random, and draws the time of the next; after the faults everything is repaired.
    pub fn inject_fault(&mut self) {
        if self.now >= self.shape.faults_s {
            return self.repair();
        }
        let target = self.draw_target();
        let line = match self.rng.random_range(0..FAULT_NUMBERS) {
            0 | 1 => self.crash_coordinator(target),
            2 => self.stop_coordinator(target),
            3 | 4 => self.stop_worker(target),
            5 => self.crash_worker(target),
            6 | 7 => self.cut_two_coordinators(target),
            8 => self.isolate_coordinator(target),
            9 | 10 => self.cut_worker_one_way(target),
            11 => self.slow_disk(target),
            12 => self.fill_disk(target),
            13 => self.crash_all_coordinators(),
            15 => self.isolate_zone(target),
            // Only while all are well: two lost disks of three are past what a quorum can bear.
            14 if self.verdict.lost_disks == 0 && self.all_well() => self.lose_disk(target),
            _ => self.reload_with_next_epoch(),
        };
        self.verdict.faults.push(format!("{:.3} {line}", self.now));
        let next = -self.shape.fault_every_s * self.rng.random_range(0.001f64..1.0).ln();
        self.schedule(self.now + next, Event::Fault);
    }

    /// Leaders and holders are hit more often than others.
    fn draw_target(&mut self) -> Target {
        let leader = self.leader();
        let coordinator = if self.rng.random_bool(0.5) {
            leader.unwrap_or(0)
        } else {
            self.rng.random_range(0..self.shape.coordinators)
        };
        let holders: Vec<usize> = self.tasks.iter().flat_map(|task| task.claims.keys().copied()).collect();
        let worker = match holders.len() {
            0 => self.rng.random_range(0..self.shape.workers),
            n if self.rng.random_bool(0.7) => holders[self.rng.random_range(0..n)],
            _ => self.rng.random_range(0..self.shape.workers),
        };
        let lasts_s = self.rng.random_range(0.2..8.0);
        Target { coordinator, worker, lasts_s }
    }

    /// Cuts a direction from now on for so long.
    fn cut_for(&mut self, direction: NodePair, lasts_s: f64) {
        self.network.cut(direction, self.now + lasts_s);
    }

    fn crash_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        self.kill_coordinator(coordinator, true);
        self.schedule(self.now + lasts_s, Event::StartCoordinator(coordinator));
        format!("kill {} for {lasts_s:.1} s", coordinator_name(coordinator))
    }

    fn stop_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        self.coordinators[coordinator].paused_until = self.now + lasts_s;
        format!("stop {} for {lasts_s:.1} s", coordinator_name(coordinator))
    }

    fn stop_worker(&mut self, target: Target) -> String {
        let Target { worker, lasts_s, .. } = target;
        self.pause_worker(worker, lasts_s);
        format!("stop w{worker} for {lasts_s:.1} s")
    }

    fn crash_worker(&mut self, target: Target) -> String {
        let Target { worker, lasts_s, .. } = target;
        self.kill_worker(worker);
        self.schedule(self.now + lasts_s, Event::StartWorker(worker));
        format!("kill w{worker} for {lasts_s:.1} s")
    }

    fn cut_two_coordinators(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        let count = self.shape.coordinators;
        let other = (coordinator + self.rng.random_range(1..count.max(2))) % count;
        let direction = NodePair { from: coordinator, to: other };
        self.cut_for(direction, lasts_s);
        let both = self.rng.random_bool(0.5);
        if both {
            self.cut_for(direction.reversed(), lasts_s);
        }
        format!(
            "cut {} {} {} for {lasts_s:.1} s",
            coordinator_name(coordinator),
            coordinator_name(other),
            if both { "" } else { "one way" }
        )
    }

    /// A leader alone with some of its workers.
    fn isolate_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        for other in (0..self.shape.coordinators).filter(|other| *other != coordinator) {
            let direction = NodePair { from: coordinator, to: other };
            self.cut_for(direction, lasts_s);
            self.cut_for(direction.reversed(), lasts_s);
        }
        format!("cut {} off from the others for {lasts_s:.1} s", coordinator_name(coordinator))
    }

    fn cut_worker_one_way(&mut self, target: Target) -> String {
        let Target { coordinator, worker, lasts_s } = target;
        let node = self.worker_node(worker);
        let up = self.rng.random_bool(0.5);
        let from_all = self.rng.random_bool(0.5);
        let coordinators = if from_all { (0..self.shape.coordinators).collect() } else { vec![coordinator] };
        for coordinator in coordinators {
            let up_direction = NodePair { from: node, to: coordinator };
            self.cut_for(if up { up_direction } else { up_direction.reversed() }, lasts_s);
        }
        format!("cut w{worker} one way ({}) for {lasts_s:.1} s", if up { "up" } else { "down" })
    }

    fn slow_disk(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        self.coordinators[coordinator].slow_until = self.now + lasts_s;
        format!("slow disk of {} for {lasts_s:.1} s", coordinator_name(coordinator))
    }

    fn fill_disk(&mut self, target: Target) -> String {
        let Target { coordinator, lasts_s, .. } = target;
        self.coordinators[coordinator].disk.set_full(true);
        self.schedule(self.now + lasts_s, Event::FreeDisk(coordinator));
        format!("full disk of {} for {lasts_s:.1} s", coordinator_name(coordinator))
    }

    fn crash_all_coordinators(&mut self) -> String {
        for coordinator in 0..self.shape.coordinators {
            self.kill_coordinator(coordinator, true);
            let back = self.rng.random_range(0.1..2.0);
            self.schedule(self.now + back, Event::StartCoordinator(coordinator));
        }
        "kill all coordinators".to_owned()
    }

    /// A zone of its own: a coordinator that stalls for a moment, and a worker that reaches it alone.
    fn isolate_zone(&mut self, target: Target) -> String {
        let Target { coordinator, worker, lasts_s } = target;
        let node = self.worker_node(worker);
        for other in (0..self.shape.coordinators).filter(|other| *other != coordinator) {
            for inside in [coordinator, node] {
                let direction = NodePair { from: inside, to: other };
                self.cut_for(direction, lasts_s);
                self.cut_for(direction.reversed(), lasts_s);
            }
        }
        let stalls_s = self.rng.random_range(0.0..2.5);
        self.coordinators[coordinator].paused_until = self.now + stalls_s;
        let name = coordinator_name(coordinator);
        format!("{name} and w{worker} alone for {lasts_s:.1} s, {name} stops for {stalls_s:.1} s of it")
    }

    fn lose_disk(&mut self, target: Target) -> String {
        let coordinator = target.coordinator;
        self.verdict.lost_disks += 1;
        self.kill_coordinator(coordinator, false);
        self.coordinators[coordinator].disk = SimulatedDisk::new();
        self.schedule(self.now + 0.5, Event::StartCoordinator(coordinator));
        self.schedule(self.now + 2.0, Event::ReplaceMember(coordinator));
        format!("{} loses its disk", coordinator_name(coordinator))
    }

    fn reload_with_next_epoch(&mut self) -> String {
        self.epoch += 1;
        let epoch = self.epoch;
        let tasks = self.task_configs();
        for coordinator in 0..self.shape.coordinators {
            let tasks = tasks.clone();
            self.with_coordinator(coordinator, |machine, now| machine.reload(now, epoch, tasks));
        }
        format!("epoch {epoch}")
    }

    /// Every coordinator is a member, and knows what has been decided.
    fn all_well(&self) -> bool {
        let replicas: Vec<_> =
            self.coordinators.iter().filter_map(|process| Some(&process.machine.as_ref()?.replica)).collect();
        let last = replicas.iter().map(|replica| replica.log_position().applied).max().unwrap_or(0);
        replicas.len() == self.coordinators.len()
            && replicas.iter().all(|replica| {
                replica.status == MemberStatus::Active && replica.log_position().applied + MAX_LAG >= last
            })
    }

    /// Ends all faults.
    fn repair(&mut self) {
        self.network.heal();
        for coordinator in &mut self.coordinators {
            coordinator.disk.set_full(false);
            coordinator.slow_until = 0.0;
        }
        for worker in 0..self.shape.workers {
            self.schedule(self.now + 0.1, Event::StartWorker(worker));
        }
    }
}
