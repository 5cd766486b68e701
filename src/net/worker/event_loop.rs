//! The event loop: signals, the one timer, and a turn of the worker whenever something is ready or due.

use super::{Worker, STALL_S};
use crate::config::StartupOptions;
use crate::log::LogHandle;
use crate::net::error::WorkerError;
use crate::net::io::poll::{Poll, ReadyEvents};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle, RegistrationToken};
use std::time::Duration;

/// Runs a port worker until it has shut down; `log` is the log of this process.
///
/// # Errors
/// A configuration that can't be used, an address that can't be listened on, or a failing event loop.
pub fn run(files: StartupOptions, log: LogHandle) -> Result<(), WorkerError> {
    let mut events: EventLoop<ReadyEvents> = EventLoop::try_new().map_err(WorkerError::EventLoop)?;
    let handle = events.handle();
    // Before anything else: from here on a shutdown notice is read in turn and does not kill the process.
    watch_signals(&handle)?;
    let config = files.config()?;
    let poll = Poll::new(handle.clone(), config.socket_budget());
    let mut worker = Worker::new(files, config, &poll, log)?;
    worker.find_predecessor(worker.clock.now())?;
    let mut timer = WheelTimer::new(handle);
    let mut gathered = ReadyEvents::default();
    worker.poll_once(&mut gathered);
    while !worker.loop_state.finished {
        let next = worker.wheel.next();
        timer.set(&worker, next)?;
        events.dispatch(None, &mut gathered).map_err(WorkerError::EventLoop)?;
        if next.is_some_and(|due| worker.clock.now() > due + STALL_S) {
            // The process stalled. What the wait returned is older than the stall: look again.
            events.dispatch(Some(Duration::ZERO), &mut gathered).map_err(WorkerError::EventLoop)?;
        }
        worker.poll_once(&mut gathered);
    }
    Ok(())
}

fn watch_signals(handle: &LoopHandle<'static, ReadyEvents>) -> Result<(), WorkerError> {
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(WorkerError::Signals)?;
    handle
        .insert_source(signals, |event, (), gathered: &mut ReadyEvents| match event.signal() {
            Signal::SIGHUP => gathered.reload = true,
            _ => gathered.shutdown = true,
        })
        .map_err(|fault| WorkerError::WatchSignals(fault.error))?;
    Ok(())
}

/// The loop's one timer: it is set anew only when the wheel's next tick has moved.
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
                .map_err(|fault| WorkerError::Timer(fault.error))?;
            self.token = Some(token);
        }
        self.due = due;
        Ok(())
    }
}
