//! What a node is told at its start. Every time is in protocol periods, but for the period itself.

use crate::Micros;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest name of a member or fleet, bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most members that a table may hold: the bitmap of view holders takes an eighth of that in a datagram, in bytes.
pub const MAX_MEMBERS: usize = 2048;
/// A table has room for at least this many members, however few are expected; memory is taken only by those that join.
const MIN_TABLE_CAPACITY: usize = 1024;
/// Shortest shared key, bytes.
const MIN_KEY_BYTES: usize = 16;

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{setting} is not {requirement}")]
pub struct SettingsError {
    /// The setting, by the name that a configuration has for it.
    pub setting: &'static str,
    /// What it has to be.
    pub requirement: &'static str,
}

/// How a node takes part.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its name, one to 64 bytes without spaces; the same after a restart.
    pub name: String,
    /// The fleet's name; datagrams of other fleets are dropped.
    pub fleet: String,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Members to join through; any one suffices.
    pub seeds: Vec<SocketAddr>,
    /// Members that the fleet is to have, those that are down counted. Majorities are of this number.
    pub expected_members: u32,
    /// Time from one probe to the next, microseconds. SWIM's T'; Lifeguard's evaluation uses 1 s (section V).
    pub protocol_period: Micros,
    /// Helpers that are asked for an indirect probe. SWIM's k; 3 in both papers' evaluations.
    pub indirect_probers: usize,
    /// Minimum suspicion timeout, in periods and times log10 of the members: Lifeguard's alpha, 5 (section IV-C).
    pub suspicion_multiplier: f64,
    /// Maximum suspicion timeout, in minimum ones: Lifeguard's beta, 6.
    pub max_suspicion_multiplier: f64,
    /// Independent confirmations that bring the timeout from maximum to minimum: Lifeguard's K, 3.
    pub confirmations: u32,
    /// Transmissions of each broadcast, times log10 of the members: SWIM's lambda (section IV-A), 4.
    pub retransmit_multiplier: u32,
    /// Periods between two rounds of push-pull sync. An extension.
    pub push_pull_periods: u32,
    /// Lifeguard's local health, decaying suspicion timeouts and buddy system; off only to measure them.
    pub lifeguard: bool,
    /// Most members in the table, departed ones counted.
    pub max_members: usize,
    /// Shared key; a datagram without its keyed hash is dropped.
    pub key: Option<Vec<u8>>,
}

impl Settings {
    /// The defaults for a node of this name.
    pub fn new(name: &str, advertise: SocketAddr, expected_members: u32) -> Self {
        let capacity = 4 * expected_members as usize;
        Settings {
            name: name.to_string(),
            fleet: "fleet".to_string(),
            advertise,
            seeds: Vec::new(),
            expected_members,
            protocol_period: 1_000_000,
            indirect_probers: 3,
            suspicion_multiplier: 5.0,
            max_suspicion_multiplier: 6.0,
            confirmations: 3,
            retransmit_multiplier: 4,
            push_pull_periods: 5,
            lifeguard: true,
            max_members: capacity.clamp(MIN_TABLE_CAPACITY, MAX_MEMBERS),
            key: None,
        }
    }

    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_identity()?;
        self.validate_protocol()
    }

    fn validate_identity(&self) -> Result<(), SettingsError> {
        const NAME: &str = "one to 64 letters, digits or signs without spaces";
        require("name", is_name(&self.name), NAME)?;
        require("fleet", is_name(&self.fleet), NAME)?;
        require(
            "configured",
            self.expected_members > 0,
            "a number above zero",
        )
    }

    fn validate_protocol(&self) -> Result<(), SettingsError> {
        require(
            "period",
            (10_000..=60_000_000).contains(&self.protocol_period),
            "a time from 10 ms to 60 s",
        )?;
        require(
            "helpers",
            (1..=8).contains(&self.indirect_probers),
            "a number from 1 to 8",
        )?;
        require(
            "suspicion",
            (1.0..=100.0).contains(&self.suspicion_multiplier),
            "a number from 1 to 100",
        )?;
        require(
            "suspicion_most",
            (1.0..=100.0).contains(&self.max_suspicion_multiplier),
            "a number from 1 to 100",
        )?;
        require(
            "confirmations",
            (1..=8).contains(&self.confirmations),
            "a number from 1 to 8",
        )?;
        require(
            "retransmit",
            (1..=16).contains(&self.retransmit_multiplier),
            "a number from 1 to 16",
        )?;
        require(
            "sync",
            (1..=1000).contains(&self.push_pull_periods),
            "a number from 1 to 1000",
        )?;
        require(
            "members_most",
            (2..=MAX_MEMBERS).contains(&self.max_members),
            "a number from 2 to 2048",
        )?;
        let key_is_long = self
            .key
            .as_ref()
            .is_none_or(|key| key.len() >= MIN_KEY_BYTES);
        require("key", key_is_long, "at least 16 bytes long")?;
        require(
            "advertise",
            !self.advertise.ip().is_unspecified() && self.advertise.port() != 0,
            "an address that others can reach",
        )
    }
}

fn require(
    setting: &'static str,
    holds: bool,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError {
            setting,
            requirement,
        })
    }
}

/// Whether a text may be the name of a member or fleet.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}
