//! A process that falls silent is replaced, and its successor is replaced in turn. An order that ran in the first process is
//! retried within its window.

use crate::client::{self, new_id, Request};
use crate::executor::Executor;
use crate::platform::Platform;
use crate::world::World;
use crate::Verdict;
use std::time::Duration;

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// The key's window in the settings (milliseconds).
const WINDOW_MS: u64 = 10_191;
const RUN_TIME: Duration = Duration::from_millis(300);
/// When the second replacement begins, and when the order is retried, after its first attempt.
const SECOND_REPLACEMENT: Duration = Duration::from_millis(3500);
const RETRY: Duration = Duration::from_millis(4500);

fn order(retry: bool) -> Request {
    Request {
        id: new_id(),
        class: "port-submit",
        tenant: "belwijs",
        key: Some(KEY),
        body: b"port 0612345678 to belwijs",
        deadline: Duration::from_millis(3400),
        retry,
    }
}

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::new(world, None)?;
    let executor = |name: &str| -> Result<Executor, String> {
        let executor = Executor::start(world, name, RUN_TIME)?;
        executor.come_up();
        Ok(executor)
    };
    let first = platform.start(executor("executor 1")?)?;
    platform.wait_until_ready(&first)?;
    std::thread::sleep(Duration::from_secs(1));

    let first_attempt = order(false);
    let id = first_attempt.id.clone();
    let began = world.elapsed();
    let first_answer = client::send(world, platform.address, first_attempt);
    world.wait_for("the order's run to go on after its call", Duration::from_secs(2), || {
        first.executor.call_has_ended(&id)
    })?;
    if trouble {
        first.stop();
        world.note("process 1 is stopped and falls silent");
    }
    world.wait_for("the order's run to end", Duration::from_secs(2), || {
        world.runs_of_key(KEY).iter().any(|run| run.result.is_some())
    })?;

    let second = platform.start(executor("executor 2")?)?;
    platform.wait_until_ready(&second)?;
    let first_stopped = platform.stop_old(first);

    world.sleep_until(began + SECOND_REPLACEMENT);
    let third = platform.start(executor("executor 3")?)?;
    platform.wait_until_ready(&third)?;
    let second_stopped = platform.stop_old(second);

    world.sleep_until(began + RETRY);
    let retry_answer = client::send(world, platform.address, order(true));
    let _ = first_answer.join();
    let _ = retry_answer.join();
    let _ = first_stopped.join();
    let _ = second_stopped.join();

    let runs = world.runs_of_key(KEY);
    for run in &runs {
        world.note(&format!("the order ran as {} at {}", run.job, run.executor));
    }
    let twice = runs.iter().skip(1).any(|run| run.arrived_ms <= runs[0].arrived_ms + WINDOW_MS);
    world.note(if twice { "broken: the order ran twice within its window" } else { "held: the order ran once" });
    Ok(if twice { Verdict::Broken } else { Verdict::Held })
}
