//! The number of senders that rates are scaled by, and the contention that follows from it.

use super::Sender;
use crate::interface::FleetView;

/// Fleets of this size hear of a limit almost as soon as a single sender does.
/// Higher lets a larger fleet act as a few senders do.
const SMALL_FLEET: f64 = 4.0;

impl Sender {
    /// The number of senders that all rates are scaled by.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// The fraction of all senders that have not noticed yet what this one has; 0 where they are
    /// few.
    pub(super) fn contention(&self) -> f64 {
        contention(f64::from(self.fleet_size))
    }

    pub(super) fn apply_fleet_view(&mut self, view: Option<FleetView>) {
        // the number of those that agree may grow; what is seen must stand
        let without_agreeing = |view: FleetView| FleetView {
            agreeing: 0,
            ..view
        };
        if view.map(without_agreeing) != self.fleet_view.map(without_agreeing) {
            self.fleet_view_since = self.now;
        }
        self.fleet_view = view;
    }

    /// Guards destinations against senders that hear less and take more: the size falls below the
    /// configured number only once nobody is suspect, a majority of the configured senders is known
    /// to hold just this view, and it has stood for the warm-up time. It rises at once, and is the
    /// configured one in a minority and in doubt. Senders never heard of count as living. Could
    /// starve a destination for that time after many senders have gone.
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
                // others are back: what was theirs is given up, and only successes bring it again
                route.rate_limit *= factor;
                route.best_rate *= factor;
            }
        }
    }
}

/// The fraction of so many senders that have not noticed yet what one has; 0 where they are few.
pub(super) fn contention(senders: f64) -> f64 {
    (1.0 - SMALL_FLEET / senders).max(0.0)
}
