use super::*;

fn schedule() -> Vec<Fault> {
    let names = |kind: char| (1..=4).map(|n| format!("{kind}{n}")).collect::<Vec<_>>();
    draw_faults(7, 60.0, &names('c'), &names('w'))
}

#[test]
fn seed_draws_one_schedule_with_every_kind_of_fault() {
    let faults = schedule();
    assert_eq!(faults, schedule());
    let kinds: std::collections::HashSet<_> =
        faults.iter().map(|f| std::mem::discriminant(&f.action)).collect();
    assert_eq!(kinds.len(), 7, "{faults:#?}");
}

#[test]
fn failing_schedule_is_reduced_to_the_faults_that_matter() {
    let faults = schedule();
    let relevant = [faults[3].clone(), faults[20].clone()];
    let shrunk = shrink(faults, |fewer| relevant.iter().all(|fault| fewer.contains(fault)));
    assert!(shrunk.len() < 12 && relevant.iter().all(|fault| shrunk.contains(fault)), "{shrunk:#?}");
}
