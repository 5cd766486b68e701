//! What becomes of a session without streams: keep-alive by PING, and graceful shutdown for idleness.

use super::{Codec, Session};
use crate::config::Http2Settings;
use h2::{Ping, PingPong};
use std::task::{Context, Poll};

/// How long a client may take to answer a PING (seconds).
const MAX_PONG_S: f64 = 5.0;
/// How long a client may take to close the connection after a GOAWAY for idleness (seconds).
const MAX_CLOSE_S: f64 = 2.0;

/// What is to be done with an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleOutcome {
    /// It stays open.
    Keep,
    /// Its client is silent or does not close: the connection is to be closed.
    Close,
}

impl IdleOutcome {
    fn close_if(overdue: bool) -> IdleOutcome {
        if overdue {
            IdleOutcome::Close
        } else {
            IdleOutcome::Keep
        }
    }
}

/// PINGs to an idle client, and the GOAWAY that ends its connection.
#[derive(Default)]
pub(super) struct KeepAlive {
    /// Absent until the handshake is complete.
    ping_pong: Option<PingPong>,
    /// When the PING that is in flight was sent.
    ping_sent_at: Option<f64>,
    /// When the last PING was answered.
    pong_received_at: f64,
    /// When the client was sent a GOAWAY for idleness.
    goaway_sent_at: Option<f64>,
}

impl KeepAlive {
    /// Begins once the handshake is complete.
    pub(super) fn start(&mut self, ping_pong: Option<PingPong>) {
        self.ping_pong = ping_pong;
    }

    fn poll(&mut self, cx: &mut Context, now: f64, idle_since: f64, ping_s: f64) -> IdleOutcome {
        let Some(ping_pong) = self.ping_pong.as_mut().filter(|_| ping_s > 0.0) else {
            return IdleOutcome::Keep;
        };
        let Some(sent_at) = self.ping_sent_at else {
            let is_due = now - idle_since.max(self.pong_received_at) >= ping_s;
            if is_due && ping_pong.send_ping(Ping::opaque()).is_ok() {
                self.ping_sent_at = Some(now);
            }
            return IdleOutcome::Keep;
        };
        match ping_pong.poll_pong(cx) {
            Poll::Ready(Ok(_)) => {
                self.ping_sent_at = None;
                self.pong_received_at = now;
                IdleOutcome::Keep
            }
            Poll::Ready(Err(_)) => IdleOutcome::Close,
            Poll::Pending => IdleOutcome::close_if(now - sent_at > MAX_PONG_S),
        }
    }
}

impl Session {
    /// Checks on a client that has had no stream since `idle_since`. It is sent a PING from time to time, and a GOAWAY
    /// once it has been idle for long or, with `send_away`, now. One that answers neither is to be closed.
    pub fn poll_idle(
        &mut self,
        now: f64,
        idle_since: f64,
        settings: &Http2Settings,
        send_away: bool,
    ) -> IdleOutcome {
        if let Some(sent_at) = self.keep_alive.goaway_sent_at {
            return IdleOutcome::close_if(now - sent_at > MAX_CLOSE_S);
        }
        if send_away || now - idle_since >= settings.idle_s {
            self.keep_alive.goaway_sent_at = Some(now);
            // Before the handshake is complete there is nobody to send it to, and a later shutdown still has to.
            if matches!(self.codec, Codec::Open(_)) {
                self.shut_down_gracefully();
            }
            return IdleOutcome::Keep;
        }
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        self.keep_alive.poll(&mut cx, now, idle_since, settings.ping_s)
    }
}
