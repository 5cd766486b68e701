//! The event loop: signals, a single timer, and a turn of the worker whenever a source is ready or a timer is due.

use super::{Worker, STALL_THRESHOLD_S};
use crate::config::StartupOptions;
use crate::log::LogHandle;
use crate::net::error::WorkerError;
use crate::net::io::poll::{Poll, ReadyEvents};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle, RegistrationToken};
use std::time::Duration;

/// Runs a port worker until it has shut down. `log` is the handle of this process's log.
///
/// # Errors
/// The configuration is invalid, a socket can't be bound, or the event loop fails.
pub fn run(options: StartupOptions, log: LogHandle) -> Result<(), WorkerError> {
    let mut event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().map_err(WorkerError::EventLoop)?;
    let handle = event_loop.handle();
    // Signals are watched before anything else, since a shutdown notice that comes earlier kills the process.
    watch_signals(&handle)?;
    let config = options.config()?;
    let poll = Poll::new(handle.clone(), config.socket_budget());
    let mut worker = Worker::new(options, config, &poll, log)?;
    worker.find_predecessor(worker.clock.now())?;
    let mut timer = WheelTimer::new(handle);
    let mut ready_events = ReadyEvents::default();
    worker.run_turn(&mut ready_events);
    while !worker.loop_state.finished {
        let next = worker.wheel.next();
        timer.set(&worker, next)?;
        event_loop.dispatch(None, &mut ready_events).map_err(WorkerError::EventLoop)?;
        if next.is_some_and(|due| worker.clock.now() > due + STALL_THRESHOLD_S) {
            // The process stalled, so the readiness that the wait returned predates the stall: poll again.
            event_loop.dispatch(Some(Duration::ZERO), &mut ready_events).map_err(WorkerError::EventLoop)?;
        }
        worker.run_turn(&mut ready_events);
    }
    Ok(())
}

fn watch_signals(handle: &LoopHandle<'static, ReadyEvents>) -> Result<(), WorkerError> {
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(WorkerError::Signals)?;
    handle
        .insert_source(signals, |event, (), ready_events: &mut ReadyEvents| match event.signal() {
            Signal::SIGHUP => ready_events.reload = true,
            _ => ready_events.shutdown = true,
        })
        .map_err(|insert_error| WorkerError::WatchSignals(insert_error.error))?;
    Ok(())
}

/// The loop's only timer. It is registered again only when the wheel's next expiry has changed.
struct WheelTimer {
    handle: LoopHandle<'static, ReadyEvents>,
    token: Option<RegistrationToken>,
    due: Option<f64>,
}

impl WheelTimer {
    fn new(handle: LoopHandle<'static, ReadyEvents>) -> WheelTimer {
        WheelTimer { handle, token: None, due: None }
    }

    fn set(&mut self, worker: &Worker, due: Option<f64>) -> Result<(), WorkerError> {
        if due == self.due {
            return Ok(());
        }
        if let Some(token) = self.token.take() {
            self.handle.remove(token);
        }
        if let Some(at) = due {
            let timer = Timer::from_deadline(worker.clock.instant(at));
            let token = self
                .handle
                .insert_source(timer, |_, (), _: &mut ReadyEvents| TimeoutAction::Drop)
                .map_err(|insert_error| WorkerError::Timer(insert_error.error))?;
            self.token = Some(token);
        }
        self.due = due;
        Ok(())
    }
}
