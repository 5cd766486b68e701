use super::*;
use port_worker::fleet::frame::{CallOutcome, LeaseRef};

fn lease(task: &str, token: u64) -> LeaseRef {
    LeaseRef { task: task.to_owned(), token }
}

fn task(ttl_ms: u64) -> Task {
    Task { name: "t".into(), ttl_ms, zones: Vec::new(), backoff_ms: 100 }
}

fn open(incarnation: u64) -> Command {
    Command::OpenSession { name: "w".into(), zone: "z".into(), incarnation, version: LATEST_VERSION }
}

/// Applies commands at their times, and checks that the debug text of each result starts with the expected text.
fn run(steps: Vec<(u64, Command, &str)>) -> LeaseStateMachine {
    let mut state = LeaseStateMachine { version: LATEST_VERSION, ..LeaseStateMachine::default() };
    for (at_ms, command, expected) in steps {
        let entry = LogEntry { at_ms, command };
        // Encode and decode as in the log, so that the stored form is what is applied.
        let entry: LogEntry = serde_json::from_slice(&serde_json::to_vec(&entry).unwrap()).unwrap();
        let text = match state.apply(&entry) {
            Ok(outcome) => format!("{outcome:?}"),
            Err(rejection) => format!("{rejection:?}"),
        };
        assert!(
            text.starts_with(expected),
            "{entry:?}: the result is {text}; expected it to start with {expected}"
        );
    }
    let copy: LeaseStateMachine = serde_json::from_slice(&serde_json::to_vec(&state).unwrap()).unwrap();
    assert_eq!(copy, state, "the state changed when it was encoded as a snapshot and decoded");
    state
}

/// Returns a begin request with a new attempt number each time.
fn begin(token: u64, idempotent: bool) -> Command {
    use std::sync::atomic::{AtomicU64, Ordering};
    static ATTEMPT: AtomicU64 = AtomicU64::new(1);
    let attempt = ATTEMPT.fetch_add(1, Ordering::Relaxed);
    Command::BeginPeriod { lease: lease("t", token), every_ms: 1000, idempotent, attempt }
}

#[test]
fn a_repeated_begin_request_gets_the_same_answer_until_its_call_has_ended() {
    let same =
        || Command::BeginPeriod { lease: lease("t", 1), every_ms: 1000, idempotent: false, attempt: 5 };
    run(vec![
        (0, tasks(1, 3000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (1, same(), "Begun(1)"),
        (5, same(), "Begun(1)"),
        (6, end(1, 1, CallOutcome::Done), "Done"),
        (7, same(), "NotDue"),
    ]);
}

fn end(token: u64, period: u64, outcome: CallOutcome) -> Command {
    Command::EndPeriod { lease: lease("t", token), period, outcome }
}

fn expire(token: u64) -> Command {
    Command::ReleaseLease { lease: lease("t", token), reason: ReleaseReason::Expired }
}

fn grant(session: u64) -> Command {
    Command::GrantLease { task: "t".into(), session: SessionId(session) }
}

fn progress(member: u64, index: u64) -> MemberProgress {
    MemberProgress { member: MemberId(member), index }
}

fn tasks(epoch: u64, ttl_ms: u64) -> Command {
    Command::SetTasks { epoch, tasks: vec![task(ttl_ms)] }
}

#[test]
fn a_task_has_one_holder_and_tokens_only_increase() {
    let state = run(vec![
        (0, grant(1), "UnknownTask"),
        (0, tasks(1, 3000), "Done"),
        (0, grant(1), "UnknownSession"),
        (1, open(7), "Opened(SessionId(1))"),
        (1, open(7), "Opened(SessionId(1))"),
        (1, open(8), "Opened(SessionId(2))"),
        (2, grant(1), "Granted(LeaseRef { task: \"t\", token: 1 })"),
        (2, grant(2), "AlreadyHeld"),
        (3, Command::CloseSession { session: SessionId(1) }, "StillHoldsLeases"),
        (4, expire(1), "Done"),
        (4, expire(1), "NotHeld"),
        (5, grant(2), "Granted(LeaseRef { task: \"t\", token: 2 })"),
        (5, expire(1), "NotHeld"),
        (6, Command::TransferLease { lease: lease("t", 2), session: SessionId(9) }, "UnknownSession"),
        (
            6,
            Command::TransferLease { lease: lease("t", 2), session: SessionId(1) },
            "Granted(LeaseRef { task: \"t\", token: 3 })",
        ),
        (7, Command::CloseSession { session: SessionId(2) }, "Done"),
    ]);
    assert_eq!((state.leases["t"].session, state.leases["t"].token), (SessionId(1), 3));
}

#[test]
fn a_new_leader_waits_the_longest_ttl_after_the_ttl_was_shortened() {
    let state = run(vec![
        (0, tasks(1, 9000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (1, tasks(2, 2000), "Done"),
        (1, Command::RecordProgress { persisted: vec![progress(1, 7), progress(2, 5)] }, "Done"),
        (1, Command::RaiseVersion { version: LATEST_VERSION }, "Done"),
        (1, tasks(2, 5000), "StaleEpoch"),
    ]);
    assert_eq!((state.leases["t"].ttl_ms, state.leases["t"].max_ttl_ms), (2000, 9000));
}

#[test]
fn a_period_is_begun_once_unless_its_call_had_no_effect_or_is_idempotent() {
    let setup = [(0, tasks(1, 3000), "Done"), (0, open(1), "Opened"), (0, grant(1), "Granted")];
    let run_after_setup =
        |more: Vec<(u64, Command, &'static str)>| run(setup.iter().cloned().chain(more).collect());
    // A call with an indeterminate outcome is listed once, and not repeated within its period.
    let state = run_after_setup(vec![
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
    assert_eq!(
        (
            state.indeterminate_calls.len(),
            state.indeterminate_calls[0].period,
            state.indeterminate_calls_total
        ),
        (1, 1, 1)
    );
    // A holder loses its lease during its call: the next holder may repeat the call only if it is idempotent.
    let idempotent = run_after_setup(vec![
        (10, begin(1, true), "Begun(1)"),
        (20, begin(1, true), "NotDue"),
        (30, expire(1), "Done"),
        (30, grant(1), "Granted"),
        (40, begin(1, true), "NotHeld"),
        (40, begin(2, true), "Begun(1)"),
        (50, end(1, 1, CallOutcome::Done), "NotHeld"),
        (60, end(2, 1, CallOutcome::Done), "Done"),
    ]);
    assert!(idempotent.indeterminate_calls.is_empty());
    let not_idempotent = run_after_setup(vec![
        (10, begin(1, false), "Begun(1)"),
        (30, expire(1), "Done"),
        (30, grant(1), "Granted"),
        (40, begin(2, false), "NotDue"),
        (1010, begin(2, false), "Begun(2)"),
    ]);
    assert_eq!(not_idempotent.indeterminate_calls.iter().map(|d| d.period).collect::<Vec<_>>(), [1]);
}

#[test]
fn the_backoff_of_a_failing_holder_doubles_until_it_succeeds() {
    let failed = |token| Command::ReleaseLease { lease: lease("t", token), reason: ReleaseReason::Failed };
    let mut steps = vec![(0, tasks(1, 3000), "Done"), (0, open(1), "Opened(SessionId(1))")];
    for token in 1..=9 {
        steps.extend([(1000, grant(1), "Granted"), (1000, failed(token), "Done")]);
    }
    let state = run(steps.clone());
    // The task's backoff is 100 ms; the maximum is 64 times that.
    assert_eq!(state.failures["t"]["w"], FailureRecord { count: 9, backoff_until_ms: 1000 + 6400 });
    steps.extend([(1100, grant(1), "Granted"), (1100, begin(10, true), "Begun(1)")]);
    steps.extend([(1101, end(10, 1, CallOutcome::Done), "Done"), (1102, failed(10), "Done")]);
    let state = run(steps.clone());
    assert_eq!(
        state.failures["t"]["w"],
        FailureRecord { count: 1, backoff_until_ms: 1202 },
        "the backoff after a success is not the task's own 100 ms"
    );
    // Failures are forgotten after an hour, and immediately when their task is removed.
    steps.extend([(3_700_000, grant(1), "Granted"), (3_700_000, failed(11), "Done")]);
    assert_eq!(run(steps.clone()).failures["t"]["w"].count, 1);
    steps.push((3_700_001, Command::SetTasks { epoch: 2, tasks: Vec::new() }, "Done"));
    assert!(run(steps).failures.is_empty());
}

#[test]
fn a_clock_step_of_an_hour_repeats_no_call_and_never_moves_the_log_time_back() {
    const HOUR: u64 = 3_600_000;
    let state = run(vec![
        (HOUR, tasks(1, 3000), "Done"),
        (HOUR, open(1), "Opened"),
        (HOUR, grant(1), "Granted"),
        (HOUR, begin(1, false), "Begun(1)"),
        (HOUR, end(1, 1, CallOutcome::Done), "Done"),
        // Back by an hour: the completed period is not repeated, and the next one is not delayed by an hour.
        (100, begin(1, false), "NotDue(1000)"),
        (HOUR + 1000, begin(1, false), "Begun(2)"),
        (HOUR + 1001, end(1, 2, CallOutcome::Done), "Done"),
        // Forward by an hour: missed periods are not caught up.
        (3 * HOUR, begin(1, false), "Begun(3)"),
        (3 * HOUR, end(1, 3, CallOutcome::Done), "Done"),
        (3 * HOUR + 1, begin(1, false), "NotDue(999)"),
    ]);
    assert_eq!((state.log_time_ms, state.indeterminate_calls_total), (3 * HOUR + 1, 0));
}

#[test]
fn due_times_stay_one_period_apart_and_restart_after_a_missed_period() {
    run(vec![
        (0, tasks(1, 3000), "Done"),
        (0, open(1), "Opened"),
        (0, grant(1), "Granted"),
        (0, begin(1, true), "Begun(1)"),
        (1, end(1, 1, CallOutcome::Done), "Done"),
        (1400, begin(1, true), "Begun(2)"),
        (1401, end(1, 2, CallOutcome::Done), "Done"),
        (2000, begin(1, true), "Begun(3)"),
        (2001, end(1, 3, CallOutcome::Done), "Done"),
        // There was no holder from 2001 ms to 9300 ms: missed periods are not caught up.
        (9300, begin(1, true), "Begun(4)"),
        (9301, end(1, 4, CallOutcome::Done), "Done"),
        (9400, begin(1, true), "NotDue(900)"),
    ]);
}

#[test]
fn commands_of_later_versions_or_out_of_bounds_change_nothing() {
    let mut state = run(vec![(0, tasks(1, 3000), "Done"), (0, open(1), "Opened"), (0, grant(1), "Granted")]);
    state.version = 1;
    let before = state.clone();
    let later: LogEntry = serde_json::from_str(r#"{"at_ms":0,"do":"later-command","argument":3}"#).unwrap();
    assert_eq!(state.apply(&later), Err(Rejection::UnsupportedVersion));
    assert_eq!(
        state.apply(&LogEntry { at_ms: 0, command: begin(1, true) }),
        Err(Rejection::UnsupportedVersion)
    );
    for name in ["", "a b", &"x".repeat(65)] {
        let command =
            Command::OpenSession { name: name.into(), zone: "z".into(), incarnation: 2, version: 1 };
        assert!(
            matches!(state.apply(&LogEntry { at_ms: 0, command }), Err(Rejection::InvalidName(_))),
            "{name}"
        );
    }
    assert_eq!(state, before);
    for incarnation in 2..=MAX_SESSIONS as u64 {
        state.apply(&LogEntry { at_ms: 0, command: open(incarnation) }).unwrap();
    }
    assert!(matches!(
        state.apply(&LogEntry { at_ms: 0, command: open(99_999) }),
        Err(Rejection::TooManySessions(_))
    ));
}
