use super::*;

fn held(task: &str, token: u64) -> LeaseRef {
    LeaseRef { task: task.to_owned(), token }
}

fn task(ttl_ms: u64) -> Task {
    Task { name: "t".into(), ttl_ms, zones: Vec::new(), pause_ms: 100 }
}

fn open(process: u64) -> Command {
    Command::Open { name: "w".into(), zone: "z".into(), process, version: LATEST }
}

/// A story is a list of commands with their times, and what each came to, as text.
fn tell(story: Vec<(u64, Command, &str)>) -> LeaseStateMachine {
    let mut facts = LeaseStateMachine { version: LATEST, ..LeaseStateMachine::default() };
    for (at_ms, command, expected) in story {
        let entry = Entry { at_ms, command };
        // Through the log's own form: what is applied is what was written.
        let entry: Entry = serde_json::from_slice(&serde_json::to_vec(&entry).unwrap()).unwrap();
        let text = match facts.apply(&entry) {
            Ok(outcome) => format!("{outcome:?}"),
            Err(refusal) => format!("{refusal:?}"),
        };
        assert!(text.starts_with(expected), "{entry:?}: {text}, not {expected}");
    }
    let copy: LeaseStateMachine = serde_json::from_slice(&serde_json::to_vec(&facts).unwrap()).unwrap();
    assert_eq!(copy, facts, "a snapshot is not the same");
    facts
}

/// A new question each time.
fn begin(token: u64, safe: bool) -> Command {
    use std::sync::atomic::{AtomicU64, Ordering};
    static ATTEMPT: AtomicU64 = AtomicU64::new(1);
    let attempt = ATTEMPT.fetch_add(1, Ordering::Relaxed);
    Command::Begin { held: held("t", token), every_ms: 1000, safe, attempt }
}

#[test]
fn a_question_asked_again_has_the_same_answer_until_its_call_has_ended() {
    let same = || Command::Begin { held: held("t", 1), every_ms: 1000, safe: false, attempt: 5 };
    tell(vec![
        (0, tasks(1, 3000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (1, same(), "Begun(1)"),
        (5, same(), "Begun(1)"),
        (6, end(1, 1, CallOutcome::Done), "Done"),
        (7, same(), "NotDue"),
    ]);
}

fn end(token: u64, period: u64, ending: CallOutcome) -> Command {
    Command::End { held: held("t", token), period, ending }
}

fn free(token: u64) -> Command {
    Command::Free { held: held("t", token), why: ReleaseReason::Lapsed }
}

fn grant(session: u64) -> Command {
    Command::Grant { task: "t".into(), session }
}

fn tasks(epoch: u64, ttl_ms: u64) -> Command {
    Command::Tasks { epoch, tasks: vec![task(ttl_ms)] }
}

#[test]
fn one_holds_a_task_and_tokens_only_grow() {
    let facts = tell(vec![
        (0, grant(1), "NoTask"),
        (0, tasks(1, 3000), "Done"),
        (0, grant(1), "NoSession"),
        (1, open(7), "Opened(1)"),
        (1, open(7), "Opened(1)"),
        (1, open(8), "Opened(2)"),
        (2, grant(1), "Granted(LeaseRef { task: \"t\", token: 1 })"),
        (2, grant(2), "Taken"),
        (3, Command::Close { session: 1 }, "Holds"),
        (4, free(1), "Done"),
        (4, free(1), "NotHeld"),
        (5, grant(2), "Granted(LeaseRef { task: \"t\", token: 2 })"),
        (5, free(1), "NotHeld"),
        (6, Command::Transfer { held: held("t", 2), session: 9 }, "NoSession"),
        (
            6,
            Command::Transfer { held: held("t", 2), session: 1 },
            "Granted(LeaseRef { task: \"t\", token: 3 })",
        ),
        (7, Command::Close { session: 2 }, "Done"),
    ]);
    assert_eq!((facts.leases["t"].session, facts.leases["t"].token), (1, 3));
}

#[test]
fn a_shorter_time_to_live_still_counts_whole_for_a_new_leader() {
    let facts = tell(vec![
        (0, tasks(1, 9000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (1, tasks(2, 2000), "Done"),
        (1, Command::Progress { kept: vec![(1, 7), (2, 5)] }, "Done"),
        (1, Command::Raise { version: LATEST }, "Done"),
        (1, tasks(2, 5000), "OldEpoch"),
    ]);
    assert_eq!((facts.leases["t"].ttl_ms, facts.leases["t"].whole_ms), (2000, 9000));
}

#[test]
fn a_period_is_begun_once_unless_its_call_surely_had_no_effect() {
    let ready = [(0, tasks(1, 3000), "Done"), (0, open(1), "Opened"), (0, grant(1), "Granted")];
    let with = |more: Vec<(u64, Command, &'static str)>| tell(ready.iter().cloned().chain(more).collect());
    // Of a call of unknown outcome operators hear once, and it is not made again in its period.
    let facts = with(vec![
        (10, begin(1, false), "Begun(1)"),
        (20, begin(1, false), "NotDue(990)"),
        (30, end(1, 1, CallOutcome::Unknown), "Done"),
        (40, begin(1, false), "NotDue(970)"),
        (1010, begin(1, false), "Begun(2)"),
        (1020, end(1, 2, CallOutcome::NotDone), "Done"),
        (1030, begin(1, false), "Begun(2)"),
        (1040, end(1, 2, CallOutcome::Done), "Done"),
        (1050, end(1, 2, CallOutcome::Unknown), "NotHeld"),
        (1060, begin(1, false), "NotDue"),
    ]);
    assert_eq!((facts.doubts.len(), facts.doubts[0].period, facts.doubts_in_all), (1, 1, 1));
    // A holder dies in its call: the next one may make a safe call again, and no other.
    let safe = with(vec![
        (10, begin(1, true), "Begun(1)"),
        (20, begin(1, true), "NotDue"),
        (30, free(1), "Done"),
        (30, grant(1), "Granted"),
        (40, begin(1, true), "NotHeld"),
        (40, begin(2, true), "Begun(1)"),
        (50, end(1, 1, CallOutcome::Done), "NotHeld"),
        (60, end(2, 1, CallOutcome::Done), "Done"),
    ]);
    assert!(safe.doubts.is_empty());
    let unsafe_one = with(vec![
        (10, begin(1, false), "Begun(1)"),
        (30, free(1), "Done"),
        (30, grant(1), "Granted"),
        (40, begin(2, false), "NotDue"),
        (1010, begin(2, false), "Begun(2)"),
    ]);
    assert_eq!(unsafe_one.doubts.iter().map(|d| d.period).collect::<Vec<_>>(), [1]);
}

#[test]
fn a_holder_that_fails_waits_twice_as_long_each_time_until_it_has_done_its_task() {
    let failed = |token| Command::Free { held: held("t", token), why: ReleaseReason::Failed };
    let mut story = vec![(0, tasks(1, 3000), "Done"), (0, open(1), "Opened(1)")];
    for token in 1..=9 {
        story.extend([(1000, grant(1), "Granted"), (1000, failed(token), "Done")]);
    }
    let facts = tell(story.clone());
    // The task's pause is 100 ms, and the longest is 64 times that.
    assert_eq!(facts.failed["t"]["w"], Failed { times: 9, until_ms: 1000 + 6400 });
    story.extend([(1100, grant(1), "Granted"), (1100, begin(10, true), "Begun(1)")]);
    story.extend([(1101, end(10, 1, CallOutcome::Done), "Done"), (1102, failed(10), "Done")]);
    let facts = tell(story.clone());
    assert_eq!(facts.failed["t"]["w"], Failed { times: 1, until_ms: 1202 }, "it begins anew after a success");
    // An hour later it is forgotten, and with its task at once.
    story.extend([(3_700_000, grant(1), "Granted"), (3_700_000, failed(11), "Done")]);
    assert_eq!(tell(story.clone()).failed["t"]["w"].times, 1);
    story.push((3_700_001, Command::Tasks { epoch: 2, tasks: Vec::new() }, "Done"));
    assert!(tell(story).failed.is_empty());
}

#[test]
fn a_clock_that_steps_an_hour_moves_the_log_s_time_forward_only_and_makes_no_call_twice() {
    const HOUR: u64 = 3_600_000;
    let facts = tell(vec![
        (HOUR, tasks(1, 3000), "Done"),
        (HOUR, open(1), "Opened"),
        (HOUR, grant(1), "Granted"),
        (HOUR, begin(1, false), "Begun(1)"),
        (HOUR, end(1, 1, CallOutcome::Done), "Done"),
        // Back by an hour: the period that was done is not begun again, and the next one waits no hour.
        (100, begin(1, false), "NotDue(1000)"),
        (HOUR + 1000, begin(1, false), "Begun(2)"),
        (HOUR + 1001, end(1, 2, CallOutcome::Done), "Done"),
        // Forward by an hour: what was missed is not made up for.
        (3 * HOUR, begin(1, false), "Begun(3)"),
        (3 * HOUR, end(1, 3, CallOutcome::Done), "Done"),
        (3 * HOUR + 1, begin(1, false), "NotDue(999)"),
    ]);
    assert_eq!((facts.at_ms, facts.doubts_in_all), (3 * HOUR + 1, 0));
}

#[test]
fn periods_keep_their_grid_and_begin_anew_after_a_gap() {
    tell(vec![
        (0, tasks(1, 3000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (0, begin(1, true), "Begun(1)"),
        (1, end(1, 1, CallOutcome::Done), "Done"),
        (1400, begin(1, true), "Begun(2)"),
        (1401, end(1, 2, CallOutcome::Done), "Done"),
        (2000, begin(1, true), "Begun(3)"),
        (2001, end(1, 3, CallOutcome::Done), "Done"),
        // Nobody was there for a while: no calls are made up for.
        (9300, begin(1, true), "Begun(4)"),
        (9301, end(1, 4, CallOutcome::Done), "Done"),
        (9400, begin(1, true), "NotDue(900)"),
    ]);
}

#[test]
fn what_is_not_agreed_or_out_of_bounds_changes_nothing() {
    let mut facts = tell(vec![(0, tasks(1, 3000), "Done"), (0, open(1), "Opened"), (0, grant(1), "Granted")]);
    facts.version = 1;
    let before = facts.clone();
    let later: Entry = serde_json::from_str(r#"{"at_ms":0,"do":"levitate","height":3}"#).unwrap();
    assert_eq!(facts.apply(&later), Err(Refusal::Version));
    assert_eq!(facts.apply(&Entry { at_ms: 0, command: begin(1, true) }), Err(Refusal::Version));
    for name in ["", "a b", &"x".repeat(65)] {
        let command = Command::Open { name: name.into(), zone: "z".into(), process: 2, version: 1 };
        assert!(matches!(facts.apply(&Entry { at_ms: 0, command }), Err(Refusal::Name(_))), "{name}");
    }
    assert_eq!(facts, before);
    for process in 2..=SESSIONS_MOST as u64 {
        facts.apply(&Entry { at_ms: 0, command: open(process) }).unwrap();
    }
    assert!(matches!(facts.apply(&Entry { at_ms: 0, command: open(99_999) }), Err(Refusal::Full(_))));
}
