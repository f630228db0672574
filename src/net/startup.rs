//! What a start needs of this machine, asked for until it is to be had.

use super::clock::ClockError;
use super::journal::JournalError;
use super::local_errors::{RETRY_INTERVAL, is_local, is_permanent};
use super::{RateLimitedLog, log};
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Longest time in which a listening address must fall free: a predecessor ends within it.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time in which this machine must have the address: a sender has to be ready by then.
const ADDRESS_MISSING_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two tries to have the operators' address.
const OPERATORS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An error that a failing machine may be the cause of.
pub trait LocalError: Display {
    /// The system's error in it, if there is one.
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

/// Repeats an attempt for as long as its error is transient, and reports each such error.
///
/// # Errors
/// The first one that is not transient.
pub async fn retry_while<T, E>(
    mut attempt: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
    report: impl Fn(&E),
) -> Result<T, E> {
    loop {
        match attempt() {
            Err(error) if is_transient(&error) => {
                report(&error);
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Repeats an attempt until it succeeds, or fails in a way that does not pass by itself.
///
/// # Errors
/// The last one.
pub async fn retry_until_available<T, E: LocalError>(
    resource: &str,
    attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let errors = RateLimitedLog::default();
    retry_while(
        attempt,
        |error| error.io().is_some_and(|error| !is_permanent(error)),
        |error| errors.log(format_args!("start: {resource} is waited for: {error}")),
    )
    .await
}

/// The socket that clients connect to: the one that the platform passed, or one bound here.
///
/// # Errors
/// The address is not to be had in time.
pub async fn client_listener(
    passed: Option<RawFd>,
    address: SocketAddr,
) -> Result<TcpListener, io::Error> {
    if let Some(descriptor) = passed {
        match inherit_listener(descriptor) {
            Ok(listener) => return Ok(listener),
            Err(error) => log(format_args!(
                "passed socket {descriptor}: off, one is bound here: {error}"
            )),
        }
    }
    listen(address).await
}

/// A copy of the listening socket that every process inherits under this number.
#[allow(unsafe_code)]
fn inherit_listener(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the number is the platform's promise that the descriptor is open for the whole life of the process;
    // nothing here closes it, since only a copy is kept. A number that is not open makes the copy fail.
    let passed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let listener = std::net::TcpListener::from(passed.try_clone_to_owned()?);
    listener.local_addr()?; // not a socket: an error now, not at the first client
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Listens on the address, as soon as a predecessor has left it and this machine has it.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let started = Instant::now();
    let errors = RateLimitedLog::default();
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let in_use = error.kind() == ErrorKind::AddrInUse;
        let timeout = if in_use {
            ADDRESS_IN_USE_TIMEOUT
        } else {
            ADDRESS_MISSING_TIMEOUT
        };
        if !is_local(&error) || started.elapsed() >= timeout {
            return Err(error);
        }
        if !in_use {
            errors.log(format_args!("start: {address} is waited for: {error}"));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Listens for operators at once, if the address is to be had; messages are served without them too.
pub async fn listen_for_operators(name: &str, address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log(format_args!("{name}: operators off, {address}: {error}"));
            None
        }
    }
}

/// Listens for operators, however long the address takes to be had.
pub async fn wait_for_operators_address(address: SocketAddr) -> TcpListener {
    loop {
        sleep(OPERATORS_RETRY_DELAY).await;
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
    }
}
