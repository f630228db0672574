//! When a sender must act on nothing that it could have been told away: the module is blind then.

use super::rests::TOLD;
use crate::net::events::Input;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// What the list that is known is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// All that was told has come, as far as can be known.
    #[default]
    Seen,
    /// The first try of this process has not ended: the agent may hold a later list, which counts as told.
    Starting,
    /// A watch has been silent since then, and no new one has told anything yet.
    Missed(Instant),
}

impl State {
    /// From when the sender is blind; none: it is not.
    fn blind_from(self, grace: Duration) -> Option<Instant> {
        match self {
            State::Seen => None,
            State::Starting => Some(Instant::now()),
            State::Missed(since) => Some(since + TOLD + grace),
        }
    }
}

/// Knows of each silence, and tells the module when to see nothing.
#[derive(Debug, Clone)]
pub struct Sight(watch::Sender<State>);

impl Sight {
    /// The sight of a process that starts, and what tells the inputs of it until both ends are gone. Where lists are
    /// pushed, it waits for what its agent has. Nothing may be sent any more so long after a change counts as told.
    pub fn new(
        pushed: bool, grace: Duration, inputs: mpsc::UnboundedSender<Input>,
    ) -> (Self, impl Future<Output = ()>) {
        // the first turn must know
        let _ = inputs.send(Input::Blind(pushed));
        let (state, seen) = watch::channel(if pushed { State::Starting } else { State::Seen });
        (Sight(state), tell(seen, pushed, grace, inputs))
    }

    /// A watch is silent since then; an earlier silence that no new watch has ended counts on.
    pub fn missed(&self, since: Instant) {
        self.0.send_modify(|state| {
            *state = match *state {
                State::Missed(before) => State::Missed(before.min(since)),
                State::Seen | State::Starting => State::Missed(since),
            }
        });
    }

    /// A new watch has told something, which is all that was missed.
    pub fn told(&self) {
        self.0.send_if_modified(|state| std::mem::take(state) != State::Seen);
    }

    /// The first try has ended without a word.
    pub fn started(&self) {
        self.0.send_if_modified(|state| {
            let starting = *state == State::Starting;
            *state = if starting { State::Seen } else { *state };
            starting
        });
    }

    /// Since when something may have been missed.
    pub fn silent_since(&self) -> Option<Instant> {
        match *self.0.borrow() {
            State::Missed(since) => Some(since),
            State::Seen | State::Starting => None,
        }
    }

    /// Whether the first try has not ended.
    pub fn is_starting(&self) -> bool {
        *self.0.borrow() == State::Starting
    }
}

async fn tell(
    mut seen: watch::Receiver<State>, mut blind: bool, grace: Duration, inputs: mpsc::UnboundedSender<Input>,
) {
    loop {
        let state = *seen.borrow_and_update();
        let from = state.blind_from(grace);
        let now = from.is_some_and(|from| from <= Instant::now());
        if now != blind {
            blind = now;
            if let State::Missed(since) = state {
                let silent = since.elapsed();
                crate::net::log(format_args!(
                    "discovery: silent for {silent:?}, nothing is sent until it tells"
                ));
            }
            if inputs.send(Input::Blind(blind)).is_err() {
                return;
            }
        }
        tokio::select! {
            changed = seen.changed() => if changed.is_err() { return },
            () = sleep_until(from.unwrap_or_else(Instant::now)), if from.is_some() && !blind => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Duration = Duration::from_millis(1500);

    fn told(inputs: &mut mpsc::UnboundedReceiver<Input>) -> Vec<bool> {
        std::iter::from_fn(|| inputs.try_recv().ok())
            .map(|input| match input {
                Input::Blind(blind) => blind,
                other => panic!("{other:?}"),
            })
            .collect()
    }

    #[tokio::test(start_paused = true)]
    async fn silences_in_a_row_count_from_the_first_and_a_word_ends_them() {
        let (inputs, mut received) = mpsc::unbounded_channel();
        let (sight, tells) = Sight::new(false, GRACE, inputs);
        tokio::spawn(tells);
        let start = Instant::now();
        sight.missed(start);
        tokio::time::sleep(Duration::from_millis(3000)).await;
        sight.missed(Instant::now());
        assert_eq!(sight.silent_since(), Some(start));
        tokio::time::sleep(Duration::from_millis(4450)).await;
        assert_eq!(told(&mut received), [false], "it sees until {:?}", TOLD + GRACE);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(told(&mut received), [true]);
        sight.started();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(told(&mut received), Vec::<bool>::new(), "only a word of discovery ends a silence");
        sight.told();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(told(&mut received), [false]);
    }

    #[tokio::test(start_paused = true)]
    async fn where_lists_are_pushed_a_start_is_blind_until_its_first_try_has_ended() {
        for by_word in [false, true] {
            let (inputs, mut received) = mpsc::unbounded_channel();
            let (sight, tells) = Sight::new(true, GRACE, inputs);
            tokio::spawn(tells);
            tokio::time::sleep(Duration::from_secs(60)).await;
            assert_eq!(told(&mut received), [true]);
            if by_word {
                sight.told()
            } else {
                sight.started()
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert_eq!(told(&mut received), [false]);
        }
    }
}
