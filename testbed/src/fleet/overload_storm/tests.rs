use super::{simulate, FleetMode, Scenario};

#[test]
fn overload_control_costs_nothing_at_normal_load_and_a_seed_is_reproducible() {
    let scenario = |mode| Scenario { mode, workers: 4, length_s: 6.0, ..Scenario::default() };
    let independent = simulate(&scenario(FleetMode::Independent), 3).unwrap();
    assert!(independent.earned_share() > 0.9 && independent.unanswered == 0, "{independent:?}");
    for mode in [FleetMode::Coordinated, FleetMode::Leaderless, FleetMode::Outlier, FleetMode::Stale] {
        let result = simulate(&scenario(mode), 3).unwrap();
        assert!(
            result.earned_share() >= 0.98 * independent.earned_share(),
            "{mode:?}: {} of {}",
            result.earned_share(),
            independent.earned_share()
        );
        assert!(result.unanswered == 0 && result.events.is_empty(), "{mode:?}: {:?}", result.events);
    }
    assert_eq!(
        simulate(&scenario(FleetMode::Coordinated), 3).unwrap().trace,
        simulate(&scenario(FleetMode::Coordinated), 3).unwrap().trace
    );
}
