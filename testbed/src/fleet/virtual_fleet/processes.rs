//! The simulated processes: starting and killing them, and applying the outputs of the code that they run.

use super::links::NodePair;
use super::names::{address, coordinator_name, task_name};
use super::process_state::Clock;
use super::scenario::DisabledCheck;
use super::world::{Event, World};
use fleet_coordinator::coordinator::{Coordinator, CoordinatorAddress, CoordinatorConfig, Output};
use fleet_coordinator::events::CoordinatorEvent;
use fleet_coordinator::leader_state::SafetyChecks;
use fleet_coordinator::state_machine::{Task, LATEST_VERSION};
use port_worker::fleet::frame;
use port_worker::fleet::tasks::{Schedule, ScheduledCall};
use port_worker::fleet::{FleetMember, Incarnation, MemberAction, MembershipConfig};
use rand::Rng;

/// Name of the fleet.
const FLEET: &str = "virtual";
/// Clock drift that workers allow for, as a fraction.
const DRIFT_BOUND: f64 = 0.1;
/// Time after which a coordinator counts a disk write as overdue (seconds).
const WRITE_OVERDUE_S: f64 = 1.0;
/// Pause of a task after a failed call (milliseconds).
const TASK_FAILURE_PAUSE_MS: u64 = 500;
/// Interval between the calls of a task (seconds).
const TASK_PERIOD_S: f64 = 1.0;
/// Time that a worker waits for the response to a call (seconds).
const CALL_DEADLINE_S: f64 = 0.3;
/// Index of the resource's address, beyond those of the coordinators.
const RESOURCE_ADDRESS: usize = 99;
/// Number of zones over which the workers are distributed.
const ZONES: usize = 3;
/// For one in this many calls, the worker is suspended between reading its clock and the arrival of the call.
const PAUSED_CALL_ONE_IN: i32 = 40;

impl World {
    fn draw_clock_rate(&mut self) -> f64 {
        let drift = self.scenario.clock_drift;
        // Each extreme of the range is drawn one time in four, since the extremes test the drift bound.
        match self.rng.random_range(0..4) {
            0 => 1.0 + drift,
            1 => 1.0 - drift,
            _ => self.rng.random_range(1.0 - drift..=1.0 + drift),
        }
    }

    /// Returns the tasks of the coordinators' configuration. The time to live is halved at every even epoch.
    pub fn task_configs(&self) -> Vec<Task> {
        let zones = vec!["z0".to_owned()];
        let ttl_ms = if self.epoch % 2 == 0 { self.scenario.ttl_ms / 2 } else { self.scenario.ttl_ms };
        let task =
            |n| Task { name: task_name(n), ttl_ms, zones: zones.clone(), backoff_ms: TASK_FAILURE_PAUSE_MS };
        (0..self.scenario.tasks).map(task).collect()
    }

    fn coordinator_config(&self, coordinator: usize) -> CoordinatorConfig {
        let addresses = (0..self.scenario.coordinators)
            .map(|n| CoordinatorAddress { name: coordinator_name(n), address: address(n).to_string() });
        CoordinatorConfig {
            fleet: FLEET.to_owned(),
            name: coordinator_name(coordinator),
            coordinators: addresses.collect(),
            epoch: self.epoch,
            tasks: self.task_configs(),
            write_overdue_s: WRITE_OVERDUE_S,
            version: LATEST_VERSION,
            safety_checks: SafetyChecks {
                wait_full_ttl: self.scenario.disabled_check != DisabledCheck::FullTtlWait,
                read_index: self.scenario.disabled_check != DisabledCheck::ReadIndex,
            },
            overload: None,
        }
    }

    /// Starts the process, if it is not running, with the present contents of its disk.
    pub fn start_coordinator(&mut self, coordinator: usize) {
        if self.coordinators[coordinator].machine.is_some() {
            return;
        }
        let rate = self.draw_clock_rate();
        let seed = self.rng.random();
        let machine = Coordinator::new(0.0, self.coordinator_config(coordinator), seed);
        let now = self.now;
        let process = &mut self.coordinators[coordinator];
        process.incarnation += 1;
        process.clock = Clock { rate, started: now };
        process.machine = Some(machine);
        process.paused_until = 0.0;
        process.busy_until = now;
        let incarnation = process.incarnation;
        self.schedule(now, Event::TickCoordinator { coordinator, incarnation });
        self.apply_outputs(coordinator);
    }

    /// Kills the process; with `power_lost`, writes that its disk had not synced may be lost.
    pub fn kill_coordinator(&mut self, coordinator: usize, power_lost: bool) {
        let process = &mut self.coordinators[coordinator];
        process.machine = None;
        process.store = None;
        process.incarnation += 1;
        if power_lost {
            self.lose_power(coordinator);
        }
        for peers in self.network.peers_of(coordinator) {
            self.close_peer_link(peers);
        }
        for worker in 0..self.workers.len() {
            let link = self.workers[worker].link.filter(|link| link.coordinator == coordinator);
            if let Some(link) = link {
                let after = self.draw_latency();
                self.schedule(self.now + after, Event::LinkBroken { worker, link: link.number });
            }
        }
    }

    /// Starts the process, if it is not running.
    pub fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].member.is_some() {
            return;
        }
        let config = self.membership_config(worker);
        let rate = self.draw_clock_rate();
        let incarnation_seed = self.rng.random();
        let seed = self.rng.random();
        let now = self.now;
        let process = &mut self.workers[worker];
        process.incarnation += 1;
        process.clock = Clock { rate, started: now };
        process.member = Some(FleetMember::new(0.0, config, Incarnation(incarnation_seed), seed));
        process.paused_until = 0.0;
        process.link = None;
        let incarnation = process.incarnation;
        self.schedule(now, Event::TickWorker { worker, incarnation });
    }

    fn membership_config(&self, worker: usize) -> MembershipConfig {
        let schedule = |task: usize| Schedule {
            name: task_name(task),
            period_s: TASK_PERIOD_S,
            address: address(RESOURCE_ADDRESS),
            path: "/".to_owned(),
            deadline_s: CALL_DEADLINE_S,
            idempotent: task % 2 == 0,
        };
        MembershipConfig {
            fleet: FLEET.to_owned(),
            name: format!("w{worker}"),
            zone: format!("z{}", worker % ZONES),
            coordinators: (0..self.scenario.coordinators).map(address).collect(),
            drift: if self.scenario.disabled_check == DisabledCheck::DriftBound { 0.0 } else { DRIFT_BOUND },
            computes_totals: false,
            tasks: (0..self.scenario.tasks).map(schedule).collect(),
            overload: None,
        }
    }

    /// Kills the process and closes its link.
    pub fn kill_worker(&mut self, worker: usize) {
        if let Some(link) = self.workers[worker].link {
            self.close_link(worker, link.number);
        }
        let process = &mut self.workers[worker];
        process.member = None;
        process.incarnation += 1;
        for task in &mut self.tasks {
            // A killed process makes no further calls, so it no longer counts as a holder.
            task.claims.remove(&worker);
        }
    }

    /// Suspends the worker for the given time, or until the end of a longer suspension that is in effect.
    pub fn pause_worker(&mut self, worker: usize, for_s: f64) {
        let process = &mut self.workers[worker];
        process.paused_until = process.paused_until.max(self.now + for_s);
    }

    /// Calls `act` with a running coordinator and its local time, and applies the outputs.
    pub fn with_coordinator(&mut self, coordinator: usize, act: impl FnOnce(&mut Coordinator, f64)) {
        let process = &mut self.coordinators[coordinator];
        let now = process.clock.local(self.now);
        if let Some(machine) = &mut process.machine {
            act(machine, now);
        }
        self.apply_outputs(coordinator);
    }

    fn apply_outputs(&mut self, coordinator: usize) {
        let machine = self.coordinators[coordinator].machine.as_mut();
        let outputs = machine.map(Coordinator::take_outputs).unwrap_or_default();
        for output in outputs {
            match output {
                Output::Frame(link, bytes) => self.send_from_coordinator(coordinator, link.0, bytes),
                Output::Close(link) => {
                    if let Some(peers) = self.network.peers_on(link.0) {
                        self.close_peer_link(peers);
                    }
                }
                Output::Peer(name, bytes) => self.send_to_peer(coordinator, &name, &bytes),
                Output::ReconnectPeers => {
                    for to in 0..self.scenario.coordinators {
                        self.close_peer_link(NodePair { from: coordinator, to });
                    }
                }
                Output::Disk(number, job) => self.schedule_disk_job(coordinator, number, job),
                Output::Log(event) => {
                    self.report.elections +=
                        u64::from(matches!(event, CoordinatorEvent::LeaderElected { .. }));
                    self.trace(&coordinator_name(coordinator), &format!("{event:?}"));
                }
            }
        }
    }

    /// Calls `act` with a running worker and its local time, and carries out the resulting actions.
    pub fn with_worker(&mut self, worker: usize, act: impl FnOnce(&mut FleetMember, f64)) {
        let process = &mut self.workers[worker];
        let now = process.clock.local(self.now);
        let Some(member) = &mut process.member else { return };
        act(member, now);
        member.tick(now, Default::default);
        for action in member.take_actions() {
            match action {
                MemberAction::Connect(to) => self.dial(worker, to),
                MemberAction::Send(message) => self.send_from_worker(worker, frame::encode(&message)),
                MemberAction::Close => {
                    if let Some(link) = self.workers[worker].link {
                        self.close_link(worker, link.number);
                    }
                }
                MemberAction::Call(call) => self.send_call(worker, call),
                MemberAction::Log(event) => {
                    self.report.grants +=
                        u64::from(matches!(event, port_worker::fleet::MembershipEvent::LeaseAcquired(_)));
                    self.trace(&format!("w{worker}"), &format!("{event:?}"));
                }
            }
        }
        self.check_claims(worker);
    }

    fn send_call(&mut self, worker: usize, call: ScheduledCall) {
        let incarnation = self.workers[worker].incarnation;
        let duration_s = self.rng.random_range(0.01..0.25);
        // A process may be suspended between reading its clock and the arrival of the call.
        let after = if self.rng.random_range(0..PAUSED_CALL_ONE_IN) == 0 {
            let suspension = self.rng.random_range(0.5..8.0);
            self.pause_worker(worker, suspension);
            suspension
        } else {
            self.draw_latency()
        };
        self.schedule(self.now + after, Event::CallArrives { worker, incarnation, call, duration_s });
    }
}
