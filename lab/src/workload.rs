//! The messages that clients submit: their classes, tenants and arrivals, drawn from a seed.

use crate::scenario::Scenario;
use rand::Rng;
use rand_pcg::Pcg64;
use serde::Serialize;

/// A class of message, as the deployment has them.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Share of all messages.
    pub share: f64,
    /// Time within which a delivery has the full weight, s.
    pub latency_objective_s: f64,
    /// Time after which a delivery is worth nothing, s.
    pub deadline_s: f64,
    /// Part of the weight that a delivery at the deadline still has.
    pub late_share: f64,
    /// Weight of a message.
    pub priority_weight: f64,
    /// What a repeated delivery does, in the sender's terms.
    pub effect: &'static str,
    /// Messages of a key are delivered one at a time and in order.
    pub in_order: bool,
}

/// Time in which endpoints drop repeats of a `loan-report`, s.
pub const DEDUPLICATION_WINDOW_S: f64 = 10.0;

/// The classes of a run.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "loan-report",
        share: 0.45,
        latency_objective_s: 4.0,
        deadline_s: 16.0,
        late_share: 0.4,
        priority_weight: 1.0,
        effect: "deduplicated",
        in_order: false,
    },
    Class {
        name: "title-status",
        share: 0.3,
        latency_objective_s: 1.0,
        deadline_s: 6.0,
        late_share: 0.1,
        priority_weight: 2.0,
        effect: "idempotent",
        in_order: false,
    },
    Class {
        name: "reader-charge",
        share: 0.25,
        latency_objective_s: 3.0,
        deadline_s: 20.0,
        late_share: 0.5,
        priority_weight: 5.0,
        effect: "at_most_once",
        in_order: true,
    },
];

/// True if the messages of a class are delivered one at a time by key.
pub fn keeps_order(scenario: &Scenario, class: usize) -> bool {
    CLASSES.get(class).is_some_and(|class| {
        class.in_order || scenario.traffic.repeatable_in_order && class.effect == "idempotent"
    })
}

/// A tenant and its share of the messages.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    /// Its name.
    pub name: &'static str,
    /// Share of all messages.
    pub share: f64,
}

/// The tenants of a run.
pub const TENANTS: [Tenant; 3] = [
    Tenant {
        name: "sach-vui",
        share: 0.53,
    },
    Tenant {
        name: "thu-vien-nho",
        share: 0.33,
    },
    Tenant {
        name: "doc-cung-em",
        share: 0.14,
    },
];

/// A message that a client will submit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Arrival {
    /// When, in microseconds after the clients begin.
    pub at_us: u64,
    /// Its number in the run.
    pub number: usize,
    /// By position in [`CLASSES`].
    pub class: usize,
    /// By position in [`TENANTS`].
    #[serde(rename = "shop")]
    pub tenant: usize,
    /// The destination's number.
    pub destination: usize,
    /// What it is about, in classes that keep order.
    pub key: Option<u32>,
    /// Chooses its sender among those that are in use.
    #[serde(rename = "draw")]
    pub sender_choice: u64,
}

/// Microseconds of a time in seconds.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Draws the arrivals of a run: a Poisson process.
pub fn draw_arrivals(scenario: &Scenario, random: &mut Pcg64) -> Vec<Arrival> {
    let rate = scenario.traffic.per_s;
    // as many keys as messages of two seconds: some wait for one another, most do not
    let default_keys = (2.0 * rate).ceil() as u32;
    let keys = scenario.traffic.keys.unwrap_or(default_keys);
    let mut at_s = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at_s += -(1.0 - random.random::<f64>()).ln() / rate;
        if at_s >= scenario.seconds {
            return arrivals;
        }
        let class = pick(random, CLASSES.iter().map(|class| class.share));
        arrivals.push(Arrival {
            at_us: micros(at_s),
            number: arrivals.len(),
            class,
            tenant: pick(random, TENANTS.iter().map(|tenant| tenant.share)),
            destination: random.random_range(0..scenario.destinations.count),
            key: keeps_order(scenario, class).then(|| random.random_range(0..keys)),
            sender_choice: random.random(),
        });
    }
}

/// A position, drawn with the chances in `shares`; the last takes what rounding leaves.
fn pick(random: &mut Pcg64, shares: impl Iterator<Item = f64>) -> usize {
    let mut left = random.random::<f64>();
    let mut last = 0;
    for (position, share) in shares.enumerate() {
        last = position;
        if left < share {
            break;
        }
        left -= share;
    }
    last
}
