//! Fault injection: the kind of each fault, its target and its duration are drawn at random.

use super::links::NodePair;
use super::names::coordinator_name;
use super::process_state::CoordinatorProcess;
use super::world::{Event, World};
use durable_log::simulated::SimulatedDisk;
use fleet_coordinator::replica::MemberStatus;
use rand::Rng;

/// Number of equally likely draws for a fault's kind; some kinds have several.
const FAULT_CHOICES: i32 = 17;
/// Time after the fault phase in which the operator still replaces coordinators that lost their disks (seconds).
const REPLACE_PERIOD_S: f64 = 5.0;
/// Number of log entries by which a replica may lag and still count as up to date.
const MAX_LAG_ENTRIES: u64 = 2;

/// Target and duration of a fault.
#[derive(Clone, Copy)]
struct Target {
    coordinator: usize,
    worker: usize,
    duration_s: f64,
}

impl World {
    fn leader(&self) -> Option<usize> {
        let is_leader =
            |process: &CoordinatorProcess| process.machine.as_ref().is_some_and(|m| m.replica.is_leader());
        self.coordinators.iter().position(is_leader)
    }

    /// Replaces, as an operator would, a coordinator that reports a lost disk; tries again later while there is no leader.
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
            None if self.now < self.scenario.fault_phase_s + REPLACE_PERIOD_S => {
                self.schedule(self.now + 1.0, Event::ReplaceMember(coordinator));
            }
            None => {}
        }
    }

    /// Injects a random fault and schedules the next; after the fault phase, calls `repair` instead.
    pub fn inject_fault(&mut self) {
        if self.now >= self.scenario.fault_phase_s {
            return self.repair();
        }
        let target = self.draw_target();
        let line = match self.rng.random_range(0..FAULT_CHOICES) {
            0 | 1 => self.crash_coordinator(target),
            2 => self.suspend_coordinator(target),
            3 | 4 => self.suspend_worker(target),
            5 => self.crash_worker(target),
            6 | 7 => self.cut_two_coordinators(target),
            8 => self.isolate_coordinator(target),
            9 | 10 => self.cut_worker_one_way(target),
            11 => self.slow_disk(target),
            12 => self.fill_disk(target),
            13 => self.crash_all_coordinators(),
            15 => self.isolate_zone(target),
            // At most one disk is lost per run, and only while all replicas are up to date: of three coordinators, two
            // must keep the data.
            14 if self.report.lost_disks == 0 && self.all_up_to_date() => self.lose_disk(target),
            _ => self.reload_with_next_epoch(),
        };
        self.report.faults.push(format!("{:.3} {line}", self.now));
        let next = -self.scenario.mean_fault_interval_s * self.rng.random_range(0.001f64..1.0).ln();
        self.schedule(self.now + next, Event::Fault);
    }

    /// Draws a target; the leader and lease holders are drawn more often than others.
    fn draw_target(&mut self) -> Target {
        let leader = self.leader();
        let coordinator = if self.rng.random_bool(0.5) {
            leader.unwrap_or(0)
        } else {
            self.rng.random_range(0..self.scenario.coordinators)
        };
        let holders: Vec<usize> = self.tasks.iter().flat_map(|task| task.claims.keys().copied()).collect();
        let worker = match holders.len() {
            0 => self.rng.random_range(0..self.scenario.workers),
            n if self.rng.random_bool(0.7) => holders[self.rng.random_range(0..n)],
            _ => self.rng.random_range(0..self.scenario.workers),
        };
        let duration_s = self.rng.random_range(0.2..8.0);
        Target { coordinator, worker, duration_s }
    }

    /// Partitions one direction for the given time.
    fn cut_for(&mut self, direction: NodePair, duration_s: f64) {
        self.network.cut(direction, self.now + duration_s);
    }

    fn crash_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        self.kill_coordinator(coordinator, true);
        self.schedule(self.now + duration_s, Event::StartCoordinator(coordinator));
        format!("kill {} for {duration_s:.1} s", coordinator_name(coordinator))
    }

    fn suspend_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        self.coordinators[coordinator].paused_until = self.now + duration_s;
        format!("suspend {} for {duration_s:.1} s", coordinator_name(coordinator))
    }

    fn suspend_worker(&mut self, target: Target) -> String {
        let Target { worker, duration_s, .. } = target;
        self.pause_worker(worker, duration_s);
        format!("suspend w{worker} for {duration_s:.1} s")
    }

    fn crash_worker(&mut self, target: Target) -> String {
        let Target { worker, duration_s, .. } = target;
        self.kill_worker(worker);
        self.schedule(self.now + duration_s, Event::StartWorker(worker));
        format!("kill w{worker} for {duration_s:.1} s")
    }

    fn cut_two_coordinators(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        let count = self.scenario.coordinators;
        let other = (coordinator + self.rng.random_range(1..count.max(2))) % count;
        let direction = NodePair { from: coordinator, to: other };
        self.cut_for(direction, duration_s);
        let both = self.rng.random_bool(0.5);
        if both {
            self.cut_for(direction.reversed(), duration_s);
        }
        format!(
            "cut {} {} {} for {duration_s:.1} s",
            coordinator_name(coordinator),
            coordinator_name(other),
            if both { "" } else { "one way" }
        )
    }

    /// Cuts a coordinator off from the others, but not from workers.
    fn isolate_coordinator(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        for other in (0..self.scenario.coordinators).filter(|other| *other != coordinator) {
            let direction = NodePair { from: coordinator, to: other };
            self.cut_for(direction, duration_s);
            self.cut_for(direction.reversed(), duration_s);
        }
        format!("isolate {} from the other coordinators for {duration_s:.1} s", coordinator_name(coordinator))
    }

    fn cut_worker_one_way(&mut self, target: Target) -> String {
        let Target { coordinator, worker, duration_s } = target;
        let node = self.worker_node(worker);
        let up = self.rng.random_bool(0.5);
        let from_all = self.rng.random_bool(0.5);
        let coordinators =
            if from_all { (0..self.scenario.coordinators).collect() } else { vec![coordinator] };
        for coordinator in coordinators {
            let up_direction = NodePair { from: node, to: coordinator };
            self.cut_for(if up { up_direction } else { up_direction.reversed() }, duration_s);
        }
        format!("cut w{worker} one way ({}) for {duration_s:.1} s", if up { "up" } else { "down" })
    }

    fn slow_disk(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        self.coordinators[coordinator].slow_until = self.now + duration_s;
        format!("slow down disk of {} for {duration_s:.1} s", coordinator_name(coordinator))
    }

    fn fill_disk(&mut self, target: Target) -> String {
        let Target { coordinator, duration_s, .. } = target;
        self.coordinators[coordinator].disk.set_full(true);
        self.schedule(self.now + duration_s, Event::FreeDiskSpace(coordinator));
        format!("fill disk of {} for {duration_s:.1} s", coordinator_name(coordinator))
    }

    fn crash_all_coordinators(&mut self) -> String {
        for coordinator in 0..self.scenario.coordinators {
            self.kill_coordinator(coordinator, true);
            let down_s = self.rng.random_range(0.1..2.0);
            self.schedule(self.now + down_s, Event::StartCoordinator(coordinator));
        }
        "kill all coordinators".to_owned()
    }

    /// Isolates a zone: one coordinator, which is also suspended for a short time, and a worker that reaches only it.
    fn isolate_zone(&mut self, target: Target) -> String {
        let Target { coordinator, worker, duration_s } = target;
        let node = self.worker_node(worker);
        for other in (0..self.scenario.coordinators).filter(|other| *other != coordinator) {
            for inside in [coordinator, node] {
                let direction = NodePair { from: inside, to: other };
                self.cut_for(direction, duration_s);
                self.cut_for(direction.reversed(), duration_s);
            }
        }
        let stall_s = self.rng.random_range(0.0..2.5);
        self.coordinators[coordinator].paused_until = self.now + stall_s;
        let name = coordinator_name(coordinator);
        format!(
            "isolate {name} and w{worker} for {duration_s:.1} s, suspend {name} for the first {stall_s:.1} s"
        )
    }

    fn lose_disk(&mut self, target: Target) -> String {
        let coordinator = target.coordinator;
        self.report.lost_disks += 1;
        self.kill_coordinator(coordinator, false);
        self.coordinators[coordinator].disk = SimulatedDisk::new();
        self.schedule(self.now + 0.5, Event::StartCoordinator(coordinator));
        self.schedule(self.now + 2.0, Event::ReplaceMember(coordinator));
        format!("lose disk of {}", coordinator_name(coordinator))
    }

    fn reload_with_next_epoch(&mut self) -> String {
        self.epoch += 1;
        let epoch = self.epoch;
        let tasks = self.task_configs();
        for coordinator in 0..self.scenario.coordinators {
            let tasks = tasks.clone();
            self.with_coordinator(coordinator, |machine, now| machine.reload(now, epoch, tasks));
        }
        format!("reload with epoch {epoch}")
    }

    /// Whether all coordinators run as active members and have applied the log up to [`MAX_LAG_ENTRIES`].
    fn all_up_to_date(&self) -> bool {
        let replicas: Vec<_> =
            self.coordinators.iter().filter_map(|process| Some(&process.machine.as_ref()?.replica)).collect();
        let last = replicas.iter().map(|replica| replica.log_position().applied).max().unwrap_or(0);
        replicas.len() == self.coordinators.len()
            && replicas.iter().all(|replica| {
                replica.status == MemberStatus::Active
                    && replica.log_position().applied + MAX_LAG_ENTRIES >= last
            })
    }

    /// Ends all partitions and disk faults, and starts the workers that are not running. Suspended processes resume, and
    /// killed coordinators start, at the end that was drawn for their faults.
    fn repair(&mut self) {
        self.network.heal();
        for coordinator in &mut self.coordinators {
            coordinator.disk.set_full(false);
            coordinator.slow_until = 0.0;
        }
        for worker in 0..self.scenario.workers {
            self.schedule(self.now + 0.1, Event::StartWorker(worker));
        }
    }
}
