//! One stream: receives a request, then sends a response.

use super::request::{read_head, repeats_content_length, uncompressed_bytes, BodyError, IncomingRequest};
use super::response::{response_head, OutgoingBody, SendProgress, SharedBytes};
use super::{PollInput, PollOutput};
use crate::dispatch::{Request, Response, Ticket};
use crate::net::frontends::request_fields::{FieldError, RequestFields, TenantSource};
use crate::net::frontends::status_mapping::{map_response, HttpError, StatusMapping, Target};
use crate::net::FrontendContext;
use bytes::Buf;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use std::rc::Rc;
use std::task::{Context, Poll};

/// Timeout for receiving a request's body (seconds).
const REQUEST_TIMEOUT_S: f64 = 2.0;
/// Timeout for sending a response through the client's flow-control windows (seconds).
const RESPONSE_TIMEOUT_S: f64 = 10.0;

/// Memory of a stream and of its request in the dispatcher, without fields and body (bytes).
const STREAM_OVERHEAD_BYTES: usize = 1536;

enum StreamStage {
    /// The head has been read; the body is incomplete.
    ReceivingBody(IncomingRequest),
    /// The dispatcher's response is pending.
    AwaitingResponse,
    /// The response is being sent, as the client's windows allow.
    Sending(OutgoingBody),
    /// Everything has been passed to the codec.
    Complete,
}

/// The progress of a stream in one poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// No progress.
    None,
    /// Its request became complete, or a part of its response was sent.
    Advanced,
    /// It has ended and is to be removed.
    Ended,
}

/// One stream of a session.
pub(super) struct Stream {
    responder: SendResponse<SharedBytes>,
    stage: StreamStage,
    /// The start of the timeout that applies: when the stream was opened, or when the dispatcher responded (seconds).
    timeout_began: f64,
    /// Size of the request's fields and body received so far (bytes).
    request_bytes: usize,
}

impl Stream {
    /// Reads the head of a new stream's request, and answers requests that don't need the dispatcher.
    pub(super) fn open(
        request: http::Request<RecvStream>,
        responder: SendResponse<SharedBytes>,
        now: f64,
        context: &FrontendContext,
    ) -> Stream {
        let (head, recv_stream) = request.into_parts();
        let mut stream =
            Stream { responder, stage: StreamStage::AwaitingResponse, timeout_began: now, request_bytes: 0 };
        if repeats_content_length(&head) {
            stream.responder.send_reset(Reason::PROTOCOL_ERROR);
            stream.stage = StreamStage::Complete;
            return stream;
        }
        match read_head(&head, context) {
            Ok((target, fields)) => {
                stream.request_bytes = uncompressed_bytes(&head);
                stream.begin(target, fields, recv_stream, context);
            }
            Err(error) => stream.send_error(error, context),
        }
        stream
    }

    fn begin(
        &mut self,
        target: Target,
        fields: RequestFields,
        recv_stream: RecvStream,
        context: &FrontendContext,
    ) {
        match target {
            Target::HealthCheck if context.availability.is_ready() => self.send_text(200, "good\n", context),
            Target::HealthCheck => self.send_text(503, "bad\n", context),
            Target::Run(class) => {
                let fields = Box::new(fields);
                let body = Vec::new();
                self.stage = StreamStage::ReceivingBody(IncomingRequest { fields, class, body, recv_stream });
            }
        }
    }

    /// Whether the dispatcher's response is pending.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(self.stage, StreamStage::AwaitingResponse)
    }

    /// Size of the request's fields and body received so far (bytes).
    pub(super) fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Memory of the stream with its request (bytes). The response is limited separately.
    pub(super) fn memory_bytes(&self) -> usize {
        STREAM_OVERHEAD_BYTES + self.request_bytes
    }

    /// Size of the response that waits for the client's windows (bytes).
    pub(super) fn pending_response_bytes(&self) -> usize {
        match &self.stage {
            StreamStage::Sending(body) => body.rest.remaining(),
            _ => 0,
        }
    }

    /// Receives and sends as far as possible.
    pub(super) fn advance(
        &mut self,
        cx: &mut Context,
        now: f64,
        ticket: Ticket,
        input: &PollInput,
        output: &mut PollOutput,
    ) -> Progress {
        // The client has reset the stream: the run may continue, but the response is no longer needed.
        if self.poll_reset(cx).is_ready() {
            if self.awaits_response() {
                output.disconnected.push(ticket);
            }
            output.reset_bytes += self.request_bytes;
            return Progress::Ended;
        }
        let bytes_before = self.request_bytes;
        let request = self.receive(cx, ticket, input);
        output.request_bytes += self.request_bytes - bytes_before;
        let received = request.is_some();
        output.requests.extend(request);
        let sent = self.send(cx);
        if self.has_ended(now) {
            Progress::Ended
        } else if received || sent {
            Progress::Advanced
        } else {
            Progress::None
        }
    }

    fn poll_reset(&mut self, cx: &mut Context) -> Poll<Result<Reason, h2::Error>> {
        match &mut self.stage {
            StreamStage::Sending(body) => body.stream.poll_reset(cx),
            StreamStage::Complete => Poll::Pending,
            _ => self.responder.poll_reset(cx),
        }
    }

    /// Whether the stream has ended, because it is complete or because a timeout has reset it. This limits how long
    /// responses wait for windows that never open.
    fn has_ended(&mut self, now: f64) -> bool {
        let elapsed_s = now - self.timeout_began;
        match &mut self.stage {
            StreamStage::ReceivingBody(_) if elapsed_s > REQUEST_TIMEOUT_S => {
                self.responder.send_reset(Reason::CANCEL);
                true
            }
            StreamStage::Sending(body) if elapsed_s > RESPONSE_TIMEOUT_S => {
                body.stream.send_reset(Reason::CANCEL);
                true
            }
            StreamStage::Complete => true,
            _ => false,
        }
    }

    /// Receives the body. Returns the request once it is complete.
    fn receive(&mut self, cx: &mut Context, ticket: Ticket, input: &PollInput) -> Option<Request> {
        let StreamStage::ReceivingBody(incoming) = &mut self.stage else { return None };
        match incoming.poll_body(cx, &mut self.request_bytes) {
            Poll::Pending => None,
            Poll::Ready(Ok(())) => self.complete_request(ticket, input),
            Poll::Ready(Err(BodyError::TooLong)) => {
                self.send_error(HttpError::new(413, "the body is too long"), input.context);
                None
            }
            Poll::Ready(Err(BodyError::Reset)) => {
                self.responder.send_reset(Reason::CANCEL);
                self.stage = StreamStage::Complete;
                None
            }
        }
    }

    fn complete_request(&mut self, ticket: Ticket, input: &PollInput) -> Option<Request> {
        let StreamStage::ReceivingBody(incoming) = &mut self.stage else { return None };
        let fields = std::mem::take(&mut incoming.fields);
        let body = std::mem::take(&mut incoming.body);
        let catalog = &input.context.catalog;
        match fields.request(ticket, incoming.class, TenantSource::Header, &body, catalog, input.clock) {
            Ok(request) => {
                self.stage = StreamStage::AwaitingResponse;
                Some(request)
            }
            Err(FieldError::UnknownTenant) => {
                self.send_error(HttpError::new(403, "unknown tenant"), input.context);
                None
            }
            Err(FieldError::Field(name)) => {
                self.send_error(HttpError::new(400, name), input.context);
                None
            }
        }
    }

    /// Sends as much as the client's windows allow. Returns `true` if anything was sent.
    fn send(&mut self, cx: &mut Context) -> bool {
        let StreamStage::Sending(body) = &mut self.stage else { return false };
        match body.poll_send(cx) {
            SendProgress::Blocked => false,
            SendProgress::Partial => true,
            SendProgress::Complete => {
                self.stage = StreamStage::Complete;
                true
            }
        }
    }

    /// Starts to send a response from the dispatcher, if one is still awaited.
    pub(super) fn respond(&mut self, now: f64, response: Response, context: &FrontendContext) {
        if self.awaits_response() {
            self.timeout_began = now;
            self.start_response(map_response(response), "", context);
        }
    }

    fn send_error(&mut self, error: HttpError, context: &FrontendContext) {
        let body = format!("{}\n", error.message).into_bytes();
        let mapping = StatusMapping {
            code: error.code,
            body: Some(body.into()),
            pushback_ms: None,
            stop_trying: false,
        };
        self.start_response(mapping, error.allow, context);
    }

    fn send_text(&mut self, code: u16, text: &str, context: &FrontendContext) {
        let body = Some(Rc::from(text.as_bytes()));
        self.start_response(StatusMapping { code, body, pushback_ms: None, stop_trying: false }, "", context);
    }

    fn start_response(&mut self, mapping: StatusMapping, allow: &str, context: &FrontendContext) {
        let Ok(head) = response_head(&mapping, allow, context) else { return };
        let body = mapping.body.filter(|body| !body.is_empty());
        self.stage = match (self.responder.send_response(head, body.is_none()), body) {
            (Ok(stream), Some(body)) => {
                StreamStage::Sending(OutgoingBody { stream, rest: SharedBytes::new(body) })
            }
            // Without a body nothing is left to send; a stream that has been reset in the meantime is complete, too.
            _ => StreamStage::Complete,
        };
    }
}
