//! The AJP front: old portal stacks speak AJP/1.3 to it, and it asks the same core as the platform's front.

use crate::config::{AjpSettings, Identity};
use crate::dispatch::{Input, Response, Ticket};
use crate::interface::Idempotency;
use crate::net::frontends::connections::{
    Connection, ConnectionState, Connections, NextStep, MAX_STEPS_PER_TURN,
};
use crate::net::frontends::request_fields::{FieldError, RequestFields, MAX_BODY_BYTES};
use crate::net::io::buffer::Filled;
use crate::net::io::poll::{Place, Poll};
use crate::net::upstreams::ajp_codec::{
    self, Forward, ToContainer, Way, BODY_CHUNK_MOST, PACKET_MOST, REPLY_CHUNK_MOST,
};
use crate::net::{Clock, ListenError, Log, State};
use std::net::TcpListener;
use std::rc::Rc;

/// A request of which the head has come.
struct Pending {
    class: usize,
    tenant: Option<usize>,
    /// Whom the directory is to be asked for.
    identity: Option<String>,
    fields: RequestFields,
    /// The length of the body, where the head told it.
    length: Option<usize>,
    body: Vec<u8>,
}

/// What a connection remembers: the request that is coming in, or waits for the directory.
#[derive(Default)]
pub struct Memory(Option<Pending>);

/// What a turn lends the front.
pub struct Turn<'a> {
    pub clock: &'a Clock,
    pub state: &'a State,
    pub inputs: &'a mut Vec<Input>,
    pub lookups: &'a mut Vec<Lookup>,
    pub log: &'a mut Log,
}

/// A portal whose tenant the directory must tell.
#[derive(Debug, PartialEq)]
pub struct Lookup {
    pub ticket: Ticket,
    pub identity: String,
    /// How long the request can wait for it (seconds).
    pub for_s: f64,
}

/// What the directory said.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    Tenant(Rc<str>),
    Unknown,
    Down,
    OutOfTime,
}

/// The listener, its connections, and the operator's settings.
pub struct AjpFront {
    pub connections: Connections<Memory>,
    settings: AjpSettings,
    /// The directory decides on tenants, and by which identity.
    directory: Option<Identity>,
    seed: u64,
    named: u64,
}

/// An answer that the front gives by itself.
struct Reject(u16, &'static str);

impl AjpFront {
    /// A front that lets nobody in yet.
    pub fn shut(poll: &Poll, settings: AjpSettings, directory: Option<Identity>, seed: u64) -> AjpFront {
        let connections = Connections::shut(poll, Place::Ajp, 2 * PACKET_MOST);
        AjpFront { connections, settings, directory, seed, named: 0 }
    }

    /// Lets clients in, at a socket that listens already or at the address of its settings.
    pub fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError> {
        let address = self.settings.listen;
        let opened = match socket {
            Some(socket) => self.connections.open(&socket, Place::AjpListener),
            None => self.connections.listen(address, Place::AjpListener),
        };
        opened.map_err(|source| ListenError { address, source })
    }

    /// Accepts and reads; `true` if accepting had to be broken off and wants another look.
    pub fn gather(&mut self, turn: &mut Turn) -> bool {
        let paused = self.connections.accept(turn.clock.now());
        for id in self.connections.take_touched() {
            self.look(id, turn);
        }
        paused
    }

    fn look(&mut self, id: u64, turn: &mut Turn) {
        let now = turn.clock.now();
        for _ in 0..MAX_STEPS_PER_TURN {
            let Some(c) = self.connections.get_mut(id) else { return };
            match c.advance(now) {
                NextStep::Read => {}
                NextStep::Wait => return,
                NextStep::Later => break,
                NextStep::Close => return self.connections.gone(id, turn.inputs),
            }
            let filled = c.link.fill();
            if c.state == ConnectionState::Idle && !c.link.data().is_empty() {
                c.set_state(now, ConnectionState::Reading);
            }
            let range = match ajp_codec::packet(c.link.data(), Way::ToContainer) {
                Ok(Some(range)) => range,
                // A client that is gone before its last byte: the request never reaches the core.
                Ok(None) if filled != Filled::Open => return self.connections.close(id),
                Ok(None) => return,
                // After a wrong magic or length there is no telling where a message begins.
                Err(bad) => {
                    turn.log.line(&format!("ajp: closed for a bad packet: {bad:?}"));
                    c.finish(now);
                    continue;
                }
            };
            let consumed = range.end;
            if c.memory.0.is_some() {
                let chunk = c.link.data().get(range).map(ajp_codec::body);
                let Some(Ok(chunk)) = chunk else {
                    turn.log.line("ajp: closed for a bad body packet");
                    c.finish(now);
                    continue;
                };
                let (ended, room) = (chunk.is_empty(), MAX_BODY_BYTES + BODY_CHUNK_MOST);
                if let Some(p) = c.memory.0.as_mut().filter(|p| p.body.len() < room) {
                    p.body.extend_from_slice(chunk);
                }
                c.link.consume(consumed);
                self.body_came(id, ended, turn);
                continue;
            }
            let message = c.link.data().get(range).map(ajp_codec::to_container);
            let pending = match message {
                Some(Ok(ToContainer::Forward(f))) => {
                    head(&self.settings, self.directory, &f, turn.state, turn.clock.unix_ms())
                }
                Some(Ok(ToContainer::CPing)) => {
                    c.link.push(ajp_codec::write_cpong());
                    c.link.consume(consumed);
                    c.set_state(now, ConnectionState::Idle);
                    continue;
                }
                // Nobody may shut a worker down this way; a ping of the old kind wants no answer.
                Some(Ok(ToContainer::Shutdown | ToContainer::Ping)) => {
                    c.link.consume(consumed);
                    c.set_state(now, ConnectionState::Idle);
                    continue;
                }
                _ => {
                    turn.log.line("ajp: closed for a message that can't be read");
                    c.finish(now);
                    continue;
                }
            };
            c.link.consume(consumed);
            match pending {
                Ok(p) => {
                    let done = p.length == Some(0);
                    // Of a body without a length nothing comes unasked.
                    if p.length.is_none() {
                        c.link.push(ajp_codec::write_get_body(BODY_CHUNK_MOST as u16));
                    }
                    c.memory.0 = Some(p);
                    if done {
                        self.whole(id, turn);
                    }
                }
                Err(reject) => {
                    // Its body, if it has one, may be on its way: the connection can't be used again.
                    c.close = true;
                    answer(c, now, reject.0, reject.1, &[], None, turn.state);
                }
            }
        }
        self.connections.touch(id);
    }

    fn body_came(&mut self, id: u64, ended: bool, turn: &mut Turn) {
        let Some(c) = self.connections.get_mut(id) else { return };
        let Some(p) = &c.memory.0 else { return };
        let have = p.body.len();
        let reject = if have > p.length.unwrap_or(MAX_BODY_BYTES) {
            Some(Reject(413, "the body is too long"))
        } else if ended && p.length.is_some_and(|n| have < n) {
            Some(Reject(400, "the body is too short"))
        } else {
            None
        };
        if let Some(reject) = reject {
            c.memory.0 = None;
            c.close = true;
            return answer(c, turn.clock.now(), reject.0, reject.1, &[], None, turn.state);
        }
        match p.length {
            Some(n) if have == n => self.whole(id, turn),
            None if ended => self.whole(id, turn),
            length => {
                let wanted = length.map_or(BODY_CHUNK_MOST, |n| (n - have).min(BODY_CHUNK_MOST));
                c.link.push(ajp_codec::write_get_body(wanted as u16));
            }
        }
    }

    /// The last byte is here: the directory is asked first where it must be, else the core.
    fn whole(&mut self, id: u64, turn: &mut Turn) {
        let Some(c) = self.connections.get_mut(id) else { return };
        let Some(p) = &mut c.memory.0 else { return };
        if p.fields.id.is_none() {
            self.named += 1;
            p.fields.id = Some(name(self.seed, self.named).into());
        }
        let identity = p.identity.take();
        let for_s = p.fields.time_left(p.class, &turn.state.known, turn.clock);
        c.set_state(turn.clock.now(), ConnectionState::Asked);
        if let Some(identity) = identity {
            turn.lookups.push(Lookup { ticket: Ticket(id), identity, for_s });
            return;
        }
        self.ask(id, turn);
    }

    fn ask(&mut self, id: u64, turn: &mut Turn) {
        let Some(c) = self.connections.get_mut(id) else { return };
        let Some(p) = c.memory.0.take() else { return };
        let request = p.fields.request(Ticket(id), p.class, p.tenant, &p.body, &turn.state.known, turn.clock);
        match request {
            Ok(request) => turn.inputs.push(Input::Arrived(request)),
            Err(fault) => {
                let Reject(code, why) = reject(fault);
                answer(c, turn.clock.now(), code, why, &[], None, turn.state);
                self.connections.touch(id);
            }
        }
    }

    /// The directory's word comes too late for whoever still waits for it: they are told to come back.
    pub fn give_up_lookups(&mut self, turn: &mut Turn) {
        for id in self.connections.ids_where(|c| c.state == ConnectionState::Asked && c.memory.0.is_some()) {
            self.found(Ticket(id), Found::Down, turn);
        }
    }

    /// Takes the directory's word on the tenant of a request.
    pub fn found(&mut self, ticket: Ticket, found: Found, turn: &mut Turn) {
        let Some(c) = self.connections.get_mut(ticket.0) else { return };
        let tenant = match &found {
            Found::Tenant(name) => turn.state.known.tenant(name),
            _ => None,
        };
        let (code, why) = match (&found, tenant, &mut c.memory.0) {
            (_, Some(tenant), Some(p)) => {
                p.tenant = Some(tenant);
                return self.ask(ticket.0, turn);
            }
            (Found::Down, ..) => (503, "the directory is down"),
            (Found::OutOfTime, ..) => (504, "the directory has not answered in time"),
            _ => (403, "unknown tenant"),
        };
        c.memory.0 = None;
        let extra = if code == 503 { vec![("Retry-After", "1".to_owned())] } else { Vec::new() };
        answer(c, turn.clock.now(), code, why, &extra, None, turn.state);
        self.connections.touch(ticket.0);
    }

    /// Writes an answer of the core.
    pub fn answer(&mut self, now: f64, ticket: Ticket, given: Response, state: &State) {
        let Some(c) = self.connections.get_mut(ticket.0).filter(|c| c.state == ConnectionState::Asked) else {
            return;
        };
        match given {
            Response::Served(result) => {
                let kind = ("Content-Type", "application/octet-stream".to_owned());
                answer(c, now, 200, "OK", &[kind], Some(result), state);
            }
            Response::Rejected { retry_after_s, stop_retrying } => {
                let mut extra = vec![("Retry-After", retry_after_s.ceil().max(1.0).to_string())];
                if retry_after_s > 0.0 {
                    extra.push(("X-Pushback-Ms", (retry_after_s * 1000.0).ceil().to_string()));
                }
                if stop_retrying {
                    extra.push(("X-Stop-Trying", "1".to_owned()));
                }
                answer(c, now, 503, "Service Unavailable", &extra, None, state);
            }
            Response::Conflict => answer(c, now, 409, "Conflict", &[], None, state),
            Response::Failed => answer(c, now, 502, "Bad Gateway", &[], None, state),
            Response::DeadlineExceeded => answer(c, now, 504, "Gateway Timeout", &[], None, state),
        }
        self.connections.touch(ticket.0);
    }
}

fn reject(fault: FieldError) -> Reject {
    match fault {
        FieldError::UnknownTenant => Reject(403, "unknown tenant"),
        FieldError::Field(name) => Reject(400, name),
    }
}

/// Queues a whole answer: its head, its body in packets, its end.
fn answer(
    c: &mut Connection<Memory>,
    now: f64,
    code: u16,
    reason: &str,
    extra: &[(&str, String)],
    body: Option<Rc<[u8]>>,
    state: &State,
) {
    c.close |= state.ends_connections();
    c.set_state(now, ConnectionState::Answering);
    let length = body.as_ref().map_or(0, |b| b.len());
    let mut headers = vec![("Content-Length", length.to_string())];
    headers.extend_from_slice(extra);
    if let Some(level) = state.level {
        headers.push(("X-Backend-Says", level.to_string()));
    }
    // These few short headers fit into a packet.
    c.link.push(ajp_codec::write_headers(code, reason, &headers).unwrap_or_default());
    if let Some(body) = body {
        for from in (0..length).step_by(REPLY_CHUNK_MOST) {
            let to = length.min(from + REPLY_CHUNK_MOST);
            c.link.push(ajp_codec::chunk_head(to - from));
            c.link.push_part(body.clone(), from..to);
            c.link.push(vec![0]);
        }
    }
    c.link.push(ajp_codec::write_end(!c.close));
}

/// Checks the head of a request, as far as it can be checked without its body.
fn head(
    settings: &AjpSettings,
    directory: Option<Identity>,
    f: &Forward,
    state: &State,
    unix_ms: f64,
) -> Result<Pending, Reject> {
    let given = f.secret.unwrap_or(b"");
    if settings.secret.as_ref().is_some_and(|s| !same(s.as_bytes(), given)) {
        return Err(Reject(403, "the secret is wrong"));
    }
    let (mut length, mut chunked) = (None, false);
    let mut fields = RequestFields::default();
    for (name, value) in &f.headers {
        if name.eq_ignore_ascii_case("content-length") {
            // Digits alone, as on the other front: a sign could be read another way elsewhere.
            let text = std::str::from_utf8(value).map_or("", str::trim);
            let digits = text.bytes().all(|b| b.is_ascii_digit());
            let number = text.parse::<usize>().ok().filter(|_| digits);
            if length.is_some() || number.is_none() {
                return Err(Reject(400, "Content-Length is ambiguous"));
            }
            length = number;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = true;
        } else {
            fields.note(name, value).map_err(reject)?;
        }
    }
    if chunked && length.is_some() {
        return Err(Reject(400, "the length of the body is ambiguous"));
    }
    let path = f.uri.split(['?', ';']).next().unwrap_or("");
    let class = settings.class_of(path).and_then(|name| state.known.class(name));
    let class = class.ok_or(Reject(404, "no such class"))?;
    let safe = state.known.effect(class) == Idempotency::Idempotent;
    if !(f.method == "POST" || safe && f.method == "GET") {
        return Err(Reject(405, "the method is not taken here"));
    }
    if length.is_some_and(|n| n > MAX_BODY_BYTES) {
        return Err(Reject(413, "the body is too long"));
    }
    // Turned away before the core: without a key nothing could keep it from running twice.
    if !safe && fields.key.is_none() && state.known.effect(class) == Idempotency::Keyed {
        return Err(Reject(400, "X-Operation-Key"));
    }
    let (mut tenant, mut identity) = (None, None);
    if let Some(by) = directory {
        let asked = match by {
            Identity::RemoteUser => f.remote_user.unwrap_or(""),
            Identity::ServerName => f.server_name,
        };
        if asked.is_empty() {
            return Err(Reject(403, "unknown tenant"));
        }
        identity = Some(asked.to_owned());
    } else if !settings.tenants.is_empty() {
        let name = settings.tenant_of(f.remote_user, f.server_name);
        tenant = Some(name.and_then(|n| state.known.tenant(n)).ok_or(Reject(403, "unknown tenant"))?);
    }
    fields.set_default_arrival(unix_ms);
    let length = if chunked { None } else { Some(length.unwrap_or(0)) };
    Ok(Pending { class, tenant, identity, fields, length, body: Vec::new() })
}

/// Compares without telling by its time where two secrets differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |n, (x, y)| n | (x ^ y)) == 0
}

/// A name for a request that came without one: 16 hex digits, never the same twice in one life.
fn name(seed: u64, number: u64) -> String {
    let mut z = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    format!("{:016x}", z ^ (z >> 31))
}
