use super::super::tests::VALID;
use super::super::{Config, OperatorSettings};

const FLEET: &str = "[fleet]\nname = \"polder\"\ncoordinators = [\"127.0.0.1:1\"]\n";
const TASK: &str = "[[fleet.task]]\nname = \"t\"\nperiod_s = 5.0\naddress = \"127.0.0.1:2\"\nsafe = true\n";

#[test]
fn invalid_fleet_settings_are_rejected_in_one_line_with_key_found_and_expected() {
    let config = Config::decode(VALID).unwrap();
    let valid = format!("{FLEET}{TASK}");
    let membership = OperatorSettings::decode(&valid, &config).unwrap().fleet.unwrap().membership(&config);
    assert_eq!(
        (membership.drift, membership.computes_totals, membership.tasks[0].deadline_s),
        (0.1, true, 0.5)
    );
    for (text, expected) in [
        (valid.replace("\"polder\"", "\"a b\""), "fleet.name is \"a b\"; expected 1 to 64 ASCII letters"),
        (
            valid.replace("[\"127.0.0.1:1\"]", "[]"),
            "fleet.coordinators: the number of entries is 0; expected 1 to 9",
        ),
        (valid.replace("5.0", "0.0"), "fleet.task t.period_s is 0; expected 0.1 to 604800"),
        (
            valid.replace("\"t\"", "\"totals\""),
            "fleet.task.name is \"totals\"; expected a unique name other than \"totals\"",
        ),
        (format!("{valid}{TASK}"), "fleet.task.name is \"t\"; expected a unique name other than \"totals\""),
        (valid.replace("safe", "path = \"x\"\nsafe"), "fleet.task t.path is \"x\""),
        (valid.replace("safe = true", "save = true"), "line 8: unknown field `save`"),
        (valid.replace("5.0", "nan"), "fleet.task t.period_s is NaN"),
    ] {
        let error = OperatorSettings::decode(&text, &config).expect_err(expected).to_string();
        assert!(error.starts_with(expected) && !error.contains('\n'), "{error}, not {expected}");
    }
    let shipped = include_str!("../../../deploy/fleet.toml");
    let config = Config::decode(include_str!("../../../examples/config.json")).unwrap();
    assert!(OperatorSettings::decode(shipped, &config).unwrap().fleet.is_some());
}
