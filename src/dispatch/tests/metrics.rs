//! Property test: the operators' counters under random histories.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Checks after every step that the received requests equal served + rejected + failed + in flight.
#[test]
fn each_request_is_counted_once_at_any_instant() {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let step = (0..10u8, 0..60u64, 0..4usize, 1..40u32);
    let steps = proptest::collection::vec(step, 1..400);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ran = runner.run(&steps, |steps| {
        let (mut h, mut received, mut started) = (Harness::new(), 0, 0);
        for (kind, number, selector, ms) in steps {
            h.now += f64::from(ms) / 1000.0;
            let any_name: Rc<str> = format!("r{number}").into();
            let outcome = [Outcome::Ok, Outcome::Error, Outcome::NotStarted, Outcome::Cancelled][selector];
            let body: Rc<[u8]> = Rc::from(*b"!");
            let out = match kind {
                // Generates names that are already in flight, repeated keys, and sometimes another body for the same
                // key.
                0..=3 => {
                    received += 1;
                    let mut request = request(number, ["", "a", "b", "c"][selector]);
                    request.ticket = Ticket(received);
                    request.time_left_s = f64::from(ms) / 10.0;
                    if number == 7 {
                        request.body = body;
                    }
                    h.input(Input::Arrived(request))
                }
                4 => h.input(Input::ClientDisconnected(Ticket(number))),
                5 => h.input(Input::NeverRan { name: any_name }),
                6 => h.input(Input::RunsLost),
                7 => h.input(Input::CommandsLost { from: h.now - 0.1, to: h.now + 0.1 }),
                8 => h.input(Input::Woken(Gauges::default())),
                _ => h.input(Input::RunEnded { name: any_name, outcome, result: Some(body) }),
            };
            // Commands that are resent after a lost connection belong to the same run.
            started += if kind == 7 { 0 } else { runs(&out) as u64 };
            let counts = h.dispatcher.metrics().classes();
            let ended: u64 = counts.iter().map(crate::dispatch::metrics::ClassCounters::ended).sum();
            prop_assert_eq!(received, ended + h.dispatcher.pending_responses() as u64);
            prop_assert_eq!(h.dispatcher.pending_responses(), h.dispatcher.in_flight.by_ticket.len());
            prop_assert_eq!(started, counts.iter().map(|c| c.dispatches).sum::<u64>());
        }
        h.advance(12.0);
        prop_assert_eq!(h.dispatcher.pending_responses(), 0);
        Ok(())
    });
    ran.unwrap();
}
