//! Replies to downstream calls that may have been lost with a link, and when each is to be sent again.

use crate::interface::RequestId;

/// A reply that may not have reached its run.
struct UnconfirmedReply {
    id: RequestId,
    /// When it is to be sent again (loop's clock, seconds).
    resend_at: f64,
}

/// The unconfirmed replies of a dispatcher, in the order in which they were added.
#[derive(Default)]
pub(super) struct UnconfirmedReplies(Vec<UnconfirmedReply>);

impl UnconfirmedReplies {
    /// Adds the last reply to the run of a request, to be sent again at `resend_at` (loop's clock, seconds).
    pub(super) fn push(&mut self, id: RequestId, resend_at: f64) {
        self.0.push(UnconfirmedReply { id, resend_at });
    }

    /// Removes the replies that are to be sent again by now, and returns their requests.
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
