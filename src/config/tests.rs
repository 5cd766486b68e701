#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::*;

pub const VALID: &str = r#"{"name":"n3","listen":"127.0.0.1:0","executor":"127.0.0.1:1","registry":"127.0.0.1:2",
        "records":"127.0.0.1:3","seed":"ff","stop_ms":3000,"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
        "settings":{"domain":{"nCores":2,"heapKb":1000.0},"news":{"unknown":1},
        "profiles":[{"name":"a","deadlineS":2.0,"targetS":1.0,"effect":"safe"}]}}"#;

#[test]
fn a_configuration_is_decoded_and_unknown_keys_are_ignored() {
    let config = Config::decode(VALID).unwrap();
    assert_eq!((config.seed_number(), config.limits.sockets, config.stop_ms), (255, 256, 3000.0));
    assert_eq!(config.settings.settings(1).classes[0].deadline_s, 2.0);
}

#[test]
fn an_invalid_configuration_is_rejected_in_one_line_that_names_the_key() {
    for (from, to, expected) in [
        (r#""name":"n3""#, r#""name":"n 3""#, "one word"),
        (r#""name":"a""#, r#""name":"""#, "profiles"),
        ("\"deadlineS\":2.0", "\"deadlineS\":0", "deadlineS"),
        ("\"safe\"", "\"odd\"", "effect"),
        ("\"nCores\":2", "\"nCores\":0", "nCores"),
        ("\"heapKb\":1000.0", "\"heapKb\":0", "heapKb"),
        ("\"sockets\":256", "\"sockets\":8", "sockets"),
        ("127.0.0.1:1", "nowhere", "address"),
    ] {
        let error = Config::decode(&VALID.replacen(from, to, 1)).err().expect(expected).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
}
