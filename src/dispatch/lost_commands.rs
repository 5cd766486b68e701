//! Resends commands that may have been lost with the connection to a backend.

use super::effects::Effects;
use super::in_flight::{InFlight, LastCommand, RunState, SentCommand};
use super::Dispatcher;
use crate::interface::RequestId;
use std::ops::Range;

/// A reply that may have been lost is resent after this share of the class's latency objective, unless a message about
/// its run arrives first. A run that received the reply would have ended or reached its next call by then, and the
/// resent reply must not be taken for the reply to that next call.
const RESEND_REPLY_OBJECTIVE_SHARE: f64 = 0.4;

impl Dispatcher {
    /// Resends each command that was issued within `lost` (event loop's clock, seconds) and has not been confirmed
    /// since.
    ///
    /// Otherwise, runs whose commands were lost would occupy their run slots until long after their deadlines. Resending
    /// is safe: backends ignore a second start of a run that is in progress or has ended, and a skip identifies its call
    /// by sequence number. A reply does not identify its call. Therefore the call is skipped instead if the class allows
    /// that; otherwise the reply is resent after [`RESEND_REPLY_OBJECTIVE_SHARE`] of the latency objective.
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
                in_flight.run = RunState::StartedAgain;
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
                self.unconfirmed_replies.push(id, resend_at);
            }
        }
    }

    /// Resends the unconfirmed replies that are due.
    pub(super) fn resend_unconfirmed_replies(&mut self, effects: &mut Effects<'_>) {
        for id in self.unconfirmed_replies.take_due(effects.now) {
            if let Some(waiting) = self.in_flight.get_mut(id) {
                effects.commands.extend(waiting.resend_reply(effects.now));
            }
        }
    }
}
