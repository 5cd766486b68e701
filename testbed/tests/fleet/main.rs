//! Stories of real processes: three coordinators, six workers, and a fault between them. The judge is the log of the
//! stand-in that tasks act upon, by its one clock.

mod common;
mod log_lines;
mod overload;
mod stories;
