//! Plays an experiment on loopback: a real worker, and the models behind real sockets.

use crate::experiment::{Experiment, Variant};
use crate::measure::Play;
use std::path::Path;

pub fn play(_: &Experiment, _: &Variant, _: u64, _: &Path) -> Result<Play, String> {
    Err("not yet".to_owned())
}
