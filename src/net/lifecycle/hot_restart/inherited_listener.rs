//! The listening socket that the platform passes to this process by number.

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};
use std::rc::Rc;

/// The highest descriptor of the standard streams.
const STANDARD_ERROR: RawFd = 2;

/// Why the descriptor that the platform names can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The setting is no number, or that of a standard stream.
    #[error("{EXPECTED}, found {setting:?}")]
    NotADescriptor {
        /// The setting.
        setting: String,
    },
    /// The socket does not listen.
    #[error("{EXPECTED}, found {descriptor}, a socket that does not")]
    NotListening {
        /// The descriptor.
        descriptor: RawFd,
    },
    /// The system refuses an operation on it.
    #[error("{EXPECTED}, found {descriptor}: {source}")]
    System {
        /// The descriptor.
        descriptor: RawFd,
        /// The system's error.
        source: io::Error,
    },
}

const EXPECTED: &str = "ROUTER_SOCKET_FD: expected the number of a descriptor that listens";

/// Takes over the listening socket that the platform names: another descriptor for it, in non-blocking mode.
pub(in crate::net) fn inherited_listener(setting: &str) -> Result<Rc<TcpListener>, InheritedListenerError> {
    let descriptor = setting.parse().ok().filter(|number: &RawFd| *number > STANDARD_ERROR);
    let descriptor =
        descriptor.ok_or_else(|| InheritedListenerError::NotADescriptor { setting: setting.to_owned() })?;
    let system_error = |source: io::Error| InheritedListenerError::System { descriptor, source };
    // The platform has opened it for this process and nothing here closes it, so it stays what it is while it is
    // borrowed; a number that names nothing shows in the first call.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let listens = rustix::net::sockopt::socket_acceptconn(borrowed).map_err(io::Error::from);
    if !listens.map_err(system_error)? {
        return Err(InheritedListenerError::NotListening { descriptor });
    }
    let listener = TcpListener::from(borrowed.try_clone_to_owned().map_err(system_error)?);
    listener.set_nonblocking(true).map_err(system_error)?;
    Ok(Rc::new(listener))
}
