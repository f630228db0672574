//! Scarce connections: whether endpoints turn away new connections for want of room, while connections that are kept are
//! served. Then each idle connection that one sender keeps is one that another waits for.
//!
//! A limit of calls turns away on new and on kept connections alike, so the difference between the two tells.

use super::messages::Answered;

/// Weight of one more call in the shares: some ten calls are remembered.
const WEIGHT: f64 = 0.1;
/// Share of new connections that are turned away from which on they are scarce, and under which they are no more.
const SCARCE: f64 = 0.5;
const AMPLE: f64 = 0.2;
/// As often must new connections be turned away for each kept one that is.
const TIMES_AS_OFTEN: f64 = 4.0;
/// Calls on new and on kept connections before anything is made of their shares. One that holds the only connection which
/// it could get makes few calls on it.
const NEW_LEAST: u32 = 4;
const KEPT_LEAST: u32 = 2;

/// How often calls of one kind of connection were turned away.
#[derive(Debug, Default)]
struct TurnedAwayShare {
    calls: u32,
    share: f64,
}

impl TurnedAwayShare {
    fn note(&mut self, turned_away: bool) {
        self.calls = self.calls.saturating_add(1);
        // the mean of the first calls, then a moving one
        let weight = WEIGHT.max(1.0 / f64::from(self.calls));
        self.share += weight * (f64::from(u8::from(turned_away)) - self.share);
    }
}

/// What the answers on new and on kept connections tell of the room that endpoints have for connections.
#[derive(Debug, Default)]
pub(super) struct Scarcity {
    new: TurnedAwayShare,
    kept: TurnedAwayShare,
    scarce: bool,
}

impl Scarcity {
    /// An answer to the first call of a connection, or to a later one.
    pub(super) fn note(&mut self, answered: Answered, first_call: bool) {
        if answered == Answered::Other {
            return;
        }
        let turned_away = answered == Answered::TurnedAway;
        let share = if first_call {
            &mut self.new
        } else {
            &mut self.kept
        };
        share.note(turned_away);
        let known = self.new.calls >= NEW_LEAST && self.kept.calls >= KEPT_LEAST;
        let differs = self.new.share >= TIMES_AS_OFTEN * self.kept.share;
        self.scarce = if self.scarce {
            self.new.share > AMPLE && differs
        } else {
            known && self.new.share >= SCARCE && differs
        };
    }

    /// True if an idle connection is better closed than kept.
    pub(super) fn is_scarce(&self) -> bool {
        self.scarce
    }
}
