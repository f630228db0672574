//! What is stored or sent keeps its form: entries of the log, snapshots, quotas, keys, health reports, calendars.

#[path = "../../agreement/tests/common/golden.rs"]
mod golden;

use golden::{GoldenFile, bytes, hexadecimal};
use quota_ledger::freeze::{
    ActiveWindow, BreakGlassOverride, ChangeKind, FreezeCalendar, FreezeEntry, FreezeError,
    FreezeState, FreezeWindow, Recurrence, ResourceChange, Scope,
};
use quota_ledger::freeze::{FreezeCheck, FreezeUpdate, WindowNotice};
use quota_ledger::health::{HealthReport, HealthVerdict};
use quota_ledger::quotas::compact::{MEDIA_TYPE, QuotaRequest, QuotaResponse};
use quota_ledger::splits::{
    Difference, Disagreement, FinishedSplit, PlantedFault, Query, Split, SplitError,
};
use quota_ledger::{
    Allocation, FallbackQuotas, InvalidLimit, LeaseTerms, LedgerEntry, LedgerError, LedgerState,
    Limit, LimitError, LimitKey, QuotaDemand, Resource, Shard,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// One of each kind.
fn keys() -> [(&'static str, LimitKey); 5] {
    [
        ("rate", LimitKey::of(70_000, Resource::Rate)),
        ("out", LimitKey::of(7, Resource::Concurrency)),
        ("cold", LimitKey::of(8, Resource::RecoveryRate)),
        (
            "connections",
            LimitKey::of(9, Resource::Connections("10.1.0.1:80/a".to_string())),
        ),
        ("tenant", LimitKey::tenant("acme")),
    ]
}

fn rate(destination: u64) -> LimitKey {
    LimitKey::of(destination, Resource::Rate)
}

fn floors() -> FallbackQuotas {
    let each = [
        ("rate", 5),
        ("out", 0),
        ("cold", 1),
        ("connections", 2),
        ("tenant", 3),
        ("rate/7", 20),
    ];
    FallbackQuotas {
        senders: 300,
        per_sender: each.map(|(name, floor)| (name.to_string(), floor)).into(),
    }
}

const TERMS: LeaseTerms = LeaseTerms {
    lease: 1_500_000,
    max_drift: 31_000,
};

fn queries() -> [(&'static str, Query); 4] {
    [
        (
            "range",
            Query::Range {
                from: 5,
                to: Some(300),
            },
        ),
        ("range_open", Query::Range { from: 5, to: None }),
        ("one", Query::Key(rate(7))),
        ("sum", Query::Sum("tenant".to_string())),
    ]
}

const PLANTS: [(&str, PlantedFault); 5] = [
    ("lost", PlantedFault::Lost),
    ("doubled", PlantedFault::Doubled),
    ("wrong_side", PlantedFault::WrongSide),
    ("stale", PlantedFault::Stale),
    ("order", PlantedFault::Order),
];

const DIFFERENCES: [(&str, Difference); 4] = [
    ("missing", Difference::Missing),
    ("twice", Difference::Twice),
    ("value", Difference::Value),
    ("order", Difference::Order),
];

fn flag() -> Disagreement {
    Disagreement {
        query: Some(Query::Key(rate(7))),
        key: Some(rate(7)),
        difference: Difference::Value,
        parent: vec![300],
        children: vec![301, 302],
        log_revision: 70_000,
    }
}

fn split_errors() -> [(&'static str, SplitError); 9] {
    [
        ("range", SplitError::UnknownShard(300)),
        ("place", SplitError::OutsideShard { first: 300, at: 5 }),
        ("under_way", SplitError::SplitInProgress(300)),
        ("none", SplitError::NoSplit),
        ("flags", SplitError::Disagreements(300)),
        ("late", SplitError::TimedOut),
        ("frozen", SplitError::Frozen("tet".to_string())),
        ("undone", SplitError::RolledBackByOperator),
        ("rehearsed", SplitError::Rehearsed),
    ]
}

fn entries() -> Vec<(String, LedgerEntry)> {
    let limit = Some(Limit {
        total: 70_000,
        expiry_grace_ms: 0,
    });
    let mut entries = vec![
        (
            "begin",
            LedgerEntry::Create {
                fallback_quotas: floors(),
                terms: TERMS,
                split_at: vec![10, 70_000],
            },
        ),
        (
            "limit",
            LedgerEntry::SetLimit {
                key: rate(7),
                limit,
                if_match: Some(300),
            },
        ),
        (
            "limit.removed",
            LedgerEntry::SetLimit {
                key: LimitKey::tenant("acme"),
                limit: None,
                if_match: None,
            },
        ),
        (
            "keeper",
            LedgerEntry::AssignAllocator {
                shard: 70_000,
                epoch: 300,
                replica: 5,
            },
        ),
        (
            "split",
            LedgerEntry::BeginSplit {
                first: 10,
                at: 70_000,
                planted_fault: None,
            },
        ),
        ("step", LedgerEntry::AdvanceSplit(300)),
        (
            "read",
            LedgerEntry::RecordDualReads {
                queries: [300, 2].into(),
                disagreements: vec![flag()],
            },
        ),
        ("cut", LedgerEntry::CutOver),
    ]
    .into_iter()
    .map(|(name, entry)| (name.to_string(), entry))
    .collect::<Vec<_>>();
    let rehearsals = PLANTS.map(|(name, plant)| {
        (
            format!("split.{name}"),
            LedgerEntry::BeginSplit {
                first: 1,
                at: 2,
                planted_fault: Some(plant),
            },
        )
    });
    entries.extend(rehearsals);
    entries.extend(
        split_errors().map(|(name, error)| (format!("undo.{name}"), LedgerEntry::RollBack(error))),
    );
    entries
}

fn apply(book: &mut Option<LedgerState>, entry: LedgerEntry) {
    LedgerState::apply(book, entry).expect("applied");
}

fn set(book: &mut Option<LedgerState>, key: LimitKey, total: u64) {
    let linger_ms = if key.is_rate() { 0 } else { 500 };
    let limit = Some(Limit {
        total,
        expiry_grace_ms: linger_ms,
    });
    apply(
        book,
        LedgerEntry::SetLimit {
            key,
            limit,
            if_match: None,
        },
    );
}

/// A ledger of three ranges with limits of every kind; a split of it that copies, one that has found a planted
/// difference; one that was undone and one that was cut over.
fn books() -> Vec<(&'static str, LedgerState)> {
    let mut book = None;
    apply(
        &mut book,
        LedgerEntry::Create {
            fallback_quotas: floors(),
            terms: TERMS,
            split_at: vec![100, 70_000],
        },
    );
    let begun = book.clone();
    keys()
        .into_iter()
        .enumerate()
        .for_each(|(at, (_, key))| set(&mut book, key, 70_000 + at as u64));
    (0..6).for_each(|destination| set(&mut book, rate(destination), 9_000 + destination));
    for entry in book
        .as_ref()
        .expect("begun")
        .allocator_assignments(&[1, 300])
    {
        apply(&mut book, entry);
    }
    let limits = book.clone();
    apply(
        &mut book,
        LedgerEntry::BeginSplit {
            first: 0,
            at: 4,
            planted_fault: Some(PlantedFault::WrongSide),
        },
    );
    apply(&mut book, LedgerEntry::AdvanceSplit(3));
    let copying = book.clone();
    apply(&mut book, LedgerEntry::AdvanceSplit(20));
    set(&mut book, rate(2), 9_999);
    let found = queries()
        .into_iter()
        .filter_map(|(_, query)| book.as_ref()?.dual_read(&query).1)
        .collect();
    apply(
        &mut book,
        LedgerEntry::RecordDualReads {
            queries: [300, 2].into(),
            disagreements: found,
        },
    );
    apply(&mut book, LedgerEntry::AdvanceSplit(4));
    let compared = book.clone();
    apply(
        &mut book,
        LedgerEntry::RollBack(SplitError::Disagreements(3)),
    );
    let undone = book.clone();
    apply(
        &mut book,
        LedgerEntry::BeginSplit {
            first: 0,
            at: 4,
            planted_fault: None,
        },
    );
    (0..4).for_each(|_| apply(&mut book, LedgerEntry::AdvanceSplit(9)));
    apply(&mut book, LedgerEntry::CutOver);
    [
        ("begun", begun),
        ("limits", limits),
        ("copying", copying),
        ("compared", compared),
        ("undone", undone),
    ]
    .into_iter()
    .chain([("cut", book)])
    .map(|(name, book)| (name, book.expect("begun")))
    .collect()
}

/// A value in both forms.
fn both<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    postcard: &mut GoldenFile,
    json: &mut GoldenFile,
    name: &str,
    value: &T,
) {
    postcard.postcard(name, value);
    json.json(name, value);
}

#[test]
fn keys_and_limits_stay_byte_for_byte() {
    let (mut postcard, mut json) = (
        GoldenFile::open("keys.postcard.txt"),
        GoldenFile::open("keys.json.txt"),
    );
    for (name, key) in keys() {
        both(&mut postcard, &mut json, name, &key);
        postcard.postcard(&format!("{name}.what"), key.resource());
        let limit = BTreeMap::from([(
            key,
            Limit {
                total: 70_000,
                expiry_grace_ms: 300,
            },
        )]);
        both(&mut postcard, &mut json, &format!("{name}.limit"), &limit);
    }
    both(&mut postcard, &mut json, "floors", &floors());
    postcard.finish();
    json.finish();
    // what may be left out
    let limit = Limit {
        total: 5,
        expiry_grace_ms: 0,
    };
    assert_eq!(
        serde_json::from_str::<Limit>(r#"{"total":5}"#).expect("read"),
        limit
    );
    let none = FallbackQuotas {
        senders: 5,
        per_sender: BTreeMap::new(),
    };
    assert_eq!(
        serde_json::from_str::<FallbackQuotas>(r#"{"senders":5}"#).expect("read"),
        none
    );
    assert!(serde_json::from_str::<Limit>(r#"{"total":5,"linger":1}"#).is_err());
}

#[test]
fn the_place_of_a_tenant_among_the_ranges_stays() {
    let places = ["acme", "hue", "a/b"].map(|name| LimitKey::tenant(name).position());
    assert_eq!(places, [96_778_814, 3_591_724_014, 133_447_708]);
}

#[test]
fn entries_of_the_ledger_in_the_log_stay_byte_for_byte() {
    let mut file = GoldenFile::open("entries.postcard.txt");
    for (name, entry) in entries() {
        file.postcard(&name, &entry);
    }
    file.finish();
}

#[test]
fn snapshots_of_the_ledger_stay_byte_for_byte() {
    let mut file = GoldenFile::open("ledger_snapshots.postcard.txt");
    for (name, book) in books() {
        file.postcard(name, &book);
        for (first, shard) in book.shards() {
            file.postcard::<Shard>(&format!("{name}.shard_{first}"), shard);
        }
    }
    file.finish();
}

#[test]
fn splits_and_queries_stay_byte_for_byte() {
    let (mut postcard, mut json) = (
        GoldenFile::open("splits.postcard.txt"),
        GoldenFile::open("splits.json.txt"),
    );
    for (name, query) in queries() {
        both(&mut postcard, &mut json, &format!("query.{name}"), &query);
    }
    for (name, plant) in PLANTS {
        both(&mut postcard, &mut json, &format!("plant.{name}"), &plant);
    }
    for (name, difference) in DIFFERENCES {
        both(
            &mut postcard,
            &mut json,
            &format!("difference.{name}"),
            &difference,
        );
    }
    for (name, error) in split_errors() {
        postcard.postcard(&format!("error.{name}"), &error);
    }
    both(&mut postcard, &mut json, "flag", &flag());
    let bare = Disagreement {
        query: None,
        key: None,
        ..flag()
    };
    both(&mut postcard, &mut json, "flag.bare", &bare);
    for (name, book) in books() {
        if let Some(split) = book.split() {
            postcard.postcard::<Split>(&format!("split.{name}"), split);
        }
        for (at, ended) in book.finished_splits().iter().enumerate() {
            let name = format!("ended.{name}_{at}");
            postcard.postcard::<FinishedSplit>(&name, ended);
            // the registry answers with the error's text in its place
            let shown = FinishedSplit {
                rolled_back_because: None,
                ..ended.clone()
            };
            json.json(&name, &shown);
        }
        for (query, text) in queries().map(|(name, query)| (query, name)) {
            let (rows, flag) = book.dual_read(&query);
            json.json(&format!("rows.{name}_{text}"), &rows);
            json.json(&format!("rows.{name}_{text}.flag"), &flag);
        }
    }
    postcard.finish();
    json.finish();
}

fn question() -> QuotaRequest {
    let wants = keys().into_iter().map(|(_, key)| QuotaDemand {
        key,
        amount: 70_000,
    });
    QuotaRequest {
        sender: "n3".to_string(),
        incarnation: 70_000,
        sequence: 300,
        fallback_quotas: floors(),
        zone: "hue".to_string(),
        demands: wants.collect(),
        reports: vec![
            HealthReport {
                destination: 7,
                unavailable: true,
            },
            HealthReport {
                destination: 300,
                unavailable: false,
            },
        ],
    }
}

fn quotas() -> [(&'static str, Allocation); 4] {
    let [(_, rate), (_, out), (_, cold), (_, connections), _] = keys();
    let part = Some(300);
    [
        (
            "rate",
            Allocation {
                key: rate,
                quota: part,
                total: Some(70_000),
                expiry_grace_ms: 0,
            },
        ),
        (
            "out",
            Allocation {
                key: out,
                quota: Some(0),
                total: Some(70_000),
                expiry_grace_ms: 500,
            },
        ),
        (
            "cold",
            Allocation {
                key: cold,
                quota: None,
                total: None,
                expiry_grace_ms: 0,
            },
        ),
        (
            "connections",
            Allocation {
                key: connections,
                quota: part,
                total: None,
                expiry_grace_ms: 300,
            },
        ),
    ]
}

const VERDICTS: [HealthVerdict; 2] = [
    HealthVerdict {
        destination: 7,
        unavailable: true,
        epoch: 1 << 33,
        observers: 300,
    },
    HealthVerdict {
        destination: 300,
        unavailable: false,
        epoch: 3,
        observers: 2,
    },
];

#[test]
fn quotas_and_health_in_json_and_postcard_stay_byte_for_byte() {
    let (mut postcard, mut json) = (
        GoldenFile::open("quotas.postcard.txt"),
        GoldenFile::open("quotas.json.txt"),
    );
    for want in question().demands {
        both(
            &mut postcard,
            &mut json,
            &format!("want.{}", want.key.kind()),
            &want,
        );
    }
    for (name, quota) in quotas() {
        both(&mut postcard, &mut json, &format!("quota.{name}"), &quota);
    }
    for report in question().reports {
        both(
            &mut postcard,
            &mut json,
            &format!("report.{}", report.destination),
            &report,
        );
    }
    for verdict in VERDICTS {
        both(
            &mut postcard,
            &mut json,
            &format!("verdict.{}", verdict.destination),
            &verdict,
        );
    }
    postcard.finish();
    json.finish();
    let without =
        serde_json::from_str::<Allocation>(r#"{"key":"rate/7","part":null,"total":null}"#);
    assert_eq!(without.expect("read").expiry_grace_ms, 0);
}

#[test]
fn questions_and_answers_in_the_compact_form_stay_byte_for_byte() {
    assert_eq!(MEDIA_TYPE, "application/vnd.milletturn.quotas.v1");
    let mut file = GoldenFile::open("compact.txt");
    let no_names = QuotaRequest {
        demands: vec![],
        reports: vec![],
        ..question()
    };
    for (name, question) in [("question", question()), ("question.empty", no_names)] {
        let read = |line: &str| QuotaRequest::decode(&bytes(line)).expect("read");
        file.record(
            name,
            &question,
            |question| hexadecimal(&question.encode()),
            read,
        );
    }
    // the whole limit is not in its bytes
    let quotas = quotas()
        .map(|(_, quota)| Allocation {
            total: None,
            ..quota
        })
        .to_vec();
    let answer = QuotaResponse {
        lease: 1_500_000,
        revision: 300,
        allocations: quotas,
        verdicts: VERDICTS.to_vec(),
    };
    let nothing = QuotaResponse {
        allocations: vec![],
        verdicts: vec![],
        ..answer.clone()
    };
    for (name, answer) in [("answer", answer), ("answer.empty", nothing)] {
        let read = |line: &str| QuotaResponse::decode(&bytes(line)).expect("read");
        file.record(name, &answer, |answer| hexadecimal(&answer.encode()), read);
    }
    file.finish();
}

const WIDENINGS: [(&str, ChangeKind); 7] = [
    ("added", ChangeKind::Added),
    ("moved", ChangeKind::Moved),
    ("back", ChangeKind::Restored),
    ("raised", ChangeKind::Raised),
    ("rules", ChangeKind::Rules),
    ("split", ChangeKind::Split),
    ("replica", ChangeKind::Replica),
];

fn scope() -> Scope {
    Scope {
        zones: ["hue".to_string(), "vinh".to_string()].into(),
        destinations: [7, 70_000].into(),
        tenants: ["acme".to_string()].into(),
    }
}

fn window(every: Option<Recurrence>) -> FreezeWindow {
    FreezeWindow {
        zone: "Asia/Ho_Chi_Minh".to_string(),
        begin: "2027-02-04T00:00".to_string(),
        end: "2027-02-05T12:00".to_string(),
        recurrence: every,
        scope: scope(),
        held_changes: WIDENINGS.map(|(_, widening)| widening).into(),
        reason: "Tet".to_string(),
        owner: "lan".to_string(),
    }
}

fn calendar() -> FreezeCalendar {
    let windows = [
        ("once", window(None)),
        ("week", window(Some(Recurrence::Week))),
        ("year", window(Some(Recurrence::Year))),
    ];
    FreezeCalendar {
        windows: windows
            .map(|(name, window)| (name.to_string(), window))
            .into(),
    }
}

fn on() -> ActiveWindow {
    ActiveWindow {
        until_ms: 1_801_000_000_000,
        scope: scope(),
        held_changes: [ChangeKind::Added, ChangeKind::Replica].into(),
        reason: "Tet".to_string(),
        owner: "lan".to_string(),
    }
}

fn glass() -> BreakGlassOverride {
    BreakGlassOverride {
        approvers: vec!["lan".to_string(), "minh".to_string()],
        reason: "pump fails".to_string(),
        scope: scope(),
        until_ms: 1_800_000_600_000,
    }
}

fn freeze_entries() -> [(&'static str, FreezeEntry); 8] {
    let put = FreezeEntry::PutCalendar {
        calendar: calendar(),
        if_match: Some(0),
    };
    [
        ("put", put),
        (
            "put.any",
            FreezeEntry::PutCalendar {
                calendar: FreezeCalendar::default(),
                if_match: None,
            },
        ),
        ("settle", FreezeEntry::SettleCalendar(300)),
        ("begin", FreezeEntry::BeginWindow("once".to_string(), on())),
        ("end", FreezeEntry::EndWindow("week".to_string())),
        (
            "break",
            FreezeEntry::BreakGlass {
                break_glass_override: glass(),
                now_ms: 1_800_000_000_000,
            },
        ),
        ("mend", FreezeEntry::EndOverride),
        ("clock", FreezeEntry::AdvanceClock(1_800_000_000_000)),
    ]
}

#[test]
fn entries_and_snapshots_of_the_freeze_stay_byte_for_byte() {
    let (mut postcard, mut json) = (
        GoldenFile::open("freeze.postcard.txt"),
        GoldenFile::open("freeze.json.txt"),
    );
    for (name, widening) in WIDENINGS {
        both(
            &mut postcard,
            &mut json,
            &format!("widening.{name}"),
            &widening,
        );
    }
    both(&mut postcard, &mut json, "scope", &scope());
    both(&mut postcard, &mut json, "calendar", &calendar());
    both(&mut postcard, &mut json, "on", &on());
    both(&mut postcard, &mut json, "glass", &glass());
    let mut freeze = FreezeState::default();
    postcard.postcard("freeze.empty", &freeze);
    for (name, entry) in freeze_entries() {
        postcard.postcard(&format!("entry.{name}"), &entry);
        let applied = freeze.apply(entry);
        assert_eq!(
            applied,
            if name == "put.any" {
                Err(FreezeError::ChangeInProgress(1))
            } else {
                Ok(())
            },
            "{name}"
        );
        postcard.postcard(&format!("freeze.after_{name}"), &freeze);
    }
    freeze
        .apply(FreezeEntry::SettleCalendar(1))
        .expect("settled");
    postcard.postcard("freeze.settled", &freeze);
    postcard.finish();
    json.finish();
}

#[test]
fn a_calendar_is_read_without_what_may_be_left_out_and_not_with_what_is_unknown() {
    let bare = r#"{"windows":{"w":{"zone":"UTC","begin":"b","end":"e","reason":"r","owner":"o"}}}"#;
    let read = serde_json::from_str::<FreezeCalendar>(bare).expect("read");
    let window = &read.windows["w"];
    assert_eq!(
        (window.recurrence, &window.scope, window.held_changes.len()),
        (None, &Scope::default(), 0)
    );
    assert_eq!(
        serde_json::from_str::<FreezeCalendar>("{}").expect("read"),
        FreezeCalendar::default()
    );
    let scoped = serde_json::from_str::<Scope>(r#"{"destinations":[7]}"#).expect("read");
    assert_eq!(
        scoped,
        Scope {
            destinations: [7].into(),
            ..Scope::default()
        }
    );
    let glass =
        serde_json::from_str::<BreakGlassOverride>(r#"{"by":["a","b"],"reason":"r","until_ms":5}"#)
            .expect("read");
    assert!(glass.scope.is_all());
    assert!(serde_json::from_str::<FreezeCalendar>(&bare.replace("owner", "keeper")).is_err());
    assert!(
        serde_json::from_str::<FreezeCalendar>(&bare.replace("\"zone\"", "\"x\":1,\"zone\""))
            .is_err()
    );
    assert!(serde_json::from_str::<Scope>(r#"{"destination":[7]}"#).is_err());
}

/// What the registry tells senders is written there: here it is read.
#[test]
fn what_the_registry_tells_of_the_freeze_is_read_by_its_keys() {
    let on = r#"{"until_ms":9,"scope":{"zones":["a"],"destinations":[],"tenants":[]},"holds":["added"],
        "reason":"r","owner":"o"}"#;
    let text = format!(
        r#"{{"rev":3,"on":[{{"window":"w","ends_in_ms":50,"on":{on}}}],
        "soon":[{{"window":"v","begins_in_ms":7,"ends_in_ms":60,"on":{on}}}],
        "glass":{{"by":["a","b"],"reason":"g","until_ms":5}},"glass_ends_in_ms":70,"more":1}}"#
    );
    let on = ActiveWindow {
        until_ms: 9,
        scope: Scope {
            zones: ["a".to_string()].into(),
            ..Scope::default()
        },
        held_changes: [ChangeKind::Added].into(),
        reason: "r".to_string(),
        owner: "o".to_string(),
    };
    let told = |window: &str, begins_in_ms, ends_in_ms| WindowNotice {
        window: window.to_string(),
        begins_in_ms,
        ends_in_ms,
        details: on.clone(),
    };
    let glass = BreakGlassOverride {
        approvers: vec!["a".to_string(), "b".to_string()],
        reason: "g".to_string(),
        scope: Scope::default(),
        until_ms: 5,
    };
    let news = FreezeUpdate {
        revision: 3,
        active: vec![told("w", 0, 50)],
        upcoming: vec![told("v", 7, 60)],
        break_glass_override: Some(glass),
        override_ends_in_ms: 70,
    };
    assert_eq!(
        serde_json::from_str::<FreezeUpdate>(&text).expect("read"),
        news
    );
    let bare = FreezeUpdate {
        revision: 3,
        active: vec![],
        upcoming: vec![],
        break_glass_override: None,
        override_ends_in_ms: 0,
    };
    assert_eq!(
        serde_json::from_str::<FreezeUpdate>(r#"{"rev":3,"on":[],"soon":[]}"#).expect("read"),
        bare
    );
    let held = FreezeCheck::new(0, 10)
        .check_changes(5, &ResourceChange::of_all(ChangeKind::Added))
        .expect_err("held")
        .to_string();
    assert_eq!(
        held,
        "window (not known yet) holds it until 0 (Unix ms): an endpoint is added; the calendar is not known (this sender)"
    );
}

/// The registry answers with these texts, and the control address of a sender shows some.
#[test]
fn the_texts_of_errors_stay() {
    let key = || rate(7);
    let text = || "w".to_string();
    let mut texts: Vec<String> = split_errors()
        .iter()
        .map(|(_, error)| error.to_string())
        .collect();
    let books = [
        LedgerError::NotCreated,
        LedgerError::AlreadyCreated,
        LedgerError::InvalidShards,
        LedgerError::VersionMismatch { now: 2, wanted: 1 },
        LimitError::BelowFallbackQuotas {
            key: key(),
            senders: 3,
            fallback: 5,
            total: 2,
        }
        .into(),
        LimitError::NoFallbackQuota(key()).into(),
        LimitError::from(InvalidLimit::TooLarge(1)).into(),
        LimitError::from(InvalidLimit::ExpiryGrace(key(), 5)).into(),
        LimitError::TooMany.into(),
        LimitError::Unknown(key()).into(),
        SplitError::NoSplit.into(),
    ];
    texts.extend(books.iter().map(ToString::to_string));
    texts.extend(WIDENINGS.map(|(_, widening)| widening.to_string()));
    texts.extend(queries().map(|(_, query)| query.to_string()));
    texts.extend(keys().map(|(_, key)| key.to_string()));
    let held = FreezeError::Held {
        window: text(),
        until_ms: 1,
        kind: ChangeKind::Added,
        reason: text(),
        owner: text(),
    };
    let freezes = [
        held,
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
        FreezeError::NoOverride,
    ];
    texts.extend(freezes.iter().map(ToString::to_string));
    texts.push(
        "rate/x"
            .parse::<LimitKey>()
            .expect_err("no key")
            .to_string(),
    );
    let mut file = GoldenFile::open("texts.txt");
    for (at, text) in texts.iter().enumerate() {
        file.record(&at.to_string(), text, String::clone, str::to_string);
    }
    file.finish();
}

/// A field of another width would read or write some of these in another form, or not at all.
#[test]
fn the_largest_numbers_stay_byte_for_byte() {
    let most = u64::MAX;
    let mut file = GoldenFile::open("largest.txt");
    let floors = FallbackQuotas {
        senders: u32::MAX,
        per_sender: [("rate".to_string(), most)].into(),
    };
    let terms = LeaseTerms {
        lease: most,
        max_drift: most,
    };
    let begin = LedgerEntry::Create {
        fallback_quotas: floors.clone(),
        terms,
        split_at: vec![1, most],
    };
    let limit = Limit {
        total: most,
        expiry_grace_ms: most,
    };
    let flag = Disagreement {
        parent: vec![most],
        children: vec![most],
        log_revision: most,
        ..flag()
    };
    let query = Query::Range {
        from: most,
        to: Some(most),
    };
    file.postcard("begin", &begin);
    let entry = LedgerEntry::SetLimit {
        key: rate(most),
        limit: Some(limit),
        if_match: Some(most),
    };
    file.postcard("limit", &entry);
    file.postcard(
        "keeper",
        &LedgerEntry::AssignAllocator {
            shard: most,
            epoch: most,
            replica: most,
        },
    );
    file.postcard(
        "split",
        &LedgerEntry::BeginSplit {
            first: most,
            at: most,
            planted_fault: None,
        },
    );
    file.postcard("step", &LedgerEntry::AdvanceSplit(most));
    file.postcard(
        "read",
        &LedgerEntry::RecordDualReads {
            queries: [most, most].into(),
            disagreements: vec![flag.clone()],
        },
    );
    file.postcard(
        "undo.range",
        &LedgerEntry::RollBack(SplitError::UnknownShard(most)),
    );
    file.postcard(
        "undo.place",
        &LedgerEntry::RollBack(SplitError::OutsideShard {
            first: most,
            at: most,
        }),
    );
    file.postcard(
        "undo.under_way",
        &LedgerEntry::RollBack(SplitError::SplitInProgress(most)),
    );
    file.postcard(
        "undo.flags",
        &LedgerEntry::RollBack(SplitError::Disagreements(most)),
    );
    file.postcard(
        "flag",
        &Disagreement {
            query: Some(query),
            ..flag.clone()
        },
    );
    let queries = [most, most].into();
    let ended = FinishedSplit {
        first: most,
        at: most,
        rolled_back_because: None,
        queries,
        disagreements: vec![flag],
        disagreement_count: most,
    };
    file.postcard("ended", &ended);
    file.postcard(
        "want",
        &QuotaDemand {
            key: rate(most),
            amount: most,
        },
    );
    let quota = Allocation {
        key: rate(most),
        quota: Some(most - 1),
        total: Some(most),
        expiry_grace_ms: most,
    };
    file.postcard("quota", &quota);
    file.postcard(
        "report",
        &HealthReport {
            destination: most,
            unavailable: true,
        },
    );
    let verdict = HealthVerdict {
        destination: most,
        unavailable: true,
        epoch: most,
        observers: usize::MAX,
    };
    file.postcard("verdict", &verdict);
    let question = QuotaRequest {
        sender: String::new(),
        incarnation: most,
        sequence: most,
        fallback_quotas: floors,
        zone: String::new(),
        demands: vec![QuotaDemand {
            key: rate(most),
            amount: most,
        }],
        reports: vec![HealthReport {
            destination: most,
            unavailable: false,
        }],
    };
    let read = |line: &str| QuotaRequest::decode(&bytes(line)).expect("read");
    file.record(
        "question",
        &question,
        |question| hexadecimal(&question.encode()),
        read,
    );
    let quotas = vec![Allocation {
        total: None,
        ..quota
    }];
    let answer = QuotaResponse {
        lease: most,
        revision: most,
        allocations: quotas,
        verdicts: vec![verdict],
    };
    let read = |line: &str| QuotaResponse::decode(&bytes(line)).expect("read");
    file.record(
        "answer",
        &answer,
        |answer| hexadecimal(&answer.encode()),
        read,
    );
    file.postcard("settle", &FreezeEntry::SettleCalendar(most));
    file.postcard("clock", &FreezeEntry::AdvanceClock(most));
    let put = FreezeEntry::PutCalendar {
        calendar: FreezeCalendar::default(),
        if_match: Some(most),
    };
    file.postcard("put", &put);
    file.postcard(
        "begin_window",
        &FreezeEntry::BeginWindow(
            "w".to_string(),
            ActiveWindow {
                until_ms: most,
                ..on()
            },
        ),
    );
    let glass = BreakGlassOverride {
        until_ms: most,
        ..glass()
    };
    file.postcard(
        "break",
        &FreezeEntry::BreakGlass {
            break_glass_override: glass,
            now_ms: most,
        },
    );
    let scope = Scope {
        destinations: [most].into(),
        ..scope()
    };
    file.postcard("scope", &scope);
    file.finish();
}
