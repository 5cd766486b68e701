//! The fleet's hard facts: a state machine that every coordinator runs over the same log. Commands and log time in,
//! outcomes out; it reads no clock, draws nothing at random, and gives the same facts for the same commands.
//!
//! Owed to callers: one holder a task at a time, tokens that only grow, periods of a task that are begun once unless the
//! call surely had no effect or may safely be made again. A command that breaks a bound or comes too late is refused and
//! changes nothing.

use port_worker::fleet::frame::{is_valid_name, CallOutcome, LeaseRef, MAX_NAME_BYTES, MAX_TASKS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Sessions at most. Each is about 200 bytes of a snapshot.
pub const SESSIONS_MOST: usize = 4096;
/// Outcomes of unsafe calls that nobody knows, kept for operators.
pub const UNKNOWN_MOST: usize = 100;
/// Holders of one task that failed at it and are remembered; the one whose pause ended first goes first.
pub const FAILED_MOST: usize = 256;
/// How long after its pause a holder's failures still count towards the next one (milliseconds).
const FAILED_FOR_MS: u64 = 3_600_000;
/// The longest pause of a holder that failed, in doublings of the task's pause.
const DOUBLINGS_MOST: u32 = 6;
/// Coordinators at most, past and present.
const MEMBERS_MOST: usize = 64;
/// What this program can apply. A command that came later than the agreed version is refused by all alike.
pub const LATEST: u32 = port_worker::fleet::frame::VERSION;

/// How a task's lease is given.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Task {
    pub name: String,
    /// How long a renewal holds (milliseconds).
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Zones whose workers go first, the best first.
    #[serde(default)]
    pub zones: Vec<String>,
    /// How long a holder that failed at it waits for its next turn (milliseconds); twice as long each time in a row.
    #[serde(default = "default_pause_ms")]
    pub pause_ms: u64,
}

fn default_ttl_ms() -> u64 {
    3000
}

fn default_pause_ms() -> u64 {
    2000
}

/// What is put into the log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    Open {
        name: String,
        zone: String,
        process: u64,
        version: u32,
    },
    /// The session is over: its holder said so, or it was silent for its whole time and holds nothing.
    Close {
        session: u64,
    },
    Grant {
        task: String,
        session: u64,
    },
    /// The lease is free again.
    Free {
        held: LeaseRef,
        why: ReleaseReason,
    },
    Transfer {
        held: LeaseRef,
        session: u64,
    },
    Begin {
        held: LeaseRef,
        every_ms: u64,
        safe: bool,
        attempt: u64,
    },
    End {
        held: LeaseRef,
        period: u64,
        ending: CallOutcome,
    },
    /// The coordinators' file, by its epoch.
    Tasks {
        epoch: u64,
        tasks: Vec<Task>,
    },
    /// How far each coordinator's disk is known to be.
    Progress {
        kept: Vec<(u64, u64)>,
    },
    /// All coordinators can apply this version.
    Raise {
        version: u32,
    },
    /// A coordinator of a later version put something here that this program has no name for.
    #[serde(other)]
    Unknown,
}

/// Why a lease became free.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseReason {
    Lapsed,
    GivenBack,
    Failed,
}

/// A command, and the log's time when it was put there (milliseconds; it only grows).
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Entry {
    pub at_ms: u64,
    #[serde(flatten)]
    pub command: Command,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Opened(u64),
    Granted(LeaseRef),
    Begun(u64),
    Done,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("not understood by all coordinators yet")]
    Version,
    #[error("{0} is not a name: letters, digits, - _ . and at most {MAX_NAME_BYTES} of them")]
    Name(String),
    #[error("{0} sessions are open; no more are taken")]
    Full(usize),
    #[error("there is no such session")]
    NoSession,
    #[error("there is no such task")]
    NoTask,
    #[error("the lease is not this holder's")]
    NotHeld,
    #[error("somebody holds it")]
    Taken,
    #[error("the next period begins in {0} ms")]
    NotDue(u64),
    #[error("the session still holds leases")]
    Holds,
    #[error("epoch {0} has been taken up already")]
    OldEpoch(u64),
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Session {
    pub name: String,
    pub zone: String,
    pub process: u64,
    pub version: u32,
    pub opened_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Lease {
    pub session: u64,
    pub token: u64,
    pub granted_ms: u64,
    /// What renewals give.
    pub ttl_ms: u64,
    /// The longest that a renewal under this token may have given: what a new leader must wait.
    pub whole_ms: u64,
}

/// Where a task's periods stand.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Period {
    pub number: u64,
    pub token: u64,
    pub attempt: u64,
    pub due_ms: u64,
    /// `None` while the call is on its way, as far as the log knows.
    pub ending: Option<CallOutcome>,
    pub safe: bool,
}

/// How often in a row a holder has failed at a task, and until when it waits for its next turn (the log's time).
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Failed {
    pub times: u32,
    pub until_ms: u64,
}

/// A call that may have had its effect, and may not be made again.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Doubt {
    pub task: String,
    pub period: u64,
    pub token: u64,
    pub at_ms: u64,
}

/// All of it. A snapshot is this as JSON.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LeaseStateMachine {
    /// What all coordinators can apply; 0 counts as 1.
    pub version: u32,
    pub at_ms: u64,
    pub epoch: u64,
    pub last_token: u64,
    pub last_session: u64,
    pub tasks: BTreeMap<String, Task>,
    pub sessions: BTreeMap<u64, Session>,
    pub leases: BTreeMap<String, Lease>,
    pub periods: BTreeMap<String, Period>,
    /// By task and worker's name.
    pub failed: BTreeMap<String, BTreeMap<String, Failed>>,
    pub doubts: Vec<Doubt>,
    /// Unsafe calls of unknown outcome in all; the list above is bounded.
    pub doubts_in_all: u64,
    /// By a coordinator's number: the log's end that its disk is known to have kept.
    pub progress: BTreeMap<u64, u64>,
    /// Coordinators by number. A number is never used again; those up to `founders` began the fleet.
    pub members: BTreeMap<u64, String>,
    pub last_member: u64,
    pub founders: u64,
}

impl LeaseStateMachine {
    /// A fleet's first facts.
    pub fn found(coordinators: &[String]) -> LeaseStateMachine {
        let count = coordinators.len() as u64;
        let members = (1..).zip(coordinators.iter().cloned()).collect();
        LeaseStateMachine {
            version: 1,
            members,
            last_member: count,
            founders: count,
            ..LeaseStateMachine::default()
        }
    }

    /// A coordinator's number by its name.
    pub fn member(&self, name: &str) -> Option<u64> {
        self.members.iter().find(|(_, n)| *n == name).map(|(number, _)| *number)
    }

    /// A fresh member takes the place of one that has lost its disk.
    pub fn replace_member(&mut self, old: u64, fresh: u64) {
        if let Some(name) = self.members.remove(&old) {
            self.members.insert(fresh, name);
            self.last_member = self.last_member.max(fresh);
            self.progress.remove(&old);
        }
    }

    /// The lease that this names, if it is held under that token.
    pub fn lease(&self, held: &LeaseRef) -> Option<&Lease> {
        self.leases.get(&held.task).filter(|lease| lease.token == held.token)
    }

    /// The newest session of this name.
    pub fn newest(&self, name: &str) -> Option<u64> {
        self.sessions.iter().rev().find(|(_, s)| s.name == name).map(|(id, _)| *id)
    }

    /// Carries out one command.
    ///
    /// # Errors
    /// Why it changed nothing but the log's time.
    pub fn apply(&mut self, entry: &Entry) -> Result<Outcome, Refusal> {
        self.at_ms = self.at_ms.max(entry.at_ms);
        let now = self.at_ms;
        match &entry.command {
            Command::Open { name, zone, process, version } => {
                for word in [name, zone] {
                    if !is_valid_name(word) {
                        return Err(Refusal::Name(word.clone()));
                    }
                }
                // The same process asked twice, over two links or two leaders: one session.
                if let Some((id, _)) =
                    self.sessions.iter().find(|(_, s)| s.process == *process && s.name == *name)
                {
                    return Ok(Outcome::Opened(*id));
                }
                if self.sessions.len() >= SESSIONS_MOST {
                    return Err(Refusal::Full(self.sessions.len()));
                }
                self.last_session += 1;
                let (name, zone) = (name.clone(), zone.clone());
                let session = Session { name, zone, process: *process, version: *version, opened_ms: now };
                self.sessions.insert(self.last_session, session);
                Ok(Outcome::Opened(self.last_session))
            }
            Command::Close { session } => {
                if self.leases.values().any(|l| l.session == *session) {
                    return Err(Refusal::Holds);
                }
                self.sessions.remove(session).map(|_| Outcome::Done).ok_or(Refusal::NoSession)
            }
            Command::Grant { task, session } => {
                if self.leases.contains_key(task) {
                    return Err(Refusal::Taken);
                }
                self.grant(task, *session)
            }
            Command::Free { held, why } => {
                let session = self.lease(held).ok_or(Refusal::NotHeld)?.session;
                self.leases.remove(&held.task);
                if *why == ReleaseReason::Failed {
                    self.note_failure(&held.task, session);
                }
                Ok(Outcome::Done)
            }
            Command::Transfer { held, session } => {
                self.lease(held).ok_or(Refusal::NotHeld)?;
                if !self.sessions.contains_key(session) {
                    return Err(Refusal::NoSession);
                }
                self.leases.remove(&held.task);
                self.grant(&held.task, *session)
            }
            Command::Begin { held, every_ms, safe, attempt } => self.begin(held, *every_ms, *safe, *attempt),
            Command::End { held, period, ending } => {
                // Also from a holder that has lost the lease meanwhile: it alone knows how its call ended.
                let known = self.periods.get_mut(&held.task);
                let Some(known) = known.filter(|p| p.number == *period && p.token == held.token) else {
                    return Err(Refusal::NotHeld);
                };
                if known.ending.is_some() {
                    return Err(Refusal::NotHeld);
                }
                known.ending = Some(*ending);
                let safe = known.safe;
                match ending {
                    CallOutcome::Done => self.forgive(held),
                    CallOutcome::Unknown if !safe => self.doubt(&held.task),
                    CallOutcome::Unknown | CallOutcome::NotDone => {}
                }
                Ok(Outcome::Done)
            }
            Command::Tasks { epoch, tasks } => {
                if *epoch <= self.epoch {
                    return Err(Refusal::OldEpoch(*epoch));
                }
                if let Some(bad) = tasks.iter().find(|t| !is_valid_name(&t.name)) {
                    return Err(Refusal::Name(bad.name.clone()));
                }
                self.epoch = *epoch;
                self.tasks = tasks.iter().take(MAX_TASKS).map(|t| (t.name.clone(), t.clone())).collect();
                self.failed.retain(|name, _| self.tasks.contains_key(name));
                for (name, lease) in &mut self.leases {
                    if let Some(task) = self.tasks.get(name) {
                        lease.ttl_ms = task.ttl_ms;
                        lease.whole_ms = lease.whole_ms.max(task.ttl_ms);
                    }
                }
                Ok(Outcome::Done)
            }
            Command::Progress { kept } => {
                for (member, index) in kept.iter().take(MEMBERS_MOST) {
                    let known = self.progress.entry(*member).or_default();
                    *known = (*known).max(*index);
                }
                Ok(Outcome::Done)
            }
            Command::Raise { version } => {
                self.version = self.version.max(*version);
                Ok(Outcome::Done)
            }
            Command::Unknown => Err(Refusal::Version),
        }
    }

    fn grant(&mut self, task: &str, session: u64) -> Result<Outcome, Refusal> {
        let settings = self.tasks.get(task).ok_or(Refusal::NoTask)?;
        if !self.sessions.contains_key(&session) {
            return Err(Refusal::NoSession);
        }
        self.last_token += 1;
        let (token, ttl_ms) = (self.last_token, settings.ttl_ms);
        let lease = Lease { session, token, granted_ms: self.at_ms, ttl_ms, whole_ms: ttl_ms };
        self.leases.insert(task.to_owned(), lease);
        Ok(Outcome::Granted(LeaseRef { task: task.to_owned(), token }))
    }

    fn begin(
        &mut self,
        held: &LeaseRef,
        every_ms: u64,
        safe: bool,
        attempt: u64,
    ) -> Result<Outcome, Refusal> {
        if self.version < 2 {
            return Err(Refusal::Version);
        }
        self.lease(held).ok_or(Refusal::NotHeld)?;
        let now = self.at_ms;
        let Some(before) = self.periods.get(&held.task).cloned() else {
            return Ok(self.new_period(held, 1, now, safe, attempt));
        };
        // The same question again: its answer was lost, and nothing is sent before it is heard.
        if (before.token, before.attempt, before.ending) == (held.token, attempt, None) {
            return Ok(Outcome::Begun(before.number));
        }
        let next_ms = before.due_ms.saturating_add(every_ms);
        if now >= next_ms {
            // Nobody has said how the last one ended, and nobody will be asked again.
            if before.ending.is_none() && !before.safe {
                self.doubt(&held.task);
            }
            // Periods keep their grid unless one was missed altogether.
            let due = if now >= next_ms.saturating_add(every_ms) { now } else { next_ms };
            return Ok(self.new_period(held, before.number + 1, due, safe, attempt));
        }
        let again = match before.ending {
            Some(CallOutcome::Done) => false,
            Some(CallOutcome::NotDone) => true,
            Some(CallOutcome::Unknown) => before.safe && safe,
            None => before.safe && safe && before.token < held.token,
        };
        if !again {
            return Err(Refusal::NotDue(next_ms - now));
        }
        Ok(self.new_period(held, before.number, before.due_ms, safe, attempt))
    }

    fn new_period(&mut self, held: &LeaseRef, number: u64, due_ms: u64, safe: bool, attempt: u64) -> Outcome {
        let period = Period { number, token: held.token, attempt, due_ms, ending: None, safe };
        self.periods.insert(held.task.clone(), period);
        Outcome::Begun(number)
    }

    /// The holder gave its turn away because it failed: the next one comes after a pause that doubles each time.
    fn note_failure(&mut self, task: &str, session: u64) {
        let Some(name) = self.sessions.get(&session).map(|s| s.name.clone()) else { return };
        let pause_ms = self.tasks.get(task).map_or(0, |t| t.pause_ms);
        let now = self.at_ms;
        let by_name = self.failed.entry(task.to_owned()).or_default();
        by_name.retain(|_, failed| now < failed.until_ms.saturating_add(FAILED_FOR_MS));
        if by_name.len() >= FAILED_MOST && !by_name.contains_key(&name) {
            let first = by_name.iter().min_by_key(|(_, f)| f.until_ms).map(|(name, _)| name.clone());
            first.map(|first| by_name.remove(&first));
        }
        let failed = by_name.entry(name).or_default();
        failed.times = failed.times.saturating_add(1);
        let pauses = 1 << (failed.times - 1).min(DOUBLINGS_MOST);
        failed.until_ms = now.saturating_add(pause_ms.saturating_mul(pauses));
    }

    /// It has done what it holds the lease for: earlier failures count no more.
    fn forgive(&mut self, held: &LeaseRef) {
        let session = self.lease(held).and_then(|lease| self.sessions.get(&lease.session));
        let name = session.map(|s| s.name.clone()).unwrap_or_default();
        if let Some(by_name) = self.failed.get_mut(&held.task) {
            by_name.remove(&name);
        }
    }

    /// Notes that nobody knows what came of the call of the task's latest period.
    fn doubt(&mut self, task: &str) {
        let Some(period) = self.periods.get(task) else { return };
        let doubt =
            Doubt { task: task.to_owned(), period: period.number, token: period.token, at_ms: self.at_ms };
        self.doubts_in_all += 1;
        self.doubts.push(doubt);
        if self.doubts.len() > UNKNOWN_MOST {
            self.doubts.remove(0);
        }
    }
}

#[cfg(test)]
#[path = "state_machine/tests.rs"]
mod tests;
