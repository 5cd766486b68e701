//! Fleets of real processes: three coordinators, six workers, and a fault between them. Each test ends with a review of the
//! log of the resource that the tasks call, by its one clock.

mod common;
mod coordinators;
mod leases;
mod log_lines;
mod overload;
