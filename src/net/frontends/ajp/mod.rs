//! The AJP/1.3 frontend, for older portals. Its requests go to the same dispatcher as HTTP requests.

#![warn(missing_docs)]

mod head;
mod response;

use crate::config::{AjpSettings, Identity};
use crate::dispatch::{Input, Request, Response, TenantError, Ticket};
use crate::log::LogEvent;
use crate::net::events::FrontendEvent;
use crate::net::frontends::connections::{
    max_steps_per_connection, Connection, ConnectionSet, ConnectionState, Connections, NextStep,
};
use crate::net::frontends::frontend::{Frontend, FrontendTurn};
use crate::net::frontends::request_fields::{Catalog, TenantSource, MAX_BODY_BYTES};
use crate::net::io::buffer::ReadStatus;
use crate::net::io::poll::Poll;
use crate::net::io::source::FrontendKind;
use crate::net::upstreams::ajp_codec::{
    self, Direction, ToContainer, MAX_BODY_CHUNK_BYTES, MAX_PACKET_BYTES,
};
use crate::net::upstreams::directory::{Lookup, LookupResult};
use crate::net::{FrontendContext, ListenError};
use head::{check_head, PendingRequest, Rejection};
use response::write_response;
use std::net::TcpListener;
use std::ops::Range;
use std::rc::Rc;

/// The state of a connection: the request that is being received, or that waits for the directory.
#[derive(Default)]
pub struct ProtocolState(Option<PendingRequest>);

/// The listener, its connections, and the operator's settings.
pub struct AjpFrontend {
    /// The connections.
    pub connections: Connections<ProtocolState>,
    settings: AjpSettings,
    /// The kind of identity by which the directory finds the tenant; `None` without a directory.
    identity_source: Option<Identity>,
    /// The seed for generated request ids; it differs between processes.
    id_seed: u64,
    /// The number of request ids generated so far.
    generated_ids: u64,
}

impl AjpFrontend {
    /// A frontend that doesn't listen yet. `id_seed` must differ between processes that run at the same time.
    #[must_use]
    pub fn new(
        poll: &Poll,
        settings: AjpSettings,
        identity_source: Option<Identity>,
        id_seed: u64,
    ) -> AjpFrontend {
        let connections = Connections::new(poll, FrontendKind::Ajp, 2 * MAX_PACKET_BYTES);
        AjpFrontend { connections, settings, identity_source, id_seed, generated_ids: 0 }
    }

    fn process_connection(&mut self, id: u64, max_steps: usize, turn: &mut FrontendTurn<'_>) {
        let now = turn.clock.now();
        for _ in 0..max_steps {
            let Some(connection) = self.connections.get_mut(id) else { return };
            match connection.advance(now) {
                NextStep::Read => {}
                NextStep::Wait => return,
                NextStep::Yield => break,
                NextStep::Delay => return self.connections.delay(id),
                NextStep::Close => return self.connections.close_and_notify(id, turn.inputs),
            }
            let read_status = connection.link.fill();
            if connection.state == ConnectionState::Idle && !connection.link.data().is_empty() {
                connection.set_state(now, ConnectionState::Reading);
            }
            match ajp_codec::find_packet(connection.link.data(), Direction::ToContainer) {
                Ok(Some(payload)) if connection.protocol_state.0.is_some() => {
                    self.on_body_packet(now, id, payload, turn);
                }
                Ok(Some(payload)) => self.on_message(now, id, payload, turn),
                // The client has closed before the request was complete: the request never reaches the dispatcher.
                Ok(None) if read_status != ReadStatus::Open => return self.connections.close(id),
                Ok(None) => return,
                // After a wrong magic number or length, the start of the next message can't be found.
                Err(error) => {
                    FrontendEvent::AjpPacketMalformed(&error).emit();
                    connection.finish(now);
                }
            }
        }
        self.connections.schedule(id);
    }

    /// Processes a packet that carries part of a request's body.
    fn on_body_packet(&mut self, now: f64, id: u64, payload: Range<usize>, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let packet_end = payload.end;
        let chunk = connection.link.data().get(payload).map(ajp_codec::parse_body);
        let Some(Ok(chunk)) = chunk else {
            FrontendEvent::AjpBodyMalformed.emit();
            connection.finish(now);
            return;
        };
        let body_ended = chunk.is_empty();
        // Beyond the limit the request is rejected anyway; this bounds the memory it occupies.
        let has_room =
            |pending: &&mut PendingRequest| pending.body.len() < MAX_BODY_BYTES + MAX_BODY_CHUNK_BYTES;
        if let Some(pending) = connection.protocol_state.0.as_mut().filter(has_room) {
            pending.body.extend_from_slice(chunk);
        }
        connection.link.consume(packet_end);
        self.on_body_chunk(id, body_ended, turn);
    }

    /// Processes a packet that starts a request, or another message from a web server.
    fn on_message(&mut self, now: f64, id: u64, payload: Range<usize>, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let packet_end = payload.end;
        let message = connection.link.data().get(payload).map(ajp_codec::parse_to_container);
        let checked = match message {
            Some(Ok(ToContainer::Forward(forward))) => {
                check_head(&self.settings, self.identity_source, &forward, turn.context, turn.clock.unix_ms())
            }
            Some(Ok(ToContainer::CPing)) => {
                connection.link.push(ajp_codec::write_cpong());
                connection.link.consume(packet_end);
                return connection.set_state(now, ConnectionState::Idle);
            }
            // A worker can't be shut down over AJP, and the old kind of ping expects no response: both are ignored.
            Some(Ok(ToContainer::Shutdown | ToContainer::Ping)) => {
                connection.link.consume(packet_end);
                return connection.set_state(now, ConnectionState::Idle);
            }
            Some(Err(_)) | None => {
                FrontendEvent::AjpMessageMalformed.emit();
                return connection.finish(now);
            }
        };
        connection.link.consume(packet_end);
        match checked {
            Ok(pending) => self.begin_request(id, pending, turn),
            Err(rejection) => {
                // The request's body may still be on its way, so the connection can't be reused.
                connection.close_after_response = true;
                write_response(connection, now, rejection.into(), turn.context);
            }
        }
    }

    /// Waits for the request's body, or completes the request immediately if it has none.
    fn begin_request(&mut self, id: u64, pending: PendingRequest, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let content_length = pending.content_length;
        // A web server sends a body of unstated length only on request.
        if content_length.is_none() {
            connection.link.push(ajp_codec::write_get_body(MAX_BODY_CHUNK_BYTES as u16));
        }
        connection.protocol_state.0 = Some(pending);
        if content_length == Some(0) {
            self.on_complete(id, turn);
        }
    }

    /// Rejects a body of the wrong length, completes the request, or asks for more of the body.
    fn on_body_chunk(&mut self, id: u64, body_ended: bool, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(pending) = &connection.protocol_state.0 else { return };
        let received = pending.body.len();
        let content_length = pending.content_length;
        let rejection = if received > content_length.unwrap_or(MAX_BODY_BYTES) {
            Some(Rejection::new(413, "the body is too long"))
        } else if body_ended && content_length.is_some_and(|length| received < length) {
            Some(Rejection::new(400, "the body is too short"))
        } else {
            None
        };
        if let Some(rejection) = rejection {
            connection.protocol_state.0 = None;
            connection.close_after_response = true;
            return write_response(connection, turn.clock.now(), rejection.into(), turn.context);
        }
        match content_length {
            Some(length) if received == length => self.on_complete(id, turn),
            None if body_ended => self.on_complete(id, turn),
            _ => {
                let missing = content_length.map_or(MAX_BODY_CHUNK_BYTES, |length| length - received);
                let wanted = missing.min(MAX_BODY_CHUNK_BYTES);
                connection.link.push(ajp_codec::write_get_body(wanted as u16));
            }
        }
    }

    /// Sends a complete request to the directory if its tenant has to be looked up, otherwise to the dispatcher.
    fn on_complete(&mut self, id: u64, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(pending) = &mut connection.protocol_state.0 else { return };
        if pending.fields.correlation_id.is_none() {
            self.generated_ids += 1;
            pending.fields.correlation_id = Some(generated_id(self.id_seed, self.generated_ids).into());
        }
        let identity = pending.identity.take();
        let timeout_s = pending.fields.time_left(pending.class, &turn.context.catalog, turn.clock);
        connection.set_state(turn.clock.now(), ConnectionState::AwaitingResponse);
        match identity {
            Some(identity) => turn.lookups.push(Lookup { ticket: Ticket(id), identity, timeout_s }),
            None => self.dispatch(id, None, turn),
        }
    }

    /// Passes the pending request to the dispatcher, with the reason why its tenant is missing, if it is.
    fn dispatch(&mut self, id: u64, tenant_error: Option<TenantError>, turn: &mut FrontendTurn<'_>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(pending) = connection.protocol_state.0.take() else { return };
        let PendingRequest { class, tenant, principal, fields, body, .. } = pending;
        let request =
            match fields.request(Ticket(id), class, tenant, &body, &turn.context.catalog, turn.clock) {
                Ok(request) => Request { principal, ..request },
                Err(error) => {
                    let rejection = Rejection::from(error);
                    write_response(connection, turn.clock.now(), rejection.into(), turn.context);
                    return self.connections.schedule(id);
                }
            };
        turn.inputs.push(match tenant_error {
            None => Input::Arrived(request),
            Some(error) => Input::ArrivedWithoutTenant { request, error },
        });
    }
}

impl Frontend for AjpFrontend {
    fn kind(&self) -> FrontendKind {
        FrontendKind::Ajp
    }

    fn connections(&self) -> &dyn ConnectionSet {
        &self.connections
    }

    fn connections_mut(&mut self) -> &mut dyn ConnectionSet {
        &mut self.connections
    }

    fn open(&mut self, socket: Option<Rc<TcpListener>>) -> Result<(), ListenError> {
        self.connections.open(socket, self.settings.listen)
    }

    fn gather(&mut self, turn: &mut FrontendTurn<'_>) -> bool {
        let accept_again = self.connections.accept(turn.clock.now());
        let scheduled = self.connections.take_scheduled();
        let max_steps = max_steps_per_connection(scheduled.len());
        for id in scheduled {
            self.process_connection(id, max_steps, turn);
        }
        accept_again || self.connections.has_delayed()
    }

    fn owns(&self, ticket: Ticket) -> bool {
        self.connections.owns(ticket.0)
    }

    /// Passes requests that wait for the directory, whose results would come too late, to the dispatcher.
    fn respond_all(&mut self, turn: &mut FrontendTurn<'_>) {
        let waits_for_directory = |connection: &Connection<ProtocolState>| {
            connection.state == ConnectionState::AwaitingResponse && connection.protocol_state.0.is_some()
        };
        for id in self.connections.ids_where(waits_for_directory) {
            self.complete_lookup(Ticket(id), LookupResult::Unavailable, turn);
        }
    }

    /// Passes the request to the dispatcher even if it has no tenant: it may be a retry of an order that has run.
    fn complete_lookup(&mut self, ticket: Ticket, result: LookupResult, turn: &mut FrontendTurn<'_>) {
        let tenant = tenant_found(&result, &turn.context.catalog);
        let connection = self.connections.get_mut(ticket.0);
        // The request may already have been answered because the process is about to exit.
        let Some(pending) = connection.and_then(|c| c.protocol_state.0.as_mut()) else { return };
        if let Ok(tenant) = tenant {
            pending.tenant = TenantSource::Frontend(tenant);
        }
        self.dispatch(ticket.0, tenant.err(), turn);
    }

    fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        let Some(connection) = self.connections.get_mut(ticket.0) else { return };
        if connection.state != ConnectionState::AwaitingResponse {
            return;
        }
        write_response(connection, now, response.into(), context);
        self.connections.schedule(ticket.0);
    }
}

/// The index of the tenant that a lookup has found.
fn tenant_found(result: &LookupResult, catalog: &Catalog) -> Result<usize, TenantError> {
    match result {
        LookupResult::Tenant(name) => catalog.tenant(name).ok_or(TenantError::UnknownTenant),
        LookupResult::Unknown => Err(TenantError::UnknownTenant),
        LookupResult::Unavailable => Err(TenantError::DirectoryUnavailable),
        LookupResult::TimedOut => Err(TenantError::TimedOut),
    }
}

/// Generates an id for a request that came without one: 16 hex digits, unique within a process. The mixing function
/// is that of `SplitMix64`.
fn generated_id(seed: u64, number: u64) -> String {
    let mut z = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    format!("{:016x}", z ^ (z >> 31))
}
