//! What set the limit where it stands.

/// The reason for the present limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing is known yet.
    Start,
    /// The measured rate.
    Rate,
    /// The lower bound of the operator's file.
    MinSlots,
    /// The upper bound of the operator's file.
    MaxSlots,
    /// The runs that the executor survives for certain.
    SurvivableRuns,
    /// Runs take longer than their number explains.
    Slow,
    /// Runs are as long as their baseline again; the limit doubles its way back.
    Recovery,
    /// Few runs for a window, to measure the baseline of their lengths.
    Calibration,
    /// New bounds.
    Reload,
}

impl Cause {
    /// The word in the log and in the status.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Start => "start",
            Cause::Rate => "rate",
            Cause::MinSlots => "least_slots",
            Cause::MaxSlots => "most_slots",
            Cause::SurvivableRuns => "crowd",
            Cause::Slow => "slow",
            Cause::Recovery => "recovery",
            Cause::Calibration => "rest",
            Cause::Reload => "reload",
        }
    }
}
