use super::*;

#[test]
fn review_finds_each_kind_of_violation() {
    let act = |token, begin_ms, end_ms, period| TaskCall {
        task: "t".into(),
        token,
        holder: "w".into(),
        begin_ms,
        end_ms,
        accepted: true,
        period,
    };
    assert!(find_violations(&[act(1, 0, 10, 1), act(1, 10, 20, 2), act(3, 20, 30, 3)]).is_empty());
    for (acts, kind) in [
        ([act(1, 0, 10, 1), act(2, 9, 20, 2)], "overlap"),
        ([act(2, 0, 10, 1), act(1, 10, 20, 2)], "goes down"),
        ([act(1, 0, 10, 2), act(2, 10, 20, 2)], "comes in the period"),
    ] {
        let wrong = find_violations(&acts);
        assert!(wrong.len() == 1 && wrong[0].contains(kind), "{wrong:?}");
    }
}
