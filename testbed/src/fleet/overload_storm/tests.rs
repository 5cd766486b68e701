use super::{play, FleetMode, Scenario};

#[test]
fn calm_overload_control_costs_nothing_and_a_seed_replays_its_storm() {
    let shape = |mode| Scenario { mode, workers: 4, length_s: 6.0, ..Scenario::default() };
    let alone = play(&shape(FleetMode::Independent), 3).unwrap();
    assert!(alone.earned() > 0.9 && alone.owed == 0, "{alone:?}");
    for mode in [FleetMode::Coordinated, FleetMode::Leaderless, FleetMode::Outlier, FleetMode::Stale] {
        let storm = play(&shape(mode), 3).unwrap();
        assert!(
            storm.earned() >= 0.98 * alone.earned(),
            "{mode:?}: {} of {}",
            storm.earned(),
            alone.earned()
        );
        assert!(storm.owed == 0 && storm.events.is_empty(), "{mode:?}: {:?}", storm.events);
    }
    assert_eq!(
        play(&shape(FleetMode::Coordinated), 3).unwrap().trace,
        play(&shape(FleetMode::Coordinated), 3).unwrap().trace
    );
}
