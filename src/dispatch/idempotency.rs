//! The table of operation keys: which try holds a key, until when, and the result that its run left.
//!
//! An entry is kept a while beyond its time: a try counts from when it reached the machine, and it may lie unread. So
//! tries may be read in another order than they came in: a key whose window is over may have a new holder, whose run has
//! not begun and may never, when a try of the old window is read. The old run stands for that one, whatever becomes of
//! the new.

use super::Response;
use crate::interface::{Outcome, RequestId};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// How long after its time an entry still serves tries that arrived within it, at least (seconds). Where callers wait
/// for longer than that, so long.
const LATE_READING_S: f64 = 6.0;

/// What a key is unique within: a class and a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Rc<str>,
}

/// Where the run of a key stands.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProgress {
    /// Its holder has not ended.
    Open,
    /// It ended well; the result is absent where it could not be kept.
    Served(Option<Rc<[u8]>>),
    /// It failed, or it is not known how it went.
    Failed,
}

impl Entry {
    /// The run before this holder, where it is the one that stands for a try which arrived then.
    fn past_of(&self, arrived: f64) -> Option<&Past> {
        self.before.as_ref().filter(|p| arrived <= p.expires)
    }
}

impl KeyProgress {
    /// Bytes of a kept result.
    fn bytes(&self) -> usize {
        match self {
            KeyProgress::Served(Some(result)) => result.len(),
            _ => 0,
        }
    }

    /// What a try of a key that has ended is given.
    pub fn share(&self) -> (Response, Outcome) {
        match self {
            KeyProgress::Served(Some(result)) => (Response::Served(result.clone()), Outcome::Ok),
            _ => (Response::Failed, Outcome::Error),
        }
    }
}

/// A key in the table.
#[derive(Debug)]
pub struct Entry {
    pub holder: RequestId,
    /// Stands for the body of the holder and its tries.
    print: u64,
    pub progress: KeyProgress,
    expires: f64,
    /// Its run was begun by another process, which tells how it ends.
    pub elsewhere: bool,
    /// Tries that get what the holder gets.
    pub waiting: Vec<RequestId>,
    /// The run that had the key before this holder, until when it stands for tries that are read late. It covers all
    /// that came earlier, so one is enough.
    before: Option<Past>,
}

/// A run whose window is over.
#[derive(Clone, Debug)]
struct Past {
    holder: RequestId,
    print: u64,
    progress: KeyProgress,
    expires: f64,
    elsewhere: bool,
}

/// The run that stands for a try.
#[derive(Debug, PartialEq)]
pub struct MatchedAttempt {
    pub holder: RequestId,
    /// Stands for the body that came with the key.
    pub print: u64,
}

/// What one process tells another of a key that may have run.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyUpdate {
    pub name: IdempotencyKey,
    /// Stands for the body that came with it.
    pub print: u64,
    /// Until when it links tries (loop's clock, seconds).
    pub until: f64,
    /// Absent where it turned out that its run never began.
    pub progress: Option<KeyProgress>,
}

/// All keys, with a bound on the bytes of kept results.
pub struct IdempotencyTable {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Oldest first; some may have left the table since.
    served: VecDeque<IdempotencyKey>,
    kept: usize,
    room: usize,
    most: usize,
    late_s: f64,
}

impl IdempotencyTable {
    /// A table of at most so many keys, with room for so many bytes of results. Callers wait so long at most (seconds).
    pub fn new(room: usize, most: usize, time_left_s: f64) -> Self {
        let late_s = time_left_s.max(LATE_READING_S);
        IdempotencyTable { entries: HashMap::new(), served: VecDeque::new(), kept: 0, room, most, late_s }
    }

    /// Whether one more key is too many. None is dropped for it: what it guards could run twice.
    pub fn full(&self) -> bool {
        self.entries.len() >= self.most
    }

    /// How long a key is kept after its time (seconds).
    pub fn late_s(&self) -> f64 {
        self.late_s
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The run that a try with this key repeats, by the time it reached the machine. A key whose run is still open is
    /// linked however late the try is: guards against a second run beside a hung one.
    pub fn linked(&self, name: &IdempotencyKey, arrived: f64) -> Option<MatchedAttempt> {
        let entry = self.entries.get(name)?;
        if let Some(past) = entry.past_of(arrived) {
            return Some(MatchedAttempt { holder: past.holder, print: past.print });
        }
        let links = arrived <= entry.expires || matches!(entry.progress, KeyProgress::Open);
        links.then_some(MatchedAttempt { holder: entry.holder, print: entry.print })
    }

    /// How the run of an earlier window ended, where it is the one that stands for a try of that time.
    pub fn ended_before(&self, name: &IdempotencyKey, arrived: f64) -> Option<KeyProgress> {
        Some(self.entries.get(name)?.past_of(arrived)?.progress.clone())
    }

    pub fn get_mut(&mut self, name: &IdempotencyKey) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    /// Records a request as the holder of its key, or renews its entry.
    pub fn remember(&mut self, name: &IdempotencyKey, holder: RequestId, print: u64, expires: f64) {
        let entry = self.entries.entry(name.clone()).or_insert_with(|| Entry {
            holder,
            print,
            progress: KeyProgress::Open,
            expires,
            elsewhere: false,
            waiting: Vec::new(),
            before: None,
        });
        if entry.holder != holder && !matches!(entry.progress, KeyProgress::Open) {
            let progress = std::mem::replace(&mut entry.progress, KeyProgress::Open);
            let (holder, print, expires, elsewhere) =
                (entry.holder, entry.print, entry.expires, entry.elsewhere);
            let older = entry.before.replace(Past { holder, print, progress, expires, elsewhere });
            entry.elsewhere = false;
            self.kept -= older.map_or(0, |p| p.progress.bytes());
        }
        (entry.holder, entry.print, entry.expires) = (holder, print, expires);
    }

    /// All that is known of a key, for another process.
    pub fn news(&self, name: &IdempotencyKey) -> IdempotencyUpdate {
        let entry = self.entries.get(name);
        IdempotencyUpdate {
            name: name.clone(),
            print: entry.map_or(0, |e| e.print),
            until: entry.map_or(0.0, |e| e.expires),
            progress: entry.map(|e| e.progress.clone()),
        }
    }

    /// All keys, in an order of their own.
    pub fn names(&self) -> impl Iterator<Item = &IdempotencyKey> {
        self.entries.keys()
    }

    /// Tries that wait for the end of a run.
    pub fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.values().flat_map(|e| e.waiting.iter().copied())
    }

    /// Keys whose run another process has begun and not told the end of, with their holders.
    pub fn open_elsewhere(&self) -> Vec<(IdempotencyKey, RequestId)> {
        let open = self.entries.iter().filter(|(_, e)| e.elsewhere && e.progress == KeyProgress::Open);
        let mut open: Vec<_> = open.map(|(name, e)| (name.clone(), e.holder)).collect();
        open.sort_unstable_by_key(|(_, holder)| *holder);
        open
    }

    /// Takes up a key of another process under a holder that no request here has. One that is known here stays.
    pub fn adopt(&mut self, news: &IdempotencyUpdate, holder: RequestId) {
        let Some(progress) = news.progress.clone().filter(|_| !self.entries.contains_key(&news.name)) else {
            return;
        };
        self.remember(&news.name, holder, news.print, news.until);
        if let Some(entry) = self.entries.get_mut(&news.name) {
            entry.elsewhere = true;
        }
        self.ended(&news.name, holder, progress);
    }

    /// Takes the key of a request that never ran from the table. An entry whose run has ended stays: a
    /// result that is gone while its window lasts would let a second run in.
    pub fn forget(&mut self, name: &IdempotencyKey, holder: RequestId) {
        if self
            .entries
            .get(name)
            .is_some_and(|e| e.holder == holder && matches!(e.progress, KeyProgress::Open))
        {
            let Some(entry) = self.entries.get_mut(name) else { return };
            // The run before it stands again for what it stood for.
            match entry.before.take() {
                Some(Past { holder, print, progress, expires, elsewhere }) => {
                    let (waiting, before) = (Vec::new(), None);
                    *entry = Entry { holder, print, progress, expires, elsewhere, waiting, before };
                }
                None => self.remove(name),
            }
        }
    }

    /// The run of a key has ended; returns the tries that wait for it.
    pub fn ended(
        &mut self,
        name: &IdempotencyKey,
        holder: RequestId,
        progress: KeyProgress,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(name).filter(|e| e.holder == holder) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut entry.waiting);
        if let KeyProgress::Served(Some(result)) = &progress {
            self.kept += result.len();
            self.served.push_back(name.clone());
        }
        entry.progress = progress;
        // Guards the memory limit: the oldest results go, their links stay, so that nothing runs twice.
        while self.kept > self.room {
            let Some(oldest) = self.served.pop_front() else { break };
            self.drop_result(&oldest);
        }
        waiting
    }

    /// The oldest result of a key goes, if there is one.
    fn drop_result(&mut self, name: &IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        let past = entry.before.iter_mut().map(|p| &mut p.progress);
        let kept = past.chain([&mut entry.progress]).find(|p| p.bytes() > 0);
        if let Some(KeyProgress::Served(result)) = kept {
            self.kept -= result.take().map_or(0, |r| r.len());
        }
    }

    fn remove(&mut self, name: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(name) else { return };
        self.kept -= entry.progress.bytes() + entry.before.map_or(0, |p| p.progress.bytes());
    }

    /// Drops what can link nothing any more.
    pub fn sweep(&mut self, now: f64) {
        let late_s = self.late_s;
        let over = |e: &Entry| now > e.expires + late_s && !matches!(e.progress, KeyProgress::Open);
        let gone: Vec<IdempotencyKey> =
            self.entries.iter().filter(|(_, e)| over(e)).map(|(n, _)| n.clone()).collect();
        gone.iter().for_each(|name| self.remove(name));
        for entry in self.entries.values_mut() {
            if entry.before.as_ref().is_some_and(|p| now > p.expires + late_s) {
                self.kept -= entry.before.take().map_or(0, |p| p.progress.bytes());
            }
        }
        // A name may stand here more often than it has results: then one that is newer goes a little early.
        let entries = &self.entries;
        self.served.retain(|name| entries.contains_key(name));
        self.served.shrink_to(4 * self.served.len());
        self.entries.shrink_to(4 * self.entries.len());
    }
}

#[cfg(test)]
mod tests;
