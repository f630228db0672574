//! Decides when the known endpoint list is stale, so that sending must be suspended.
//!
//! After a while the platform holds a sender to a list change even if the sender has not received it: the change is then
//! binding. The list is stale once changes that the sender may have missed have been binding for a grace period. The
//! state transitions take the time as an argument; only [`StalenessReport`] waits for the clock.

use super::backoff::BINDING_AFTER;
use super::binding_times::{BindingTimes, BindingTimesFile};
use crate::net::events::DriverInput;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Time after SIGHUP has changed discovery's address from which the platform holds the sender to all list changes at the
/// new address, received or not.
const BINDING_AFTER_MOVE: Duration = Duration::from_secs(4);

/// Whether the known endpoint list may lack changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct State {
    /// True until the first call of this process to its agent has ended. The agent may hold a newer list, and the platform
    /// already holds the sender to it.
    starting: bool,
    /// Binding time of changes that may have been missed because discovery was unavailable at the last call. The platform
    /// holds the sender to them only [`BINDING_AFTER`] after discovery can be reached again, so a further failed call
    /// moves this time on while it has not come.
    unavailable: Option<Instant>,
    /// Binding time of changes that may have been missed in a silence. Discovery may have been running, so nothing that
    /// fails later moves this time on.
    silent: Option<Instant>,
    /// Binding time of all that discovery's new address has to tell. Only data from there ends it.
    moved: Option<Instant>,
}

impl State {
    /// State in which no change is known to be missing.
    const FRESH: State = State {
        starting: false,
        unavailable: None,
        silent: None,
        moved: None,
    };

    /// Returns the earliest time at which the platform may hold the sender to a missed change, or `None` if no change is
    /// known to be missing.
    fn binding_from(self) -> Option<Instant> {
        let times = [self.unavailable, self.silent, self.moved];
        times.into_iter().flatten().min()
    }

    fn is_binding(self, now: Instant) -> bool {
        self.binding_from().is_some_and(|from| from <= now)
    }

    /// Returns the time from which the list is too old to send by, or `None` while no change is known to be missing.
    fn stale_from(self, now: Instant, grace: Duration) -> Option<Instant> {
        if self.starting {
            Some(now)
        } else {
            self.binding_from().map(|from| from + grace)
        }
    }

    fn is_stale(self, now: Instant, grace: Duration) -> bool {
        self.stale_from(now, grace).is_some_and(|from| from <= now)
    }

    /// Returns the state after a watch or call that has received nothing since `since`, not even an error. Discovery may be
    /// running, so changes may be announced in that time, also those since it was last unavailable.
    fn silent(self, since: Instant) -> Self {
        let times = [self.unavailable, self.silent, Some(since + BINDING_AFTER)];
        State {
            starting: false,
            unavailable: None,
            silent: times.into_iter().flatten().min(),
            ..self
        }
    }

    /// Returns the state after discovery was unavailable at `at`: it ended a watch, or refused or rejected a call. Changes
    /// that bind already at `now`, when the failure is known, go on binding.
    fn unavailable(self, at: Instant, now: Instant) -> Self {
        let before = self.unavailable.filter(|from| *from <= now);
        State {
            starting: false,
            unavailable: before.or(Some(at + BINDING_AFTER)),
            ..self
        }
    }

    /// Returns the state after discovery's address changed at `at`. Failures at the new address say nothing about the old
    /// one, so they no longer move on the time that a failure there has set.
    fn moved(self, at: Instant) -> Self {
        let times = [self.unavailable, self.moved, Some(at + BINDING_AFTER_MOVE)];
        State {
            unavailable: None,
            moved: times.into_iter().flatten().min(),
            ..self
        }
    }

    /// Returns the state after the sender's own agent has shown at `now` that it can't tell of a change: it refuses
    /// connections, or sends nothing in the first time of a watch. So it has received none since; but changes that bind
    /// already, and those that are known at a new address, may have come before.
    fn agent_is_quiet(self, now: Instant) -> Self {
        if self.is_binding(now) {
            State {
                starting: false,
                ..self
            }
        } else {
            State {
                moved: self.moved,
                ..State::FRESH
            }
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
    ///
    /// `binding_times` has the times that an earlier process has set and that still hold, and stores those of this one.
    pub fn new(
        pushed: bool,
        grace: Duration,
        inputs: mpsc::UnboundedSender<DriverInput>,
        binding_times: BindingTimesFile,
    ) -> (Self, impl Future<Output = ()>) {
        let now = Instant::now();
        let known = binding_times.known(now + BINDING_AFTER);
        let restored = State {
            silent: known.silent,
            moved: known.moved,
            ..State::FRESH
        };
        let start = if pushed {
            State {
                starting: true,
                ..restored
            }
        } else {
            restored.unavailable(now, now)
        };
        let (state, state_changes) = watch::channel(start);
        let mut report = StalenessReport {
            state_changes,
            stale: false,
            grace,
            inputs,
            binding_times,
        };
        // the first turn of the decision module must already know whether the list is stale
        report.report(start.is_stale(now, grace), start);
        (Freshness(state), report.run())
    }

    /// Records that a watch or call has received nothing since `since`. After several silences the first one determines
    /// when the list becomes stale, until a watch receives data.
    pub fn silent(&self, since: Instant) {
        self.0.send_modify(|state| *state = state.silent(since));
    }

    /// Records that discovery was unavailable. `at` is the start of the refused or rejected call, or the time of the last
    /// data of a watch that discovery ended.
    pub fn unavailable(&self, at: Instant) {
        let now = Instant::now();
        self.0
            .send_modify(|state| *state = state.unavailable(at, now));
    }

    /// Records that a SIGHUP has changed discovery's address.
    pub fn moved(&self) {
        self.0
            .send_modify(|state| *state = state.moved(Instant::now()));
    }

    /// Records that the sender has all changes: a watch has received data (a list or an empty line).
    pub fn received(&self) {
        self.0
            .send_if_modified(|state| std::mem::replace(state, State::FRESH) != State::FRESH);
    }

    /// Records that the sender's own agent refuses connections, or sends nothing in the first time of a watch.
    pub fn agent_is_quiet(&self) {
        let now = Instant::now();
        self.0
            .send_modify(|state| *state = state.agent_is_quiet(now));
    }

    /// Records that a call or watch has ended. A process that has been waiting for its first call may then use the list
    /// that it started with.
    pub fn call_ended(&self) {
        self.0
            .send_if_modified(|state| std::mem::take(&mut state.starting));
    }

    /// Returns the earliest time at which the platform may hold the sender to a missed change, or `None` if no change is
    /// known to be missing.
    pub fn binding_from(&self) -> Option<Instant> {
        self.0.borrow().binding_from()
    }

    /// Returns true until the first call of the process to its agent has ended.
    pub fn is_starting(&self) -> bool {
        self.0.borrow().starting
    }
}

/// Reports when the list becomes stale or current again, and stores the binding times that no later failure moves on.
struct StalenessReport {
    state_changes: watch::Receiver<State>,
    /// Staleness that was reported last.
    stale: bool,
    /// Time from a binding change until the list is stale.
    grace: Duration,
    inputs: mpsc::UnboundedSender<DriverInput>,
    binding_times: BindingTimesFile,
}

impl StalenessReport {
    /// Sends a `ListStale` input at each change, until either end is dropped.
    async fn run(mut self) {
        loop {
            let state = *self.state_changes.borrow_and_update();
            self.binding_times.store(BindingTimes {
                silent: state.silent,
                moved: state.moved,
            });
            let now = Instant::now();
            let from = state.stale_from(now, self.grace);
            let is_stale = state.is_stale(now, self.grace);
            if is_stale != self.stale && !self.report(is_stale, state) {
                return;
            }
            let changes = &mut self.state_changes;
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = sleep_until(from.unwrap_or_else(Instant::now)), if from.is_some() && !is_stale => {}
            }
        }
    }

    /// Sends whether the list is stale. Returns false once the driver has ended.
    fn report(&mut self, is_stale: bool, state: State) -> bool {
        self.stale = is_stale;
        if let Some(from) = state.binding_from().filter(|_| is_stale) {
            crate::net::log(format_args!(
                "discovery: list is stale, missed changes may be binding for {:?}; sending is suspended",
                from.elapsed()
            ));
        }
        self.inputs.send(DriverInput::ListStale(is_stale)).is_ok()
    }
}

#[cfg(test)]
mod tests;
