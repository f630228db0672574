//! How old the known list may be by what counts as told: once that is too old, the list is stale and nothing is sent
//! by it. The rules have no sockets; the clock is passed in, but for the one task that waits for it.

use super::backoff::BINDING_AFTER;
use crate::net::events::DriverInput;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// After a move by SIGHUP, whatever discovery has to tell counts as told so long after the signal.
const BINDING_AFTER_MOVE: Duration = Duration::from_secs(4);

/// What the list that is known is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// A watch is open and has told something: all that was told has come, as far as can be known.
    Fresh,
    /// The first try of this process has not ended: the agent may hold a later list, which counts as told.
    Starting,
    /// No watch is open, or it is silent.
    Missed(Missed),
}

/// What may have been missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Missed {
    /// From then on it may count as told.
    binding_from: Instant,
    /// Discovery itself said no: it could not be reached, and what it has counts only so long after it can be again.
    unavailable: bool,
}

impl State {
    /// From when the list is stale; none: it is not.
    fn stale_from(self, now: Instant, grace: Duration) -> Option<Instant> {
        match self {
            State::Fresh => None,
            State::Starting => Some(now),
            State::Missed(missed) => Some(missed.binding_from + grace),
        }
    }

    /// Nothing has come since then, for no reason that discovery gave: it may have been reached by others.
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

    /// Discovery said no then, to a watch that it ended or to a call. An earlier silence counts on.
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

    /// The list is asked for elsewhere since then.
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

/// Knows of each silence, refusal and move, and tells the module when the list is stale.
#[derive(Debug, Clone)]
pub struct Freshness(watch::Sender<State>);

impl Freshness {
    /// That of a process that starts, and what tells the inputs of it until both ends are gone. Where lists are
    /// pushed, it waits for what its agent has; where they are asked for, the list that it starts with is good for as
    /// long as any. Nothing may be sent any more for `grace` after a change counts as told.
    pub fn new(
        pushed: bool,
        grace: Duration,
        inputs: mpsc::UnboundedSender<DriverInput>,
    ) -> (Self, impl Future<Output = ()>) {
        // the first turn must know
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

    /// A watch or a call is silent since then; an earlier silence that no new watch has ended counts on.
    pub fn silent(&self, since: Instant) {
        self.0.send_modify(|state| *state = state.silent(since));
    }

    /// Discovery said no to a call that was made then, or ended a watch that it last told something.
    pub fn unavailable(&self, at: Instant) {
        self.0.send_modify(|state| *state = state.unavailable(at));
    }

    /// SIGHUP has moved discovery.
    pub fn moved(&self) {
        self.0
            .send_modify(|state| *state = state.moved(Instant::now()));
    }

    /// A new watch has told something, which is all that was missed.
    pub fn received(&self) {
        self.0
            .send_if_modified(|state| std::mem::replace(state, State::Fresh) != State::Fresh);
    }

    /// The first try has ended without a word.
    pub fn first_try_ended(&self) {
        self.0.send_if_modified(|state| {
            let starting = *state == State::Starting;
            *state = if starting { State::Fresh } else { *state };
            starting
        });
    }

    /// From when something that was missed may count as told.
    pub fn binding_from(&self) -> Option<Instant> {
        match *self.0.borrow() {
            State::Missed(missed) => Some(missed.binding_from),
            State::Fresh | State::Starting => None,
        }
    }

    /// Whether the first try has not ended.
    pub fn is_starting(&self) -> bool {
        *self.0.borrow() == State::Starting
    }
}

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
                    "discovery: changes may count as told for {binding_for:?}, nothing is sent until it tells"
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
