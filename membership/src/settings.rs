//! What a member is told at its start. Every time is stated in protocol periods, but for the period itself.

use crate::Micros;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest name of a member or fleet, bytes.
pub const NAME_MOST: usize = 64;
/// Most members that a table may hold: their bitmap takes an eighth of that in each datagram.
pub const MEMBERS_MOST: usize = 2048;
/// A table has room for so many at least, however few the fleet is said to have: the memory is taken by those that come.
const MEMBERS_LEAST: usize = 1024;

/// Why the settings make no sense: the setting's name and what it has to be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name} is not {wanted}")]
pub struct SettingsError {
    /// The setting.
    pub name: &'static str,
    /// What it has to be.
    pub wanted: &'static str,
}

/// How a member takes part.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its name, one to 64 bytes without spaces; the same after a restart.
    pub name: String,
    /// The fleet's; datagrams of others count for nothing.
    pub fleet: String,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Members that may be asked at first; any one suffices.
    pub seeds: Vec<SocketAddr>,
    /// Members that the fleet is to have, those that are down counted.
    pub configured: u32,
    /// Time from one probe to the next. SWIM's T'; Lifeguard's evaluation uses 1 s (section V).
    pub period: Micros,
    /// Members asked to probe in one's place. SWIM's k; 3 in both papers' evaluations.
    pub helpers: usize,
    /// Least time of a suspicion, in periods and times log10 of the members: Lifeguard's alpha, 5 (section IV-C).
    pub suspicion: f64,
    /// Most time of a suspicion, in least times: Lifeguard's beta, 6.
    pub suspicion_most: f64,
    /// Independent observers that bring the time from most to least: Lifeguard's K, 3.
    pub confirmations: u32,
    /// Times that news is passed on, times log10 of the members: SWIM's lambda (section IV-A), 4.
    pub retransmit: u32,
    /// Periods between two exchanges of a part of the state. Ours.
    pub sync: u32,
    /// Local health, suspicions that shorten, and the buddy rule of Lifeguard; off only to measure them.
    pub lifeguard: bool,
    /// Most members, those that have gone counted.
    pub most: usize,
    /// Shared key; a datagram without its keyed hash counts for nothing.
    pub key: Option<Vec<u8>>,
}

impl Settings {
    /// The defaults for a member of this name.
    pub fn new(name: &str, advertise: SocketAddr, configured: u32) -> Self {
        Settings {
            name: name.to_string(),
            fleet: "fleet".to_string(),
            advertise,
            seeds: Vec::new(),
            configured,
            period: 1_000_000,
            helpers: 3,
            suspicion: 5.0,
            suspicion_most: 6.0,
            confirmations: 3,
            retransmit: 4,
            sync: 5,
            lifeguard: true,
            most: (4 * configured as usize).clamp(MEMBERS_LEAST, MEMBERS_MOST),
            key: None,
        }
    }

    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// Names the first that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |name, holds: bool, wanted| {
            if holds {
                Ok(())
            } else {
                Err(SettingsError { name, wanted })
            }
        };
        check(
            "name",
            is_name(&self.name),
            "one to 64 letters, digits or signs without spaces",
        )?;
        check(
            "fleet",
            is_name(&self.fleet),
            "one to 64 letters, digits or signs without spaces",
        )?;
        check("configured", self.configured > 0, "a number above zero")?;
        check(
            "period",
            (10_000..=60_000_000).contains(&self.period),
            "a time from 10 ms to 60 s",
        )?;
        check(
            "helpers",
            (1..=8).contains(&self.helpers),
            "a number from 1 to 8",
        )?;
        check(
            "suspicion",
            (1.0..=100.0).contains(&self.suspicion),
            "a number from 1 to 100",
        )?;
        check(
            "suspicion_most",
            (1.0..=100.0).contains(&self.suspicion_most),
            "a number from 1 to 100",
        )?;
        check(
            "confirmations",
            (1..=8).contains(&self.confirmations),
            "a number from 1 to 8",
        )?;
        check(
            "retransmit",
            (1..=16).contains(&self.retransmit),
            "a number from 1 to 16",
        )?;
        check(
            "sync",
            (1..=1000).contains(&self.sync),
            "a number from 1 to 1000",
        )?;
        check(
            "most",
            (2..=MEMBERS_MOST).contains(&self.most),
            "a number from 2 to 2048",
        )?;
        check(
            "key",
            self.key.as_ref().is_none_or(|key| key.len() >= 16),
            "at least 16 bytes long",
        )?;
        check(
            "advertise",
            !self.advertise.ip().is_unspecified() && self.advertise.port() != 0,
            "an address that others can reach",
        )
    }
}

/// Whether a text may be the name of a member or fleet.
pub fn is_name(text: &str) -> bool {
    (1..=NAME_MOST).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}
