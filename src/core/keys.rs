//! The table of operation keys: which try holds a key, until when, and the result that its run left.
//!
//! An entry is kept a while beyond its time: a try counts from when it reached the machine, and it may lie unread.

use super::Answer;
use crate::interface::{Outcome, RequestId};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// How long after its time an entry still serves tries that arrived within it (seconds).
const LATE_READING_S: f64 = 6.0;

/// What a key is unique within: a class and a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyName {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Rc<str>,
}

/// Where the run of a key stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Its holder has not ended.
    Open,
    /// It ended well; the result is absent where it could not be kept.
    Served(Option<Rc<[u8]>>),
    /// It failed, or it is not known how it went.
    Failed,
}

impl Progress {
    /// What a try of a key that has ended is given.
    pub fn share(&self) -> (Answer, Outcome) {
        match self {
            Progress::Served(Some(result)) => (Answer::Served(result.clone()), Outcome::Ok),
            _ => (Answer::Failed, Outcome::Error),
        }
    }
}

/// A key in the table.
#[derive(Debug)]
pub struct Entry {
    pub holder: RequestId,
    /// Stands for the body of the holder and its tries.
    print: u64,
    pub progress: Progress,
    expires: f64,
    /// Its run was begun by another process, which tells how it ends.
    pub elsewhere: bool,
    /// Tries that get what the holder gets.
    pub waiting: Vec<RequestId>,
}

/// What one process tells another of a key that may have run.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyNews {
    pub name: KeyName,
    /// Stands for the body that came with it.
    pub print: u64,
    /// Until when it links tries (loop's clock, seconds).
    pub until: f64,
    /// Absent where it turned out that its run never began.
    pub progress: Option<Progress>,
}

/// All keys, with a bound on the bytes of kept results.
pub struct Keys {
    entries: HashMap<KeyName, Entry>,
    /// Oldest first; some may have left the table since.
    served: VecDeque<KeyName>,
    kept: usize,
    room: usize,
    most: usize,
}

impl Keys {
    /// A table of at most so many keys, with room for so many bytes of results.
    pub fn new(room: usize, most: usize) -> Self {
        Keys { entries: HashMap::new(), served: VecDeque::new(), kept: 0, room, most }
    }

    /// Whether one more key is too many. None is dropped for it: what it guards could run twice.
    pub fn full(&self) -> bool {
        self.entries.len() >= self.most
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The holder that a try with this key repeats, by the time it reached the machine. A key whose run is
    /// still open is linked however late the try is: guards against a second run beside a hung one.
    pub fn linked(&self, name: &KeyName, arrived: f64) -> Option<RequestId> {
        let entry = self.entries.get(name)?;
        (arrived <= entry.expires || matches!(entry.progress, Progress::Open)).then_some(entry.holder)
    }

    pub fn get_mut(&mut self, name: &KeyName) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    /// What stands for the body that came with this key.
    pub fn print(&self, name: &KeyName) -> Option<u64> {
        self.entries.get(name).map(|e| e.print)
    }

    /// Records a request as the holder of its key, or renews its entry.
    pub fn remember(&mut self, name: &KeyName, holder: RequestId, print: u64, expires: f64) {
        let stale = self.entries.get(name).is_some_and(|e| e.holder != holder);
        if stale && !matches!(self.entries[name].progress, Progress::Open) {
            self.remove(name);
        }
        let entry = self.entries.entry(name.clone()).or_insert_with(|| Entry {
            holder,
            print,
            progress: Progress::Open,
            expires,
            elsewhere: false,
            waiting: Vec::new(),
        });
        (entry.holder, entry.print, entry.expires) = (holder, print, expires);
    }

    /// All that is known of a key, for another process.
    pub fn news(&self, name: &KeyName) -> KeyNews {
        let entry = self.entries.get(name);
        KeyNews {
            name: name.clone(),
            print: entry.map_or(0, |e| e.print),
            until: entry.map_or(0.0, |e| e.expires),
            progress: entry.map(|e| e.progress.clone()),
        }
    }

    /// All keys, in an order of their own.
    pub fn names(&self) -> impl Iterator<Item = &KeyName> {
        self.entries.keys()
    }

    /// Tries that wait for the end of a run.
    pub fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.values().flat_map(|e| e.waiting.iter().copied())
    }

    /// Keys whose run another process has begun and not told the end of, with their holders.
    pub fn open_elsewhere(&self) -> Vec<(KeyName, RequestId)> {
        let open = self.entries.iter().filter(|(_, e)| e.elsewhere && e.progress == Progress::Open);
        let mut open: Vec<_> = open.map(|(name, e)| (name.clone(), e.holder)).collect();
        open.sort_unstable_by_key(|(_, holder)| *holder);
        open
    }

    /// Takes up a key of another process under a holder that no request here has. One that is known here stays.
    pub fn adopt(&mut self, news: &KeyNews, holder: RequestId) {
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
    pub fn forget(&mut self, name: &KeyName, holder: RequestId) {
        if self.entries.get(name).is_some_and(|e| e.holder == holder && matches!(e.progress, Progress::Open))
        {
            self.remove(name);
        }
    }

    /// The run of a key has ended; returns the tries that wait for it.
    pub fn ended(&mut self, name: &KeyName, holder: RequestId, progress: Progress) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(name).filter(|e| e.holder == holder) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut entry.waiting);
        if let Progress::Served(Some(result)) = &progress {
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

    fn drop_result(&mut self, name: &KeyName) {
        if let Some(Progress::Served(result)) = self.entries.get_mut(name).map(|e| &mut e.progress) {
            self.kept -= result.take().map_or(0, |r| r.len());
        }
    }

    fn remove(&mut self, name: &KeyName) {
        self.drop_result(name);
        self.entries.remove(name);
    }

    /// Drops what can link nothing any more.
    pub fn sweep(&mut self, now: f64) {
        let over = |e: &Entry| now > e.expires + LATE_READING_S && !matches!(e.progress, Progress::Open);
        let gone: Vec<KeyName> =
            self.entries.iter().filter(|(_, e)| over(e)).map(|(n, _)| n.clone()).collect();
        gone.iter().for_each(|name| self.remove(name));
        // A name may stand here twice, for its old result and a new one: then the new one goes a little early.
        let entries = &self.entries;
        self.served.retain(|name| entries.contains_key(name));
        self.served.shrink_to(4 * self.served.len());
        self.entries.shrink_to(4 * self.entries.len());
    }
}

#[cfg(test)]
mod tests;
