//! Experiments with fleets: coordinators and workers under injected faults, in virtual time and as real processes.

pub mod compatibility;
pub mod measure;
pub mod overhead;
pub mod overload_storm;
pub mod process_campaign;
pub mod relay;
pub mod rig;
pub mod routers;
pub mod service;
pub mod session_load;
pub mod task_log;
pub mod virtual_fleet;
