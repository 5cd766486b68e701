//! Recovery of commands that may have been lost when a link to a backend broke.

use super::effects::Effects;
use super::in_flight::{InFlight, LastCommand, RunState, SentCommand};
use super::Dispatcher;
use crate::interface::RequestId;
use std::ops::Range;

/// A reply that may have been lost is sent again only after this share of a latency objective without a message about
/// its run: a run that got it would by then have ended or reached its next call, which the reply must not answer.
const RESEND_REPLY_OBJECTIVE_SHARE: f64 = 0.4;

impl Dispatcher {
    /// Repeats each command that was given within `lost` (loop's clock, seconds) and not confirmed since.
    ///
    /// Guards the run slots, which lost runs would hold. Repeating is safe: a backend ignores a second start of a run
    /// that goes on or is over, and a skip names its call by sequence number. A reply names no call: where the class
    /// allows it the call is skipped instead, and else the reply is sent again once its run must be waiting for it.
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

    /// Sends the unconfirmed replies again whose runs have been silent for long enough.
    pub(super) fn resend_unconfirmed_replies(&mut self, effects: &mut Effects<'_>) {
        for id in self.unconfirmed_replies.take_due(effects.now) {
            if let Some(waiting) = self.in_flight.get_mut(id) {
                effects.commands.extend(waiting.repeat_reply(effects.now));
            }
        }
    }
}
