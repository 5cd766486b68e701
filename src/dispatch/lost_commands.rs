//! What is sent again after a link to a backend broke, since it may have been lost with it.

use super::dispatcher::Effects;
use super::in_flight::{InFlight, LastCommand, SentCommand};
use super::Dispatcher;
use crate::interface::RequestId;
use std::ops::Range;

/// A reply that may have been lost is sent again only after this share of a latency objective without a message about
/// its run: a run that got it would by then have ended or reached its next call, which the reply must not answer.
const RESEND_REPLY_OBJECTIVE_SHARE: f64 = 0.4;

/// A reply that may have been lost.
pub(super) struct UnconfirmedReply {
    /// When it is to be sent again (loop's clock, seconds).
    resend_at: f64,
    id: RequestId,
}

impl Dispatcher {
    /// Finds out what still runs after a link broke: each command that may have been lost is given again. Guards the run
    /// slots, which lost runs would hold. A run that goes on takes no harm from a second command to start, one that is
    /// over does not start anew, and a second skip names the call that it is for. A reply names none: the call is
    /// skipped where that is allowed, and else the reply is sent again when its run must be waiting at that call.
    pub(super) fn resend_lost_commands(&mut self, lost: Range<f64>, effects: &mut Effects<'_>) {
        let may_be_lost = |r: &InFlight| r.last_command.as_ref().is_some_and(|sent| lost.contains(&sent.at));
        for id in self.in_flight.ids_where(|_, r| may_be_lost(r)) {
            self.resend_last_command(id, effects);
        }
    }

    fn resend_last_command(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let Some(sent) = &in_flight.last_command else { return };
        let class = &self.classes[in_flight.request.class];
        match sent.command {
            LastCommand::Run => {
                in_flight.run_repeated = true;
                in_flight.last_command = Some(SentCommand { at: effects.now, command: LastCommand::Run });
                effects.commands.push(in_flight.run_command());
            }
            LastCommand::Resume { sequence, .. } if class.skipped_call_weight > 0.0 => {
                effects.commands.push(in_flight.skip_command(sequence, effects.now));
            }
            LastCommand::SkipCall { sequence } => {
                effects.commands.push(in_flight.skip_command(sequence, effects.now));
            }
            LastCommand::Resume { .. } => {
                let resend_at = effects.now + class.objective_s * RESEND_REPLY_OBJECTIVE_SHARE;
                self.unconfirmed_replies.push(UnconfirmedReply { resend_at, id });
            }
        }
    }

    /// Sends the replies again whose runs have been silent for long enough.
    pub(super) fn resend_unconfirmed_replies(&mut self, effects: &mut Effects<'_>) {
        let now = effects.now;
        let in_flight = &mut self.in_flight;
        self.unconfirmed_replies.retain(|unconfirmed| {
            if now < unconfirmed.resend_at {
                return true;
            }
            if let Some(waiting) = in_flight.get_mut(unconfirmed.id) {
                effects.commands.extend(waiting.repeat_reply(now));
            }
            false
        });
    }
}
