//! What a start needs of this machine, asked for until it is to be had.

use super::local_errors::{RETRY_INTERVAL, is_local, is_permanent};
use super::{RateLimitedLog, log};
use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Longest time in which a listening address must fall free: an old process ends within it.
const ADDRESS_FREE: Duration = Duration::from_secs(3);
/// Longest time in which this machine must have the address: a sender has to be ready by then.
const ADDRESS_HAD: Duration = Duration::from_secs(30);

/// Between two tries to have the operators' address.
const OPERATORS_AGAIN: Duration = Duration::from_millis(250);

/// An error that a failing machine may be the cause of.
pub trait MayPass: Display {
    /// The system's error in it, if there is one.
    fn io(&self) -> Option<&io::Error>;
}

impl MayPass for io::Error {
    fn io(&self) -> Option<&io::Error> {
        Some(self)
    }
}

impl MayPass for super::journal::JournalError {
    fn io(&self) -> Option<&io::Error> {
        match self {
            super::journal::JournalError::Io(error) => Some(error),
            _ => None,
        }
    }
}

impl MayPass for super::clock::ClockError {
    fn io(&self) -> Option<&io::Error> {
        match self {
            super::clock::ClockError::Io(error) => Some(error),
            super::clock::ClockError::Encode(_) => None,
        }
    }
}

/// Tries until it succeeds, or fails in a way that does not pass by itself.
///
/// # Errors
/// The last one.
pub async fn until_had<T, E: MayPass>(
    what: &str,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let faults = RateLimitedLog::default();
    loop {
        match attempt() {
            Err(error) if error.io().is_some_and(|error| !is_permanent(error)) => {
                faults.log(format_args!("start: {what} is waited for: {error}"));
                sleep(RETRY_INTERVAL).await;
            }
            other => return other,
        }
    }
}

/// Listens on the address, as soon as an old process has left it and this machine has it.
///
/// # Errors
/// It is not to be had in time.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let begun = Instant::now();
    let faults = RateLimitedLog::default();
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let in_use = error.kind() == ErrorKind::AddrInUse;
        let most = if in_use { ADDRESS_FREE } else { ADDRESS_HAD };
        if !is_local(&error) || begun.elapsed() >= most {
            return Err(error);
        }
        if !in_use {
            faults.log(format_args!("start: {address} is waited for: {error}"));
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

/// The same, however long the address takes to be had.
pub async fn wait_for_operators_address(address: SocketAddr) -> TcpListener {
    loop {
        sleep(OPERATORS_AGAIN).await;
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
    }
}
