//! Numbers of requests by stage: queued, on the cores or at a downstream call.

use std::ops::AddAssign;

/// The stage at which class pools count a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolStage {
    /// Waiting for a run slot.
    Queued,
    /// Running on the cores. Occupies a run slot.
    OnCores,
    /// Started, and waiting for or making a downstream call. Occupies no slot, but will return to the cores.
    AtCall,
}

/// Request counts of a class, of a pool, or of all pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) queued: usize,
    pub(super) on_cores: usize,
    pub(super) at_call: usize,
}

impl Counts {
    /// Number of runs that have started and not ended.
    pub(super) fn runs_in_progress(&self) -> usize {
        self.on_cores + self.at_call
    }

    /// Counts one request that moved on; `None` stands for a stage that is not counted.
    pub(super) fn record_transition(&mut self, from: Option<PoolStage>, to: Option<PoolStage>) {
        if let Some(stage) = from {
            let count = self.count_mut(stage);
            *count = count.saturating_sub(1);
        }
        if let Some(stage) = to {
            *self.count_mut(stage) += 1;
        }
    }

    fn count_mut(&mut self, stage: PoolStage) -> &mut usize {
        match stage {
            PoolStage::Queued => &mut self.queued,
            PoolStage::OnCores => &mut self.on_cores,
            PoolStage::AtCall => &mut self.at_call,
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.queued += other.queued;
        self.on_cores += other.on_cores;
        self.at_call += other.at_call;
    }
}
