//! Why a change of the topology is held, or the freeze does not change.

use super::calendar::MAX_WINDOWS;
use super::change::ChangeKind;
use miette::Diagnostic;
use thiserror::Error;

/// Why the freeze did not change, or a change of the topology is held.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FreezeError {
    /// A window holds it.
    #[error("window {window} holds it until {until_ms} (Unix ms): {kind}; {reason} ({owner})")]
    #[diagnostic(
        code(freeze::held),
        help(
            "wait until it ends, ask its owner for another calendar, or break the glass with two names (POST /v1/freeze/glass)"
        )
    )]
    Held {
        /// Which.
        window: String,
        /// Until when.
        until_ms: u64,
        /// What is held.
        kind: ChangeKind,
        /// Why there is such a window.
        reason: String,
        /// Who answers for it.
        owner: String,
    },
    /// A batch relieves and widens.
    #[error("window {0} holds a part of the batch, and the rest relieves: nothing of it is done")]
    #[diagnostic(
        code(freeze::mixed),
        help("send what relieves by itself: it passes at any time")
    )]
    MixedBatch(String),
    /// It would leave a destination without an endpoint.
    #[error("window {window}: destination {destination} would be left without an endpoint")]
    #[diagnostic(
        code(freeze::last),
        help("no endpoint can be added while it is on; add ?force=1 if it has to go all the same")
    )]
    LastEndpoint {
        /// The window that is on.
        window: String,
        /// Which destination.
        destination: u64,
    },
    /// A window makes no sense.
    #[error("window {window}: {problem}")]
    #[diagnostic(
        code(freeze::window),
        help(
            "give zone (like Asia/Ho_Chi_Minh), begin and end (like 2027-02-04T00:00, the end later), reason and owner"
        )
    )]
    InvalidWindow {
        /// Which.
        window: String,
        /// What is wrong.
        problem: String,
    },
    /// There are too many.
    #[error("more than {MAX_WINDOWS} windows")]
    #[diagnostic(code(freeze::many), help("take out windows that have ended"))]
    TooManyWindows,
    /// Another calendar holds.
    #[error("the calendar has version {now}, not {wanted}")]
    #[diagnostic(
        code(freeze::version),
        help("read GET /v1/freeze again, and write with the version that it tells in If-Match")
    )]
    VersionMismatch {
        /// What it has.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// The change before has not settled.
    #[error("the windows of the calendar before version {0} are still in force beside its own")]
    #[diagnostic(code(freeze::under_way), help("try again in some seconds"))]
    ChangeInProgress(u64),
    /// The glass can't be broken so.
    #[error("the glass is not broken: {0}")]
    #[diagnostic(
        code(freeze::glass),
        help("give two different names in by, a reason, and until_ms within the next 24 hours")
    )]
    InvalidOverride(&'static str),
    /// It is whole.
    #[error("the glass is whole")]
    #[diagnostic(
        code(freeze::whole),
        help("nothing is to be done: all windows that are on hold")
    )]
    NoOverride,
}
