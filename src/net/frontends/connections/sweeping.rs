//! Connection timeouts, and closing connections at shutdown.

use super::{Connection, ConnectionState, Connections};

/// Timeout for receiving a complete request; for a connection's first request it runs from the accept. With the grace
/// below and the time until the next sweep, the close of a peer that is silent or sends only part of a request begins
/// within 3 s (seconds).
const REQUEST_TIMEOUT_S: f64 = 2.0;

/// How long a peer that is still sending may exceed the request timeout: guards against one that postpones the close
/// by always having another byte under way (seconds).
const REQUEST_TIMEOUT_GRACE_S: f64 = 0.25;

/// Timeout for a peer to read a response (seconds).
const RESPONSE_TIMEOUT_S: f64 = 10.0;

/// An idle connection frees its buffers after this time (seconds).
const SHRINK_AFTER_S: f64 = 1.0;

/// Capacity that the connection table keeps, as a multiple of its length.
const SPARE_CAPACITY_FACTOR: usize = 4;

impl<P: Default> Connections<P> {
    /// Closes connections that have been idle for `idle_s` and those whose peer sends or reads too slowly; with
    /// `closing`, all idle ones. A connection with new input is processed instead: see [`Connections::has_pending`].
    pub fn sweep(&mut self, now: f64, idle_s: f64, closing: bool) {
        let scheduled = &mut self.scheduled;
        self.by_id.retain(|id, connection| {
            let in_state_s = now - connection.state_since;
            let first_request = connection.requests_read == 0;
            // The timeout of a connection's first request starts at its accept, that of later ones at their first byte.
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
                // The peer doesn't read, so it would not notice a half-close.
                ConnectionState::Responding => return in_state_s < RESPONSE_TIMEOUT_S,
                ConnectionState::Closing => return connection.keep_lingering(now),
            };
            let past_grace = request_age_s >= REQUEST_TIMEOUT_S + REQUEST_TIMEOUT_GRACE_S;
            if expired && connection.state == ConnectionState::Reading && past_grace {
                connection.finish(now);
                scheduled.push(*id);
            } else if expired {
                begin_close(*id, connection, now, scheduled);
            }
            true
        });
        self.by_id.shrink_to(SPARE_CAPACITY_FACTOR * self.by_id.len());
    }

    /// Closes all idle connections before the process exits; with `include_partial`, also those that have sent part of
    /// a request.
    pub fn close_idle(&mut self, now: f64, include_partial: bool) {
        for (id, connection) in &mut self.by_id {
            let is_idle = connection.state == ConnectionState::Idle;
            if is_idle || include_partial && connection.state == ConnectionState::Reading {
                begin_close(*id, connection, now, &mut self.scheduled);
            }
        }
    }

    /// Discards unread input, as the last step before the process exits: with unread bytes, the exit would send resets.
    pub fn drop_unread(&mut self) {
        let own = self.by_id.values_mut().filter(|connection| connection.state != ConnectionState::HandedOff);
        own.for_each(Connection::drop_unread);
    }
}

/// Begins a lingering close unless new input has come. In that case the frontend processes the input, and the next sweep
/// decides again. The input is bounded by the buffer, so a peer can't postpone the close for long.
fn begin_close<P>(id: u64, connection: &mut Connection<P>, now: f64, scheduled: &mut Vec<u64>) {
    if !connection.check_for_input() {
        connection.finish(now);
    }
    scheduled.push(id);
}
