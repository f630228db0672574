//! The order of the messages inside a group: the most urgent first.

use crate::interface::{MessageId, Micros};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::ops::Bound;

/// A message of a group, by when it was created.
pub(super) type Member = (Micros, MessageId);
pub(super) type Members = BTreeSet<Member>;

/// How urgent a message is among others, the most urgent first; of equals the one that came first.
#[derive(Debug, Clone, Copy)]
pub struct Rank {
    pub urgency: f64,
    pub created_at: Micros,
    pub id: MessageId,
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_urgency = other.urgency.total_cmp(&self.urgency);
        by_urgency.then(self.id.cmp(&other.id))
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
    /// Created at the peak or later, the oldest first: they still get more urgent.
    Rising,
    /// Created before the peak, the youngest first.
    Falling,
}

/// The order inside a group: urgency by the time of creation, which rises with age up to those created at
/// `peak`, and never rises again beyond.
pub struct GroupOrder<F> {
    pub urgency: F,
    pub peak: Micros,
}

impl<F: Fn(Micros) -> f64> GroupOrder<F> {
    /// The most urgent member on a side.
    pub(super) fn first_of(&self, members: &Members, side: Side) -> Option<Rank> {
        let member = match side {
            Side::Rising => *members.range(self.range(side)).next()?,
            Side::Falling => youngest_before(members, self.peak)?,
        };
        let rank = self.rank(&member);
        if self.is_tied(members, side, rank) {
            return self.search(members, side, None);
        }
        Some(rank)
    }

    /// The member that ranks next after one that was there.
    pub(super) fn next_of(&self, members: &Members, side: Side, last: Rank) -> Option<Rank> {
        if self.is_tied(members, side, last) {
            return self.search(members, side, Some(last));
        }
        let created_together = (
            Bound::Excluded((last.created_at, last.id)),
            Bound::Excluded(first_at(last.created_at.saturating_add(1))),
        );
        if let Some(member) = members.range(created_together).next() {
            return Some(self.rank(member));
        }
        let rank = self.rank(&self.following(members, side, last.created_at)?);
        if self.is_tied(members, side, rank) {
            return self.search(members, side, Some(last));
        }
        Some(rank)
    }

    /// The first of all on a side, or of all that rank after one.
    pub(super) fn search(
        &self,
        members: &Members,
        side: Side,
        after: Option<Rank>,
    ) -> Option<Rank> {
        let ranks = members
            .range(self.range(side))
            .map(|member| self.rank(member));
        ranks
            .filter(|rank| after.is_none_or(|after| *rank > after))
            .min()
    }

    fn rank(&self, &(created_at, id): &Member) -> Rank {
        Rank {
            urgency: (self.urgency)(created_at),
            created_at,
            id,
        }
    }

    fn range(&self, side: Side) -> (Bound<Member>, Bound<Member>) {
        let peak = first_at(self.peak);
        match side {
            Side::Rising => (Bound::Included(peak), Bound::Unbounded),
            Side::Falling => (Bound::Unbounded, Bound::Excluded(peak)),
        }
    }

    /// Whether members created at another time are just as urgent: then the order of creation is not that
    /// of rank.
    fn is_tied(&self, members: &Members, side: Side, rank: Rank) -> bool {
        let neighbours = [
            self.following(members, side, rank.created_at),
            self.preceding(members, side, rank.created_at),
        ];
        neighbours
            .into_iter()
            .flatten()
            .any(|(created_at, _)| (self.urgency)(created_at).total_cmp(&rank.urgency).is_eq())
    }

    /// The first member of the next time of creation in the order.
    fn following(&self, members: &Members, side: Side, created_at: Micros) -> Option<Member> {
        match side {
            Side::Rising => {
                let later = first_at(created_at.saturating_add(1));
                members.range(later..).next().copied()
            }
            Side::Falling => youngest_before(members, created_at),
        }
    }

    /// A member of the time of creation before in the order.
    fn preceding(&self, members: &Members, side: Side, created_at: Micros) -> Option<Member> {
        let peak = first_at(self.peak);
        let found = match side {
            Side::Rising => members.range(peak..first_at(created_at)).next_back(),
            Side::Falling => {
                let later = first_at(created_at.saturating_add(1));
                members.range(later..peak).next()
            }
        };
        found.copied()
    }
}

/// The first member of the last time of creation before this one.
fn youngest_before(members: &Members, created_at: Micros) -> Option<Member> {
    let (youngest, _) = members.range(..first_at(created_at)).next_back()?;
    members.range(first_at(*youngest)..).next().copied()
}

/// The least member that a time of creation can have.
fn first_at(created_at: Micros) -> Member {
    (created_at, MessageId(0))
}
