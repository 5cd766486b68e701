//! A coordinator's sockets, disk and clock around [`crate::coordinator`].
//!
//! One event loop does everything but the disk's jobs: those have a thread of their own, since a sync may take seconds
//! and the loop must go on answering.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | joins the coordinator with its links and the disk's thread |
//! | `inbound` | links that were accepted: reading, frames, silence |
//! | `peers` | links to other coordinators: connecting, introductions |
//! | `disk_thread` | the thread that accesses the data folder |
//! | `clock`, `limits` | the clock that coordinators count by; limits of links |

mod clock;
mod disk_thread;
mod inbound;
mod limits;
mod peers;
mod server;

use crate::config::{ConfigError, File};
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

/// How often the coordinator's clock is advanced (seconds).
const TICK_S: f64 = 0.02;

/// Why a coordinator can't run.
#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// Its file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop, or one of its sources, fails.
    #[error("{what}: {source}")]
    EventLoop {
        /// What fails.
        what: &'static str,
        /// The event loop's error.
        source: Box<dyn Error>,
    },
    /// Its file names no address for it.
    #[error("listen: there is no address")]
    NoListenAddress,
    /// It can't listen.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address from the file.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The system does not say where it listens.
    #[error(transparent)]
    LocalAddress(std::io::Error),
}

impl NetError {
    fn event_loop<E: Error + 'static>(what: &'static str) -> impl FnOnce(E) -> NetError {
        move |source| NetError::EventLoop { what, source: Box::new(source) }
    }
}

/// Results of the disk that the event loop has received and the server has not.
type ResultInbox = Rc<RefCell<Vec<JobResult>>>;

/// Runs a coordinator until it receives SIGTERM or SIGINT. Its events go to `log`.
///
/// # Errors
/// Why it can't run, in one line.
pub fn run(path: &Path, log: &LogHandle) -> Result<(), NetError> {
    let file = File::read(path)?;
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
    server.carry_out();
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
            // A write beyond the limit on file sizes has failed: the disk's thread reports it.
            Signal::SIGXFSZ => {}
            _ => gathered.shutdown = true,
        })
        .map_err(NetError::event_loop("signals"))?;
    Ok(())
}

fn listen(poll: &Poll, file: &File) -> Result<Acceptor, NetError> {
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

fn start_server(poll: Poll, acceptor: Acceptor, file: File, results: Sender<JobResult>) -> Server {
    let started_at = boot_time_s();
    let seed = u64::from(std::process::id()) << 32 ^ (started_at * 1e9) as u64;
    Server::new(poll, acceptor, file, results, started_at, seed)
}
