//! What a run will do, drawn ahead from the scenario and one seed: the same seed gives the same plan.

use crate::scenario::{Group, Scenario, Way, What};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// A class of message, as the deployment has them.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    /// Part of all messages.
    pub share: f64,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub late_share: f64,
    pub worth: f64,
    pub effect: &'static str,
    pub in_order: bool,
}

/// Time in which endpoints drop repeats of a `loan-report`, s.
pub const WINDOW_S: f64 = 10.0;

pub const CLASSES: [Class; 3] = [
    Class {
        name: "loan-report",
        share: 0.45,
        aim_s: 4.0,
        deadline_s: 16.0,
        late_share: 0.4,
        worth: 1.0,
        effect: "deduplicated",
        in_order: false,
    },
    Class {
        name: "title-status",
        share: 0.3,
        aim_s: 1.0,
        deadline_s: 6.0,
        late_share: 0.1,
        worth: 2.0,
        effect: "idempotent",
        in_order: false,
    },
    Class {
        name: "reader-charge",
        share: 0.25,
        aim_s: 3.0,
        deadline_s: 20.0,
        late_share: 0.5,
        worth: 5.0,
        effect: "at_most_once",
        in_order: true,
    },
];

/// True if messages of a class go one at a time by key.
pub fn keeps_order(scenario: &Scenario, class: usize) -> bool {
    CLASSES.get(class).is_some_and(|class| {
        class.in_order || scenario.traffic.repeatable_in_order && class.effect == "idempotent"
    })
}

/// Shops and their shares of the messages.
pub const SHOPS: [(&str, f64); 3] = [
    ("sach-vui", 0.53),
    ("thu-vien-nho", 0.33),
    ("doc-cung-em", 0.14),
];

/// A message that a client will hand in.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Arrival {
    pub at_us: u64,
    pub number: usize,
    /// By position in [`CLASSES`] and [`SHOPS`].
    pub class: usize,
    pub shop: usize,
    pub destination: usize,
    /// What it is about, in classes that keep order.
    pub key: Option<u32>,
    /// Chooses its sender among those that are used.
    pub draw: u64,
}

/// A party of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    Sender(usize),
    Endpoint(usize),
    Registry(usize),
    Discovery,
    Clients,
}

/// Something done to the fleet at a time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    pub at_us: u64,
    pub what: Act,
}

/// What is done. Faults carry the number by which they end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    Impair {
        fault: usize,
        from: Vec<Party>,
        to: Vec<Party>,
        how: Impairment,
    },
    Heal {
        fault: usize,
    },
    Reset {
        from: Vec<Party>,
        to: Vec<Party>,
    },
    Kill {
        sender: usize,
    },
    Term {
        sender: usize,
    },
    Start {
        sender: usize,
        folder_lost: bool,
    },
    Stop {
        sender: usize,
    },
    Continue {
        sender: usize,
    },
    Upgrade {
        sender: usize,
    },
    Shut {
        endpoint: usize,
        shut: bool,
    },
    Discovery {
        up: bool,
    },
    /// System calls of this name fail from now on, or none does any more.
    FailCalls {
        sender: usize,
        call: String,
        number: i32,
        percent: u8,
    },
    RestoreCalls {
        sender: usize,
        call: String,
    },
    List {
        endpoint: usize,
        up: bool,
    },
    /// None: the one that leads.
    Replica {
        replica: Option<usize>,
        what: ReplicaAct,
    },
}

/// What is done to a replica of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaAct {
    Kill,
    Term,
    Start,
    Stop,
    Continue,
}

/// What a link suffers, in the direction named.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impairment {
    Cut { there: bool, back: bool },
    Loss { share: f64 },
    Duplicate { share: f64 },
    Delay { us: u64, jitter_us: u64 },
}

/// All that was drawn.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    pub seed: u64,
    pub arrivals: Vec<Arrival>,
    pub steps: Vec<Step>,
}

/// Microseconds of a time in seconds.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

impl Plan {
    /// Draws the run.
    ///
    /// # Errors
    /// Names a group that does not exist.
    pub fn draw(scenario: &Scenario, seed: u64) -> Result<Self, String> {
        // arrivals and faults have streams of their own: a further fault moves no arrival
        let mut random = Pcg64::seed_from_u64(seed);
        let arrivals = draw_arrivals(scenario, &mut random);
        let mut random = Pcg64::seed_from_u64(seed ^ 0xfa17);
        let mut steps = Vec::new();
        for (number, fault) in scenario.faults.iter().enumerate() {
            let fault = fault.get_ref();
            let (from, to) = (micros(fault.at), micros(fault.at + fault.seconds));
            draw_fault(
                scenario,
                number,
                &fault.what,
                (from, to),
                &mut random,
                &mut steps,
            )?;
        }
        steps.sort_by_key(|step| step.at_us);
        Ok(Plan {
            seed,
            arrivals,
            steps,
        })
    }
}

fn draw_arrivals(scenario: &Scenario, random: &mut Pcg64) -> Vec<Arrival> {
    let (mut at, mut arrivals) = (0.0, Vec::new());
    // as many keys as messages of two seconds: some wait for one another, most do not
    let keys = scenario
        .traffic
        .keys
        .unwrap_or((2.0 * scenario.traffic.per_s).ceil() as u32);
    loop {
        // gaps of a Poisson process
        at += -(1.0 - random.random::<f64>()).ln() / scenario.traffic.per_s;
        if at >= scenario.seconds {
            return arrivals;
        }
        let class = pick(random, CLASSES.iter().map(|class| class.share));
        arrivals.push(Arrival {
            at_us: micros(at),
            number: arrivals.len(),
            class,
            shop: pick(random, SHOPS.iter().map(|shop| shop.1)),
            destination: random.random_range(0..scenario.destinations.count),
            key: keeps_order(scenario, class).then(|| random.random_range(0..keys)),
            draw: random.random(),
        });
    }
}

fn pick(random: &mut Pcg64, shares: impl Iterator<Item = f64>) -> usize {
    let (mut left, mut last) = (random.random::<f64>(), 0);
    for (at, share) in shares.enumerate() {
        last = at;
        if left < share {
            break;
        }
        left -= share;
    }
    last
}

fn draw_fault(
    scenario: &Scenario,
    fault: usize,
    what: &What,
    (from_us, to_us): (u64, u64),
    random: &mut Pcg64,
    steps: &mut Vec<Step>,
) -> Result<(), String> {
    let mut parties = |name: &str| -> Result<Vec<Party>, String> {
        let senders = |chosen: Vec<usize>| chosen.into_iter().map(Party::Sender).collect();
        Ok(match scenario.group(name)? {
            Group::Sender(sender) => vec![Party::Sender(sender)],
            Group::Senders => senders((0..scenario.senders).collect()),
            Group::Zone(zone) => senders(
                (0..scenario.senders)
                    .filter(|&sender| scenario.zone_of(sender) == zone)
                    .collect(),
            ),
            Group::Share(share) => {
                let mut all: Vec<usize> = (0..scenario.senders).collect();
                all.shuffle(random);
                all.truncate((share * scenario.senders as f64).round() as usize);
                all.sort_unstable();
                senders(all)
            }
            Group::Endpoint(endpoint) => vec![Party::Endpoint(endpoint)],
            Group::Endpoints => (0..scenario.endpoints()).map(Party::Endpoint).collect(),
            Group::Replica(replica) => vec![Party::Registry(replica)],
            // which replica that is shows when the time has come
            Group::Leader => vec![Party::Registry(usize::MAX)],
            Group::Registry => (0..scenario.replicas()).map(Party::Registry).collect(),
            Group::Discovery => vec![Party::Discovery],
            Group::Clients => vec![Party::Clients],
        })
    };
    let lasts = to_us > from_us;
    let mut impair = |from: &str, to: &str, how: Impairment| {
        let (from, to) = (parties(from)?, parties(to)?);
        steps.push(Step {
            at_us: from_us,
            what: Act::Impair {
                fault,
                from,
                to,
                how,
            },
        });
        steps.push(Step {
            at_us: to_us,
            what: Act::Heal { fault },
        });
        Ok(())
    };
    match what {
        What::Cut { from, to, way } => {
            let (there, back) = (*way != Way::Back, *way != Way::There);
            return impair(from, to, Impairment::Cut { there, back });
        }
        What::Loss { from, to, share } => {
            return impair(from, to, Impairment::Loss { share: *share });
        }
        What::Duplicate { from, to, share } => {
            return impair(from, to, Impairment::Duplicate { share: *share });
        }
        What::Delay {
            from,
            to,
            ms,
            jitter_ms,
        } => {
            let (us, jitter_us) = (micros(ms / 1e3), micros(jitter_ms / 1e3));
            return impair(from, to, Impairment::Delay { us, jitter_us });
        }
        What::Reset { from, to } => {
            let (from, to) = (parties(from)?, parties(to)?);
            steps.push(Step {
                at_us: from_us,
                what: Act::Reset { from, to },
            });
        }
        What::DiscoveryDown {} => {
            steps.push(Step {
                at_us: from_us,
                what: Act::Discovery { up: false },
            });
            steps.push(Step {
                at_us: to_us,
                what: Act::Discovery { up: true },
            });
        }
        What::Kill { who, .. }
        | What::Term { who }
        | What::Stop { who }
        | What::Upgrade { who }
        | What::Drain { who }
        | What::Calls { who, .. }
        | What::Shut { who } => {
            for party in parties(who)? {
                let (first, last) = acts_on(what, party);
                steps.push(Step {
                    at_us: from_us,
                    what: first,
                });
                if let Some(what) = last.filter(|_| lasts) {
                    steps.push(Step { at_us: to_us, what });
                }
            }
        }
    }
    Ok(())
}

/// What begins and what ends a fault of one party.
fn acts_on(what: &What, party: Party) -> (Act, Option<Act>) {
    match (what, party) {
        (What::Kill { folder_lost, .. }, Party::Sender(sender)) => (
            Act::Kill { sender },
            Some(Act::Start {
                sender,
                folder_lost: *folder_lost,
            }),
        ),
        (What::Term { .. }, Party::Sender(sender)) => (
            Act::Term { sender },
            Some(Act::Start {
                sender,
                folder_lost: false,
            }),
        ),
        (
            What::Calls {
                call,
                number,
                percent,
                ..
            },
            Party::Sender(sender),
        ) => {
            let (call, number, percent) = (call.clone(), *number, *percent);
            let restored = Act::RestoreCalls {
                sender,
                call: call.clone(),
            };
            (
                Act::FailCalls {
                    sender,
                    call,
                    number,
                    percent,
                },
                Some(restored),
            )
        }
        (What::Stop { .. }, Party::Sender(sender)) => {
            (Act::Stop { sender }, Some(Act::Continue { sender }))
        }
        (What::Kill { .. } | What::Term { .. } | What::Stop { .. }, Party::Registry(replica)) => {
            let (first, last) = match what {
                What::Kill { .. } => (ReplicaAct::Kill, ReplicaAct::Start),
                What::Term { .. } => (ReplicaAct::Term, ReplicaAct::Start),
                _ => (ReplicaAct::Stop, ReplicaAct::Continue),
            };
            let replica = Some(replica).filter(|replica| *replica != usize::MAX);
            (
                Act::Replica {
                    replica,
                    what: first,
                },
                Some(Act::Replica {
                    replica,
                    what: last,
                }),
            )
        }
        (What::Upgrade { .. }, Party::Sender(sender)) => (Act::Upgrade { sender }, None),
        (What::Drain { .. }, Party::Endpoint(endpoint)) => (
            Act::List {
                endpoint,
                up: false,
            },
            Some(Act::List { endpoint, up: true }),
        ),
        (_, Party::Endpoint(endpoint)) => (
            Act::Shut {
                endpoint,
                shut: true,
            },
            Some(Act::Shut {
                endpoint,
                shut: false,
            }),
        ),
        // the scenario was checked: no other kind names these parties
        (_, party) => unreachable!("{party:?} suffers no {what:?}"),
    }
}

#[cfg(test)]
mod tests;
