//! Sockets, disk and clock for [`crate::coordinator`].
//!
//! A single event loop does all work except disk jobs. These run on a separate thread, since a sync may take seconds, and
//! the event loop must answer messages meanwhile.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `server` | connects the coordinator with its links and the disk thread |
//! | `inbound` | accepted links: reading, frames, timeouts |
//! | `peers` | links to other coordinators: connecting, hellos |
//! | `disk_thread` | the thread that accesses the data folder |
//! | `clock`, `limits` | the clock of coordinators; limits of links |

mod clock;
mod disk_thread;
mod inbound;
mod limits;
mod peers;
mod server;

use crate::config::{ConfigError, ConfigFile};
use crate::events::ServerEvent;
use calloop::channel::{channel, Channel, Event as ChannelEvent, Sender};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, LoopHandle};
use clock::boot_time_s;
use disk_thread::JobResult;
use limits::MAX_LINKS;
use port_worker::log::{LogEvent, LogHandle};
use port_worker::net::io::poll::{Acceptor, Poll, ReadyEvents};
use port_worker::net::io::source::Source;
use server::Server;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// How often the event loop wakes up to do the coordinator's periodic work (seconds).
const TICK_S: f64 = 0.02;

/// Why a coordinator can't run.
#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// The configuration file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop or one of its sources failed.
    #[error("{part}: {source}")]
    EventLoop {
        /// The part that failed.
        part: &'static str,
        /// The event loop's error.
        source: Box<dyn Error>,
    },
    /// The configuration file has no listen address for this coordinator.
    #[error("listen: no address found; expected the key listen, or a [[coordinator]] with this coordinator's name")]
    NoListenAddress,
    /// The listen address can't be bound.
    #[error("listen {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The operating system does not return the listener's address.
    #[error("can't read the listener's address: {0}")]
    LocalAddress(#[source] std::io::Error),
}

impl NetError {
    fn event_loop<E: Error + 'static>(part: &'static str) -> impl FnOnce(E) -> NetError {
        move |source| NetError::EventLoop { part, source: Box::new(source) }
    }
}

/// Results of disk jobs that the event loop has received and the server has not processed yet.
type ResultInbox = Rc<RefCell<Vec<JobResult>>>;

/// Runs a coordinator until it receives SIGTERM or SIGINT. Its events are logged to `log`.
///
/// # Errors
/// The reason why it can't run, in one line.
pub fn run(path: &Path, log: &LogHandle) -> Result<(), NetError> {
    let file = ConfigFile::read(path)?;
    let mut event_loop: EventLoop<ReadyEvents> =
        EventLoop::try_new().map_err(NetError::event_loop("event loop"))?;
    let handle = event_loop.handle();
    watch_signals(&handle)?;
    let poll = Poll::new(handle.clone(), MAX_LINKS);
    let acceptor = listen(&poll, &file)?;
    let local_address = acceptor.address().map_err(NetError::LocalAddress)?;
    let (results, channel) = channel();
    let inbox = watch_disk(&handle, channel)?;
    watch_timer(&handle)?;
    let mut server = start_server(poll, acceptor, file, results);
    let coordinator = server.file.name.clone();
    let fleet = server.file.fleet.clone();
    ServerEvent::ListenerOpened { coordinator, fleet, address: local_address }.emit();
    let mut gathered = ReadyEvents::default();
    server.execute_outputs();
    while !gathered.shutdown {
        event_loop.dispatch(None, &mut gathered).map_err(NetError::event_loop("event loop"))?;
        let results = std::mem::take(&mut *inbox.borrow_mut());
        server.poll_once(&mut gathered, results, path);
        log.report_suppressed();
    }
    ServerEvent::ShutdownComplete.emit();
    Ok(())
}

fn watch_signals(handle: &LoopHandle<'static, ReadyEvents>) -> Result<(), NetError> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])
        .map_err(NetError::event_loop("signals"))?;
    handle
        .insert_source(signals, |event, (), gathered: &mut ReadyEvents| match event.signal() {
            Signal::SIGHUP => gathered.reload = true,
            // A write exceeded the file size limit; the disk thread reports the failure.
            Signal::SIGXFSZ => {}
            _ => gathered.shutdown = true,
        })
        .map_err(NetError::event_loop("signals"))?;
    Ok(())
}

fn listen(poll: &Poll, file: &ConfigFile) -> Result<Acceptor, NetError> {
    let address = file.listen_address().ok_or(NetError::NoListenAddress)?;
    Acceptor::bind(poll, address, Source::CoordinatorListener)
        .map_err(|source| NetError::Listen { address, source })
}

fn watch_disk(
    handle: &LoopHandle<'static, ReadyEvents>,
    channel: Channel<JobResult>,
) -> Result<ResultInbox, NetError> {
    let inbox = ResultInbox::default();
    let received = inbox.clone();
    handle
        .insert_source(channel, move |event, (), _: &mut ReadyEvents| {
            if let ChannelEvent::Msg(result) = event {
                received.borrow_mut().push(result);
            }
        })
        .map_err(NetError::event_loop("disk"))?;
    Ok(inbox)
}

fn watch_timer(handle: &LoopHandle<'static, ReadyEvents>) -> Result<(), NetError> {
    let interval = Duration::from_secs_f64(TICK_S);
    handle
        .insert_source(Timer::from_duration(interval), move |_, (), _| TimeoutAction::ToDuration(interval))
        .map_err(NetError::event_loop("timer"))?;
    Ok(())
}

fn start_server(poll: Poll, acceptor: Acceptor, file: ConfigFile, results: Sender<JobResult>) -> Server {
    let started_at = boot_time_s();
    let seed = u64::from(std::process::id()) << 32 ^ (started_at * 1e9) as u64;
    Server::new(poll, acceptor, file, results, started_at, seed)
}
