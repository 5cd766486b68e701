use super::excerpt;
use super::limiter::{Decision, LineLimiter, FOLD_INTERVAL_S, MAX_LINES_PER_S};
use super::line::{Line, MAX_VALUE_BYTES};
use tracing::Level;

/// Formats a line with one field and returns what follows the time, the level and the name.
fn fields(key: &str, value: &str) -> String {
    let mut line = Line::new(Level::INFO, "event");
    line.push(key, format_args!("{value}"));
    line.finish().split_once(" INFO event ").unwrap().1.to_owned()
}

#[test]
fn a_plain_value_is_written_as_it_is() {
    assert_eq!(fields("address", "127.0.0.1:7001"), "address=127.0.0.1:7001\n");
}

#[test]
fn a_value_with_spaces_quotes_or_control_characters_is_quoted_and_stays_one_line() {
    assert_eq!(fields("cause", "reset by peer"), "cause=\"reset by peer\"\n");
    assert_eq!(fields("cause", ""), "cause=\"\"\n");
    assert_eq!(fields("cause", "a=b"), "cause=\"a=b\"\n");
    assert_eq!(fields("cause", "a\"\\\n\u{1b}[0m\u{9b}"), "cause=\"a\\\"\\\\\\u000a\\u001b[0m\\u009b\"\n");
}

#[test]
fn a_quoted_value_reads_back_as_a_json_string() {
    let value = "{\"pool\":\"a b\"}\n\u{7f}é";
    let line = fields("state", value);
    let quoted = line.trim_end().strip_prefix("state=").unwrap();
    assert_eq!(serde_json::from_str::<String>(quoted).unwrap(), value);
}

#[test]
fn a_long_value_is_truncated_between_characters() {
    let long = "é".repeat(MAX_VALUE_BYTES);
    assert!(fields("state", &long).len() <= MAX_VALUE_BYTES + "state=\"\"\n".len());
    assert_eq!(excerpt(&"é".repeat(150)).len(), 200);
    assert_eq!(excerpt("short"), "short");
}

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let mut limiter: LineLimiter<&str> = LineLimiter::new();
    for _ in 0..MAX_LINES_PER_S {
        assert_eq!(limiter.admit(5.0), Decision::Write { occurrences: 1 });
    }
    assert_eq!(limiter.admit(5.5), Decision::Drop);
    assert_eq!(limiter.admit(5.9), Decision::Drop);
    assert_eq!(limiter.take_suppressed(5.9), None);
    assert_eq!(limiter.take_suppressed(6.0), Some(2));
    assert_eq!(limiter.take_suppressed(7.0), None);
    assert_eq!(limiter.admit(7.0), Decision::Write { occurrences: 1 });
}

#[test]
fn suppressed_lines_are_reported_even_if_the_next_second_begins_with_an_event() {
    let mut limiter: LineLimiter<&str> = LineLimiter::new();
    for _ in 0..=MAX_LINES_PER_S {
        limiter.admit(5.0);
    }
    assert_eq!(limiter.admit(6.0), Decision::Write { occurrences: 1 });
    assert_eq!(limiter.take_suppressed(6.1), Some(1));
}

#[test]
fn repeats_of_a_folded_event_become_one_line_with_their_count() {
    let mut limiter = LineLimiter::new();
    assert_eq!(limiter.admit_folded(1.0, "noise"), Decision::Write { occurrences: 1 });
    assert_eq!(limiter.admit_folded(2.0, "noise"), Decision::Drop);
    assert_eq!(limiter.admit_folded(2.0, "other"), Decision::Write { occurrences: 1 });
    assert_eq!(limiter.admit_folded(3.0, "noise"), Decision::Drop);
    let next = 1.0 + FOLD_INTERVAL_S;
    assert_eq!(limiter.admit_folded(next, "noise"), Decision::Write { occurrences: 3 });
}
