//! Races between attempts with one idempotency key and the end of its run, of its window or of their callers.

use super::*;

fn start_with_window(window_s: f64) -> WorkerUnderTest {
    WORKER.start_with(|c| c["settings"]["profiles"][1]["windowS"] = json!(window_s), None)
}

fn order<'a>() -> RequestBuilder<'a> {
    RequestBuilder::new("order").key("5c0f6e1a")
}

/// Guards against dropping a key whose window ends long before its run does: a retry would run again.
#[test]
fn key_is_retained_until_its_run_ends_however_short_its_window() {
    for window_s in [0.0, 0.1] {
        let worker = start_with_window(window_s);
        let mut executor = worker.accept_link();
        let (mut first, job) = start_run(&worker, &mut executor, &order());
        // Longer than the interval of one second at which expired keys are removed.
        sleep_past(Duration::from_millis(1300));
        let mut retry = Client::connect(worker.http);
        retry.send(&order());
        executor.expect_no_command(&worker);
        executor.send_exit(&job, "PASS", "once");
        assert_eq!(
            (first.read_response().body, retry.read_response().body),
            (b"once".to_vec(), b"once".to_vec())
        );
    }
}

/// Guards against a second run, or a retry without its result, when the retry and the end of the run arrive in one turn.
#[test]
fn retry_handled_with_the_end_of_its_run_gets_its_result() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut first, job) = start_run(&worker, &mut executor, &order());
    let mut retry = Client::connect(worker.http);
    assert_eq!(retry.check_health(), 200);
    for round in 0..2 {
        worker.suspend();
        // In the second round the run has already ended.
        if round == 0 {
            executor.send_exit(&job, "PASS", "once");
        }
        retry.send(&order());
        worker.resume();
        assert_eq!(retry.read_response().body, b"once");
    }
    assert_eq!(first.read_response().body, b"once");
    executor.expect_no_command(&worker);
}

/// Guards against a second run when the first caller resets its connection, its run ends, and the retry arrives, all in
/// one turn.
#[test]
fn reset_run_end_and_retry_in_one_turn_give_one_run() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (first, job) = start_run(&worker, &mut executor, &order());
    worker.suspend();
    first.reset();
    executor.send_exit(&job, "PASS", "once");
    let mut retry = Client::connect(worker.http);
    retry.send(&order());
    worker.resume();
    assert_eq!(retry.read_response().body, b"once");
    executor.expect_no_command(&worker);
}

/// An attempt that arrived after the window of its key is queued; then another is read that arrived within the window.
/// Guards against a second run for the latter.
#[test]
fn attempt_within_the_window_read_after_a_later_one_does_not_run_again() {
    let worker = start_with_window(0.3);
    let mut executor = worker.accept_link();
    executor.gauges = [1.0, 4.0, 0.1, 3.0];
    let (mut first, job) = start_run(&worker, &mut executor, &order());
    let arrived_ms = unix_ms();
    executor.send_exit(&job, "PASS", "once");
    assert_eq!(first.read_response().body, b"once");
    // Both run slots are taken, so that the late attempt is queued.
    let busy: Vec<(Client, Value)> =
        (0..2).map(|_| start_run(&worker, &mut executor, &RequestBuilder::new("look"))).collect();
    sleep_past(Duration::from_millis(500));
    let mut late = Client::connect(worker.http);
    late.send(&order());
    assert_eq!(worker.check_health(), 200);
    let mut attempt_within = Client::connect(worker.http);
    let reply = attempt_within.request(&order().arrived_ms(arrived_ms));
    assert_eq!((reply.status, reply.body), (200, b"once".to_vec()));
    // Now the late attempt may run.
    for (mut client, job) in busy {
        executor.send_exit(&job, "PASS", "");
        assert_eq!(client.read_response().status, 200);
    }
    executor.serve_next(&mut late, "anew");
}
