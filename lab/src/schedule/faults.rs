//! The actions that begin and end the faults of a scenario.

use super::action::{
    FaultAction, Impairment, Party, ReplicaAction, ScheduledAction, SpoiledAnswers,
};
use crate::scenario::{CutDirection, Fault, FaultError, FaultKind, PartyGroup, Scenario};
use crate::workload::micros;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

/// Stands for the replica that leads, which is known only when the time has come.
const LEADER: usize = usize::MAX;

/// Draws the actions of a scenario's faults.
pub struct FaultDrawer<'a> {
    scenario: &'a Scenario,
    random: Pcg64,
    actions: Vec<ScheduledAction>,
}

/// What begins a fault of one party, and what ends it.
struct FaultActions {
    begin: FaultAction,
    end: Option<FaultAction>,
}

/// The span of a fault, us after the clients begin.
#[derive(Clone, Copy)]
struct Span {
    from_us: u64,
    to_us: u64,
}

impl<'a> FaultDrawer<'a> {
    /// Draws nothing yet.
    pub fn new(scenario: &'a Scenario, random: Pcg64) -> Self {
        FaultDrawer {
            scenario,
            random,
            actions: Vec::new(),
        }
    }

    /// All actions that were drawn, in order of time.
    pub fn finish(mut self) -> Vec<ScheduledAction> {
        self.actions.sort_by_key(|action| action.at_us);
        self.actions
    }

    /// Draws the actions of a fault.
    ///
    /// # Errors
    /// Names a group that does not exist.
    pub fn draw(&mut self, number: usize, fault: &Fault) -> Result<(), FaultError> {
        let span = Span {
            from_us: micros(fault.at),
            to_us: micros(fault.at + fault.seconds),
        };
        match &fault.kind {
            FaultKind::Cut { from, to, .. }
            | FaultKind::Loss { from, to, .. }
            | FaultKind::Duplicate { from, to, .. }
            | FaultKind::Delay { from, to, .. } => {
                let from = self.parties(from)?;
                let to = self.parties(to)?;
                let begin = FaultAction::Impair {
                    fault: number,
                    from,
                    to,
                    impairment: impairment(&fault.kind),
                };
                self.push(span.from_us, begin);
                self.push(span.to_us, FaultAction::Heal { fault: number });
            }
            FaultKind::Reset { from, to } => {
                let from = self.parties(from)?;
                let to = self.parties(to)?;
                self.push(span.from_us, FaultAction::Reset { from, to });
            }
            FaultKind::DiscoveryDown {} => {
                self.push(span.from_us, FaultAction::Discovery { up: false });
                self.push(span.to_us, FaultAction::Discovery { up: true });
            }
            FaultKind::Kill { who, .. }
            | FaultKind::Answers { who, .. }
            | FaultKind::Crowd { who, .. }
            | FaultKind::Term { who }
            | FaultKind::Stop { who }
            | FaultKind::Upgrade { who }
            | FaultKind::Drain { who }
            | FaultKind::Calls { who, .. }
            | FaultKind::Shut { who } => self.draw_for_each(who, &fault.kind, span)?,
        }
        Ok(())
    }

    fn draw_for_each(
        &mut self,
        group: &str,
        kind: &FaultKind,
        span: Span,
    ) -> Result<(), FaultError> {
        let ends = span.to_us > span.from_us;
        for party in self.parties(group)? {
            let actions = actions_on(kind, party);
            self.push(span.from_us, actions.begin);
            if let Some(end) = actions.end.filter(|_| ends) {
                self.push(span.to_us, end);
            }
        }
        Ok(())
    }

    fn push(&mut self, at_us: u64, action: FaultAction) {
        self.actions.push(ScheduledAction { at_us, action });
    }

    /// The parties of a group.
    fn parties(&mut self, name: &str) -> Result<Vec<Party>, FaultError> {
        let scenario = self.scenario;
        let all_senders = 0..scenario.senders;
        Ok(match scenario.group(name)? {
            PartyGroup::Sender(sender) => vec![Party::Sender(sender)],
            PartyGroup::Senders => all_senders.map(Party::Sender).collect(),
            PartyGroup::Zone(zone) => all_senders
                .filter(|&sender| scenario.zone_of(sender) == zone)
                .map(Party::Sender)
                .collect(),
            PartyGroup::Share(share) => self.draw_senders(share),
            PartyGroup::Endpoint(endpoint) => vec![Party::Endpoint(endpoint)],
            PartyGroup::Endpoints => (0..scenario.endpoints()).map(Party::Endpoint).collect(),
            PartyGroup::Replica(replica) => vec![Party::Registry(replica)],
            PartyGroup::Leader => vec![Party::Registry(LEADER)],
            PartyGroup::Registry => (0..scenario.replicas()).map(Party::Registry).collect(),
            PartyGroup::Discovery => vec![Party::Discovery],
            PartyGroup::Clients => vec![Party::Clients],
        })
    }

    /// A drawn share of the senders, in order of their numbers.
    fn draw_senders(&mut self, share: f64) -> Vec<Party> {
        let mut senders: Vec<usize> = (0..self.scenario.senders).collect();
        senders.shuffle(&mut self.random);
        senders.truncate((share * self.scenario.senders as f64).round() as usize);
        senders.sort_unstable();
        senders.into_iter().map(Party::Sender).collect()
    }
}

/// What a link suffers by a fault of links.
fn impairment(kind: &FaultKind) -> Impairment {
    match kind {
        FaultKind::Cut { direction, .. } => Impairment::Cut {
            forward: *direction != CutDirection::Reverse,
            reverse: *direction != CutDirection::Forward,
        },
        FaultKind::Loss { share, .. } => Impairment::Loss { share: *share },
        FaultKind::Duplicate { share, .. } => Impairment::Duplicate { share: *share },
        FaultKind::Delay { ms, jitter_ms, .. } => Impairment::Delay {
            us: micros(ms / 1e3),
            jitter_us: micros(jitter_ms / 1e3),
        },
        other => unreachable!("{other:?} is no fault of links"),
    }
}

/// What begins and what ends a fault of one party.
fn actions_on(kind: &FaultKind, party: Party) -> FaultActions {
    if let FaultKind::Answers { how, share, .. } = kind {
        let spoil = |spoiled| FaultAction::SpoilAnswers { party, spoiled };
        return FaultActions {
            begin: spoil(Some(SpoiledAnswers {
                kind: *how,
                share: *share,
            })),
            end: Some(spoil(None)),
        };
    }
    match party {
        Party::Sender(sender) => actions_on_sender(kind, sender),
        Party::Registry(replica) => actions_on_replica(kind, replica),
        Party::Endpoint(endpoint) => actions_on_endpoint(kind, endpoint),
        // the scenario was validated: no kind names these parties
        Party::Discovery | Party::Clients => unreachable!("{party:?} suffers no {kind:?}"),
    }
}

fn actions_on_sender(kind: &FaultKind, sender: usize) -> FaultActions {
    let start = |folder_lost| FaultAction::Start {
        sender,
        folder_lost,
    };
    let (begin, end) = match kind {
        FaultKind::Kill { folder_lost, .. } => {
            (FaultAction::Kill { sender }, Some(start(*folder_lost)))
        }
        FaultKind::Term { .. } => (FaultAction::Term { sender }, Some(start(false))),
        FaultKind::Stop { .. } => (
            FaultAction::Stop { sender },
            Some(FaultAction::Continue { sender }),
        ),
        FaultKind::Upgrade { .. } => (FaultAction::Upgrade { sender }, None),
        FaultKind::Crowd {
            connections, sends, ..
        } => {
            let crowd = |connections| FaultAction::Crowd {
                sender,
                connections,
                sends: *sends,
            };
            (crowd(*connections), Some(crowd(0)))
        }
        FaultKind::Calls {
            call,
            number,
            percent,
            ..
        } => {
            let fail = FaultAction::FailCalls {
                sender,
                call: call.clone(),
                number: *number,
                percent: *percent,
            };
            let call = call.clone();
            (fail, Some(FaultAction::RestoreCalls { sender, call }))
        }
        other => unreachable!("a sender suffers no {other:?}"),
    };
    FaultActions { begin, end }
}

fn actions_on_replica(kind: &FaultKind, replica: usize) -> FaultActions {
    let (begin, end) = match kind {
        FaultKind::Kill { .. } => (ReplicaAction::Kill, ReplicaAction::Start),
        FaultKind::Term { .. } => (ReplicaAction::Term, ReplicaAction::Start),
        FaultKind::Stop { .. } => (ReplicaAction::Stop, ReplicaAction::Continue),
        other => unreachable!("a replica suffers no {other:?}"),
    };
    let replica = Some(replica).filter(|replica| *replica != LEADER);
    let act = |action| FaultAction::Replica { replica, action };
    FaultActions {
        begin: act(begin),
        end: Some(act(end)),
    }
}

fn actions_on_endpoint(kind: &FaultKind, endpoint: usize) -> FaultActions {
    let list = |up| FaultAction::List { endpoint, up };
    let shut = |shut| FaultAction::Shut { endpoint, shut };
    let (begin, end) = match kind {
        FaultKind::Drain { .. } => (list(false), list(true)),
        _ => (shut(true), shut(false)),
    };
    FaultActions {
        begin,
        end: Some(end),
    }
}
