//! Timeouts of connections, and their end at a shutdown.

use super::{Connection, ConnectionState, Connections};

/// How long a request may take to come complete, and the first one of a connection from its accept: a peer that is
/// silent or sends half a request is closed within 3 s (seconds).
const REQUEST_TIMEOUT_S: f64 = 2.0;

/// How much longer a peer that still sends of its request may put that off: guards against one whose next byte is
/// always on its way (seconds).
const REQUEST_TIMEOUT_GRACE_S: f64 = 0.25;

/// How long a peer may take to read a response (seconds).
const RESPONSE_TIMEOUT_S: f64 = 10.0;

/// An idle connection gives its buffers back after so long (seconds).
const SHRINK_AFTER_S: f64 = 1.0;

/// Spare capacity that the table of connections keeps, as a multiple of its length.
const SPARE_CAPACITY_FACTOR: usize = 4;

impl<P: Default> Connections<P> {
    /// Ends connections that have been idle for `idle_s`, and peers that are too slow to send or to read. With
    /// `closing`, all idle ones. One with new input is processed instead: see [`Connections::has_pending`].
    pub fn sweep(&mut self, now: f64, idle_s: f64, closing: bool) {
        let touched = &mut self.touched;
        self.by_id.retain(|id, connection| {
            let in_state_s = now - connection.state_since;
            let first_request = connection.requests_read == 0;
            // The first request of a connection is due from its accept, each other one from its first byte.
            let request_age_s = if first_request { now - connection.opened_at } else { in_state_s };
            let expired = match connection.state {
                ConnectionState::Idle if first_request => closing || request_age_s >= REQUEST_TIMEOUT_S,
                ConnectionState::Idle => {
                    if in_state_s > SHRINK_AFTER_S {
                        connection.link.shrink();
                    }
                    closing || in_state_s >= idle_s
                }
                ConnectionState::Reading => request_age_s >= REQUEST_TIMEOUT_S,
                ConnectionState::AwaitingResponse | ConnectionState::HandedOff => false,
                // The peer reads nothing, so there is nothing that a half-close could bring to it.
                ConnectionState::Responding => return in_state_s < RESPONSE_TIMEOUT_S,
                ConnectionState::Closing => return connection.keep_lingering(now),
            };
            let past_grace = request_age_s >= REQUEST_TIMEOUT_S + REQUEST_TIMEOUT_GRACE_S;
            if expired && connection.state == ConnectionState::Reading && past_grace {
                connection.finish(now);
                touched.push(*id);
            } else if expired {
                end(*id, connection, now, touched);
            }
            true
        });
        self.by_id.shrink_to(SPARE_CAPACITY_FACTOR * self.by_id.len());
    }

    /// Ends all idle connections before the process ends; with `at_once` those too that have sent half a request.
    pub fn end_all(&mut self, now: f64, at_once: bool) {
        for (id, connection) in &mut self.by_id {
            let is_idle = connection.state == ConnectionState::Idle;
            if is_idle || at_once && connection.state == ConnectionState::Reading {
                end(*id, connection, now, &mut self.touched);
            }
        }
    }

    /// Discards what lies unread, the last thing before the process ends: unread bytes would make its end a reset.
    pub fn drop_unread(&mut self) {
        let own = self.by_id.values_mut().filter(|connection| connection.state != ConnectionState::HandedOff);
        own.for_each(Connection::drop_unread);
    }
}

/// Begins the lingering close, unless input has come: then the frontend processes it, and the next sweep decides
/// anew. What comes is bounded by the buffer, so that no peer can put its end off for long.
fn end<P>(id: u64, connection: &mut Connection<P>, now: f64, touched: &mut Vec<u64>) {
    if !connection.check_for_input() {
        connection.finish(now);
    }
    touched.push(id);
}
