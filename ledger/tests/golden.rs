//! What is stored or sent keeps its form: entries of the log, snapshots, quotas, keys, health reports, calendars.

#[path = "../../agreement/tests/common/golden.rs"]
mod golden;

use golden::{GoldenFile, bytes, hexadecimal};
use quota_ledger::compact::{Answer, MEDIA_TYPE, Question};
use quota_ledger::freeze::{
    Calendar, Every, Freeze, FreezeEntry, FreezeError, Glass, Matter, On, Scope, Widening, Window,
};
use quota_ledger::gate::{Gate, News, Told};
use quota_ledger::splits::{Difference, Ended, Flag, Plant, Query, Split, SplitError};
use quota_ledger::verdicts::{Verdict, Word};
use quota_ledger::{
    BadLimit, Book, BookError, Dealt, Entry, Floors, Key, Limit, LimitError, Shard, Terms, Want,
    What,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// One of each kind.
fn keys() -> [(&'static str, Key); 5] {
    [
        ("rate", Key::of(70_000, What::Rate)),
        ("out", Key::of(7, What::Out)),
        ("cold", Key::of(8, What::Cold)),
        (
            "connections",
            Key::of(9, What::Connections("10.1.0.1:80/a".to_string())),
        ),
        ("tenant", Key::tenant("acme")),
    ]
}

fn rate(destination: u64) -> Key {
    Key::of(destination, What::Rate)
}

fn floors() -> Floors {
    let each = [
        ("rate", 5),
        ("out", 0),
        ("cold", 1),
        ("connections", 2),
        ("tenant", 3),
        ("rate/7", 20),
    ];
    Floors {
        senders: 300,
        each: each.map(|(name, floor)| (name.to_string(), floor)).into(),
    }
}

const TERMS: Terms = Terms {
    lease: 1_500_000,
    drift: 31_000,
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
        ("one", Query::One(rate(7))),
        ("sum", Query::Sum("tenant".to_string())),
    ]
}

const PLANTS: [(&str, Plant); 5] = [
    ("lost", Plant::Lost),
    ("doubled", Plant::Doubled),
    ("wrong_side", Plant::WrongSide),
    ("stale", Plant::Stale),
    ("order", Plant::Order),
];

const DIFFERENCES: [(&str, Difference); 4] = [
    ("missing", Difference::Missing),
    ("twice", Difference::Twice),
    ("value", Difference::Value),
    ("order", Difference::Order),
];

fn flag() -> Flag {
    Flag {
        query: Some(Query::One(rate(7))),
        key: Some(rate(7)),
        difference: Difference::Value,
        parent: vec![300],
        children: vec![301, 302],
        fence: 70_000,
    }
}

fn split_errors() -> [(&'static str, SplitError); 9] {
    [
        ("range", SplitError::Range(300)),
        ("place", SplitError::Place { first: 300, at: 5 }),
        ("under_way", SplitError::UnderWay(300)),
        ("none", SplitError::None),
        ("flags", SplitError::Flags(300)),
        ("late", SplitError::Late),
        ("frozen", SplitError::Frozen("tet".to_string())),
        ("undone", SplitError::Undone),
        ("rehearsed", SplitError::Rehearsed),
    ]
}

fn entries() -> Vec<(String, Entry)> {
    let limit = Some(Limit {
        total: 70_000,
        linger_ms: 0,
    });
    let mut entries = vec![
        (
            "begin",
            Entry::Begin {
                floors: floors(),
                terms: TERMS,
                split_at: vec![10, 70_000],
            },
        ),
        (
            "limit",
            Entry::Limit {
                key: rate(7),
                limit,
                if_match: Some(300),
            },
        ),
        (
            "limit.removed",
            Entry::Limit {
                key: Key::tenant("acme"),
                limit: None,
                if_match: None,
            },
        ),
        (
            "keeper",
            Entry::Keeper {
                shard: 70_000,
                epoch: 300,
                replica: 5,
            },
        ),
        (
            "split",
            Entry::Split {
                first: 10,
                at: 70_000,
                plant: None,
            },
        ),
        ("step", Entry::Step(300)),
        (
            "read",
            Entry::Read {
                queries: [300, 2],
                flags: vec![flag()],
            },
        ),
        ("cut", Entry::Cut),
    ]
    .into_iter()
    .map(|(name, entry)| (name.to_string(), entry))
    .collect::<Vec<_>>();
    let rehearsals = PLANTS.map(|(name, plant)| {
        (
            format!("split.{name}"),
            Entry::Split {
                first: 1,
                at: 2,
                plant: Some(plant),
            },
        )
    });
    entries.extend(rehearsals);
    entries
        .extend(split_errors().map(|(name, error)| (format!("undo.{name}"), Entry::Undo(error))));
    entries
}

fn apply(book: &mut Option<Book>, entry: Entry) {
    Book::apply(book, entry).expect("applied");
}

fn set(book: &mut Option<Book>, key: Key, total: u64) {
    let linger_ms = if key.is_rate() { 0 } else { 500 };
    let limit = Some(Limit { total, linger_ms });
    apply(
        book,
        Entry::Limit {
            key,
            limit,
            if_match: None,
        },
    );
}

/// A ledger of three ranges with limits of every kind; a split of it that copies, one that has found a planted
/// difference; one that was undone and one that was cut over.
fn books() -> Vec<(&'static str, Book)> {
    let mut book = None;
    apply(
        &mut book,
        Entry::Begin {
            floors: floors(),
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
    for entry in book.as_ref().expect("begun").due(&[1, 300]) {
        apply(&mut book, entry);
    }
    let limits = book.clone();
    apply(
        &mut book,
        Entry::Split {
            first: 0,
            at: 4,
            plant: Some(Plant::WrongSide),
        },
    );
    apply(&mut book, Entry::Step(3));
    let copying = book.clone();
    apply(&mut book, Entry::Step(20));
    set(&mut book, rate(2), 9_999);
    let found = queries()
        .into_iter()
        .filter_map(|(_, query)| book.as_ref()?.read(&query).1)
        .collect();
    apply(
        &mut book,
        Entry::Read {
            queries: [300, 2],
            flags: found,
        },
    );
    apply(&mut book, Entry::Step(4));
    let compared = book.clone();
    apply(&mut book, Entry::Undo(SplitError::Flags(3)));
    let undone = book.clone();
    apply(
        &mut book,
        Entry::Split {
            first: 0,
            at: 4,
            plant: None,
        },
    );
    (0..4).for_each(|_| apply(&mut book, Entry::Step(9)));
    apply(&mut book, Entry::Cut);
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
        let own = [("what", key.what().clone())];
        both(&mut postcard, &mut json, name, &key);
        own.iter().for_each(|(part, what)| {
            both(&mut postcard, &mut json, &format!("{name}.{part}"), what)
        });
        let limit = BTreeMap::from([(
            key,
            Limit {
                total: 70_000,
                linger_ms: 300,
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
        linger_ms: 0,
    };
    assert_eq!(
        serde_json::from_str::<Limit>(r#"{"total":5}"#).expect("read"),
        limit
    );
    let none = Floors {
        senders: 5,
        each: BTreeMap::new(),
    };
    assert_eq!(
        serde_json::from_str::<Floors>(r#"{"senders":5}"#).expect("read"),
        none
    );
    assert!(serde_json::from_str::<Limit>(r#"{"total":5,"linger":1}"#).is_err());
}

#[test]
fn the_place_of_a_tenant_among_the_ranges_stays() {
    let places = ["acme", "hue", "a/b"].map(|name| Key::tenant(name).place());
    assert_eq!(places, [96_778_814, 3_591_724_014, 133_447_708]);
}

#[test]
fn entries_of_the_ledger_in_the_log_stay_byte_for_byte() {
    let (mut postcard, mut json) = (
        GoldenFile::open("entries.postcard.txt"),
        GoldenFile::open("entries.json.txt"),
    );
    for (name, entry) in entries() {
        both(&mut postcard, &mut json, &name, &entry);
    }
    postcard.finish();
    json.finish();
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
        both(&mut postcard, &mut json, &format!("error.{name}"), &error);
    }
    both(&mut postcard, &mut json, "flag", &flag());
    let bare = Flag {
        query: None,
        key: None,
        ..flag()
    };
    both(&mut postcard, &mut json, "flag.bare", &bare);
    for (name, book) in books() {
        if let Some(split) = book.split() {
            both::<Split>(&mut postcard, &mut json, &format!("split.{name}"), split);
        }
        for (at, ended) in book.ended().iter().enumerate() {
            both::<Ended>(
                &mut postcard,
                &mut json,
                &format!("ended.{name}_{at}"),
                ended,
            );
        }
        for (query, text) in queries().map(|(name, query)| (query, name)) {
            let (rows, flag) = book.read(&query);
            json.json(&format!("rows.{name}_{text}"), &rows);
            json.json(&format!("rows.{name}_{text}.flag"), &flag);
        }
    }
    postcard.finish();
    json.finish();
}

fn question() -> Question {
    let wants = keys()
        .into_iter()
        .map(|(_, key)| Want { key, want: 70_000 });
    Question {
        sender: "n3".to_string(),
        life: 70_000,
        number: 300,
        floors: floors(),
        zone: "hue".to_string(),
        wants: wants.collect(),
        reports: vec![
            Word {
                destination: 7,
                out: true,
            },
            Word {
                destination: 300,
                out: false,
            },
        ],
    }
}

fn quotas() -> [(&'static str, Dealt); 4] {
    let [(_, rate), (_, out), (_, cold), (_, connections), _] = keys();
    let part = Some(300);
    [
        (
            "rate",
            Dealt {
                key: rate,
                part,
                total: Some(70_000),
                linger_ms: 0,
            },
        ),
        (
            "out",
            Dealt {
                key: out,
                part: Some(0),
                total: Some(70_000),
                linger_ms: 500,
            },
        ),
        (
            "cold",
            Dealt {
                key: cold,
                part: None,
                total: None,
                linger_ms: 0,
            },
        ),
        (
            "connections",
            Dealt {
                key: connections,
                part,
                total: None,
                linger_ms: 300,
            },
        ),
    ]
}

const VERDICTS: [Verdict; 2] = [
    Verdict {
        destination: 7,
        out: true,
        epoch: 1 << 33,
        observers: 300,
    },
    Verdict {
        destination: 300,
        out: false,
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
    for want in question().wants {
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
    let without = serde_json::from_str::<Dealt>(r#"{"key":"rate/7","part":null,"total":null}"#);
    assert_eq!(without.expect("read").linger_ms, 0);
}

#[test]
fn questions_and_answers_in_the_compact_form_stay_byte_for_byte() {
    assert_eq!(MEDIA_TYPE, "application/vnd.milletturn.quotas.v1");
    let mut file = GoldenFile::open("compact.txt");
    let no_names = Question {
        wants: vec![],
        reports: vec![],
        ..question()
    };
    for (name, question) in [("question", question()), ("question.empty", no_names)] {
        let read = |line: &str| Question::read(&bytes(line)).expect("read");
        file.record(
            name,
            &question,
            |question| hexadecimal(&question.write()),
            read,
        );
    }
    // the whole limit is not in its bytes
    let quotas = quotas()
        .map(|(_, quota)| Dealt {
            total: None,
            ..quota
        })
        .to_vec();
    let answer = Answer {
        lease: 1_500_000,
        rev: 300,
        quotas,
        verdicts: VERDICTS.to_vec(),
    };
    let nothing = Answer {
        quotas: vec![],
        verdicts: vec![],
        ..answer.clone()
    };
    for (name, answer) in [("answer", answer), ("answer.empty", nothing)] {
        let read = |line: &str| Answer::read(&bytes(line)).expect("read");
        file.record(name, &answer, |answer| hexadecimal(&answer.write()), read);
    }
    file.finish();
}

const WIDENINGS: [(&str, Widening); 7] = [
    ("added", Widening::Added),
    ("moved", Widening::Moved),
    ("back", Widening::Back),
    ("raised", Widening::Raised),
    ("rules", Widening::Rules),
    ("split", Widening::Split),
    ("replica", Widening::Replica),
];

fn scope() -> Scope {
    Scope {
        zones: ["hue".to_string(), "vinh".to_string()].into(),
        destinations: [7, 70_000].into(),
        tenants: ["acme".to_string()].into(),
    }
}

fn window(every: Option<Every>) -> Window {
    Window {
        zone: "Asia/Ho_Chi_Minh".to_string(),
        begin: "2027-02-04T00:00".to_string(),
        end: "2027-02-05T12:00".to_string(),
        every,
        scope: scope(),
        holds: WIDENINGS.map(|(_, widening)| widening).into(),
        reason: "Tet".to_string(),
        owner: "lan".to_string(),
    }
}

fn calendar() -> Calendar {
    let windows = [
        ("once", window(None)),
        ("week", window(Some(Every::Week))),
        ("year", window(Some(Every::Year))),
    ];
    Calendar {
        windows: windows
            .map(|(name, window)| (name.to_string(), window))
            .into(),
    }
}

fn on() -> On {
    On {
        until_ms: 1_801_000_000_000,
        scope: scope(),
        holds: [Widening::Added, Widening::Replica].into(),
        reason: "Tet".to_string(),
        owner: "lan".to_string(),
    }
}

fn glass() -> Glass {
    Glass {
        by: vec!["lan".to_string(), "minh".to_string()],
        reason: "pump fails".to_string(),
        scope: scope(),
        until_ms: 1_800_000_600_000,
    }
}

fn freeze_entries() -> [(&'static str, FreezeEntry); 8] {
    let put = FreezeEntry::Put {
        calendar: calendar(),
        if_match: Some(0),
    };
    [
        ("put", put),
        (
            "put.any",
            FreezeEntry::Put {
                calendar: Calendar::default(),
                if_match: None,
            },
        ),
        ("settle", FreezeEntry::Settle(300)),
        ("begin", FreezeEntry::Begin("once".to_string(), on())),
        ("end", FreezeEntry::End("week".to_string())),
        (
            "break",
            FreezeEntry::Break {
                glass: glass(),
                now_ms: 1_800_000_000_000,
            },
        ),
        ("mend", FreezeEntry::Mend),
        ("clock", FreezeEntry::Clock(1_800_000_000_000)),
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
    let mut freeze = Freeze::default();
    both(&mut postcard, &mut json, "freeze.empty", &freeze);
    for (name, entry) in freeze_entries() {
        both(&mut postcard, &mut json, &format!("entry.{name}"), &entry);
        let applied = freeze.apply(entry);
        assert_eq!(
            applied,
            if name == "put.any" {
                Err(FreezeError::UnderWay(1))
            } else {
                Ok(())
            },
            "{name}"
        );
        both(
            &mut postcard,
            &mut json,
            &format!("freeze.after_{name}"),
            &freeze,
        );
    }
    freeze.apply(FreezeEntry::Settle(1)).expect("settled");
    both(&mut postcard, &mut json, "freeze.settled", &freeze);
    postcard.finish();
    json.finish();
}

#[test]
fn a_calendar_is_read_without_what_may_be_left_out_and_not_with_what_is_unknown() {
    let bare = r#"{"windows":{"w":{"zone":"UTC","begin":"b","end":"e","reason":"r","owner":"o"}}}"#;
    let read = serde_json::from_str::<Calendar>(bare).expect("read");
    let window = &read.windows["w"];
    assert_eq!(
        (window.every, &window.scope, window.holds.len()),
        (None, &Scope::default(), 0)
    );
    assert_eq!(
        serde_json::from_str::<Calendar>("{}").expect("read"),
        Calendar::default()
    );
    let scoped = serde_json::from_str::<Scope>(r#"{"destinations":[7]}"#).expect("read");
    assert_eq!(
        scoped,
        Scope {
            destinations: [7].into(),
            ..Scope::default()
        }
    );
    let glass = serde_json::from_str::<Glass>(r#"{"by":["a","b"],"reason":"r","until_ms":5}"#)
        .expect("read");
    assert!(glass.scope.is_all());
    assert!(serde_json::from_str::<Calendar>(&bare.replace("owner", "keeper")).is_err());
    assert!(
        serde_json::from_str::<Calendar>(&bare.replace("\"zone\"", "\"x\":1,\"zone\"")).is_err()
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
    let on = On {
        until_ms: 9,
        scope: Scope {
            zones: ["a".to_string()].into(),
            ..Scope::default()
        },
        holds: [Widening::Added].into(),
        reason: "r".to_string(),
        owner: "o".to_string(),
    };
    let told = |window: &str, begins_in_ms, ends_in_ms| Told {
        window: window.to_string(),
        begins_in_ms,
        ends_in_ms,
        on: on.clone(),
    };
    let glass = Glass {
        by: vec!["a".to_string(), "b".to_string()],
        reason: "g".to_string(),
        scope: Scope::default(),
        until_ms: 5,
    };
    let news = News {
        rev: 3,
        on: vec![told("w", 0, 50)],
        soon: vec![told("v", 7, 60)],
        glass: Some(glass),
        glass_ends_in_ms: 70,
    };
    assert_eq!(serde_json::from_str::<News>(&text).expect("read"), news);
    let bare = News {
        rev: 3,
        on: vec![],
        soon: vec![],
        glass: None,
        glass_ends_in_ms: 0,
    };
    assert_eq!(
        serde_json::from_str::<News>(r#"{"rev":3,"on":[],"soon":[]}"#).expect("read"),
        bare
    );
    let held = Gate::new(0, 10)
        .judge(5, &Matter::of_all(Widening::Added))
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
        BookError::None,
        BookError::Begun,
        BookError::Ranges,
        BookError::Version { now: 2, wanted: 1 },
        LimitError::Floors {
            key: key(),
            senders: 3,
            floor: 5,
            total: 2,
        }
        .into(),
        LimitError::Unnamed(key()).into(),
        LimitError::from(BadLimit::Large(1)).into(),
        LimitError::from(BadLimit::Linger(key(), 5)).into(),
        LimitError::Many.into(),
        LimitError::Unknown(key()).into(),
        SplitError::None.into(),
    ];
    texts.extend(books.iter().map(ToString::to_string));
    texts.extend(WIDENINGS.map(|(_, widening)| widening.to_string()));
    texts.extend(queries().map(|(_, query)| query.to_string()));
    texts.extend(keys().map(|(_, key)| key.to_string()));
    let held = FreezeError::Held {
        window: text(),
        until_ms: 1,
        widening: Widening::Added,
        reason: text(),
        owner: text(),
    };
    let freezes = [
        held,
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
        FreezeError::Whole,
    ];
    texts.extend(freezes.iter().map(ToString::to_string));
    texts.push("rate/x".parse::<Key>().expect_err("no key").to_string());
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
    let floors = Floors {
        senders: u32::MAX,
        each: [("rate".to_string(), most)].into(),
    };
    let terms = Terms {
        lease: most,
        drift: most,
    };
    let begin = Entry::Begin {
        floors: floors.clone(),
        terms,
        split_at: vec![1, most],
    };
    let limit = Limit {
        total: most,
        linger_ms: most,
    };
    let flag = Flag {
        parent: vec![most],
        children: vec![most],
        fence: most,
        ..flag()
    };
    let query = Query::Range {
        from: most,
        to: Some(most),
    };
    file.postcard("begin", &begin);
    let entry = Entry::Limit {
        key: rate(most),
        limit: Some(limit),
        if_match: Some(most),
    };
    file.postcard("limit", &entry);
    file.postcard(
        "keeper",
        &Entry::Keeper {
            shard: most,
            epoch: most,
            replica: most,
        },
    );
    file.postcard(
        "split",
        &Entry::Split {
            first: most,
            at: most,
            plant: None,
        },
    );
    file.postcard("step", &Entry::Step(most));
    file.postcard(
        "read",
        &Entry::Read {
            queries: [most, most],
            flags: vec![flag.clone()],
        },
    );
    file.postcard("undo.range", &Entry::Undo(SplitError::Range(most)));
    file.postcard(
        "undo.place",
        &Entry::Undo(SplitError::Place {
            first: most,
            at: most,
        }),
    );
    file.postcard("undo.under_way", &Entry::Undo(SplitError::UnderWay(most)));
    file.postcard("undo.flags", &Entry::Undo(SplitError::Flags(most)));
    file.postcard(
        "flag",
        &Flag {
            query: Some(query),
            ..flag.clone()
        },
    );
    let queries = [most, most];
    let ended = Ended {
        first: most,
        at: most,
        undone: None,
        queries,
        flags: vec![flag],
        flagged: most,
    };
    file.postcard("ended", &ended);
    file.postcard(
        "want",
        &Want {
            key: rate(most),
            want: most,
        },
    );
    let quota = Dealt {
        key: rate(most),
        part: Some(most - 1),
        total: Some(most),
        linger_ms: most,
    };
    file.postcard("quota", &quota);
    file.postcard(
        "report",
        &Word {
            destination: most,
            out: true,
        },
    );
    let verdict = Verdict {
        destination: most,
        out: true,
        epoch: most,
        observers: usize::MAX,
    };
    file.postcard("verdict", &verdict);
    let question = Question {
        sender: String::new(),
        life: most,
        number: most,
        floors,
        zone: String::new(),
        wants: vec![Want {
            key: rate(most),
            want: most,
        }],
        reports: vec![Word {
            destination: most,
            out: false,
        }],
    };
    let read = |line: &str| Question::read(&bytes(line)).expect("read");
    file.record(
        "question",
        &question,
        |question| hexadecimal(&question.write()),
        read,
    );
    let quotas = vec![Dealt {
        total: None,
        ..quota
    }];
    let answer = Answer {
        lease: most,
        rev: most,
        quotas,
        verdicts: vec![verdict],
    };
    let read = |line: &str| Answer::read(&bytes(line)).expect("read");
    file.record(
        "answer",
        &answer,
        |answer| hexadecimal(&answer.write()),
        read,
    );
    file.postcard("settle", &FreezeEntry::Settle(most));
    file.postcard("clock", &FreezeEntry::Clock(most));
    let put = FreezeEntry::Put {
        calendar: Calendar::default(),
        if_match: Some(most),
    };
    file.postcard("put", &put);
    file.postcard(
        "begin_window",
        &FreezeEntry::Begin(
            "w".to_string(),
            On {
                until_ms: most,
                ..on()
            },
        ),
    );
    let glass = Glass {
        until_ms: most,
        ..glass()
    };
    file.postcard(
        "break",
        &FreezeEntry::Break {
            glass,
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
