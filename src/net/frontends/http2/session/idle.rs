//! Handling of sessions without streams: keep-alive by PING, and graceful shutdown of idle ones.

use super::{Codec, Session};
use crate::config::Http2Settings;
use h2::{Ping, PingPong};
use std::task::{Context, Poll};

/// Timeout for a client to answer a PING (seconds).
const PONG_TIMEOUT_S: f64 = 5.0;
/// Timeout for an idle client to close the connection after a GOAWAY (seconds).
const CLOSE_TIMEOUT_S: f64 = 2.0;

/// What to do with an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleOutcome {
    /// Keep it open.
    Keep,
    /// Close it: the client has not answered a PING, or not closed after a GOAWAY.
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

/// The state of PINGs to an idle client, and of the GOAWAY that ends its connection.
#[derive(Default)]
pub(super) struct KeepAlive {
    /// Absent until the handshake is complete.
    ping_pong: Option<PingPong>,
    /// When the outstanding PING was sent (seconds); `None` if none is outstanding.
    ping_sent_at: Option<f64>,
    /// When the last PING was answered (seconds).
    pong_received_at: f64,
    /// When a GOAWAY was sent because the client was idle (seconds).
    goaway_sent_at: Option<f64>,
}

impl KeepAlive {
    /// Starts keep-alive; called when the handshake is complete.
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
            Poll::Pending => IdleOutcome::close_if(now - sent_at > PONG_TIMEOUT_S),
        }
    }
}

impl Session {
    /// Checks a client that has had no stream since `idle_since`. It is sent a PING at intervals, and a GOAWAY once the
    /// idle timeout has passed, or immediately with `close_now`. The connection is to be closed if the client doesn't
    /// answer a PING in time, or doesn't close the connection in time after the GOAWAY.
    pub fn poll_idle(
        &mut self,
        now: f64,
        idle_since: f64,
        settings: &Http2Settings,
        close_now: bool,
    ) -> IdleOutcome {
        if let Some(sent_at) = self.keep_alive.goaway_sent_at {
            return IdleOutcome::close_if(now - sent_at > CLOSE_TIMEOUT_S);
        }
        if close_now || now - idle_since >= settings.idle_s {
            self.keep_alive.goaway_sent_at = Some(now);
            // Before the handshake is complete, no GOAWAY can be sent, and a call of `shut_down_gracefully` would keep a
            // later shutdown from sending one.
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
