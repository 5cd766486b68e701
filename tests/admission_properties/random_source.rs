//! The random numbers of a simulation.

/// A linear congruential generator with Knuth's MMIX constants. A library's generator could change its numbers between
/// versions.
pub(crate) struct RandomSource(u64);

impl RandomSource {
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource(seed.wrapping_mul(7919).wrapping_add(17))
    }

    /// A number from 0 to 1, excluding 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64) / f64::from(1u32 << 31)
    }

    /// True with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A number below `end`.
    pub(crate) fn below(&mut self, end: usize) -> usize {
        (self.unit() * end as f64) as usize
    }

    /// One of these values, each with the same probability.
    pub(crate) fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }
}
