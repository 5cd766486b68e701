use super::super::tests::GOOD;
use super::super::{Config, Operator};

const FLEET: &str = "[fleet]\nname = \"polder\"\ncoordinators = [\"127.0.0.1:1\"]\n";
const TASK: &str = "[[fleet.task]]\nname = \"t\"\nperiod_s = 5.0\naddress = \"127.0.0.1:2\"\nsafe = true\n";

#[test]
fn a_fault_in_fleet_settings_is_one_line_that_says_what_was_found_and_expected() {
    let config = Config::decode(GOOD).unwrap();
    let good = format!("{FLEET}{TASK}");
    let plan = Operator::decode(&good, &config).unwrap().fleet.unwrap().plan(&config);
    assert_eq!((plan.drift, plan.computes_totals, plan.tasks[0].deadline_s), (0.1, true, 0.5));
    for (text, said) in [
        (good.replace("\"polder\"", "\"a b\""), "fleet.name is \"a b\"; expected letters"),
        (good.replace("[\"127.0.0.1:1\"]", "[]"), "fleet.coordinators is 0; expected 1 to 9"),
        (good.replace("5.0", "0.0"), "fleet.task t.period_s is 0; expected 0.1 to 604800"),
        (good.replace("\"t\"", "\"totals\""), "fleet.task.name is \"totals\", which is taken"),
        (format!("{good}{TASK}"), "fleet.task.name is \"t\", which is taken"),
        (good.replace("safe", "path = \"x\"\nsafe"), "fleet.task t.path is \"x\""),
        (good.replace("safe = true", "save = true"), "line 8: unknown field `save`"),
        (good.replace("5.0", "nan"), "fleet.task t.period_s is NaN"),
    ] {
        let error = Operator::decode(&text, &config).expect_err(said).to_string();
        assert!(error.starts_with(said) && !error.contains('\n'), "{error}, not {said}");
    }
    let shown = include_str!("../../../deploy/fleet.toml");
    let config = Config::decode(include_str!("../../../examples/config.json")).unwrap();
    assert!(Operator::decode(shown, &config).unwrap().fleet.is_some());
}
