//! Fleets: coordinators and workers with faults between them, in virtual time and as real processes.

pub mod virtual_fleet;
