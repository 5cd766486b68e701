use super::*;

#[test]
fn calm_overload_control_costs_nothing_and_a_seed_replays_its_storm() {
    let shape = |part| Shape { part, workers: 4, length_s: 6.0, ..Shape::default() };
    let alone = play(&shape(Part::Alone), 3).unwrap();
    assert!(alone.earned() > 0.9 && alone.owed == 0, "{alone:?}");
    for part in [Part::Fleet, Part::Absent, Part::Liar, Part::Frozen] {
        let storm = play(&shape(part), 3).unwrap();
        assert!(
            storm.earned() >= 0.98 * alone.earned(),
            "{part:?}: {} of {}",
            storm.earned(),
            alone.earned()
        );
        assert!(storm.owed == 0 && storm.events.is_empty(), "{part:?}: {:?}", storm.events);
    }
    assert_eq!(play(&shape(Part::Fleet), 3).unwrap().trace, play(&shape(Part::Fleet), 3).unwrap().trace);
}
