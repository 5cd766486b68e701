//! What a leader does beside the log: it hears the workers' signs of life, renews their leases, grants free ones, and
//! frees those whose holder is silent. Soft state, without I/O: it begins anew with each leader.
//!
//! Owed to callers: a renewal is granted only after a quorum has confirmed, later than the renewal came, that this leader
//! leads; a lease is freed no sooner than its whole time after the last renewal that may have been granted, by this
//! leader or by one before. Together with a holder that counts from when it *sent* the renewal, that is why two holders
//! never act at once.

pub use crate::lease_clock::SafetyChecks;
use crate::lease_clock::{LeaseClock, ReadIndexQueue};
use crate::state_machine::{Command, Entry as LogEntry, LeaseStateMachine, Outcome, Refusal, ReleaseReason};
use port_worker::fleet::frame::{
    CallOutcome, Counters, FleetTotals, LeaseRef, RenewedLease, ServerMessage, MAX_TASKS,
};
use port_worker::fleet::overload::leader::{Leader, Settings};
use port_worker::fleet::overload::LoadReport;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// How long a silent session is kept (milliseconds): longer than a worker needs to find a new leader.
pub const SESSION_TTL_MS: u64 = 10_000;
/// How often a worker gives a sign of life (milliseconds).
pub const KEEP_EVERY_MS: u64 = 1000;
/// The task whose holder adds up the fleet's figures.
pub const TOTALS: &str = "totals";
/// Figures by name that one worker may send.
const FIGURES_MOST: usize = 64;
/// A proposal that nothing came of is made again after so long (seconds).
const AGAIN_S: f64 = 2.0;
/// How long a lease that a replaced process gave back waits for its successor's session (seconds): the door may pass
/// within milliseconds of the successor's start.
const HEIR_S: f64 = 2.0;

/// Which link a word goes to.
pub type LinkId = u64;

/// What the leader is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    Send(LinkId, ServerMessage),
    Propose(Command),
    Confirm(u64),
    /// A line for the log.
    Note(String),
}

/// A session as the leader sees it.
#[derive(Clone, Debug, Default)]
struct LiveSession {
    link: Option<LinkId>,
    until: f64,
    /// Tasks that it would take, with its place in the queue.
    wants: BTreeMap<String, u64>,
    figures: Counters,
    figures_at: f64,
    /// When proposed to be closed.
    closing: Option<f64>,
}

/// A renewal that waits for the quorum's word.
#[derive(Clone, Debug)]
struct Renewal {
    link: LinkId,
    session: u64,
    seq: u64,
    came: f64,
    /// It told its load, and is told the fleet's.
    tells: bool,
    /// With the time to live that was counted when it came: no more than that is given, whatever is in force by the
    /// time the quorum has spoken.
    held: Vec<(LeaseRef, u64)>,
}

#[derive(Clone, Debug)]
pub struct LeaderState {
    guards: SafetyChecks,
    leads: bool,
    sessions: BTreeMap<u64, LiveSession>,
    links: BTreeMap<LinkId, u64>,
    /// Links whose session is being opened, by name and process.
    opening: BTreeMap<LinkId, (String, u64)>,
    /// How long its leases last.
    tenure: LeaseClock,
    /// What it makes of the workers' load, where the coordinators' file has `[overload]`.
    overload: Option<(Settings, Leader)>,
    /// By token: leases that wait for a successor, from which session, and until when.
    passing: BTreeMap<u64, (LeaseRef, u64, f64)>,
    /// By task: since when, and to which session.
    granting: BTreeMap<String, (f64, u64)>,
    /// Holders that failed, by task and name: until when they wait by the log's time, and what that is on this clock.
    paused: BTreeMap<(String, String), (u64, f64)>,
    renewals: ReadIndexQueue<Renewal>,
    place: u64,
    totals: Option<(FleetTotals, f64)>,
    acts: Vec<LeaderAction>,
}

impl LeaderState {
    pub fn new(guards: SafetyChecks, overload: Option<Settings>) -> LeaderState {
        LeaderState::fresh(guards, 1, overload.map(|settings| (settings, Leader::lead(0.0, settings))))
    }

    /// Nothing but the numbers of questions goes on from one tenure to the next.
    fn fresh(guards: SafetyChecks, next_question: u64, overload: Option<(Settings, Leader)>) -> LeaderState {
        LeaderState {
            guards,
            overload,
            leads: false,
            sessions: BTreeMap::new(),
            links: BTreeMap::new(),
            opening: BTreeMap::new(),
            tenure: LeaseClock::default(),
            passing: BTreeMap::new(),
            granting: BTreeMap::new(),
            paused: BTreeMap::new(),
            renewals: ReadIndexQueue::new(next_question, AGAIN_S),
            place: 0,
            totals: None,
            acts: Vec::new(),
        }
    }

    pub fn take_acts(&mut self) -> Vec<LeaderAction> {
        std::mem::take(&mut self.acts)
    }

    /// This member leads from now on. What was before may have granted anything up to now.
    pub fn lead(&mut self, now: f64, facts: &LeaseStateMachine) {
        let overload = self.overload.take().map(|(settings, _)| (settings, Leader::lead(now, settings)));
        *self = LeaderState::fresh(self.guards, self.renewals.next(), overload);
        self.leads = true;
        self.tenure = LeaseClock::lead(self.guards, now, facts.leases.values());
        for id in facts.sessions.keys() {
            self.sessions.insert(
                *id,
                LiveSession { until: now + SESSION_TTL_MS as f64 / 1000.0, ..LiveSession::default() },
            );
        }
    }

    /// It leads no more: nothing that waits will be granted here. Links that it served.
    pub fn follow(&mut self) -> Vec<LinkId> {
        let links = self.links.keys().chain(self.opening.keys()).copied().collect();
        *self = LeaderState::fresh(self.guards, self.renewals.next(), self.overload.take());
        links
    }

    /// A worker says hello.
    pub fn hello(&mut self, now: f64, link: LinkId, hello: Hello, facts: &LeaseStateMachine) {
        let Hello { name, zone, process, version } = hello;
        self.opening.insert(link, (name.clone(), process));
        // One that comes back costs the log nothing, or all that come back after a change of leader would at once.
        let known =
            facts.sessions.iter().find(|(_, s)| s.process == process && s.name == name).map(|(id, _)| *id);
        if let Some(id) = known.filter(|id| self.sessions.get(id).map_or(true, |l| l.closing.is_none())) {
            return self.opened(now, &name, process, &Ok(Outcome::Opened(id)));
        }
        self.acts.push(LeaderAction::Propose(Command::Open { name, zone, process, version }));
    }

    pub fn closed(&mut self, link: LinkId) {
        self.opening.remove(&link);
        if let Some(live) = self.links.remove(&link).and_then(|s| self.sessions.get_mut(&s)) {
            if live.link == Some(link) {
                // Its wants stay with the link: nobody can be told of a grant that way.
                (live.link, live.wants) = (None, BTreeMap::new());
            }
        }
    }

    /// The session that speaks on this link.
    pub fn session(&self, link: LinkId) -> Option<u64> {
        self.links.get(&link).copied()
    }

    /// A sign of life.
    pub fn keep(&mut self, now: f64, link: LinkId, keep: Keep, facts: &LeaseStateMachine) {
        let Some(session) = self.session(link).filter(|s| facts.sessions.contains_key(s)) else {
            return self.acts.push(LeaderAction::Send(link, ServerMessage::SessionExpired));
        };
        let Some(live) = self.sessions.get_mut(&session) else { return };
        live.until = now + SESSION_TTL_MS as f64 / 1000.0;
        let wants: BTreeSet<String> = keep.wants.into_iter().take(MAX_TASKS).collect();
        live.wants.retain(|task, _| wants.contains(task));
        for task in wants {
            // Whoever holds it is not in the queue; it goes to its end when it has had its turn.
            let holds = facts.leases.get(&task).is_some_and(|l| l.session == session);
            if holds {
                live.wants.remove(&task);
            } else if let Entry::Vacant(empty) = live.wants.entry(task) {
                self.place += 1;
                empty.insert(self.place);
            }
        }
        if let Some(figures) = keep.figures {
            live.figures = figures.into_iter().take(FIGURES_MOST).collect();
            live.figures_at = now;
        }
        if let Some(totals) = keep.totals {
            if facts.leases.get(TOTALS).is_some_and(|l| l.session == session) {
                self.totals = Some((totals, now));
            }
        }
        let held: Vec<LeaseRef> = keep.held.into_iter().take(MAX_TASKS).collect();
        let mut counted = Vec::new();
        for one in held {
            let own = facts.lease(&one).filter(|l| l.session == session);
            let ttl_ms = own.map_or(0, |lease| self.tenure.came(now, lease));
            counted.push((one, ttl_ms));
        }
        if let (Some(load), Some((_, overload))) = (&keep.load, &mut self.overload) {
            let zone = facts.sessions.get(&session).map_or("", |s| s.zone.as_str());
            overload.receive(now, session, zone, load);
        }
        let (seq, tells) = (keep.seq, keep.load.is_some());
        self.renewals.came(Renewal { link, session, seq, came: now, tells, held: counted });
    }

    /// Asks for the quorum's word for all renewals that have come since it was asked last.
    pub fn ask(&mut self, now: f64, facts: &LeaseStateMachine) {
        if !self.guards.confirm {
            for renewal in self.renewals.take_fresh() {
                self.renew(now, renewal, facts);
            }
        }
        self.acts.extend(self.renewals.ask(now).map(LeaderAction::Confirm));
    }

    /// A quorum has confirmed that this member led after it asked this.
    pub fn confirmed(&mut self, now: f64, number: u64, facts: &LeaseStateMachine) {
        for renewal in self.renewals.confirmed(number) {
            self.renew(now, renewal, facts);
        }
        self.ask(now, facts);
    }

    fn renew(&mut self, now: f64, renewal: Renewal, facts: &LeaseStateMachine) {
        let valid = |held: &LeaseRef| {
            let held_still = facts.lease(held).is_some_and(|l| l.session == renewal.session);
            held_still && !self.tenure.is_freeing(held.token)
        };
        let leases: Vec<RenewedLease> = renewal
            .held
            .iter()
            .filter(|(held, ttl_ms)| *ttl_ms > 0 && valid(held))
            .map(|(held, ttl_ms)| RenewedLease { held: held.clone(), ttl_ms: *ttl_ms })
            .collect();
        let adds_up = leases.iter().any(|r| r.held.task == TOTALS);
        let figures = match adds_up {
            true => self
                .sessions
                .values()
                .filter(|l| !l.figures.is_empty())
                .map(|l| (((now - l.figures_at) * 1000.0) as u64, l.figures.clone()))
                .collect(),
            false => Vec::new(),
        };
        let totals = self.totals.clone().map(|(totals, at)| FleetTotals {
            age_ms: totals.age_ms + ((now - at) * 1000.0) as u64,
            ..totals
        });
        let zone = facts.sessions.get(&renewal.session).map_or("", |s| s.zone.as_str());
        let digest = |o: &mut Leader| o.digest(now, renewal.came, renewal.session, zone);
        let overload = self.overload.as_mut().filter(|_| renewal.tells).map(|(_, o)| digest(o));
        let word = ServerMessage::HeartbeatAck { seq: renewal.seq, leases, totals, figures, overload };
        self.acts.push(LeaderAction::Send(renewal.link, word));
    }

    /// A holder has stopped acting under this lease.
    pub fn give_back(
        &mut self,
        now: f64,
        link: LinkId,
        held: LeaseRef,
        failed: bool,
        pass_on: bool,
        facts: &LeaseStateMachine,
    ) {
        let Some(session) = self.session(link) else { return };
        if !facts.lease(&held).is_some_and(|l| l.session == session) {
            return;
        }
        self.tenure.free(now, held.token);
        if pass_on {
            self.passing.insert(held.token, (held, session, now + HEIR_S));
            return self.pass_on(now, facts);
        }
        let why = if failed { ReleaseReason::Failed } else { ReleaseReason::GivenBack };
        self.acts.push(LeaderAction::Propose(Command::Free { held, why }));
    }

    /// Leases of replaced processes go to their successors, or to anybody when those don't come.
    fn pass_on(&mut self, now: f64, facts: &LeaseStateMachine) {
        let mut acts = Vec::new();
        self.passing.retain(|_, (held, from, until)| {
            let name = facts.sessions.get(from).map_or("", |s| s.name.as_str());
            let heir = facts.newest(name).filter(|heir| *heir > *from);
            let act = match heir {
                Some(session) => Command::Transfer { held: held.clone(), session },
                None if now >= *until => Command::Free { held: held.clone(), why: ReleaseReason::GivenBack },
                None => return true,
            };
            acts.push(LeaderAction::Propose(act));
            false
        });
        self.acts.extend(acts);
    }

    /// A worker leaves, and acts no more.
    pub fn bye(&mut self, now: f64, link: LinkId, facts: &LeaseStateMachine) {
        let Some(session) = self.session(link) else { return };
        for (task, lease) in facts.leases.iter().filter(|(_, l)| l.session == session) {
            if self.passing.contains_key(&lease.token) {
                continue;
            }
            self.tenure.free(now, lease.token);
            let held = LeaseRef { task: task.clone(), token: lease.token };
            self.acts.push(LeaderAction::Propose(Command::Free { held, why: ReleaseReason::GivenBack }));
        }
        self.acts.push(LeaderAction::Propose(Command::Close { session }));
        if let Some(live) = self.sessions.get_mut(&session) {
            // One that still has a lease to pass on is closed after that.
            (live.closing, live.until) = (Some(now), now);
        }
    }

    pub fn begin(&mut self, link: LinkId, asked: Asked, facts: &LeaseStateMachine) {
        let Asked { held, every_ms, safe, attempt } = asked;
        let own = self.session(link).is_some_and(|s| facts.lease(&held).is_some_and(|l| l.session == s));
        if own && !self.tenure.is_freeing(held.token) {
            self.acts.push(LeaderAction::Propose(Command::Begin {
                held,
                every_ms: every_ms.max(1),
                safe,
                attempt,
            }));
        } else {
            let why = Refusal::NotHeld.to_string();
            self.acts.push(LeaderAction::Send(link, ServerMessage::PeriodNotBegun { held, in_ms: 0, why }));
        }
    }

    pub fn end(&mut self, held: LeaseRef, period: u64, ending: CallOutcome) {
        self.acts.push(LeaderAction::Propose(Command::End { held, period, ending }));
    }

    /// A command has been applied; whoever waits for it is told.
    pub fn applied(
        &mut self,
        now: f64,
        entry: &LogEntry,
        result: &Result<Outcome, Refusal>,
        facts: &LeaseStateMachine,
    ) {
        if !self.leads {
            return;
        }
        match (&entry.command, result) {
            (Command::Open { name, process, .. }, result) => self.opened(now, name, *process, result),
            (Command::Close { session }, Ok(_)) => {
                self.overload.iter_mut().for_each(|(_, overload)| overload.remove(*session));
                if let Some(link) = self.sessions.remove(session).and_then(|live| live.link) {
                    self.links.remove(&link);
                }
            }
            (Command::Grant { task, .. }, result) => {
                self.granting.remove(task);
                self.granted(now, result, facts);
            }
            (Command::Transfer { held, .. }, result) => {
                self.tenure.freed(held.token);
                self.granted(now, result, facts);
            }
            (Command::Free { held, .. }, Ok(_)) => self.tenure.freed(held.token),
            (Command::Begin { held, attempt, .. }, result) => {
                let Some(link) = self.link_of(held, facts) else { return };
                let held = held.clone();
                self.acts.push(LeaderAction::Send(
                    link,
                    match result {
                        Ok(Outcome::Begun(period)) => {
                            ServerMessage::PeriodBegun { held, period: *period, attempt: *attempt }
                        }
                        Err(Refusal::NotDue(in_ms)) => {
                            ServerMessage::PeriodNotBegun { held, in_ms: *in_ms, why: String::new() }
                        }
                        Err(why) => {
                            ServerMessage::PeriodNotBegun { held, in_ms: KEEP_EVERY_MS, why: why.to_string() }
                        }
                        Ok(_) => return,
                    },
                ));
            }
            _ => {}
        }
    }

    fn opened(&mut self, now: f64, name: &str, process: u64, result: &Result<Outcome, Refusal>) {
        let waiting = self.opening.iter().filter(|(_, (n, p))| n == name && *p == process);
        let links: Vec<LinkId> = waiting.map(|(link, _)| *link).collect();
        for link in links {
            self.opening.remove(&link);
            let word = match result {
                Ok(Outcome::Opened(session)) => {
                    let live = self.sessions.entry(*session).or_default();
                    // A worker that came over a new link is not heard on the old one any more.
                    if let Some(old) = live.link.replace(link).filter(|old| *old != link) {
                        self.links.remove(&old);
                    }
                    live.until = now + SESSION_TTL_MS as f64 / 1000.0;
                    self.links.insert(link, *session);
                    ServerMessage::Welcome {
                        session: *session,
                        session_ttl_ms: SESSION_TTL_MS,
                        keep_every_ms: KEEP_EVERY_MS,
                        version: crate::state_machine::LATEST,
                    }
                }
                Ok(_) => continue,
                Err(why) => ServerMessage::Rejected { why: why.to_string() },
            };
            self.acts.push(LeaderAction::Send(link, word));
        }
    }

    fn granted(&mut self, now: f64, result: &Result<Outcome, Refusal>, facts: &LeaseStateMachine) {
        let Ok(Outcome::Granted(held)) = result else { return };
        let ttl_ms = facts.lease(held).map_or(0, |l| l.ttl_ms);
        self.tenure.granted(now, held.token, ttl_ms);
        if let Some(link) = self.link_of(held, facts) {
            self.acts.push(LeaderAction::Send(link, ServerMessage::LeaseGranted { held: held.clone() }));
        }
    }

    fn link_of(&self, held: &LeaseRef, facts: &LeaseStateMachine) -> Option<LinkId> {
        self.sessions.get(&facts.lease(held)?.session)?.link
    }

    /// What the log says of holders that failed, on this leader's clock. One that comes to lead counts what was left by
    /// the last entry's time, so a pause lasts a little longer over a change of leader, never shorter.
    fn note_pauses(&mut self, now: f64, facts: &LeaseStateMachine) {
        let known =
            |task: &String, name: &String| facts.failed.get(task).is_some_and(|f| f.contains_key(name));
        self.paused.retain(|(task, name), _| known(task, name));
        for (task, by_name) in &facts.failed {
            for (name, failed) in by_name {
                let left_s = failed.until_ms.saturating_sub(facts.at_ms) as f64 / 1000.0;
                let entry = self.paused.entry((task.clone(), name.clone())).or_insert((0, now));
                if entry.0 != failed.until_ms {
                    *entry = (failed.until_ms, now + left_s);
                }
            }
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: f64, facts: &LeaseStateMachine) {
        if !self.leads {
            return;
        }
        self.ask(now, facts);
        self.pass_on(now, facts);
        self.note_pauses(now, facts);
        if let Some((_, overload)) = &mut self.overload {
            self.acts.extend(overload.evaluate(now).into_iter().map(LeaderAction::Note));
        }
        self.free_silent(now, facts);
        self.grant_free(now, facts);
    }

    fn free_silent(&mut self, now: f64, facts: &LeaseStateMachine) {
        for (task, lease) in &facts.leases {
            if self.tenure.lapses(now, lease, AGAIN_S) {
                let held = LeaseRef { task: task.clone(), token: lease.token };
                self.acts.push(LeaderAction::Propose(Command::Free { held, why: ReleaseReason::Lapsed }));
            }
        }
        for id in facts.sessions.keys() {
            let fresh = LiveSession { until: now + SESSION_TTL_MS as f64 / 1000.0, ..LiveSession::default() };
            let live = self.sessions.entry(*id).or_insert(fresh);
            let holds = facts.leases.values().any(|l| l.session == *id);
            if now >= live.until && !holds && live.closing.map_or(true, |at| now - at > AGAIN_S) {
                live.closing = Some(now);
                self.acts.push(LeaderAction::Propose(Command::Close { session: *id }));
            }
        }
        self.sessions.retain(|id, _| facts.sessions.contains_key(id));
    }

    /// One of those that wait is granted each free task: preferred zones first, then whoever holds fewest, then whoever
    /// has waited longest. One is told, not all that wait.
    fn grant_free(&mut self, now: f64, facts: &LeaseStateMachine) {
        for (name, task) in &facts.tasks {
            let tried = self.granting.get(name).is_some_and(|(at, _)| now - at < AGAIN_S);
            if facts.leases.contains_key(name) || tried {
                continue;
            }
            let next = self.sessions.iter().filter_map(|(id, live)| {
                let place = *live.wants.get(name)?;
                let session = facts.sessions.get(id)?;
                // Of two processes of one name the older goes first; it passes its leases on when it leaves.
                let beside = facts.sessions.iter().any(|(other, s)| other < id && s.name == session.name);
                let paused = self.paused.get(&(name.clone(), session.name.clone()));
                let ready = live.link.is_some() && live.closing.is_none() && now < live.until;
                if beside || !ready || paused.is_some_and(|(_, until)| now < *until) {
                    return None;
                }
                let zone = task.zones.iter().position(|z| *z == session.zone).unwrap_or(task.zones.len());
                // Tasks are spread: whoever holds fewest goes before whoever has waited longest.
                let held = facts.leases.values().filter(|l| l.session == *id).count();
                let coming = self.granting.values().filter(|(_, session)| session == id).count();
                Some((zone, held + coming, place, *id))
            });
            if let Some((.., session)) = next.min() {
                self.granting.insert(name.clone(), (now, session));
                self.acts.push(LeaderAction::Propose(Command::Grant { task: name.clone(), session }));
            }
        }
    }

    /// What the leader makes of the workers' load, for operators.
    pub fn overload(&self) -> Option<&Leader> {
        self.overload.as_ref().map(|(_, leader)| leader)
    }

    /// The same, for what operators set.
    pub fn overload_mut(&mut self) -> Option<&mut Leader> {
        self.overload.as_mut().map(|(_, leader)| leader)
    }

    /// The leases and who waits, for operators.
    pub fn waiting(&self, task: &str) -> usize {
        self.sessions.values().filter(|l| l.wants.contains_key(task)).count()
    }

    /// How long the session has been silent (seconds), and whether it is linked.
    pub fn silence(&self, now: f64, session: u64) -> Option<(f64, bool)> {
        let live = self.sessions.get(&session)?;
        Some(((now - live.until + SESSION_TTL_MS as f64 / 1000.0).max(0.0), live.link.is_some()))
    }

    /// How long a lease lasts at most (seconds), if nothing renews it.
    pub fn left(&self, now: f64, token: u64) -> f64 {
        self.tenure.left_s(now, token)
    }
}

/// Who says hello.
#[derive(Clone, Debug)]
pub struct Hello {
    pub name: String,
    pub zone: String,
    pub process: u64,
    pub version: u32,
}

/// A question whether a period's call may be sent.
#[derive(Clone, Debug)]
pub struct Asked {
    pub held: LeaseRef,
    pub every_ms: u64,
    pub safe: bool,
    pub attempt: u64,
}

/// A sign of life, as it was said.
#[derive(Clone, Debug, Default)]
pub struct Keep {
    pub seq: u64,
    pub wants: Vec<String>,
    pub held: Vec<LeaseRef>,
    pub figures: Option<Counters>,
    pub totals: Option<FleetTotals>,
    pub load: Option<LoadReport>,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state_machine::Task;

    fn tasks(epoch: u64, ttl_ms: u64) -> Command {
        let task = Task { name: "t".into(), ttl_ms, zones: Vec::new(), pause_ms: 0 };
        Command::Tasks { epoch, tasks: vec![task] }
    }

    #[test]
    fn a_renewal_gives_no_more_than_was_counted_when_it_came() {
        let mut facts = LeaseStateMachine::default();
        let apply =
            |facts: &mut LeaseStateMachine, command| facts.apply(&LogEntry { at_ms: 0, command }).unwrap();
        apply(&mut facts, tasks(1, 1000));
        apply(&mut facts, Command::Open { name: "w".into(), zone: "z".into(), process: 1, version: 2 });
        apply(&mut facts, Command::Grant { task: "t".into(), session: 1 });
        let mut desk = LeaderState::new(SafetyChecks::default(), None);
        desk.lead(0.0, &facts);
        desk.hello(0.0, 5, Hello { name: "w".into(), zone: "z".into(), process: 1, version: 2 }, &facts);
        let held = vec![LeaseRef { task: "t".into(), token: 1 }];
        desk.keep(1.0, 5, Keep { seq: 1, held: held.clone(), ..Keep::default() }, &facts);
        desk.ask(1.0, &facts);
        // The time to live grows between the renewal and the quorum's word for it.
        apply(&mut facts, tasks(2, 9000));
        desk.confirmed(1.1, 1, &facts);
        let leases = vec![RenewedLease { held: held[0].clone(), ttl_ms: 1000 }];
        let kept =
            ServerMessage::HeartbeatAck { seq: 1, leases, totals: None, figures: Vec::new(), overload: None };
        assert_eq!(desk.take_acts().pop(), Some(LeaderAction::Send(5, kept)));
        assert!(desk.left(1.1, 1) <= 1.0);
    }

    #[test]
    fn a_holder_that_failed_waits_under_the_next_leader_too() {
        let mut facts = LeaseStateMachine::default();
        let apply = |facts: &mut LeaseStateMachine, at_ms, command| {
            facts.apply(&LogEntry { at_ms, command }).unwrap()
        };
        let task = Task { name: "t".into(), ttl_ms: 1000, zones: Vec::new(), pause_ms: 4000 };
        apply(&mut facts, 0, Command::Tasks { epoch: 1, tasks: vec![task] });
        apply(&mut facts, 0, Command::Open { name: "w".into(), zone: "z".into(), process: 1, version: 2 });
        apply(&mut facts, 0, Command::Grant { task: "t".into(), session: 1 });
        let held = LeaseRef { task: "t".into(), token: 1 };
        apply(&mut facts, 500, Command::Free { held, why: ReleaseReason::Failed });
        // This leader's clock began long before the log's.
        let mut desk = LeaderState::new(SafetyChecks::default(), None);
        desk.lead(900.0, &facts);
        desk.hello(900.0, 5, Hello { name: "w".into(), zone: "z".into(), process: 1, version: 2 }, &facts);
        let grant = LeaderAction::Propose(Command::Grant { task: "t".into(), session: 1 });
        let mut granted_at = |now: f64| {
            desk.keep(now, 5, Keep { seq: 1, wants: vec!["t".into()], ..Keep::default() }, &facts);
            desk.tick(now, &facts);
            desk.take_acts().contains(&grant)
        };
        assert!(!granted_at(900.0) && !granted_at(903.9) && granted_at(904.0));
    }
}
