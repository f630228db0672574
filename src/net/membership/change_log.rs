//! Log lines of what changes among the members, no more of them than a reader can bear.

use crate::net::log;
use fleet_membership::{Change, State};
use std::time::Duration;
use tokio::time::Instant;

/// Lines in an interval; more changes are counted.
const MAX_LINES: u32 = 400;
/// The interval.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs changes.
#[derive(Debug)]
pub(super) struct ChangeLog {
    /// Changes since the interval began.
    changes: u32,
    began: Instant,
}

impl ChangeLog {
    /// One whose first interval begins now.
    pub(super) fn new() -> Self {
        ChangeLog {
            changes: 0,
            began: Instant::now(),
        }
    }

    /// Logs a change, or counts it.
    pub(super) fn log(&mut self, change: &Change) {
        if self.began.elapsed() > INTERVAL {
            let omitted = self.changes.saturating_sub(MAX_LINES);
            if omitted > 0 {
                log(format_args!("members: and {omitted} changes more"));
            }
            *self = ChangeLog::new();
        }
        self.changes += 1;
        if self.changes <= MAX_LINES {
            log(format_args!("members: {}", line(change)));
        }
    }
}

fn line(change: &Change) -> String {
    match change {
        Change::MemberState {
            name,
            previous,
            current,
            incarnation,
            address,
        } => {
            let previous = previous.map_or("unknown", state_name);
            let current = state_name(*current);
            format!("{name} {current} (was {previous}), incarnation {incarnation}, {address}")
        }
        Change::Refuted {
            claimed,
            incarnation,
        } => {
            let state = state_name(*claimed);
            format!("reported {state} by others, refuted with incarnation {incarnation}")
        }
        Change::NameConflict {
            address,
            yields: true,
        } => {
            format!(
                "another process has this name at {address}: it is the elder and the member, this one only listens"
            )
        }
        Change::NameConflict {
            address,
            yields: false,
        } => format!("another process has this name at {address}: this one is the elder"),
        Change::Paused { micros } => format!("this process was paused for {} ms", micros / 1000),
        Change::Isolation { isolated: true } => {
            "no probe is answered, this member doubts its own view".to_string()
        }
        Change::Isolation { isolated: false } => "probes are answered again".to_string(),
    }
}

/// The name of a state in log lines.
pub(super) fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}
