//! A model check of parts, on the code that the programs run: senders that ask, questions and answers that come late, out of
//! order, twice or never, lives that end, a keeper that is replaced and does not know it, a limit that is lowered, a
//! sender's clock at the bound of its drift. Every reachable state of the size given is visited; with any one guard taken out
//! more is used than the limit allows.

#[path = "../../agreement/tests/common/exploration.rs"]
mod exploration;

use exploration::{DRIFT, LEASE, explore, sender_clock};
use quota_ledger::{
    Allocation, Allocator, FallbackQuotas, LeaseTerms, Limit, LimitKey, Micros, QuotaDemand,
    QuotaHolder, Resource,
};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// Ticks of the keepers' clock.
const TIME: Micros = 3;
/// The least that is dealt, the limit, and the limit once it is lowered.
const UNIT: u64 = 1_000_000_000;
const TOTAL: u64 = 4 * UNIT;
const LOWERED: u64 = 3 * UNIT;
const FLOOR: u64 = UNIT;

/// Senders, messages under way at once, and questions of each sender.
#[derive(Debug, Clone, Copy)]
struct Size {
    senders: usize,
    under_way: usize,
    asks: u64,
}

const SIZES: [Size; 3] = [
    Size {
        senders: 2,
        under_way: 1,
        asks: 2,
    },
    Size {
        senders: 2,
        under_way: 2,
        asks: 1,
    },
    Size {
        senders: 3,
        under_way: 1,
        asks: 1,
    },
];

/// What is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A sender uses its part however old it is.
    End,
    /// A lease counts from when its answer came.
    Asked,
    /// What others may still use is dealt again.
    Line,
    /// What was granted last stands in place of what was granted before.
    Largest,
    /// Clocks that run slow are not allowed for.
    Drift,
    /// One that takes over takes it that nobody holds a part.
    TakeOver,
    /// A keeper deals without a majority's word that it still is one.
    Confirmation,
    /// Answers to an earlier life's questions count.
    Life,
    /// Floors are no part of the sum.
    Floors,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Ask {
        sender: usize,
        life: u64,
        number: u64,
        want: QuotaDemand,
    },
    Answer {
        sender: usize,
        life: u64,
        number: u64,
        dealt: Allocation,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    total: u64,
    lowered: Option<Micros>,
    keeper: Allocator,
    /// The keeper before, which does not know that it is none any more.
    deposed: Option<Allocator>,
    holders: Vec<QuotaHolder>,
    lives: Vec<u64>,
    asked: Vec<u64>,
    under_way: Vec<Message>,
    taken_over: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Ask(usize),
    /// It arrives, and may come again.
    Deliver(usize, bool),
    DeliverDeposed(usize),
    Lose(usize),
    Lower,
    Restart(usize),
    TakeOver,
}

struct Dealing(Without, Size);

fn key() -> LimitKey {
    LimitKey::of(7, Resource::Rate)
}

impl Dealing {
    fn floors(&self) -> FallbackQuotas {
        let Size { senders, .. } = self.1;
        FallbackQuotas {
            senders: senders as u32,
            per_sender: [("rate".to_string(), FLOOR)].into(),
        }
    }

    /// The floors as the keeper counts them.
    fn counted(&self) -> FallbackQuotas {
        if self.0 == Without::Floors {
            FallbackQuotas::default()
        } else {
            self.floors()
        }
    }

    fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            lease: LEASE,
            max_drift: if self.0 == Without::Drift { 0 } else { DRIFT },
        }
    }

    fn uses(&self, state: &State, sender: usize) -> u64 {
        let now = if self.0 == Without::End {
            0
        } else {
            sender_clock(sender, state.now)
        };
        state.holders[sender]
            .usable(now, &key())
            .unwrap_or(u64::MAX / 8)
    }

    fn used(&self, state: &State) -> u64 {
        (0..self.1.senders)
            .map(|sender| self.uses(state, sender))
            .sum()
    }

    fn answer(
        &self,
        keeper: &mut Allocator,
        now: Micros,
        total: u64,
        ask: Message,
    ) -> Option<Message> {
        let Message::Ask {
            sender,
            life,
            number,
            want,
        } = ask
        else {
            return None;
        };
        let number_of = (sender as u64) << 8 | if self.0 == Without::Life { 0 } else { life };
        let limit = Limit {
            total,
            expiry_grace_ms: 0,
        };
        let mut alone = Allocator::new(self.terms(), 0);
        // the sender before is known by another number, and what it had by none
        let keeper = if self.0 == Without::Line {
            &mut alone
        } else {
            keeper
        };
        if self.0 == Without::Largest {
            let others = (0..self.1.senders).filter(|other| *other != sender);
            let held: Vec<(u64, u64, u64)> = keeper.holders(now, &key()).collect();
            let mut fresh = Allocator::new(self.terms(), now - LEASE - DRIFT);
            for other in others {
                for (number, part, _) in held
                    .iter()
                    .filter(|(number, ..)| *number >> 8 == other as u64)
                {
                    let want = QuotaDemand {
                        key: key(),
                        amount: *part,
                    };
                    fresh.allocate(
                        now,
                        *number,
                        &want,
                        Limit {
                            total: u64::MAX >> 20,
                            expiry_grace_ms: 0,
                        },
                        &FallbackQuotas::default(),
                    );
                }
            }
            *keeper = fresh;
        }
        let dealt = keeper.allocate(now, number_of, &want, limit, &self.counted());
        Some(Message::Answer {
            sender,
            life,
            number,
            dealt,
        })
    }
}

impl Model for Dealing {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let Size { senders, .. } = self.1;
        // the keeper has waited for those before it
        let now = LEASE + DRIFT;
        vec![State {
            now,
            total: TOTAL,
            lowered: None,
            keeper: Allocator::new(self.terms(), 0),
            deposed: None,
            holders: vec![QuotaHolder::new(self.floors()); senders],
            lives: vec![0; senders],
            asked: vec![0; senders],
            under_way: Vec::new(),
            taken_over: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let Size {
            senders,
            under_way,
            asks,
        } = self.1;
        if state.now < LEASE + DRIFT + TIME {
            actions.push(Action::Tick);
        }
        if state.under_way.len() < under_way {
            actions.extend(
                (0..senders)
                    .filter(|sender| state.asked[*sender] < asks)
                    .map(Action::Ask),
            );
        }
        for at in 0..state.under_way.len() {
            actions.extend([Action::Deliver(at, false), Action::Lose(at)]);
            // an answer that comes twice; a question that does is one that was asked twice
            if under_way > 1 && matches!(state.under_way[at], Message::Answer { .. }) {
                actions.push(Action::Deliver(at, true));
            }
            if self.0 == Without::Confirmation && state.deposed.is_some() {
                actions.push(Action::DeliverDeposed(at));
            }
        }
        if state.lowered.is_none() {
            actions.push(Action::Lower);
        }
        if state.lives[senders - 1] == 0 {
            actions.push(Action::Restart(senders - 1));
        }
        if !state.taken_over {
            actions.push(Action::TakeOver);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let now = state.now;
        match action {
            Action::Tick => {
                state.now += 1;
                state.keeper.remove_expired(state.now);
            }
            Action::Ask(sender) => {
                let wanted = QuotaDemand {
                    key: key(),
                    amount: 2 * UNIT,
                };
                let number = state.holders[sender].request(sender_clock(sender, now));
                state.asked[sender] += 1;
                let (life, want) = (state.lives[sender], wanted);
                state.under_way.push(Message::Ask {
                    sender,
                    life,
                    number,
                    want,
                });
            }
            Action::Deliver(at, again) => {
                let message = if again {
                    state.under_way[at].clone()
                } else {
                    state.under_way.remove(at)
                };
                match message {
                    Message::Answer {
                        sender,
                        life,
                        number,
                        dealt,
                    } => {
                        if life != state.lives[sender] && self.0 != Without::Life {
                            return None;
                        }
                        let local = sender_clock(sender, now);
                        let number = match self.0 {
                            Without::Asked => state.holders[sender].request(local),
                            _ => number,
                        };
                        state.holders[sender].apply_allocations(number, LEASE, vec![dealt]);
                    }
                    ask => {
                        let answer = self.answer(&mut state.keeper, now, state.total, ask)?;
                        state.under_way.push(answer);
                    }
                }
            }
            Action::DeliverDeposed(at) => {
                let ask = state.under_way.remove(at);
                let answer = self.answer(state.deposed.as_mut()?, now, state.total, ask)?;
                state.under_way.push(answer);
            }
            Action::Lose(at) => {
                state.under_way.remove(at);
            }
            Action::Lower => (state.total, state.lowered) = (LOWERED, Some(now)),
            Action::Restart(sender) => {
                state.lives[sender] += 1;
                state.holders[sender] = QuotaHolder::new(self.floors());
            }
            Action::TakeOver => {
                state.taken_over = true;
                let since = if self.0 == Without::TakeOver {
                    now - LEASE - DRIFT
                } else {
                    now
                };
                let next = Allocator::new(self.terms(), since);
                let before = std::mem::replace(&mut state.keeper, next);
                state.deposed = (self.0 == Without::Confirmation).then_some(before);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no more is used than the limit",
                |model: &Dealing, state: &State| {
                    // the bound: a limit of before counts until every lease of before has lapsed
                    let fresh = state
                        .lowered
                        .is_some_and(|since| state.now < since + LEASE + DRIFT);
                    model.used(state) <= if fresh { TOTAL } else { state.total }
                },
            ),
            Property::sometimes(
                "all of the limit is used",
                |model: &Dealing, state: &State| model.used(state) == TOTAL,
            ),
            Property::sometimes(
                "all of the lower one is",
                |model: &Dealing, state: &State| {
                    let old = state
                        .lowered
                        .is_some_and(|since| state.now >= since + LEASE + DRIFT);
                    old && model.used(state) == LOWERED
                },
            ),
        ]
    }
}

fn check(without: Without, size: Size) -> (usize, BTreeSet<&'static str>) {
    explore(Dealing(without, size))
}

#[test]
fn no_reachable_state_uses_more_than_the_limit() {
    for size in SIZES {
        let (states, found) = check(Without::Nothing, size);
        println!("{size:?}: {states} states");
        assert!(
            !found.contains("no more is used than the limit"),
            "in {states} states of {size:?}"
        );
        assert!(
            size.senders > 2 || found.len() == 2,
            "{found:?} in {states} states of {size:?}"
        );
        assert!(states > 20_000, "{states} states");
    }
}

#[test]
fn with_any_guard_taken_out_more_is_used() {
    for without in [
        Without::End,
        Without::Asked,
        Without::Line,
        Without::Largest,
        Without::Drift,
        Without::TakeOver,
        Without::Confirmation,
        Without::Life,
        Without::Floors,
    ] {
        // an answer of an earlier life is under way beside a question of the next
        let life = Size {
            senders: 2,
            under_way: 2,
            asks: 2,
        };
        let sizes = if without == Without::Life {
            vec![life]
        } else {
            SIZES.to_vec()
        };
        let found = sizes.into_iter().find_map(|size| {
            let (states, found) = check(without, size);
            found
                .contains("no more is used than the limit")
                .then_some((states, size))
        });
        println!("without {without:?}: {found:?}");
        assert!(found.is_some(), "without {without:?} nothing was found");
    }
}
