//! Errors of this machine, as opposed to those of a peer: no descriptor, address, buffer or route is available, or a
//! system call was interrupted. They say nothing of the peer, and end when their cause does.

use nix::errno::Errno;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Between two tries of a call that this machine failed: many times within any time limit of a peer.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// True if this machine failed the making of a socket or a connection; see `socket(2)`, `bind(2)`, `connect(2)`.
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

/// True if `accept(2)` failed for the one connection that it would have given: the next one may be had at once.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    let Some(errno) = error.raw_os_error() else {
        return false;
    };
    matches!(
        Errno::from_raw(errno),
        Errno::ECONNABORTED | Errno::EINTR | Errno::EPROTO | Errno::EPERM
    )
}

/// True if a file stays unavailable until an operator changes something.
pub fn is_permanent(error: &io::Error) -> bool {
    let kinds = [
        ErrorKind::PermissionDenied,
        ErrorKind::NotADirectory,
        ErrorKind::ReadOnlyFilesystem,
    ];
    kinds.contains(&error.kind())
}
