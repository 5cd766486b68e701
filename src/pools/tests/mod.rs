//! Tests of the pools: properties over random courses of events, the division of slots, the limit and its reports.
//! Seeds are fixed.

mod division;
mod harness;
mod limit;
mod properties;
mod report;
