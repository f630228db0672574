//! Senders that keep to a freeze calendar by the registry's own program, also where lists come from a discovery that knows no
//! calendar.

mod node;

use node::registry::Registry;
use node::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

fn registry() -> Registry {
    Registry::new(&[], "")
}

fn now_s() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_secs() as i64
}

/// A civil time in UTC, so many seconds from now.
fn civil(in_s: i64) -> String {
    let at = now_s() + in_s;
    let (days, rest) = (at.div_euclid(86_400), at.rem_euclid(86_400));
    // days to a date, by the era of 400 years
    let shifted = days + 719_468;
    let (era, day) = (shifted.div_euclid(146_097), shifted.rem_euclid(146_097));
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let (day, month, turned) = (
        day - (153 * month + 2) / 5 + 1,
        (month + 2) % 12 + 1,
        i64::from(month >= 10),
    );
    let year = year + era * 400 + turned;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}",
        rest / 3600,
        rest / 60 % 60,
        rest % 60
    )
}

fn calendar(begin: i64, end: i64) -> Value {
    json!({ "windows": { "term": { "zone": "UTC", "begin": civil(begin), "end": civil(end),
        "reason": "first days of term", "owner": "lan" } } })
}

fn target(address: SocketAddr) -> Value {
    json!({ "endpoint": address, "pod_group": 7, "az": "a", "model": "one" })
}

fn status(registry: &Registry, method: &str, path: &str, body: &Value) -> u16 {
    registry
        .request(method, path, body)
        .map_or(0, |(status, _)| status)
}

fn report(node: &Node) -> Value {
    serde_json::from_str(&operator_response(node, "GET /freeze")).unwrap_or_default()
}

/// A sender whose lists come from an agent, and its calendar from the registry.
fn sender(agent: &Agent, registry: &Registry) -> Node {
    let part = format!(
        r#""freeze":{{"poll_ms":200,"unknown_ms":1500,"ramp_ms":300,"others":["{}"]}},"#,
        registry.address
    );
    Node::configured_with(agent, |text| with_members(&text, &part)).ready()
}

#[test]
fn widening_changes_are_held_by_registry_and_senders_and_relieving_ones_pass() {
    let (one, two) = (Endpoint::new(|_, _| OK), Endpoint::new(|_, _| OK));
    let registry = registry();
    registry.add_endpoint("s-1", &one, 7);
    registry.add_endpoint("s-2", &two, 7);
    // this discovery knows no calendar
    let entry = |uid, endpoint: &Endpoint, state| (uid, endpoint.address, "one", 7, state);
    let agent = Agent::new(vec![list(&[
        entry("s-1", &one, "up"),
        entry("s-2", &two, "up"),
    ])]);
    let nodes = [sender(&agent, &registry), sender(&agent, &registry)];
    wait_until("both know the calendar", || {
        nodes.iter().all(|node| report(node)["calendar"] == 0)
    });
    registry.request_until_ok("PUT", "/v1/freeze", &calendar(-60, 3600));
    wait_until("the window is on everywhere", || {
        nodes
            .iter()
            .all(|node| report(node)["on"]["term"]["owner"] == "lan")
    });
    // at the registry
    let added = target("127.0.0.1:9".parse().expect("an address"));
    assert_eq!(status(&registry, "PUT", "/v1/endpoints/s-3", &added), 409);
    assert_eq!(
        status(&registry, "POST", "/v1/endpoints/s-1/drain", &Value::Null),
        200
    );
    assert_eq!(
        status(&registry, "POST", "/v1/endpoints/s-2/drain", &Value::Null),
        409
    );
    assert_eq!(
        status(
            &registry,
            "POST",
            "/v1/endpoints/s-2/drain?force=1",
            &Value::Null
        ),
        200
    );
    // at each sender: the new endpoint is held, the drain in the same news is obeyed
    let three = Endpoint::new(|_, _| OK);
    agent.announce(changes(
        8,
        &[entry("s-3", &three, "up"), entry("s-1", &one, "draining")],
    ));
    wait_until("held", || {
        nodes
            .iter()
            .all(|node| report(node)["held"] == json!(["s-3"]))
    });
    let before = one.count();
    for (n, node) in (0..8).zip(nodes.iter().cycle()) {
        deliver(node, &format!("m{n}"), 7);
    }
    assert_eq!((one.count() - before, three.count()), (0, 0));
    assert!(two.count() >= 8);
    // an upgrade goes on holding it
    *agent.lines.lock().expect("not poisoned") = vec![list(&[
        entry("s-1", &one, "draining"),
        entry("s-2", &two, "up"),
        entry("s-3", &three, "up"),
    ])];
    let next = nodes[0].successor_as_configured().ready();
    wait_until("the next process holds it too", || {
        report(&next)["held"] == json!(["s-3"])
    });
    // broken glass by two, for this destination
    let glass = |by: &[&str]| {
        json!({ "by": by, "reason": "s-2 fails", "scope": { "destinations": [7] },
            "until_ms": (now_s() + 600) * 1000 })
    };
    assert_eq!(
        status(&registry, "POST", "/v1/freeze/glass", &glass(&["lan"])),
        400
    );
    assert_eq!(
        status(
            &registry,
            "POST",
            "/v1/freeze/glass",
            &glass(&["lan", "minh"])
        ),
        200
    );
    wait_until("admitted", || {
        [&next, &nodes[1]]
            .iter()
            .all(|node| report(node)["held"] == json!([]))
    });
    wait_until("used", || {
        deliver(&next, &format!("g{}", three.count() + two.count()), 7);
        three.count() > 0
    });
    assert_eq!(
        status(
            &registry,
            "PUT",
            "/v1/endpoints/s-3",
            &target(three.address)
        ),
        200
    );
    assert_eq!(
        status(&registry, "DELETE", "/v1/freeze/glass", &Value::Null),
        200
    );
    assert_eq!(status(&registry, "PUT", "/v1/endpoints/s-4", &added), 409);
}

#[test]
fn known_windows_hold_without_the_registry_and_unknown_calendar_holds_for_its_time() {
    let one = Endpoint::new(|_, _| OK);
    let mut registry = registry();
    // written while the registry could be asked: on in some seconds, for as long again
    wait_until("it answers", || {
        status(&registry, "GET", "/v1/freeze", &Value::Null) == 200
    });
    registry.request_until_ok("PUT", "/v1/freeze", &calendar(14, 3600));
    let agent = Agent::new(vec![list(&[("s-1", one.address, "one", 7, "up")])]);
    let node = sender(&agent, &registry);
    wait_until("it knows the calendar", || report(&node)["calendar"] == 1);
    assert_eq!(report(&node)["on"], json!({}));
    registry.kill();
    wait_until("the window begins without a word", || {
        report(&node)["on"]["term"].is_object()
    });
    agent.announce(changes(8, &[("s-2", one.address, "one", 7, "up")]));
    wait_until("held", || report(&node)["held"] == json!(["s-2"]));
    wait_until("it says so", || node.logged("freeze: s-2 is held"));
    // one that starts now knows none: it serves with what it has, and holds what widens for its time
    let more = changes(8, &[("s-2", one.address, "one", 7, "up")]);
    let agent = Agent::new(vec![list(&[("s-1", one.address, "one", 7, "up")]), more]);
    let new = sender(&agent, &registry);
    deliver(&new, "m1", 7);
    wait_until("held at first", || new.logged("freeze: s-2 is held"));
    wait_until("admitted after its time", || {
        new.logged("freeze: s-2 is admitted")
    });
}

#[test]
fn no_object_holds_nothing_and_sends_no_poll() {
    let one = Endpoint::new(|_, _| OK);
    let registry = registry();
    wait_until("it answers", || {
        status(&registry, "GET", "/v1/freeze", &Value::Null) == 200
    });
    registry.request_until_ok("PUT", "/v1/freeze", &calendar(-60, 3600));
    let agent = Agent::new(vec![list(&[("s-1", one.address, "one", 7, "up")])]);
    let node = Node::new(&agent).ready();
    assert_eq!(
        (
            node.operator_status("GET /freeze", ""),
            node.operator_status("POST /freeze", "")
        ),
        (404, 405)
    );
    agent.announce(changes(
        8,
        &[
            ("s-1", one.address, "one", 7, "draining"),
            ("s-2", one.address, "one", 7, "up"),
        ],
    ));
    deliver(&node, "m1", 7);
    assert!(!node.logged("freeze"));
}

#[test]
fn freeze_report_keeps_its_keys_and_types() {
    let one = Endpoint::new(|_, _| OK);
    let registry = registry();
    wait_until("it answers", || {
        status(&registry, "GET", "/v1/freeze", &Value::Null) == 200
    });
    registry.request_until_ok("PUT", "/v1/freeze", &calendar(-60, 3600));
    let agent = Agent::new(vec![list(&[("s-1", one.address, "one", 7, "up")])]);
    let node = sender(&agent, &registry);
    wait_until("it knows the window", || {
        report(&node)["on"]["term"].is_object()
    });
    agent.announce(changes(8, &[("s-2", one.address, "one", 7, "up")]));
    wait_until("an entry is held", || {
        report(&node)["held"] == json!(["s-2"])
    });
    let text = operator_response(&node, "GET /freeze");
    let report: Value = serde_json::from_str(&text).expect("JSON");
    let until_ms = report["on"]["term"]["until_ms"].as_u64().expect("a time");
    let on = json!({ "term": { "until_ms": until_ms, "reason": "first days of term", "owner": "lan", "holds": [],
        "scope": { "zones": [], "destinations": [], "tenants": [] } } });
    let expected =
        json!({ "calendar": 1, "on": on, "held": ["s-2"], "held_ever": 1, "admitted": 0 });
    assert_eq!(text.trim_end(), expected.to_string());
}
