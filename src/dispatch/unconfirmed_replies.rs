//! Replies to downstream calls that may have been lost with a connection, and when to resend them.

use crate::interface::RequestId;

/// A reply that its run may not have received.
struct UnconfirmedReply {
    id: RequestId,
    /// When to resend it (event loop's clock, seconds).
    resend_at: f64,
}

/// All unconfirmed replies, in insertion order.
#[derive(Default)]
pub(super) struct UnconfirmedReplies(Vec<UnconfirmedReply>);

impl UnconfirmedReplies {
    /// Schedules the last reply to the run of a request to be resent at `resend_at` (event loop's clock, seconds).
    pub(super) fn push(&mut self, id: RequestId, resend_at: f64) {
        self.0.push(UnconfirmedReply { id, resend_at });
    }

    /// Removes the replies that are due at `now` and returns the IDs of their requests.
    pub(super) fn take_due(&mut self, now: f64) -> Vec<RequestId> {
        let mut due = Vec::new();
        self.0.retain(|unconfirmed| {
            let is_due = now >= unconfirmed.resend_at;
            if is_due {
                due.push(unconfirmed.id);
            }
            !is_due
        });
        due
    }
}
