use super::*;

#[test]
fn an_invalid_file_is_rejected_with_one_line_that_names_the_expected_value() {
    let valid = include_str!("../../../deploy/coordinator.toml");
    let file = ConfigFile::decode(valid).unwrap();
    assert_eq!(file.listen_address().unwrap().port(), 7101);
    for (from, to, expected) in [
        ("name = \"c1\"  ", "name = \"c9\"  ", "name is \"c9\"; expected the name of a [[coordinator]]"),
        ("127.0.0.1:7102", "127.0.0.1:7101", "coordinator c2: duplicate name or address"),
        ("epoch = 1", "epoch = 0", "epoch is 0; expected 1"),
        ("ttl_ms = 3000", "ttl_ms = 3", "task totals.ttl_ms is 3; expected 500"),
        ("ttl_ms = 3000", "tll_ms = 3000", "line 26: unknown field `tll_ms`"),
        ("\"totals\"", "\"to tals\"", "task.name is \"to tals\"; expected 1 to 64 ASCII letters"),
        (
            "epoch = 1",
            "overload = { calls_part = -1.0 }\nepoch = 1",
            "overload.calls_part is -1; expected 0 to",
        ),
        (
            "[[coordinator]]\nname = \"c3\"\naddress = \"127.0.0.1:7103\"\n",
            "",
            "coordinator: found 2; expected an odd number",
        ),
    ] {
        let text = valid.replacen(from, to, 1);
        assert_ne!(text, valid, "{from} is not in the file");
        let error = ConfigFile::decode(&text).expect_err(expected).to_string();
        assert!(
            error.starts_with(expected) && !error.contains('\n'),
            "the error is {error:?}; expected one line that starts with {expected:?}"
        );
    }
}

#[test]
fn restart_keys_are_listed_in_file_order_without_epoch_and_tasks() {
    let valid = include_str!("../../../deploy/coordinator.toml");
    let file = ConfigFile::decode(valid).unwrap();
    let changed = |from: &str, to: &str| {
        let text = valid.replacen(from, to, 1);
        assert_ne!(text, valid, "{from} is not in the file");
        file.restart_keys(&ConfigFile::decode(&text).unwrap())
    };
    assert_eq!(changed("epoch = 1", "epoch = 2"), [""; 0]);
    assert_eq!(changed("ttl_ms = 3000", "ttl_ms = 4000"), [""; 0]);
    assert_eq!(changed("write_overdue_ms = 1000", "write_overdue_ms = 500"), ["write_overdue_ms"]);
    assert_eq!(changed("epoch = 1", "epoch = 2\nlisten = '0.0.0.0:1'\nversion = 1"), ["listen", "version"]);
    assert_eq!(changed("127.0.0.1:7102", "127.0.0.1:7109"), ["coordinator"]);
}
