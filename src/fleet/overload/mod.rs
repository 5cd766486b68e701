//! Overload handled by the fleet as one. No I/O; the clock and the dice are passed in.
//!
//! Workers tell the leading coordinator what comes to them and what they can do ([`LoadReport`]); it tells each what the fleet
//! comes to ([`FleetDigest`]). All of it is soft: it has an age, and a worker whose view is too old decides as it does alone.
//!
//! | module | decides |
//! | --- | --- |
//! | [`view`] | what is believed of the fleet's sums, whoever reports nonsense |
//! | [`level`] | how deep the fleet sheds |
//! | [`calls`] | who may have how many calls at a service below: loans of what one does not need, slices of what is lent |
//! | [`service`] | whether a service is crowded or given up, in which zone, and who tries it again |
//! | [`retries`] | how many further tries the fleet takes |
//! | [`leader`] | all of these as a coordinator asks them |
//! | [`member`], [`local`] | all of these as a worker asks them: beside its session, and inside its decision module |
//!
//! Off without `[fleet.overload]` in an operator's file and `[overload]` in the coordinators': then nothing of it is made.

pub mod capacity_leases;
pub mod client;
pub mod leader;
pub mod level;
pub mod policy;
pub mod retries;
pub mod service;
pub mod view;

use serde::{Deserialize, Serialize};

/// Tiers that are told apart; what ranks lower counts as the last of them.
pub const MAX_TIERS: usize = 8;
/// How often a worker tells its load (seconds).
pub const REPORT_INTERVAL_S: f64 = 0.5;
/// A figure beyond this is no measurement (a second, or calls).
const FIGURE_MOST: f32 = 1e6;

/// What a worker tells of itself, in under 256 bytes. Rates are a second, over the time since it told the last one.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LoadReport {
    /// It grows with each.
    #[serde(rename = "n")]
    pub number: u64,
    /// The last digest that it has heard; 0 for none in this session.
    #[serde(rename = "h")]
    pub heard: u64,
    /// First tries by tier, the highest first; and further tries of all tiers.
    #[serde(rename = "a")]
    pub arrivals: Vec<f32>,
    #[serde(rename = "f")]
    pub further: f32,
    /// First tries that its own module turned away, apart from what the fleet sheds.
    #[serde(rename = "r")]
    pub refused: f32,
    /// Runs that it could end a second, as it holds itself capable.
    #[serde(rename = "c")]
    pub capacity: f32,
    /// Calls that ended well, that failed or were turned away, and the time that the former took in the mean (seconds).
    #[serde(rename = "g")]
    pub calls_good: f32,
    #[serde(rename = "b")]
    pub calls_bad: f32,
    #[serde(rename = "l")]
    pub call_s: f32,
    /// Calls in hand that it would make beyond its part, and what one is worth in the mean.
    #[serde(rename = "w")]
    pub wants: f32,
    #[serde(rename = "v")]
    pub weight: f32,
    /// It goes by a digest in which the service is given up.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub gives_up: bool,
    /// What it lends of its part: mean calls in hand that it does without for [`capacity_leases::LOAN_S`].
    #[serde(rename = "o")]
    pub lends: f32,
}

impl LoadReport {
    fn figures(&self) -> impl Iterator<Item = f32> + '_ {
        let others = [
            self.further,
            self.refused,
            self.capacity,
            self.calls_good,
            self.calls_bad,
            self.call_s,
            self.wants,
            self.weight,
            self.lends,
        ];
        self.arrivals.iter().copied().chain(others)
    }

    /// Whether it can have been measured.
    pub fn is_sound(&self) -> bool {
        self.arrivals.len() <= MAX_TIERS && self.figures().all(|f| (0.0..=FIGURE_MOST).contains(&f))
    }

    /// The same but for its numbers: what a worker says whose figures have frozen.
    fn same_as(&self, other: &LoadReport) -> bool {
        self.figures().eq(other.figures())
    }
}

/// What the fleet comes to, for one worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetDigest {
    /// It grows with each that this worker is sent.
    pub number: u64,
    /// Workers that it speaks for, and the age of the oldest report in it (milliseconds).
    pub of: usize,
    pub age_ms: u64,
    /// How deep the fleet sheds.
    pub level: level::SheddingLevel,
    /// Over how long returns are to be spread where the fleet has no room (seconds).
    pub spread_s: f32,
    /// Which share of further tries the fleet takes.
    pub pass: f32,
    /// Which share of what is survived for certain may be in hand at the service below, as this worker's zone sees it.
    pub part: f32,
    /// The service is given up in this worker's zone; and whether this worker tries it again for the zone.
    pub given_up: bool,
    pub trial: bool,
    /// Calls in hand beyond this worker's own part, for [`capacity_leases::SLICE_S`] from when it asked.
    pub slice: f32,
}

impl FleetDigest {
    /// Whether it can have been meant: a digest that is not says nothing.
    pub fn is_sound(&self) -> bool {
        let shares = [self.pass, self.part, self.level.share];
        shares.iter().all(|s| (0.0..=1.0).contains(s))
            && (0.0..=FIGURE_MOST).contains(&self.slice)
            && (0.0..=60.0).contains(&self.spread_s)
    }
}

/// A number from 0 to 1 out of a seed and a count (SplitMix64, Steele and others, 2014).
pub(crate) fn dice(seed: u64, count: u64) -> f64 {
    let mut z = seed.wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
