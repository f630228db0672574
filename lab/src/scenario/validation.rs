//! Checks of a scenario that its types can't make.

use super::{
    Destinations, FAILING_CALLS, Fault, FaultError, FaultKind, MAX_SENDERS, PartyGroup, Registry,
    Scenario, ScenarioError,
};
use std::ops::Range;

/// Longest time that a scenario may name, s.
const MAX_TIME_S: f64 = 3600.0;
/// Most messages a second.
const MAX_MESSAGES_PER_S: f64 = 5000.0;

/// Checks all settings and faults.
///
/// # Errors
/// Names the line of the first mistake.
pub fn validate(scenario: &Scenario, text: &str) -> Result<(), ScenarioError> {
    let settings = Settings { text };
    check_sizes(scenario, &settings)?;
    check_destinations(&scenario.destinations, &settings)?;
    if let Some(registry) = &scenario.registry {
        check_registry(scenario, registry, &settings)?;
    }
    for fault in &scenario.faults {
        check_fault(scenario, fault.get_ref()).map_err(|error| ScenarioError::Fault {
            line: line_at(text, fault.span()),
            error,
        })?;
    }
    Ok(())
}

/// The text of a scenario, in which the lines of settings are looked up.
struct Settings<'a> {
    text: &'a str,
}

impl Settings<'_> {
    fn check(
        &self,
        key: &'static str,
        holds: bool,
        expected: &'static str,
    ) -> Result<(), ScenarioError> {
        if holds {
            return Ok(());
        }
        let names_key = |line: &str| line.trim_start().starts_with(key);
        let line = self.text.lines().position(names_key);
        Err(ScenarioError::OutOfRange {
            line: line.map_or(1, |line| line + 1),
            key,
            expected,
        })
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn check_sizes(scenario: &Scenario, settings: &Settings<'_>) -> Result<(), ScenarioError> {
    settings.check(
        "senders",
        (1..=MAX_SENDERS).contains(&scenario.senders),
        "a number from 1 to 1000",
    )?;
    settings.check(
        "seconds",
        is_positive(scenario.seconds) && scenario.seconds <= MAX_TIME_S,
        "a time above 0 and up to 3600",
    )?;
    settings.check(
        "zones",
        (1..=16).contains(&scenario.zones.len()),
        "a list of 1 to 16 names",
    )?;
    let rate = scenario.traffic.per_s;
    settings.check(
        "per_s",
        is_positive(rate) && rate <= MAX_MESSAGES_PER_S,
        "a rate up to 5000",
    )
}

fn check_destinations(
    destinations: &Destinations,
    settings: &Settings<'_>,
) -> Result<(), ScenarioError> {
    settings.check(
        "count",
        (1..=100).contains(&destinations.count),
        "a number from 1 to 100",
    )?;
    settings.check(
        "endpoints",
        (1..=4).contains(&destinations.endpoints),
        "a number from 1 to 4",
    )?;
    settings.check(
        "latency_ms",
        is_positive(destinations.latency_ms),
        "a time above 0",
    )?;
    settings.check(
        "bundle",
        (1..=100).contains(&destinations.bundle),
        "a number from 1 to 100",
    )?;
    settings.check(
        "capacity",
        is_positive(destinations.capacity),
        "a rate above 0",
    )
}

fn check_registry(
    scenario: &Scenario,
    registry: &Registry,
    settings: &Settings<'_>,
) -> Result<(), ScenarioError> {
    if let Some(ledger) = &registry.ledger {
        let fallback_quotas = ledger.fallback_per_s * scenario.senders as f64;
        let lowest_limit = ledger.limit_per_s.min(ledger.lower_to_per_s);
        settings.check(
            "ledger",
            fallback_quotas <= lowest_limit,
            "a limit that is not below all floors together",
        )?;
    }
    settings.check(
        "replicas",
        (1..=7).contains(&registry.replicas),
        "a number from 1 to 7",
    )?;
    settings.check(
        "lease_ms",
        (300..=600_000).contains(&registry.lease_ms),
        "a time from 300 to 600000",
    )?;
    settings.check("change_s", is_positive(registry.change_s), "a time above 0")
}

fn check_fault(scenario: &Scenario, fault: &Fault) -> Result<(), FaultError> {
    check_time("at", fault.at)?;
    check_time("seconds", fault.seconds)?;
    match &fault.kind {
        FaultKind::Cut { from, to, .. } | FaultKind::Reset { from, to } => {
            let from = scenario.group(from)?;
            let to = scenario.group(to)?;
            if from == PartyGroup::Leader || to == PartyGroup::Leader {
                return Err(FaultError::UnknownLeader);
            }
            Ok(())
        }
        FaultKind::Loss { from, to, share } | FaultKind::Duplicate { from, to, share } => {
            scenario.group(from)?;
            scenario.group(to)?;
            check_share(*share)
        }
        FaultKind::Delay {
            from,
            to,
            ms,
            jitter_ms,
        } => {
            scenario.group(from)?;
            scenario.group(to)?;
            check_time("ms", ms / 1e3)?;
            check_time("jitter_ms", jitter_ms / 1e3)
        }
        FaultKind::Kill { who, .. } | FaultKind::Term { who } | FaultKind::Stop { who } => {
            check_processes(scenario, who)
        }
        FaultKind::Upgrade { who } => check_senders(scenario, who),
        FaultKind::Drain { .. } if scenario.registry.is_none() => Err(FaultError::NoRegistry),
        FaultKind::Shut { who } | FaultKind::Drain { who } => match scenario.group(who)? {
            PartyGroup::Endpoint(_) | PartyGroup::Endpoints => Ok(()),
            _ => Err(FaultError::NotEndpoints(who.clone())),
        },
        FaultKind::DiscoveryDown {} => Ok(()),
        FaultKind::Answers { who, share, .. } => {
            check_share(*share)?;
            match scenario.group(who)? {
                PartyGroup::Endpoint(_) | PartyGroup::Endpoints | PartyGroup::Discovery => Ok(()),
                _ => Err(FaultError::NotEndpoints(who.clone())),
            }
        }
        FaultKind::Crowd {
            who, connections, ..
        } => {
            check_senders(scenario, who)?;
            if (1..=1000).contains(connections) {
                Ok(())
            } else {
                Err(FaultError::ConnectionsOutOfRange)
            }
        }
        FaultKind::Calls {
            who, call, percent, ..
        } => {
            check_senders(scenario, who)?;
            check_call(call, *percent)
        }
    }
}

fn check_time(name: &'static str, seconds: f64) -> Result<(), FaultError> {
    if seconds.is_finite() && (0.0..=MAX_TIME_S).contains(&seconds) {
        Ok(())
    } else {
        Err(FaultError::TimeOutOfRange(name))
    }
}

fn check_share(share: f64) -> Result<(), FaultError> {
    if (0.0..=1.0).contains(&share) {
        Ok(())
    } else {
        Err(FaultError::ShareOutOfRange)
    }
}

fn check_senders(scenario: &Scenario, name: &str) -> Result<(), FaultError> {
    match scenario.group(name)? {
        PartyGroup::Sender(_)
        | PartyGroup::Senders
        | PartyGroup::Zone(_)
        | PartyGroup::Share(_) => Ok(()),
        _ => Err(FaultError::NotSenders(name.to_string())),
    }
}

/// Processes are those of senders and those of replicas.
fn check_processes(scenario: &Scenario, name: &str) -> Result<(), FaultError> {
    match scenario.group(name)? {
        PartyGroup::Replica(_) | PartyGroup::Registry | PartyGroup::Leader => Ok(()),
        _ => check_senders(scenario, name),
    }
}

fn check_call(call: &str, percent: u8) -> Result<(), FaultError> {
    if !FAILING_CALLS.contains(&call) {
        return Err(FaultError::UnknownCall(call.to_string()));
    }
    if !(1..=100).contains(&percent) {
        return Err(FaultError::PercentOutOfRange);
    }
    Ok(())
}

fn line_at(text: &str, span: Range<usize>) -> usize {
    text.get(..span.start)
        .map_or(1, |before| before.matches('\n').count() + 1)
}
