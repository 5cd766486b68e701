//! One stream: a request that is received, then a response that is sent.

use super::request::{read_head, repeats_content_length, unpacked_bytes, BodyError, IncomingRequest};
use super::response::{response_head, OutgoingBody, SendProgress, SharedBytes};
use super::{PollInput, PollOutput};
use crate::dispatch::{Request, Response, Ticket};
use crate::net::frontends::request_fields::{FieldError, RequestFields};
use crate::net::frontends::status_mapping::{map_response, HttpError, StatusMapping, Target};
use crate::net::FrontendContext;
use bytes::Buf;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use std::rc::Rc;
use std::task::{Context, Poll};

/// How long a request's body may take to arrive (seconds).
const MAX_REQUEST_S: f64 = 2.0;
/// How long the client's windows may take to let a response through (seconds).
const MAX_RESPONSE_S: f64 = 10.0;

enum StreamStage {
    /// The head has been read, and the body is still to come.
    ReceivingBody(IncomingRequest),
    /// A response is pending at the dispatcher.
    AwaitingResponse,
    /// The response waits for the client's windows.
    Sending(OutgoingBody),
    /// All has been handed to the codec.
    Complete,
}

/// How far a stream has come in one poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Nothing happened.
    None,
    /// Its request became complete, or a part of its response was sent.
    Advanced,
    /// It is to be removed.
    Ended,
}

/// One stream of a session.
pub(super) struct Stream {
    responder: SendResponse<SharedBytes>,
    stage: StreamStage,
    /// When it was opened; from the response on, when that was given.
    since: f64,
    /// Size of the fields and body that its request has brought (bytes).
    request_bytes: usize,
}

impl Stream {
    /// Reads the head of a new stream's request, and answers what needs no dispatcher.
    pub(super) fn open(
        request: http::Request<RecvStream>,
        responder: SendResponse<SharedBytes>,
        now: f64,
        context: &FrontendContext,
    ) -> Stream {
        let (head, receive) = request.into_parts();
        let mut stream =
            Stream { responder, stage: StreamStage::AwaitingResponse, since: now, request_bytes: 0 };
        if repeats_content_length(&head) {
            stream.responder.send_reset(Reason::PROTOCOL_ERROR);
            stream.stage = StreamStage::Complete;
            return stream;
        }
        match read_head(&head, context) {
            Ok((target, fields)) => {
                stream.request_bytes = unpacked_bytes(&head);
                stream.begin(target, fields, receive, context);
            }
            Err(fail) => stream.fail(fail, context),
        }
        stream
    }

    fn begin(
        &mut self,
        target: Target,
        fields: RequestFields,
        receive: RecvStream,
        context: &FrontendContext,
    ) {
        match target {
            Target::HealthCheck if context.availability.is_ready() => self.send_text(200, "good\n", context),
            Target::HealthCheck => self.send_text(503, "bad\n", context),
            Target::Run(class) => {
                let fields = Box::new(fields);
                let body = Vec::new();
                self.stage = StreamStage::ReceivingBody(IncomingRequest { fields, class, body, receive });
            }
        }
    }

    /// Whether its response is pending at the dispatcher.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(self.stage, StreamStage::AwaitingResponse)
    }

    /// Size of the fields and body that its request has brought (bytes).
    pub(super) fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// The part of its response that waits for the client's windows (bytes).
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
        // The client has reset it; the run may go on, but nobody waits for this response.
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

    /// Whether the stream is complete, or too slow and therefore reset. This bounds how long responses wait for windows
    /// that never open.
    fn has_ended(&mut self, now: f64) -> bool {
        let elapsed_s = now - self.since;
        match &mut self.stage {
            StreamStage::ReceivingBody(_) if elapsed_s > MAX_REQUEST_S => {
                self.responder.send_reset(Reason::CANCEL);
                true
            }
            StreamStage::Sending(body) if elapsed_s > MAX_RESPONSE_S => {
                body.stream.send_reset(Reason::CANCEL);
                true
            }
            StreamStage::Complete => true,
            _ => false,
        }
    }

    /// Receives the body; the request once it is complete.
    fn receive(&mut self, cx: &mut Context, ticket: Ticket, input: &PollInput) -> Option<Request> {
        let StreamStage::ReceivingBody(incoming) = &mut self.stage else { return None };
        match incoming.poll_body(cx, &mut self.request_bytes) {
            Poll::Pending => None,
            Poll::Ready(Ok(())) => self.complete_request(ticket, input),
            Poll::Ready(Err(BodyError::TooLong)) => {
                self.fail(HttpError::new(413, "the body is too long"), input.context);
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
        match fields.request(ticket, incoming.class, None, &body, &input.context.catalog, input.clock) {
            Ok(request) => {
                self.stage = StreamStage::AwaitingResponse;
                Some(request)
            }
            Err(FieldError::UnknownTenant) => {
                self.fail(HttpError::new(403, "unknown tenant"), input.context);
                None
            }
            Err(FieldError::Field(name)) => {
                self.fail(HttpError::new(400, name), input.context);
                None
            }
        }
    }

    /// Sends what the client's windows allow; `true` if something was sent.
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

    /// Begins to send a response of the dispatcher, if one is still awaited.
    pub(super) fn respond(&mut self, now: f64, response: Response, context: &FrontendContext) {
        if self.awaits_response() {
            self.since = now;
            self.start_response(map_response(response), "", context);
        }
    }

    fn fail(&mut self, fail: HttpError, context: &FrontendContext) {
        let body = format!("{}\n", fail.message).into_bytes();
        let mapping =
            StatusMapping { code: fail.code, body: Some(body.into()), pushback_ms: None, stop_trying: false };
        self.start_response(mapping, fail.allow, context);
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
            // Without a body there is nothing more to send; a stream that has been reset meanwhile is complete as well.
            _ => StreamStage::Complete,
        };
    }
}
