//! What the endpoint list costs at a replica and for a watcher, by destinations: the state, one change, and the lines that
//! watchers are sent. In process, with the registry's own state and broadcaster; nothing is sent.

#[cfg(test)]
mod tests;

use super::resources::{resident, thread_time};
use bytes::Bytes;
use clap::Args;
use fleet_registry::endpoint::{Endpoint, EndpointState};
use fleet_registry::state::{Command, CommandError, EndpointChange, ListChange, State};
use fleet_registry::watch_broadcaster::WatchBroadcaster;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Zones of the target fleet.
const ZONES: u64 = 15;
/// Changes that are timed.
const TIMED: u64 = 20;
/// Changes that a watcher lacks that was away: those of an hour, of 1,000 a day.
const AWAY: u64 = 42;
/// A start of an endpoint, Unix time in ms: as long as they are now.
const BOOT_MS: u64 = 1_800_000_000_000;

/// What is measured.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// Destinations, each with one endpoint.
    #[arg(long)]
    pub destinations: u64,
    /// Senders that watch.
    #[arg(long, default_value_t = 2_100)]
    pub senders: u64,
    /// Number of the run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// All figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Destinations.
    pub destinations: u64,
    /// Senders.
    pub senders: u64,
    /// Number of the run.
    pub seed: u64,
    /// Resident memory of the state and the broadcaster for each destination, bytes.
    pub bytes_each: f64,
    /// Why a change of a list of this size is refused, if it is.
    pub refused: Option<String>,
    /// CPU time to apply one change, microseconds; none if it is refused.
    pub apply_us: Option<f64>,
    /// CPU time to add one change to the broadcaster, microseconds.
    pub push_us: f64,
    /// Bytes of the whole list, as a new watcher gets it.
    pub whole_bytes: u64,
    /// CPU time to write it, once a version, microseconds.
    pub whole_us: f64,
    /// Bytes of one change for one watcher.
    pub change_bytes: u64,
    /// Bytes of an hour's changes for one watcher that was away.
    pub hour_bytes: u64,
    /// Bytes of one change for all watchers.
    pub change_bytes_all: u64,
}

/// The line that a watcher gets that knows a version.
type Answer = fn(&mut WatchBroadcaster, u64) -> Option<Bytes>;

/// As the registry answers.
fn real(broadcaster: &mut WatchBroadcaster, from: u64) -> Option<Bytes> {
    broadcaster.changes_since(from).map(|update| update.line)
}

/// Measures all.
///
/// # Errors
/// Memory can't be read, or a change is refused for another reason than the list's size.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    anyhow::ensure!(
        order.destinations > 0,
        "--destinations: a list has one at least"
    );
    let before = resident()?;
    let mut state = State {
        rev: 1,
        endpoints: endpoints(order.destinations),
        ..State::default()
    };
    let mut broadcaster = WatchBroadcaster::default();
    broadcaster.reset(state.rev, &state.endpoints);
    let bytes = resident()?.saturating_sub(before);
    let (push_us, lines) = changes(&mut broadcaster, real);
    let cpu = thread_time();
    let whole_bytes = broadcaster.full_list().len() as u64;
    let whole_us = microseconds(thread_time().saturating_sub(cpu), 1);
    // last: it copies the list and frees the copy, which the next allocations would pay for
    let (refused, apply_us) = apply(&mut state)?;
    Ok(Figures {
        destinations: order.destinations,
        senders: order.senders,
        seed: order.seed,
        bytes_each: bytes as f64 / order.destinations as f64,
        refused,
        apply_us,
        push_us,
        whole_bytes,
        whole_us,
        change_bytes: lines.one,
        hour_bytes: lines.hour,
        change_bytes_all: lines.one * order.senders,
    })
}

fn microseconds(cpu: Duration, count: u64) -> f64 {
    cpu.as_secs_f64() * 1e6 / count.max(1) as f64
}

fn uid(destination: u64) -> String {
    format!("endpoint-{destination:06}")
}

fn endpoint(destination: u64) -> Endpoint {
    let [_, high, middle, low] = u32::try_from(destination).unwrap_or(u32::MAX).to_be_bytes();
    Endpoint {
        endpoint: SocketAddr::from((Ipv4Addr::new(10, high, middle, low), 8443)),
        az: format!("zone-{:02}", destination % ZONES),
        model: "standard".to_string(),
        pod_group: destination,
        state: EndpointState::Up,
        capacity_hint: 120.0,
        boot_ms: BOOT_MS,
        ttl_ms: None,
    }
}

fn endpoints(destinations: u64) -> BTreeMap<String, Endpoint> {
    (0..destinations)
        .map(|destination| (uid(destination), endpoint(destination)))
        .collect()
}

/// One that is there comes back from a later start.
fn restarted(number: u64) -> Endpoint {
    Endpoint {
        boot_ms: BOOT_MS + number,
        ..endpoint(0)
    }
}

/// Applies changes of one endpoint one after the other: why not, or the CPU time of one.
fn apply(state: &mut State) -> anyhow::Result<(Option<String>, Option<f64>)> {
    let cpu = thread_time();
    for number in 1..=TIMED {
        let put = ListChange::Put {
            uid: uid(0),
            endpoint: restarted(number),
        };
        match state.apply(Command::ChangeList {
            if_match: None,
            changes: vec![put],
        }) {
            Ok(_) => {}
            Err(refused @ (CommandError::TooMany(_) | CommandError::InvalidEndpoint(_))) => {
                return Ok((Some(refused.to_string()), None));
            }
            Err(refused) => return Err(refused.into()),
        }
    }
    Ok((
        None,
        Some(microseconds(thread_time().saturating_sub(cpu), TIMED)),
    ))
}

/// Bytes of lines for one watcher.
struct Lines {
    /// That lacks one change.
    one: u64,
    /// That lacks those of an hour.
    hour: u64,
}

/// Adds changes to a broadcaster, each of another endpoint: the CPU time of one, and what watchers are sent.
fn changes(broadcaster: &mut WatchBroadcaster, answer: Answer) -> (f64, Lines) {
    let first = broadcaster.rev();
    let cpu = thread_time();
    for number in 1..=AWAY {
        let changed = EndpointChange {
            uid: uid(number),
            endpoint: Endpoint {
                boot_ms: BOOT_MS + 1,
                ..endpoint(number)
            },
            removed: false,
        };
        broadcaster.push(first + number, &[changed]);
    }
    let push_us = microseconds(thread_time().saturating_sub(cpu), AWAY);
    let mut bytes = |from| answer(broadcaster, from).map_or(0, |line| line.len() as u64);
    let lines = Lines {
        one: bytes(first + AWAY - 1),
        hour: bytes(first),
    };
    (push_us, lines)
}
