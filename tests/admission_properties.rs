//! A small legal worker that plays random loads against the admission controller, from a seed; the rules of
//! the platform are asserted at every step.

use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, Preemption,
    RequestId, Settings, Signal, Tenant,
};
use std::collections::{BTreeMap, VecDeque};

/// A fixed generator (Knuth's MMIX constants).
struct RandomSource(u64);

impl RandomSource {
    /// A number from 0 to 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64) / f64::from(1u32 << 31)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Queued,
    /// Waits for the response of the run with its key.
    Sharing,
    /// What is left to run (seconds).
    Running(f64),
    /// Waits for permission to make its call; what is left to run after it (seconds).
    BeforeCall(f64),
    /// What is left to run after the call (seconds), and when the call times out.
    Calling(f64, f64),
}

struct Job {
    phase: Phase,
    class: usize,
    kb: f64,
    arrived: f64,
    due: f64,
    key: u64,
    answered: bool,
    ran: bool,
    /// A call of it may have had its effect.
    called: bool,
}

struct SimulatedWorker {
    settings: Settings,
    now: f64,
    jobs: BTreeMap<RequestId, Job>,
    /// By key: the attempt that holds it, and until when.
    retained_keys: BTreeMap<u64, (RequestId, f64)>,
    key_of: BTreeMap<RequestId, u64>,
    /// By key: arrivals of attempts that were run.
    runs: BTreeMap<u64, Vec<f64>>,
    notice: Option<f64>,
    answers: u64,
    served: u64,
    log: Vec<String>,
    ended_in_step: Vec<RequestId>,
    started_too_late: Vec<RequestId>,
    preempted: Vec<RequestId>,
    /// Until when each cancelled call still works downstream.
    lingering: Vec<f64>,
    /// Calls in flight at the dependency, by step.
    calls_in_flight: VecDeque<u32>,
}

impl SimulatedWorker {
    fn answer(&mut self, id: RequestId) {
        let job = self.jobs.get_mut(&id).expect("a response to an open request");
        assert!(!job.answered, "{id:?} answered twice");
        assert!(self.now <= job.due + self.settings.answer_slack_s + 1e-9, "{id:?} answered late");
        job.answered = true;
        self.answers += 1;
    }

    fn apply(&mut self, action: &Action) {
        self.log.push(format!("{:.4} {action:?}", self.now));
        // Events of a step are made before the reply to them: what comes too late is harmless.
        if let Action::Start(id)
        | Action::Reject { id, .. }
        | Action::Fail(id)
        | Action::ShareResponse(id)
        | Action::Call { id, .. } = action
        {
            if !self.jobs.contains_key(id) && self.ended_in_step.contains(id) {
                if matches!(action, Action::Start(_)) {
                    self.started_too_late.push(*id);
                }
                return;
            }
        }
        match action {
            Action::Start(id) => {
                let job = self.jobs.get_mut(id).expect("a start of an open request");
                assert_eq!(job.phase, Phase::Queued);
                if let Some(notice) = self.notice {
                    assert!(
                        job.arrived <= notice + self.settings.shutdown_grace_s,
                        "started after the grace"
                    );
                }
                if self.settings.classes[job.class].effect == Idempotency::Keyed {
                    let window = self.settings.classes[job.class].window_s;
                    let runs = self.runs.entry(job.key).or_default();
                    assert!(runs.iter().all(|a| job.arrived > a + window), "an effect twice");
                    runs.push(job.arrived);
                }
                job.ran = true;
                job.phase = Phase::Running(0.05);
            }
            Action::Reject { id, .. } => {
                let job = &self.jobs[id];
                assert!(
                    !job.ran || self.settings.classes[job.class].effect == Idempotency::Idempotent,
                    "rejected what ran"
                );
                let waits = matches!(job.phase, Phase::Queued | Phase::Sharing);
                self.answer(*id);
                if waits {
                    self.jobs.remove(id);
                }
            }
            Action::Fail(id) => {
                self.answer(*id);
                if matches!(self.jobs[id].phase, Phase::Queued | Phase::Sharing) {
                    self.jobs.remove(id);
                }
            }
            Action::RetainKey { id, for_s } => {
                self.retained_keys.insert(self.key_of[id], (*id, self.now + for_s));
            }
            Action::ReleaseKey(id) => {
                let key = self.key_of[id];
                assert!(!self.runs.get(&key).is_some_and(|r| r.iter().any(|a| *a + 8.0 > self.now)));
                self.retained_keys.remove(&key);
            }
            Action::ShareResponse(id) => {
                self.jobs.get_mut(id).expect("an open request").phase = Phase::Sharing;
            }
            Action::Call { id, until_s } => {
                let job = self.jobs.get_mut(id).expect("an open request");
                let Phase::BeforeCall(left) = job.phase else {
                    panic!("a call by a run that waits for none")
                };
                let safe = self.settings.classes[job.class].effect == Idempotency::Idempotent;
                assert!(safe || !job.called, "a call that may have had its effect is made again");
                job.phase = Phase::Calling(left, *until_s);
            }
            Action::SkipCall(id) => {
                let job = self.jobs.get_mut(id).expect("an open request");
                assert!(
                    self.settings.classes[job.class].skipped_call_weight > 0.0,
                    "a call skipped for nothing"
                );
                let Phase::BeforeCall(left) = job.phase else { panic!("no call to skip") };
                job.called = false; // The run goes on; the next call is another.
                job.phase = Phase::Running(left);
            }
            Action::Preempt(id) => {
                assert!(self.settings.preemption != Preemption::Never, "preempted where that can't be done");
                if let Some(job) = self.jobs.get(id).filter(|j| matches!(j.phase, Phase::Running(_))) {
                    assert!(job.answered, "preempted though an answer is owed");
                    self.jobs.remove(id);
                    self.preempted.push(*id);
                }
            }
            Action::Publish(level) => {
                let told = self.settings.signal == Signal::Weight;
                assert!(told && *level >= 0.0 && level.is_finite());
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let mut kb = 0.0;
        let mut running = 0;
        let mut calls = 0;
        for job in self.jobs.values() {
            let held = matches!(job.phase, Phase::Queued | Phase::Sharing);
            kb += job.kb * if held { 1.0 } else { self.settings.run_factor };
            running += u32::from(matches!(job.phase, Phase::Running(_)));
            calls += u32::from(matches!(job.phase, Phase::Calling(..)));
            assert!(
                job.answered || self.now <= job.due + self.settings.answer_slack_s,
                "no response by the deadline"
            );
        }
        kb += self.retained_keys.values().filter(|(_, until)| *until > self.now).count() as f64
            * self.settings.key_entry_kb;
        assert!(kb <= self.settings.memory_kb, "memory: {kb}");
        let rise =
            self.settings.cold_speed + (1.0 - self.settings.cold_speed) * self.now / self.settings.warm_up_s;
        let cold = if self.settings.cold { rise.min(1.0) } else { 1.0 };
        let run_limit =
            f64::from(self.settings.cores) * (1.0 + (self.settings.survivable_multiple - 1.0) * cold);
        assert!(f64::from(running) <= run_limit, "running: {running}");
        if let Some(dep) = &self.settings.dependency {
            assert!(f64::from(calls) <= dep.share.max(1.0), "calls: {calls}");
            self.lingering.retain(|until| *until > self.now);
            self.calls_in_flight.push_back(calls + self.lingering.len() as u32);
            if self.calls_in_flight.len() > (dep.window_s / STEP_S) as usize {
                self.calls_in_flight.pop_front();
            }
            let mean = self.calls_in_flight.iter().sum::<u32>() as f64 * STEP_S / dep.window_s;
            assert!(mean <= dep.share + 1e-9, "mean of calls: {mean} of {}", dep.share);
        }
    }
}

const STEP_S: f64 = 0.005;

/// Draws one of these: the usual values, and the ends of the range.
fn pick<T: Copy>(random: &mut RandomSource, of: &[T]) -> T {
    of[(random.unit() * of.len() as f64) as usize]
}

fn draw_settings(random: &mut RandomSource) -> Settings {
    Settings {
        cores: pick(random, &[1, 1, 2, 2, 4, 6]),
        cold: random.unit() < 0.3,
        cold_speed: 0.3,
        warm_up_s: 10.0,
        survivable_multiple: 5.0,
        survivable_window_s: 2.0,
        memory_kb: pick(random, &[600.0, 1_500.0, 6_000.0, 22_000.0]),
        run_factor: 4.0,
        key_entry_kb: 20.0,
        shutdown_grace_s: 1.0,
        answer_slack_s: 0.06,
        wake_ahead_s: 0.002,
        max_retry_after_s: 1.0,
        over_quota_weight: 0.1,
        callers: pick(random, &[0, 1, 3, 4_000]),
        workers: pick(random, &[0, 1, 4, 900]),
        idle_s: pick(random, &[0.0, 0.5, 30.0]),
        signal: pick(random, &[Signal::None, Signal::RankFloor, Signal::Weight]),
        marks_retries: random.unit() < 0.5,
        preemption: pick(random, &[Preemption::Never, Preemption::Discard, Preemption::Pause]),
        dependency: Some(Dependency {
            share: pick(random, &[0.0, 0.02, 0.3, 0.9, 1.0, 1.7, 5.0]),
            window_s: 5.0,
            linger_s: 0.2,
        }),
        classes: vec![
            Class { weight: 1.0, objective_s: 0.8, deadline_s: 2.0, calls: true, ..Class::default() },
            Class { weight: 2.0, objective_s: 0.6, deadline_s: 1.5, ..Class::default() },
            Class {
                weight: 4.0,
                objective_s: 0.7,
                deadline_s: 2.0,
                effect: Idempotency::Keyed,
                window_s: 8.0,
                calls: true,
                skipped_call_weight: pick(random, &[0.0, 0.3]),
                ..Class::default()
            },
            Class {
                weight: 2.0,
                objective_s: 0.7,
                deadline_s: 2.0,
                late_weight: 0.2,
                effect: Idempotency::NotIdempotent,
                calls: true,
                ..Class::default()
            },
        ],
        tenants: vec![Tenant { quota_per_s: pick(random, &[0.0, 0.5, 40.0]) }; pick(random, &[0, 2, 300])],
        ..Settings::default()
    }
}

/// Plays twenty seconds of overload with stalls, errors and callers that leave, then a graceful shutdown.
fn play(seed: u64) -> SimulatedWorker {
    let mut random = RandomSource(seed.wrapping_mul(7919).wrapping_add(17));
    let settings = draw_settings(&mut random);
    let mut out = Vec::new();
    let mut controller = Controller::new(settings.clone(), 0.0, &mut out);
    let mut worker = SimulatedWorker {
        settings,
        now: 0.0,
        jobs: BTreeMap::new(),
        retained_keys: BTreeMap::new(),
        key_of: BTreeMap::new(),
        runs: BTreeMap::new(),
        notice: None,
        answers: 0,
        served: 0,
        log: Vec::new(),
        ended_in_step: Vec::new(),
        started_too_late: Vec::new(),
        preempted: Vec::new(),
        lingering: Vec::new(),
        calls_in_flight: VecDeque::new(),
    };
    let (mut next_id, mut wake, stop) = (1u64, f64::MAX, 23.0);
    let mut arrivals = 0u64;
    // Some dependencies reject every call; some callers send how long they wait.
    let (rejection_rate, sends_time_left) = (pick(&mut random, &[0.1, 0.1, 1.0]), random.unit() < 0.5);
    while worker.now < stop - STEP_S / 2.0 {
        worker.now += STEP_S;
        let now = worker.now;
        let hang = (6.0..9.0).contains(&now);
        let mut events: Vec<Event> = Vec::new();
        worker.ended_in_step.clear();
        let mut batch_keys: BTreeMap<u64, RequestId> = BTreeMap::new();
        for id in std::mem::take(&mut worker.started_too_late) {
            events.push(Event::RunEnded { id, outcome: Outcome::NotStarted });
        }
        for id in std::mem::take(&mut worker.preempted) {
            worker.ended_in_step.push(id);
            events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
        }
        if worker.notice.is_none() && now >= 20.0 {
            worker.notice = Some(now);
            events.push(Event::Shutdown { ago_s: 0.0, in_s: stop - now });
        }
        let rate = 30.0 * f64::from(worker.settings.cores);
        while random.unit() < rate * STEP_S / (1.0 + rate * STEP_S) {
            let (class, key) = ((random.unit() * 4.0) as usize, (random.unit() * 60.0) as u64);
            let id = RequestId(next_id);
            next_id += 1;
            arrivals += 1;
            let unread = random.unit() * 0.02;
            let retry_of = if class == 2 {
                let retained =
                    worker.retained_keys.get(&key).filter(|(_, until)| *until > now - unread).map(|e| e.0);
                retained.or_else(|| batch_keys.insert(key, id))
            } else {
                None
            };
            let tenant = (!worker.settings.tenants.is_empty())
                .then(|| (random.unit() * worker.settings.tenants.len() as f64) as usize);
            let kb = 4.0 + random.unit() * 20.0;
            let arrived = now - unread;
            let time_left_s =
                sends_time_left.then(|| random.unit() * worker.settings.classes[class].deadline_s);
            let due = time_left_s.map_or(arrived + worker.settings.classes[class].deadline_s, |s| now + s);
            let estimate_s =
                pick(&mut random, &[None, Some(0.1), Some(0.05), Some(0.0), Some(-3.0), Some(1e300)]);
            let (answered, ran, called) = (false, false, false);
            let job = Job { phase: Phase::Queued, class, kb, arrived, due, key, answered, ran, called };
            worker.jobs.insert(id, job);
            worker.key_of.insert(id, key);
            let retry = retry_of.is_some();
            events.push(Event::Arrived(Arrival {
                id,
                class,
                tenant,
                kb,
                read_delay_s: unread,
                time_left_s,
                estimate_s,
                retry_of,
                retry,
                ..Arrival::default()
            }));
        }
        let running = worker.jobs.values().filter(|j| matches!(j.phase, Phase::Running(_))).count().max(1);
        let progress = if hang { 0.0 } else { (f64::from(worker.settings.cores) / running as f64).min(1.0) };
        let ids: Vec<RequestId> = worker.jobs.keys().copied().collect();
        for id in ids {
            let job = worker.jobs.get_mut(&id).unwrap();
            let calls = worker.settings.classes[job.class].calls;
            match job.phase {
                Phase::Running(_) if !job.answered && random.unit() < 0.001 => {
                    job.answered = true;
                    worker.answers += 1;
                    events.push(Event::CallerGone(id));
                }
                Phase::Running(left) if left > 0.0 => {
                    let left = left - STEP_S * progress;
                    job.phase = Phase::Running(left);
                    if left <= 0.0 && calls && random.unit() < 0.6 {
                        if job.answered {
                            worker.jobs.remove(&id);
                            worker.ended_in_step.push(id);
                            events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                        } else {
                            job.phase = Phase::BeforeCall(0.02);
                            events.push(Event::AtCall(id));
                        }
                    }
                }
                Phase::Running(_) => {
                    let outcome = if random.unit() < 0.05 { Outcome::Error } else { Outcome::Ok };
                    if !job.answered {
                        assert!(
                            now <= job.due + worker.settings.answer_slack_s + 1e-9,
                            "ran past its deadline"
                        );
                        worker.answers += 1;
                        worker.served += u64::from(outcome == Outcome::Ok);
                    }
                    worker.jobs.remove(&id);
                    worker.ended_in_step.push(id);
                    events.push(Event::RunEnded { id, outcome });
                }
                Phase::BeforeCall(_) if job.answered => {
                    worker.jobs.remove(&id);
                    worker.ended_in_step.push(id);
                    events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                }
                Phase::Calling(left, until) => {
                    let slow = (12.0..14.0).contains(&now);
                    if job.answered {
                        worker.jobs.remove(&id);
                        worker.ended_in_step.push(id);
                        worker.lingering.push(now + 0.2);
                        events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                    } else if now >= until {
                        job.phase = Phase::BeforeCall(left);
                        job.called = true;
                        worker.lingering.push(now + 0.2);
                        events.push(Event::CallEnded { id, outcome: Outcome::TimedOut });
                    } else if random.unit() < if slow { 0.005 } else { 0.1 } {
                        if random.unit() < rejection_rate {
                            job.phase = Phase::BeforeCall(left);
                            events.push(Event::CallEnded { id, outcome: Outcome::Rejected });
                        } else if random.unit() < 0.1 {
                            job.phase = Phase::BeforeCall(left);
                            job.called = true;
                            events.push(Event::CallEnded { id, outcome: Outcome::Error });
                        } else {
                            job.phase = Phase::Running(left);
                            events.push(Event::CallEnded { id, outcome: Outcome::Ok });
                        }
                    }
                }
                Phase::Sharing if random.unit() < 0.05 => {
                    worker.jobs.remove(&id);
                    worker.ended_in_step.push(id);
                    worker.answers += 1;
                    events.push(Event::RunEnded { id, outcome: Outcome::Ok });
                }
                Phase::Queued if random.unit() < 0.001 => {
                    worker.jobs.remove(&id);
                    worker.ended_in_step.push(id);
                    worker.answers += 1;
                    events.push(Event::CallerGone(id));
                }
                _ => {}
            }
        }
        if now >= wake {
            wake = f64::MAX;
            let busy = if hang { 0.0 } else { (running as f64 / f64::from(worker.settings.cores)).min(1.0) };
            let connections = Some(if worker.settings.idle_s > 0.0 { 300.0 } else { 0.0 });
            let runnable = Some(running as f64);
            events.push(Event::Woken(Gauges { cores_busy: Some(busy), runnable, connections }));
        }
        for event in events {
            controller.handle(now, event, &mut out);
        }
        for action in std::mem::take(&mut out) {
            if let Action::WakeIn(s) = action {
                wake = wake.min(now + s);
            }
            worker.apply(&action);
        }
        controller.take_released();
        worker.check();
    }
    assert!(worker.jobs.values().all(|j| j.answered), "without a response at the stop");
    assert_eq!(worker.answers, arrivals);
    worker
}

#[test]
fn admission_rules_hold_at_every_step_of_random_loads() {
    let mut served = 0;
    for seed in 0..160 {
        let worker = play(seed);
        assert!(worker.answers > 300, "seed {seed}: {} answers", worker.answers);
        served += worker.served;
    }
    assert!(served > 160 * 30, "{served} served");
}

#[test]
fn same_events_give_the_same_actions() {
    assert_eq!(play(5).log, play(5).log);
}
