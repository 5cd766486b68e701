//! A portal's order runs; the directory then names another tenant for the portal, and the portal retries the order.

use crate::ajp::{self, Forward};
use crate::client::new_id;
use crate::directory::Directory;
use crate::executor::Executor;
use crate::platform::{free_address, Platform};
use crate::world::World;
use crate::Verdict;
use std::time::Duration;

const KEY: &str = "a8b7c6d5e4f302115c0f6e1a2b3d4c59";
/// The key's window in the settings (milliseconds).
const WINDOW_MS: u64 = 10_191;
const RUN_TIME: Duration = Duration::from_millis(600);
const USER: &str = "portal-17";
/// The worker keeps what the directory says for this long unless an operator sets another time (`cache_s`).
const CACHE: Duration = Duration::from_secs(60);
/// The order's first attempt, the change in the directory and the retry, before and after the end of that time.
const FIRST_ATTEMPT_BEFORE: Duration = Duration::from_millis(1500);
const CHANGE_BEFORE: Duration = Duration::from_millis(400);
const RETRY_AFTER: Duration = Duration::from_millis(800);

fn order(deadline_ms: u64, retry: bool) -> Forward {
    Forward {
        id: new_id(),
        class: "port-submit",
        path: "/portal/submit",
        user: USER,
        key: Some(KEY),
        body: b"port 0612345678",
        deadline: Duration::from_millis(deadline_ms),
        retry,
    }
}

pub fn run(world: &World, trouble: bool) -> Result<Verdict, String> {
    let directory = Directory::start(world, "belwijs")?;
    let portal_address = free_address()?;
    let operator = format!(
        "[ajp]\nlisten = \"{portal_address}\"\n\
         [[ajp.route]]\npath = \"/portal/status\"\nclass = \"status-check\"\n\
         [[ajp.route]]\npath = \"/portal/submit\"\nclass = \"port-submit\"\n\
         [directory]\naddress = \"{}\"\nbase = \"ou=portals,dc=example,dc=nl\"\nidentity = \"remote-user\"\n\
         identity_attribute = \"uid\"\ntenant_attribute = \"o\"\n",
        directory.address
    );
    let mut platform = Platform::new(world, Some(operator))?;
    let executor = Executor::start(world, "executor", RUN_TIME)?;
    executor.come_up();
    let process = platform.start(executor)?;
    platform.wait_until_ready(&process)?;
    std::thread::sleep(Duration::from_secs(1));

    let status = Forward {
        class: "status-check",
        path: "/portal/status",
        key: None,
        body: b"how is 0612345678?",
        deadline: Duration::from_millis(4700),
        ..order(0, false)
    };
    let looked_up = world.elapsed();
    ajp::send(world, portal_address, &status);

    // The portal waits briefly, and its first attempt is answered with a failure before the run has ended.
    world.sleep_until(looked_up + CACHE - FIRST_ATTEMPT_BEFORE);
    ajp::send(world, portal_address, &order(400, false));
    world.wait_for("the order's run to end", Duration::from_secs(2), || {
        world.runs_of_key(KEY).iter().any(|run| run.result.is_some())
    })?;
    world.sleep_until(looked_up + CACHE - CHANGE_BEFORE);
    if trouble {
        directory.set_tenant("kustmobiel");
        world.note("directory: the portal's tenant is kustmobiel from now on");
    }
    world.sleep_until(looked_up + CACHE + RETRY_AFTER);
    ajp::send(world, portal_address, &order(1000, true));
    std::thread::sleep(Duration::from_secs(1));

    let runs = world.runs_of_key(KEY);
    for run in &runs {
        world.note(&format!("the order ran as {}", run.job));
    }
    if runs.is_empty() {
        return Err("the order did not run".to_owned());
    }
    let twice = runs.iter().skip(1).any(|run| run.arrived_ms <= runs[0].arrived_ms + WINDOW_MS);
    world.note(if twice { "broken: the order ran twice within its window" } else { "held: the order ran once" });
    Ok(if twice { Verdict::Broken } else { Verdict::Held })
}
