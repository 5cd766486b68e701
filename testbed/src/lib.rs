//! Experiments with a port worker: what the project argues with figures.
//!
//! [`experiment`] reads what is to be played; [`executor`] and [`records`] model what stands behind a worker and
//! [`callers`] what stands before it, all without I/O and with the time passed in. [`virtual_time`] plays them round
//! the worker's own core, [`loopback`] on loopback round a real worker. [`measure`] makes tables of what they saw.

pub mod callers;
pub mod console;
pub mod error;
pub mod executor;
pub mod experiment;
pub mod fleet;
pub mod floods;
pub mod limits;
pub mod loopback;
pub mod measure;
pub mod records;
pub mod sync;
pub mod virtual_time;
