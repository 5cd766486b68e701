//! How deep the fleet sheds: tiers in their order, and of the tier at the edge a share. The same for all, so that a low request
//! is not served at one worker at the price of a high one at another.
//!
//! Owed to callers: no lower tier is let in by the level where a higher one is refused by it; it deepens within a second of
//! a lasting shortage, and opens step by step, so that load that swings round the threshold changes it at most once a
//! swing; every change has a cause.

use super::view::Sums;
use super::MAX_TIERS;
use serde::{Deserialize, Serialize};

/// What the level lets in, against what the cores can do: a little more, since each worker's own module refuses what it can't
/// end in time, and what the level refuses too much is lost.
const USED: f64 = 1.05;
/// A shortage, and room, have to last so long before they count (seconds).
const SHORT_S: f64 = 0.4;
const ROOM_S: f64 = 4.0;
/// Steps in a tier: a share moves by one of these, or the level would change with each report.
const STEPS: f64 = 4.0;
/// Time between two steps on the way back (seconds).
const OPEN_S: f64 = 0.5;
/// A shortage counts only where the workers themselves turn away so large a share of what comes: what they hold for their
/// capacity is a guess until then, as after a start.
const REFUSED_LEAST: f64 = 0.01;
/// Further tries count as demand up to this share of the first ones: what the budget lets in. All of them would make each
/// refusal a reason for the next.
const FURTHER_MOST: f64 = 0.1;
/// Too few workers in a view say nothing of a fleet.
const OF_LEAST: usize = 2;

/// Tiers before `tier` are let in, of `tier` a share, and none after it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct SheddingLevel {
    #[serde(rename = "t")]
    pub tier: usize,
    #[serde(rename = "s")]
    pub share: f32,
}

impl Default for SheddingLevel {
    fn default() -> SheddingLevel {
        SheddingLevel { tier: MAX_TIERS, share: 0.0 }
    }
}

impl SheddingLevel {
    /// All tiers are let in.
    pub fn is_open(&self) -> bool {
        self.tier >= MAX_TIERS
    }

    /// Whether a request of this tier with this rank in it (0 the highest, below 1) is let in.
    pub fn lets_in(&self, tier: usize, rank: f64) -> bool {
        let tier = tier.min(MAX_TIERS - 1);
        tier < self.tier || tier == self.tier && rank < f64::from(self.share)
    }

    /// How much it lets in, as one number that grows with it.
    fn depth(&self) -> f64 {
        self.tier as f64 + f64::from(self.share)
    }

    fn at(depth: f64) -> SheddingLevel {
        let tier = depth.max(0.0).floor();
        if tier >= MAX_TIERS as f64 {
            return SheddingLevel::default();
        }
        SheddingLevel { tier: tier as usize, share: (depth.max(0.0) - tier) as f32 }
    }
}

/// A change, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub level: SheddingLevel,
    pub cause: String,
}

#[derive(Clone, Debug)]
pub struct SheddingController {
    level: SheddingLevel,
    /// Since when the sums want another level in this direction: deeper, or open.
    short_since: Option<f64>,
    room_since: Option<f64>,
    moved: f64,
    /// An operator's word, and until when it counts.
    pinned: Option<(SheddingLevel, f64)>,
}

impl SheddingController {
    pub fn new(now: f64) -> SheddingController {
        let level = SheddingLevel::default();
        SheddingController { level, short_since: None, room_since: None, moved: now, pinned: None }
    }

    pub fn level(&self, now: f64) -> SheddingLevel {
        self.pinned.filter(|(_, until)| now < *until).map_or(self.level, |(level, _)| level)
    }

    /// An operator sets the level until then.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.pinned = Some((level, until));
    }

    /// The level that these sums ask for.
    fn wanted(sums: &Sums) -> SheddingLevel {
        let mut room = sums.capacity * USED;
        // Further tries come in the shares in which first ones do.
        let first: f64 = sums.arrivals.iter().sum();
        let times = if first > 0.0 { 1.0 + (sums.further / first).min(FURTHER_MOST) } else { 1.0 };
        for (tier, arrivals) in sums.arrivals.iter().enumerate() {
            let asked = arrivals * times;
            if asked > room {
                let steps = (room.max(0.0) / asked * STEPS).ceil();
                return SheddingLevel { tier, share: (steps / STEPS) as f32 };
            }
            room -= asked;
        }
        SheddingLevel::default()
    }

    /// Looks at the sums anew; what has changed, and why.
    pub fn look(&mut self, now: f64, sums: &Sums) -> Option<Change> {
        if sums.of < OF_LEAST {
            // Nothing is known: the level opens as if there were room.
            (self.short_since, self.room_since) = (None, Some(self.room_since.unwrap_or(now)));
        } else {
            let (wanted, depth) = (SheddingController::wanted(sums).depth(), self.level.depth());
            let since = |was: Option<f64>, so: bool| so.then(|| was.unwrap_or(now));
            let turned_away = sums.refused >= REFUSED_LEAST * sums.arrivals.iter().sum::<f64>();
            let short = wanted < depth - 1e-9 && (turned_away || !self.level.is_open());
            self.short_since = since(self.short_since, short);
            self.room_since = since(self.room_since, wanted > depth + 1e-9);
        }
        let asked: f64 = sums.arrivals.iter().sum::<f64>() + sums.further;
        if self.short_since.is_some_and(|at| now - at >= SHORT_S) {
            // The first step may be far; after it the sums of a deeper level have to come in.
            self.short_since = None;
            let cause =
                format!("{asked:.0} a second are asked of {:.0} that the cores can do", sums.capacity);
            return self.change(now, SheddingController::wanted(sums), cause);
        }
        let open = self.room_since.is_some_and(|at| now - at >= ROOM_S) && now - self.moved >= OPEN_S;
        if open && !self.level.is_open() {
            let mut next = SheddingLevel::at((self.level.depth() * STEPS + 1.0).round() / STEPS);
            // Tiers in which nothing comes are no steps.
            while !next.is_open() && next.share == 0.0 && sums.arrivals[next.tier] == 0.0 {
                next = SheddingLevel::at((next.tier + 1) as f64);
            }
            let cause = match sums.of < OF_LEAST {
                true => "too few workers report".to_owned(),
                false => format!("{asked:.0} a second are asked of {:.0}, for {ROOM_S:.0} s", sums.capacity),
            };
            return self.change(now, next, cause);
        }
        None
    }

    fn change(&mut self, now: f64, level: SheddingLevel, cause: String) -> Option<Change> {
        if level == self.level {
            return None;
        }
        (self.level, self.moved) = (level, now);
        Some(Change { level, cause })
    }
}

#[cfg(test)]
mod tests;
