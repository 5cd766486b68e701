//! A small legal worker played against the module from a seed; the four rules are asserted at every step.

use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, Preemption,
    RequestId, Settings, Signal, Tenant,
};
use std::collections::{BTreeMap, VecDeque};

struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as f64) / f64::from(1u32 << 31)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Sharing,
    Running(f64),
    Parked(f64),
    Calling(f64, f64),
}

struct Job {
    at: At,
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

struct Worker {
    set: Settings,
    now: f64,
    jobs: BTreeMap<RequestId, Job>,
    /// By key: the try in the table and until when.
    table: BTreeMap<u64, (RequestId, f64)>,
    key_of: BTreeMap<RequestId, u64>,
    /// By key: arrivals of tries that were run.
    runs: BTreeMap<u64, Vec<f64>>,
    notice: Option<f64>,
    answers: u64,
    served: u64,
    log: Vec<String>,
    ended_now: Vec<RequestId>,
    too_late: Vec<RequestId>,
    stopped: Vec<RequestId>,
    /// Calls given up that still linger below, and calls in the dependency's hands, a step each.
    lingering: Vec<f64>,
    in_hand: VecDeque<u32>,
}

impl Worker {
    fn answer(&mut self, id: RequestId) {
        let job = self.jobs.get_mut(&id).expect("an answer to a request in hand");
        assert!(!job.answered, "{id:?} answered twice");
        assert!(self.now <= job.due + self.set.answer_slack_s + 1e-9, "{id:?} answered late");
        job.answered = true;
        self.answers += 1;
    }

    fn obey(&mut self, action: &Action) {
        self.log.push(format!("{:.4} {action:?}", self.now));
        // A batch is made up before the reply: what comes too late is harmless.
        if let Action::Start(id)
        | Action::Reject { id, .. }
        | Action::Fail(id)
        | Action::ShareResponse(id)
        | Action::Call { id, .. } = action
        {
            if !self.jobs.contains_key(id) && self.ended_now.contains(id) {
                if matches!(action, Action::Start(_)) {
                    self.too_late.push(*id);
                }
                return;
            }
        }
        match action {
            Action::Start(id) => {
                let job = self.jobs.get_mut(id).expect("a start of a request in hand");
                assert_eq!(job.at, At::Held);
                if let Some(notice) = self.notice {
                    assert!(job.arrived <= notice + self.set.shutdown_grace_s, "started after the grace");
                }
                if self.set.classes[job.class].effect == Idempotency::Keyed {
                    let window = self.set.classes[job.class].window_s;
                    let runs = self.runs.entry(job.key).or_default();
                    assert!(runs.iter().all(|a| job.arrived > a + window), "an effect twice");
                    runs.push(job.arrived);
                }
                job.ran = true;
                job.at = At::Running(0.05);
            }
            Action::Reject { id, .. } => {
                let job = &self.jobs[id];
                assert!(
                    !job.ran || self.set.classes[job.class].effect == Idempotency::Idempotent,
                    "refused what ran"
                );
                let waits = matches!(job.at, At::Held | At::Sharing);
                self.answer(*id);
                if waits {
                    self.jobs.remove(id);
                }
            }
            Action::Fail(id) => {
                self.answer(*id);
                if matches!(self.jobs[id].at, At::Held | At::Sharing) {
                    self.jobs.remove(id);
                }
            }
            Action::RetainKey { id, for_s } => {
                self.table.insert(self.key_of[id], (*id, self.now + for_s));
            }
            Action::ReleaseKey(id) => {
                let key = self.key_of[id];
                assert!(!self.runs.get(&key).is_some_and(|r| r.iter().any(|a| *a + 8.0 > self.now)));
                self.table.remove(&key);
            }
            Action::ShareResponse(id) => self.jobs.get_mut(id).expect("in hand").at = At::Sharing,
            Action::Call { id, until_s } => {
                let job = self.jobs.get_mut(id).expect("in hand");
                let At::Parked(left) = job.at else { panic!("a call by one that stands at none") };
                let safe = self.set.classes[job.class].effect == Idempotency::Idempotent;
                assert!(safe || !job.called, "a call that may have had its effect is made again");
                job.at = At::Calling(left, *until_s);
            }
            Action::SkipCall(id) => {
                let job = self.jobs.get_mut(id).expect("in hand");
                assert!(self.set.classes[job.class].skipped_call_weight > 0.0, "a call left out for nothing");
                let At::Parked(left) = job.at else { panic!("no call to leave out") };
                job.called = false; // The run goes on; the next call is another.
                job.at = At::Running(left);
            }
            Action::Preempt(id) => {
                assert!(self.set.preemption != Preemption::Never, "stopped where that can't be done");
                if let Some(job) = self.jobs.get(id).filter(|j| matches!(j.at, At::Running(_))) {
                    assert!(job.answered, "stopped though an answer is owed");
                    self.jobs.remove(id);
                    self.stopped.push(*id);
                }
            }
            Action::Publish(level) => {
                let told = self.set.signal == Signal::Weight;
                assert!(told && *level >= 0.0 && level.is_finite());
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let mut kb = 0.0;
        let mut crowd = 0;
        let mut calls = 0;
        for job in self.jobs.values() {
            let held = matches!(job.at, At::Held | At::Sharing);
            kb += job.kb * if held { 1.0 } else { self.set.run_factor };
            crowd += u32::from(matches!(job.at, At::Running(_)));
            calls += u32::from(matches!(job.at, At::Calling(..)));
            assert!(
                job.answered || self.now <= job.due + self.set.answer_slack_s,
                "nothing answered by its due"
            );
        }
        kb +=
            self.table.values().filter(|(_, until)| *until > self.now).count() as f64 * self.set.key_entry_kb;
        assert!(kb <= self.set.memory_kb, "memory: {kb}");
        let rise = self.set.cold_speed + (1.0 - self.set.cold_speed) * self.now / self.set.warm_up_s;
        let cold = if self.set.cold { rise.min(1.0) } else { 1.0 };
        let crowd_top = f64::from(self.set.cores) * (1.0 + (self.set.survivable_multiple - 1.0) * cold);
        assert!(f64::from(crowd) <= crowd_top, "crowd: {crowd}");
        if let Some(dep) = &self.set.dependency {
            assert!(f64::from(calls) <= dep.share.max(1.0), "calls: {calls}");
            self.lingering.retain(|until| *until > self.now);
            self.in_hand.push_back(calls + self.lingering.len() as u32);
            if self.in_hand.len() > (dep.window_s / STEP_S) as usize {
                self.in_hand.pop_front();
            }
            let mean = f64::from(self.in_hand.iter().sum::<u32>()) * STEP_S / dep.window_s;
            assert!(mean <= dep.share + 1e-9, "mean of calls: {mean} of {}", dep.share);
        }
    }
}

const STEP_S: f64 = 0.005;

/// One of these: the usual, or an end of the range.
fn pick<T: Copy>(dice: &mut Dice, of: &[T]) -> T {
    of[(dice.roll() * of.len() as f64) as usize]
}

fn settings(dice: &mut Dice) -> Settings {
    Settings {
        cores: pick(dice, &[1, 1, 2, 2, 4, 6]),
        cold: dice.roll() < 0.3,
        cold_speed: 0.3,
        warm_up_s: 10.0,
        survivable_multiple: 5.0,
        survivable_window_s: 2.0,
        memory_kb: pick(dice, &[600.0, 1_500.0, 6_000.0, 22_000.0]),
        run_factor: 4.0,
        key_entry_kb: 20.0,
        shutdown_grace_s: 1.0,
        answer_slack_s: 0.06,
        wake_ahead_s: 0.002,
        max_retry_after_s: 1.0,
        over_quota_weight: 0.1,
        callers: pick(dice, &[0, 1, 3, 4_000]),
        workers: pick(dice, &[0, 1, 4, 900]),
        idle_s: pick(dice, &[0.0, 0.5, 30.0]),
        signal: pick(dice, &[Signal::None, Signal::RankFloor, Signal::Weight]),
        marks_retries: dice.roll() < 0.5,
        preemption: pick(dice, &[Preemption::Never, Preemption::Discard, Preemption::Pause]),
        dependency: Some(Dependency {
            share: pick(dice, &[0.0, 0.02, 0.3, 0.9, 1.0, 1.7, 5.0]),
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
                skipped_call_weight: pick(dice, &[0.0, 0.3]),
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
        tenants: vec![Tenant { quota_per_s: pick(dice, &[0.0, 0.5, 40.0]) }; pick(dice, &[0, 2, 300])],
        ..Settings::default()
    }
}

/// Plays twenty seconds of overload with hangs, errors and callers that go, then a notice to leave.
fn play(seed: u64) -> Worker {
    let mut dice = Dice(seed.wrapping_mul(7919).wrapping_add(17));
    let set = settings(&mut dice);
    let mut out = Vec::new();
    let mut controller = Controller::new(set.clone(), 0.0, &mut out);
    let mut w = Worker {
        set,
        now: 0.0,
        jobs: BTreeMap::new(),
        table: BTreeMap::new(),
        key_of: BTreeMap::new(),
        runs: BTreeMap::new(),
        notice: None,
        answers: 0,
        served: 0,
        log: Vec::new(),
        ended_now: Vec::new(),
        too_late: Vec::new(),
        stopped: Vec::new(),
        lingering: Vec::new(),
        in_hand: VecDeque::new(),
    };
    let (mut next_id, mut wake, stop) = (1u64, f64::MAX, 23.0);
    let mut arrivals = 0u64;
    // Some dependencies turn every call away; some callers say how long they wait.
    let (sheds, patient) = (pick(&mut dice, &[0.1, 0.1, 1.0]), dice.roll() < 0.5);
    let step = STEP_S;
    while w.now < stop - step / 2.0 {
        w.now += step;
        let now = w.now;
        let hang = (6.0..9.0).contains(&now);
        let mut events: Vec<Event> = Vec::new();
        w.ended_now.clear();
        let mut batch_keys: BTreeMap<u64, RequestId> = BTreeMap::new();
        for id in std::mem::take(&mut w.too_late) {
            events.push(Event::RunEnded { id, outcome: Outcome::NotStarted });
        }
        for id in std::mem::take(&mut w.stopped) {
            w.ended_now.push(id);
            events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
        }
        if w.notice.is_none() && now >= 20.0 {
            w.notice = Some(now);
            events.push(Event::Shutdown { ago_s: 0.0, in_s: stop - now });
        }
        let rate = 30.0 * f64::from(w.set.cores);
        while dice.roll() < rate * step / (1.0 + rate * step) {
            let (class, key) = ((dice.roll() * 4.0) as usize, (dice.roll() * 60.0) as u64);
            let id = RequestId(next_id);
            next_id += 1;
            arrivals += 1;
            let unread = dice.roll() * 0.02;
            let retry_of = if class == 2 {
                let kept = w.table.get(&key).filter(|(_, until)| *until > now - unread).map(|e| e.0);
                kept.or_else(|| batch_keys.insert(key, id))
            } else {
                None
            };
            let tenant =
                (!w.set.tenants.is_empty()).then(|| (dice.roll() * w.set.tenants.len() as f64) as usize);
            let kb = 4.0 + dice.roll() * 20.0;
            let arrived = now - unread;
            let time_left_s = patient.then(|| dice.roll() * w.set.classes[class].deadline_s);
            let due = time_left_s.map_or(arrived + w.set.classes[class].deadline_s, |s| now + s);
            let estimate_s =
                pick(&mut dice, &[None, Some(0.1), Some(0.05), Some(0.0), Some(-3.0), Some(1e300)]);
            let (answered, ran, called) = (false, false, false);
            let job = Job { at: At::Held, class, kb, arrived, due, key, answered, ran, called };
            w.jobs.insert(id, job);
            w.key_of.insert(id, key);
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
        let running = w.jobs.values().filter(|j| matches!(j.at, At::Running(_))).count().max(1);
        let speed = if hang { 0.0 } else { (f64::from(w.set.cores) / running as f64).min(1.0) };
        let ids: Vec<RequestId> = w.jobs.keys().copied().collect();
        for id in ids {
            let job = w.jobs.get_mut(&id).unwrap();
            let calls = w.set.classes[job.class].calls;
            match job.at {
                At::Running(_) if !job.answered && dice.roll() < 0.001 => {
                    job.answered = true;
                    w.answers += 1;
                    events.push(Event::CallerGone(id));
                }
                At::Running(left) if left > 0.0 => {
                    let left = left - step * speed;
                    job.at = At::Running(left);
                    if left <= 0.0 && calls && dice.roll() < 0.6 {
                        if job.answered {
                            w.jobs.remove(&id);
                            w.ended_now.push(id);
                            events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                        } else {
                            job.at = At::Parked(0.02);
                            events.push(Event::AtCall(id));
                        }
                    }
                }
                At::Running(_) => {
                    let outcome = if dice.roll() < 0.05 { Outcome::Error } else { Outcome::Ok };
                    if !job.answered {
                        assert!(now <= job.due + w.set.answer_slack_s + 1e-9, "ran past its due");
                        w.answers += 1;
                        w.served += u64::from(outcome == Outcome::Ok);
                    }
                    w.jobs.remove(&id);
                    w.ended_now.push(id);
                    events.push(Event::RunEnded { id, outcome });
                }
                At::Parked(_) if job.answered => {
                    w.jobs.remove(&id);
                    w.ended_now.push(id);
                    events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                }
                At::Calling(left, until) => {
                    let slow = (12.0..14.0).contains(&now);
                    if job.answered {
                        w.jobs.remove(&id);
                        w.ended_now.push(id);
                        w.lingering.push(now + 0.2);
                        events.push(Event::RunEnded { id, outcome: Outcome::Cancelled });
                    } else if now >= until {
                        job.at = At::Parked(left);
                        job.called = true;
                        w.lingering.push(now + 0.2);
                        events.push(Event::CallEnded { id, outcome: Outcome::TimedOut });
                    } else if dice.roll() < if slow { 0.005 } else { 0.1 } {
                        if dice.roll() < sheds {
                            job.at = At::Parked(left);
                            events.push(Event::CallEnded { id, outcome: Outcome::Rejected });
                        } else if dice.roll() < 0.1 {
                            job.at = At::Parked(left);
                            job.called = true;
                            events.push(Event::CallEnded { id, outcome: Outcome::Error });
                        } else {
                            job.at = At::Running(left);
                            events.push(Event::CallEnded { id, outcome: Outcome::Ok });
                        }
                    }
                }
                At::Sharing if dice.roll() < 0.05 => {
                    w.jobs.remove(&id);
                    w.ended_now.push(id);
                    w.answers += 1;
                    events.push(Event::RunEnded { id, outcome: Outcome::Ok });
                }
                At::Held if dice.roll() < 0.001 => {
                    w.jobs.remove(&id);
                    w.ended_now.push(id);
                    w.answers += 1;
                    events.push(Event::CallerGone(id));
                }
                _ => {}
            }
        }
        if now >= wake {
            wake = f64::MAX;
            let busy = if hang { 0.0 } else { (running as f64 / f64::from(w.set.cores)).min(1.0) };
            let connections = Some(if w.set.idle_s > 0.0 { 300.0 } else { 0.0 });
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
            w.obey(&action);
        }
        controller.take_released();
        w.check();
    }
    assert!(w.jobs.values().all(|j| j.answered), "left at the stop without an answer");
    assert_eq!(w.answers, arrivals);
    w
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
