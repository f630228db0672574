//! The order in which messages are sent: the most urgent first.

use super::Sender;
use crate::interface::Micros;
use crate::message_index::{Group, GroupOrder};

/// Fraction of the latency objective up to which a message becomes more urgent with age. Higher
/// serves more messages just in time; lower leaves more time for a retry.
const RISING_FRACTION: f64 = 0.9;
/// Factor on the remaining priority weight of a message older than `RISING_FRACTION` of its latency
/// objective. It is below 1, so that of messages of equal weight those are sent first that can more
/// likely meet their latency objective.
const LATE_FACTOR: f64 = 0.8;

impl Sender {
    /// Returns the urgency of a message; the most urgent is sent first. It follows from the
    /// priority weight that can still be earned by sending the message now. The index relies on two
    /// properties: the urgency rises with age up to `RISING_FRACTION` of the latency objective, and
    /// never rises after it.
    fn urgency(&self, class: usize, priority_weight: f64, created_at: Micros) -> f64 {
        let age = self.now - created_at;
        let Some(class) = self.settings.classes.get(class) else {
            return 0.0;
        };
        let relative_age = age as f64 / class.latency_objective as f64;
        let factor = if relative_age <= RISING_FRACTION {
            1.0 + relative_age
        } else {
            LATE_FACTOR * class.remaining_weight(age, self.settings.weight_decay)
        };
        priority_weight * factor
    }

    /// Returns the order in which the messages of a group are sent.
    pub(super) fn order(&self, group: Group) -> GroupOrder<impl Fn(Micros) -> f64> {
        let priority_weight = f64::from_bits(group.priority_weight);
        let urgency = move |created_at| self.urgency(group.class, priority_weight, created_at);
        let class = self.settings.classes.get(group.class);
        let objective = class.map_or(1, |class| class.latency_objective);
        GroupOrder {
            urgency,
            peak_created_at: self.now - oldest_rising_age(objective),
        }
    }
}

/// Returns the greatest age, in microseconds, up to which the urgency of a message rises. Compares
/// with the same division as the computation of the urgency: a result that is rounded otherwise
/// would tell the index that a message is still becoming more urgent when it is not, or the
/// reverse.
fn oldest_rising_age(objective: Micros) -> Micros {
    let mut age = (objective as f64 * RISING_FRACTION) as Micros + 1;
    while age as f64 / objective as f64 > RISING_FRACTION {
        age -= 1;
    }
    age
}
