//! Fleets of real processes under a fault, most with three coordinators and six workers. Tests end with a check of the log of
//! the resource that the tasks call, whose times are of one clock.

mod common;
mod coordinators;
mod leases;
mod log_lines;
mod overload;
