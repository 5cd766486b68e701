//! How many further tries the fleet takes while it is short: a share of the first ones, and a burst that is saved up. Beyond
//! it they are refused first and at once, so that no storm of retries keeps a fleet down after its cause has gone.

use super::view::Sums;

/// Further tries that may be saved up, as so many seconds of the share.
const BURST_S: f64 = 2.0;

#[derive(Clone, Debug)]
pub struct Retries {
    /// Further tries for each first one.
    share: f64,
    saved: f64,
    looked: f64,
    pass: f64,
}

impl Retries {
    pub fn new(now: f64, share: f64) -> Retries {
        Retries { share: share.max(0.0), saved: 0.0, looked: now, pass: 1.0 }
    }

    /// Looks at the sums anew. A fleet that is not short of anything takes all: there a further try harms nobody.
    pub fn look(&mut self, now: f64, sums: &Sums, short: bool) {
        let dt = (now - self.looked).clamp(0.0, 5.0);
        self.looked = now;
        let earned = self.share * sums.arrivals.iter().sum::<f64>();
        let spent = sums.further * self.pass;
        self.saved = (self.saved + (earned - spent) * dt).clamp(0.0, earned * BURST_S);
        let may = earned + self.saved;
        self.pass = if short && sums.further > may { may / sums.further } else { 1.0 };
    }

    /// Which share of further tries is taken.
    pub fn pass(&self) -> f64 {
        self.pass
    }

    /// Further tries that are saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

#[cfg(test)]
mod tests;
