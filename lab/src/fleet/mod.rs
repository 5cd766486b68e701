//! Fleets: coordinators and workers with faults between them, in virtual time and as real processes.

pub mod acts;
pub mod crowd;
pub mod harm;
pub mod measure;
pub mod process_campaign;
pub mod relay;
pub mod rig;
pub mod routers;
pub mod service;
pub mod storm;
pub mod virtual_fleet;
