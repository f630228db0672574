//! Classification of errors of the local host, as opposed to errors of a peer: no descriptor,
//! address, buffer or route is available, or a system call was interrupted. Such an error says
//! nothing about the peer, and stops when its local cause does.

use nix::errno::Errno;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Delay before a system call that failed for a local reason is tried again. It is short enough for
/// many tries within any time limit of a peer.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Returns true if creating a socket or a connection failed for a reason of the local host; see
/// `socket(2)`, `bind(2)`, `connect(2)`.
pub fn is_local(error: &io::Error) -> bool {
    let Some(errno) = error.raw_os_error() else {
        return false;
    };
    matches!(
        Errno::from_raw(errno),
        Errno::EMFILE
            | Errno::ENFILE
            | Errno::ENOBUFS
            | Errno::ENOMEM
            | Errno::EADDRNOTAVAIL
            | Errno::EADDRINUSE
            | Errno::EAGAIN
            | Errno::EINTR
            | Errno::ENETDOWN
            | Errno::ENETUNREACH
    )
}

/// Returns true if `accept(2)` failed only for the connection that it would have returned, so that
/// the next connection can be accepted without delay.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    let Some(errno) = error.raw_os_error() else {
        return false;
    };
    matches!(
        Errno::from_raw(errno),
        Errno::ECONNABORTED | Errno::EINTR | Errno::EPROTO | Errno::EPERM
    )
}

/// Returns true if a file stays unavailable until an operator changes something, such as its
/// permissions.
pub fn is_permanent(error: &io::Error) -> bool {
    let kinds = [
        ErrorKind::PermissionDenied,
        ErrorKind::NotADirectory,
        ErrorKind::ReadOnlyFilesystem,
    ];
    kinds.contains(&error.kind())
}
