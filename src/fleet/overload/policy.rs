//! What the decision module asks while the fleet handles overload as one. It counts what its worker does for the reports, and
//! holds the latest advice until that is too old; without advice every answer is the one that a worker alone gives.
//!
//! Owed to callers: it only ever adds refusals to those of the module, and none while the worker could start the request at
//! once, but for further tries beyond the budget of a fleet that is short; what it may have in hand below is never more than
//! its part, less what is lent, and its slice.

use super::client::{LoadSample, OverloadDirective};
use super::{dice, FleetDigest, MAX_TIERS};
use crate::interface::Settings;
use std::cell::Cell;

/// A worker that tries a given up service again makes one call in so long (seconds): two a second a zone.
const TRIAL_EVERY_S: f64 = 0.5;
/// Of its part a worker lends what it has not had in hand lately, less this much of it and one call.
const SPARE_MARGIN: f64 = 0.25;
/// How fast the most that was in hand is forgotten (seconds).
const PEAK_S: f64 = 3.0;
/// Returns are spread from half to one and a half of what is told, and a tier further down waits for longer by this share.
const SPREAD_TIER: f64 = 0.25;

#[derive(Clone, Debug)]
pub struct OverloadPolicy {
    seed: u64,
    drawn: Cell<u64>,
    /// What it has shed for the fleet, and answers of all requests when it was last told: served and refused.
    shed: Cell<u64>,
    answered: (u64, u64),
    now: f64,
    /// Its part of the calls below (mean number in hand); infinite where there is no service below.
    own: f64,
    advice: Option<OverloadDirective>,
    told: f64,
    arrivals: [u64; MAX_TIERS],
    further: u64,
    calls_good: u64,
    calls_bad: u64,
    call_time: f64,
    capacity: f64,
    waiting: (f64, f64),
    peak: f64,
    trial_at: f64,
}

impl OverloadPolicy {
    /// For a worker that starts now.
    pub fn new(now: f64, settings: &Settings) -> OverloadPolicy {
        let (seed, own) = (settings.seed, settings.dependency.as_ref().map_or(f64::INFINITY, |d| d.share));
        OverloadPolicy {
            seed,
            drawn: Cell::new(0),
            shed: Cell::new(0),
            answered: (0, 0),
            now,
            own,
            advice: None,
            told: now,
            arrivals: [0; MAX_TIERS],
            further: 0,
            calls_good: 0,
            calls_bad: 0,
            call_time: 0.0,
            capacity: 0.0,
            waiting: (0.0, 0.0),
            peak: own.min(1e6),
            trial_at: f64::NEG_INFINITY,
        }
    }

    fn draw(&self) -> f64 {
        self.drawn.set(self.drawn.get() + 1);
        dice(self.seed, self.drawn.get())
    }

    /// What the worker's session makes of the latest digest, on the module's clock.
    pub fn advise(&mut self, advice: OverloadDirective) {
        self.advice = Some(advice);
    }

    /// The advice, while it is fresh.
    fn fresh(&self) -> Option<&OverloadDirective> {
        self.advice.as_ref().filter(|a| self.now < a.until)
    }

    /// Time passes, and so does the bound on calls in hand. `top` and `room` are the module's: the first is set, and the
    /// second is held under it; what it has more of it takes up by its own steps.
    pub fn bound_calls(&mut self, now: f64, in_hand: usize, top: &mut f64, room: &mut f64) {
        let fade = (-(now - self.now).max(0.0) / PEAK_S).exp();
        self.peak = (self.peak * fade).max(in_hand as f64);
        self.now = self.now.max(now);
        // A part under one call is kept in the mean by the module; there is nothing of it to lend.
        if self.own < 1.0 || !self.own.is_finite() {
            return;
        }
        let Some(advice) = &self.advice else { return };
        let slice = if now < advice.slice_until { f64::from(advice.digest.slice) } else { 0.0 };
        let part = self.fresh().map_or(1.0, |a| f64::from(a.digest.part));
        let next = ((self.own - advice.lent + slice) * part).max(self.own.min(1.0));
        (*room, *top) = (room.min(next), next);
    }

    /// A first or a further try has come. Whether it is beyond what the fleet takes of further ones: it is refused at once
    /// then, and is no load that others would have to wait behind.
    pub fn arrived(&mut self, tier: usize, further: bool) -> bool {
        if !further {
            self.arrivals[tier.min(MAX_TIERS - 1)] += 1;
            return false;
        }
        self.further += 1;
        let over = self.fresh().is_some_and(|a| self.draw() >= f64::from(a.digest.pass));
        self.shed.set(self.shed.get() + u64::from(over));
        over
    }

    /// Whether the fleet sheds it. `free` says that it could start at once.
    pub fn sheds(&self, tier: usize, free: bool) -> bool {
        let Some(OverloadDirective { digest, .. }) = self.fresh() else { return false };
        let sheds = !free && !digest.level.lets_in(tier, self.draw());
        self.shed.set(self.shed.get() + u64::from(sheds));
        sheds
    }

    /// Whether the fleet has no room elsewhere, if that is known: it sheds, has given the service below up, or holds back
    /// further tries.
    pub fn fleet_full(&self) -> Option<bool> {
        let full = |d: &FleetDigest| !d.level.is_open() || d.given_up || d.pass < 1.0;
        self.fresh().filter(|a| a.digest.of > 1).map(|a| full(&a.digest))
    }

    /// How long a refused request of this tier stays away, where alone it would be told `away_s`: shortly where another
    /// worker has room, else spread over what the fleet can take, the lower tiers later.
    pub fn stay_away_s(&self, tier: usize, away_s: f64) -> f64 {
        let Some(OverloadDirective { digest, .. }) = self.fresh() else { return away_s };
        if digest.level.is_open() && !digest.given_up && digest.pass >= 1.0 {
            return away_s;
        }
        let below = tier.saturating_sub(digest.level.tier.min(tier)) as f64;
        let spread = f64::from(digest.spread_s) * (1.0 + SPREAD_TIER * below);
        away_s.max(spread * (0.5 + self.draw()))
    }

    /// Whether calls are not made at all here: the service is given up, and what stands at a call does not wait.
    pub fn gives_up_call(&self, safe: bool) -> bool {
        self.fresh().is_some_and(|a| a.digest.given_up && !(a.digest.trial && safe))
    }

    /// Whether a call may be made now.
    pub fn may_call(&self, safe: bool) -> bool {
        let trial_due = self.now - self.trial_at >= TRIAL_EVERY_S;
        !self.gives_up_call(safe) && (trial_due || !self.fresh().is_some_and(|a| a.digest.given_up))
    }

    /// A call has been made.
    pub fn called(&mut self) {
        self.trial_at = self.now;
    }

    /// A call has ended, after so long.
    pub fn call_ended(&mut self, good: bool, took_s: f64) {
        match good {
            true => {
                (self.calls_good, self.call_time) = (self.calls_good + 1, self.call_time + took_s.max(0.0))
            }
            false => self.calls_bad += 1,
        }
    }

    /// What the worker could end a second, and what waits for a call: by tier, how many, and what one is worth.
    pub fn stands<'a>(&mut self, capacity: f64, waiting: impl Iterator<Item = (usize, &'a f64)>) {
        let add =
            |(all, weight): (f64, f64), (n, one): (usize, &f64)| (all + n as f64, weight + n as f64 * one);
        let waiting = waiting.fold((0.0, 0.0), add);
        (self.capacity, self.waiting) = (capacity, waiting);
    }

    /// What is to be reported; it is counted anew from now on. `served` and `refused` are all answers so far.
    pub fn numbers(&mut self, now: f64, served: u64, refused: u64) -> LoadSample {
        let ended = served.saturating_sub(self.answered.0);
        let own = refused.saturating_sub(self.answered.1).saturating_sub(self.shed.take());
        self.answered = (served, refused);
        let per_s = 1.0 / (now - self.told).max(0.05);
        let tiers = self.arrivals.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1);
        let (waiting, weight) = self.waiting;
        let spare = self.own - self.peak - (self.own * SPARE_MARGIN).max(1.0);
        let numbers = LoadSample {
            arrivals: self.arrivals[..tiers].iter().map(|n| *n as f64 * per_s).collect(),
            further: self.further as f64 * per_s,
            refused: own as f64 * per_s,
            // What it has just done it can do, whatever it took itself for.
            capacity: self.capacity.max(ended as f64 * per_s),
            calls_good: self.calls_good as f64 * per_s,
            calls_bad: self.calls_bad as f64 * per_s,
            call_s: self.call_time / (self.calls_good.max(1)) as f64,
            wants: if self.own.is_finite() { waiting } else { 0.0 },
            weight: weight / waiting.max(1.0),
            spare: if spare.is_finite() && self.own >= 1.0 && waiting == 0.0 { spare.max(0.0) } else { 0.0 },
        };
        (self.told, self.arrivals, self.further) = (now, [0; MAX_TIERS], 0);
        (self.calls_good, self.calls_bad, self.call_time) = (0, 0, 0.0);
        numbers
    }

    /// What operators read: names and values.
    pub fn figures(&self) -> Vec<(&'static str, String)> {
        let Some(OverloadDirective { digest, lent, .. }) = &self.advice else { return Vec::new() };
        let level = digest.level;
        let depth =
            if level.is_open() { "open".to_owned() } else { format!("{}+{:.2}", level.tier, level.share) };
        vec![
            ("fresh", u64::from(self.fresh().is_some()).to_string()),
            ("level", depth),
            ("of_workers", digest.of.to_string()),
            ("view_age_ms", digest.age_ms.to_string()),
            ("retries_pass", format!("{:.2}", digest.pass)),
            ("calls_part", format!("{:.2}", digest.part)),
            ("given_up", u64::from(digest.given_up).to_string()),
            ("trial", u64::from(digest.trial).to_string()),
            ("calls_lent", format!("{lent:.2}")),
            ("calls_slice", format!("{:.2}", digest.slice)),
        ]
    }
}

#[cfg(test)]
mod tests;
