//! How many runs at once the executor is worth: a limit that follows measured throughput.
//!
//! Little's law in slots: over a look, `N` runs stood on the cores in the mean, and those that ended took
//! `stretch` times their usual length; so the cores did the work of `N / stretch` slots at full speed. That rate,
//! smoothed, is the capacity; the limit is the capacity and a little more, so that a rise can show (TCP Vegas'
//! alpha; Brakmo and Peterson 1995). The usual length of a class is measured only while no more runs than the
//! least limit stand on the cores, or by runs that are shorter still. A windowed least over noisy lengths would
//! drift down and take every crowd for a gain (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than the crowd explains mean that the executor has slowed: the limit drops to its least
//! at once, what was learnt of the capacity is kept, and the limit doubles its way back when runs are usual again.

/// Slots above the measured capacity, as a part of it and at least, in which a rise can show.
const HEADROOM: f64 = 0.2;
const HEADROOM_LEAST: f64 = 1.25;
/// The capacity follows a higher rate by this share a look, a lower one by a look's part of the window.
const RISE: f64 = 0.3;
/// A usual length follows shorter runs by this share a look, longer ones by a look's part of the window.
const SHORTER: f64 = 0.3;
/// A look ends without enough samples after so many times its length.
const LOOK_MOST: f64 = 4.0;
/// The limit counts as met in a look when it was so for this share of it.
const BOUND_SHARE: f64 = 0.5;
/// A slowed executor is taken for the new usual after so many windows.
const SLOW_WINDOWS: f64 = 2.0;
/// Ends of a class before its own usual length counts.
const CLASS_LEAST: f64 = 4.0;

/// Bounds and pace of the estimate; see [`crate::interface::PoolPlan`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub least: usize,
    pub most: usize,
    pub window_s: f64,
    pub look_s: f64,
    pub samples: f64,
    pub slow_ratio: f64,
}

/// What set the limit where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing is known yet.
    Start,
    /// The measured rate.
    Rate,
    /// The bounds of the operator's file.
    Least,
    Most,
    /// The crowd that the executor survives for certain.
    Crowd,
    /// Runs take longer than their number explains.
    Slow,
    /// Runs are usual again; the limit doubles its way back.
    Recovery,
    /// New bounds.
    Reload,
}

impl Cause {
    pub fn word(self) -> &'static str {
        match self {
            Cause::Start => "start",
            Cause::Rate => "rate",
            Cause::Least => "least_slots",
            Cause::Most => "most_slots",
            Cause::Crowd => "crowd",
            Cause::Slow => "slow",
            Cause::Recovery => "recovery",
            Cause::Reload => "reload",
        }
    }
}

/// The usual length of a class's runs (seconds), and how many ends it stands on, up to what counts.
#[derive(Clone, Copy, Debug)]
struct Usual {
    length: f64,
    ends: f64,
}

/// Evidence of one look: seconds on the cores, by all that ran and by what ended; what the latter usually takes.
#[derive(Clone, Debug, Default)]
struct Look {
    span: f64,
    spent: f64,
    lengths: f64,
    usual: f64,
    ended: f64,
    bound: f64,
    by_class: Vec<(f64, f64)>,
}

/// A figure of the last whole look, for logs and status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// Ended runs a second.
    pub rate_per_s: f64,
    /// Mean length of ended runs, and what they usually take (seconds).
    pub run_s: f64,
    pub usual_s: f64,
    /// Mean number of runs on the cores.
    pub on_cores: f64,
}

/// The limit and all it stands on.
#[derive(Clone, Debug)]
pub struct Estimate {
    bounds: Bounds,
    limit: usize,
    cause: Cause,
    /// Slots at full speed that the executor is worth.
    capacity: f64,
    usual: Vec<Usual>,
    look: Look,
    last: Measured,
    /// Since when runs have been slow (seconds ago).
    slow_for: Option<f64>,
    /// The way back after a slow time.
    recovering: bool,
}

impl Estimate {
    /// Starts at the least limit; `lengths` are first guesses of the classes' run lengths (seconds).
    pub fn new(bounds: Bounds, lengths: &[f64]) -> Estimate {
        let look = Look { by_class: vec![(0.0, 0.0); lengths.len()], ..Look::default() };
        Estimate {
            bounds,
            limit: bounds.least,
            cause: Cause::Start,
            capacity: bounds.least as f64,
            usual: lengths.iter().map(|l| Usual { length: l.max(1e-6), ends: 0.0 }).collect(),
            look,
            last: Measured::default(),
            slow_for: None,
            recovering: false,
        }
    }

    pub fn limit(&self) -> usize {
        self.limit
    }

    pub fn cause(&self) -> Cause {
        self.cause
    }

    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    pub fn measured(&self) -> Measured {
        self.last
    }

    /// The usual length of a run of this class (seconds).
    pub fn usual(&self, class: usize) -> f64 {
        self.usual.get(class).map_or(1.0, |u| u.length)
    }

    /// New bounds: what was learnt stays.
    pub fn rebound(&mut self, bounds: Bounds, crowd: usize) {
        self.bounds = bounds;
        self.set(self.limit, Cause::Reload, crowd);
    }

    /// Time passes with so many runs on the cores; `bound` says that more would run if the limit let them.
    pub fn advance(&mut self, dt: f64, on_cores: usize, bound: bool) {
        self.look.span += dt;
        self.look.spent += on_cores as f64 * dt;
        self.look.bound += if bound { dt } else { 0.0 };
    }

    /// A run of this class has ended after so long on the cores, its time at calls apart (seconds).
    pub fn ended(&mut self, class: usize, length: f64) {
        let (Some(usual), Some(sums)) = (self.usual.get(class), self.look.by_class.get_mut(class)) else {
            return;
        };
        *sums = (sums.0 + length, sums.1 + 1.0);
        // A class that is hardly known says nothing of the speed.
        let known = usual.ends >= CLASS_LEAST;
        self.look.usual += if known { usual.length } else { length };
        self.look.lengths += length;
        self.look.ended += 1.0;
    }

    /// Looks whether the limit is right; `true` if it has changed. `crowd` is what the executor survives.
    pub fn look(&mut self, on_cores: usize, crowd: usize) -> bool {
        let before = self.limit;
        let b = self.bounds;
        if self.look.span >= b.look_s / 2.0 && self.stuck(on_cores) {
            self.slow_down(crowd);
            return self.limit != before;
        }
        let enough = self.look.ended >= b.samples;
        if self.look.span >= b.look_s && (enough || self.look.span >= b.look_s * LOOK_MOST) {
            self.close(enough, crowd);
        } else {
            // The crowd that is survived changes by itself while the executor warms up.
            self.set(self.limit, self.cause, crowd);
        }
        self.limit != before
    }

    /// What ran in this look took far more than all that ended and all that runs would usually take: nothing ends.
    /// Guards against a tenfold slow-down, in which the first end would come seconds late.
    fn stuck(&self, on_cores: usize) -> bool {
        let (l, b) = (&self.look, &self.bounds);
        let mean = self.mean_usual();
        let owed = l.usual + on_cores as f64 * mean;
        l.spent > b.slow_ratio * self.expected(on_cores as f64) * owed + b.samples / 2.0 * mean
    }

    /// How many times as long as usual runs take with so many on the cores, by the capacity alone.
    fn expected(&self, on_cores: f64) -> f64 {
        (on_cores / self.capacity).max(1.0)
    }

    fn mean_usual(&self) -> f64 {
        let (sum, n) = self.usual.iter().fold((0.0, 0.0), |(s, n), u| {
            let weight = u.ends.max(0.1);
            (s + u.length * weight, n + weight)
        });
        if n > 0.0 {
            sum / n
        } else {
            1.0
        }
    }

    fn slow_down(&mut self, crowd: usize) {
        self.slow_for.get_or_insert(0.0);
        self.next_look();
        self.set(self.bounds.least, Cause::Slow, crowd);
    }

    fn next_look(&mut self) {
        let l = &mut self.look;
        if l.span > 0.0 {
            self.last = Measured {
                rate_per_s: l.ended / l.span,
                run_s: if l.ended > 0.0 { l.lengths / l.ended } else { 0.0 },
                usual_s: if l.ended > 0.0 { l.usual / l.ended } else { 0.0 },
                on_cores: l.spent / l.span,
            };
        }
        self.slow_for = self.slow_for.map(|s| s + l.span);
        l.by_class.iter_mut().for_each(|sums| *sums = (0.0, 0.0));
        let by_class = std::mem::take(&mut l.by_class);
        self.look = Look { by_class, ..Look::default() };
    }

    fn close(&mut self, enough: bool, crowd: usize) {
        let (l, b) = (&self.look, self.bounds);
        let on_cores = l.spent / l.span;
        let stretch = if l.usual > 0.0 { l.lengths / l.usual } else { 1.0 };
        let slow = enough && stretch > b.slow_ratio * self.expected(on_cores);
        let met = l.bound >= BOUND_SHARE * l.span;
        let part = (l.span / b.window_s).min(1.0);
        self.learn_lengths(on_cores <= b.least as f64 + 0.5, part);
        if slow && self.slow_for.map_or(true, |s| s < SLOW_WINDOWS * b.window_s) {
            return self.slow_down(crowd);
        }
        if !enough {
            // Too few ends to go by: an idle worker, or a look that tells nothing. What was learnt stays.
            self.next_look();
            return self.set(self.limit, self.cause, crowd);
        }
        let back = self.slow_for.take().is_some();
        self.recovering |= back;
        let rate = on_cores / stretch.max(1.0);
        if rate > self.capacity {
            self.capacity += (rate - self.capacity) * RISE;
        } else if met && !self.recovering {
            self.capacity += (rate - self.capacity) * part;
        }
        self.next_look();
        let room = (self.capacity * HEADROOM).max(HEADROOM_LEAST);
        let target = ((self.capacity + room).floor() as usize).max(1);
        let doubled = self.limit * 2;
        self.recovering &= target > doubled;
        if back || self.recovering {
            self.set(target.min(doubled), Cause::Recovery, crowd);
        } else {
            self.set(target, Cause::Rate, crowd);
        }
    }

    /// Usual lengths are those without a crowd; longer ones under a crowd are the crowd's doing.
    fn learn_lengths(&mut self, calm: bool, part: f64) {
        let samples = self.bounds.samples;
        for (usual, &(sum, n)) in self.usual.iter_mut().zip(&self.look.by_class) {
            if n == 0.0 {
                continue;
            }
            let mean = sum / n;
            // A few ends weigh little; the first ones replace the guess.
            let weight = (n / samples).min(1.0);
            let share = if usual.ends < CLASS_LEAST {
                n / (usual.ends + n)
            } else if mean < usual.length {
                SHORTER * weight
            } else if calm {
                part * weight
            } else {
                continue;
            };
            usual.length += (mean - usual.length) * share;
            usual.ends = (usual.ends + n).min(samples);
        }
    }

    /// Sets the limit within its bounds; a bound that holds is the cause.
    fn set(&mut self, to: usize, cause: Cause, crowd: usize) {
        let b = self.bounds;
        let most = b.most.min(crowd).max(b.least);
        let limit = to.clamp(b.least, most);
        let cause = match cause {
            Cause::Rate | Cause::Recovery | Cause::Reload | Cause::Start if to > most => {
                if crowd < b.most {
                    Cause::Crowd
                } else {
                    Cause::Most
                }
            }
            Cause::Rate | Cause::Reload if to < b.least => Cause::Least,
            cause => cause,
        };
        if limit != self.limit {
            (self.limit, self.cause) = (limit, cause);
        }
    }
}
