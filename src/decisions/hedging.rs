//! Hedged requests: further attempts of a message while an earlier one is in flight.

use super::Sender;
use super::count_for_share;
use super::state::{PendingMessage, Route};
use crate::interface::{Effect, MILLISECOND, Micros, SECOND};

/// Delay before an attempt is hedged while no latency of its route is known, and minimum delay while
/// few are. Shorter detects slow calls sooner; longer wastes fewer attempts.
pub(super) const INITIAL_HEDGE_DELAY: Micros = SECOND;
/// Share of the call slots that hedges may hold. Higher delivers more messages despite slow
/// calls; lower leaves more slots to first attempts.
const MAX_HEDGE_SHARE: f64 = 0.5;
/// Number of latencies of successful calls that a route keeps to compute its hedge delay.
const LATENCY_SAMPLES: usize = 40;
/// Quantile of the kept latencies that becomes the hedge delay, as numerator and denominator.
const HEDGE_QUANTILE: (usize, usize) = (19, 20);
/// Number of latencies needed before the hedge delay of a route may fall below its initial value.
/// Fewer detects slow calls sooner; more avoids needless hedges at destinations that get few calls.
const MIN_LATENCY_SAMPLES: usize = 8;
/// Divisor of the difference between a new latency and the usual latency of a route; the usual
/// latency changes by the quotient. With 50, it changes so slowly that a temporary slowdown hardly
/// affects it.
const USUAL_LATENCY_SMOOTHING: i64 = 50;

impl Sender {
    /// Returns true if hedges hold as many call slots as they may.
    pub(super) fn are_hedges_full(&self) -> bool {
        self.hedges_in_flight >= count_for_share(self.settings.call_slots, MAX_HEDGE_SHARE)
    }
}

impl Route {
    /// Returns how long an attempt is in flight before it is hedged, in microseconds.
    pub(super) fn hedge_delay(&self) -> Micros {
        self.learned_hedge_delay.unwrap_or(INITIAL_HEDGE_DELAY)
    }

    pub(super) fn record_latency(&mut self, latency: Micros) {
        let smoothed = |usual| usual + (latency - usual) / USUAL_LATENCY_SMOOTHING;
        self.usual_latency = Some(self.usual_latency.map_or(latency, smoothed));
        self.latencies.push(latency, LATENCY_SAMPLES);
        let min_delay = if self.latencies.len() < MIN_LATENCY_SAMPLES {
            INITIAL_HEDGE_DELAY
        } else {
            MILLISECOND
        };
        let (numerator, denominator) = HEDGE_QUANTILE;
        let quantile = self.latencies.quantile(numerator, denominator).unwrap_or(0);
        self.learned_hedge_delay = Some(quantile.max(min_delay));
    }
}

impl PendingMessage {
    /// Sets the time of the next hedge of the message, after an attempt that starts now. The
    /// interval doubles with each hedge. Non-idempotent messages are not hedged.
    pub(super) fn schedule_hedge(
        &mut self,
        is_hedge: bool,
        effect: Effect,
        hedge_delay: Micros,
        now: Micros,
    ) {
        if is_hedge {
            self.hedge_at = now + self.hedge_interval;
            self.hedge_interval *= 2;
            return;
        }
        self.hedge_at = if effect == Effect::NonIdempotent {
            Micros::MAX
        } else {
            now + hedge_delay
        };
        self.hedge_interval = hedge_delay;
    }
}
