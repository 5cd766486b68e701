//! Experiments with a port worker, which produce the project's measurements.
//!
//! [`experiment`] reads an experiment file. [`executor`] and [`records`] model the services behind a worker and
//! [`callers`] its clients, all without I/O and with the time as a parameter. [`virtual_time`] runs the models around
//! the worker's dispatcher, [`loopback`] around a real worker process; there, [`floods`] adds clients that attack the
//! worker, and [`console`] calls to its console. [`measure`] aggregates the results into tables. [`limits`] compares
//! algorithms for the run limit, and [`fleet`] has the experiments with several workers and their coordinators.

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
