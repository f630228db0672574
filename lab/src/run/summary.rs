//! What a run counts, as the line of JSON that it prints.

use crate::check::{agreement, limits, membership};
use crate::figures;
use crate::history::{Counts, Event, Head, Record};
use crate::scenario::Scenario;
use crate::usage;
use serde::Serialize;
use std::collections::HashSet;

/// All figures of a run.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Messages that clients submitted, each retry counted.
    #[serde(rename = "handed")]
    pub submitted: usize,
    /// Messages that senders accepted.
    #[serde(rename = "taken")]
    pub accepted: usize,
    /// Messages that were delivered.
    pub delivered: usize,
    /// Outcome notifications.
    #[serde(rename = "notices")]
    pub notifications: usize,
    /// Calls to endpoints.
    pub calls: usize,
    /// Calls that endpoints rejected.
    #[serde(rename = "refused_calls")]
    pub rejected_calls: usize,
    /// Datagrams that senders sent.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Those of them that were lost.
    pub datagrams_lost: u64,
    /// How late the lab was at most, ms.
    pub lab_late_ms: f64,
    /// Priority weight that was delivered.
    #[serde(rename = "worth")]
    pub delivered_weight: figures::DeliveredWeight,
    /// How even the endpoints' arrivals were.
    pub evenness: figures::Evenness,
    /// Of the senders' processes at the end.
    pub usage: usage::Usage,
    /// What the senders saw of one another's ends and of the ends of faults.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<membership::Seen>,
    /// How the senders agreed on rules.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<agreement::AgreementFigures>,
    /// How they held limits together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<limits::LimitFigures>,
}

impl Figures {
    /// The figures of a history and of what was counted beside it.
    pub fn of_run(
        scenario: &Scenario,
        head: &Head,
        records: &[Record],
        counts: Counts,
        usage: usage::Usage,
    ) -> Self {
        let has_membership = head.period_us.is_some();
        let members = if has_membership {
            membership::figures(head, records)
        } else {
            Vec::new()
        };
        let has_registry = scenario.registry.is_some();
        let has_ledger = scenario.ledger().is_some();
        Figures {
            members,
            agreement: has_registry.then(|| agreement::figures(records)),
            limits: has_ledger.then(|| limits::figures(records)),
            usage,
            delivered_weight: figures::delivered_weight(records),
            evenness: figures::evenness(records, scenario.endpoints()),
            datagrams: counts.datagrams,
            datagram_bytes: counts.datagram_bytes,
            datagrams_lost: counts.datagrams_lost,
            lab_late_ms: counts.max_lateness.as_secs_f64() * 1e3,
            ..Figures::count(records)
        }
    }

    fn count(records: &[Record]) -> Self {
        let mut figures = Figures::default();
        let mut delivered = HashSet::new();
        for record in records {
            match &record.event {
                Event::Submitted { .. } => figures.submitted += 1,
                Event::SubmissionAnswered {
                    status: 200 | 202, ..
                } => figures.accepted += 1,
                Event::CallReceived { .. } => figures.calls += 1,
                Event::CallAnswered { status: 503, .. } => figures.rejected_calls += 1,
                Event::CallAnswered {
                    id, status: 200, ..
                } if delivered.insert(id) => figures.delivered += 1,
                Event::OutcomeNotified { .. } => figures.notifications += 1,
                _ => {}
            }
        }
        figures
    }
}
