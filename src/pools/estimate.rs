//! How many runs at once the executor is worth: a limit that follows measured throughput.
//!
//! Little's law in slots: over a look, `N` runs stood on the cores in the mean, and those that ended took
//! `stretch` times their usual length; so the cores did the work of `N / stretch` slots at full speed. That rate,
//! smoothed, is the capacity; the limit is the capacity and a little more, so that a rise can show (TCP Vegas'
//! alpha; Brakmo and Peterson 1995). The usual length of a class is measured only while no more runs than the
//! least limit stand on the cores, or by runs that are shorter still; where that does not happen by itself for four
//! windows, the limit rests under its least for a look (BBR's PROBE_RTT; Cardwell et al. 2016). A windowed least over
//! noisy lengths would take every crowd for a gain (docs/design/01-class-pools.md has the figures).
//!
//! Runs that take longer than the crowd explains mean that the executor has slowed: the limit drops to its least
//! at once, what was learnt of the capacity is kept, and the limit doubles its way back when runs are usual again.

/// Slots above the measured capacity, as a part of it and at least, in which a rise can show.
const HEADROOM: f64 = 0.2;
const HEADROOM_LEAST: f64 = 1.25;
/// Runs shorter than usual count down to this: cut off at 1, the noise of a look would always be a loss, and the limit
/// would stick a slot or two above its least.
const STRETCH_LEAST: f64 = 0.75;
/// The capacity follows the rate of a look by this share.
const FOLLOW: f64 = 0.3;
/// A usual length is the mean of so many ends in calm looks.
const MEMORY_ENDS: f64 = 64.0;
/// A stretch smoothed by this share a look that comes under this part of 1 proves the usual lengths too long, whatever
/// runs beside. One look is noise (a sixth of the mean for sixteen ends), and would make them sink for good.
const SHORTER_FOLLOW: f64 = 0.4;
const SHORTER: f64 = 0.82;
/// A rest's look takes so many times the samples; the first rest comes after so many crowded looks.
const REST_SAMPLES: f64 = 2.0;
const FIRST_REST_LOOKS: f64 = 3.0;
/// Further rests come after so many windows without a calm look: each costs up to two seconds of few runs.
const REST_WINDOWS: f64 = 4.0;
/// A look ends without enough samples after so many times its length.
const LOOK_MOST: f64 = 4.0;
/// The limit counts as met in a look when it was so for this share of it.
const BOUND_SHARE: f64 = 0.5;
/// A slowed executor is taken for the new usual after so many windows.
const SLOW_WINDOWS: f64 = 2.0;
/// A look is calm with so many runs more than the least limit on the cores, in the mean.
const CALM_MORE: f64 = 0.5;
/// A rest goes down to this part of the least limit at most, and lasts so many looks until its own look begins.
const REST_PART: f64 = 0.5;
const REST_LOOKS: f64 = 4.0;
const SETTLE_RUNS: f64 = 2.0;
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
    /// A look with few runs, to learn how long they usually take.
    Rest,
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
            Cause::Rest => "rest",
            Cause::Reload => "reload",
        }
    }
}

/// The usual length of a class's runs (seconds), and how many ends it stands on, up to what counts.
#[derive(Clone, Copy, Debug)]
struct Usual {
    length: f64,
    ends: f64,
    /// It stems from calm looks; else it may have a crowd in it, and the first calm look replaces it.
    calm: bool,
}

/// Evidence of one look: seconds on the cores, by all that ran and by what ended; what the latter usually takes.
#[derive(Clone, Debug, Default)]
struct Look {
    span: f64,
    spent: f64,
    lengths: f64,
    usual: f64,
    ended: f64,
    /// Sum of the squares of what ended runs usually take.
    squares: f64,
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
    /// Seconds since a calm look; ends that calm looks have had; the runs that came back from calls above the limit
    /// in the last look.
    crowded_s: f64,
    calm_ends: f64,
    above: f64,
    rest: Option<Rest>,
    /// Smoothed stretch of the looks.
    smooth: f64,
    /// The crowd that is survived, as last told: it changes while the executor warms up.
    crowd: usize,
}

/// A rest: the limit to come back to, its cause, how far the rest is and for how long it has been so (seconds).
#[derive(Clone, Copy, Debug)]
struct Rest {
    back_to: usize,
    cause: Cause,
    step: Step,
    for_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Runs of before leave the cores. The last of them are the longest: their ends would tell too much.
    Clearing,
    /// Those few end too, and others begin at different times.
    Settling,
    Looking,
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
            usual: lengths.iter().map(|l| Usual { length: l.max(1e-6), ends: 0.0, calm: false }).collect(),
            look,
            last: Measured::default(),
            slow_for: None,
            recovering: false,
            crowded_s: 0.0,
            calm_ends: 0.0,
            above: 0.0,
            rest: None,
            smooth: 1.0,
            crowd: 0,
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
        let to = self.rest.take().map_or(self.limit, |r| r.back_to);
        self.set(to, Cause::Reload, crowd);
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
        let weight = if known { usual.length } else { length };
        self.look.usual += weight;
        self.look.squares += weight * weight;
        self.look.lengths += length;
        self.look.ended += 1.0;
    }

    /// Looks whether the limit is right; `true` if it has changed. `crowd` is what the executor survives.
    pub fn look(&mut self, on_cores: usize, crowd: usize) -> bool {
        let before = self.limit;
        let b = self.bounds;
        if crowd != self.crowd {
            // It warms up, so that usual lengths change under us: they are measured again and again.
            (self.crowd, self.calm_ends) = (crowd, 0.0);
        }
        if self.look.span >= b.look_s / 2.0 && self.stuck(on_cores) {
            self.slow_down(crowd);
            return self.limit != before;
        }
        if self.rest.is_some_and(|r| r.step != Step::Looking) {
            self.wait_for_rest(on_cores);
            return self.limit != before;
        }
        let samples = b.samples * if self.rest.is_some() { REST_SAMPLES } else { 1.0 };
        let enough = self.ends() >= samples;
        if self.look.span >= b.look_s && (enough || self.look.span >= b.look_s * LOOK_MOST) {
            self.close(enough, crowd);
        } else {
            // The crowd that is survived changes by itself while the executor warms up.
            self.set(self.limit, self.cause, crowd);
        }
        self.limit != before
    }

    /// How many ends of one length would tell as much as those of this look (Kish's effective sample size): among
    /// many short runs the few long ones decide what the sum of lengths says.
    fn ends(&self) -> f64 {
        if self.look.squares > 0.0 {
            self.look.usual.powi(2) / self.look.squares
        } else {
            0.0
        }
    }

    /// A rest's look begins when those that run are like any others: not the long ones that were left of a crowd, and
    /// not all begun at once, of which only the short ones would have ended.
    fn wait_for_rest(&mut self, on_cores: usize) {
        let (span, settle_s) = (self.look.span, SETTLE_RUNS * self.mean_usual());
        self.next_look(false);
        let Some(rest) = &mut self.rest else { return };
        rest.for_s += span;
        let over = rest.for_s >= REST_LOOKS * self.bounds.look_s;
        let next = match rest.step {
            Step::Clearing if on_cores <= self.bounds.least || over => Step::Settling,
            Step::Settling if rest.for_s >= settle_s || over => Step::Looking,
            step => step,
        };
        if next != rest.step {
            (rest.step, rest.for_s) = (next, 0.0);
        }
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
        self.rest = None;
        self.next_look(true);
        self.set(self.bounds.least, Cause::Slow, crowd);
    }

    /// Begins another look; what this one measured is told where it stands for the time.
    fn next_look(&mut self, told: bool) {
        let l = &mut self.look;
        if l.span > 0.0 && told {
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
        // Of runs that all began at the start, only the short ones have ended in the first look.
        let first =
            self.cause == Cause::Start && self.calm_ends == 0.0 && !self.usual.iter().any(|u| u.ends > 0.0);
        let calm = !first && on_cores <= b.least as f64 + CALM_MORE;
        if calm {
            self.calm_ends = (self.calm_ends + self.ends()).min(MEMORY_ENDS);
        }
        self.crowded_s = if calm { 0.0 } else { self.crowded_s + l.span };
        let patient = self.slow_for.map_or(true, |s| s < SLOW_WINDOWS * b.window_s);
        if !patient {
            // Slow for so long is the new usual.
            self.usual.iter_mut().for_each(|u| u.calm = false);
        }
        // A slow time may be over soon: nothing is learnt from it.
        if self.slow_for.is_none() && !slow || !patient {
            self.learn_lengths(calm);
        }
        if enough {
            self.smooth += (stretch - self.smooth) * SHORTER_FOLLOW;
            if self.smooth < SHORTER {
                self.usual.iter_mut().for_each(|u| u.length *= self.smooth);
                self.smooth = 1.0;
            }
        }
        if let Some(rest) = self.rest.take() {
            self.crowded_s = 0.0;
            self.next_look(false);
            return self.set(rest.back_to, rest.cause, crowd);
        }
        if met {
            self.above = (on_cores - self.limit as f64).max(0.0);
        }
        if slow && patient {
            return self.slow_down(crowd);
        }
        if !enough {
            // Too few ends to go by: an idle worker, or a look that tells nothing. What was learnt stays.
            self.next_look(true);
            return self.set(self.limit, self.cause, crowd);
        }
        let back = self.slow_for.take().is_some();
        self.recovering |= back;
        let rate = on_cores / stretch.max(STRETCH_LEAST);
        // Where the limit is not met a low rate says only that little was asked for.
        if rate > self.capacity || met && !self.recovering {
            self.capacity += (rate - self.capacity) * FOLLOW;
        }
        self.next_look(true);
        let room = (self.capacity * HEADROOM).max(HEADROOM_LEAST);
        let target = ((self.capacity + room).floor() as usize).max(1);
        let doubled = self.limit * 2;
        self.recovering &= target > doubled;
        if back || self.recovering {
            self.set(target.min(doubled), Cause::Recovery, crowd);
        } else {
            self.set(target, Cause::Rate, crowd);
        }
        // Few calm ends make a usual length that misses by as much as the headroom: more of them are had early.
        let unsure =
            self.calm_ends < MEMORY_ENDS || self.usual.iter().any(|u| u.ends >= b.samples && !u.calm);
        let patience = if unsure { FIRST_REST_LOOKS * b.look_s } else { REST_WINDOWS * b.window_s };
        if self.crowded_s >= patience && met {
            let least = b.least as f64;
            let low = (least - self.above.ceil()).max((least * REST_PART).ceil()).max(1.0) as usize;
            self.rest =
                Some(Rest { back_to: self.limit, cause: self.cause, step: Step::Clearing, for_s: 0.0 });
            (self.limit, self.cause) = (low, Cause::Rest);
        }
    }

    /// Usual lengths are those without a crowd; longer ones under a crowd are the crowd's doing.
    fn learn_lengths(&mut self, calm: bool) {
        for (usual, &(sum, n)) in self.usual.iter_mut().zip(&self.look.by_class) {
            if n == 0.0 {
                continue;
            }
            let mean = sum / n;
            let share = if calm && !usual.calm {
                usual.ends = 0.0;
                1.0
            } else if calm || !usual.calm {
                n / (usual.ends + n)
            } else {
                continue;
            };
            usual.length += (mean - usual.length) * share;
            usual.ends = (usual.ends + n).min(MEMORY_ENDS);
            usual.calm |= calm;
        }
    }

    /// Sets the limit within its bounds; a bound that holds is the cause.
    fn set(&mut self, to: usize, cause: Cause, crowd: usize) {
        let b = self.bounds;
        let most = b.most.min(crowd).max(b.least);
        let limit = to.clamp(b.least, most);
        let cause = match cause {
            Cause::Rate | Cause::Recovery | Cause::Start if to > most => {
                if crowd < b.most {
                    Cause::Crowd
                } else {
                    Cause::Most
                }
            }
            Cause::Rate if to < b.least => Cause::Least,
            cause => cause,
        };
        // A rest goes under the least limit, and only its own end ends it.
        if self.rest.is_none() {
            (self.limit, self.cause) = (limit, cause);
        }
    }
}
