use super::*;

fn some() -> Vec<Fault> {
    let names = |kind: char| (1..=4).map(|n| format!("{kind}{n}")).collect::<Vec<_>>();
    draw(7, 60.0, &names('c'), &names('w'))
}

#[test]
fn seed_draws_one_schedule_with_every_kind_of_fault() {
    let faults = some();
    assert_eq!(faults, some());
    let kinds: std::collections::HashSet<_> =
        faults.iter().map(|f| std::mem::discriminant(&f.action)).collect();
    assert_eq!(kinds.len(), 7, "{faults:#?}");
}

#[test]
fn failing_schedule_is_reduced_to_the_faults_that_matter() {
    let faults = some();
    let matters = [faults[3].clone(), faults[20].clone()];
    let short = shrink(faults, |fewer| matters.iter().all(|m| fewer.contains(m)));
    assert!(short.len() < 12 && matters.iter().all(|m| short.contains(m)), "{short:#?}");
}
