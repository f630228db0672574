//! Settings of one sender.

mod error;
mod validation;

pub use error::SettingsError;

use super::{Class, MILLISECOND, Micros, SECOND, WeightDecay};
use serde::{Deserialize, Serialize};

/// A kind of destination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Each endpoint is a route of its own, with its own limits and health.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub bundle_max: usize,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second within its share, over all senders.
    pub allowance: f64,
}

/// Figures of the rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Safety {
    /// Sends to a draining endpoint end within this time.
    pub drain_grace: Micros,
    /// A recovering destination has warmed up after this time.
    #[serde(rename = "cold_time")]
    pub warm_up_time: Micros,
    /// It starts with this share of its capacity.
    pub start_capacity: f64,
    /// A destination fails under this multiple of its capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long.
    #[serde(rename = "fall_span")]
    pub overload_span: Micros,
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Micros,
    /// Backoff of a key after an attempt whose end is not sure.
    #[serde(rename = "key_rest")]
    pub key_backoff: Micros,
    /// A sender without a subscription must poll the endpoint list this often.
    #[serde(rename = "ask_every")]
    pub poll_interval: Micros,
}

/// All settings of one sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Senders of this group, this one counted.
    pub senders: u32,
    /// This sender's zone, as a number into the host's list.
    pub zone: u16,
    /// Calls that may be in flight.
    pub call_slots: usize,
    /// Messages that may be pending.
    #[serde(rename = "max_held")]
    pub max_pending: usize,
    /// Attempts for one message.
    pub max_attempts: usize,
    /// Hedged requests are allowed: two attempts of one message may be in flight.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// Health checks may be made.
    #[serde(rename = "may_probe")]
    pub health_checks_allowed: bool,
    /// Senders may write to each other.
    #[serde(rename = "may_note")]
    pub notes_allowed: bool,
    /// Idle connections close by themselves after this time; 0 where that is not known.
    #[serde(rename = "connection_idle")]
    pub connection_idle_timeout: Micros,
    /// Longest Retry-After that a client follows; 0 where clients are told none.
    #[serde(rename = "max_client_wait")]
    pub max_retry_after: Micros,
    /// The endpoint list comes only by a subscription.
    #[serde(rename = "list_on_request")]
    pub list_by_subscription: bool,
    /// A message whose end the sender decides is complete only with
    /// [`Event::NotificationDelivered`](super::Event::NotificationDelivered).
    #[serde(rename = "ends_by_notice")]
    pub completion_by_notification: bool,
    /// The list gives each destination's rate: 0 no, 1 exactly, 0.5 up to half off.
    pub weight_trust: f64,
    /// Position of the remaining share of the limit in a load report.
    #[serde(rename = "report_left")]
    pub report_remaining: Option<usize>,
    /// Position of the limit, in calls a second, in a load report.
    pub report_limit: Option<usize>,
    /// Price of a call to another zone, as a share of a first attempt.
    pub price_cross_zone: f64,
    /// Price of a health check, as a share of a first attempt.
    #[serde(rename = "price_probe")]
    pub price_health_check: f64,
    /// Price of the destinations' wasted work, as a share of the work asked for.
    pub price_waste: f64,
    /// Price of a message that a separate route takes on, by zone.
    pub zone_fees: Vec<f64>,
    /// Factor on the priority weight of a message beyond its tenant's share.
    #[serde(rename = "over_share_worth")]
    pub over_share_weight: f64,
    /// How the priority weight falls after the latency objective.
    #[serde(rename = "fade")]
    pub weight_decay: WeightDecay,
    /// Figures of the rules.
    pub safety: Safety,
    /// Classes; events name them by position.
    pub classes: Vec<Class>,
    /// Kinds of destination; list entries name them by position.
    pub kinds: Vec<Kind>,
    /// Tenants; messages name them by position.
    pub tenants: Vec<Tenant>,
}

impl Settings {
    /// Settings for a lone sender, with no classes yet and the mildest assumption for all else.
    pub fn new(call_slots: usize, max_pending: usize) -> Self {
        Settings {
            senders: 1,
            zone: 0,
            call_slots,
            max_pending,
            max_attempts: 8,
            hedging_allowed: true,
            cancellation_allowed: true,
            health_checks_allowed: false,
            notes_allowed: false,
            connection_idle_timeout: 0,
            max_retry_after: 0,
            list_by_subscription: false,
            completion_by_notification: false,
            weight_trust: 0.0,
            report_remaining: None,
            report_limit: None,
            price_cross_zone: 0.0,
            price_health_check: 0.0,
            price_waste: 0.0,
            zone_fees: Vec::new(),
            over_share_weight: 1.0,
            weight_decay: WeightDecay::Linear,
            safety: Safety {
                drain_grace: SECOND,
                warm_up_time: 10 * SECOND,
                start_capacity: 0.2,
                overload_multiple: 2.0,
                overload_span: 2 * SECOND,
                answer_grace: 20 * MILLISECOND,
                key_backoff: 0,
                poll_interval: 10 * SECOND,
            },
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
        }
    }

    /// The position of a class with just these terms, which is a new one where none has them.
    pub fn class_position(&mut self, class: Class) -> usize {
        self.classes
            .iter()
            .position(|known| *known == class)
            .unwrap_or_else(|| {
                self.classes.push(class);
                self.classes.len() - 1
            })
    }
}
