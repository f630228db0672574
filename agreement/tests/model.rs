//! A model check of the steps, on the code that the programs run: senders that ask, answers that come late, out of
//! order, twice or never, lives that end, a registry that is taken over, clocks at the bound of their drift. Every
//! reachable state of the size given is visited. With any one guard taken out, a contradiction is found.

use milletturn_agreement::{Ask, Endpoint, Grant, Holder, Ledger, Micros, Proposal, Rules, Tag, Terms};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const SENDERS: usize = 2;
/// On a sender's clock; one that runs slow by the bound takes twice as long.
const LEASE: Micros = 1;
const DRIFT: Micros = 1;
/// Ticks of the registry's clock, and changes.
const TIME: Micros = 3;
const PROPOSALS: usize = 1;

/// Messages under way at once, and questions of each sender.
#[derive(Debug, Clone, Copy)]
struct Size {
    under_way: usize,
    asks: usize,
}

/// Few messages at once and more questions, and the other way round: together they reach what either alone does not.
const SIZES: [Size; 2] = [Size { under_way: 1, asks: 3 }, Size { under_way: 2, asks: 2 }];

/// What is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A sender acts on its last rules however old they are.
    LeaseCheck,
    /// The new rules are granted at once.
    Meet,
    /// The second step does not wait for those that have not acknowledged the first.
    Acknowledgement,
    /// The floor allows what the rules do not.
    Floor,
    /// Clocks that run slow are not allowed for.
    Drift,
    /// One that takes over takes it that nobody holds a lease.
    TakeOver,
    /// Answers to an earlier life's questions count.
    Life,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Ask { sender: usize, ask: Ask },
    Grant { sender: usize, ask: Ask, tag: Tag, rules: Rules },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    ledger: Ledger,
    holders: Vec<Holder>,
    under_way: Vec<Message>,
    proposed: usize,
    restarted: usize,
    taken_over: usize,
    /// When each version was proposed.
    since: BTreeMap<u64, Micros>,
    /// How often each sender has asked.
    asked: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Ask(usize),
    /// It arrives, and may come again.
    Deliver(usize, bool),
    Lose(usize),
    Propose,
    Advance,
    Restart(usize),
    TakeOver,
}

struct Steps(Without, Size);

/// Endpoints that are in.
fn rules(ids: &[&str]) -> Rules {
    Rules { endpoints: ids.iter().map(|id| (id.to_string(), Endpoint::In)).collect(), ..Rules::default() }
}

/// Each version allows what the one before forbids.
fn version(number: usize) -> Rules {
    rules([&["x"], &["y"], &["z"]][number])
}

impl Steps {
    fn floor(&self) -> Rules {
        if self.0 == Without::Floor { rules(&["w"]) } else { Rules::default() }
    }

    /// A sender's clock: the first one's runs slow by the bound.
    fn local(&self, sender: usize, now: Micros) -> Micros {
        if sender == 0 { now * LEASE / (LEASE + DRIFT) } else { now }
    }

    /// What a sender acts on.
    fn acts_on<'a>(&self, state: &'a State, sender: usize) -> &'a Rules {
        let now = if self.0 == Without::LeaseCheck { 0 } else { self.local(sender, state.now) };
        state.holders[sender].rules(now)
    }
}

impl Model for Steps {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let drift = if self.0 == Without::Drift { 0 } else { DRIFT };
        let ledger = Ledger::new(Terms { lease: LEASE, drift }, Rules::default(), version(0), 0)
            .expect("above the floor");
        let holders = (0..SENDERS).map(|_| Holder::new(self.floor(), 0)).collect();
        let (under_way, since) = (Vec::new(), BTreeMap::new());
        vec![State {
            now: 0,
            ledger,
            holders,
            under_way,
            proposed: 0,
            restarted: 0,
            taken_over: 0,
            since,
            asked: vec![0; SENDERS],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < TIME {
            actions.push(Action::Tick);
        }
        if state.under_way.len() < self.1.under_way {
            let may = |sender: &usize| state.asked[*sender] < self.1.asks;
            actions.extend((0..SENDERS).filter(may).map(Action::Ask));
        }
        for at in 0..state.under_way.len() {
            actions.extend([Action::Deliver(at, false), Action::Lose(at)]);
            // an answer that comes twice; a question that does is one that was asked twice
            if matches!(state.under_way[at], Message::Grant { .. }) {
                actions.push(Action::Deliver(at, true));
            }
        }
        if state.proposed < PROPOSALS {
            actions.push(Action::Propose);
        }
        actions.push(Action::Advance);
        if state.restarted < 1 {
            actions.push(Action::Restart(SENDERS - 1));
        }
        if state.taken_over < 1 {
            actions.push(Action::TakeOver);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let now = state.now;
        match action {
            Action::Tick => state.now += 1,
            Action::Ask(sender) => {
                let ask = state.holders[sender].ask(self.local(sender, now));
                state.asked[sender] += 1;
                state.under_way.push(Message::Ask { sender, ask });
            }
            Action::Deliver(at, again) => {
                let message = if again { state.under_way[at].clone() } else { state.under_way.remove(at) };
                match message {
                    Message::Ask { sender, ask } => {
                        if state.under_way.len() >= self.1.under_way {
                            return None;
                        }
                        let Grant { tag, rules, .. } = state.ledger.ask(now, sender as u64, ask.acts_on);
                        let late = self.0 == Without::Meet && !tag.whole;
                        let rules = if late { version(tag.version as usize - 1) } else { rules };
                        state.under_way.push(Message::Grant { sender, ask, tag, rules });
                    }
                    Message::Grant { sender, ask, tag, rules } => {
                        let ask = Ask { life: if self.0 == Without::Life { 0 } else { ask.life }, ..ask };
                        state.holders[sender].granted(ask, Grant { tag, rules, lease: LEASE });
                    }
                }
            }
            Action::Lose(at) => {
                state.under_way.remove(at);
            }
            Action::Propose => {
                let from = state.ledger.tag().version;
                let proposal = Proposal { from, rules: version(state.proposed + 1) };
                let tag = state.ledger.propose(now, proposal).ok()?;
                state.since.insert(tag.version, now);
                state.proposed += 1;
            }
            Action::Advance => {
                let now = if self.0 == Without::Acknowledgement { Micros::MAX } else { now };
                if !state.ledger.advance(now) {
                    return None;
                }
            }
            Action::Restart(sender) => {
                state.restarted += 1;
                let life = if self.0 == Without::Life { 0 } else { state.restarted as u64 };
                state.holders[sender] = Holder::new(self.floor(), life);
            }
            Action::TakeOver => {
                state.taken_over += 1;
                let longest = LEASE + DRIFT;
                if self.0 == Without::TakeOver && now < longest {
                    return None;
                }
                state.ledger.take_over(if self.0 == Without::TakeOver { now - longest } else { now });
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two act on rules that contradict each other",
                |model: &Steps, state: &State| {
                    let acts: Vec<&Rules> = (0..SENDERS).map(|sender| model.acts_on(state, sender)).collect();
                    acts.iter().all(|one| acts.iter().all(|other| !one.contradicts(other)))
                },
            ),
            Property::always(
                "nobody acts on rules of before for longer than a lease",
                |model: &Steps, state: &State| {
                    // the bound: from the moment at which a change was taken up
                    (0..SENDERS).all(|sender| {
                        let local = model.local(sender, state.now);
                        let tag = state.holders[sender].tag(local).filter(|_| model.0 == Without::Nothing);
                        let next = tag.and_then(|tag| state.since.get(&(tag.version + 1)));
                        next.is_none_or(|since| state.now <= since + LEASE + DRIFT)
                    })
                },
            ),
            Property::sometimes("a change goes through", |_, state: &State| {
                state.ledger.tag() == Tag { version: 2, whole: true }
                    && state.holders.iter().any(|holder| holder.tag(0) == Some(state.ledger.tag()))
            }),
        ]
    }
}

fn check(without: Without, size: Size) -> (usize, BTreeSet<&'static str>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let steps = Steps(without, size).checker().threads(threads);
    // one that breaks is found and no more is asked
    let checker = steps.finish_when(HasDiscoveries::AnyFailures).spawn_dfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn no_reachable_state_has_a_contradiction() {
    for size in SIZES {
        let (states, found) = check(Without::Nothing, size);
        println!("{size:?}: {states} states");
        assert_eq!(found, BTreeSet::from(["a change goes through"]), "in {states} states of {size:?}");
        assert!(states > 1_000_000, "{states} states");
    }
}

#[test]
fn with_any_guard_taken_out_a_contradiction_is_found() {
    let contradiction = "no two act on rules that contradict each other";
    for without in [
        Without::LeaseCheck,
        Without::Meet,
        Without::Acknowledgement,
        Without::Floor,
        Without::Drift,
        Without::TakeOver,
        Without::Life,
    ] {
        // an answer of an earlier life is under way beside a question of the next
        let size = SIZES[usize::from(without == Without::Life)];
        let (states, found) = check(without, size);
        println!("without {without:?}: {states} states");
        assert!(found.contains(contradiction), "without {without:?}: none in {states} states");
    }
}
