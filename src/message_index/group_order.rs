//! The order of the messages in a group, by urgency.

use crate::interface::{MessageId, Micros};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::ops::Bound;

/// A message of a group: its time of creation in microseconds and its id.
pub(super) type Member = (Micros, MessageId);
/// The messages of a group, sorted by their time of creation.
pub(super) type Members = BTreeSet<Member>;

/// Position of a message in the order of sending: more urgent messages first, and the lower id
/// first among equally urgent ones.
#[derive(Debug, Clone, Copy)]
pub struct Rank {
    /// Priority weight of the message, scaled by its age.
    pub urgency: f64,
    /// Time in microseconds at which the message was created; it does not count in the comparison.
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

/// One of the two parts of a group, split at [`GroupOrder::peak_created_at`]. In the order given for each
/// part, the urgency never rises, so the first member is among the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Messages created at [`GroupOrder::peak_created_at`] or later, the oldest first: their urgency still
    /// rises with age.
    Rising,
    /// Messages created before [`GroupOrder::peak_created_at`], the youngest first: their urgency no longer
    /// rises with age.
    Falling,
}

/// The order of the messages in a group. Their urgency depends on their time of creation only: it
/// rises with age up to the messages created at `peak_created_at`, and older messages are never
/// more urgent than these.
pub struct GroupOrder<F> {
    /// Returns the urgency of a message created at the given time in microseconds.
    pub urgency: F,
    /// Creation time, in microseconds, of the most urgent message that a group could have; it
    /// divides the group into its two sides.
    pub peak_created_at: Micros,
}

impl<F: Fn(Micros) -> f64> GroupOrder<F> {
    /// Returns the rank of the most urgent member on `side`.
    pub(super) fn first_of(&self, members: &Members, side: Side) -> Option<Rank> {
        let member = match side {
            Side::Rising => *members.range(self.range(side)).next()?,
            Side::Falling => youngest_before(members, self.peak_created_at)?,
        };
        let rank = self.rank(&member);
        if self.is_tied(members, side, rank) {
            return self.search(members, side, None);
        }
        Some(rank)
    }

    /// Returns the rank that follows `last` on `side`; `last` was returned by this order before.
    pub(super) fn next_of(&self, members: &Members, side: Side, last: Rank) -> Option<Rank> {
        if self.is_tied(members, side, last) {
            return self.search(members, side, Some(last));
        }
        let created_together = (
            Bound::Excluded((last.created_at, last.id)),
            Bound::Excluded(lowest_member_at(last.created_at.saturating_add(1))),
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

    /// Returns the first rank on `side`, or the first one that follows `after`. Examines all
    /// members of the side.
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
        let first_at_peak = lowest_member_at(self.peak_created_at);
        match side {
            Side::Rising => (Bound::Included(first_at_peak), Bound::Unbounded),
            Side::Falling => (Bound::Unbounded, Bound::Excluded(first_at_peak)),
        }
    }

    /// Returns true if a neighbour created at another time is exactly as urgent. Equally urgent
    /// members rank by id, which may differ from the order of creation, so only a search of the
    /// whole side finds the next one.
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

    /// Returns the member that follows all those created at `created_at` in the order of `side`; if
    /// several members were created at the same time, the one with the lowest id.
    fn following(&self, members: &Members, side: Side, created_at: Micros) -> Option<Member> {
        match side {
            Side::Rising => {
                let later = lowest_member_at(created_at.saturating_add(1));
                members.range(later..).next().copied()
            }
            Side::Falling => youngest_before(members, created_at),
        }
    }

    /// Returns a member that directly precedes all those created at `created_at` in the order of
    /// `side`; if several were created at the same time, any of them.
    fn preceding(&self, members: &Members, side: Side, created_at: Micros) -> Option<Member> {
        let first_at_peak = lowest_member_at(self.peak_created_at);
        let found = match side {
            Side::Rising => members
                .range(first_at_peak..lowest_member_at(created_at))
                .next_back(),
            Side::Falling => {
                let later = lowest_member_at(created_at.saturating_add(1));
                members.range(later..first_at_peak).next()
            }
        };
        found.copied()
    }
}

/// Returns the youngest member created before `created_at`; if several were created at that time,
/// the one with the lowest id.
fn youngest_before(members: &Members, created_at: Micros) -> Option<Member> {
    let (youngest, _) = members.range(..lowest_member_at(created_at)).next_back()?;
    members.range(lowest_member_at(*youngest)..).next().copied()
}

/// Returns the lowest possible member created at `created_at`, as a bound for ranges.
fn lowest_member_at(created_at: Micros) -> Member {
    (created_at, MessageId(0))
}
