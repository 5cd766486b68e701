//! A process is replaced while it runs requests that end within their deadline, but after the time at which the platform stops
//! the old process.

use crate::client::{self, new_id, Answer, Request};
use crate::executor::Executor;
use crate::platform::Platform;
use crate::world::World;
use crate::Verdict;
use std::time::Duration;

/// 396 ms of work on a core of speed 0.85, while the machine is 9.7 times slower.
const RUN_TIME: Duration = Duration::from_millis(4450);
/// Requests in the old process: one for each core.
const IN_OLD_PROCESS: usize = 6;
/// Requests that are sent afterwards, and the pause between them.
const LATER: usize = 12;
const LATER_PAUSE: Duration = Duration::from_millis(300);
/// Up to this share of the requests may be left without an answer on days with trouble.
const ALLOWED_SHARE: f64 = 0.003;

fn eligibility() -> Request {
    Request {
        id: new_id(),
        class: "eligibility",
        tenant: "belwijs",
        key: None,
        body: b"may 0612345678 be ported?",
        deadline: Duration::from_millis(4700),
        retry: false,
    }
}

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::new(world, None)?;
    let executor = Executor::start(world, "executor 1", RUN_TIME)?;
    executor.come_up();
    let first = platform.start(executor)?;
    platform.wait_until_ready(&first)?;
    std::thread::sleep(Duration::from_secs(1));

    // The new process has started and waits for its executor, which is not up yet.
    let second = if trouble {
        let executor = Executor::start(world, "executor 2", RUN_TIME)?;
        let second = platform.start(executor)?;
        world.wait_for("the new process to join its executor", Duration::from_secs(5), || {
            second.executor.has_joined()
        })?;
        Some(second)
    } else {
        None
    };
    let mut answers = Vec::new();
    for _ in 0..IN_OLD_PROCESS {
        answers.push(client::send(world, platform.address, eligibility()));
    }
    world.wait_for("the requests to run", Duration::from_secs(2), || world.runs().len() >= IN_OLD_PROCESS)?;
    let stopped = match &second {
        Some(second) => {
            second.executor.come_up();
            platform.wait_until_ready(second)?;
            Some(platform.stop_old(first))
        }
        None => None,
    };
    for _ in 0..LATER {
        std::thread::sleep(LATER_PAUSE);
        answers.push(client::send(world, platform.address, eligibility()));
    }
    let sent = answers.len();
    let mut lost = 0;
    for answer in answers {
        let answer = answer.join().map_err(|_| "a client failed")?;
        lost += usize::from(matches!(answer, Answer::Ended | Answer::Missing));
    }
    if let Some(stopped) = stopped {
        let _ = stopped.join();
    }
    let broken = lost as f64 > ALLOWED_SHARE * sent as f64;
    let verdict = if broken { "broken" } else { "held" };
    world.note(&format!("{verdict}: {lost} of {sent} requests got no answer"));
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
