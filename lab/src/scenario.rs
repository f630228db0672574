//! Scenarios: what a run's TOML file may say, read strictly. A mistake is named with its line.

mod validation;

use crate::answers::AnswerFaultKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::Spanned;

/// Most senders of a run: the addresses and descriptors of one machine bear no more.
pub const MAX_SENDERS: usize = 1000;

/// A run, before anything is drawn.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Seed of all that is drawn; the command line may give another.
    pub seed: u64,
    /// Number of senders.
    pub senders: usize,
    /// Time in which clients submit messages, s. Faults may last longer than it, the run waits for the last deadline.
    pub seconds: f64,
    #[serde(default = "one_zone")]
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Memory limit of each sender in megabytes, files of its folder included.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// What clients submit.
    pub traffic: Traffic,
    /// Where messages go.
    pub destinations: Destinations,
    /// Handed to each sender's configuration as it stands, but for addresses and seeds.
    pub membership: Option<toml::Table>,
    /// Replicas of the registry, by which the senders agree on rules.
    pub registry: Option<Registry>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
}

fn default_memory_mb() -> u64 {
    192
}

fn one_zone() -> Vec<String> {
    vec!["floor-1".to_string()]
}

/// The registry of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Number of replicas.
    pub replicas: usize,
    /// Length of a lease, ms.
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
    /// Calls a second that each sender may make without an allocation.
    #[serde(rename = "floor_per_s")]
    pub fallback_per_s: f64,
    /// Length of a lease, ms.
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

    /// What each sender may use without an allocation, in the ledger's units.
    pub fn fallback_quota(&self) -> u64 {
        Ledger::thousandths(self.fallback_per_s)
    }
}

/// What clients submit.
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
    /// Calls a second that a destination takes from all senders together; more are rejected.
    pub capacity: f64,
    /// Messages that may go in one call.
    #[serde(default = "one_message")]
    pub bundle: usize,
}

fn one_message() -> usize {
    1
}

/// Something that goes wrong, at a time. Keys that are not its own go to `kind`, which knows no others.
#[derive(Debug, Clone, Deserialize)]
pub struct Fault {
    /// Seconds after clients begin.
    pub at: f64,
    /// How long it lasts, s; what ends by itself has none.
    #[serde(default)]
    pub seconds: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What goes wrong. Groups are names of parties, see [`PartyGroup`].
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Nothing passes; what was sent over a connection comes late, datagrams are lost.
    Cut {
        from: String,
        to: String,
        #[serde(rename = "way")]
        direction: CutDirection,
    },
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
    /// SIGTERM, SIGKILL 3.7 s later if it still runs, and a start after `seconds`, counted from the first signal; 0
    /// seconds: no start.
    Term { who: String },
    /// SIGSTOP, and SIGCONT after `seconds`.
    Stop { who: String },
    /// A second process of the same name takes over, then SIGTERM to the first.
    Upgrade { who: String },
    /// Endpoints reject all calls with 503.
    Shut { who: String },
    /// Endpoints drain by the registry's list; after `seconds` they are up again, as after a start.
    Drain { who: String },
    /// A share of the answers of endpoints, or of the platform to notifications (`discovery`), breaks off or comes wrongly.
    Answers {
        who: String,
        how: AnswerFaultKind,
        share: f64,
    },
    /// So many clients hold connections to each sender, and do what `sends` says.
    Crowd {
        who: String,
        connections: usize,
        #[serde(default)]
        sends: CrowdRequests,
    },
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

/// What the clients of a crowd send.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrowdRequests {
    /// Nothing.
    #[default]
    Nothing,
    /// A request with most of a large body, whose rest never comes.
    PartOfBody,
    /// A large body in small pieces.
    SlowBody,
    /// Small requests without a message, at full speed, whose answers are not read.
    Flood,
}

impl CrowdRequests {
    /// Whether the clients send nothing.
    pub fn is_nothing(&self) -> bool {
        *self == CrowdRequests::Nothing
    }
}

fn all_calls() -> u8 {
    100
}

/// What [`FaultKind::Calls`] may name.
pub const FAILING_CALLS: [&str; 19] = [
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
pub enum CutDirection {
    /// Both ways.
    Both,
    /// Only what goes from `from` to `to`.
    #[serde(rename = "there")]
    Forward,
    /// Only what goes from `to` to `from`.
    #[serde(rename = "back")]
    Reverse,
}

/// Parties by name: `n3`, `senders`, `zone:NAME` (the senders of a zone), `share:0.2` (drawn senders), `e2`,
/// `endpoints`, `r0` (a replica), `registry`, `leader`, `discovery`, `clients`.
#[derive(Debug, Clone, PartialEq)]
pub enum PartyGroup {
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

/// Why a text is no scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is no TOML, or has a key or value that no scenario has.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A setting is out of its range.
    #[error("line {line}: {key} is not {expected}")]
    OutOfRange {
        /// The line, from 1.
        line: usize,
        /// The setting.
        key: &'static str,
        /// What it has to be.
        expected: &'static str,
    },
    /// A fault makes no sense.
    #[error("line {line}: {error}")]
    Fault {
        /// The line of its table, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        error: FaultError,
    },
}

/// Why a fault makes no sense in its scenario.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultError {
    /// No party has this name.
    #[error("{0} names nobody of this scenario")]
    UnknownGroup(String),
    /// The fault is one of senders.
    #[error("{0} names no senders")]
    NotSenders(String),
    /// The fault is one of endpoints.
    #[error("{0} names no endpoints")]
    NotEndpoints(String),
    /// Links are named before it is known which replica leads.
    #[error("leader names nobody before the run")]
    UnknownLeader,
    /// Endpoints drain by the registry's list.
    #[error("nothing drains without a registry")]
    NoRegistry,
    /// A time is out of range.
    #[error("{0} is not a time from 0 to 3600")]
    TimeOutOfRange(&'static str),
    /// A share is out of range.
    #[error("share is not from 0 to 1")]
    ShareOutOfRange,
    /// A number of connections is out of range.
    #[error("connections is not a number from 1 to 1000")]
    ConnectionsOutOfRange,
    /// A percentage is out of range.
    #[error("percent is not from 1 to 100")]
    PercentOutOfRange,
    /// No such system call can be made to fail.
    #[error("{0} is no call that can fail")]
    UnknownCall(String),
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
        validation::validate(&scenario, text)?;
        Ok(scenario)
    }

    /// True if system calls of senders are to fail.
    pub fn fails_calls(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault.get_ref().kind, FaultKind::Calls { .. }))
    }

    /// The members' protocol period, us, if there is membership.
    pub fn period_us(&self) -> Option<u64> {
        let period = self.membership.as_ref()?.get("period_ms");
        let period_ms = period.and_then(|period| {
            period
                .as_float()
                .or(period.as_integer().map(|integer| integer as f64))
        });
        Some((period_ms.unwrap_or(1000.0) * 1e3) as u64)
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
    pub fn group(&self, name: &str) -> Result<PartyGroup, FaultError> {
        let numbered = |prefix: char, count: usize| {
            name.strip_prefix(prefix)?
                .parse::<usize>()
                .ok()
                .filter(|number| *number < count)
        };
        let fixed = match name {
            "senders" => Some(PartyGroup::Senders),
            "endpoints" => Some(PartyGroup::Endpoints),
            "registry" if self.registry.is_some() => Some(PartyGroup::Registry),
            "leader" if self.registry.is_some() => Some(PartyGroup::Leader),
            "discovery" => Some(PartyGroup::Discovery),
            "clients" => Some(PartyGroup::Clients),
            _ => None,
        };
        fixed
            .or_else(|| numbered('n', self.senders).map(PartyGroup::Sender))
            .or_else(|| numbered('e', self.endpoints()).map(PartyGroup::Endpoint))
            .or_else(|| numbered('r', self.replicas()).map(PartyGroup::Replica))
            .or_else(|| {
                let zone = name.strip_prefix("zone:")?;
                self.zones
                    .iter()
                    .position(|known| known == zone)
                    .map(PartyGroup::Zone)
            })
            .or_else(|| {
                let share = name.strip_prefix("share:")?.parse::<f64>().ok();
                share
                    .filter(|share| (0.0..=1.0).contains(share))
                    .map(PartyGroup::Share)
            })
            .ok_or_else(|| FaultError::UnknownGroup(name.to_string()))
    }
}

#[cfg(test)]
mod tests;
