//! Fleets of real processes under a fault, most with three coordinators and six workers. Most tests end with a check of the
//! log of the resource that the tasks call; all times in that log are from one clock.

mod common;
mod coordinators;
mod leases;
mod log_lines;
mod overload;
