//! Starts the dispatcher once the executor is up.

use super::Worker;
use crate::dispatch::{Dispatcher, Input};
use crate::hot_restart::{Event, FingerprintKey, IndeterminateKeys};
use crate::interface::Settings;
use crate::log::LogEvent;
use crate::net::events::ExecutorEvent;
use crate::net::io::timer_wheel::Timer;
use crate::net::lifecycle::hot_restart::HotRestart;
use crate::net::upstreams::executor::Welcome;
use crate::net::RESULT_MEMORY_DIVISOR;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

impl Worker {
    /// Starts the dispatcher once the executor has reported that it is up and whether it is cold.
    pub(super) fn start_dispatcher(&mut self, now: f64, inputs: &mut Vec<Input>) {
        let Some(welcome) = self.upstreams.welcome(now) else { return };
        let settings = self.settings_at_start(now, welcome);
        let result_bytes =
            self.configuration.platform.limits.memory_mb * BYTES_PER_MB / RESULT_MEMORY_DIVISOR;
        let mut commands = Vec::new();
        // The controller starts at the current time, not at the executor's start: with a start in the past, it would
        // take the first run for a hung one.
        let mut dispatcher = Dispatcher::new(settings, now, result_bytes as usize, &mut commands);
        // Random keys, so that clients can't construct bodies with equal fingerprints.
        let random = RandomState::new();
        dispatcher.set_fingerprint_key(FingerprintKey(random.hash_one(1), random.hash_one(2)));
        dispatcher.add_metrics(&self.early_metrics);
        dispatcher.set_indeterminate_keys(
            self.hot_restart.as_ref().map_or(IndeterminateKeys::None, HotRestart::indeterminate_keys),
        );
        if let Some(shutdown) = &self.shutdown {
            let input = Input::Shutdown {
                noticed_at: shutdown.timeline.noticed_at,
                stop_at: shutdown.timeline.kill_at,
            };
            dispatcher.handle(now, [input], &mut commands);
        }
        self.dispatcher = Some(dispatcher);
        for command in commands {
            self.execute(now, command, &mut Vec::new());
        }
        self.wheel.set(now, 0.0, Timer::Heartbeat);
        self.upstreams.executor.request_gauges();
        self.on_hot_restart_event(now, Event::ReadyToServe, inputs);
    }

    fn settings_at_start(&mut self, now: f64, welcome: Welcome) -> Settings {
        let mut settings = self.configuration.settings.clone();
        let executor_age_s = now - welcome.started;
        settings.cold = welcome.cold && executor_age_s < settings.warm_up_s;
        ExecutorEvent::Ready { cold: settings.cold, started_ago_s: executor_age_s }.emit();
        settings
    }
}
