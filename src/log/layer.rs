//! The `tracing` layer that writes log lines to standard error.

use super::limiter::{Decision, LineLimiter};
use super::line::Line;
use super::FOLDED;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Handle of the log that [`install`] set up.
#[derive(Clone)]
pub struct LogHandle {
    output: Arc<Output>,
}

struct Output {
    started: Instant,
    limiter: Mutex<LineLimiter<Identifier>>,
}

impl LogHandle {
    fn new() -> LogHandle {
        let output = Output { started: Instant::now(), limiter: Mutex::new(LineLimiter::new()) };
        LogHandle { output: Arc::new(output) }
    }

    /// Logs how many lines were suppressed since the last report, if any and if the second in which the last of them was
    /// suppressed is over. Must be called periodically.
    pub fn report_suppressed(&self) {
        let suppressed = self.output.limiter().take_suppressed(self.output.now_s());
        if let Some(lines) = suppressed {
            let mut line = Line::new(Level::WARN, "log_lines_suppressed");
            line.push("lines", format_args!("{lines}"));
            write(line);
        }
    }
}

impl Output {
    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Ignores a poisoned lock: a panic can leave the counts slightly off, which is acceptable.
    fn limiter(&self) -> MutexGuard<'_, LineLimiter<Identifier>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ignores write errors: a full disk, for example, must not end the process.
fn write(line: Line) {
    let _ = std::io::stderr().lock().write_all(line.finish().as_bytes());
}

impl<S: Subscriber> Layer<S> for LogHandle {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let metadata = event.metadata();
        let now_s = self.output.now_s();
        let decision = if metadata.target() == FOLDED {
            self.output.limiter().admit_folded(now_s, metadata.callsite())
        } else {
            self.output.limiter().admit(now_s)
        };
        let Decision::Write { occurrences } = decision else { return };
        let mut line = Line::new(*metadata.level(), metadata.name());
        event.record(&mut line);
        if occurrences > 1 {
            line.push("occurrences", format_args!("{occurrences}"));
        }
        write(line);
    }
}

/// Sets up the log of this process. `filter` selects the events that it contains; the default is the events of this
/// program's own crates at level `INFO` and above. Events of libraries are excluded, because peers can cause them with
/// every request.
///
/// If a log has already been set up, that log stays in use, and the returned handle has nothing to report.
#[must_use]
pub fn install(filter: Option<Targets>) -> LogHandle {
    let own_crates = || {
        let crates = ["port_worker", "fleet_coordinator"];
        Targets::new().with_targets(crates.map(|name| (name, LevelFilter::INFO)))
    };
    let log = LogHandle::new();
    let subscriber = tracing_subscriber::registry().with(filter.unwrap_or_else(own_crates)).with(log.clone());
    let _ = subscriber.try_init();
    log
}
