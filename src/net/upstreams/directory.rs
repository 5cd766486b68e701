//! The directory of tenants: an LDAP server that maps a portal's identity to a tenant's name.
//!
//! One link, bound once; searches share it. What it said is kept for a while, for a bounded number of identities.

use crate::config::DirectorySettings;
use crate::dispatch::Ticket;
use crate::net::frontends::ajp::{Lookup, LookupResult};
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::poll::{Place, Poll};
use crate::net::io::timer_wheel::{Timer, Wheel};
use crate::net::Log;
use bytes::BytesMut;
use ldap3_proto::proto::*;
use ldap3_proto::LdapCodec;
use std::collections::HashMap;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// The longest answer that is taken (bytes).
const MESSAGE_MOST: usize = 64 * 1024;
/// Lookups that wait at once; more find the directory down.
const WAITING_MOST: usize = 1024;
/// After a failed link the directory counts as down for so long (seconds).
const DOWN_S: f64 = 0.2;
/// An identity that the directory does not know is asked for again this soon (seconds): it may be new.
const UNKNOWN_KEEP_S: f64 = 5.0;

struct Waiting {
    number: u64,
    ticket: Ticket,
    identity: Rc<str>,
    /// The request's own time is shorter than what the directory is given.
    own_time: bool,
}

/// A search under way, with what its entries have said.
struct Search {
    identity: Rc<str>,
    tenants: Vec<Rc<str>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Binding,
    Bound,
}

/// The directory as this worker sees it.
pub struct Directory {
    settings: DirectorySettings,
    poll: Poll,
    link: Option<Link>,
    number: u64,
    stage: Stage,
    /// The link has served before: that it breaks may be the server's idle limit, so a new one is tried.
    served: bool,
    down_until: f64,
    message: i32,
    searches: HashMap<i32, Search>,
    waiting: Vec<Waiting>,
    /// By identity: the tenant, if there is one, and until when that counts.
    cache: HashMap<Rc<str>, (Option<Rc<str>>, f64)>,
    found: Vec<(Ticket, LookupResult)>,
}

impl Directory {
    pub fn new(poll: &Poll, settings: DirectorySettings) -> Directory {
        Directory {
            settings,
            poll: poll.clone(),
            link: None,
            number: 0,
            stage: Stage::Connecting,
            served: false,
            down_until: 0.0,
            message: 0,
            searches: HashMap::new(),
            waiting: Vec::new(),
            cache: HashMap::new(),
            found: Vec::new(),
        }
    }

    pub fn mark(&mut self, number: u64, readable: bool, writable: bool) {
        if let Some(link) = self.link.as_mut().filter(|_| self.number == number) {
            link.mark(readable, writable);
        }
    }

    /// Takes what has been found since the last look.
    pub fn take_found(&mut self) -> Vec<(Ticket, LookupResult)> {
        std::mem::take(&mut self.found)
    }

    /// Asks for the tenant of a portal; the word comes with [`Directory::take_found`].
    pub fn look_up(&mut self, now: f64, lookup: Lookup, wheel: &mut Wheel, log: &mut Log) {
        let identity: Rc<str> = lookup.identity.into();
        if let Some((tenant, until)) = self.cache.get(&identity) {
            if now < *until {
                let found = tenant.clone().map_or(LookupResult::Unknown, LookupResult::Tenant);
                return self.found.push((lookup.ticket, found));
            }
        }
        if now < self.down_until || self.waiting.len() >= WAITING_MOST {
            return self.found.push((lookup.ticket, LookupResult::Unavailable));
        }
        let timeout = self.settings.timeout_ms / 1000.0;
        let (number, ticket) = (self.poll.fresh(), lookup.ticket);
        wheel.set(now, timeout.min(lookup.for_s.max(0.0)), Timer::Search(number));
        let asked = self.waiting.iter().any(|w| w.identity == identity);
        let own_time = lookup.for_s < timeout;
        self.waiting.push(Waiting { number, ticket, identity: identity.clone(), own_time });
        if self.link.is_none() {
            self.connect(now, log);
        } else if !asked && self.stage == Stage::Bound {
            self.search(identity);
        }
    }

    fn connect(&mut self, now: f64, log: &mut Log) {
        self.number = self.poll.fresh();
        (self.stage, self.served) = (Stage::Connecting, false);
        match Link::connect(&self.poll, self.settings.address, Place::Directory(self.number), MESSAGE_MOST) {
            Ok(link) => self.link = Some(link),
            Err(e) => self.lose(now, &e.to_string(), log),
        }
    }

    /// The link is gone: who waits is told, unless a link that served before was merely closed.
    fn lose(&mut self, now: f64, why: &str, log: &mut Log) {
        self.link = None;
        self.searches.clear();
        if self.waiting.is_empty() {
            return;
        }
        log.line(&format!("directory: link lost: {why}"));
        if self.served {
            return self.connect(now, log);
        }
        self.down_until = now + DOWN_S;
        self.found.extend(self.waiting.drain(..).map(|w| (w.ticket, LookupResult::Unavailable)));
    }

    /// A lookup has run out of time.
    pub fn due(&mut self, now: f64, number: u64) {
        let Some(at) = self.waiting.iter().position(|w| w.number == number) else { return };
        let late = self.waiting.swap_remove(at);
        self.found.push((
            late.ticket,
            if late.own_time { LookupResult::TimedOut } else { LookupResult::Unavailable },
        ));
        if !late.own_time && self.waiting.is_empty() {
            // It takes links and says nothing: the next lookup begins afresh.
            self.link = None;
            self.searches.clear();
            self.down_until = now + DOWN_S;
        }
    }

    /// Takes what has come from the directory.
    pub fn gather(&mut self, now: f64, log: &mut Log) {
        loop {
            let Some(link) = &mut self.link else { return };
            if self.stage == Stage::Connecting {
                match link.connected() {
                    None => return,
                    Some(Err(e)) => return self.lose(now, &e.to_string(), log),
                    Some(Ok(())) => {}
                }
                self.stage = Stage::Binding;
                let cred = LdapBindCred::Simple(self.settings.bind_password.clone());
                self.send(LdapOp::BindRequest(LdapBindRequest { dn: self.settings.bind_dn.clone(), cred }));
                continue;
            }
            if let Err(e) = link.flush() {
                return self.lose(now, &e.to_string(), log);
            }
            let filled = link.fill();
            let mut bytes = BytesMut::from(link.data());
            let before = bytes.len();
            let message = LdapCodec::new(Some(MESSAGE_MOST)).decode(&mut bytes);
            link.consume(before - bytes.len());
            match message {
                Ok(Some(message)) => self.take(now, message, log),
                Ok(None) if filled != Filled::Open => return self.lose(now, "closed", log),
                Ok(None) if before >= MESSAGE_MOST => return self.lose(now, "a message has no end", log),
                Ok(None) => return,
                Err(_) => return self.lose(now, "a message can't be read", log),
            }
        }
    }

    fn take(&mut self, now: f64, message: LdapMsg, log: &mut Log) {
        match message.op {
            LdapOp::BindResponse(r) if self.stage == Stage::Binding => {
                if r.res.code != LdapResultCode::Success {
                    return self.lose(now, &format!("the bind was refused: {:?}", r.res.code), log);
                }
                self.stage = Stage::Bound;
                let mut identities: Vec<Rc<str>> = self.waiting.iter().map(|w| w.identity.clone()).collect();
                identities.sort();
                identities.dedup();
                identities.into_iter().for_each(|identity| self.search(identity));
            }
            LdapOp::SearchResultEntry(entry) => {
                let Some(search) = self.searches.get_mut(&message.msgid) else { return };
                let wanted =
                    |a: &&LdapPartialAttribute| a.atype.eq_ignore_ascii_case(&self.settings.tenant_attribute);
                let values = entry.attributes.iter().filter(wanted).flat_map(|a| &a.vals);
                search.tenants.extend(values.filter_map(|v| std::str::from_utf8(v).ok()).map(Rc::from));
            }
            LdapOp::SearchResultDone(result) => {
                let Some(search) = self.searches.remove(&message.msgid) else { return };
                let found = match (result.code, &search.tenants[..]) {
                    (LdapResultCode::Success, [tenant]) => LookupResult::Tenant(tenant.clone()),
                    // None, or more than one: it is not told whose requests these are.
                    (LdapResultCode::Success | LdapResultCode::SizeLimitExceeded, _) => LookupResult::Unknown,
                    (LdapResultCode::NoSuchObject, _) => LookupResult::Unknown,
                    (code, _) => {
                        log.line(&format!("directory: a search failed: {code:?}"));
                        LookupResult::Unavailable
                    }
                };
                self.served = true;
                self.tell(now, search.identity, found);
            }
            LdapOp::SearchResultReference(_) => {}
            _ => self.lose(now, "an unfit message", log),
        }
    }

    fn tell(&mut self, now: f64, identity: Rc<str>, found: LookupResult) {
        let (told, rest) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| w.identity == identity);
        self.waiting = rest;
        self.found.extend(Vec::into_iter(told).map(|w: Waiting| (w.ticket, found.clone())));
        let (tenant, keep_s) = match found {
            LookupResult::Tenant(tenant) => (Some(tenant), self.settings.cache_s),
            LookupResult::Unknown => (None, self.settings.cache_s.min(UNKNOWN_KEEP_S)),
            _ => return,
        };
        // Bounded: what is over goes first, then what would be over soonest.
        if self.cache.len() >= self.settings.cache_entries {
            self.cache.retain(|_, (_, until)| now < *until);
        }
        if self.cache.len() >= self.settings.cache_entries {
            let soonest = self.cache.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(i, _)| i.clone());
            soonest.and_then(|identity| self.cache.remove(&identity));
        }
        if self.settings.cache_entries > 0 {
            self.cache.insert(identity, (tenant, now + keep_s));
        }
    }

    fn search(&mut self, identity: Rc<str>) {
        let request = LdapSearchRequest {
            base: self.settings.base.clone(),
            scope: LdapSearchScope::Subtree,
            aliases: LdapDerefAliases::Never,
            sizelimit: 2,
            timelimit: (self.settings.timeout_ms / 1000.0).ceil() as i32,
            typesonly: false,
            // The value goes as bytes of its own, so that nothing in it is read as a filter.
            filter: LdapFilter::Equality(self.settings.identity_attribute.clone(), identity.to_string()),
            attrs: vec![self.settings.tenant_attribute.clone()],
        };
        let id = self.send(LdapOp::SearchRequest(request));
        self.searches.insert(id, Search { identity, tenants: Vec::new() });
    }

    fn send(&mut self, op: LdapOp) -> i32 {
        self.message = self.message % i32::MAX + 1;
        let message = LdapMsg { msgid: self.message, op, ctrl: Vec::new() };
        let mut bytes = BytesMut::new();
        // What can't be encoded is not sent, and its lookup runs out of time.
        if LdapCodec::new(Some(MESSAGE_MOST)).encode(message, &mut bytes).is_ok() {
            if let Some(link) = &mut self.link {
                link.push(bytes.to_vec());
            }
        }
        self.message
    }

    /// Writes what a lookup of this turn has queued.
    pub fn flush(&mut self, now: f64, log: &mut Log) {
        if let Some(Err(e)) = self.link.as_mut().filter(|_| self.stage != Stage::Connecting).map(Link::flush)
        {
            self.lose(now, &e.to_string(), log);
        }
    }
}
