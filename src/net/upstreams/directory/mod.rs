//! Client for the tenant directory, an LDAP server that maps a portal's identity to a tenant's name.
//!
//! All searches share one connection, which is bound once. Results are cached for a limited time and a limited number
//! of identities.

#![warn(missing_docs)]

mod error;
mod lookup;

pub use error::LinkError;
pub use lookup::{Lookup, LookupResult};

use crate::config::DirectorySettings;
use crate::dispatch::Ticket;
use crate::log::LogEvent;
use crate::net::events::UpstreamEvent;
use crate::net::io::buffer::{Link, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::io::source::{Readiness, Source};
use crate::net::io::timer_wheel::{Timer, Wheel};
use bytes::BytesMut;
use ldap3_proto::proto::{
    LdapBindCred, LdapBindRequest, LdapDerefAliases, LdapFilter, LdapMsg, LdapOp, LdapPartialAttribute,
    LdapResultCode, LdapSearchRequest, LdapSearchResultEntry, LdapSearchScope,
};
use ldap3_proto::LdapCodec;
use std::collections::HashMap;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a message, in either direction (bytes).
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Maximum number of waiting lookups; further ones fail with [`LookupResult::Unavailable`].
const MAX_WAITING_LOOKUPS: usize = 1024;

/// For this long after the link has failed, lookups of identities that are not cached fail without a connection attempt
/// (seconds).
const RECONNECT_DELAY_S: f64 = 0.2;

/// Maximum time for which an unknown identity is cached (seconds); short, since it may be added at any time.
const MAX_UNKNOWN_CACHE_S: f64 = 5.0;

/// Size limit of a search: a second entry suffices to detect an ambiguous identity.
const MAX_ENTRIES: i32 = 2;

/// A lookup waiting for the directory's response.
struct WaitingLookup {
    timer_number: u64,
    ticket: Ticket,
    identity: Rc<str>,
    /// Whether the request's own time limit is shorter than the directory timeout.
    limited_by_request: bool,
}

/// A search in flight, with the tenants of the entries received so far.
struct Search {
    identity: Rc<str>,
    tenants: Vec<Rc<str>>,
}

/// A cached result.
struct CacheEntry {
    /// `None` if the directory has no unique tenant for the identity.
    tenant: Option<Rc<str>>,
    /// When it expires (event loop's clock, seconds).
    expires_at: f64,
}

/// State of the link.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Connecting,
    Binding,
    Bound,
}

/// Whether [`Directory::step`] can be called again or must wait for the socket.
enum Progress {
    Continue,
    Wait,
}

/// Client for the directory, with its link, waiting lookups and cache.
pub struct Directory {
    settings: DirectorySettings,
    poll: Poll,
    link: Option<Link>,
    link_id: u64,
    link_state: LinkState,
    /// Whether a search has completed on this link. If such a link is lost, the server may just have closed it for
    /// idleness, so a reconnect is tried.
    link_has_served: bool,
    /// Until when lookups of identities that are not cached fail without a connection attempt (event loop's clock,
    /// seconds).
    unavailable_until: f64,
    last_message_id: i32,
    /// Searches in flight, by message id.
    searches: HashMap<i32, Search>,
    waiting: Vec<WaitingLookup>,
    /// Results by identity.
    cache: HashMap<Rc<str>, CacheEntry>,
    results: Vec<(Ticket, LookupResult)>,
}

impl Directory {
    /// Creates a client that is not connected yet; the first lookup connects.
    #[must_use]
    pub fn new(poll: &Poll, settings: DirectorySettings) -> Directory {
        Directory {
            settings,
            poll: poll.clone(),
            link: None,
            link_id: 0,
            link_state: LinkState::Connecting,
            link_has_served: false,
            unavailable_until: 0.0,
            last_message_id: 0,
            searches: HashMap::new(),
            waiting: Vec::new(),
            cache: HashMap::new(),
            results: Vec::new(),
        }
    }

    /// Records the readiness that the event loop reported for a link.
    pub fn mark_ready(&mut self, link_id: u64, readiness: Readiness) {
        if let Some(link) = self.link.as_mut().filter(|_| self.link_id == link_id) {
            link.mark_ready(readiness);
        }
    }

    /// Returns the results that have become available since the last call.
    pub fn take_results(&mut self) -> Vec<(Ticket, LookupResult)> {
        std::mem::take(&mut self.results)
    }

    /// Starts a lookup of an identity's tenant; [`Directory::take_results`] returns the result.
    pub fn look_up(&mut self, now: f64, lookup: Lookup, wheel: &mut Wheel) {
        let identity: Rc<str> = lookup.identity.into();
        if let Some(cached) = self.cache.get(&identity).filter(|cached| now < cached.expires_at) {
            let result = cached.tenant.clone().map_or(LookupResult::Unknown, LookupResult::Tenant);
            return self.results.push((lookup.ticket, result));
        }
        if now < self.unavailable_until || self.waiting.len() >= MAX_WAITING_LOOKUPS {
            return self.results.push((lookup.ticket, LookupResult::Unavailable));
        }
        let timeout_s = self.settings.timeout_ms / 1000.0;
        let timer_number = self.poll.next_id();
        wheel.set(now, timeout_s.min(lookup.timeout_s.max(0.0)), Timer::Search(timer_number));
        let already_searched = self.waiting.iter().any(|waiting| waiting.identity == identity);
        self.waiting.push(WaitingLookup {
            timer_number,
            ticket: lookup.ticket,
            identity: identity.clone(),
            limited_by_request: lookup.timeout_s < timeout_s,
        });
        if self.link.is_none() {
            self.connect(now);
        } else if !already_searched && self.link_state == LinkState::Bound {
            self.search(identity);
        }
    }

    fn connect(&mut self, now: f64) {
        self.link_id = self.poll.next_id();
        self.link_state = LinkState::Connecting;
        self.link_has_served = false;
        let source = Source::Directory(self.link_id);
        match Link::connect(&self.poll, self.settings.address, source, MAX_MESSAGE_BYTES) {
            Ok(link) => self.link = Some(link),
            Err(error) => self.on_link_lost(now, &error.into()),
        }
    }

    /// Handles the loss of the link: reconnects if a search had completed on it, otherwise fails the waiting lookups.
    fn on_link_lost(&mut self, now: f64, error: &LinkError) {
        self.link = None;
        self.searches.clear();
        if self.waiting.is_empty() {
            return;
        }
        UpstreamEvent::DirectoryLinkLost(error).emit();
        if self.link_has_served {
            return self.connect(now);
        }
        self.unavailable_until = now + RECONNECT_DELAY_S;
        let failed = self.waiting.drain(..);
        self.results.extend(failed.map(|waiting| (waiting.ticket, LookupResult::Unavailable)));
    }

    /// Handles the expiry of a lookup's timer.
    pub fn on_timer(&mut self, now: f64, timer_number: u64) {
        let has_timer = |waiting: &WaitingLookup| waiting.timer_number == timer_number;
        let Some(index) = self.waiting.iter().position(has_timer) else { return };
        let expired = self.waiting.swap_remove(index);
        if expired.limited_by_request {
            return self.results.push((expired.ticket, LookupResult::TimedOut));
        }
        self.results.push((expired.ticket, LookupResult::Unavailable));
        if self.waiting.is_empty() {
            // The server accepts connections but does not respond: drop the link, so that a later lookup reconnects.
            self.link = None;
            self.searches.clear();
            self.unavailable_until = now + RECONNECT_DELAY_S;
        }
    }

    /// Processes the messages received from the directory.
    pub fn gather(&mut self, now: f64) {
        loop {
            match self.step(now) {
                Ok(Progress::Continue) => {}
                Ok(Progress::Wait) => return,
                Err(error) => return self.on_link_lost(now, &error),
            }
        }
    }

    /// Sends the bind request once connected, or processes one message.
    fn step(&mut self, now: f64) -> Result<Progress, LinkError> {
        let Some(link) = &mut self.link else { return Ok(Progress::Wait) };
        if self.link_state == LinkState::Connecting {
            match link.connected() {
                None => return Ok(Progress::Wait),
                Some(connected) => connected?,
            }
            self.bind();
            return Ok(Progress::Continue);
        }
        link.flush()?;
        let read_status = link.fill();
        let mut bytes = BytesMut::from(link.data());
        let unread_bytes = bytes.len();
        let message = LdapCodec::new(Some(MAX_MESSAGE_BYTES)).decode(&mut bytes);
        link.consume(unread_bytes - bytes.len());
        match message {
            Ok(Some(message)) => {
                if let Err(error) = self.on_message(now, message) {
                    // If this has started a new link, that link is processed in the same turn.
                    self.on_link_lost(now, &error);
                }
                Ok(Progress::Continue)
            }
            Ok(None) if read_status != ReadStatus::Open => Err(LinkError::Closed),
            Ok(None) if unread_bytes >= MAX_MESSAGE_BYTES => Err(LinkError::MessageTooLong),
            Ok(None) => Ok(Progress::Wait),
            Err(_) => Err(LinkError::MalformedMessage),
        }
    }

    fn bind(&mut self) {
        self.link_state = LinkState::Binding;
        let dn = self.settings.bind_dn.clone();
        let cred = LdapBindCred::Simple(self.settings.bind_password.clone());
        self.send(LdapOp::BindRequest(LdapBindRequest { dn, cred }));
    }

    fn on_message(&mut self, now: f64, message: LdapMsg) -> Result<(), LinkError> {
        match message.op {
            LdapOp::BindResponse(response) if self.link_state == LinkState::Binding => {
                if response.res.code != LdapResultCode::Success {
                    return Err(LinkError::BindRejected(response.res.code));
                }
                self.link_state = LinkState::Bound;
                self.search_waiting();
            }
            LdapOp::SearchResultEntry(entry) => self.on_entry(message.msgid, &entry),
            LdapOp::SearchResultDone(result) => self.on_search_done(now, message.msgid, result.code),
            LdapOp::SearchResultReference(_) => {}
            _ => return Err(LinkError::UnexpectedMessage),
        }
        Ok(())
    }

    /// Starts one search for each identity that lookups wait for.
    fn search_waiting(&mut self) {
        let mut identities: Vec<Rc<str>> =
            self.waiting.iter().map(|waiting| waiting.identity.clone()).collect();
        identities.sort();
        identities.dedup();
        for identity in identities {
            self.search(identity);
        }
    }

    /// Adds the tenants of an entry to its search.
    fn on_entry(&mut self, message_id: i32, entry: &LdapSearchResultEntry) {
        let Some(search) = self.searches.get_mut(&message_id) else { return };
        let wanted_name = &self.settings.tenant_attribute;
        let is_wanted = |attribute: &&LdapPartialAttribute| attribute.atype.eq_ignore_ascii_case(wanted_name);
        let values = entry.attributes.iter().filter(is_wanted).flat_map(|attribute| &attribute.vals);
        let tenants = values.filter_map(|value| std::str::from_utf8(value).ok());
        search.tenants.extend(tenants.map(Rc::from));
    }

    fn on_search_done(&mut self, now: f64, message_id: i32, code: LdapResultCode) {
        let Some(search) = self.searches.remove(&message_id) else { return };
        let result = match (code, &search.tenants[..]) {
            (LdapResultCode::Success, [tenant]) => LookupResult::Tenant(tenant.clone()),
            // No tenant, or more than one, so that the identity is ambiguous.
            (
                LdapResultCode::Success | LdapResultCode::SizeLimitExceeded | LdapResultCode::NoSuchObject,
                _,
            ) => LookupResult::Unknown,
            (code, _) => {
                UpstreamEvent::DirectorySearchFailed(&code).emit();
                LookupResult::Unavailable
            }
        };
        self.link_has_served = true;
        self.complete_lookups(now, search.identity, &result);
    }

    /// Completes all lookups of an identity, and caches the result unless it is a failure.
    fn complete_lookups(&mut self, now: f64, identity: Rc<str>, result: &LookupResult) {
        let waiting = std::mem::take(&mut self.waiting);
        let (completed, still_waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|waiting| waiting.identity == identity);
        self.waiting = still_waiting;
        self.results.extend(completed.into_iter().map(|lookup| (lookup.ticket, result.clone())));
        let cache_s = self.settings.cache_s;
        match result {
            LookupResult::Tenant(tenant) => self.cache(now, identity, Some(tenant.clone()), cache_s),
            LookupResult::Unknown => self.cache(now, identity, None, cache_s.min(MAX_UNKNOWN_CACHE_S)),
            LookupResult::Unavailable | LookupResult::TimedOut => {}
        }
    }

    /// Caches a result. If the cache is full, it evicts expired entries; if there are none, the entry that expires
    /// soonest.
    fn cache(&mut self, now: f64, identity: Rc<str>, tenant: Option<Rc<str>>, cache_s: f64) {
        let max_entries = self.settings.cache_entries;
        if self.cache.len() >= max_entries {
            self.cache.retain(|_, cached| now < cached.expires_at);
        }
        if self.cache.len() >= max_entries {
            let soonest = self.cache.iter().min_by(|a, b| a.1.expires_at.total_cmp(&b.1.expires_at));
            let soonest = soonest.map(|(identity, _)| identity.clone());
            soonest.and_then(|identity| self.cache.remove(&identity));
        }
        if max_entries > 0 {
            self.cache.insert(identity, CacheEntry { tenant, expires_at: now + cache_s });
        }
    }

    fn search(&mut self, identity: Rc<str>) {
        let request = LdapSearchRequest {
            base: self.settings.base.clone(),
            scope: LdapSearchScope::Subtree,
            aliases: LdapDerefAliases::Never,
            sizelimit: MAX_ENTRIES,
            timelimit: (self.settings.timeout_ms / 1000.0).ceil() as i32,
            typesonly: false,
            // The value is encoded as a separate octet string, so that it can't inject filter syntax.
            filter: LdapFilter::Equality(self.settings.identity_attribute.clone(), identity.to_string()),
            attrs: vec![self.settings.tenant_attribute.clone()],
        };
        let message_id = self.send(LdapOp::SearchRequest(request));
        self.searches.insert(message_id, Search { identity, tenants: Vec::new() });
    }

    /// Queues a message and returns its id.
    fn send(&mut self, op: LdapOp) -> i32 {
        self.last_message_id = self.last_message_id % i32::MAX + 1;
        let message = LdapMsg { msgid: self.last_message_id, op, ctrl: Vec::new() };
        let mut bytes = BytesMut::new();
        // A message that can't be encoded is not sent, and its lookup times out.
        if LdapCodec::new(Some(MAX_MESSAGE_BYTES)).encode(message, &mut bytes).is_ok() {
            if let Some(link) = &mut self.link {
                link.push(bytes.to_vec());
            }
        }
        self.last_message_id
    }

    /// Writes queued messages.
    pub fn flush(&mut self, now: f64) {
        if self.link_state == LinkState::Connecting {
            return;
        }
        if let Some(Err(error)) = self.link.as_mut().map(Link::flush) {
            self.on_link_lost(now, &error.into());
        }
    }
}
