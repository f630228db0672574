//! Types that are stored or sent to another process must keep their recorded JSON text and postcard
//! bytes.

use message_sender::wire::Names;
use message_sender::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Recorded samples. Each line holds the name of a sample, `json` or `postcard`, and the JSON text
/// or the postcard bytes in hexadecimal.
const RECORDED: &str = include_str!("golden/interface.txt");

/// A number that does not fit into 32 bits.
const WIDER_THAN_32_BITS: usize = 5_000_000_000;

fn recorded(name: &str, form: &str) -> &'static str {
    let head = format!("{name} {form} ");
    RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(head.as_str()))
        .unwrap_or_else(|| panic!("no recorded sample {head}"))
}

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let digits =
        |offset: usize| u8::from_str_radix(&text[offset..offset + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Checks that `value` serializes to both recorded forms of the sample `name` and that both forms
/// deserialize to `value`.
fn check_recorded_forms<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    value: &T,
) {
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
        call_slots: WIDER_THAN_32_BITS,
        max_pending: WIDER_THAN_32_BITS + 1,
        max_attempts: WIDER_THAN_32_BITS + 2,
        hedging_allowed: true,
        cancellation_allowed: false,
        health_checks_allowed: true,
        notes_allowed: false,
        connection_idle_timeout: 4 * SECOND,
        max_retry_after: 5 * SECOND,
        list_by_subscription: true,
        completion_by_notification: false,
        weight_trust: 0.5,
        report_remaining: Some(WIDER_THAN_32_BITS),
        report_limit: Some(WIDER_THAN_32_BITS + 3),
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
            bundle_max: WIDER_THAN_32_BITS,
        }],
        tenants: vec![Tenant {
            name: "gold".into(),
            allowance: 4.5,
        }],
    }
}

fn bounds() -> RuleBounds {
    let class_bounds = ClassBounds {
        accepted: true,
        effect: Effect::IdempotencyKey {
            window: Micros::MIN,
            same_zone_only: false,
        },
        max_attempts: WIDER_THAN_32_BITS,
        ordered: true,
        key_backoff: Micros::MAX,
    };
    let classes = BTreeMap::from([
        ("free".to_string(), class_bounds),
        ("shut".to_string(), ClassBounds::NOTHING),
    ]);
    RuleBounds {
        classes,
        max_calls: Some(WIDER_THAN_32_BITS),
        max_messages: Some(WIDER_THAN_32_BITS + 1),
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
fn settings_match_their_recorded_forms() {
    check_recorded_forms("settings", &settings());
    check_recorded_forms("settings_lone", &Settings::new(8, 100));
}

#[test]
fn agreed_rules_match_their_recorded_forms() {
    check_recorded_forms(
        "agreed",
        &AgreedRules {
            leased: Some(LeasedBounds {
                bounds: bounds(),
                until: 300,
            }),
            fallback: RuleBounds::default(),
        },
    );
    check_recorded_forms(
        "agreed_without_lease",
        &AgreedRules {
            leased: None,
            fallback: bounds(),
        },
    );
}

#[test]
fn quotas_match_their_recorded_forms() {
    check_recorded_forms("quotas", &quotas());
}

#[test]
fn fleet_view_matches_its_recorded_forms() {
    check_recorded_forms(
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
fn every_outcome_matches_its_recorded_forms() {
    check_recorded_forms("outcome_success", &Outcome::Success);
    check_recorded_forms("outcome_error", &Outcome::Error);
    check_recorded_forms("outcome_refused", &Outcome::Rejected { retry_after: None });
    check_recorded_forms(
        "outcome_refused_with_wait",
        &Outcome::Rejected {
            retry_after: Some(350 * MILLISECOND),
        },
    );
    check_recorded_forms("outcome_timed_out", &Outcome::TimedOut);
    check_recorded_forms("outcome_no_connection", &Outcome::NoConnection);
    check_recorded_forms("outcome_reset", &Outcome::Reset);
    check_recorded_forms("outcome_cancelled", &Outcome::Cancelled);
    check_recorded_forms("outcome_unsent", &Outcome::NotSent { no_slot: false });
    check_recorded_forms(
        "outcome_unsent_without_slot",
        &Outcome::NotSent { no_slot: true },
    );
}

#[test]
fn every_weight_decay_matches_its_recorded_forms() {
    check_recorded_forms("fade_even", &WeightDecay::Linear);
    check_recorded_forms("fade_halving", &WeightDecay::Halving);
}

#[test]
fn ids_match_their_recorded_forms() {
    check_recorded_forms("message_id", &MessageId(u64::MAX));
    check_recorded_forms("endpoint_id", &EndpointId(u32::MAX));
}

#[test]
fn names_match_their_recorded_forms() {
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
