//! The listening socket that the platform passes to this process as a descriptor number.

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};
use std::rc::Rc;

/// The highest descriptor number of the standard streams.
const STDERR_DESCRIPTOR: RawFd = 2;

/// Why the descriptor that the platform passes can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The setting is not a number, or is at most 2, the number of a standard stream.
    #[error("{EXPECTED}, found {setting:?}")]
    NotADescriptor {
        /// The value of the setting.
        setting: String,
    },
    /// The socket does not listen.
    #[error("{EXPECTED}, found descriptor {descriptor}, which does not listen")]
    NotListening {
        /// The descriptor number.
        descriptor: RawFd,
    },
    /// A system call on the descriptor failed.
    #[error("{EXPECTED}, found descriptor {descriptor}: {source}")]
    System {
        /// The descriptor number.
        descriptor: RawFd,
        /// The system's error.
        source: io::Error,
    },
}

const EXPECTED: &str = "ROUTER_SOCKET_FD: expected the descriptor number of a listening socket";

/// Opens the listening socket that the platform passes: returns a duplicate of the descriptor, in non-blocking mode.
pub(in crate::net) fn inherited_listener(setting: &str) -> Result<Rc<TcpListener>, InheritedListenerError> {
    let descriptor = setting.parse().ok().filter(|number: &RawFd| *number > STDERR_DESCRIPTOR);
    let descriptor =
        descriptor.ok_or_else(|| InheritedListenerError::NotADescriptor { setting: setting.to_owned() })?;
    let system_error = |source: io::Error| InheritedListenerError::System { descriptor, source };
    // The platform opened the descriptor for this process and nothing here closes it, so it stays valid while it is
    // borrowed. If the number is not an open descriptor, the first system call fails.
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
