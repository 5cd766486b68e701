use super::fleetctl::{columns, without_numbers};
use super::settings::without_time_and_port;
use serde_json::json;

#[test]
fn listener_lines_are_equal_whatever_the_time_and_the_port_of_the_system() {
    let line = |time: &str, port: u16| {
        format!(
            "{time} INFO listener_opened worker=n1 frontend=http address=127.0.0.1:{port} inherited=false"
        )
    };
    let (one, two) = (line("2026-12-02T14:05:51Z", 40_001), line("2026-12-03T01:00:00Z", 512));
    assert_eq!(without_time_and_port(&one), without_time_and_port(&two));
    assert!(without_time_and_port(&one).ends_with("address=127.0.0.1:PORT inherited=false"));
}

#[test]
fn ports_of_settings_files_are_compared() {
    let line = |port: u16| format!("TIME INFO listener_opened frontend=ajp address=127.0.0.1:{port}");
    assert_ne!(without_time_and_port(&line(8009)), without_time_and_port(&line(8010)));
}

#[test]
fn answers_of_fleetctl_differ_by_names_and_text_but_not_by_numbers() {
    let answer = |token: u64, holder: &str| without_numbers(json!([{"token": token, "holder": holder}]));
    assert_eq!(answer(1, "w1"), answer(2, "w1"));
    assert_ne!(answer(1, "w1"), answer(1, "w2"));
    assert_ne!(answer(1, "w1"), without_numbers(json!([{"fence": 1, "holder": "w1"}])));
    assert_eq!(columns("task  holder  token\nreport  w1  7\n"), ["task", "holder", "token"]);
}
