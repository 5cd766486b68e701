use super::super::{Config, OperatorSettings};
use crate::interface::PoolReserve;

fn config() -> Config {
    Config::decode(include_str!("../../../examples/config.json")).unwrap()
}

const VALID: &str = "[pools]\nleast_slots = 6\n[pools.reserve]\npool = \"cheap\"\nslots = 1\n\
        [[pools.pool]]\nname = \"cheap\"\nclasses = [\"status-check\"]\nguarantee = 0.25\n\
        [[pools.pool]]\nname = \"orders\"\nclasses = [\"port-submit\"]\nguarantee = 0.5\nweight = 3.0\n";

#[test]
fn a_class_that_no_pool_names_belongs_to_the_pool_rest() {
    let config = config();
    let plan =
        OperatorSettings::decode(VALID, &config).unwrap().pools.unwrap().plan(&config.settings).unwrap();
    let names: Vec<&str> = plan.pools.iter().map(|p| p.name.as_str()).collect();
    assert_eq!((names, plan.pool_of), (vec!["cheap", "orders", "rest"], vec![0, 2, 1]));
    let reserve = PoolReserve { pool: 0, slots: 1 };
    assert_eq!((plan.reserve, plan.min_slots, plan.max_slots), (Some(reserve), 6, 12));
    // The pool "rest" may be configured by its name, without classes.
    let text = format!("{VALID}[[pools.pool]]\nname = \"rest\"\nclasses = []\nguarantee = 0.1\n");
    let plan =
        OperatorSettings::decode(&text, &config).unwrap().pools.unwrap().plan(&config.settings).unwrap();
    assert_eq!((plan.pools.len(), plan.pools[2].guarantee), (3, 0.1));
}

#[test]
fn invalid_pool_settings_are_rejected_in_one_line_that_names_the_key() {
    let config = config();
    for (from, to, expected) in [
        ("\"status-check\"", "\"status\"", "pools.pool \"cheap\": classes: there is no class \"status\""),
        ("\"port-submit\"", "\"status-check\"", "class \"status-check\" is already in pool \"cheap\""),
        (
            "\"port-submit\"",
            "\"port-submit\", \"port-submit\"",
            "class \"port-submit\" is already in pool \"orders\"",
        ),
        ("guarantee = 0.5", "guarantee = 0.8", "add up to 1.050; expected at most 1"),
        ("guarantee = 0.5", "guarantee = nan", "guarantee is NaN; expected a number from 0 to 1"),
        (
            "guarantee = 0.5",
            "guarantee = 0.5\nceiling = 0.4",
            "guarantee is 0.5; expected at most the ceiling, 0.4",
        ),
        ("weight = 3.0", "weight = 0.0", "weight is 0"),
        ("weight = 3.0", "queue = 0", "queue is 0"),
        ("weight = 3.0", "wieght = 3.0", "line 14: unknown field `wieght`, expected one of"),
        ("slots = 1\n", "slots = 0\n", "pools.reserve.slots is 0; expected 1 to 5"),
        ("slots = 1\n", "slots = 6\n", "pools.reserve.slots is 6; expected 1 to 5"),
        ("pool = \"cheap\"", "pool = \"dear\"", "there is no pool \"dear\""),
        ("slots = 1\n", "slots = 1\nspare = 1\n", "unknown field `spare`"),
        ("least_slots = 6", "least_slots = 1", "set least_slots to 2 or more"),
        ("least_slots = 6", "least_slots = 6\nmost_slots = 5", "pools.most_slots is 5; expected 6"),
        ("least_slots = 6", "window_s = inf", "pools.window_s is inf"),
        ("least_slots = 6", "look_s = 11.0", "pools.look_s is 11; expected a number from 0.1 to 10"),
        ("least_slots = 6", "samples = 1", "pools.samples is 1"),
        ("least_slots = 6", "slow_ratio = 1.0", "pools.slow_ratio is 1"),
        ("least_slots = 6", "lest_slots = 6", "unknown field `lest_slots`"),
        ("name = \"orders\"", "name = \"cheap\"", "name is already used"),
        ("name = \"orders\"", "name = \"or ders\"", "expected one word"),
    ] {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "{from}");
        let error = OperatorSettings::decode(&text, &config).expect_err(expected).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{expected}: {error}");
    }
}

#[test]
fn the_shipped_pools_file_is_valid() {
    let config = config();
    let operator = OperatorSettings::decode(include_str!("../../../deploy/pools.toml"), &config).unwrap();
    let plan = operator.pools.unwrap().plan(&config.settings).unwrap();
    assert!(plan.reserve.is_some() && plan.pools.len() == 3);
}
