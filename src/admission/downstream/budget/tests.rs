use super::*;

/// The budget for a share over four seconds; a share of half a call gives a maximum balance of 0.6 s.
fn budget(share: f64) -> CallBudget {
    CallBudget::new(Some(Dependency { share, window_s: 4.0, linger_s: 0.1 }))
}

#[test]
fn share_of_one_call_or_more_or_no_dependency_limits_no_call() {
    assert!(matches!(budget(1.0).allowance(0.1), CallAllowance::Unlimited));
    assert!(matches!(CallBudget::new(None).allowance(0.1), CallAllowance::Unlimited));
}

#[test]
fn call_may_take_the_balance_less_its_linger_time() {
    let CallAllowance::Limited { budget_s } = budget(0.5).allowance(0.1) else {
        panic!("the balance is full at the start");
    };
    assert!((budget_s - 0.5).abs() < 1e-9, "{budget_s}");
}

#[test]
fn no_call_starts_until_the_balance_covers_three_mean_calls() {
    let mut budget = budget(0.5);
    // One call in flight with a limit of half a call uses half a second of the balance per second.
    budget.advance(0.5, 1, 0.8);
    assert!(matches!(budget.allowance(0.1), CallAllowance::Exhausted));
    budget.advance(0.5, 0, 0.5);
    assert!(matches!(budget.allowance(0.1), CallAllowance::Limited { .. }));
}

#[test]
fn long_calls_start_once_the_balance_is_near_its_maximum() {
    let mut budget = budget(0.5);
    assert!(matches!(budget.allowance(10.0), CallAllowance::Limited { .. }));
    budget.advance(0.5, 1, 0.2);
    assert!(matches!(budget.allowance(10.0), CallAllowance::Exhausted));
}

#[test]
fn adopted_balance_never_exceeds_the_present_one() {
    let mut budget = budget(0.5);
    budget.adopt(Some(1e6));
    assert!((budget.learned_s() - 0.6).abs() < 1e-9);
    budget.adopt(Some(-0.5));
    assert!((budget.learned_s() + 0.5).abs() < 1e-9);
}
