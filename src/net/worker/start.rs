//! Starts the dispatcher once the executor is up.

use super::Worker;
use crate::dispatch::{Dispatcher, Input};
use crate::hot_restart::{Event, FingerprintKey, IndeterminateKeys};
use crate::interface::Settings;
use crate::net::io::timer_wheel::Timer;
use crate::net::lifecycle::hot_restart::HotRestart;
use crate::net::upstreams::executor::Welcome;
use crate::net::RESULT_PART;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

impl Worker {
    /// Starts the dispatcher where the executor has said that it is up, as warm as it says.
    pub(super) fn start_dispatcher(&mut self, now: f64, inputs: &mut Vec<Input>) {
        // AJP servers say nothing of their start: they are taken to be up and warm.
        let servers = self.ajp_servers.as_ref().map(|_| Welcome { cold: false, started: now });
        let Some(welcome) = servers.or(self.executor.welcome()) else { return };
        let settings = self.settings_at_start(now, welcome);
        let result_bytes = self.config.limits.memory_mb * BYTES_PER_MB / RESULT_PART;
        let mut commands = Vec::new();
        // The controller's time begins now, not with the executor: with a past start its first run looks hung.
        let mut core = Dispatcher::new(settings, now, result_bytes as usize, &mut commands);
        // Random keys: a client can't make up bodies that have the same fingerprint.
        let random = RandomState::new();
        core.set_fingerprint_key(FingerprintKey(random.hash_one(1), random.hash_one(2)));
        core.add_metrics(&self.early_metrics);
        core.set_indeterminate_keys(
            self.hot_restart.as_ref().map_or(IndeterminateKeys::None, HotRestart::indeterminate_keys),
        );
        if let Some(leaving) = &self.shutdown {
            let shutdown = Input::Shutdown { noticed_at: leaving.at.notice, stop_at: leaving.at.kill_at };
            core.handle(now, [shutdown], &mut commands);
        }
        self.dispatcher = Some(core);
        for command in commands {
            self.execute(now, command, &mut Vec::new());
        }
        self.state.fit = self.healthy;
        self.wheel.set(now, 0.0, Timer::Beat);
        self.executor.ask_gauges();
        self.on_hot_restart_event(now, Event::ReadyToServe, inputs);
    }

    fn settings_at_start(&mut self, now: f64, welcome: Welcome) -> Settings {
        let mut settings = self.settings.clone();
        let started_s = now - welcome.started;
        settings.cold = welcome.cold && started_s < settings.warm_up_s;
        let warmth = if settings.cold { "cold" } else { "warm" };
        self.log.line(&format!("executor is up, {warmth}, started {started_s:.3} s ago"));
        settings
    }
}
