//! Checks the protocol of rules and leases by visiting every reachable state of small models. The
//! models run the code of this crate with senders that request leases and restart, answers that are
//! late, reordered, duplicated or lost, a change of the leader whose last log entry is kept or
//! lost, a deposed leader that still grants leases if leaders need no confirmation, and clocks at
//! the bound of their drift. If any one guard of the protocol is removed, the check must find a
//! contradiction.

#[path = "common/exploration.rs"]
mod exploration;

use exploration::{DRIFT, LEASE, explore, sender_clock};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use versioned_config::{
    ClassRules, Effect, Grant, LeaseHolder, LeaseRequest, LeaseTerms, Leases, Micros, Proposal,
    Rules, VersionTag, VersionedRules,
};

/// Time on the registry's clock, in ticks, at which a model stops.
const MAX_TIME: Micros = 3;
/// Maximum number of proposed changes of the rules.
const MAX_PROPOSALS: usize = 1;

/// Number of senders, and the maximum numbers of messages in flight and of requests by each sender.
#[derive(Debug, Clone, Copy)]
struct ModelSize {
    senders: usize,
    max_in_flight: usize,
    max_requests: usize,
}

/// Sizes of the checked models: more requests with one message in flight, more messages in flight
/// with fewer requests, and more senders. Together they reach states that none reaches alone.
const SIZES: [ModelSize; 3] = [
    ModelSize {
        senders: 2,
        max_in_flight: 1,
        max_requests: 3,
    },
    ModelSize {
        senders: 2,
        max_in_flight: 2,
        max_requests: 2,
    },
    ModelSize {
        senders: 3,
        max_in_flight: 1,
        max_requests: 1,
    },
];

/// Guard of the protocol that a model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemovedGuard {
    None,
    /// A sender acts on its last leased rules even after the lease has expired.
    LeaseExpiry,
    /// The registry grants the rules of a new version during its first step, without the
    /// intersection.
    Intersection,
    /// The second step begins while senders may still act on the rules before the first step.
    Acknowledgement,
    /// The first sender has fallback rules that allow what the agreed rules forbid.
    SharedFallback,
    /// The registry adds no time to a lease for the drift of the clocks.
    DriftAllowance,
    /// A new leader assumes that no sender holds a lease.
    NewLeaderWait,
    /// A sender accepts answers to requests of its earlier incarnation.
    Incarnation,
    /// A deposed leader grants leases without confirmation by a majority that it still leads.
    LeaderConfirmation,
}

/// Command that the leader appends to the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Command {
    Propose(Proposal),
    Advance(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Request {
        sender: usize,
        request: LeaseRequest,
    },
    Grant {
        sender: usize,
        request: LeaseRequest,
        tag: VersionTag,
        rules: Rules,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    versions: VersionedRules,
    /// Log entry that a leader has appended and that is not committed yet.
    appended: Option<Command>,
    leases: Leases,
    /// Rules that the previous leader had applied when it was deposed; set only if the guard
    /// [`RemovedGuard::LeaderConfirmation`] is removed.
    deposed: Option<VersionedRules>,
    holders: Vec<LeaseHolder>,
    in_flight: Vec<Message>,
    proposal_count: usize,
    restart_count: usize,
    leader_change_count: usize,
    /// Time on the registry's clock, in ticks, at which the proposal of each version was committed.
    proposal_committed_at: BTreeMap<u64, Micros>,
    /// Number of lease requests that each sender has made.
    request_counts: Vec<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Request(usize),
    /// The message with this index arrives; if the flag is set, a copy stays in flight.
    Deliver(usize, bool),
    /// The lease request with this index arrives at the deposed leader.
    DeliverToDeposed(usize),
    Lose(usize),
    Propose,
    Advance,
    Commit,
    Restart(usize),
    /// Another replica becomes leader; the flag tells whether its log has the uncommitted entry.
    ChangeLeader(bool),
}

struct StepsModel(RemovedGuard, ModelSize);

/// Returns rules that name and accept only these classes.
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

/// Returns the rules of a version, counted from 0: each version accepts only a class that no other
/// version names, so that any two versions contradict each other.
fn version(number: usize) -> Rules {
    rules([&["x"], &["y"], &["z"]][number])
}

impl StepsModel {
    fn fallback(&self, sender: usize) -> Rules {
        if self.0 == RemovedGuard::SharedFallback && sender == 0 {
            rules(&["w"])
        } else {
            Rules::default()
        }
    }

    /// Returns the message that carries a grant to the sender.
    fn grant(
        &self,
        sender: usize,
        request: LeaseRequest,
        Grant { tag, rules, .. }: Grant,
    ) -> Message {
        let skips_intersection = self.0 == RemovedGuard::Intersection && !tag.complete;
        let rules = if skips_intersection {
            version(tag.version as usize - 1)
        } else {
            rules
        };
        Message::Grant {
            sender,
            request,
            tag,
            rules,
        }
    }

    /// Returns the rules that a sender acts on in this state.
    fn acts_on<'a>(&self, state: &'a State, sender: usize) -> &'a Rules {
        let now = if self.0 == RemovedGuard::LeaseExpiry {
            0
        } else {
            sender_clock(sender, state.now)
        };
        state.holders[sender].rules(now)
    }
}

impl Model for StepsModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let drift = if self.0 == RemovedGuard::DriftAllowance {
            0
        } else {
            DRIFT
        };
        let versions = VersionedRules::new(Rules::default(), version(0))
            .expect("fallback is within the rules");
        let ModelSize { senders, .. } = self.1;
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
                .map(|sender| LeaseHolder::new(self.fallback(sender), 0))
                .collect(),
            in_flight: Vec::new(),
            proposal_count: 0,
            restart_count: 0,
            leader_change_count: 0,
            proposal_committed_at: BTreeMap::new(),
            request_counts: vec![0; senders],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let ModelSize {
            senders,
            max_in_flight,
            max_requests,
        } = self.1;
        if state.now < MAX_TIME {
            actions.push(Action::Tick);
        }
        if state.in_flight.len() < max_in_flight {
            actions.extend(
                (0..senders)
                    .filter(|sender| state.request_counts[*sender] < max_requests)
                    .map(Action::Request),
            );
        }
        for index in 0..state.in_flight.len() {
            actions.extend([Action::Deliver(index, false), Action::Lose(index)]);
            // Only answers are duplicated: for the registry a duplicate request is like a further
            // request that reports the same version and step.
            if matches!(state.in_flight[index], Message::Grant { .. }) {
                actions.push(Action::Deliver(index, true));
            } else if self.0 == RemovedGuard::LeaderConfirmation && state.deposed.is_some() {
                actions.push(Action::DeliverToDeposed(index));
            }
        }
        if state.proposal_count < MAX_PROPOSALS {
            actions.push(Action::Propose);
        }
        actions.extend([Action::Advance, Action::Commit]);
        if state.restart_count < 1 {
            actions.push(Action::Restart(senders - 1));
        }
        if state.leader_change_count < 1 {
            actions.push(Action::ChangeLeader(true));
            if state.appended.is_some() {
                actions.push(Action::ChangeLeader(false));
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
            Action::Request(sender) => {
                let request = state.holders[sender].request(sender_clock(sender, now));
                state.request_counts[sender] += 1;
                state.in_flight.push(Message::Request { sender, request });
            }
            Action::Deliver(index, keeps_copy) => {
                let message = if keeps_copy {
                    state.in_flight[index].clone()
                } else {
                    state.in_flight.remove(index)
                };
                match message {
                    Message::Request { sender, request } => {
                        let key = (sender as u64) << 8 | request.incarnation;
                        let grant = state
                            .leases
                            .grant(now, key, request.acts_on, &state.versions);
                        state.in_flight.push(self.grant(sender, request, grant));
                    }
                    Message::Grant {
                        sender,
                        request,
                        tag,
                        rules,
                    } => {
                        let request = LeaseRequest {
                            incarnation: if self.0 == RemovedGuard::Incarnation {
                                0
                            } else {
                                request.incarnation
                            },
                            ..request
                        };
                        let local = sender_clock(sender, now);
                        state.holders[sender].apply_grant(
                            request,
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
            Action::DeliverToDeposed(index) => {
                let Message::Request { sender, request } = state.in_flight.remove(index) else {
                    return None;
                };
                let versions = state.deposed.as_ref()?;
                let grant = Grant {
                    tag: versions.tag(),
                    rules: versions.rules().clone(),
                    lease: LEASE,
                };
                state.in_flight.push(self.grant(sender, request, grant));
            }
            Action::Lose(index) => {
                state.in_flight.remove(index);
            }
            Action::Propose => {
                if state.appended.is_some() || !state.leases.is_settled(now, &state.versions) {
                    return None;
                }
                let from = state.versions.tag().version;
                state.appended = Some(Command::Propose(Proposal {
                    from,
                    rules: version(state.proposal_count + 1),
                }));
                state.proposal_count += 1;
            }
            Action::Advance => {
                let tag = state.versions.tag();
                let must_wait = state.leases.blocking_lease(now, tag).is_some()
                    && self.0 != RemovedGuard::Acknowledgement;
                if state.appended.is_some() || tag.complete || must_wait {
                    return None;
                }
                state.appended = Some(Command::Advance(tag.version));
            }
            Action::Commit => match state.appended.take()? {
                Command::Propose(proposal) => {
                    let tag = state.versions.propose(proposal).ok()?;
                    state.proposal_committed_at.insert(tag.version, now);
                }
                Command::Advance(version) => {
                    state.versions.advance(version);
                }
            },
            Action::Restart(sender) => {
                state.restart_count += 1;
                let incarnation = if self.0 == RemovedGuard::Incarnation {
                    0
                } else {
                    state.restart_count as u64
                };
                state.holders[sender] = LeaseHolder::new(self.fallback(sender), incarnation);
            }
            Action::ChangeLeader(keeps_entry) => {
                state.leader_change_count += 1;
                state.appended = state.appended.filter(|_| keeps_entry);
                let longest_validity = LEASE + DRIFT;
                let leader_since = match self.0 {
                    RemovedGuard::NewLeaderWait => now.checked_sub(longest_validity)?,
                    _ => now,
                };
                let drift = if self.0 == RemovedGuard::DriftAllowance {
                    0
                } else {
                    DRIFT
                };
                state.leases = Leases::new(
                    LeaseTerms {
                        lease: LEASE,
                        max_drift: drift,
                    },
                    leader_since,
                );
                state.deposed =
                    (self.0 == RemovedGuard::LeaderConfirmation).then(|| state.versions.clone());
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two act on rules that contradict each other",
                |model: &StepsModel, state: &State| {
                    let senders = 0..model.1.senders;
                    let acts: Vec<&Rules> =
                        senders.map(|sender| model.acts_on(state, sender)).collect();
                    acts.iter()
                        .all(|one| acts.iter().all(|other| !one.contradicts(other)))
                },
            ),
            Property::always(
                "no sender acts on an earlier version for longer than a lease and its drift",
                |model: &StepsModel, state: &State| {
                    // Once the next version is committed, no further lease on this version is
                    // granted, and the last one expires after at most LEASE + DRIFT ticks. This is
                    // checked only with all guards in place.
                    (0..model.1.senders).all(|sender| {
                        let local = sender_clock(sender, state.now);
                        let tag = state.holders[sender]
                            .tag(local)
                            .filter(|_| model.0 == RemovedGuard::None);
                        let next_committed_at =
                            tag.and_then(|tag| state.proposal_committed_at.get(&(tag.version + 1)));
                        next_committed_at
                            .is_none_or(|committed_at| state.now <= committed_at + LEASE + DRIFT)
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

fn check(removed: RemovedGuard, size: ModelSize) -> (usize, BTreeSet<&'static str>) {
    explore(StepsModel(removed, size))
}

#[test]
fn no_reachable_state_has_contradicting_senders_when_all_guards_hold() {
    for size in SIZES {
        let (states, found) = check(RemovedGuard::None, size);
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
fn a_contradiction_is_reachable_when_any_one_guard_is_removed() {
    let contradiction = "no two act on rules that contradict each other";
    for removed in [
        RemovedGuard::LeaseExpiry,
        RemovedGuard::Intersection,
        RemovedGuard::Acknowledgement,
        RemovedGuard::SharedFallback,
        RemovedGuard::DriftAllowance,
        RemovedGuard::NewLeaderWait,
        RemovedGuard::Incarnation,
        RemovedGuard::LeaderConfirmation,
    ] {
        // Without the incarnation guard, the contradiction needs an answer to the earlier
        // incarnation and a request of the next one in flight at the same time. Only SIZES[1]
        // allows this.
        let size = SIZES[usize::from(removed == RemovedGuard::Incarnation)];
        let (states, found) = check(removed, size);
        println!("without {removed:?}: {states} states");
        assert!(
            found.contains(contradiction),
            "without {removed:?}: none in {states} states"
        );
    }
}
