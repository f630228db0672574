//! The compact form of quota requests and responses: a version, then fields in postcard's varints, with the destinations of
//! each kind in order and as differences. A key takes some 4 bytes and its allocation some 5, where JSON takes 30 and 61. A
//! form of another version is rejected and not guessed at.

use super::allocation::{Allocation, QuotaDemand};
use super::key::{InvalidKey, LimitKey, Resource};
use super::key_selection::MAX_KEYS_PER_REQUEST;
use super::limit::FallbackQuotas;
use crate::health::{HealthReport, HealthVerdict};
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;
use versioned_config::Micros;

/// The media type of both, with the version in its name.
pub const MEDIA_TYPE: &str = "application/vnd.milletturn.quotas.v1";

/// The first byte of both.
const VERSION: u8 = 1;

/// Bytes that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum CompactError {
    /// They are of another version, or of something else.
    #[error("the first byte is {0:?}, not {VERSION}")]
    #[diagnostic(
        code(ledger::compact::version),
        help("ask in JSON, or upgrade the older side")
    )]
    UnknownVersion(Option<u8>),
    /// They end too soon, are too many, or hold a number that is out of range.
    #[error("malformed: {0}")]
    #[diagnostic(
        code(ledger::compact::malformed),
        help("the bytes were cut or changed on the way: ask again")
    )]
    Malformed(String),
    /// More is named than a question may name.
    #[error("more than {MAX_KEYS_PER_REQUEST} names")]
    #[diagnostic(code(ledger::compact::many), help("name fewer limits in one question"))]
    TooManyKeys,
    /// It names what can't be limited.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Key(#[from] InvalidKey),
}

/// A question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The sender's name.
    pub sender: String,
    /// Differs between any two processes of one name.
    pub incarnation: u64,
    /// Numbers the question within that life.
    pub sequence: u64,
    /// The sender's fallback shares.
    pub fallback_quotas: FallbackQuotas,
    /// The zone that it is in.
    pub zone: String,
    /// What it wants.
    pub demands: Vec<QuotaDemand>,
    /// What it says of destinations by its own calls.
    pub reports: Vec<HealthReport>,
}

/// An answer. Whole limits are not in its bytes: senders have no use for them, and operators ask the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaResponse {
    /// How long the quotas last, counted from when they were asked for, on the sender's clock.
    pub lease: Micros,
    /// The version of the limits.
    pub revision: u64,
    /// The quotas.
    pub allocations: Vec<Allocation>,
    /// What enough senders agree on of these destinations.
    pub verdicts: Vec<HealthVerdict>,
}

/// Rows of a kind, by destination: each with the difference to the one before it.
type Rows<T> = Vec<(u64, T)>;

#[derive(Serialize, Deserialize)]
struct Table<T> {
    rate: Rows<T>,
    out: Rows<T>,
    cold: Rows<T>,
    /// Keys that are no destination's number, by their text.
    named: Vec<(String, T)>,
}

#[derive(Serialize, Deserialize)]
struct QuestionForm {
    sender: String,
    life: u64,
    number: u64,
    floors: FallbackQuotas,
    zone: String,
    wants: Table<u64>,
    reports: Rows<bool>,
}

/// Out or back, epoch, observers.
type VerdictRow = (bool, u64, u64);

#[derive(Serialize, Deserialize)]
struct AnswerForm {
    lease: Micros,
    rev: u64,
    /// One more than a quota; 0 where there is no limit.
    quotas: Table<u64>,
    /// How long a call may last, ms, where that matters.
    lingers: Table<u64>,
    verdicts: Rows<VerdictRow>,
}

impl<T> Table<T> {
    fn of(rows: impl Iterator<Item = (LimitKey, T)>) -> Self {
        let (mut rate, mut out, mut cold, mut named) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (key, row) in rows {
            match key.resource() {
                Resource::Rate => rate.push((key.position(), row)),
                Resource::Concurrency => out.push((key.position(), row)),
                Resource::RecoveryRate => cold.push((key.position(), row)),
                Resource::Connections(_) | Resource::Tenant(_) => {
                    named.push((key.to_string(), row))
                }
            }
        }
        Table {
            rate: differences(rate),
            out: differences(out),
            cold: differences(cold),
            named,
        }
    }

    fn rows(self) -> Result<Vec<(LimitKey, T)>, CompactError> {
        let mut all = Vec::new();
        for (rows, what) in [
            (self.rate, Resource::Rate),
            (self.out, Resource::Concurrency),
            (self.cold, Resource::RecoveryRate),
        ] {
            all.extend(
                places(rows)?
                    .into_iter()
                    .map(|(place, row)| (LimitKey::of(place, what.clone()), row)),
            );
        }
        for (text, row) in self.named {
            all.push((text.parse()?, row));
        }
        if all.len() > MAX_KEYS_PER_REQUEST {
            Err(CompactError::TooManyKeys)
        } else {
            Ok(all)
        }
    }
}

/// Rows in the order of their places, each with the difference to the place before it.
fn differences<T>(mut rows: Rows<T>) -> Rows<T> {
    rows.sort_by_key(|(place, _)| *place);
    let mut before = 0;
    for (place, _) in &mut rows {
        (*place, before) = (*place - before, *place);
    }
    rows
}

/// The places of rows from their differences.
fn places<T>(mut rows: Rows<T>) -> Result<Rows<T>, CompactError> {
    let mut before = 0_u64;
    for (place, _) in &mut rows {
        *place = before
            .checked_add(*place)
            .ok_or_else(|| CompactError::Malformed("a destination is out of range".to_string()))?;
        before = *place;
    }
    Ok(rows)
}

fn written<T: Serialize>(form: &T) -> Vec<u8> {
    // nothing in the forms can fail to be written into memory
    postcard::to_extend(form, vec![VERSION]).unwrap_or_default()
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CompactError> {
    let Some((&VERSION, rest)) = bytes.split_first() else {
        return Err(CompactError::UnknownVersion(bytes.first().copied()));
    };
    let malformed = |error: postcard::Error| CompactError::Malformed(error.to_string());
    let (form, left) = postcard::take_from_bytes(rest).map_err(malformed)?;
    if left.is_empty() {
        Ok(form)
    } else {
        Err(CompactError::Malformed("bytes are left over".to_string()))
    }
}

impl QuotaRequest {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        written(&QuestionForm {
            sender: self.sender.clone(),
            life: self.incarnation,
            number: self.sequence,
            floors: self.fallback_quotas.clone(),
            zone: self.zone.clone(),
            wants: Table::of(
                self.demands
                    .iter()
                    .map(|QuotaDemand { key, amount: want }| (key.clone(), *want)),
            ),
            reports: differences(
                self.reports
                    .iter()
                    .map(|report| (report.destination, report.unavailable))
                    .collect(),
            ),
        })
    }

    /// Reads one.
    ///
    /// # Errors
    /// The bytes are none, or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, CompactError> {
        let form: QuestionForm = read(bytes)?;
        let wants = form
            .wants
            .rows()?
            .into_iter()
            .map(|(key, want)| QuotaDemand { key, amount: want })
            .collect();
        let reports = places(form.reports)?;
        if reports.len() > MAX_KEYS_PER_REQUEST {
            return Err(CompactError::TooManyKeys);
        }
        let reports = reports
            .into_iter()
            .map(|(destination, out)| HealthReport {
                destination,
                unavailable: out,
            })
            .collect();
        let QuestionForm {
            sender,
            life,
            number,
            floors,
            zone,
            ..
        } = form;
        Ok(QuotaRequest {
            sender,
            incarnation: life,
            sequence: number,
            fallback_quotas: floors,
            zone,
            demands: wants,
            reports,
        })
    }
}

impl QuotaResponse {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let quota = |quota: &Allocation| {
            (
                quota.key.clone(),
                quota.quota.map_or(0, |part| part.saturating_add(1)),
            )
        };
        let lingering = self
            .allocations
            .iter()
            .filter(|quota| quota.expiry_grace_ms > 0);
        let verdict = |verdict: &HealthVerdict| {
            (
                verdict.destination,
                (verdict.unavailable, verdict.epoch, verdict.observers as u64),
            )
        };
        written(&AnswerForm {
            lease: self.lease,
            rev: self.revision,
            quotas: Table::of(self.allocations.iter().map(quota)),
            lingers: Table::of(lingering.map(|quota| (quota.key.clone(), quota.expiry_grace_ms))),
            verdicts: differences(self.verdicts.iter().map(verdict).collect()),
        })
    }

    /// Reads one.
    ///
    /// # Errors
    /// The bytes are none, or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, CompactError> {
        let AnswerForm {
            lease,
            rev,
            quotas,
            lingers,
            verdicts,
        } = read(bytes)?;
        let lingers: BTreeMap<LimitKey, u64> = lingers.rows()?.into_iter().collect();
        let quota = |(key, row): (LimitKey, u64)| {
            let linger_ms = lingers.get(&key).copied().unwrap_or(0);
            Allocation {
                key,
                quota: row.checked_sub(1),
                total: None,
                expiry_grace_ms: linger_ms,
            }
        };
        let verdict = |(destination, (out, epoch, observers))| HealthVerdict {
            destination,
            unavailable: out,
            epoch,
            observers: usize::try_from(observers).unwrap_or(usize::MAX),
        };
        Ok(QuotaResponse {
            lease,
            revision: rev,
            allocations: quotas.rows()?.into_iter().map(quota).collect(),
            verdicts: places(verdicts)?.into_iter().map(verdict).collect(),
        })
    }
}
