//! One command of each kind, and a state that holds something of each part.

use fleet_registry::endpoint::{Endpoint, EndpointState};
use fleet_registry::state::{Command, ExpiredEndpoint, ListChange, ReplicaAddresses, State};
use quota_ledger::freeze::{
    ActiveWindow, BreakGlassOverride, ChangeKind, FreezeCalendar, FreezeEntry, FreezeWindow,
    Recurrence, Scope,
};
use quota_ledger::splits::{Difference, Disagreement, PlantedFault, Query, SplitError};
use quota_ledger::{FallbackQuotas, LedgerEntry, Limit, LimitKey, Resource};
use std::collections::BTreeMap;
use versioned_config::{ClassRules, Effect, LeaseTerms, Proposal, Rules};

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
    let class = |effect| ClassRules {
        accepted: true,
        effect,
        max_attempts: 3,
        in_order: true,
        key_meaning: "user".to_string(),
        key_backoff_ms: 250,
    };
    let classes = [
        ("bell".to_string(), class(Effect::NonIdempotent)),
        (
            "cook".to_string(),
            class(Effect::IdempotencyKeyInZone { window_ms: 400 }),
        ),
        (
            "mail".to_string(),
            class(Effect::IdempotencyKey { window_ms: 9000 }),
        ),
        ("post".to_string(), class(Effect::Idempotent)),
    ];
    Rules {
        classes: classes.into(),
        limits: [("calls".to_string(), calls)].into(),
    }
}

fn window() -> ActiveWindow {
    ActiveWindow {
        until_ms: 1_800_000_000_000,
        scope: Scope {
            zones: ["floor-2".to_string()].into(),
            destinations: [300].into(),
            tenants: ["t".to_string()].into(),
        },
        held_changes: [ChangeKind::Added, ChangeKind::Raised].into(),
        reason: "term begins".to_string(),
        owner: "lan".to_string(),
    }
}

fn calendar() -> FreezeCalendar {
    let window = FreezeWindow {
        zone: "Asia/Ho_Chi_Minh".to_string(),
        begin: "2026-09-01T07:00".to_string(),
        end: "2026-09-01T17:00".to_string(),
        recurrence: Some(Recurrence::Week),
        scope: Scope::default(),
        held_changes: [
            ChangeKind::Moved,
            ChangeKind::Restored,
            ChangeKind::Rules,
            ChangeKind::Split,
            ChangeKind::Replica,
        ]
        .into(),
        reason: "lessons".to_string(),
        owner: "lan".to_string(),
    };
    FreezeCalendar {
        windows: BTreeMap::from([("lessons".to_string(), window)]),
    }
}

fn begin_ledger() -> LedgerEntry {
    let fallback_quotas = FallbackQuotas {
        senders: 3,
        per_sender: [("rate".to_string(), 10)].into(),
    };
    LedgerEntry::Create {
        fallback_quotas,
        terms: LeaseTerms {
            lease: 1_500_000,
            max_drift: 30_304,
        },
        split_at: vec![20_000],
    }
}

fn limit(key: LimitKey, total: u64, expiry_grace_ms: u64) -> LedgerEntry {
    LedgerEntry::SetLimit {
        key,
        limit: Some(Limit {
            total,
            expiry_grace_ms,
        }),
        if_match: Some(0),
    }
}

/// Commands that a new state takes, in order.
pub fn taken() -> Vec<Command> {
    let fallback = Rules {
        limits: [("calls".to_string(), 5)].into(),
        ..Rules::default()
    };
    let terms = LeaseTerms {
        lease: 6_000_000,
        max_drift: 121_213,
    };
    vec![
        Command::BeginRules {
            fallback,
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
        Command::Ledger(LedgerEntry::AssignAllocator {
            shard: 0,
            epoch: 0,
            replica: 1,
        }),
        Command::Ledger(limit(LimitKey::of(300, Resource::Rate), 1000, 0)),
        Command::Freeze(FreezeEntry::PutCalendar {
            calendar: calendar(),
            if_match: Some(0),
        }),
        Command::Freeze(FreezeEntry::AdvanceClock(1_700_000_000_000)),
    ]
}

/// The commands of the other kinds, whether or not a state takes them now.
pub fn others() -> Vec<Command> {
    let glass = BreakGlassOverride {
        approvers: vec!["lan".to_string(), "minh".to_string()],
        reason: "a fire".to_string(),
        scope: Scope::default(),
        until_ms: 1_700_000_600_000,
    };
    let flag = |query| Disagreement {
        query: Some(query),
        key: Some(LimitKey::of(301, Resource::Concurrency)),
        difference: Difference::Twice,
        parent: vec![4],
        children: vec![4, 4],
        log_revision: 77,
    };
    let queries = [
        Query::Range {
            from: 3,
            to: Some(900),
        },
        Query::Key(LimitKey::of(7, Resource::RecoveryRate)),
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
            LedgerEntry::SetLimit {
                key: LimitKey::tenant("t"),
                limit: None,
                if_match: None,
            },
            limit(
                LimitKey::of(4, Resource::Connections("n1".to_string())),
                3,
                70_000,
            ),
            LedgerEntry::BeginSplit {
                first: 0,
                at: 400,
                planted_fault: Some(PlantedFault::WrongSide),
            },
            LedgerEntry::AdvanceSplit(256),
            LedgerEntry::RecordDualReads {
                queries: [4, 1].into(),
                disagreements: queries.map(flag).into(),
            },
            LedgerEntry::CutOver,
            LedgerEntry::RollBack(SplitError::Frozen("lessons".to_string())),
            LedgerEntry::RollBack(SplitError::Disagreements(3)),
        ]
        .map(Command::Ledger),
    );
    commands.extend(
        [
            FreezeEntry::SettleCalendar(1),
            FreezeEntry::BeginWindow("lessons".to_string(), window()),
            FreezeEntry::EndWindow("lessons".to_string()),
            FreezeEntry::BreakGlass {
                break_glass_override: glass,
                now_ms: 1_700_000_000_000,
            },
            FreezeEntry::EndOverride,
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
