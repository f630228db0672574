//! The number of senders among which shared rates are divided, and the contention that follows from
//! it.

use super::Sender;
use crate::interface::FleetView;

/// Largest number of senders whose contention is 0: in so small a fleet, each sender notices an
/// exceeded limit almost as soon as a single sender does. Higher lets the senders of larger fleets
/// act as those of a small one.
const SMALL_FLEET: f64 = 4.0;

impl Sender {
    /// Returns the number of senders among which shared rates are divided: listed rates, reported
    /// limits, tenant allowances and the rates of trial calls. Quotas are not divided by it.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// Returns the estimated fraction of all senders that have not noticed an exceeded limit yet
    /// when this sender has; 0 in a small fleet.
    pub(super) fn contention(&self) -> f64 {
        contention(f64::from(self.fleet_size))
    }

    pub(super) fn apply_fleet_view(&mut self, view: Option<FleetView>) {
        // a view that differs only in the number of agreeing senders counts as unchanged, since
        // that number changes while other senders adopt the view. Any other difference restarts the
        // time for which the view must stay unchanged before the fleet size may fall.
        let without_agreeing = |view: FleetView| FleetView {
            agreeing: 0,
            ..view
        };
        if view.map(without_agreeing) != self.fleet_view.map(without_agreeing) {
            self.fleet_view_since = self.now;
        }
        self.fleet_view = view;
    }

    /// Adopts the number of senders from the fleet view. Protects destinations against a sender
    /// that sees too few of the others and therefore sends too much. The number falls only when no
    /// sender is suspect, a majority of the configured senders is known to hold the same view, and
    /// the view has not changed for the warm-up time. It rises without such conditions, and is at
    /// least the configured number while this sender is isolated or sees at most half of the
    /// configured senders present. Configured senders that are not known to have departed count as
    /// present, even if this sender never received anything from them. Drawback: after many senders
    /// have departed, destinations get too few calls until the number falls.
    pub(super) fn update_fleet_size(&mut self) {
        let size_before = self.fleet_size;
        let target = self.target_fleet_size();
        if target == size_before || target < size_before && !self.may_shrink_fleet() {
            return;
        }
        self.fleet_size = target;
        self.rescale_routes(f64::from(size_before) / f64::from(target));
    }

    fn target_fleet_size(&self) -> u32 {
        let configured = self.settings.senders;
        let Some(view) = self.fleet_view else {
            return configured;
        };
        let is_minority = view.present.saturating_mul(2) <= configured;
        let departed = if view.isolated || is_minority {
            0
        } else {
            view.departed
        };
        view.present.max(configured.saturating_sub(departed)).max(1)
    }

    fn may_shrink_fleet(&mut self) -> bool {
        let configured = self.settings.senders;
        let is_certain =
            |view: FleetView| view.suspects == 0 && view.agreeing.saturating_mul(2) > configured;
        if !self.fleet_view.is_some_and(is_certain) {
            return false;
        }
        let stable_at = self.fleet_view_since + self.settings.safety.warm_up_time;
        if stable_at <= self.now {
            return true;
        }
        self.wake_by(stable_at);
        false
    }

    fn rescale_routes(&mut self, factor: f64) {
        for route in self.routes.values_mut() {
            route.fair_share *= factor;
            route.listed_rate *= factor;
            if factor < 1.0 {
                // there are more senders now: this sender leaves their part of its learned rates to
                // them. When the fleet shrinks, the learned rates stay until successes or reports
                // raise them.
                route.rate_limit *= factor;
                route.best_rate *= factor;
            }
        }
    }
}

/// Returns the estimated fraction of `senders` that have not noticed an exceeded limit yet when one
/// of them has; 0 in a small fleet.
pub(super) fn contention(senders: f64) -> f64 {
    (1.0 - SMALL_FLEET / senders).max(0.0)
}
