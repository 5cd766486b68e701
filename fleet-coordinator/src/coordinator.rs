//! One coordinator without I/O: the replica, the desk, who is on which link, and what operators are told.
//!
//! The same code runs behind sockets ([`crate::net`]) and in the lab's virtual time. Links are numbered by the caller and
//! never used again; frames go in as bytes and come out as bytes.

use crate::leader_state::{Asked, Hello, Keep, LeaderAction, LeaderState, LinkId, SafetyChecks};
use crate::replica::{DiskJob, DiskResult, Replica, ReplicaEvent, ReplicaOutput, ReplicaStatus};
use crate::state_machine::{Command, Task};
use port_worker::fleet::frame::{
    self, ClientMessage, OperatorQuery, ServerMessage, MAX_CLIENT_FRAME_BYTES, MAX_SERVER_FRAME_BYTES,
};
use port_worker::fleet::overload::leader::{Leader, Settings as Overload};
use port_worker::fleet::overload::level::SheddingLevel;
use port_worker::fleet::overload::MAX_TIERS;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Numbers of operators' questions to the quorum begin here; the desk's are below.
const QUESTIONS_FROM: u64 = 1 << 40;
/// Operators' questions that may wait for the quorum at once, and how long (seconds).
const QUESTIONS_MOST: usize = 64;
const QUESTION_S: f64 = 3.0;
/// How often a blank member asks its peers again who it is (seconds).
const ASK_PEERS_S: f64 = 0.5;
/// A level is pinned for so long at most (seconds): an hour that nobody thinks of any more.
const PIN_MOST_S: f64 = 3600.0;
/// The largest message between coordinators (bytes): a snapshot of all that the bounds allow.
pub const PEER_MOST_BYTES: usize = 8 * 1024 * 1024;

/// What a coordinator is told of itself and its peers.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    pub fleet: String,
    pub name: String,
    /// All coordinators in the file's order, this one among them: names, and addresses as workers dial them.
    pub coordinators: Vec<(String, String)>,
    pub epoch: u64,
    pub tasks: Vec<Task>,
    pub overdue_s: f64,
    /// What this program claims to understand, at most.
    pub version: u32,
    pub guards: SafetyChecks,
    /// `[overload]` of the file.
    pub overload: Option<Overload>,
}

/// The first frame on a link from another coordinator. All that follows on it are the consensus library's messages.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct PeerHello {
    pub peer: String,
    pub fleet: String,
    /// Its number; 0 while its disk holds no member.
    pub member: u64,
    /// The end of its log.
    pub last: u64,
    pub version: u32,
}

/// The one frame that goes back.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct PeerAnswer {
    pub member: u64,
    pub version: u32,
    /// The number under which the caller is known; 0 where the one that answers knows of no members.
    pub yours: u64,
    /// How far the caller's disk is known to have been.
    pub kept: u64,
    pub founder: bool,
    /// Why nothing is taken from the caller, if so.
    pub barred: Option<String>,
}

/// What the caller is to carry out.
#[derive(Debug)]
pub enum Output {
    /// A whole frame.
    Frame(LinkId, Vec<u8>),
    /// Nothing more is heard on this link, once what was written has gone.
    Close(LinkId),
    /// A whole frame for the peer of this name, if it is linked.
    Peer(String, Vec<u8>),
    /// All links to peers are to be made anew: this member is another than before.
    Relink,
    Disk(u64, DiskJob),
    /// A line for the log; `true` for a warning.
    Note(bool, String),
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    /// Has not said who it is.
    New,
    Worker,
    /// A coordinator's, by its number.
    Peer(u64),
    Operator,
}

pub struct Coordinator {
    pub setup: CoordinatorConfig,
    pub replica: Replica,
    pub desk: LeaderState,
    roles: BTreeMap<LinkId, Role>,
    /// Names of members by number, as their links said.
    numbers: BTreeMap<u64, String>,
    /// What peers answered while this member is blank.
    answers: BTreeMap<String, PeerAnswer>,
    questions: Vec<(u64, LinkId, OperatorQuery, f64)>,
    next_question: u64,
    ask_at: f64,
    was: ReplicaStatus,
    out: Vec<Output>,
}

impl Coordinator {
    pub fn new(now: f64, setup: CoordinatorConfig, seed: u64) -> Coordinator {
        let mut coordinator = Coordinator {
            replica: Replica::new(now, seed, setup.overdue_s, setup.version),
            desk: LeaderState::new(setup.guards, setup.overload),
            setup,
            roles: BTreeMap::new(),
            numbers: BTreeMap::new(),
            answers: BTreeMap::new(),
            questions: Vec::new(),
            next_question: QUESTIONS_FROM,
            ask_at: now,
            was: ReplicaStatus::Opening,
            out: Vec::new(),
        };
        coordinator.settle(now);
        coordinator
    }

    pub fn take_out(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// What this member says on a new link to a peer.
    pub fn peer_hello(&self) -> Vec<u8> {
        frame::encode(&PeerHello {
            peer: self.setup.name.clone(),
            fleet: self.setup.fleet.clone(),
            member: if self.replica.standing == ReplicaStatus::Member { self.replica.member() } else { 0 },
            last: self.replica.ends().0,
            version: self.replica.version(),
        })
    }

    /// What a peer answered to that.
    pub fn peer_answered(&mut self, now: f64, peer: &str, answer: PeerAnswer) {
        if answer.member != 0 {
            self.replica.versions.insert(answer.member, answer.version);
            self.numbers.insert(answer.member, peer.to_owned());
        }
        if let Some(why) = &answer.barred {
            if self.replica.standing == ReplicaStatus::Member {
                self.replica.bar(now, &format!("{peer} says: {why}"));
            }
        }
        self.answers.insert(peer.to_owned(), answer);
        self.become_member(now);
        self.settle(now);
    }

    /// A blank member finds out whether it founds the fleet, joins it, or has lost its disk.
    fn become_member(&mut self, now: f64) {
        let ReplicaStatus::Blank(why) = &self.replica.standing else { return };
        let known = self.answers.values().filter(|a| a.yours != 0);
        let Some(best) = known.max_by_key(|a| a.yours).cloned() else {
            // Nobody knows of a fleet: it is founded when all are there and blank.
            if self.answers.len() + 1 == self.setup.coordinators.len() {
                self.found(now);
            }
            return;
        };
        let kept = self.answers.values().filter(|a| a.yours == best.yours).map(|a| a.kept).max().unwrap_or(0);
        if kept > 0 {
            let lost = format!("{why}, and {} knows that it held the log up to {kept}", self.setup.name);
            if !why.contains("knows that it held") {
                self.out.push(Output::Note(true, format!("disk lost: {lost}; replace this member")));
                self.replica.standing = ReplicaStatus::Blank(lost.replace(&self.setup.name, "the quorum"));
            }
        } else if !best.founder {
            self.replica.join(now, best.yours);
        } else if self.answers.len() + 1 == self.setup.coordinators.len() {
            // The others have begun; nobody has ever heard a word of this disk.
            self.found(now);
        }
    }

    fn found(&mut self, now: f64) {
        let names: Vec<String> = self.setup.coordinators.iter().map(|(name, _)| name.clone()).collect();
        self.replica.found(now, &names, &self.setup.name);
    }

    pub fn tick(&mut self, now: f64) {
        self.replica.tick(now);
        self.desk.tick(now, &self.replica.facts);
        self.questions.retain(|(_, link, _, since)| {
            let waits = now - since < QUESTION_S;
            if !waits {
                let why = "no quorum has confirmed this leader".to_owned();
                self.out.push(Output::Frame(
                    *link,
                    frame::encode(&ServerMessage::NotLeader { leader: None, why }),
                ));
            }
            waits
        });
        if matches!(self.replica.standing, ReplicaStatus::Blank(_)) && now - self.ask_at >= ASK_PEERS_S {
            self.ask_at = now;
            self.out.push(Output::Relink);
        }
        self.settle(now);
    }

    /// The disk has answered.
    pub fn disk_done(&mut self, now: f64, job: u64, done: DiskResult) {
        self.replica.done(now, job, done);
        self.settle(now);
    }

    pub fn opened(&mut self, link: LinkId) {
        self.roles.insert(link, Role::New);
    }

    pub fn closed(&mut self, link: LinkId) {
        self.roles.remove(&link);
        self.desk.closed(link);
        self.questions.retain(|(_, l, ..)| *l != link);
    }

    /// The largest frame that this link may send now (bytes).
    pub fn frame_most(&self, link: LinkId) -> usize {
        match self.roles.get(&link) {
            Some(Role::Peer(_)) => PEER_MOST_BYTES,
            _ => MAX_CLIENT_FRAME_BYTES,
        }
    }

    /// The body of a frame.
    ///
    /// # Errors
    /// Why it can't be from anything that speaks to coordinators; the link is of no use.
    pub fn heard(&mut self, now: f64, link: LinkId, body: &[u8]) -> Result<(), String> {
        let result = match self.roles.get(&link).cloned() {
            None => Ok(()),
            Some(Role::Peer(member)) => self.replica.step(now, member, body),
            Some(role) => self.heard_words(now, link, &role, body),
        };
        self.settle(now);
        result
    }

    fn heard_words(&mut self, now: f64, link: LinkId, role: &Role, body: &[u8]) -> Result<(), String> {
        if *role == Role::New {
            if let Ok(hello) = serde_json::from_slice::<PeerHello>(body) {
                return self.peer_came(link, &hello);
            }
        }
        let say: ClientMessage =
            serde_json::from_slice(body).map_err(|e| format!("a frame that can't be read: {e}"))?;
        let facts = &self.replica.facts;
        match say {
            ClientMessage::Hello { fleet, version, name, zone, process } => {
                if fleet != self.setup.fleet {
                    let why = format!("this is the fleet {}", self.setup.fleet);
                    self.say(link, &ServerMessage::Rejected { why });
                } else if !self.replica.leads() {
                    let word = self.not_leader();
                    self.say(link, &word);
                } else {
                    self.roles.insert(link, Role::Worker);
                    let zone = if zone.is_empty() { "none".to_owned() } else { zone };
                    self.desk.hello(now, link, Hello { name, zone, process, version }, facts);
                }
            }
            ClientMessage::Query { fleet, what } => {
                self.roles.insert(link, Role::Operator);
                if fleet != self.setup.fleet {
                    let why = format!("this is the fleet {}", self.setup.fleet);
                    self.say(link, &ServerMessage::Rejected { why });
                } else {
                    self.question(now, link, what);
                }
            }
            // Of a link that never said hello, or to a member that does not lead any more.
            _ if *role != Role::Worker || !self.replica.leads() => {
                let word =
                    if *role == Role::Worker { self.not_leader() } else { ServerMessage::SessionExpired };
                self.say(link, &word);
            }
            ClientMessage::Heartbeat { seq, wants, held, figures, totals, load } => {
                self.desk.keep(now, link, Keep { seq, wants, held, figures, totals, load }, facts);
            }
            ClientMessage::ReleaseLease { held, failed, pass_on } => {
                self.desk.give_back(now, link, held, failed, pass_on, facts);
            }
            ClientMessage::BeginPeriod { held, every_ms, safe, attempt } => {
                self.desk.begin(link, Asked { held, every_ms, safe, attempt }, facts);
            }
            ClientMessage::EndPeriod { held, period, ending } => self.desk.end(held, period, ending),
            ClientMessage::Goodbye => self.desk.bye(now, link, facts),
            ClientMessage::Unknown => {}
        }
        // The rest of what is due can wait for the tick: it looks at every session.
        self.desk.ask(now, &self.replica.facts);
        Ok(())
    }

    fn say(&mut self, link: LinkId, word: &ServerMessage) {
        self.out.push(Output::Frame(link, frame::encode(word)));
    }

    fn not_leader(&self) -> ServerMessage {
        let why = match &self.replica.standing {
            ReplicaStatus::Member => "another coordinator leads, or none does yet".to_owned(),
            other => format!("{}: {}", word_of(other).0, word_of(other).1),
        };
        ServerMessage::NotLeader { leader: self.leader_address(), why }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.replica.leader().filter(|l| *l != self.replica.member())?;
        let name = self.name_of(leader)?;
        self.setup.coordinators.iter().find(|(n, _)| *n == name).map(|(_, address)| address.clone())
    }

    fn name_of(&self, member: u64) -> Option<String> {
        self.replica.facts.members.get(&member).or_else(|| self.numbers.get(&member)).cloned()
    }

    /// Another coordinator's link: whether it is who it says, and remembers what it should.
    fn peer_came(&mut self, link: LinkId, hello: &PeerHello) -> Result<(), String> {
        if hello.fleet != self.setup.fleet {
            return Err(format!("a coordinator of the fleet {}", hello.fleet));
        }
        if !self.setup.coordinators.iter().any(|(name, _)| *name == hello.peer)
            || hello.peer == self.setup.name
        {
            return Err(format!("a coordinator {} that the file does not name", hello.peer));
        }
        let facts = &self.replica.facts;
        let yours = facts.member(&hello.peer).unwrap_or(0);
        let kept = facts.progress.get(&yours).copied().unwrap_or(0);
        let known = self.replica.ends().1 > 0;
        let mut barred = None;
        if known && hello.member != 0 && hello.member != yours && hello.member <= facts.last_member {
            barred = Some(format!("member {} has been replaced", hello.member));
        } else if hello.member != 0 && hello.member == yours && hello.last < kept {
            barred =
                Some(format!("its disk is older than it was: it ends at {}, and held {kept}", hello.last));
        }
        let answer = PeerAnswer {
            member: self.replica.member(),
            version: self.replica.version(),
            yours,
            kept,
            founder: yours != 0 && yours <= facts.founders,
            barred: barred.clone(),
        };
        self.out.push(Output::Frame(link, frame::encode(&answer)));
        if let Some(why) = barred {
            self.out.push(Output::Note(true, format!("coordinator {} is barred: {why}", hello.peer)));
            self.out.push(Output::Close(link));
        } else if hello.member != 0 {
            self.replica.versions.insert(hello.member, hello.version);
            self.numbers.insert(hello.member, hello.peer.clone());
            self.roles.insert(link, Role::Peer(hello.member));
        }
        Ok(())
    }

    /// An operator asks. What only a leader knows is answered after a quorum has confirmed it.
    fn question(&mut self, now: f64, link: LinkId, what: OperatorQuery) {
        if what == OperatorQuery::Status {
            let answer = self.status();
            return self.say(link, &ServerMessage::QueryResult { answer });
        }
        if !self.replica.leads() {
            let word = self.not_leader();
            return self.say(link, &word);
        }
        if self.questions.len() >= QUESTIONS_MOST {
            return self.say(link, &ServerMessage::Rejected { why: "too many questions wait".to_owned() });
        }
        self.next_question += 1;
        self.questions.push((self.next_question, link, what, now));
        self.replica.confirm(now, self.next_question);
    }

    fn answer(&mut self, now: f64, link: LinkId, what: &OperatorQuery) {
        let facts = &self.replica.facts;
        let answer = match what {
            OperatorQuery::Status => self.status(),
            OperatorQuery::Members => facts.sessions.iter().map(|(id, s)| {
                let (silent_s, linked) = self.desk.silence(now, *id).unwrap_or((0.0, false));
                let holds: Vec<_> = facts.leases.iter().filter(|(_, l)| l.session == *id).map(|(t, _)| t).collect();
                json!({"session": id, "name": s.name, "zone": s.zone, "version": s.version, "linked": linked,
                       "silent_s": (silent_s * 10.0).round() / 10.0, "holds": holds,
                       "twice": facts.sessions.values().filter(|o| o.name == s.name).count() > 1})
            }).collect::<Value>(),
            OperatorQuery::Leases => facts.leases.iter().map(|(task, l)| {
                let name = facts.sessions.get(&l.session).map(|s| s.name.clone());
                let left_s = (self.desk.left(now, l.token) * 10.0).round() / 10.0;
                json!({"task": task, "holder": name, "session": l.session, "token": l.token, "ttl_ms": l.ttl_ms,
                       "free_in_s": left_s, "waiting": self.desk.waiting(task)})
            }).collect(),
            OperatorQuery::Tasks => {
                let tasks: Vec<Value> = facts.tasks.values().map(|t| {
                    json!({"task": t.name, "ttl_ms": t.ttl_ms, "zones": t.zones,
                           "held": facts.leases.contains_key(&t.name), "waiting": self.desk.waiting(&t.name),
                           "period": facts.periods.get(&t.name)})
                }).collect();
                json!({"epoch": facts.epoch, "tasks": tasks, "unknown": facts.doubts,
                       "unknown_in_all": facts.doubts_in_all})
            }
            OperatorQuery::Overload => match self.desk.overload() {
                Some(leader) => overload_of(now, leader),
                None => Value::Null,
            },
            OperatorQuery::Pin { tier, share, for_s } => {
                let good = (0.0..=1.0).contains(share) && (0.0..=PIN_MOST_S).contains(for_s);
                match self.desk.overload_mut().filter(|_| good) {
                    Some(leader) => {
                        let level = SheddingLevel { tier: (*tier).min(MAX_TIERS), share: *share };
                        leader.pin(level, now + for_s);
                        self.out.push(Output::Note(true, format!("overload: pinned to {level:?} for {for_s} s")));
                        overload_of(now, leader)
                    }
                    None => {
                        let why = format!("expected [overload], a share of 0 to 1, and 0 to {PIN_MOST_S} s");
                        return self.say(link, &ServerMessage::Rejected { why });
                    }
                }
            }
            OperatorQuery::Replace { coordinator } => match self.replica.replace(now, coordinator) {
                Ok(member) => json!({"coordinator": coordinator, "member": member}),
                Err(why) => return self.say(link, &ServerMessage::Rejected { why }),
            },
        };
        self.say(link, &ServerMessage::QueryResult { answer });
    }

    /// How this member stands, for whoever asks.
    pub fn status(&self) -> Value {
        let (standing, why) = word_of(&self.replica.standing);
        let (last, applied) = self.replica.ends();
        let facts = &self.replica.facts;
        json!({
            "name": self.setup.name, "fleet": self.setup.fleet, "standing": standing, "why": why,
            "leads": self.replica.leads(), "leader": self.replica.leader().and_then(|l| self.name_of(l)),
            "member": self.replica.member(), "term": self.replica.term(), "last": last, "applied": applied,
            "version": facts.version, "epoch": facts.epoch, "members": facts.members,
            "voters": self.replica.voters(), "sessions": facts.sessions.len(), "leases": facts.leases.len(),
            "unknown_in_all": facts.doubts_in_all, "kept": facts.progress,
        })
    }

    /// The coordinators' file has changed.
    pub fn reload(&mut self, now: f64, epoch: u64, tasks: Vec<Task>) {
        (self.setup.epoch, self.setup.tasks) = (epoch, tasks);
        self.propose_tasks(now);
        self.settle(now);
    }

    fn propose_tasks(&mut self, now: f64) {
        if self.replica.leads() && self.setup.epoch > self.replica.facts.epoch {
            let (epoch, tasks) = (self.setup.epoch, self.setup.tasks.clone());
            self.replica.propose(now, Command::Tasks { epoch, tasks });
        }
    }

    /// Lets one part's words reach the others until nothing more comes of it.
    fn settle(&mut self, now: f64) {
        loop {
            let happened = self.replica.take_happened();
            let acts = self.desk.take_acts();
            if happened.is_empty() && acts.is_empty() {
                break;
            }
            for event in happened {
                self.happened(now, event);
            }
            for act in acts {
                match act {
                    LeaderAction::Send(link, word) => self.say(link, &word),
                    // What can't be proposed now is proposed again by whoever still wants it.
                    LeaderAction::Propose(command) => drop(self.replica.propose(now, command)),
                    LeaderAction::Confirm(number) => self.replica.confirm(now, number),
                    LeaderAction::Note(line) => self.out.push(Output::Note(false, line)),
                }
            }
        }
        for effect in self.replica.take_effects() {
            match effect {
                ReplicaOutput::Disk(number, job) => self.out.push(Output::Disk(number, job)),
                ReplicaOutput::Send(member, bytes) => {
                    let Some(name) = self.name_of(member) else { continue };
                    let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
                    framed.extend_from_slice(&bytes);
                    self.out.push(Output::Peer(name, framed));
                }
            }
        }
        if self.was != self.replica.standing {
            let (standing, why) = word_of(&self.replica.standing);
            let warn = self.replica.standing != ReplicaStatus::Member;
            self.out.push(Output::Note(warn, format!("standing: {standing} {why}").trim_end().to_owned()));
            self.was = self.replica.standing.clone();
            self.answers.clear();
            self.out.push(Output::Relink);
        }
    }

    fn happened(&mut self, now: f64, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Led => {
                self.out.push(Output::Note(false, format!("leads, term {}", self.replica.term())));
                self.desk.lead(now, &self.replica.facts);
                self.propose_tasks(now);
            }
            ReplicaEvent::Followed => {
                self.out.push(Output::Note(false, "leads no more".to_owned()));
                let word = self.not_leader();
                for link in self.desk.follow() {
                    self.say(link, &word);
                }
                for (_, link, ..) in std::mem::take(&mut self.questions) {
                    self.say(link, &word);
                }
            }
            ReplicaEvent::Applied(entry, result) => {
                self.desk.applied(now, &entry, &result, &self.replica.facts);
                self.desk.tick(now, &self.replica.facts);
            }
            ReplicaEvent::Confirmed(number) if number > QUESTIONS_FROM => {
                let ready = self.questions.iter().position(|(n, ..)| *n == number);
                if let Some((_, link, what, _)) = ready.map(|at| self.questions.remove(at)) {
                    self.answer(now, link, &what);
                }
            }
            ReplicaEvent::Confirmed(number) => self.desk.confirmed(now, number, &self.replica.facts),
        }
    }
}

/// How the fleet stands in overload.
fn overload_of(now: f64, leader: &Leader) -> Value {
    let (level, sums) = (leader.level(now), leader.sums());
    let capacity = leader.capacity_totals(now);
    let zones: Vec<Value> = leader
        .service()
        .zones()
        .map(|z| {
            json!({"zone": z.zone, "calls_part": z.call_share, "given_up": z.circuit_open, "tried_by_session": z.prober})
        })
        .collect();
    json!({
        "level": if level.is_open() { json!("open") } else { json!({"tier": level.tier, "share": level.share}) },
        "workers": sums.workers, "age_s": (sums.age_s * 10.0).round() / 10.0,
        "asked_per_s": sums.arrivals.iter().sum::<f64>().round(), "further_per_s": sums.retries.round(),
        "capacity_per_s": sums.capacity.round(), "calls_per_s": (sums.calls_succeeded + sums.calls_failed).round(),
        "call_ms": (sums.call_s * 10_000.0).round() / 10.0, "retries_pass": leader.retry_budget().admitted_share(),
        "retries_saved": leader.retry_budget().balance().round(), "calls_lent": capacity.lent, "calls_in_slices": capacity.granted,
        "zones": zones,
    })
}

fn word_of(standing: &ReplicaStatus) -> (&'static str, String) {
    match standing {
        ReplicaStatus::Opening => ("opening", String::new()),
        ReplicaStatus::Blank(why) => ("blank", why.clone()),
        ReplicaStatus::Member => ("member", String::new()),
        ReplicaStatus::Aside(why) => ("aside", why.clone()),
        ReplicaStatus::Barred(why) => ("barred", why.clone()),
    }
}

/// Reads the body of the next frame in `data`: `None` while it is not whole, else it and the frame's length.
///
/// # Errors
/// A frame longer than `most`.
pub fn next_frame(data: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, String> {
    let Some(head) = data.get(..4).and_then(|head| head.try_into().ok()) else { return Ok(None) };
    let length = u32::from_be_bytes(head) as usize;
    if length > most {
        return Err(format!("a frame of {length} bytes; at most {most} are taken"));
    }
    Ok(data.get(4..4 + length).map(|body| (body, 4 + length)))
}

/// The most that a worker or a command takes from a coordinator; frames to them are smaller.
pub const WORD_MOST_BYTES: usize = MAX_SERVER_FRAME_BYTES;
