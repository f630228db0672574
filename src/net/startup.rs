//! Resources that a start needs from the local host, such as listening sockets. Temporary errors are retried.

use super::clock::ClockError;
use super::journal::JournalError;
use super::local_errors::{RETRY_INTERVAL, is_local, is_permanent};
use super::{RateLimitedLog, log};
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Time for which an address that is in use is retried. A predecessor exits and releases the address within it.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which binding the address is retried after other local errors, for example while the host does not have
/// the address yet. A sender has to be ready within this time.
const ADDRESS_MISSING_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of connections that may wait to be accepted. The system drops the first packet of those beyond it, and they try
/// again only after a second.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay between two attempts to bind the operators' address.
const OPERATORS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An error that may be caused by a failure of the local host.
pub trait LocalError: Display {
    /// Returns the I/O error that this error contains, if any.
    fn io(&self) -> Option<&io::Error>;
}

impl LocalError for io::Error {
    fn io(&self) -> Option<&io::Error> {
        Some(self)
    }
}

impl LocalError for JournalError {
    fn io(&self) -> Option<&io::Error> {
        match self {
            JournalError::Io(error) => Some(error),
            JournalError::Full | JournalError::Encode(_) => None,
        }
    }
}

impl LocalError for ClockError {
    fn io(&self) -> Option<&io::Error> {
        match self {
            ClockError::Io(error) => Some(error),
            ClockError::Encode(_) => None,
        }
    }
}

/// Repeats an operation while it fails with a transient error, and reports each of these errors.
///
/// # Errors
/// Returns the first error that is not transient.
pub async fn retry_while<T, E>(
    mut operation: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
    report: impl Fn(&E),
) -> Result<T, E> {
    loop {
        match operation() {
            Err(error) if is_transient(&error) => {
                report(&error);
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Repeats an operation until it succeeds or fails with a permanent error. Logs temporary errors with the name of the
/// resource.
///
/// # Errors
/// Returns the first permanent error.
pub async fn retry_until_available<T, E: LocalError>(
    resource: &str,
    operation: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let errors = RateLimitedLog::default();
    retry_while(
        operation,
        |error| error.io().is_some_and(|error| !is_permanent(error)),
        |error| errors.log(format_args!("start: waiting for {resource}: {error}")),
    )
    .await
}

/// Returns the listening socket for clients: the socket that the platform passed to the process or, if there is none or
/// it is unusable, a socket bound to the address.
///
/// # Errors
/// Returns an error if the address can't be bound in time.
pub async fn client_listener(
    passed_socket: Option<RawFd>,
    address: SocketAddr,
) -> Result<TcpListener, io::Error> {
    if let Some(descriptor) = passed_socket {
        match inherit_listener(descriptor) {
            Ok(listener) => return Ok(listener),
            Err(error) => log(format_args!(
                "passed socket {descriptor}: unusable, binding {address} instead: {error}"
            )),
        }
    }
    listen(address).await
}

/// Duplicates the listening socket that the process has inherited under this descriptor number.
#[allow(unsafe_code)]
fn inherit_listener(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the platform guarantees that the descriptor stays open as long as the process runs, and this function
    // closes only its duplicate. If no descriptor is open under the number, duplicating it fails.
    let inherited = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let listener = std::net::TcpListener::from(inherited.try_clone_to_owned()?);
    listener.local_addr()?; // fails now if the descriptor is not a socket, not only at the first client
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds the address. Retries local errors: a predecessor may still use the address, or the host may not have it yet.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let started_at = Instant::now();
    let errors = RateLimitedLog::default();
    loop {
        let error = match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let in_use = error.kind() == ErrorKind::AddrInUse;
        let timeout = if in_use {
            ADDRESS_IN_USE_TIMEOUT
        } else {
            ADDRESS_MISSING_TIMEOUT
        };
        if !is_local(&error) || started_at.elapsed() >= timeout {
            return Err(error);
        }
        if !in_use {
            errors.log(format_args!(
                "start: waiting for address {address}: {error}"
            ));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Binds the address and listens with a queue of [`LISTEN_BACKLOG`] connections.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // a restarted process must be able to bind the address while old connections are in TIME_WAIT
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds the operators' address once. Returns `None` after an error, because the sender serves messages without
/// operators as well.
pub async fn listen_for_operators(name: &str, address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log(format_args!(
                "{name}: control API unavailable at {address}; retrying: {error}"
            ));
            None
        }
    }
}

/// Binds the operators' address, and retries until that succeeds.
pub async fn retry_listen_for_operators(address: SocketAddr) -> TcpListener {
    loop {
        sleep(OPERATORS_RETRY_DELAY).await;
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
    }
}
