use super::*;

#[test]
fn review_finds_each_kind_of_violation() {
    let call = |token, begin_ms, end_ms, period| TaskCall {
        task: "t".into(),
        token,
        holder: "w".into(),
        begin_ms,
        end_ms,
        accepted: true,
        period,
    };
    assert!(find_violations(&[call(1, 0, 10, 1), call(1, 10, 20, 2), call(3, 20, 30, 3)]).is_empty());
    for (calls, kind) in [
        ([call(1, 0, 10, 1), call(2, 9, 20, 2)], "overlap"),
        ([call(2, 0, 10, 1), call(1, 10, 20, 2)], "token decreases"),
        ([call(1, 0, 10, 2), call(2, 10, 20, 2)], "is not after that of"),
    ] {
        let violations = find_violations(&calls);
        assert!(violations.len() == 1 && violations[0].contains(kind), "{violations:?}");
    }
}
