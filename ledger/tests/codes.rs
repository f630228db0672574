//! Every refusal has a code and says what an operator can do, and the on-call page lists the code.

use miette::Diagnostic;
use quota_ledger::freeze::{ChangeKind, FreezeError};
use quota_ledger::quotas::compact::CompactError;
use quota_ledger::splits::SplitError;
use quota_ledger::{InvalidKey, InvalidLimit, LedgerError, LimitError, LimitKey, Resource};
use std::collections::BTreeSet;

#[test]
fn every_refusal_has_a_code_a_help_line_and_a_place_on_the_page() {
    let key = || LimitKey::of(7, Resource::Rate);
    let text = || "w".to_string();
    let limits = [
        LimitError::BelowFallbackQuotas {
            key: key(),
            senders: 3,
            fallback: 5,
            total: 2,
        },
        LimitError::NoFallbackQuota(key()),
        InvalidLimit::TooLarge(1).into(),
        InvalidLimit::ExpiryGrace(key(), 0).into(),
        LimitError::TooMany,
        LimitError::Unknown(key()),
    ];
    let splits = [
        SplitError::UnknownShard(1),
        SplitError::OutsideShard { first: 1, at: 1 },
        SplitError::SplitInProgress(1),
        SplitError::NoSplit,
        SplitError::Disagreements(1),
        SplitError::TimedOut,
        SplitError::Frozen(text()),
        SplitError::RolledBackByOperator,
        SplitError::Rehearsed,
    ];
    let freezes = [
        FreezeError::Held {
            window: text(),
            until_ms: 1,
            kind: ChangeKind::Added,
            reason: text(),
            owner: text(),
        },
        FreezeError::MixedBatch(text()),
        FreezeError::LastEndpoint {
            window: text(),
            destination: 7,
        },
        FreezeError::InvalidWindow {
            window: text(),
            problem: text(),
        },
        FreezeError::TooManyWindows,
        FreezeError::VersionMismatch { now: 2, wanted: 1 },
        FreezeError::ChangeInProgress(1),
        FreezeError::InvalidOverride("it is whole"),
        FreezeError::NoOverride,
    ];
    let books = [
        LedgerError::NotCreated,
        LedgerError::AlreadyCreated,
        LedgerError::InvalidShards,
        LedgerError::VersionMismatch { now: 2, wanted: 1 },
    ];
    let mut all: Vec<Box<dyn Diagnostic>> = vec![Box::new(InvalidKey(text()))];
    let forms = [
        CompactError::UnknownVersion(None),
        CompactError::Malformed(text()),
        CompactError::TooManyKeys,
    ];
    all.extend(
        forms
            .into_iter()
            .map(|error| Box::new(error) as Box<dyn Diagnostic>),
    );
    all.extend(
        limits
            .into_iter()
            .map(|error| Box::new(LedgerError::from(error)) as Box<dyn Diagnostic>),
    );
    all.extend(
        splits
            .into_iter()
            .map(|error| Box::new(LedgerError::from(error)) as Box<dyn Diagnostic>),
    );
    all.extend(
        freezes
            .into_iter()
            .map(|error| Box::new(error) as Box<dyn Diagnostic>),
    );
    all.extend(
        books
            .into_iter()
            .map(|error| Box::new(error) as Box<dyn Diagnostic>),
    );
    let page = include_str!("../../docs/operations.md");
    let mut codes = BTreeSet::new();
    for error in &all {
        let code = error
            .code()
            .unwrap_or_else(|| panic!("{error}: no code"))
            .to_string();
        let help = error
            .help()
            .unwrap_or_else(|| panic!("{code}: no help"))
            .to_string();
        assert!(help.len() > 15, "{code}: {help}");
        assert!(
            page.contains(&format!("`{code}`")),
            "{code} is not on the page"
        );
        assert!(codes.insert(code.clone()), "{code} stands twice");
    }
    // nothing on the page that is no code
    let listed = page
        .split('`')
        .filter(|word| word.starts_with("ledger::") || word.starts_with("freeze::"));
    assert_eq!(listed.map(str::to_string).collect::<BTreeSet<_>>(), codes);
}
