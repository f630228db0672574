//! Destinations that answer nothing, and calls that are lost.

use super::{FIRST_COPY_DELAY, SILENT_LEAST, Sender, share_of};
use crate::decisions::state::{Health, Unit, UnitId};
use crate::interface::{Action, Effect, EjectionReason, MILLISECOND};
use std::collections::BTreeSet;

/// A silent unit's calls are called off after this many limits: lower frees slots sooner, higher waits.
const RECLAIM_LIMITS: i64 = 2;
/// So many times longer where only the one class at the one endpoint is without a sign of life.
const CLASS_LIMITS: i64 = 2;
/// A call is taken for lost after this many limits, even where others are answered: lower frees slots sooner.
const LOST_LIMITS: i64 = 3;
/// Where no slot is free, a repeatable one that others overtook is lost after this many copy offsets: lower
/// frees slots sooner, higher repeats less work.
const LOST_OFFSETS: i64 = 5;
/// Slots in use above which unsafe calls are called off too: lower gives up more, higher frees less.
const SLOTS_SCARCE: f64 = 0.7;
/// A unit lags while a call is out for this many usual latencies; all lagging and sick units share the sick
/// window. Lower isolates sooner, higher leaves room to long but healthy calls.
const LAG_USUAL: i64 = 4;

impl Sender {
    /// A unit that answers nothing while calls wait far beyond its usual latency is taken for silent; its
    /// calls are called off after a while longer, where that is safe.
    /// Guards against hung, vanished or crawling destinations that would fill the slots of healthy ones.
    /// Could harm where one long call is the unit's only traffic, so a lone call gets twice the time.
    pub(super) fn look_for_silence(&mut self, actions: &mut Vec<Action>) {
        let scarce = self.calls.len() >= share_of(self.settings.call_slots, SLOTS_SCARCE);
        let full = self.calls.len() >= self.settings.call_slots;
        for call in self.calls.values() {
            if let Some(unit) = self.units.get_mut(&call.unit) {
                unit.look_anew();
            }
        }
        for call in self.calls.values() {
            let Some(unit) = self.units.get_mut(&call.unit) else {
                continue;
            };
            let age = self.now - call.sent;
            let limit = unit.silence_limit();
            let overtaken = call.sent + LOST_OFFSETS * unit.offset.unwrap_or(FIRST_COPY_DELAY);
            let limits = [1, 2, 4].map(|limits| call.sent + limits * limit);
            for at in limits
                .into_iter()
                .chain(full.then_some(overtaken))
                .map(|at| at + MILLISECOND)
            {
                self.due = if at > self.now {
                    self.due.min(at)
                } else {
                    self.due
                };
            }
            unit.lags |= age > SILENT_LEAST.max(unit.usual.unwrap_or(FIRST_COPY_DELAY) * LAG_USUAL);
            if unit.alive_at < call.sent {
                unit.quiet += usize::from(age > unit.silence_limit() && !call.copy);
                unit.quiet_age = unit.quiet_age.max(age);
            }
        }
        let silent = |unit: &Unit| {
            let lone = unit.quiet_age > 2 * unit.silence_limit();
            unit.health == Health::Well && unit.quiet > 0 && (unit.quiet > 1 || lone)
        };
        let busy: BTreeSet<UnitId> = self.calls.values().map(|call| call.unit).collect();
        let ids: Vec<_> = busy
            .into_iter()
            .filter(|id| self.units.get(id).is_some_and(silent))
            .collect();
        ids.into_iter()
            .for_each(|id| self.fall_sick(id, true, EjectionReason::Unresponsive, actions));
        for &message in self.index.out() {
            let Some(held) = self.messages.get_mut(&message) else {
                continue;
            };
            let class = self.settings.classes.get(held.class);
            let repeatable = class.is_some_and(|class| class.effect != Effect::NonIdempotent);
            let free = self.settings.cancellation_allowed && (scarce || repeatable);
            for (index, attempt) in held.attempts.iter_mut().enumerate() {
                let call = self
                    .calls
                    .get(&attempt.call)
                    .filter(|_| free && attempt.out && !attempt.cancelled);
                let Some(unit) = call.and_then(|call| self.units.get(&call.unit)) else {
                    continue;
                };
                let sick = unit.alive_at < attempt.sent && unit.is_sick();
                let record = self
                    .endpoints
                    .get(&attempt.endpoint)
                    .map(|known| &known.classes);
                let alive = record
                    .and_then(|classes| classes.get(&held.class))
                    .map(|class| class.alive_at);
                let limits =
                    (if scarce { 1 } else { RECLAIM_LIMITS }) * if sick { 1 } else { CLASS_LIMITS };
                let over = self.now - attempt.sent > limits * unit.silence_limit();
                // lost on its own, however its endpoint fares with others
                let age = self.now - attempt.sent;
                let offset = unit.offset.unwrap_or(FIRST_COPY_DELAY);
                let overtaken = full && repeatable && unit.alive_at > attempt.sent;
                let lost = age > LOST_LIMITS * unit.silence_limit()
                    || overtaken && age > LOST_OFFSETS * offset;
                if lost || over && (sick || alive.unwrap_or(0) < attempt.sent) {
                    attempt.cancelled = true;
                    actions.push(Action::Cancel {
                        message,
                        attempt: index,
                    });
                }
            }
        }
    }
}
