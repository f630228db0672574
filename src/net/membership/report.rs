//! The report for operators, written with sorted keys.

use fleet_membership::{DatagramCounters, MemberReport};
use serde::Serialize;

/// The answer to `GET /members` on the control address.
#[derive(Debug, Serialize)]
pub(super) struct MembersReport<'a> {
    /// This sender's name.
    pub(super) name: &'a str,
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// Its local health by Lifeguard; 0 is healthy.
    #[serde(rename = "health")]
    pub(super) health_score: u32,
    /// It has reason to doubt its view.
    #[serde(rename = "doubt")]
    pub(super) isolated: bool,
    /// Members that live, suspects and this one counted.
    #[serde(rename = "living")]
    pub(super) present: u32,
    /// Those of them that are suspect.
    pub(super) suspects: u32,
    /// Members known to have died or left.
    #[serde(rename = "gone")]
    pub(super) departed: u32,
    /// Members known to have the same view, this one counted.
    #[serde(rename = "holders")]
    pub(super) agreeing: u32,
    /// Senders that are configured.
    #[serde(rename = "configured")]
    pub(super) expected_members: u32,
    /// Senders that the decisions scale by.
    #[serde(rename = "scaled_by")]
    pub(super) fleet_size: u32,
    /// Datagrams since the start.
    #[serde(rename = "counts")]
    pub(super) counters: &'a DatagramCounters,
    /// All other members.
    pub(super) members: Vec<MemberReport>,
}
