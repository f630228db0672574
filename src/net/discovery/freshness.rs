//! Decides when the known endpoint list is stale, so that sending must be suspended.
//!
//! After a while the platform holds a sender to a list change even if the sender has not received it: the change is then
//! binding. The list is stale once changes that the sender may have missed have been binding for a grace period. The
//! state transitions take the time as an argument; only `report_staleness` waits for the clock.

use super::backoff::BINDING_AFTER;
use crate::net::events::DriverInput;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Time after SIGHUP has changed discovery's address from which the platform holds the sender to all list changes at the
/// new address, received or not.
const BINDING_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Whether the known endpoint list may lack changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// A watch is open and has received data, so no change is known to be missing.
    Fresh,
    /// The first call of this process to its agent has not ended. The agent may hold a newer list, and the platform already
    /// holds the sender to it.
    Starting,
    /// No watch is open, or the open watch is silent, so changes may have been missed.
    Missed(Missed),
}

/// Time at which the platform may hold the sender to changes that the sender has missed, and how it was determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Missed {
    /// Earliest time at which the platform may hold the sender to a missed change.
    binding_from: Instant,
    /// True if discovery was unavailable at the last call. The platform then holds the sender to changes only
    /// [`BINDING_AFTER`] after discovery can be reached again, so each further failed call moves `binding_from` to a later
    /// time.
    unavailable: bool,
}

impl State {
    /// Returns the time from which the list is too old to send by, or `None` while no change can have been missed.
    fn stale_from(self, now: Instant, grace: Duration) -> Option<Instant> {
        match self {
            State::Fresh => None,
            State::Starting => Some(now),
            State::Missed(missed) => Some(missed.binding_from + grace),
        }
    }

    /// Returns the state after a watch or call that has received nothing since `since`, not even an error. Discovery may be
    /// running, so changes may be announced in that time.
    fn silent(self, since: Instant) -> Self {
        let binding_from = match self {
            State::Missed(before) => before.binding_from.min(since + BINDING_AFTER),
            State::Fresh | State::Starting => since + BINDING_AFTER,
        };
        State::Missed(Missed {
            binding_from,
            unavailable: false,
        })
    }

    /// Returns the state after discovery was unavailable at `at`: it ended a watch, or refused or rejected a call. An
    /// earlier silence keeps its `binding_from`.
    fn unavailable(self, at: Instant) -> Self {
        match self {
            State::Missed(Missed {
                unavailable: false, ..
            }) => self,
            _ => State::Missed(Missed {
                binding_from: at + BINDING_AFTER,
                unavailable: true,
            }),
        }
    }

    /// Returns the state after discovery's address changed at `at`.
    fn moved(self, at: Instant) -> Self {
        match self {
            State::Missed(before) => State::Missed(Missed {
                binding_from: before.binding_from.min(at + BINDING_AFTER_MOVE),
                ..before
            }),
            State::Fresh | State::Starting => State::Missed(Missed {
                binding_from: at + BINDING_AFTER_MOVE,
                unavailable: true,
            }),
        }
    }
}

/// Tracks how current the endpoint list is, from the results of watches and calls. The list's state is shared by clones.
#[derive(Debug, Clone)]
pub struct Freshness(watch::Sender<State>);

impl Freshness {
    /// Creates the state at the start of a process, and the future that sends changes of staleness to `inputs` until
    /// either end is dropped. If lists are pushed, the list is stale until the first call to the agent has ended.
    /// Otherwise the list that the process starts with stays valid as if discovery had just become unavailable. The list
    /// becomes stale `grace` after the platform may hold the sender to a missed change.
    pub fn new(
        pushed: bool,
        grace: Duration,
        inputs: mpsc::UnboundedSender<DriverInput>,
    ) -> (Self, impl Future<Output = ()>) {
        // the first turn of the decision module must already know whether the list is stale
        let _ = inputs.send(DriverInput::ListStale(pushed));
        let start = if pushed {
            State::Starting
        } else {
            State::Fresh.unavailable(Instant::now())
        };
        let (state, state_changes) = watch::channel(start);
        (
            Freshness(state),
            report_staleness(state_changes, pushed, grace, inputs),
        )
    }

    /// Records that a watch or call has received nothing since `since`. After several silences the first one determines
    /// when the list becomes stale, until a watch receives data.
    pub fn silent(&self, since: Instant) {
        self.0.send_modify(|state| *state = state.silent(since));
    }

    /// Records that discovery was unavailable. `at` is the start of the refused or rejected call, or the time of the last
    /// data of a watch that discovery ended.
    pub fn unavailable(&self, at: Instant) {
        self.0.send_modify(|state| *state = state.unavailable(at));
    }

    /// Records that a SIGHUP has changed discovery's address.
    pub fn moved(&self) {
        self.0
            .send_modify(|state| *state = state.moved(Instant::now()));
    }

    /// Records that a watch has received data: the list or an empty line. With it the sender has all missed changes.
    pub fn received(&self) {
        self.0
            .send_if_modified(|state| std::mem::replace(state, State::Fresh) != State::Fresh);
    }

    /// Records that a call has ended without a list. If it was the first call of the process, the list that the process
    /// started with may be used.
    pub fn first_try_ended(&self) {
        self.0.send_if_modified(|state| {
            let starting = *state == State::Starting;
            *state = if starting { State::Fresh } else { *state };
            starting
        });
    }

    /// Returns the earliest time at which the platform may hold the sender to a missed change, or `None` if no change can
    /// have been missed.
    pub fn binding_from(&self) -> Option<Instant> {
        match *self.0.borrow() {
            State::Missed(missed) => Some(missed.binding_from),
            State::Fresh | State::Starting => None,
        }
    }

    /// Returns true until the first call of the process to its agent has ended.
    pub fn is_starting(&self) -> bool {
        *self.0.borrow() == State::Starting
    }
}

/// Sends a `ListStale` input each time the list becomes stale or current again.
async fn report_staleness(
    mut state_changes: watch::Receiver<State>,
    mut stale: bool,
    grace: Duration,
    inputs: mpsc::UnboundedSender<DriverInput>,
) {
    loop {
        let state = *state_changes.borrow_and_update();
        let from = state.stale_from(Instant::now(), grace);
        let is_stale = from.is_some_and(|from| from <= Instant::now());
        if is_stale != stale {
            stale = is_stale;
            if let State::Missed(missed) = state {
                let binding_for = missed.binding_from.elapsed();
                crate::net::log(format_args!(
                    "discovery: list is stale, missed changes may be binding for {binding_for:?}; sending is suspended"
                ));
            }
            if inputs.send(DriverInput::ListStale(stale)).is_err() {
                return;
            }
        }
        tokio::select! {
            changed = state_changes.changed() => if changed.is_err() { return },
            () = sleep_until(from.unwrap_or_else(Instant::now)), if from.is_some() && !stale => {}
        }
    }
}

#[cfg(test)]
mod tests;
