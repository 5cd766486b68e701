//! What a worker knows of the fleet, and what it may do for it. No I/O here; the clock and the dice are passed in.
//!
//! [`FleetMember`] is all of it: told what its link hears and what its calls came to, it gives acts. A worker serves the same
//! with and without it: nothing here is asked before a request is answered.
//!
//! Off without `[fleet]` in an operator's file: then nothing of it is constructed.

pub mod frame;
pub mod lease_holder;
pub mod overload;
pub mod session;
pub mod tasks;

use frame::{CallOutcome, ClientMessage, Counters, FleetTotals, LeaseRef, ServerMessage, VERSION};
use lease_holder::LeaseHolder;
use overload::client::{FleetOverloadClient, LoadSample, OverloadDirective};
use overload::TELL_S;
use session::{Session, Step};
use std::net::SocketAddr;
use tasks::{PeriodDecision, Schedule, ScheduledCall, ScheduledTask};

/// The task whose holder adds up the fleet's figures.
pub const TOTALS: &str = "totals";
/// How often a worker sends its figures (seconds).
const FIGURES_S: f64 = 1.0;

/// What a worker is told of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub fleet: String,
    pub name: String,
    pub zone: String,
    pub coordinators: Vec<SocketAddr>,
    /// The share of a lease that is not used, for drift of the holder's and the coordinators' clocks together.
    pub drift: f64,
    /// Whether this worker would add up the fleet's figures.
    pub adds_up: bool,
    pub tasks: Vec<Schedule>,
    /// Where the fleet handles overload as one: what this worker may have in hand at the service below by itself (mean
    /// number of calls).
    pub overload: Option<f64>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    Connect(SocketAddr),
    Send(ClientMessage),
    Close,
    Call(ScheduledCall),
    Log(String),
}

/// One worker's membership.
pub struct FleetMember {
    plan: MembershipConfig,
    session: Session,
    holder: LeaseHolder,
    tasks: Vec<ScheduledTask>,
    /// Whether it takes tasks: not while it is drained.
    takes: bool,
    leaving: bool,
    /// Another process has this one's place.
    replaced: bool,
    said_bye: bool,
    figures_at: f64,
    totals: Option<(FleetTotals, f64)>,
    /// What it has added up and not yet sent.
    sum: Option<FleetTotals>,
    overload: Option<FleetOverloadClient>,
    /// What is to be told with the next sign of life.
    numbers: Option<LoadSample>,
    acts: Vec<MemberAction>,
}

impl FleetMember {
    /// `process` tells this process from others of its name; `seed` is for pauses.
    pub fn new(now: f64, plan: MembershipConfig, process: u64, seed: u64) -> FleetMember {
        let hello = ClientMessage::Hello {
            fleet: plan.fleet.clone(),
            version: VERSION,
            name: plan.name.clone(),
            zone: plan.zone.clone(),
            process,
        };
        FleetMember {
            session: Session::new(now, plan.coordinators.clone(), seed, hello),
            holder: LeaseHolder::new(plan.drift),
            tasks: plan.tasks.iter().cloned().enumerate().map(|(n, s)| ScheduledTask::new(n, s)).collect(),
            takes: true,
            leaving: false,
            replaced: false,
            said_bye: false,
            figures_at: f64::NEG_INFINITY,
            totals: None,
            sum: None,
            overload: plan.overload.map(|part| FleetOverloadClient::new(now, part, plan.drift)),
            numbers: None,
            acts: Vec::new(),
            plan,
        }
    }

    pub fn plan(&self) -> &MembershipConfig {
        &self.plan
    }

    pub fn take_acts(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.acts)
    }

    /// Time passes. `figures` are this worker's own, if it has any to tell.
    pub fn tick(&mut self, now: f64, figures: impl FnOnce() -> Counters) {
        let mut steps = Vec::new();
        let due = self.session.tick(now, &mut steps);
        self.carry(steps);
        if due {
            self.keep(now, figures);
        }
        if !self.session.is_up() || self.leaving || !self.takes {
            return;
        }
        for n in 0..self.tasks.len() {
            if let Some(say) = self.tasks[n].tick(now, &self.holder) {
                self.acts.push(MemberAction::Send(say));
            }
            if self.tasks[n].gives_up() {
                let name = self.tasks[n].schedule.name.clone();
                self.give_back(&name, true, false);
            }
        }
    }

    fn carry(&mut self, steps: Vec<Step>) {
        self.acts.extend(steps.into_iter().map(|step| match step {
            Step::Connect(to) => MemberAction::Connect(to),
            Step::Send(say) => MemberAction::Send(say),
            Step::Close => MemberAction::Close,
        }));
    }

    fn keep(&mut self, now: f64, figures: impl FnOnce() -> Counters) {
        let tells_s = if self.overload.is_some() { TELL_S } else { f64::INFINITY };
        let every_s = self.holder.renew_every().unwrap_or(f64::INFINITY).min(self.session.keep_every_s);
        let every_s = every_s.min(tells_s);
        let seq = self.session.keep(now, every_s);
        let wants = if self.takes && !self.leaving { self.wants() } else { Vec::new() };
        let due = now - self.figures_at >= FIGURES_S;
        if due {
            self.figures_at = now;
        }
        let held = self.holder.ask(now, seq);
        let numbers = self.numbers.take();
        let load = self.overload.as_mut().zip(numbers).map(|(side, n)| side.report(now, seq, &n));
        self.acts.push(MemberAction::Send(ClientMessage::Heartbeat {
            seq,
            wants,
            held,
            figures: due.then(figures).filter(|f| !f.is_empty()),
            totals: self.sum.take(),
            load,
        }));
    }

    /// Whether a sign of life is due with which this worker tells its load: [`FleetMember::tell`] comes before the tick then.
    pub fn tells(&self, now: f64) -> bool {
        self.overload.is_some() && self.session.keep_due(now)
    }

    /// What this worker's decision module has counted since it was asked last.
    pub fn tell(&mut self, numbers: LoadSample) {
        self.numbers = Some(numbers);
    }

    /// What the decision module may go by now, on the same clock.
    pub fn advice(&self, now: f64) -> Option<OverloadDirective> {
        self.overload.as_ref().map(|side| side.advice(now))
    }

    fn wants(&self) -> Vec<String> {
        let own = self.tasks.iter().map(|t| t.schedule.name.clone());
        own.chain(self.plan.adds_up.then(|| TOTALS.to_owned())).collect()
    }

    pub fn connected(&mut self) {
        let mut steps = Vec::new();
        self.session.connected(&mut steps);
        self.carry(steps);
    }

    /// The link is gone, by whoever's doing.
    pub fn broken(&mut self, now: f64) {
        if self.session.is_up() {
            self.acts.push(MemberAction::Log(
                "fleet: the link to the coordinators is gone; serving goes on".to_owned(),
            ));
        }
        self.session.broken(now);
    }

    pub fn heard(&mut self, now: f64, word: &ServerMessage) {
        let was_up = self.session.is_up();
        let mut steps = Vec::new();
        if self.session.heard(now, word, &mut steps) {
            self.drop_all("the session before is over");
        }
        self.carry(steps);
        match word {
            ServerMessage::Welcome { session, .. } => {
                let at = self.session.coordinator();
                let at = at.map_or_else(String::new, |a| a.to_string());
                self.acts.push(MemberAction::Log(format!("fleet: session {session} over {at}")));
                self.holder.relinked();
                self.overload.iter_mut().for_each(FleetOverloadClient::relinked);
                for task in &mut self.tasks {
                    self.acts.extend(task.relinked(now).map(MemberAction::Send));
                }
            }
            ServerMessage::NotLeader { why, .. } if was_up => {
                self.acts
                    .push(MemberAction::Log(format!("fleet: the coordinator does not lead any more: {why}")));
            }
            ServerMessage::Rejected { why } => {
                self.acts.push(MemberAction::Log(format!("fleet: refused: {why}")))
            }
            ServerMessage::HeartbeatAck { seq, leases, totals, figures, overload } => {
                if let (Some(side), Some(digest)) = (&mut self.overload, overload) {
                    side.heard(*seq, digest);
                }
                for lost in self.holder.kept(*seq, leases) {
                    self.acts.push(MemberAction::Log(format!(
                        "fleet: {} is lost, token {}",
                        lost.task, lost.token
                    )));
                }
                if let Some(totals) = totals {
                    self.totals = Some((totals.clone(), now));
                }
                if self.holder.may_act(now, TOTALS, 0.0).is_some() && !figures.is_empty() {
                    self.sum = Some(add_up(&self.plan.name, figures));
                }
            }
            ServerMessage::LeaseGranted { held } => {
                let ours = self.takes && !self.leaving && self.wants().contains(&held.task);
                if ours {
                    self.acts.push(MemberAction::Log(format!(
                        "fleet: {} is held, token {}",
                        held.task, held.token
                    )));
                    self.holder.granted(held);
                } else {
                    // It was asked for before the drain: nobody here will act for it.
                    let held = held.clone();
                    self.acts.push(MemberAction::Send(ClientMessage::ReleaseLease {
                        held,
                        failed: false,
                        pass_on: self.replaced,
                    }));
                }
                self.session.keep_soon(now);
            }
            ServerMessage::PeriodBegun { held, period, attempt } => {
                let takes = self.takes && !self.leaving;
                if let Some(task) =
                    self.tasks.iter_mut().find(|t| t.schedule.name == held.task).filter(|_| takes)
                {
                    match task.begun(now, held, *period, *attempt, &self.holder) {
                        PeriodDecision::Call(order) => self.acts.push(MemberAction::Call(order)),
                        PeriodDecision::Tell(say) => self.acts.push(MemberAction::Send(say)),
                        PeriodDecision::Overtaken => {}
                    }
                }
            }
            ServerMessage::PeriodNotBegun { held, in_ms, .. } => {
                if let Some(task) = self.tasks.iter_mut().find(|t| t.schedule.name == held.task) {
                    // A little late rather than early: else each period is asked for twice.
                    task.not_begun(now, *in_ms as f64 / 1000.0 + 0.002);
                }
            }
            _ => {}
        }
    }

    /// A call has ended.
    pub fn call_ended(&mut self, now: f64, task: usize, ending: CallOutcome) {
        let Some(scheduled) = self.tasks.get_mut(task) else { return };
        if let Some(say) = scheduled.ended(now, ending) {
            let name = scheduled.schedule.name.clone();
            if ending != CallOutcome::Done {
                self.acts.push(MemberAction::Log(format!("fleet: a call of {name} ended as {ending:?}")));
            }
            self.acts.push(MemberAction::Send(say));
            if self.leaving || !self.takes {
                self.give_back(&name, false, self.replaced);
            }
        }
        self.finish();
    }

    fn drop_all(&mut self, why: &str) {
        for held in self.holder.all() {
            self.acts.push(MemberAction::Log(format!(
                "fleet: {} is lost, token {}: {why}",
                held.task, held.token
            )));
        }
        self.holder.clear();
    }

    fn give_back(&mut self, task: &str, failed: bool, pass_on: bool) {
        if let Some(token) = self.holder.token(task) {
            let held = LeaseRef { task: task.to_owned(), token };
            self.acts.push(MemberAction::Log(format!("fleet: {task} is given back, token {token}")));
            self.holder.drop_lease(task);
            self.acts.push(MemberAction::Send(ClientMessage::ReleaseLease { held, failed, pass_on }));
        }
    }

    /// Gives back what no call is under way for.
    fn give_back_idle(&mut self, pass_on: bool) {
        let held: Vec<LeaseRef> = self.holder.all().collect();
        for one in held {
            if !self.tasks.iter().any(|t| t.schedule.name == one.task && t.calling()) {
                self.give_back(&one.task, false, pass_on);
            }
        }
    }

    /// Whether it takes tasks: a drained worker gives its leases back, and takes them again later.
    pub fn set_takes(&mut self, now: f64, takes: bool) {
        if self.takes != takes {
            self.takes = takes;
            if !takes {
                self.give_back_idle(false);
            }
            self.session.keep_soon(now);
        }
    }

    /// The worker leaves, or another process has its place: leases go first, to that process where there is one.
    pub fn leave(&mut self, replaced: bool) {
        if !self.leaving {
            (self.leaving, self.replaced) = (true, replaced);
            self.give_back_idle(replaced);
            self.finish();
        }
    }

    /// The last word, once no call is under way.
    fn finish(&mut self) {
        if self.leaving
            && !self.said_bye
            && self.session.is_up()
            && !self.tasks.iter().any(ScheduledTask::calling)
        {
            self.said_bye = true;
            self.acts.push(MemberAction::Send(ClientMessage::Goodbye));
        }
    }

    /// When something is due next.
    pub fn next(&self, now: f64) -> f64 {
        let tasks = self.tasks.iter().filter(|t| self.holder.token(&t.schedule.name).is_some());
        let next = tasks.map(ScheduledTask::next).fold(self.session.next(), f64::min);
        // What is due and can't be done now, as under a lease that has run out, is looked at with the next sign of life.
        if next <= now {
            now + 0.05
        } else {
            next
        }
    }

    /// What operators read at the console: names and values.
    pub fn figures(&self, now: f64) -> Vec<(String, String)> {
        let up = self.session.is_up();
        let mut lines = vec![
            ("fleet.linked".to_owned(), u64::from(up).to_string()),
            ("fleet.linked_or_not_for_s".to_owned(), format!("{:.1}", now - self.session.since)),
        ];
        for held in self.holder.all() {
            let left = self.holder.until(&held.task).map_or(0.0, |u| (u - now).max(0.0));
            lines.push((format!("fleet.lease.{}.token", held.task), held.token.to_string()));
            lines.push((format!("fleet.lease.{}.left_s", held.task), format!("{left:.2}")));
        }
        for task in &self.tasks {
            lines.push((format!("fleet.task.{}.calls", task.schedule.name), task.calls.to_string()));
            lines.push((format!("fleet.task.{}.unknown", task.schedule.name), task.unknown.to_string()));
        }
        if let Some((totals, at)) = &self.totals {
            let age = now - at + totals.age_ms as f64 / 1000.0;
            lines.push(("fleet.totals.age_s".to_owned(), format!("{age:.1}")));
            lines.push(("fleet.totals.workers".to_owned(), totals.workers.to_string()));
            lines.extend(totals.counts.iter().map(|(n, v)| (format!("fleet.totals.{n}"), v.to_string())));
        }
        lines
    }

    /// Whether it is in session now.
    pub fn is_linked(&self) -> bool {
        self.session.is_up()
    }

    /// Until when, on its clock, this worker believes that nobody else can hold the task.
    pub fn holds_until(&self, task: &str) -> Option<f64> {
        self.holder.until(task)
    }

    /// The token under which this worker may act for a task now, for an act of `for_s`.
    pub fn may_act(&self, now: f64, task: &str, for_s: f64) -> Option<u64> {
        self.holder.may_act(now, task, for_s)
    }
}

/// The sum of all workers' figures, as old as the oldest of them. What one worker sends can't overflow it.
fn add_up(by: &str, figures: &[(u64, Counters)]) -> FleetTotals {
    let mut counts = Counters::new();
    for (_, one) in figures {
        for (name, value) in one {
            let sum = counts.entry(name.clone()).or_default();
            *sum = sum.saturating_add(*value);
        }
    }
    let age_ms = figures.iter().map(|(age, _)| *age).max().unwrap_or(0);
    FleetTotals { counts, workers: figures.len(), by: by.to_owned(), age_ms }
}
