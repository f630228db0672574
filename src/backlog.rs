//! An index of the held messages, so that a turn looks only at those for which something may be due.
//!
//! No decision is here: where a message stands is told by `decide.rs`. Messages that wait for one
//! destination form groups of which a turn need only look at the first: whatever keeps that one from being
//! sent keeps the others too.

use crate::decisions::state::PendingMessage;
use crate::interface::{DestinationId, MessageId, Micros};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

/// What messages of one destination have in common that can be sent, or not, for the same reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    pub class: usize,
    /// The bits of the worth of one.
    pub priority_weight: u64,
    /// Attempts so far, and whether any of them may have run.
    pub attempts: usize,
    pub at_risk: bool,
    /// The message, where it is a group of its own.
    pub alone: Option<MessageId>,
}

/// When a message may be sent next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Queue {
    /// Not before something else has happened.
    #[default]
    None,
    /// At this time.
    Later(Micros),
    /// Now, as far as its own state tells.
    Ready(Group),
}

/// Where a message stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    pub open: bool,
    /// An attempt has no outcome yet.
    pub out: bool,
    /// From when on no further send can be legal.
    pub spent: Micros,
    pub queue: Queue,
}

impl Standing {
    /// Where a message stands by its own state; `first`: it is its key's turn, `repeatable`: by its class,
    /// `spent`: from when on no further send can be legal while none is out.
    pub fn of(
        id: MessageId,
        held: &PendingMessage,
        now: Micros,
        first: bool,
        repeatable: bool,
        spent: Micros,
    ) -> Self {
        let out = held.has_attempt_in_flight();
        if !held.open {
            return Standing {
                out,
                ..Standing::default()
            };
        }
        let at = if out { held.hedge_at } else { held.retry_at };
        let at_risk = held.is_at_risk();
        // a copy, a key's rest and the window of a key concern one message only
        let alone = out || held.key.is_some() || at_risk && !repeatable;
        let group = Group {
            class: held.class,
            priority_weight: held.priority_weight.to_bits(),
            attempts: held.attempts.len(),
            at_risk,
            alone: alone.then_some(id),
        };
        let queue = match first {
            false => Queue::None,
            true if at > now => Queue::Later(at),
            true => Queue::Ready(group),
        };
        Standing {
            open: true,
            out,
            spent: if out { Micros::MAX } else { spent },
            queue,
        }
    }
}

impl Standing {
    /// The same, in a group of its own if it is to be `apart`.
    pub fn apart(mut self, id: MessageId, apart: bool) -> Self {
        if let Queue::Ready(group) = &mut self.queue {
            group.alone = group.alone.or(apart.then_some(id));
        }
        self
    }
}

impl Default for Standing {
    fn default() -> Self {
        Standing {
            open: false,
            out: false,
            spent: Micros::MAX,
            queue: Queue::None,
        }
    }
}

/// A message of a group, by when it was first handed in.
type Member = (Micros, MessageId);
type Members = BTreeSet<Member>;

/// The index.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Index {
    built: bool,
    /// Each message is a group of its own.
    pub apart: bool,
    open: usize,
    out: BTreeSet<MessageId>,
    deadlines: BTreeSet<(Micros, MessageId)>,
    spent: BTreeSet<(Micros, MessageId)>,
    later: BTreeSet<(Micros, MessageId)>,
    ready: BTreeMap<DestinationId, BTreeMap<Group, Members>>,
    /// Messages with no attempt out, of each destination that has any.
    waiting: BTreeMap<DestinationId, u64>,
    /// Destinations for which something has changed since their demand was looked at, where that is kept.
    pub used: Option<BTreeSet<DestinationId>>,
}

impl Index {
    /// An index of these messages, each of which is to stand where it is told.
    pub fn of<'a>(
        apart: bool,
        messages: impl Iterator<Item = (MessageId, &'a mut PendingMessage, Standing)>,
    ) -> Self {
        let mut index = Index {
            built: true,
            apart,
            ..Index::default()
        };
        for (id, held, standing) in messages {
            held.index_entry = standing;
            index.insert(id, held, standing);
        }
        index
    }

    /// False where it was not made of the messages that there are.
    pub fn is_built(&self) -> bool {
        self.built
    }

    /// Open messages.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Destinations for which messages wait, with their number.
    pub fn waiting(&self) -> &BTreeMap<DestinationId, u64> {
        &self.waiting
    }

    /// Messages with attempts out.
    pub fn out(&self) -> &BTreeSet<MessageId> {
        &self.out
    }

    /// The first deadline of an open message.
    pub fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Open messages whose deadline is `until` at the latest, or that are spent by `now`.
    pub fn ended(&self, until: Micros, now: Micros) -> BTreeSet<MessageId> {
        let last = MessageId(u64::MAX);
        let late = self.deadlines.range(..=(until, last));
        late.chain(self.spent.range(..=(now, last)))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Messages whose time is still to come, the next first.
    pub fn later(&self) -> impl Iterator<Item = (Micros, MessageId)> {
        self.later.iter().copied()
    }

    /// A message whose time has come and that still stands as if it had not.
    pub fn come_due(&self, now: Micros) -> Option<MessageId> {
        self.later
            .first()
            .filter(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
    }

    /// Both sides of each group that is ready.
    pub fn ready(&self) -> impl Iterator<Item = Place> {
        let sides = |destination, group| {
            [Side::Young, Side::Late]
                .into_iter()
                .map(move |side| Place {
                    destination,
                    group,
                    side,
                })
        };
        self.ready.iter().flat_map(move |(&destination, groups)| {
            groups
                .keys()
                .flat_map(move |&group| sides(destination, group))
        })
    }

    /// Has a message stand elsewhere.
    pub fn set(&mut self, id: MessageId, held: &mut PendingMessage, standing: Standing) {
        let before = std::mem::replace(&mut held.index_entry, standing);
        if before == standing {
            return;
        }
        self.remove(id, held, before);
        self.insert(id, held, standing);
    }

    fn remove(&mut self, id: MessageId, held: &PendingMessage, standing: Standing) {
        if standing.open {
            self.open -= 1;
            self.deadlines.remove(&(held.deadline, id));
        }
        if standing.open && !standing.out {
            self.wait_no_more(held.destination);
        }
        self.out.remove(&id);
        self.spent.remove(&(standing.spent, id));
        match standing.queue {
            Queue::None => {}
            Queue::Later(at) => drop(self.later.remove(&(at, id))),
            Queue::Ready(group) => self.remove_ready(id, held, group),
        }
    }

    fn wait_no_more(&mut self, destination: DestinationId) {
        if let Some(waiting) = self.waiting.get_mut(&destination) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(&destination);
            }
        }
    }

    fn remove_ready(&mut self, id: MessageId, held: &PendingMessage, group: Group) {
        let Some(groups) = self.ready.get_mut(&held.destination) else {
            return;
        };
        let Some(members) = groups.get_mut(&group) else {
            return;
        };
        members.remove(&(held.created_at, id));
        if members.is_empty() {
            groups.remove(&group);
        }
        if groups.is_empty() {
            self.ready.remove(&held.destination);
        }
    }

    fn insert(&mut self, id: MessageId, held: &PendingMessage, standing: Standing) {
        if standing.open {
            self.open += 1;
            self.deadlines.insert((held.deadline, id));
        }
        if standing.open && !standing.out {
            *self.waiting.entry(held.destination).or_default() += 1;
        }
        if standing.out {
            self.out.insert(id);
        }
        if standing.spent < Micros::MAX {
            self.spent.insert((standing.spent, id));
        }
        match standing.queue {
            Queue::None => {}
            Queue::Later(at) => drop(self.later.insert((at, id))),
            Queue::Ready(group) => {
                let groups = self.ready.entry(held.destination).or_default();
                groups
                    .entry(group)
                    .or_default()
                    .insert((held.created_at, id));
            }
        }
    }

    /// The most urgent message on one side of a group.
    pub fn first(&self, place: Place, order: &Order<impl Fn(Micros) -> f64>) -> Option<Candidate> {
        let rank = order.first_of(self.members(place)?, place.side)?;
        Some(Candidate { rank, place })
    }

    /// The first that ranks after one that was there.
    pub fn next(
        &self,
        last: Candidate,
        order: &Order<impl Fn(Micros) -> f64>,
    ) -> Option<Candidate> {
        let place = last.place;
        let rank = order.next_of(self.members(place)?, place.side, last.rank)?;
        Some(Candidate { rank, place })
    }

    /// The first that ranks after any message.
    pub fn after(
        &self,
        place: Place,
        order: &Order<impl Fn(Micros) -> f64>,
        rank: Rank,
    ) -> Option<Candidate> {
        let rank = order.search(self.members(place)?, place.side, Some(rank))?;
        Some(Candidate { rank, place })
    }

    fn members(&self, place: Place) -> Option<&Members> {
        self.ready.get(&place.destination)?.get(&place.group)
    }
}

/// How urgent a message is among others, the most urgent first; of equals the one that came first.
#[derive(Debug, Clone, Copy)]
pub struct Rank {
    pub urgency: f64,
    pub created_at: Micros,
    pub id: MessageId,
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .urgency
            .total_cmp(&self.urgency)
            .then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// One of the two parts of a group: along each of them the urgency never rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Born at the peak or later, the oldest first.
    Young,
    /// Born before the peak, the youngest first.
    Late,
}

/// A side of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub destination: DestinationId,
    pub group: Group,
    pub side: Side,
}

/// The order inside a group: urgency by the time of birth, which rises with age up to those born at `peak`,
/// and never rises again beyond.
pub struct Order<F> {
    pub urgency: F,
    pub peak: Micros,
}

impl<F: Fn(Micros) -> f64> Order<F> {
    fn rank(&self, &(born, id): &(Micros, MessageId)) -> Rank {
        Rank {
            urgency: (self.urgency)(born),
            created_at: born,
            id,
        }
    }

    fn range(&self, side: Side) -> (Bound<Member>, Bound<Member>) {
        match side {
            Side::Young => (Bound::Included(first(self.peak)), Bound::Unbounded),
            Side::Late => (Bound::Unbounded, Bound::Excluded(first(self.peak))),
        }
    }

    fn first_of(&self, members: &Members, side: Side) -> Option<Rank> {
        let rank = self.rank(&match side {
            Side::Young => *members.range(self.range(side)).next()?,
            Side::Late => youngest_before(members, self.peak)?,
        });
        if self.is_tied(members, side, rank) {
            self.search(members, side, None)
        } else {
            Some(rank)
        }
    }

    fn next_of(&self, members: &Members, side: Side, last: Rank) -> Option<Rank> {
        if self.is_tied(members, side, last) {
            return self.search(members, side, Some(last));
        }
        let twins = (
            Bound::Excluded((last.created_at, last.id)),
            Bound::Excluded(first(last.created_at.saturating_add(1))),
        );
        if let Some(twin) = members.range(twins).next() {
            return Some(self.rank(twin));
        }
        let rank = self.rank(&self.following(members, side, last.created_at)?);
        if self.is_tied(members, side, rank) {
            self.search(members, side, Some(last))
        } else {
            Some(rank)
        }
    }

    /// The first of all on a side, or of all that rank after one.
    fn search(&self, members: &Members, side: Side, after: Option<Rank>) -> Option<Rank> {
        let ranks = members
            .range(self.range(side))
            .map(|member| self.rank(member));
        ranks
            .filter(|rank| after.is_none_or(|after| *rank > after))
            .min()
    }

    /// Whether members born at another time are just as urgent: then the order of birth is not that of rank.
    fn is_tied(&self, members: &Members, side: Side, rank: Rank) -> bool {
        let next = [
            self.following(members, side, rank.created_at),
            self.preceding(members, side, rank.created_at),
        ];
        next.into_iter()
            .flatten()
            .any(|other| (self.urgency)(other.0).total_cmp(&rank.urgency).is_eq())
    }

    /// The first member of the next time of birth in the order.
    fn following(&self, members: &Members, side: Side, born: Micros) -> Option<Member> {
        match side {
            Side::Young => members
                .range(first(born.saturating_add(1))..)
                .next()
                .copied(),
            Side::Late => youngest_before(members, born),
        }
    }

    /// A member of the time of birth before in the order.
    fn preceding(&self, members: &Members, side: Side, born: Micros) -> Option<Member> {
        let found = match side {
            Side::Young => members.range(first(self.peak)..first(born)).next_back(),
            Side::Late => members
                .range(first(born.saturating_add(1))..first(self.peak))
                .next(),
        };
        found.copied()
    }
}

/// The first member of the last time of birth before this one.
fn youngest_before(members: &Members, born: Micros) -> Option<Member> {
    let (born, _) = members.range(..first(born)).next_back()?;
    members.range(first(*born)..).next().copied()
}

fn first(born: Micros) -> Member {
    (born, MessageId(0))
}

/// A message that may be sent, and where it is the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    pub rank: Rank,
    pub place: Place,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        // the greatest comes out of a heap first
        other.rank.cmp(&self.rank)
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The candidates of one turn, the most urgent first.
#[derive(Debug, Default)]
pub struct Candidates {
    next: BinaryHeap<Candidate>,
    /// Where nothing can be sent for now.
    passed: BTreeMap<DestinationId, Vec<Place>>,
}

impl Candidates {
    /// Adds a candidate, if there is one.
    pub fn extend(&mut self, candidate: Option<Candidate>) {
        self.next.extend(candidate);
    }

    /// The next whose group is not passed over.
    pub fn pop(&mut self) -> Option<Candidate> {
        loop {
            let candidate = self.next.pop()?;
            let place = candidate.place;
            let Some(passed) = self.passed.get_mut(&place.destination) else {
                return Some(candidate);
            };
            if passed.iter().all(|other| other.group != place.group) {
                return Some(candidate);
            }
            passed.push(place);
        }
    }

    /// Passes a group over until something is sent to its destination.
    pub fn pass_over(&mut self, place: Place) {
        self.passed
            .entry(place.destination)
            .or_default()
            .push(place);
    }

    /// What was passed over of a destination so far; it is no more.
    pub fn take_passed(&mut self, destination: DestinationId) -> Vec<Place> {
        self.passed.remove(&destination).unwrap_or_default()
    }
}
