use super::*;

/// A share of half a call over four seconds: 0.6 s may be saved up.
fn budget(share: f64) -> CallBudget {
    CallBudget::new(Some(Dependency { share, window_s: 4.0, linger_s: 0.1 }))
}

#[test]
fn share_of_one_call_or_more_or_no_dependency_limits_no_call() {
    assert!(matches!(budget(1.0).allowance(0.1), CallAllowance::Unlimited));
    assert!(matches!(CallBudget::new(None).allowance(0.1), CallAllowance::Unlimited));
}

#[test]
fn call_may_take_what_is_saved_up_without_the_time_that_it_may_linger() {
    let CallAllowance::Limited { budget_s } = budget(0.5).allowance(0.1) else {
        panic!("the whole budget is there at the start");
    };
    assert!((budget_s - 0.5).abs() < 1e-9, "{budget_s}");
}

#[test]
fn no_call_is_made_until_three_mean_calls_are_saved_up() {
    let mut budget = budget(0.5);
    // One call in flight with a limit of half a call uses up half a second a second.
    budget.advance(0.5, 1, 0.8);
    assert!(matches!(budget.allowance(0.1), CallAllowance::Exhausted));
    budget.advance(0.5, 0, 0.5);
    assert!(matches!(budget.allowance(0.1), CallAllowance::Limited { .. }));
}

#[test]
fn long_calls_are_made_once_most_of_the_largest_budget_is_saved_up() {
    let mut budget = budget(0.5);
    assert!(matches!(budget.allowance(10.0), CallAllowance::Limited { .. }));
    budget.advance(0.5, 1, 0.2);
    assert!(matches!(budget.allowance(10.0), CallAllowance::Exhausted));
}

#[test]
fn adopted_budget_is_never_more_than_what_is_there() {
    let mut budget = budget(0.5);
    budget.adopt(Some(1e6));
    assert!((budget.learned_s() - 0.6).abs() < 1e-9);
    budget.adopt(Some(-0.5));
    assert!((budget.learned_s() + 0.5).abs() < 1e-9);
}
