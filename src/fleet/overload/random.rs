//! Reproducible random numbers.

/// The number at position `count` of the pseudo-random sequence of `seed`, uniform in [0, 1) (`SplitMix64`: Steele, Lea and
/// Flood, 2014).
pub(super) fn random_unit(seed: u64, count: u64) -> f64 {
    let mut z = seed.wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
