//! Every refusal has a code and says what an operator can do, and the on-call page lists the code.

use miette::Diagnostic;
use quota_ledger::compact::CompactError;
use quota_ledger::freeze::{FreezeError, Widening};
use quota_ledger::splits::SplitError;
use quota_ledger::{BadKey, BadLimit, BookError, Key, LimitError, What};
use std::collections::BTreeSet;

#[test]
fn every_refusal_has_a_code_a_help_line_and_a_place_on_the_page() {
    let key = || Key::of(7, What::Rate);
    let text = || "w".to_string();
    let limits = [
        LimitError::Floors {
            key: key(),
            senders: 3,
            floor: 5,
            total: 2,
        },
        LimitError::Unnamed(key()),
        BadLimit::Large(1).into(),
        BadLimit::Linger(key(), 0).into(),
        LimitError::Many,
        LimitError::Unknown(key()),
    ];
    let splits = [
        SplitError::Range(1),
        SplitError::Place { first: 1, at: 1 },
        SplitError::UnderWay(1),
        SplitError::None,
        SplitError::Flags(1),
        SplitError::Late,
        SplitError::Frozen(text()),
        SplitError::Undone,
        SplitError::Rehearsed,
    ];
    let freezes = [
        FreezeError::Held {
            window: text(),
            until_ms: 1,
            widening: Widening::Added,
            reason: text(),
            owner: text(),
        },
        FreezeError::Mixed(text()),
        FreezeError::Last {
            window: text(),
            destination: 7,
        },
        FreezeError::Window {
            window: text(),
            problem: text(),
        },
        FreezeError::Many,
        FreezeError::Version { now: 2, wanted: 1 },
        FreezeError::UnderWay(1),
        FreezeError::Glass("it is whole"),
        FreezeError::Whole,
    ];
    let books = [
        BookError::None,
        BookError::Begun,
        BookError::Ranges,
        BookError::Version { now: 2, wanted: 1 },
    ];
    let mut all: Vec<Box<dyn Diagnostic>> = vec![Box::new(BadKey(text()))];
    let forms = [
        CompactError::Version(None),
        CompactError::Malformed(text()),
        CompactError::Many,
    ];
    all.extend(
        forms
            .into_iter()
            .map(|error| Box::new(error) as Box<dyn Diagnostic>),
    );
    all.extend(
        limits
            .into_iter()
            .map(|error| Box::new(BookError::from(error)) as Box<dyn Diagnostic>),
    );
    all.extend(
        splits
            .into_iter()
            .map(|error| Box::new(BookError::from(error)) as Box<dyn Diagnostic>),
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
