//! Limits as the replicated log keeps them, and the fallback quotas that hold without it.

use super::key::LimitKey;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Limits that a log may have.
pub(crate) const MAX_LIMITS: usize = 20_000;

/// Greatest limit: sums of all floors and parts stay far within the integers.
const MAX_TOTAL: u64 = 1 << 40;

/// What each configured sender may use of a limit without asking: the same on every sender and in the log. It can't be
/// changed there, for one that hears nothing would not know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FallbackQuotas {
    /// Senders that are configured: no more may run at once.
    pub senders: u32,
    /// By a key's text, or by its kind for all of that kind; nothing where neither is named.
    #[serde(default)]
    #[serde(rename = "each")]
    pub per_sender: BTreeMap<String, u64>,
}

impl FallbackQuotas {
    /// One sender's floor of a key.
    pub fn of(&self, key: &LimitKey) -> u64 {
        let named = self
            .per_sender
            .get(&key.to_string())
            .or_else(|| self.per_sender.get(key.kind()));
        named.copied().unwrap_or(0).min(MAX_TOTAL)
    }

    /// Whether a key is limited at all: its text or its kind has a floor, which may be none. Of what is not named a sender
    /// that hears nothing could not know that it is limited.
    pub fn is_limited(&self, key: &LimitKey) -> bool {
        self.per_sender.contains_key(&key.to_string()) || self.per_sender.contains_key(key.kind())
    }

    /// All senders' floors of a key.
    pub fn total_of(&self, key: &LimitKey) -> u64 {
        self.of(key).saturating_mul(u64::from(self.senders))
    }
}

/// What all senders together may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// In the units of its key.
    pub total: u64,
    /// Where a number at once is limited: how long a call may last, ms. A sender gives one up after that, and a part that
    /// has lapsed is dealt again only then.
    #[serde(default)]
    #[serde(rename = "linger_ms")]
    pub expiry_grace_ms: u64,
}

/// A limit that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum InvalidLimit {
    /// It is larger than any that can be dealt out.
    #[error("a limit of {0} is larger than {MAX_TOTAL}")]
    #[diagnostic(
        code(ledger::limit::size),
        help("calls a second are counted in thousandths; leave a limit out where there is none")
    )]
    TooLarge(u64),
    /// A number at once needs a longest call, and a rate has none.
    #[error("{0}: linger_ms is {1}")]
    #[diagnostic(
        code(ledger::limit::linger),
        help(
            "give linger_ms from 1 to 600000 for out/ and connections/, and none for rates: parts of calls that are still out are not dealt again"
        )
    )]
    ExpiryGrace(LimitKey, u64),
}

/// Why limits do not change.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LimitError {
    /// Floors alone are more.
    #[error(
        "{key}: {senders} senders have a floor of {fallback} each, which is more than {total} together"
    )]
    #[diagnostic(
        code(ledger::limit::floors),
        help(
            "a sender that hears nothing goes on with its floor: set the limit to at least {senders} times {fallback}, or begin a ledger with lower floors"
        )
    )]
    BelowFallbackQuotas {
        /// The key.
        key: LimitKey,
        /// Senders.
        senders: u32,
        /// Each one's floor.
        fallback: u64,
        /// The limit that was wanted.
        total: u64,
    },
    /// Senders do not know that it is limited.
    #[error("{0} has no floor")]
    #[diagnostic(
        code(ledger::limit::unnamed),
        help(
            "name it or its kind in the floors, 0 included: a sender that hears nothing goes without limit otherwise"
        )
    )]
    NoFallbackQuota(LimitKey),
    /// It makes no sense.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] InvalidLimit),
    /// There are too many.
    #[error("more than {MAX_LIMITS} limits")]
    #[diagnostic(
        code(ledger::limit::many),
        help("remove limits that are not needed (DELETE /v1/limits/KEY)")
    )]
    TooMany,
    /// There is none to remove.
    #[error("{0} has no limit")]
    #[diagnostic(code(ledger::limit::unknown), help("GET /v1/limits lists all"))]
    Unknown(LimitKey),
}

impl Limit {
    /// Checks that it can stand for a key.
    ///
    /// # Errors
    /// Says why it can't.
    pub fn check(self, floors: &FallbackQuotas, key: &LimitKey) -> Result<(), LimitError> {
        if self.total > MAX_TOTAL {
            return Err(InvalidLimit::TooLarge(self.total).into());
        }
        if key.is_rate() != (self.expiry_grace_ms == 0) || self.expiry_grace_ms > 600_000 {
            return Err(InvalidLimit::ExpiryGrace(key.clone(), self.expiry_grace_ms).into());
        }
        if !floors.is_limited(key) {
            return Err(LimitError::NoFallbackQuota(key.clone()));
        }
        if floors.total_of(key) > self.total {
            let (senders, floor, total) = (floors.senders, floors.of(key), self.total);
            return Err(LimitError::BelowFallbackQuotas {
                key: key.clone(),
                senders,
                fallback: floor,
                total,
            });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
