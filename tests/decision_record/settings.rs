//! Settings, quotas and agreed rules of the recorded scenarios.

use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::RngCore;

/// Number of the first scenario whose settings use all features together.
pub const WITH_EVERYTHING: u64 = 100;

const CLASS_NAMES: [&str; 6] = [
    "repeatable",
    "zone-keyed",
    "keyed",
    "once",
    "ordered",
    "ordered-once",
];

fn classes() -> Vec<Class> {
    let zone_keyed = Effect::IdempotencyKey {
        window: 6 * SECOND,
        same_zone_only: true,
    };
    let keyed = Effect::IdempotencyKey {
        window: 4 * SECOND,
        same_zone_only: false,
    };
    let effects = [
        Effect::Idempotent,
        zone_keyed,
        keyed,
        Effect::NonIdempotent,
        Effect::Idempotent,
        Effect::NonIdempotent,
    ];
    let mut classes = Vec::new();
    for (index, effect) in effects.into_iter().enumerate() {
        let mut class = Class::new(CLASS_NAMES[index], effect, 2 * SECOND, 20 * SECOND);
        class.priority_weight = 1.0 + index as f64 / 4.0;
        class.late_share = 0.1 * index as f64;
        class.ordered = index >= 4;
        classes.push(class);
    }
    classes
}

/// Returns the settings of a scenario.
pub fn settings(number: u64) -> Settings {
    let pick = |divisor: u64, count: u64| (number / divisor % count) as usize;
    let mut settings = Settings::new([10, 3, 40, 2][pick(1, 4)], [80, 300, 30][pick(1, 3)]);
    settings.senders = [1, 3, 300, 20][pick(2, 4)];
    settings.max_attempts = [5, 8][pick(1, 2)];
    settings.connection_idle_timeout = [0, 5 * SECOND][pick(2, 2)];
    settings.max_retry_after = [0, 4 * SECOND][pick(1, 2)];
    settings.list_by_subscription = pick(3, 2) == 0;
    settings.completion_by_notification = pick(2, 2) == 1;
    settings.weight_trust = [0.0, 0.5, 1.0][pick(2, 3)];
    if pick(1, 3) == 2 {
        settings.report_remaining = Some(0);
        settings.report_limit = Some(1);
    }
    settings.safety.key_backoff = 100 * MILLISECOND;
    if number >= WITH_EVERYTHING {
        settings.call_slots = 24;
        settings.max_pending = 300;
        settings.senders = 8;
        settings.list_by_subscription = true;
        settings.completion_by_notification = true;
        settings.weight_trust = 0.5;
        settings.report_remaining = Some(0);
        settings.report_limit = Some(1);
        settings.safety.key_backoff = SECOND;
    }
    settings.over_share_weight = 0.3;
    settings.weight_decay = [WeightDecay::Linear, WeightDecay::Halving][pick(1, 2)];
    settings.safety.warm_up_time = 6 * SECOND;
    settings.classes = classes();
    settings.kinds = vec![
        Kind {
            name: "plain".into(),
            separate_routes: false,
            bundle_max: 1,
        },
        Kind {
            name: "routes".into(),
            separate_routes: true,
            bundle_max: 1,
        },
        Kind {
            name: "bundles".into(),
            separate_routes: false,
            bundle_max: if number >= WITH_EVERYTHING {
                5
            } else {
                [5, 1][pick(5, 2)]
            },
        },
    ];
    let tenant = |name: &str, allowance| Tenant {
        name: name.into(),
        allowance,
    };
    settings.tenants = vec![tenant("first", 5.0), tenant("second", 40.0)];
    settings
}

/// Changes one setting that an operator may change while the process runs.
pub fn change(settings: &mut Settings, random: &mut Pcg32) {
    match random.next_u32() % 5 {
        0 => settings.senders = settings.senders % 7 + 1,
        1 => settings.hedging_allowed = !settings.hedging_allowed,
        2 => settings.cancellation_allowed = !settings.cancellation_allowed,
        3 => settings.call_slots = settings.call_slots % 12 + 2,
        _ => settings.max_pending = settings.max_pending % 200 + 20,
    }
}

fn share(now: Micros, random: &mut Pcg32) -> QuotaShare {
    let fallback = u64::from(random.next_u32() % 4000);
    let amount = u64::from(random.next_u32() % 20_000);
    let until = now + Micros::from(random.next_u32() % 4_000_000);
    let allocation = match random.next_u32() % 4 {
        0 => None,
        1 => Some(QuotaAllocation {
            amount: None,
            until,
        }),
        _ => Some(QuotaAllocation {
            amount: Some(amount),
            until,
        }),
    };
    QuotaShare {
        fallback,
        allocation,
    }
}

/// Returns quotas for two destinations and for all others, with random amounts.
pub fn quotas(now: Micros, random: &mut Pcg32) -> Quotas {
    let calls = QuotaShare {
        fallback: 1,
        allocation: Some(QuotaAllocation {
            amount: Some(u64::from(random.next_u32() % 4)),
            until: now + 3 * SECOND,
        }),
    };
    let mut quotas = Quotas::default();
    let quota = Quota {
        rate: Some(share(now, random)),
        in_flight: Some(ConcurrencyQuota {
            share: calls,
            max_duration: 2 * SECOND,
        }),
        unhealthy_rate: None,
    };
    quotas.named.insert(0, quota);
    let quota = Quota {
        rate: None,
        in_flight: None,
        unhealthy_rate: Some(share(now, random)),
    };
    quotas.named.insert(1, quota);
    quotas.others = Quota {
        rate: Some(share(now, random)),
        in_flight: None,
        unhealthy_rate: Some(share(now, random)),
    };
    quotas
}

/// Returns agreed rules: a lease that allows nearly everything, and fallback rules that allow less.
pub fn agreed_rules(now: Micros, random: &mut Pcg32) -> AgreedRules {
    let mut leased = RuleBounds {
        max_calls: Some(8),
        max_messages: Some(150),
        ..RuleBounds::default()
    };
    let mut fallback = RuleBounds {
        max_calls: Some(3),
        max_messages: None,
        ..RuleBounds::default()
    };
    for (index, class) in classes().into_iter().enumerate() {
        let max_attempts = 2 + (random.next_u32() % 4) as usize;
        let accepted = !random.next_u32().is_multiple_of(8);
        let key_backoff = Micros::from(random.next_u32() % 300_000);
        let ordered = index == 0 || class.ordered;
        let bound = ClassBounds {
            accepted,
            effect: class.effect,
            max_attempts,
            ordered,
            key_backoff,
        };
        leased.classes.insert(class.name.clone(), bound);
        if index != 3 {
            let window = 3 * SECOND;
            let stricter = class.effect.intersection(Effect::IdempotencyKey {
                window,
                same_zone_only: index == 2,
            });
            fallback.classes.insert(
                class.name,
                ClassBounds {
                    effect: stricter,
                    ..bound
                },
            );
        }
    }
    let until = now + Micros::from(random.next_u32() % 5_000_000);
    AgreedRules {
        leased: Some(LeasedBounds {
            bounds: leased,
            until,
        }),
        fallback,
    }
}
