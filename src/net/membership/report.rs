//! The report for operators, written with sorted keys.

use fleet_membership::{Counts, Listed};
use serde::Serialize;

/// The answer to `GET /members` on the control address.
#[derive(Debug, Serialize)]
pub(super) struct MembersReport<'a> {
    /// This sender's name.
    pub(super) name: &'a str,
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// Its local health by Lifeguard; 0 is healthy.
    pub(super) health: u32,
    /// It has reason to doubt its view.
    pub(super) doubt: bool,
    /// Members that live, suspects and this one counted.
    pub(super) living: u32,
    /// Those of them that are suspect.
    pub(super) suspects: u32,
    /// Members known to have died or left.
    pub(super) gone: u32,
    /// Members known to have the same view, this one counted.
    #[serde(rename = "holders")]
    pub(super) same_view: u32,
    /// Senders that are configured.
    pub(super) configured: u32,
    /// Senders that the decisions scale by.
    #[serde(rename = "scaled_by")]
    pub(super) fleet_size: u32,
    /// Datagrams since the start.
    pub(super) counts: &'a Counts,
    /// All other members.
    pub(super) members: Vec<Listed>,
}
