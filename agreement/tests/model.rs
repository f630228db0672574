//! A model check of the steps, on the code that the programs run: senders that ask, answers that come late, out of
//! order, twice or never, lives that end, a log whose last entry may be committed by the next leader or lost, a leader that
//! is deposed and does not know it, clocks at the bound of their drift. Every reachable state of the size given is visited.
//! With any one guard taken out, a contradiction is found.

#[path = "common/exploration.rs"]
mod exploration;

use exploration::{DRIFT, LEASE, explore, sender_clock};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::{
    ClassRules, Effect, Grant, LeaseHolder, LeaseRequest, LeaseTerms, Leases, Micros, Proposal,
    Rules, VersionTag, VersionedRules,
};

/// Ticks of the registry's clock, and changes.
const TIME: Micros = 3;
const PROPOSALS: usize = 1;

/// Senders, messages under way at once, and questions of each sender.
#[derive(Debug, Clone, Copy)]
struct Size {
    senders: usize,
    under_way: usize,
    asks: usize,
}

/// Few messages at once and more questions, the other way round, and more senders: together they reach what none alone
/// does.
const SIZES: [Size; 3] = [
    Size {
        senders: 2,
        under_way: 1,
        asks: 3,
    },
    Size {
        senders: 2,
        under_way: 2,
        asks: 2,
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
    /// A sender acts on its last rules however old they are.
    LeaseCheck,
    /// The new rules are granted at once.
    Meet,
    /// The second step does not wait for those that have not acknowledged the first.
    Acknowledgement,
    /// One sender's floor allows what the rules do not.
    Floor,
    /// Clocks that run slow are not allowed for.
    Drift,
    /// One that takes over takes it that nobody holds a lease.
    TakeOver,
    /// Answers to an earlier life's questions count.
    Life,
    /// A leader grants leases without a majority's word that it still leads.
    Confirmation,
}

/// What the log takes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Command {
    Propose(Proposal),
    Advance(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Ask {
        sender: usize,
        ask: LeaseRequest,
    },
    Grant {
        sender: usize,
        ask: LeaseRequest,
        tag: VersionTag,
        rules: Rules,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    versions: VersionedRules,
    /// Appended by a leader, not committed yet.
    appended: Option<Command>,
    leases: Leases,
    /// What the leader before had applied when it was deposed.
    deposed: Option<VersionedRules>,
    holders: Vec<LeaseHolder>,
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
    /// It arrives at a leader that has been deposed.
    DeliverDeposed(usize),
    Lose(usize),
    Propose,
    Advance,
    Commit,
    Restart(usize),
    /// Another leads, which has what was appended last or has not.
    TakeOver(bool),
}

struct Steps(Without, Size);

/// Classes that are accepted.
fn rules(names: &[&str]) -> Rules {
    let class = ClassRules {
        accepted: true,
        effect: Effect::Idempotent,
        max_attempts: 1,
        in_order: false,
        key_meaning: String::new(),
        key_backoff_ms: 0,
    };
    Rules {
        classes: names
            .iter()
            .map(|name| (name.to_string(), class.clone()))
            .collect(),
        ..Rules::default()
    }
}

/// Each version allows what the one before forbids.
fn version(number: usize) -> Rules {
    rules([&["x"], &["y"], &["z"]][number])
}

impl Steps {
    fn floor(&self, sender: usize) -> Rules {
        if self.0 == Without::Floor && sender == 0 {
            rules(&["w"])
        } else {
            Rules::default()
        }
    }

    /// The answer that goes back.
    fn grant(&self, sender: usize, ask: LeaseRequest, Grant { tag, rules, .. }: Grant) -> Message {
        let early = self.0 == Without::Meet && !tag.complete;
        let rules = if early {
            version(tag.version as usize - 1)
        } else {
            rules
        };
        Message::Grant {
            sender,
            ask,
            tag,
            rules,
        }
    }

    /// What a sender acts on.
    fn acts_on<'a>(&self, state: &'a State, sender: usize) -> &'a Rules {
        let now = if self.0 == Without::LeaseCheck {
            0
        } else {
            sender_clock(sender, state.now)
        };
        state.holders[sender].rules(now)
    }
}

impl Model for Steps {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let drift = if self.0 == Without::Drift { 0 } else { DRIFT };
        let versions = VersionedRules::new(Rules::default(), version(0)).expect("above the floor");
        let Size { senders, .. } = self.1;
        vec![State {
            now: 0,
            versions,
            appended: None,
            leases: Leases::new(
                LeaseTerms {
                    lease: LEASE,
                    max_drift: drift,
                },
                0,
            ),
            deposed: None,
            holders: (0..senders)
                .map(|sender| LeaseHolder::new(self.floor(sender), 0))
                .collect(),
            under_way: Vec::new(),
            proposed: 0,
            restarted: 0,
            taken_over: 0,
            since: BTreeMap::new(),
            asked: vec![0; senders],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let Size {
            senders,
            under_way,
            asks,
        } = self.1;
        if state.now < TIME {
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
            if matches!(state.under_way[at], Message::Grant { .. }) {
                actions.push(Action::Deliver(at, true));
            } else if self.0 == Without::Confirmation && state.deposed.is_some() {
                actions.push(Action::DeliverDeposed(at));
            }
        }
        if state.proposed < PROPOSALS {
            actions.push(Action::Propose);
        }
        actions.extend([Action::Advance, Action::Commit]);
        if state.restarted < 1 {
            actions.push(Action::Restart(senders - 1));
        }
        if state.taken_over < 1 {
            actions.push(Action::TakeOver(true));
            if state.appended.is_some() {
                actions.push(Action::TakeOver(false));
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        let now = state.now;
        match action {
            Action::Tick => {
                state.now += 1;
                state.leases.remove_expired(state.now);
            }
            Action::Ask(sender) => {
                let ask = state.holders[sender].request(sender_clock(sender, now));
                state.asked[sender] += 1;
                state.under_way.push(Message::Ask { sender, ask });
            }
            Action::Deliver(at, again) => {
                let message = if again {
                    state.under_way[at].clone()
                } else {
                    state.under_way.remove(at)
                };
                match message {
                    Message::Ask { sender, ask } => {
                        let key = (sender as u64) << 8 | ask.incarnation;
                        let grant = state.leases.grant(now, key, ask.acts_on, &state.versions);
                        state.under_way.push(self.grant(sender, ask, grant));
                    }
                    Message::Grant {
                        sender,
                        ask,
                        tag,
                        rules,
                    } => {
                        let ask = LeaseRequest {
                            incarnation: if self.0 == Without::Life {
                                0
                            } else {
                                ask.incarnation
                            },
                            ..ask
                        };
                        let local = sender_clock(sender, now);
                        state.holders[sender].apply_grant(
                            ask,
                            Grant {
                                tag,
                                rules,
                                lease: LEASE,
                            },
                            local,
                        );
                    }
                }
            }
            Action::DeliverDeposed(at) => {
                let Message::Ask { sender, ask } = state.under_way.remove(at) else {
                    return None;
                };
                let versions = state.deposed.as_ref()?;
                let grant = Grant {
                    tag: versions.tag(),
                    rules: versions.rules().clone(),
                    lease: LEASE,
                };
                state.under_way.push(self.grant(sender, ask, grant));
            }
            Action::Lose(at) => {
                state.under_way.remove(at);
            }
            Action::Propose => {
                if state.appended.is_some() || !state.leases.is_settled(now, &state.versions) {
                    return None;
                }
                let from = state.versions.tag().version;
                state.appended = Some(Command::Propose(Proposal {
                    from,
                    rules: version(state.proposed + 1),
                }));
                state.proposed += 1;
            }
            Action::Advance => {
                let tag = state.versions.tag();
                let waits = state.leases.blocking_lease(now, tag).is_some()
                    && self.0 != Without::Acknowledgement;
                if state.appended.is_some() || tag.complete || waits {
                    return None;
                }
                state.appended = Some(Command::Advance(tag.version));
            }
            Action::Commit => match state.appended.take()? {
                Command::Propose(proposal) => {
                    let tag = state.versions.propose(proposal).ok()?;
                    state.since.insert(tag.version, now);
                }
                Command::Advance(version) => {
                    state.versions.advance(version);
                }
            },
            Action::Restart(sender) => {
                state.restarted += 1;
                let life = if self.0 == Without::Life {
                    0
                } else {
                    state.restarted as u64
                };
                state.holders[sender] = LeaseHolder::new(self.floor(sender), life);
            }
            Action::TakeOver(keeps) => {
                state.taken_over += 1;
                state.appended = state.appended.filter(|_| keeps);
                let longest = LEASE + DRIFT;
                let since = match self.0 {
                    Without::TakeOver => now.checked_sub(longest)?,
                    _ => now,
                };
                let drift = if self.0 == Without::Drift { 0 } else { DRIFT };
                state.leases = Leases::new(
                    LeaseTerms {
                        lease: LEASE,
                        max_drift: drift,
                    },
                    since,
                );
                state.deposed = (self.0 == Without::Confirmation).then(|| state.versions.clone());
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two act on rules that contradict each other",
                |model: &Steps, state: &State| {
                    let senders = 0..model.1.senders;
                    let acts: Vec<&Rules> =
                        senders.map(|sender| model.acts_on(state, sender)).collect();
                    acts.iter()
                        .all(|one| acts.iter().all(|other| !one.contradicts(other)))
                },
            ),
            Property::always(
                "nobody acts on rules of before for longer than a lease",
                |model: &Steps, state: &State| {
                    // the bound: from the moment at which a change was taken up
                    (0..model.1.senders).all(|sender| {
                        let local = sender_clock(sender, state.now);
                        let tag = state.holders[sender]
                            .tag(local)
                            .filter(|_| model.0 == Without::Nothing);
                        let next = tag.and_then(|tag| state.since.get(&(tag.version + 1)));
                        next.is_none_or(|since| state.now <= since + LEASE + DRIFT)
                    })
                },
            ),
            Property::sometimes("a change goes through", |_, state: &State| {
                state.versions.tag()
                    == VersionTag {
                        version: 2,
                        complete: true,
                    }
                    && state
                        .holders
                        .iter()
                        .any(|holder| holder.tag(0) == Some(state.versions.tag()))
            }),
        ]
    }
}

fn check(without: Without, size: Size) -> (usize, BTreeSet<&'static str>) {
    explore(Steps(without, size))
}

#[test]
fn no_reachable_state_has_a_contradiction() {
    for size in SIZES {
        let (states, found) = check(Without::Nothing, size);
        println!("{size:?}: {states} states");
        assert_eq!(
            found,
            BTreeSet::from(["a change goes through"]),
            "in {states} states of {size:?}"
        );
        assert!(states > 500_000, "{states} states");
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
        Without::Confirmation,
    ] {
        // an answer of an earlier life is under way beside a question of the next
        let size = SIZES[usize::from(without == Without::Life)];
        let (states, found) = check(without, size);
        println!("without {without:?}: {states} states");
        assert!(
            found.contains(contradiction),
            "without {without:?}: none in {states} states"
        );
    }
}
