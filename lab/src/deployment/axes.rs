//! The properties in which deployments differ, one axis each, with the values to try.

use super::edit::Edit;
use super::values::{Effect, Setting, Tables};

/// A property of a deployment.
#[derive(Debug, PartialEq)]
pub struct Axis {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it is.
    pub about: &'static str,
    /// What it may be.
    pub values: &'static [AxisValue],
}

impl Eq for Axis {}

/// A value of an axis and how it is put into a site file.
#[derive(Debug, PartialEq)]
pub struct AxisValue {
    /// Its name on the command line.
    pub name: &'static str,
    /// The changes, in their order.
    pub edits: &'static [Edit],
}

const ALLOW: Tables = Tables::Single("allow");
const FAM: Tables = Tables::Single("fam");
const LOAD: Tables = Tables::Single("load");
const PRICES: Tables = Tables::Single("prices");
const DISCOVERY: Tables = Tables::Single("discovery");
const KIND: Tables = Tables::NestedArray {
    outer: "fam",
    inner: "kind",
};

const fn axis(name: &'static str, about: &'static str, values: &'static [AxisValue]) -> Axis {
    Axis {
        name,
        about,
        values,
    }
}

const fn value(name: &'static str, edits: &'static [Edit]) -> AxisValue {
    AxisValue { name, edits }
}

const fn integer(tables: Tables, key: &'static str, to: i64) -> Edit {
    Edit::Set(tables, key, Setting::Integer(to))
}

const fn range(tables: Tables, key: &'static str, min: f64, max: f64) -> Edit {
    Edit::Set(tables, key, Setting::Range(min, max))
}

const fn flag(tables: Tables, key: &'static str, to: bool) -> Edit {
    Edit::Set(tables, key, Setting::Flag(to))
}

const fn text(tables: Tables, key: &'static str, to: &'static str) -> Edit {
    Edit::Set(tables, key, Setting::Text(to))
}

/// All axes, in the order in which `fault-lab axes` lists them.
pub static AXES: &[Axis] = &[
    axis(
        "deadline",
        "time until which a message may be delivered; the latency objective keeps its share of it",
        &[
            value("500ms", &[Edit::Deadline(500)]),
            value("2500ms", &[Edit::Deadline(2_500)]),
            value("10s", &[Edit::Deadline(10_000)]),
            value("60s", &[Edit::Deadline(60_000)]),
        ],
    ),
    axis(
        "aim",
        "share of the deadline within which a message has its full priority weight",
        &[
            value("tenth", &[Edit::LatencyObjective(0.1)]),
            value("all", &[Edit::LatencyObjective(1.0)]),
        ],
    ),
    axis(
        "work",
        "time of a call as a share of the deadline",
        &[
            value("hundredth", &[Edit::CallTime(0.01)]),
            value("thirtieth", &[Edit::CallTime(1.0 / 30.0)]),
            value("tenth", &[Edit::CallTime(0.1)]),
        ],
    ),
    axis(
        "limit",
        "how a destination counts calls against its limit",
        &[
            value("none", &[text(KIND, "limit", "none")]),
            value("rate", &[text(KIND, "limit", "rate")]),
            value("window", &[text(KIND, "limit", "window")]),
        ],
    ),
    axis(
        "window",
        "span in which a destination counts calls",
        &[
            value("200ms", &[integer(KIND, "window_ms", 200)]),
            value("2s", &[integer(KIND, "window_ms", 2_000)]),
            value("10s", &[integer(KIND, "window_ms", 10_000)]),
        ],
    ),
    axis(
        "headroom",
        "limit of a destination over its mean traffic at load 1",
        &[
            value("none", &[range(KIND, "headroom", 1.0, 1.05)]),
            value("little", &[range(KIND, "headroom", 1.0, 1.5)]),
            value("ample", &[range(KIND, "headroom", 2.5, 4.0)]),
        ],
    ),
    axis(
        "refused-count",
        "whether rejected calls use the limit up",
        &[
            value("no", &[flag(KIND, "refused_count", false)]),
            value("yes", &[flag(KIND, "refused_count", true)]),
        ],
    ),
    axis(
        "tells-wait",
        "share of rejections with a Retry-After",
        &[
            value("never", &[integer(KIND, "tells_wait", 0)]),
            value("always", &[integer(KIND, "tells_wait", 1)]),
        ],
    ),
    axis(
        "wait",
        "Retry-After of rejections",
        &[
            value("short", &[range(KIND, "wait_ms", 50.0, 200.0)]),
            value("long", &[range(KIND, "wait_ms", 20_000.0, 70_000.0)]),
        ],
    ),
    axis(
        "endpoints",
        "endpoints of a destination, in the mean",
        &[
            value("one", &[range(FAM, "endpoints", 1.0, 1.0)]),
            value("four", &[range(FAM, "endpoints", 4.0, 4.0)]),
        ],
    ),
    axis(
        "connections",
        "connections that a destination takes, over the calls that it serves at once; idle ones count",
        &[
            value(
                "scarce",
                &[
                    range(KIND, "conns", 0.8, 1.2),
                    range(KIND, "least_conns", 4.0, 8.0),
                ],
            ),
            value("any", &[integer(KIND, "conns", 0)]),
        ],
    ),
    axis(
        "routes",
        "whether a destination's endpoints have rate and concurrency limits of their own",
        &[
            value("apart", &[text(KIND, "routes", "apart")]),
            value("shared", &[text(KIND, "routes", "shared")]),
        ],
    ),
    axis(
        "slots",
        "calls that a sender may have in flight at once",
        &[
            value(
                "one",
                &[
                    range(FAM, "slots_room", 1.0, 1.0),
                    integer(FAM, "least_slots", 1),
                ],
            ),
            value(
                "many",
                &[
                    range(FAM, "slots_room", 8.0, 10.0),
                    integer(FAM, "least_slots", 200),
                ],
            ),
        ],
    ),
    axis(
        "held",
        "messages that a sender may hold, as time of its traffic at load 1",
        &[
            value(
                "short",
                &[
                    range(FAM, "hold_s", 0.5, 1.0),
                    integer(FAM, "least_open", 4),
                ],
            ),
            value("long", &[range(FAM, "hold_s", 30.0, 40.0)]),
        ],
    ),
    axis(
        "attempts",
        "attempts that a message may take",
        &[
            value("one", &[integer(ALLOW, "max_attempts", 1)]),
            value("two", &[integer(ALLOW, "max_attempts", 2)]),
            value("thirty", &[integer(ALLOW, "max_attempts", 30)]),
        ],
    ),
    axis(
        "cancel",
        "whether calls may be cancelled",
        &[value("no", &[flag(ALLOW, "cancel", false)])],
    ),
    axis(
        "copies",
        "whether a hedged request may be in flight",
        &[
            value("no", &[flag(ALLOW, "second_copies", false)]),
            value("yes", &[flag(ALLOW, "second_copies", true)]),
        ],
    ),
    axis(
        "effect",
        "what a repeated delivery does, the same for all classes",
        &[
            value("safe", &[Edit::Effect(Effect::Idempotent)]),
            value("keyed", &[Edit::Effect(Effect::IdempotencyKey)]),
            value("unsafe", &[Edit::Effect(Effect::NonIdempotent)]),
            value("in-order", &[Edit::Effect(Effect::InOrder)]),
        ],
    ),
    axis(
        "classes",
        "number of classes, of equal shares",
        &[
            value("one", &[Edit::Classes(1)]),
            value("eight", &[Edit::Classes(8)]),
        ],
    ),
    axis(
        "tenants",
        "tenants and their shares",
        &[
            value("none", &[Edit::Tenants(0)]),
            value("ten", &[Edit::Tenants(10)]),
            value("small", &[Edit::SmallTenant]),
        ],
    ),
    axis(
        "worth",
        "spread of priority weights over the classes",
        &[value("hundredfold", &[Edit::PriorityWeightSpread(100.0)])],
    ),
    axis(
        "zones",
        "number of zones",
        &[
            value("one", &[Edit::Zones(1)]),
            value("six", &[Edit::Zones(6)]),
        ],
    ),
    axis(
        "prices",
        "what handshakes, waste, zones and late failures cost",
        &[
            value(
                "none",
                &[
                    Edit::Scale(PRICES, "cross_zone", 0.0),
                    Edit::Scale(PRICES, "waste", 0.0),
                    Edit::Scale(PRICES, "late_fail", 0.0),
                    Edit::Scale(PRICES, "handshake", 0.0),
                    Edit::Scale(FAM, "refused_price", 0.0),
                    Edit::Scale(FAM, "zone_fee", 0.0),
                ],
            ),
            value(
                "tenfold",
                &[
                    Edit::Scale(PRICES, "cross_zone", 10.0),
                    Edit::Scale(PRICES, "handshake", 10.0),
                    Edit::Scale(FAM, "zone_fee", 10.0),
                ],
            ),
        ],
    ),
    axis(
        "discovery",
        "how senders come by the list",
        &[
            value("pushed", &[text(DISCOVERY, "mode", "push")]),
            value(
                "scarce",
                &[
                    text(DISCOVERY, "mode", "ask"),
                    range(DISCOVERY, "capacity", 1.0, 1.0),
                ],
            ),
        ],
    ),
    axis(
        "traffic",
        "how traffic spreads over destinations",
        &[
            value("steep", &[range(FAM, "zipf", 1.5, 1.8)]),
            value("even", &[range(FAM, "zipf", 0.0, 0.1)]),
        ],
    ),
    axis(
        "load",
        "traffic over capacity on all days",
        &[value(
            "near-one",
            &[
                range(LOAD, "quiet", 0.9, 1.0),
                range(LOAD, "trouble", 0.95, 1.05),
                range(LOAD, "big", 0.95, 1.05),
            ],
        )],
    ),
];
