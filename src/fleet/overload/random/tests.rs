use super::*;

#[test]
fn random_numbers_are_uniform() {
    let mean = (0..10_000).map(|n| random_unit(7, n)).sum::<f64>() / 10_000.0;
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
}
