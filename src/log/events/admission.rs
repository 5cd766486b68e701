//! Events of the admission controller.

use crate::interface::{AdmissionEvent, HealthState, PoolLimitChange, UnhealthyCause};
use crate::log::LogEvent;
use tracing::{info, warn};

impl LogEvent for AdmissionEvent {
    fn emit(&self) {
        match self {
            AdmissionEvent::HealthChanged(state) => emit_health(*state),
            AdmissionEvent::PoolLimitChanged(change) => emit_pool_limit(change),
            AdmissionEvent::PoolRequestsRejected { pool, rejected, queued, queue_capacity } => {
                warn!(name: "pool_requests_rejected", pool = %pool, rejected, queued, queue_capacity);
            }
        }
    }
}

fn emit_health(state: HealthState) {
    match state {
        HealthState::Healthy => info!(name: "health_changed", healthy = true),
        HealthState::Unhealthy(cause) => {
            let cause = match cause {
                UnhealthyCause::FailingRuns => "failing_runs",
                UnhealthyCause::StalledRuns => "stalled_runs",
                UnhealthyCause::ReadLag => "read_lag",
            };
            warn!(name: "health_changed", healthy = false, cause);
        }
    }
}

fn emit_pool_limit(change: &PoolLimitChange) {
    info!(
        name: "pool_limit_changed",
        limit = change.limit,
        previous = change.previous,
        cause = change.cause.as_str(),
        capacity = %format_args!("{:.2}", change.capacity),
        rate_per_s = %format_args!("{:.1}", change.rate_per_s),
        run_ms = %format_args!("{:.0}", change.run_s * 1000.0),
        baseline_run_ms = %format_args!("{:.0}", change.baseline_run_s * 1000.0),
        on_cores = %format_args!("{:.2}", change.on_cores),
    );
}
