//! Simulates the callers, the executor and the dependency of a worker, step by step.

use crate::random_settings::{random_settings, CALL_LINGER_S, CLASSES, KEYED_CLASS};
use crate::random_source::RandomSource;
use crate::worker_model::{RequestState, TrackedRequest, WorkerModel};
use port_worker::{Action, Arrival, Controller, Event, Gauges, Outcome, RequestId};
use std::collections::BTreeMap;
use std::ops::Range;

/// The simulated time between two steps.
pub(crate) const STEP_S: f64 = 0.005;
/// The time in which runs make no progress.
const HANG_S: Range<f64> = 6.0..9.0;
/// The time in which the dependency is slow.
const SLOW_CALLS_S: Range<f64> = 12.0..14.0;
/// When the shutdown notice is sent, and when the process stops.
const SHUTDOWN_S: f64 = 20.0;
const STOP_S: f64 = 23.0;

/// The arrival rate: requests per second for each core.
const ARRIVALS_PER_S_AND_CORE: f64 = 30.0;
/// The number of idempotency keys from which each request draws one.
const KEYS: usize = 60;
/// The processor time of a run after its downstream call.
const RUN_AFTER_CALL_S: f64 = 0.02;

/// Simulates 20 seconds of overload with hanging runs, errors and disconnecting callers, then a shutdown.
pub(crate) fn simulate(seed: u64) -> WorkerModel {
    let mut simulation = Simulation::new(seed);
    while simulation.worker.now_s < STOP_S - STEP_S / 2.0 {
        simulation.step();
    }
    simulation.worker.check_stopped(simulation.arrivals);
    simulation.worker
}

struct Simulation {
    random: RandomSource,
    worker: WorkerModel,
    controller: Controller,
    /// Actions that have not been carried out yet.
    actions: Vec<Action>,
    /// Events of this step, in their order.
    events: Vec<Event>,
    /// The number of requests that have arrived, which is also the identifier of the latest one.
    arrivals: u64,
    wake_at_s: f64,
    /// The probability that the dependency's reply to a call is a rejection.
    call_rejection_chance: f64,
    /// Whether requests carry the time that their callers wait.
    callers_send_deadlines: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = RandomSource::new(seed);
        let settings = random_settings(&mut random);
        let mut actions = Vec::new();
        let controller = Controller::new(settings.clone(), 0.0, &mut actions);
        // In some simulations the dependency rejects every call that it replies to.
        let call_rejection_chance = random.pick(&[0.1, 0.1, 1.0]);
        let callers_send_deadlines = random.chance(0.5);
        Simulation {
            random,
            worker: WorkerModel::new(settings),
            controller,
            actions,
            events: Vec::new(),
            arrivals: 0,
            wake_at_s: f64::MAX,
            call_rejection_chance,
            callers_send_deadlines,
        }
    }

    fn step(&mut self) {
        self.worker.now_s += STEP_S;
        self.worker.ended_in_step.clear();
        self.report_previous_step();
        self.notify_shutdown();
        self.receive_requests();
        let running = self.worker.requests.values().filter(|request| request.is_running()).count().max(1);
        self.advance_requests(running as f64);
        self.wake(running as f64);
        self.dispatch();
        self.worker.check_step();
    }

    /// Reports the outcome of the starts and preemptions of the previous step, as the executor does.
    fn report_previous_step(&mut self) {
        for id in std::mem::take(&mut self.worker.started_after_end) {
            self.events.push(Event::RunEnded { id, outcome: Outcome::NotStarted });
        }
        for id in std::mem::take(&mut self.worker.preempted) {
            self.worker.ended_in_step.push(id);
            self.events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
        }
    }

    fn notify_shutdown(&mut self) {
        let now_s = self.worker.now_s;
        if self.worker.shutdown_notice_s.is_none() && now_s >= SHUTDOWN_S {
            self.worker.shutdown_notice_s = Some(now_s);
            self.events.push(Event::Shutdown { notice_age_s: 0.0, stop_in_s: STOP_S - now_s });
        }
    }

    /// Receives requests at a rate above the capacity of the cores.
    fn receive_requests(&mut self) {
        let per_step = ARRIVALS_PER_S_AND_CORE * f64::from(self.worker.settings.cores) * STEP_S;
        let mut keys_in_step = BTreeMap::new();
        while self.random.chance(per_step / (1.0 + per_step)) {
            self.receive_request(&mut keys_in_step);
        }
    }

    /// Receives one request. `keys_in_step` has the latest attempt of each key that arrived in this step.
    fn receive_request(&mut self, keys_in_step: &mut BTreeMap<u64, RequestId>) {
        self.arrivals += 1;
        let id = RequestId(self.arrivals);
        let class = self.random.below(CLASSES);
        let key = self.random.below(KEYS) as u64;
        let read_delay_s = self.random.unit() * 0.02;
        let now_s = self.worker.now_s;
        let arrived_s = now_s - read_delay_s;
        let retry_of = if class == KEYED_CLASS {
            let retained = self.worker.retained_attempt(key, arrived_s);
            retained.or_else(|| keys_in_step.insert(key, id))
        } else {
            None
        };
        let tenants = self.worker.settings.tenants.len();
        let tenant = (tenants > 0).then(|| self.random.below(tenants));
        let kb = 4.0 + self.random.unit() * 20.0;
        let class_deadline_s = self.worker.settings.classes[class].deadline_s;
        let time_left_s = self.callers_send_deadlines.then(|| self.random.unit() * class_deadline_s);
        let deadline_s = time_left_s.map_or(arrived_s + class_deadline_s, |time_left_s| now_s + time_left_s);
        let estimate_s = self.random.pick(&[None, Some(0.1), Some(0.05), Some(0.0), Some(-3.0), Some(1e300)]);
        let request = TrackedRequest {
            state: RequestState::Queued,
            class,
            kb,
            arrived_s,
            deadline_s,
            key,
            responded: false,
            started: false,
            call_may_have_taken_effect: false,
        };
        self.worker.requests.insert(id, request);
        self.worker.key_of.insert(id, key);
        self.events.push(Event::Arrived(Arrival {
            id,
            class,
            tenant,
            memory_kb: kb,
            read_delay_s,
            time_left_s,
            estimate_s,
            retry_of,
            retry: retry_of.is_some(),
            ..Arrival::default()
        }));
    }

    fn is_hanging(&self) -> bool {
        HANG_S.contains(&self.worker.now_s)
    }

    /// Advances all runs, which share the cores; some callers disconnect.
    fn advance_requests(&mut self, running: f64) {
        let cores = f64::from(self.worker.settings.cores);
        let speed = if self.is_hanging() { 0.0 } else { (cores / running).min(1.0) };
        let ids: Vec<RequestId> = self.worker.requests.keys().copied().collect();
        for id in ids {
            self.advance_request(id, STEP_S * speed);
        }
    }

    /// Advances one request; `run_s` is the processor time that a run gets in this step.
    fn advance_request(&mut self, id: RequestId, run_s: f64) {
        let request = &self.worker.requests[&id];
        let responded = request.responded;
        match request.state {
            RequestState::Running { .. } if !responded && self.random.chance(0.001) => {
                self.worker.request(id).responded = true;
                self.disconnect_caller(id);
            }
            RequestState::Running { left_s } if left_s > 0.0 => self.advance_run(id, left_s - run_s),
            RequestState::Running { .. } => self.end_run(id),
            RequestState::AtCall { .. } if responded => self.cancel_run(id),
            RequestState::Calling { left_s, until_s } => self.advance_call(id, left_s, until_s),
            RequestState::SharingResponse if self.random.chance(0.05) => {
                self.worker.end(id);
                self.worker.responses += 1;
                self.events.push(Event::RunEnded { id, outcome: Outcome::Ok });
            }
            RequestState::Queued if self.random.chance(0.001) => {
                self.worker.end(id);
                self.disconnect_caller(id);
            }
            RequestState::Queued | RequestState::SharingResponse | RequestState::AtCall { .. } => {}
        }
    }

    /// Disconnects the caller of a request before its response.
    fn disconnect_caller(&mut self, id: RequestId) {
        self.worker.responses += 1;
        self.events.push(Event::CallerDisconnected(id));
    }

    /// Records the processor time that a run still needs. When it needs no more, it may reach its downstream call.
    fn advance_run(&mut self, id: RequestId, left_s: f64) {
        let request = self.worker.request(id);
        request.state = RequestState::Running { left_s };
        let responded = request.responded;
        let calls = self.worker.class_of(&self.worker.requests[&id]).makes_calls;
        if left_s <= 0.0 && calls && self.random.chance(0.6) {
            if responded {
                self.cancel_run(id);
            } else {
                self.worker.request(id).state = RequestState::AtCall { left_s: RUN_AFTER_CALL_S };
                self.events.push(Event::CallRequested(id));
            }
        }
    }

    fn end_run(&mut self, id: RequestId) {
        let outcome = if self.random.chance(0.05) { Outcome::Error } else { Outcome::Ok };
        self.worker.complete(id, outcome);
        self.events.push(Event::RunEnded { id, outcome });
    }

    /// Ends a run at its call, since no caller waits for its response any more.
    fn cancel_run(&mut self, id: RequestId) {
        self.worker.end(id);
        self.events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
    }

    /// Advances a call, which is abandoned, times out, or gets a reply.
    fn advance_call(&mut self, id: RequestId, left_s: f64, until_s: f64) {
        let now_s = self.worker.now_s;
        let reply_chance = if SLOW_CALLS_S.contains(&now_s) { 0.005 } else { 0.1 };
        if self.worker.requests[&id].responded {
            self.worker.lingering_calls.push(now_s + CALL_LINGER_S);
            self.cancel_run(id);
        } else if now_s >= until_s {
            self.worker.lingering_calls.push(now_s + CALL_LINGER_S);
            self.end_call(id, left_s, Outcome::TimedOut);
        } else if self.random.chance(reply_chance) {
            let outcome = self.call_outcome();
            self.end_call(id, left_s, outcome);
        }
    }

    fn call_outcome(&mut self) -> Outcome {
        if self.random.chance(self.call_rejection_chance) {
            Outcome::Rejected
        } else if self.random.chance(0.1) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    }

    /// Ends a call. The run continues after a successful reply, and is at its call again after a failure.
    fn end_call(&mut self, id: RequestId, left_s: f64, outcome: Outcome) {
        let request = self.worker.request(id);
        if outcome == Outcome::Ok {
            request.state = RequestState::Running { left_s };
        } else {
            request.state = RequestState::AtCall { left_s };
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Error) {
            request.call_may_have_taken_effect = true;
        }
        self.events.push(Event::CallEnded { id, outcome });
    }

    /// Wakes the controller at the time that it requested, with the gauges of the machine.
    fn wake(&mut self, running: f64) {
        if self.worker.now_s < self.wake_at_s {
            return;
        }
        self.wake_at_s = f64::MAX;
        let cores = f64::from(self.worker.settings.cores);
        let cores_busy = if self.is_hanging() { 0.0 } else { (running / cores).min(1.0) };
        let connections = if self.worker.settings.max_connection_idle_s > 0.0 { 300.0 } else { 0.0 };
        self.events.push(Event::Woken(Gauges {
            cores_busy: Some(cores_busy),
            runnable: Some(running),
            connections: Some(connections),
        }));
    }

    /// Passes the events of the step to the controller, then carries out its actions.
    fn dispatch(&mut self) {
        let now_s = self.worker.now_s;
        for event in std::mem::take(&mut self.events) {
            self.controller.handle(now_s, event, &mut self.actions);
        }
        for action in std::mem::take(&mut self.actions) {
            if let Action::WakeIn(wait_s) = action {
                self.wake_at_s = self.wake_at_s.min(now_s + wait_s);
            }
            self.worker.carry_out(&action);
        }
        self.controller.take_released();
    }
}
