//! One member of the quorum: the consensus library, the replicated log and the facts, without I/O. Messages, ticks and
//! the disk's words go in; messages, jobs for the disk, and what happened come out.
//!
//! Owed to callers: nothing is sent that rests on what the disk has not confirmed, and nothing is applied before. A
//! write that fails or is overdue puts the member aside: it says nothing to its peers until the disk has been opened
//! anew, and goes on from what the disk then holds.

mod log;
pub mod recovered_log;
pub mod scan;

use crate::state_machine::{Command, LeaseStateMachine, LogEntry, Outcome, Rejection, LATEST};
use durable_log::{Disk, Recovered, Store};
use log::Log;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry as RaftEntry, EntryType, Message, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};
use recovered_log::{entry_record, hard_record, snapshot_record, RecoveredLog};
use std::collections::{BTreeMap, VecDeque};

/// The length of a tick (seconds). A leader is heard every two; an election begins after 10 to 19 without one.
pub const TICK_S: f64 = 0.05;
const HEARTBEAT_TICKS: usize = 2;
const ELECTION_TICKS: usize = 10;
/// How often a disk that failed is tried again (seconds).
const RETRY_S: f64 = 0.5;
/// Entries after which the facts go in their place.
const ENTRIES_MOST: usize = 4096;
/// How often the log says how far each disk is known to be (seconds). An older disk than that is found out.
const PROGRESS_S: f64 = 10.0;
/// Entries in one message (bytes), messages on their way to a member, and what may wait uncommitted (bytes).
const MESSAGE_BYTES: u64 = 256 * 1024;
const INFLIGHT_MOST: usize = 64;
const UNCOMMITTED_BYTES: u64 = 4 * 1024 * 1024;
/// A learner that lags so many entries at most may vote.
const CAUGHT_UP: u64 = 16;

/// What the disk is asked for, one after the other.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskJob {
    Open,
    Append(Vec<Vec<u8>>),
    Replace(Vec<u8>),
}

/// The disk's word.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskResult {
    Opened(Recovered),
    Written,
    Failed(String),
}

/// Carries out a job; the store is gone after a failure, until it is opened anew.
pub fn carry_out<D: Disk>(
    store: &mut Option<Store<D>>,
    job: &DiskJob,
    disk: impl FnOnce() -> std::io::Result<D>,
) -> DiskResult {
    let result = match job {
        DiskJob::Open => {
            // The lock of the one before goes first.
            drop(store.take());
            disk().map_err(|e| format!("the folder: {e}")).and_then(|disk| {
                let (opened, found) = Store::open(disk, encode).map_err(|e| e.to_string())?;
                *store = Some(opened);
                Ok(DiskResult::Opened(found))
            })
        }
        DiskJob::Append(records) => match store {
            Some(store) => store.append(records).map(|()| DiskResult::Written).map_err(|e| e.to_string()),
            None => Err("the store is not open".to_owned()),
        },
        DiskJob::Replace(snapshot) => match store {
            Some(store) => store.replace(snapshot).map(|()| DiskResult::Written).map_err(|e| e.to_string()),
            None => Err("the store is not open".to_owned()),
        },
    };
    result.unwrap_or_else(|why| {
        *store = None;
        DiskResult::Failed(why)
    })
}

/// A store as one record. One that has lost something is kept as that of no member: it must not vote as if it remembered.
fn encode(found: &Recovered) -> Vec<u8> {
    match RecoveredLog::read(found) {
        Ok(image) if !found.damaged => image.encode(),
        _ => RecoveredLog::default().encode(),
    }
}

/// What callers are to carry out.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Bytes for the member of this number.
    Send(u64, Vec<u8>),
    Disk(u64, DiskJob),
}

/// What has come about.
#[derive(Debug)]
pub enum ReplicaEvent {
    /// This member leads, and has applied all that was decided before.
    Led,
    Followed,
    Applied(LogEntry, Result<Outcome, Rejection>),
    /// A quorum has confirmed that this member led after this number was asked for.
    Confirmed(u64),
}

/// Whether it takes part.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaStatus {
    /// The disk is being opened.
    Opening,
    /// The disk holds no member: a founder, a fresh member, or one that has lost its disk.
    Blank(String),
    Member,
    Aside(String),
    /// Its peers know that it once had more on its disk, or that it is no member any more.
    Barred(String),
}

/// Messages that wait for a write, with the library's number for it.
struct Waiting {
    ready: u64,
    messages: Vec<Message>,
    job: Option<u64>,
    /// The end of a leader's snapshot that is on its way to the disk; 0 for none.
    restored: u64,
}

pub struct Replica {
    pub facts: LeaseStateMachine,
    pub standing: ReplicaStatus,
    /// By a member's number, what its program can apply.
    pub versions: BTreeMap<u64, u32>,
    version: u32,
    node: Option<RawNode<Log>>,
    member: u64,
    applied: u64,
    leads: bool,
    waiting: VecDeque<Waiting>,
    /// Jobs given and not answered, with when they were.
    jobs: VecDeque<(u64, f64)>,
    next_job: u64,
    /// The last job that opens the store.
    opening: u64,
    overdue_s: f64,
    retry_at: f64,
    ticked: f64,
    /// The log's time when this member began to lead, and when that was.
    led_at: (u64, f64),
    progress_at: f64,
    timeout: (u64, StateRole, u64, usize),
    dice: u64,
    effects: Vec<ReplicaOutput>,
    happened: Vec<ReplicaEvent>,
}

impl Replica {
    /// A member whose disk has yet to be opened; `seed` is for its election timeouts. `overdue_s` is how long a write
    /// may take before this member steps aside; `version` is what the program claims to understand.
    pub fn new(now: f64, seed: u64, overdue_s: f64, version: u32) -> Replica {
        let mut replica = Replica {
            facts: LeaseStateMachine::default(),
            standing: ReplicaStatus::Opening,
            versions: BTreeMap::new(),
            version: version.min(LATEST),
            node: None,
            member: 0,
            applied: 0,
            leads: false,
            waiting: VecDeque::new(),
            jobs: VecDeque::new(),
            next_job: 1,
            opening: 1,
            overdue_s,
            retry_at: now,
            ticked: now,
            led_at: (0, now),
            progress_at: now,
            timeout: (0, StateRole::Follower, 0, ELECTION_TICKS),
            dice: seed | 1,
            effects: Vec::new(),
            happened: Vec::new(),
        };
        replica.job(now, DiskJob::Open);
        replica
    }

    pub fn take_effects(&mut self) -> Vec<ReplicaOutput> {
        std::mem::take(&mut self.effects)
    }

    pub fn take_happened(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.happened)
    }

    pub fn member(&self) -> u64 {
        self.member
    }

    pub fn version(&self) -> u32 {
        self.version
    }

    /// This member leads and may serve.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// The member that leads, as far as this one knows.
    pub fn leader(&self) -> Option<u64> {
        self.node.as_ref().map(|n| n.raft.leader_id).filter(|id| *id != 0)
    }

    pub fn term(&self) -> u64 {
        self.node.as_ref().map_or(0, |n| n.raft.term)
    }

    /// The end of the log, and of what has been applied of it.
    pub fn ends(&self) -> (u64, u64) {
        (self.node.as_ref().map_or(0, |n| n.raft.raft_log.last_index()), self.applied)
    }

    /// Members that may vote.
    pub fn voters(&self) -> Vec<u64> {
        self.node.as_ref().map_or_else(Vec::new, |n| n.store().members.voters.clone())
    }

    /// The log's time now, if this member leads.
    pub fn log_ms(&self, now: f64) -> u64 {
        self.led_at.0 + ((now - self.led_at.1).max(0.0) * 1000.0) as u64
    }

    /// Begins a fleet, with the same list on all coordinators; for a blank disk alone.
    pub fn found(&mut self, now: f64, coordinators: &[String], own: &str) {
        let facts = LeaseStateMachine::bootstrap(coordinators);
        let Some(member) = facts.member(own) else { return };
        let mut image = RecoveredLog { member, ..RecoveredLog::default() };
        image.snapshot.data = json(&facts).into();
        let metadata = image.snapshot.mut_metadata();
        (metadata.index, metadata.term) = (1, 1);
        metadata.mut_conf_state().voters = facts.members.keys().copied().collect();
        (image.hard.term, image.hard.commit) = (1, 1);
        self.begin(now, image);
    }

    /// Takes part as a fresh member, which the others know by this number.
    pub fn join(&mut self, now: f64, member: u64) {
        self.begin(now, RecoveredLog { member, ..RecoveredLog::default() });
    }

    fn begin(&mut self, now: f64, image: RecoveredLog) {
        if !matches!(self.standing, ReplicaStatus::Blank(_)) {
            return;
        }
        self.job(now, DiskJob::Replace(image.encode()));
        self.start(now, image);
    }

    /// Peers won't have it, and say why; see [`ReplicaStatus::Barred`].
    pub fn bar(&mut self, now: f64, why: &str) {
        if self.standing == ReplicaStatus::Member {
            self.step_aside(now, ReplicaStatus::Barred(why.to_owned()));
        }
    }

    fn start(&mut self, now: f64, image: RecoveredLog) {
        let index = image.snapshot.get_metadata().index;
        self.facts = match index {
            0 => LeaseStateMachine::default(),
            _ => match serde_json::from_slice(&image.snapshot.data) {
                Ok(facts) => facts,
                Err(e) => {
                    self.standing = ReplicaStatus::Aside(format!("the snapshot's facts can't be read: {e}"));
                    return;
                }
            },
        };
        let config = Config {
            id: image.member,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: index,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: INFLIGHT_MOST,
            max_uncommitted_size: UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, Log::new(&image), &quiet) {
            Ok(node) => {
                (self.member, self.applied) = (image.member, index);
                (self.node, self.ticked, self.standing) = (Some(node), now, ReplicaStatus::Member);
                self.timeout.0 = u64::MAX;
                self.own_timeout();
                self.follow_up(now);
            }
            Err(e) => self.standing = ReplicaStatus::Aside(format!("the log can't be taken up: {e}")),
        }
    }

    fn step_aside(&mut self, now: f64, standing: ReplicaStatus) {
        self.node = None;
        self.waiting.clear();
        self.retry_at = now + RETRY_S;
        if std::mem::take(&mut self.leads) {
            self.happened.push(ReplicaEvent::Followed);
        }
        self.standing = standing;
    }

    fn aside(&mut self, now: f64, why: String) {
        self.step_aside(now, ReplicaStatus::Aside(why));
    }

    fn job(&mut self, now: f64, job: DiskJob) -> u64 {
        let number = self.next_job;
        self.next_job += 1;
        self.jobs.push_back((number, now));
        if job == DiskJob::Open {
            self.opening = number;
        }
        self.effects.push(ReplicaOutput::Disk(number, job));
        number
    }

    /// The disk has answered a job.
    pub fn done(&mut self, now: f64, number: u64, done: DiskResult) {
        let Some((first, since)) = self.jobs.pop_front() else { return };
        debug_assert_eq!(first, number, "jobs are answered in order");
        match done {
            DiskResult::Opened(found) => {
                if matches!(
                    self.standing,
                    ReplicaStatus::Member | ReplicaStatus::Blank(_) | ReplicaStatus::Barred(_)
                ) {
                    return;
                }
                if now - since > self.overdue_s {
                    let took = now - since;
                    return self.aside(now, format!("the disk is slow: opening took {took:.1} s"));
                }
                let lost = found.dropped.join("; ");
                match RecoveredLog::read(&found) {
                    Err(why) => {
                        self.standing = ReplicaStatus::Blank(format!("the disk can't be read: {why}"))
                    }
                    Ok(_) if found.damaged => {
                        self.standing = ReplicaStatus::Blank(format!("the disk is damaged: {lost}"))
                    }
                    Ok(image) if image.member == 0 => {
                        self.standing = ReplicaStatus::Blank("the disk is empty".to_owned())
                    }
                    Ok(image) => self.start(now, image),
                }
            }
            DiskResult::Written => {
                if self.node.is_some() {
                    self.persisted(number);
                    self.follow_up(now);
                }
            }
            DiskResult::Failed(why) => {
                // What is asked of a store that has failed says nothing more than that.
                let already = matches!(self.standing, ReplicaStatus::Aside(_)) && number != self.opening;
                if !already && !matches!(self.standing, ReplicaStatus::Barred(_)) {
                    self.aside(now, why);
                }
            }
        }
    }

    /// All messages that waited for this job, or for none since, may go.
    fn persisted(&mut self, number: u64) {
        let Some(node) = &mut self.node else { return };
        let (mut ready, mut restored) = (None, 0);
        while let Some(first) = self.waiting.front() {
            if first.job.is_some_and(|job| job > number) {
                break;
            }
            let Some(first) = self.waiting.pop_front() else { break };
            ready = Some(first.ready);
            restored = restored.max(first.restored);
            send(&mut self.effects, first.messages);
        }
        if let Some(ready) = ready {
            node.on_persist_ready(ready);
            if restored > 0 {
                node.advance_apply_to(restored);
            }
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: f64) {
        if let Some((_, since)) = self.jobs.front() {
            if self.standing == ReplicaStatus::Member && now - since > self.overdue_s {
                self.aside(now, format!("the disk is slow: a write has taken {:.1} s", now - since));
            }
        } else if matches!(self.standing, ReplicaStatus::Aside(_)) && now >= self.retry_at {
            self.retry_at = now + RETRY_S;
            self.job(now, DiskJob::Open);
        }
        // A process that was stopped does not make up for its ticks: peers that it heard nothing of may be well.
        let mut ticks = 0;
        while now - self.ticked >= TICK_S {
            self.ticked = if ticks < 2 { self.ticked + TICK_S } else { now };
            if let Some(node) = self.node.as_mut().filter(|_| ticks < 2) {
                node.tick();
                ticks += 1;
                self.own_timeout();
            }
        }
        if ticks > 0 {
            self.follow_up(now);
            self.care(now);
        }
    }

    /// What a leader does for the quorum itself: progress, versions, members.
    fn care(&mut self, now: f64) {
        if !self.leads {
            return;
        }
        let Some(node) = &self.node else { return };
        let (commit, last) = (node.raft.raft_log.committed, node.raft.raft_log.last_index());
        let voters = node.store().members.voters.clone();
        let learners = node.store().members.learners.clone();
        let mut kept = Vec::new();
        let mut new = false;
        for (id, progress) in node.raft.prs().iter() {
            // What is committed is never taken back; more than that a new leader might.
            let index = progress.matched.min(commit);
            let known = self.facts.persisted.get(id).copied().unwrap_or(0);
            // The first word of a disk is noted at once.
            new |= known == 0 && index > 1;
            if index > known {
                kept.push((*id, index));
            }
        }
        // The note itself moves all ends by one.
        let moved =
            kept.iter().any(|(id, index)| *index > self.facts.persisted.get(id).copied().unwrap_or(0) + 1);
        let ready_learner = learners.iter().copied().find(|id| {
            node.raft.prs().get(*id).is_some_and(|p| p.recent_active && p.matched + CAUGHT_UP >= last)
        });
        let joining =
            self.facts.members.keys().copied().find(|id| !voters.contains(id) && !learners.contains(id));
        let least = voters.iter().map(|id| match *id {
            id if id == self.member => self.version,
            id => self.versions.get(&id).copied().unwrap_or(0),
        });
        let least = least.min().unwrap_or(0);
        if new && now - self.progress_at > 1.0 || moved && now - self.progress_at > PROGRESS_S {
            self.progress_at = now;
            self.propose(now, Command::RecordProgress { persisted: kept });
        }
        if least > self.facts.version {
            self.propose(now, Command::RaiseVersion { version: least });
        }
        if let Some(id) = joining {
            self.change(ConfChangeType::AddLearnerNode, id, 0);
        } else if let Some(id) = ready_learner {
            self.change(ConfChangeType::AddNode, id, 0);
        }
        self.follow_up(now);
    }

    /// A change of members; a library that has one on its way already turns it down.
    fn change(&mut self, kind: ConfChangeType, member: u64, fresh: u64) -> bool {
        let Some(node) = &mut self.node else { return false };
        let mut change = ConfChange { node_id: member, ..ConfChange::default() };
        change.set_change_type(kind);
        change.context = fresh.to_le_bytes().to_vec().into();
        !node.raft.has_pending_conf() && node.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Puts a fresh member in the place of this coordinator, which has lost its disk.
    ///
    /// # Errors
    /// Why that can't be done now.
    pub fn replace(&mut self, now: f64, name: &str) -> Result<u64, String> {
        let old = self.facts.member(name).ok_or_else(|| format!("there is no coordinator {name}"))?;
        if old == self.member {
            return Err(format!("{name} leads; it has not lost its disk"));
        }
        let fresh = self.facts.last_member + 1;
        if !self.change(ConfChangeType::RemoveNode, old, fresh) {
            return Err("another change of members is on its way".to_owned());
        }
        self.follow_up(now);
        Ok(fresh)
    }

    /// A peer's message, as it came.
    ///
    /// # Errors
    /// Bytes that are no message for this member.
    pub fn step(&mut self, now: f64, from: u64, bytes: &[u8]) -> Result<(), String> {
        let Some(node) = &mut self.node else { return Ok(()) };
        let message: Message = scan::parse(bytes)?;
        if message.from != from || message.to != self.member {
            return Err(format!("a message from {} to {}", message.from, message.to));
        }
        // A leader commits here only what this disk has acknowledged; the library would end the process over more.
        let (last, commit) = (node.raft.raft_log.last_index(), message.commit);
        let heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if heartbeat && message.term >= node.raft.term && commit > last {
            self.bar(now, &format!("its disk is older than it was: it ends at {last}, and held {commit}"));
            return Ok(());
        }
        // The library turns down what does not fit; that is no fault of the link's.
        let _ = node.step(message);
        self.own_timeout();
        self.follow_up(now);
        Ok(())
    }

    /// A peer can't be reached.
    pub fn unreachable(&mut self, member: u64) {
        if let Some(node) = &mut self.node {
            node.report_unreachable(member);
        }
    }

    /// Puts a command into the log; `false` where that can't be done here and now.
    pub fn propose(&mut self, now: f64, command: Command) -> bool {
        if !self.leads {
            return false;
        }
        let entry = LogEntry { at_ms: self.log_ms(now), command };
        let bytes = json(&entry);
        // What can't be read back would put every member aside that comes to it.
        if serde_json::from_slice::<LogEntry>(&bytes).ok().as_ref() != Some(&entry) {
            debug_assert!(false, "{entry:?} can't be read back");
            return false;
        }
        let Some(node) = &mut self.node else { return false };
        let taken = node.propose(Vec::new(), bytes).is_ok();
        self.follow_up(now);
        taken
    }

    /// Asks a quorum whether this member still leads; [`ReplicaEvent::Confirmed`] comes if it did after this call.
    pub fn confirm(&mut self, now: f64, number: u64) {
        if let Some(node) = self.node.as_mut().filter(|_| self.leads) {
            node.read_index(number.to_le_bytes().to_vec());
            self.follow_up(now);
        }
    }

    /// The library draws its timeouts from the system: they are set anew from this member's own source, so that a run
    /// in virtual time can be played again.
    fn own_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        let raft = &mut node.raft;
        let (term, state, leader, _) = self.timeout;
        if (term, state, leader) != (raft.term, raft.state, raft.leader_id) {
            self.dice ^= self.dice << 13;
            self.dice ^= self.dice >> 7;
            self.dice ^= self.dice << 17;
            let drawn = ELECTION_TICKS + (self.dice >> 20) as usize % ELECTION_TICKS;
            self.timeout = (raft.term, raft.state, raft.leader_id, drawn);
        }
        raft.set_randomized_election_timeout(self.timeout.3);
    }

    /// Takes up what the library has ready until it has no more.
    fn follow_up(&mut self, now: f64) {
        while let Some(node) = self.node.as_mut().filter(|n| n.has_ready()) {
            let mut ready = node.ready();
            send(&mut self.effects, ready.take_messages());
            let (mut records, mut restored) = (Vec::new(), 0);
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                let index = snapshot.get_metadata().index;
                match serde_json::from_slice(&snapshot.data) {
                    Ok(facts) => self.facts = facts,
                    Err(e) => return self.aside(now, format!("a leader's snapshot can't be read: {e}")),
                }
                records.push(snapshot_record(&snapshot));
                node.mut_store().restore(&snapshot);
                (self.applied, restored) = (index, index);
            }
            let entries = ready.take_entries();
            records.extend(entries.iter().map(entry_record));
            node.mut_store().append(&entries);
            if let Some(hard) = ready.hs() {
                node.mut_store().hard = hard.clone();
                // Of a commit alone the disk need not know.
                if ready.must_sync() {
                    records.push(hard_record(hard));
                }
            }
            let (number, messages) = (ready.number(), ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            let reads = ready.take_read_states();
            node.advance_append_async(ready);
            let job = (!records.is_empty()).then(|| self.job(now, DiskJob::Append(records)));
            self.waiting.push_back(Waiting { ready: number, messages, job, restored });
            if self.waiting.len() == 1 && job.is_none() {
                self.persisted(0);
            }
            let any = !committed.is_empty();
            for entry in committed {
                self.apply(now, &entry);
            }
            if let Some(node) = self.node.as_mut().filter(|_| any) {
                node.advance_apply_to(self.applied);
            }
            self.follow_role(now);
            for read in reads {
                if let Ok(number) = read.request_ctx.as_slice().try_into() {
                    self.happened.push(ReplicaEvent::Confirmed(u64::from_le_bytes(number)));
                }
            }
        }
        self.compact(now);
    }

    fn follow_role(&mut self, now: f64) {
        let Some(node) = &self.node else { return };
        let raft = &node.raft;
        // All that was decided before is applied once an entry of its own term is.
        let settled = raft.raft_log.term(self.applied).is_ok_and(|t| t == raft.term);
        let leads = raft.state == StateRole::Leader && (settled || self.leads);
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        if leads {
            (self.led_at, self.progress_at) = ((self.facts.log_time_ms, now), now);
        }
        self.happened.push(if leads { ReplicaEvent::Led } else { ReplicaEvent::Followed });
    }

    fn apply(&mut self, now: f64, entry: &RaftEntry) {
        self.applied = entry.index;
        if entry.get_entry_type() != EntryType::EntryNormal {
            return self.apply_change(now, entry);
        }
        if entry.data.is_empty() {
            return;
        }
        match serde_json::from_slice::<LogEntry>(&entry.data) {
            Ok(entry) => {
                let result = self.facts.apply(&entry);
                self.happened.push(ReplicaEvent::Applied(entry, result));
            }
            // A command that can't be read here can't be skipped: others may have applied it.
            Err(e) => self.aside(now, format!("entry {} can't be read: {e}", self.applied)),
        }
    }

    fn apply_change(&mut self, now: f64, entry: &RaftEntry) {
        let change = match scan::parse::<ConfChange>(&entry.data) {
            Ok(change) if entry.get_entry_type() == EntryType::EntryConfChange => change,
            _ => {
                return self
                    .aside(now, format!("entry {} changes members in a way not known here", entry.index))
            }
        };
        let Some(node) = &mut self.node else { return };
        match node.apply_conf_change(&change) {
            Ok(members) => {
                node.mut_store().members = members;
                // A fresh member takes no snapshot that does not name it.
                node.mut_store().wanted.set(change.get_change_type() == ConfChangeType::AddLearnerNode);
            }
            Err(e) => return self.aside(now, format!("entry {}: {e}", entry.index)),
        }
        if change.get_change_type() == ConfChangeType::RemoveNode {
            if let Ok(fresh) = change.context.as_ref().try_into() {
                self.facts.replace_member(change.node_id, u64::from_le_bytes(fresh));
            }
        }
    }

    /// Puts the facts in the place of a long log, or of one that a follower can't be served from.
    fn compact(&mut self, now: f64) {
        let Some(node) = &mut self.node else { return };
        let log = node.mut_store();
        let long = log.entries_since_snapshot() >= ENTRIES_MOST;
        if self.applied > log.start() && (long || log.wanted.get()) {
            log.compact(self.applied, json(&self.facts));
            let image = log.image(self.member).encode();
            self.job(now, DiskJob::Replace(image));
        }
    }
}

fn json<T: serde::Serialize>(what: &T) -> Vec<u8> {
    // Maps with keys of numbers and strings, and plain values: there is none that can't be written.
    serde_json::to_vec(what).unwrap_or_default()
}

fn send(effects: &mut Vec<ReplicaOutput>, messages: Vec<Message>) {
    for message in messages {
        if let Ok(bytes) = message.write_to_bytes() {
            effects.push(ReplicaOutput::Send(message.to, bytes));
        }
    }
}
