//! Types that are stored or sent to another process keep their JSON names and their postcard bytes.

use message_sender::wire::Names;
use message_sender::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// One line a form: the sample's name, `json` or `postcard`, and the text or the bytes in hexadecimal.
const RECORDED: &str = include_str!("golden/interface.txt");

/// More than fits into 32 bits.
const WIDE: usize = 5_000_000_000;

fn recorded(name: &str, form: &str) -> &'static str {
    let head = format!("{name} {form} ");
    RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(head.as_str()))
        .unwrap_or_else(|| panic!("no {head}"))
}

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Both recorded forms are read as this value, and this value is written as both.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let json = serde_json::to_string(value).expect("written as JSON");
    let bytes = postcard::to_allocvec(value).expect("written as postcard");
    assert_eq!(json, recorded(name, "json"), "{name}");
    assert_eq!(to_hexadecimal(&bytes), recorded(name, "postcard"), "{name}");
    let from_json: T = serde_json::from_str(recorded(name, "json")).expect("JSON is read");
    let from_bytes: T = postcard::from_bytes(&from_hexadecimal(recorded(name, "postcard")))
        .expect("postcard is read");
    assert_eq!(&from_json, value, "{name}");
    assert_eq!(&from_bytes, value, "{name}");
}

fn class(name: &str, effect: Effect, ordered: bool) -> Class {
    Class {
        name: name.to_string(),
        effect,
        latency_objective: 2 * SECOND,
        deadline: 30 * SECOND,
        priority_weight: 1.5,
        late_share: 0.25,
        ordered,
    }
}

fn settings() -> Settings {
    Settings {
        senders: u32::MAX,
        zone: u16::MAX,
        call_slots: WIDE,
        max_pending: WIDE + 1,
        max_attempts: WIDE + 2,
        hedging_allowed: true,
        cancellation_allowed: false,
        health_checks_allowed: true,
        notes_allowed: false,
        connection_idle_timeout: 4 * SECOND,
        max_retry_after: 5 * SECOND,
        list_by_subscription: true,
        completion_by_notification: false,
        weight_trust: 0.5,
        report_remaining: Some(WIDE),
        report_limit: Some(WIDE + 3),
        price_cross_zone: 0.05,
        price_health_check: 0.01,
        price_waste: 0.2,
        zone_fees: vec![0.1, 0.02],
        over_share_weight: 0.4,
        weight_decay: WeightDecay::Halving,
        safety: Safety {
            drain_grace: 11,
            warm_up_time: 12,
            start_capacity: 0.125,
            overload_multiple: 2.5,
            overload_span: 13,
            answer_grace: 14,
            key_backoff: 15,
            poll_interval: 16,
        },
        classes: vec![
            class("free", Effect::Idempotent, false),
            class(
                "keyed",
                Effect::IdempotencyKey {
                    window: 6 * SECOND,
                    same_zone_only: true,
                },
                true,
            ),
            class("unsafe", Effect::NonIdempotent, false),
        ],
        kinds: vec![Kind {
            name: "apart".into(),
            separate_routes: true,
            bundle_max: WIDE,
        }],
        tenants: vec![Tenant {
            name: "gold".into(),
            allowance: 4.5,
        }],
    }
}

fn bounds() -> RuleBounds {
    let bound = ClassBounds {
        accepted: true,
        effect: Effect::IdempotencyKey {
            window: Micros::MIN,
            same_zone_only: false,
        },
        max_attempts: WIDE,
        ordered: true,
        key_backoff: Micros::MAX,
    };
    let classes = BTreeMap::from([
        ("free".to_string(), bound),
        ("shut".to_string(), ClassBounds::NOTHING),
    ]);
    RuleBounds {
        classes,
        max_calls: Some(WIDE),
        max_messages: Some(WIDE + 1),
    }
}

fn quotas() -> Quotas {
    let share = |fallback, allocation| QuotaShare {
        fallback,
        allocation,
    };
    let allocation = |amount, until| Some(QuotaAllocation { amount, until });
    let quota = Quota {
        rate: Some(share(u64::MAX, allocation(Some(u64::MAX - 1), Micros::MAX))),
        in_flight: Some(ConcurrencyQuota {
            share: share(4, allocation(None, 5)),
            max_duration: 6,
        }),
        unhealthy_rate: Some(share(7, None)),
    };
    Quotas {
        named: BTreeMap::from([(u64::MAX, quota)]),
        others: Quota {
            rate: Some(share(8, None)),
            ..Quota::default()
        },
    }
}

#[test]
fn settings_read_and_write_the_same() {
    check("settings", &settings());
    check("settings_lone", &Settings::new(8, 100));
}

#[test]
fn agreed_rules_read_and_write_the_same() {
    check(
        "agreed",
        &AgreedRules {
            leased: Some(LeasedBounds {
                bounds: bounds(),
                until: 300,
            }),
            fallback: RuleBounds::default(),
        },
    );
    check(
        "agreed_without_lease",
        &AgreedRules {
            leased: None,
            fallback: bounds(),
        },
    );
}

#[test]
fn quotas_read_and_write_the_same() {
    check("quotas", &quotas());
}

#[test]
fn fleet_view_reads_and_writes_the_same() {
    check(
        "fleet_view",
        &FleetView {
            present: u32::MAX,
            suspects: u32::MAX - 1,
            departed: u32::MAX - 2,
            agreeing: u32::MAX - 3,
            isolated: true,
        },
    );
}

#[test]
fn every_outcome_reads_and_writes_the_same() {
    check("outcome_success", &Outcome::Success);
    check("outcome_error", &Outcome::Error);
    check("outcome_refused", &Outcome::Rejected { retry_after: None });
    check(
        "outcome_refused_with_wait",
        &Outcome::Rejected {
            retry_after: Some(350 * MILLISECOND),
        },
    );
    check("outcome_timed_out", &Outcome::TimedOut);
    check("outcome_no_connection", &Outcome::NoConnection);
    check("outcome_reset", &Outcome::Reset);
    check("outcome_cancelled", &Outcome::Cancelled);
    check("outcome_unsent", &Outcome::NotSent { no_slot: false });
    check(
        "outcome_unsent_without_slot",
        &Outcome::NotSent { no_slot: true },
    );
}

#[test]
fn every_fade_reads_and_writes_the_same() {
    check("fade_even", &WeightDecay::Linear);
    check("fade_halving", &WeightDecay::Halving);
}

#[test]
fn ids_read_and_write_the_same() {
    check("message_id", &MessageId(u64::MAX));
    check("endpoint_id", &EndpointId(u32::MAX));
}

#[test]
fn names_read_and_write_the_same() {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        classes: vec!["free".into()],
        kinds: vec!["apart".into()],
        tenants: vec!["gold".into()],
        report_fields: vec!["left".into(), "limit".into()],
        dial_timeout: 700 * MILLISECOND,
    };
    let json = serde_json::to_string(&names).expect("written as JSON");
    let bytes = postcard::to_allocvec(&names).expect("written as postcard");
    assert_eq!(json, recorded("names", "json"));
    assert_eq!(to_hexadecimal(&bytes), recorded("names", "postcard"));
    let read: Names = postcard::from_bytes(&bytes).expect("postcard is read");
    assert_eq!(serde_json::to_string(&read).expect("written as JSON"), json);
    let read: Names = serde_json::from_str(&json).expect("JSON is read");
    assert_eq!(
        postcard::to_allocvec(&read).expect("written as postcard"),
        bytes
    );
}
