//! Scenarios: what a run's TOML file may say, read strictly. A mistake is named with its line.

use serde::{Deserialize, Serialize};
use std::ops::Range;
use thiserror::Error;
use toml::Spanned;

/// Most senders of a run: the addresses and descriptors of one machine bear no more.
pub const MOST_SENDERS: usize = 1000;

/// A run, before anything is drawn.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Seed of all that is drawn; the command line may give another.
    pub seed: u64,
    pub senders: usize,
    /// Time in which clients hand in, s. Faults may last longer than it, the run waits for the last deadline.
    pub seconds: f64,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    pub traffic: Traffic,
    pub destinations: Destinations,
    /// Handed to each sender's configuration as it stands, but for addresses and seeds.
    pub membership: Option<toml::Table>,
    /// Replicas of the registry, by which the senders agree on rules.
    pub registry: Option<Registry>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
}

fn one_zone() -> Vec<String> {
    vec!["floor-1".to_string()]
}

/// The registry of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    pub replicas: usize,
    pub lease_ms: u64,
    /// Other rules are taken up so long after the last were, s.
    pub change_s: f64,
    /// Limits that the senders hold together.
    pub ledger: Option<Ledger>,
}

/// Limits that hold for the whole fleet: of each destination's rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Calls a second that all senders together may make to a destination.
    pub limit_per_s: f64,
    /// Calls a second that each may make without asking.
    pub floor_per_s: f64,
    pub lease_ms: u64,
    /// First destinations of the ranges after the first.
    #[serde(default)]
    pub split_at: Vec<u64>,
    /// The limits are lowered so long after the start, s, and to what.
    pub lower_at: f64,
    pub lower_to_per_s: f64,
}

impl Ledger {
    /// A rate in the ledger's units.
    pub fn thousandths(per_s: f64) -> u64 {
        (per_s * 1000.0).round() as u64
    }

    /// What each sender may use without asking.
    pub fn floor(&self) -> u64 {
        Ledger::thousandths(self.floor_per_s)
    }
}

/// What clients hand in.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second, over all senders, open loop.
    pub per_s: f64,
    /// Keys of the messages that keep order; as many as messages of two seconds where not given.
    pub keys: Option<u32>,
    /// A class that may be repeated keeps order too: what is sent again out of turn shows at the endpoints.
    #[serde(default)]
    pub repeatable_in_order: bool,
}

/// Where messages go.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    pub count: usize,
    /// Endpoints of each.
    pub endpoints: usize,
    /// Median time of a call, ms.
    pub latency_ms: f64,
    /// Calls a second that a destination takes from all senders together; more are refused.
    pub capacity: f64,
}

/// Something that goes wrong, at a time. Keys that are not its own go to `what`, which knows no others.
#[derive(Debug, Clone, Deserialize)]
pub struct Fault {
    /// Seconds after clients begin.
    pub at: f64,
    /// How long it lasts, s; what ends by itself has none.
    #[serde(default)]
    pub seconds: f64,
    #[serde(flatten)]
    pub what: What,
}

/// What goes wrong. Groups are names of parties, see [`Group`].
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Nothing passes; what was sent over a connection comes late, datagrams are lost.
    Cut { from: String, to: String, way: Way },
    /// Datagrams are lost with this chance.
    Loss {
        from: String,
        to: String,
        share: f64,
    },
    /// All that passes takes so much longer, ms, and up to so much more, drawn for each.
    Delay {
        from: String,
        to: String,
        ms: f64,
        jitter_ms: f64,
    },
    /// Datagrams come twice with this chance.
    Duplicate {
        from: String,
        to: String,
        share: f64,
    },
    /// Connections between the two are reset, once.
    Reset { from: String, to: String },
    /// SIGKILL, and a start again after `seconds`, with its folder kept or lost; 0 seconds: no start.
    Kill {
        who: String,
        #[serde(default)]
        folder_lost: bool,
    },
    /// SIGTERM, and a start again after `seconds`, counted from the signal; 0 seconds: no start.
    Term { who: String },
    /// SIGSTOP, and SIGCONT after `seconds`.
    Stop { who: String },
    /// A second process of the same name takes over, then SIGTERM to the first.
    Upgrade { who: String },
    /// Endpoints refuse all connections' calls with 503.
    Shut { who: String },
    /// Endpoints drain by the registry's list; after `seconds` they are up again, as after a start.
    Drain { who: String },
    /// Discovery answers 503 and ends its watches.
    DiscoveryDown {},
    /// System calls of senders fail, see `lab/shim/failing_calls.c` for the names and what the number says.
    Calls {
        who: String,
        call: String,
        number: i32,
        /// Percent of the calls that fail.
        #[serde(default = "all_calls")]
        percent: u8,
    },
}

fn all_calls() -> u8 {
    100
}

/// What [`What::Calls`] may name.
pub const CALLS: [&str; 19] = [
    "journal_open",
    "journal_read",
    "journal_write",
    "journal_half",
    "journal_slow",
    "journal_short",
    "journal_truncate",
    "journal_rename",
    "journal_unlink",
    "lock_open",
    "accept",
    "bind",
    "connect",
    "socket",
    "send",
    "receive",
    "short_send",
    "short_receive",
    "wall_step",
];

/// In which direction a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    Both,
    /// Only what goes from `from` to `to`.
    There,
    /// Only what comes back.
    Back,
}

/// Parties by name: `n3`, `senders`, `zone:NAME` (the senders of a zone), `share:0.2` (drawn senders), `e2`,
/// `endpoints`, `r0` (a replica), `registry`, `leader`, `discovery`, `clients`.
#[derive(Debug, Clone, PartialEq)]
pub enum Group {
    Sender(usize),
    Senders,
    Zone(usize),
    Share(f64),
    Endpoint(usize),
    Endpoints,
    Replica(usize),
    Registry,
    /// The replica that leads when the time comes.
    Leader,
    Discovery,
    Clients,
}

/// Why a scenario is no scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    #[error("line {line}: {what}")]
    Line { line: usize, what: String },
}

impl Scenario {
    /// The limits that the senders hold together, if they do.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.registry.as_ref()?.ledger.as_ref()
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// Names the line of the first mistake.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.validate(text)?;
        Ok(scenario)
    }

    fn validate(&self, text: &str) -> Result<(), ScenarioError> {
        let key = |key: &str, holds: bool, wanted: &str| {
            if holds {
                return Ok(());
            }
            let named = |line: &str| line.trim_start().starts_with(key);
            let line = text.lines().position(named).map_or(1, |line| line + 1);
            Err(ScenarioError::Line {
                line,
                what: format!("{key} is not {wanted}"),
            })
        };
        let above = |number: f64| number.is_finite() && number > 0.0;
        key(
            "senders",
            (1..=MOST_SENDERS).contains(&self.senders),
            "a number from 1 to 1000",
        )?;
        key(
            "seconds",
            above(self.seconds) && self.seconds <= 3600.0,
            "a time above 0 and up to 3600",
        )?;
        key(
            "zones",
            (1..=16).contains(&self.zones.len()),
            "a list of 1 to 16 names",
        )?;
        key(
            "per_s",
            above(self.traffic.per_s) && self.traffic.per_s <= 5000.0,
            "a rate up to 5000",
        )?;
        let Destinations {
            count,
            endpoints,
            latency_ms,
            capacity,
        } = self.destinations;
        key(
            "count",
            (1..=100).contains(&count),
            "a number from 1 to 100",
        )?;
        key(
            "endpoints",
            (1..=4).contains(&endpoints),
            "a number from 1 to 4",
        )?;
        key("latency_ms", above(latency_ms), "a time above 0")?;
        key("capacity", above(capacity), "a rate above 0")?;
        if let Some(Registry {
            replicas,
            lease_ms,
            change_s,
            ref ledger,
        }) = self.registry
        {
            if let Some(ledger) = ledger {
                let floors = ledger.floor_per_s * self.senders as f64;
                let least = ledger.limit_per_s.min(ledger.lower_to_per_s);
                key(
                    "ledger",
                    floors <= least,
                    "a limit that is not below all floors together",
                )?;
            }
            key(
                "replicas",
                (1..=7).contains(&replicas),
                "a number from 1 to 7",
            )?;
            key(
                "lease_ms",
                (300..=600_000).contains(&lease_ms),
                "a time from 300 to 600000",
            )?;
            key("change_s", above(change_s), "a time above 0")?;
        }
        self.faults.iter().try_for_each(|fault| {
            self.check_fault(fault.get_ref())
                .map_err(|what| ScenarioError::Line {
                    line: line_of(text, fault.span()),
                    what,
                })
        })
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let time = |name: &str, time: f64| {
            let holds = time.is_finite() && (0.0..=3600.0).contains(&time);
            if holds {
                Ok(())
            } else {
                Err(format!("{name} is not a time from 0 to 3600"))
            }
        };
        let share = |share: f64| {
            if (0.0..=1.0).contains(&share) {
                Ok(())
            } else {
                Err("share is not from 0 to 1".to_string())
            }
        };
        time("at", fault.at)?;
        time("seconds", fault.seconds)?;
        let who = |name: &str| match self.group(name)? {
            Group::Sender(_) | Group::Senders | Group::Zone(_) | Group::Share(_) => Ok(()),
            _ => Err(format!("{name} names no senders")),
        };
        match &fault.what {
            What::Cut { from, to, .. } | What::Reset { from, to } => {
                let (from, to) = (self.group(from)?, self.group(to)?);
                let leader = from == Group::Leader || to == Group::Leader;
                if leader {
                    Err("leader names nobody before the run".to_string())
                } else {
                    Ok(())
                }
            }
            What::Loss {
                from,
                to,
                share: part,
            }
            | What::Duplicate {
                from,
                to,
                share: part,
            } => {
                self.group(from).and(self.group(to))?;
                share(*part)
            }
            What::Delay {
                from,
                to,
                ms,
                jitter_ms,
            } => {
                self.group(from).and(self.group(to))?;
                time("ms", ms / 1e3).and(time("jitter_ms", jitter_ms / 1e3))
            }
            What::Kill { who: name, .. } | What::Term { who: name } | What::Stop { who: name }
                if matches!(
                    self.group(name),
                    Ok(Group::Replica(_) | Group::Registry | Group::Leader)
                ) =>
            {
                Ok(())
            }
            What::Kill { who: name, .. }
            | What::Term { who: name }
            | What::Stop { who: name }
            | What::Upgrade { who: name } => who(name),
            What::Drain { .. } if self.registry.is_none() => {
                Err("nothing drains without a registry".to_string())
            }
            What::Shut { who: name } | What::Drain { who: name } => match self.group(name)? {
                Group::Endpoint(_) | Group::Endpoints => Ok(()),
                _ => Err(format!("{name} names no endpoints")),
            },
            What::DiscoveryDown {} => Ok(()),
            What::Calls {
                who: name,
                call,
                percent,
                ..
            } => {
                who(name)?;
                if !CALLS.contains(&call.as_str()) {
                    return Err(format!("{call} is no call that can fail"));
                }
                if (1..=100).contains(percent) {
                    Ok(())
                } else {
                    Err("percent is not from 1 to 100".to_string())
                }
            }
        }
    }

    /// True if system calls of senders are to fail.
    pub fn fails_calls(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault.get_ref().what, What::Calls { .. }))
    }

    /// The members' protocol period, us, if there is membership.
    pub fn period_us(&self) -> Option<u64> {
        let told = self.membership.as_ref()?.get("period_ms");
        let told = told.and_then(|period| {
            period
                .as_float()
                .or(period.as_integer().map(|whole| whole as f64))
        });
        Some((told.unwrap_or(1000.0) * 1e3) as u64)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> usize {
        self.destinations.count * self.destinations.endpoints
    }

    /// Replicas of the registry.
    pub fn replicas(&self) -> usize {
        self.registry
            .as_ref()
            .map_or(0, |registry| registry.replicas)
    }

    /// The zone of a sender or endpoint, by number.
    pub fn zone_of(&self, index: usize) -> usize {
        index % self.zones.len()
    }

    /// What a name means.
    ///
    /// # Errors
    /// Says what the name lacks.
    pub fn group(&self, name: &str) -> Result<Group, String> {
        let numbered = |prefix: char, most: usize| {
            name.strip_prefix(prefix)?
                .parse::<usize>()
                .ok()
                .filter(|number| *number < most)
        };
        let fixed = match name {
            "senders" => Some(Group::Senders),
            "endpoints" => Some(Group::Endpoints),
            "registry" if self.registry.is_some() => Some(Group::Registry),
            "leader" if self.registry.is_some() => Some(Group::Leader),
            "discovery" => Some(Group::Discovery),
            "clients" => Some(Group::Clients),
            _ => None,
        };
        fixed
            .or_else(|| numbered('n', self.senders).map(Group::Sender))
            .or_else(|| numbered('e', self.endpoints()).map(Group::Endpoint))
            .or_else(|| numbered('r', self.replicas()).map(Group::Replica))
            .or_else(|| {
                let zone = name.strip_prefix("zone:")?;
                self.zones
                    .iter()
                    .position(|known| known == zone)
                    .map(Group::Zone)
            })
            .or_else(|| {
                let share = name.strip_prefix("share:")?.parse::<f64>().ok();
                share
                    .filter(|share| (0.0..=1.0).contains(share))
                    .map(Group::Share)
            })
            .ok_or_else(|| format!("{name} names nobody of this scenario"))
    }
}

fn line_of(text: &str, span: Range<usize>) -> usize {
    text.get(..span.start)
        .map_or(1, |before| before.matches('\n').count() + 1)
}

#[cfg(test)]
mod tests;
