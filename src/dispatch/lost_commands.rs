//! Resends commands that may have been lost with the connection to a backend.

use super::effects::Effects;
use super::in_flight::{InFlight, LastCommand, RunState, SentCommand};
use super::Dispatcher;
use crate::interface::RequestId;
use std::ops::Range;

impl Dispatcher {
    /// Resends each command that was issued within `lost` (event loop's clock, seconds) and has not been confirmed
    /// since.
    ///
    /// Otherwise, runs whose commands were lost would occupy their run slots until their deadlines. Resending is safe:
    /// backends ignore a second start of a run that is in progress or has ended, and a skip identifies its call by
    /// sequence number. A reply does not identify its call: a run that has received it and has reached its next call
    /// would take the resent one for the reply to that call. Therefore the call is skipped instead if the class allows
    /// that; otherwise nothing is sent, and a run that has not received its reply is ended at its deadline.
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
            LastCommand::Resume { .. } if !class.may_skip_call() => {}
            LastCommand::Resume { sequence } | LastCommand::SkipCall { sequence } => {
                effects.commands.push(in_flight.skip_command(sequence, effects.now));
            }
        }
    }
}
