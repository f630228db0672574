//! Limits as the log keeps them, and the floors that hold without it.

use crate::keys::Key;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Limits that a log may have.
pub(crate) const LIMITS_MOST: usize = 20_000;
/// Greatest limit: sums of all floors and parts stay far within the integers.
const TOTAL_MOST: u64 = 1 << 40;

/// What each configured sender may use of a limit without asking: the same on every sender and in the log. It can't be
/// changed there, for one that hears nothing would not know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floors {
    /// Senders that are configured: no more may run at once.
    pub senders: u32,
    /// By a key's text, or by its kind for all of that kind; nothing where neither is named.
    #[serde(default)]
    pub each: BTreeMap<String, u64>,
}

impl Floors {
    /// One sender's floor of a key.
    pub fn of(&self, key: &Key) -> u64 {
        let named = self
            .each
            .get(&key.to_string())
            .or_else(|| self.each.get(key.kind()));
        named.copied().unwrap_or(0).min(TOTAL_MOST)
    }

    /// Whether a key is limited at all: its text or its kind has a floor, which may be none. Of what is not named a sender
    /// that hears nothing could not know that it is limited.
    pub fn name(&self, key: &Key) -> bool {
        self.each.contains_key(&key.to_string()) || self.each.contains_key(key.kind())
    }

    /// All senders' floors of a key.
    pub fn sum(&self, key: &Key) -> u64 {
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
    pub linger_ms: u64,
}

/// A limit that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum BadLimit {
    /// It is larger than any that can be dealt out.
    #[error("a limit of {0} is larger than {TOTAL_MOST}")]
    #[diagnostic(
        code(ledger::limit::size),
        help("calls a second are counted in thousandths; leave a limit out where there is none")
    )]
    Large(u64),
    /// A number at once needs a longest call, and a rate has none.
    #[error("{0}: linger_ms is {1}")]
    #[diagnostic(
        code(ledger::limit::linger),
        help(
            "give linger_ms from 1 to 600000 for out/ and connections/, and none for rates: parts of calls that are still out are not dealt again"
        )
    )]
    Linger(Key, u64),
}

/// Why limits do not change.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LimitError {
    /// Floors alone are more.
    #[error(
        "{key}: {senders} senders have a floor of {floor} each, which is more than {total} together"
    )]
    #[diagnostic(
        code(ledger::limit::floors),
        help(
            "a sender that hears nothing goes on with its floor: set the limit to at least {senders} times {floor}, or begin a ledger with lower floors"
        )
    )]
    Floors {
        /// The key.
        key: Key,
        /// Senders.
        senders: u32,
        /// Each one's floor.
        floor: u64,
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
    Unnamed(Key),
    /// It makes no sense.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Senseless(#[from] BadLimit),
    /// There are too many.
    #[error("more than {LIMITS_MOST} limits")]
    #[diagnostic(
        code(ledger::limit::many),
        help("remove limits that are not needed (DELETE /v1/limits/KEY)")
    )]
    Many,
    /// There is none to remove.
    #[error("{0} has no limit")]
    #[diagnostic(code(ledger::limit::unknown), help("GET /v1/limits lists all"))]
    Unknown(Key),
}

impl Limit {
    /// Checks that it can stand for a key.
    ///
    /// # Errors
    /// Says why it can't.
    pub fn check(self, floors: &Floors, key: &Key) -> Result<(), LimitError> {
        if self.total > TOTAL_MOST {
            return Err(BadLimit::Large(self.total).into());
        }
        if key.is_rate() != (self.linger_ms == 0) || self.linger_ms > 600_000 {
            return Err(BadLimit::Linger(key.clone(), self.linger_ms).into());
        }
        if !floors.name(key) {
            return Err(LimitError::Unnamed(key.clone()));
        }
        if floors.sum(key) > self.total {
            let (senders, floor, total) = (floors.senders, floors.of(key), self.total);
            return Err(LimitError::Floors {
                key: key.clone(),
                senders,
                floor,
                total,
            });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::What;

    #[test]
    fn no_limit_is_below_its_floors_and_each_no_says_what_to_do() {
        let each = [("rate", 5), ("rate/7", 20), ("out", 0)]
            .map(|(name, floor)| (name.to_string(), floor))
            .into();
        let floors = Floors { senders: 10, each };
        let (other, seven) = (Key::of(3, What::Rate), Key::of(7, What::Rate));
        let out = Key::of(7, What::Out);
        assert_eq!(
            (floors.of(&other), floors.of(&seven), floors.of(&out)),
            (5, 20, 0)
        );
        let check = |key: &Key, total, linger_ms| Limit { total, linger_ms }.check(&floors, key);
        assert_eq!(check(&seven, 200, 0), Ok(()));
        assert_eq!(check(&out, 3, 500), Ok(()));
        let errors = [
            check(&seven, 199, 0),
            check(&other, 49, 0),
            check(&out, 3, 0),
            check(&seven, 300, 5),
            check(&seven, u64::MAX, 0),
            check(&Key::of(7, What::Cold), 300, 0),
        ];
        for error in errors {
            let error = error.expect_err("refused");
            assert!(error.help().is_some() && error.code().is_some(), "{error}");
        }
    }
}
