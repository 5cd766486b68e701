//! What the core does for a process and its successor: what may still be decided elsewhere is lent, what runs stays,
//! and keys are told of. Times here are the loop's; whoever sends them on makes Unix times of them.

use super::idempotency::{IdempotencyKey, IdempotencyUpdate, KeyProgress};
use super::{refused, Command, Dispatcher, Request, Ticket};
use crate::hot_restart::IndeterminateKeys;
use crate::interface::{Event, LearnedState, Outcome, RequestId};
use siphasher::sip::SipHasher13;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// A request that has not been started, with its times on the loop's clock (seconds).
#[derive(Clone, Debug)]
pub struct HandedOffRequest {
    pub request: Request,
    pub arrived: f64,
    pub due: f64,
}

impl HandedOffRequest {
    /// The request as it stands now.
    pub fn at(&self, now: f64) -> Request {
        let (read_delay_s, time_left_s) = ((now - self.arrived).max(0.0), (self.due - now).max(0.0));
        Request { read_at: Some(now), read_delay_s, time_left_s, ..self.request.clone() }
    }
}

/// What a successor is given.
#[derive(Debug)]
pub struct HandedOff {
    pub prints: (u64, u64),
    pub learned: LearnedState,
    /// Names of requests that run here.
    pub running: Vec<Rc<str>>,
    pub keys: Vec<IdempotencyUpdate>,
    /// In the order in which they were read.
    pub requests: Vec<HandedOffRequest>,
}

impl Dispatcher {
    /// Stands for the body of a keyed request; the same in every version of the program (SipHash-1-3).
    pub(super) fn print(&self, body: &[u8]) -> u64 {
        SipHasher13::new_with_keys(self.prints.0, self.prints.1).hash(body)
    }

    /// What is to be believed of keys that are not known here.
    pub fn believe(&mut self, doubt: IndeterminateKeys) {
        self.doubt = doubt;
    }

    pub fn doubt(&self) -> IndeterminateKeys {
        self.doubt
    }

    /// What bodies are hashed with, where nobody can guess it: for a core that knows no key yet.
    pub fn salt(&mut self, prints: (u64, u64)) {
        self.prints = prints;
    }

    /// Takes up how the process before this one hashes bodies, and what runs there. Nothing keyed is known yet.
    pub fn succeed(&mut self, prints: (u64, u64), running: Vec<Rc<str>>) {
        self.prints = prints;
        self.elsewhere = running.into_iter().collect();
    }

    /// Nothing is in hand: no answer is owed, and nothing runs.
    pub fn idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Runs on the cores, calls in hand, and memory in the executor's books, here and in the process before.
    pub fn usage(&self) -> (usize, usize, f64) {
        let (mut on_cores, mut calling, mut kb) = self.beside;
        for held in self.requests.values() {
            on_cores += usize::from(held.started && held.at_call.is_none());
            calling += usize::from(held.calling);
            kb += held.request.kb * if held.started { self.run_factor } else { 1.0 };
        }
        (on_cores, calling, kb)
    }

    /// Gives away what has not been started and whose answer may be owed by another process. What runs goes on, with
    /// the tries that wait for it.
    pub fn lend(&mut self, now: f64, may: impl Fn(Ticket) -> bool, out: &mut Vec<Command>) -> HandedOff {
        let waiting: HashSet<RequestId> = self.keys.waiting().collect();
        let mut ids: Vec<RequestId> =
            self.requests.keys().copied().filter(|id| !waiting.contains(id)).collect();
        ids.sort_unstable();
        let (mut requests, mut events) = (Vec::new(), VecDeque::new());
        for id in ids {
            let Some(held) = self.requests.get_mut(&id) else { continue };
            // One before it in this list may have made room for it to be started.
            if held.started || held.answered || !may(held.request.ticket) {
                continue;
            }
            held.answered = true;
            let (request, arrived, due) = (held.request.clone(), held.arrived, held.due);
            self.owed -= 1;
            self.tickets.remove(&request.ticket);
            requests.push(HandedOffRequest { request, arrived, due });
            events.push_back(Event::CallerGone(id));
            self.settle(now, &mut events, out);
            self.let_go(id);
        }
        self.key_news.clear();
        self.lent = true;
        let names: Vec<IdempotencyKey> = self.keys.names().cloned().collect();
        let mut learned = self.controller.learned();
        // They are paid for where they are decided on, which is now the successor.
        for tenant in requests.iter().filter_map(|r: &HandedOffRequest| r.request.tenant) {
            if let Some(quota) = learned.traffic.quotas.get_mut(tenant) {
                quota.tokens += 1.0;
                quota.arrivals = (quota.arrivals - 1.0).max(0.0);
            }
        }
        HandedOff {
            prints: self.prints,
            learned,
            running: self.requests.values().filter(|h| h.started).map(|h| h.request.name.clone()).collect(),
            keys: names.iter().map(|name| self.keys.news(name)).collect(),
            requests,
        }
    }

    /// Nobody has this process's place any more.
    pub fn end_lending(&mut self) {
        self.lent = false;
        self.key_news.clear();
    }

    pub(super) fn tell_keys(&mut self, out: &mut Vec<Command>) {
        let keys = &self.keys;
        let lent = self.lent;
        // Drained, not taken: the list keeps its room.
        out.extend(
            self.key_news.drain(..).filter(|_| lent).map(|name| Command::IdempotencyUpdate(keys.news(&name))),
        );
    }

    /// News of a key of the process before this one: taken up, or the end that tries here wait for.
    pub(super) fn adopt_key(
        &mut self,
        news: &IdempotencyUpdate,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Command>,
    ) {
        let open = |e: &super::idempotency::Entry| e.elsewhere && e.progress == KeyProgress::Open;
        let Some(holder) = self.keys.get_mut(&news.name).map(|e| open(e).then_some(e.holder)) else {
            self.next += 1;
            self.keys.adopt(news, RequestId(self.next));
            self.key_news.push(news.name.clone());
            return;
        };
        let Some(holder) = holder else { return };
        match news.progress.clone() {
            Some(KeyProgress::Open) => {}
            Some(progress) => self.key_ended(&news.name, holder, progress, events, out),
            None => {
                let tries = self.keys.get_mut(&news.name).map(|e| std::mem::take(&mut e.waiting));
                self.keys.forget(&news.name, holder);
                self.key_news.push(news.name.clone());
                self.end_all(tries.unwrap_or_default(), &refused(), Outcome::NotStarted, events, out);
            }
        }
    }

    /// The process before this one has ended. Keys that were open there have failed for good: whether they had their
    /// effect died with it.
    pub(super) fn predecessor_gone(&mut self, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        self.elsewhere = HashSet::new();
        self.beside = (0, 0, 0.0);
        events.push_back(Event::OtherProcess { on_cores: 0, calling: 0, kb: 0.0 });
        for (name, holder) in self.keys.open_elsewhere() {
            self.key_ended(&name, holder, KeyProgress::Failed, events, out);
        }
    }
}
