//! One command of each kind, and a state that holds something of each part.

use fleet_registry::endpoint::{Endpoint, EndpointState};
use fleet_registry::state::{Command, ExpiredEndpoint, ListChange, ReplicaAddresses, State};
use quota_ledger::freeze::{Calendar, Every, FreezeEntry, Glass, On, Scope, Widening, Window};
use quota_ledger::splits::{Difference, Flag, Plant, Query, SplitError};
use quota_ledger::{Entry, Floors, Key, Limit, What};
use std::collections::BTreeMap;
use versioned_config::{Class, Effect, Proposal, Rules, Terms};

pub fn endpoint(port: u16) -> Endpoint {
    Endpoint {
        endpoint: format!("10.1.2.3:{port}").parse().expect("an address"),
        az: "floor-2".to_string(),
        model: "school-library".to_string(),
        pod_group: 300,
        state: EndpointState::Up,
        capacity_hint: 12.5,
        boot_ms: 1_700_000_000_123,
        ttl_ms: Some(5000),
    }
}

fn put(uid: &str, endpoint: Endpoint) -> ListChange {
    ListChange::Put {
        uid: uid.to_string(),
        endpoint,
    }
}

fn rules(calls: u64) -> Rules {
    let class = |effect| Class {
        accepted: true,
        effect,
        attempts: 3,
        in_order: true,
        keyed_by: "user".to_string(),
        gap_ms: 250,
    };
    let classes = [
        ("bell".to_string(), class(Effect::AtMostOnce)),
        (
            "cook".to_string(),
            class(Effect::DeduplicatedInZone { window_ms: 400 }),
        ),
        (
            "mail".to_string(),
            class(Effect::Deduplicated { window_ms: 9000 }),
        ),
        ("post".to_string(), class(Effect::Idempotent)),
    ];
    Rules {
        classes: classes.into(),
        limits: [("calls".to_string(), calls)].into(),
    }
}

fn window() -> On {
    On {
        until_ms: 1_800_000_000_000,
        scope: Scope {
            zones: ["floor-2".to_string()].into(),
            destinations: [300].into(),
            tenants: ["t".to_string()].into(),
        },
        holds: [Widening::Added, Widening::Raised].into(),
        reason: "term begins".to_string(),
        owner: "lan".to_string(),
    }
}

fn calendar() -> Calendar {
    let window = Window {
        zone: "Asia/Ho_Chi_Minh".to_string(),
        begin: "2026-09-01T07:00".to_string(),
        end: "2026-09-01T17:00".to_string(),
        every: Some(Every::Week),
        scope: Scope::default(),
        holds: [
            Widening::Moved,
            Widening::Back,
            Widening::Rules,
            Widening::Split,
            Widening::Replica,
        ]
        .into(),
        reason: "lessons".to_string(),
        owner: "lan".to_string(),
    };
    Calendar {
        windows: BTreeMap::from([("lessons".to_string(), window)]),
    }
}

fn begin_ledger() -> Entry {
    let floors = Floors {
        senders: 3,
        each: [("rate".to_string(), 10)].into(),
    };
    Entry::Begin {
        floors,
        terms: Terms {
            lease: 1_500_000,
            drift: 30_304,
        },
        split_at: vec![20_000],
    }
}

fn limit(key: Key, total: u64, linger_ms: u64) -> Entry {
    Entry::Limit {
        key,
        limit: Some(Limit { total, linger_ms }),
        if_match: Some(0),
    }
}

/// Commands that a new state takes, in order.
pub fn taken() -> Vec<Command> {
    let floor = Rules {
        limits: [("calls".to_string(), 5)].into(),
        ..Rules::default()
    };
    let terms = Terms {
        lease: 6_000_000,
        drift: 121_213,
    };
    vec![
        Command::BeginRules {
            floor,
            rules: rules(50),
            terms,
        },
        Command::ChangeList {
            if_match: Some(0),
            changes: vec![put("a", endpoint(1)), put("b", endpoint(2))],
        },
        Command::ChangeList {
            if_match: None,
            changes: vec![ListChange::Drain {
                uid: "b".to_string(),
            }],
        },
        Command::Ledger(begin_ledger()),
        Command::Ledger(Entry::Keeper {
            shard: 0,
            epoch: 0,
            replica: 1,
        }),
        Command::Ledger(limit(Key::of(300, What::Rate), 1000, 0)),
        Command::Freeze(FreezeEntry::Put {
            calendar: calendar(),
            if_match: Some(0),
        }),
        Command::Freeze(FreezeEntry::Clock(1_700_000_000_000)),
    ]
}

/// The commands of the other kinds, whether or not a state takes them now.
pub fn others() -> Vec<Command> {
    let glass = Glass {
        by: vec!["lan".to_string(), "minh".to_string()],
        reason: "a fire".to_string(),
        scope: Scope::default(),
        until_ms: 1_700_000_600_000,
    };
    let flag = |query| Flag {
        query: Some(query),
        key: Some(Key::of(301, What::Out)),
        difference: Difference::Twice,
        parent: vec![4],
        children: vec![4, 4],
        fence: 77,
    };
    let queries = [
        Query::Range {
            from: 3,
            to: Some(900),
        },
        Query::One(Key::of(7, What::Cold)),
        Query::Sum("rate".to_string()),
    ];
    let changes = vec![
        put("c", endpoint(3)),
        ListChange::Remove {
            uid: "a".to_string(),
        },
    ];
    let mut commands = vec![
        Command::Expire(vec![ExpiredEndpoint {
            uid: "b".to_string(),
            endpoint: endpoint(2),
        }]),
        Command::ProposeRules(Proposal {
            from: 1,
            rules: rules(9),
        }),
        Command::AdvanceRules(1 << 40),
        Command::ForceChangeList {
            if_match: Some(1 << 40),
            changes,
        },
    ];
    commands.extend(
        [
            Entry::Limit {
                key: Key::tenant("t"),
                limit: None,
                if_match: None,
            },
            limit(Key::of(4, What::Connections("n1".to_string())), 3, 70_000),
            Entry::Split {
                first: 0,
                at: 400,
                plant: Some(Plant::WrongSide),
            },
            Entry::Step(256),
            Entry::Read {
                queries: [4, 1],
                flags: queries.map(flag).into(),
            },
            Entry::Cut,
            Entry::Undo(SplitError::Frozen("lessons".to_string())),
            Entry::Undo(SplitError::Flags(3)),
        ]
        .map(Command::Ledger),
    );
    commands.extend(
        [
            FreezeEntry::Settle(1),
            FreezeEntry::Begin("lessons".to_string(), window()),
            FreezeEntry::End("lessons".to_string()),
            FreezeEntry::Break {
                glass,
                now_ms: 1_700_000_000_000,
            },
            FreezeEntry::Mend,
        ]
        .map(Command::Freeze),
    );
    commands
}

/// The state after the commands that it takes, with a replica that came later.
pub fn state() -> State {
    let mut state = State::default();
    for command in taken() {
        state
            .apply(command.clone())
            .unwrap_or_else(|refused| panic!("{command:?}: {refused}"));
    }
    state.replicas.insert(4, addresses());
    state
}

pub fn addresses() -> ReplicaAddresses {
    ReplicaAddresses {
        peers: "127.9.9.4:8600".parse().expect("an address"),
        clients: "127.9.9.4:8500".parse().expect("an address"),
    }
}
