//! Tests of the pools: properties over random sequences of events, the division of slots, the limit, and reporting.
//! Seeds are fixed.

mod division;
mod harness;
mod limit;
mod properties;
mod report;
