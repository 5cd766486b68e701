//! Admission control: which requests are admitted, when they run, and which are rejected.

pub mod controller;
mod run_length;

pub use controller::Controller;
