//! Senders that agree on rules by the registry's own program, which `cargo test --workspace` builds beside the sender's.

mod node;

use node::registry::Registry;
use node::*;
use serde_json::{Value, json};

fn class(effect: Value, in_order: bool) -> Value {
    json!({ "accepted": true, "effect": effect, "attempts": 5, "in_order": in_order, "keyed_by": "reader",
        "gap_ms": 100 })
}

fn rules(name: &str) -> Value {
    let charge = class(json!("at_most_once"), true);
    let other = match name {
        "webhook" => class(json!({ "deduplicated": { "window_ms": 9000 } }), false),
        _ => class(json!("at_most_once"), false),
    };
    json!({ "classes": { "charge": charge, name: other }, "limits": { "calls": 6 } })
}

fn fallback_rules() -> Value {
    json!({ "classes": { "charge": class(json!("at_most_once"), true) }, "limits": { "calls": 2 } })
}

fn registry() -> Registry {
    let files = [
        ("floor.json", fallback_rules().to_string()),
        ("rules.json", rules("webhook").to_string()),
    ];
    Registry::new(
        &files,
        "[agreement]\nlease_ms = 2000\nfloor = \"floor.json\"\nrules = \"rules.json\"\n",
    )
}

/// A sender that agrees by it.
fn sender(registry: &Registry, name: &str) -> Node {
    registry.sender(
        name,
        &format!(r#""agreement":{{"floor":{}}},"#, fallback_rules()),
    )
}

fn acts_on(node: &Node) -> Value {
    let report: Value =
        serde_json::from_str(&operator_response(node, "GET /agreement")).expect("JSON");
    report["acts_on"].clone()
}

fn complete(version: u64) -> Value {
    json!({ "version": version, "whole": true })
}

#[test]
fn agreed_rules_apply_and_fallback_rules_hold_without_the_registry() {
    let endpoint = Endpoint::new(|_, _| OK);
    let mut registry = self::registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    let senders = [sender(&registry, "a"), sender(&registry, "b")];
    wait_until("both act on the first version", || {
        senders.iter().all(|node| acts_on(node) == complete(1))
    });
    let taken = |node: &Node, class: &str, id: &str| node.submit(class, id, 7, 20_000, b"x");
    assert_eq!(
        ["webhook", "order"].map(|class| taken(&senders[0], class, class)),
        [202, 429]
    );
    registry.request_until_ok("PUT", "/v1/rules", &rules("order"));
    wait_until("both act on the second", || {
        senders.iter().all(|node| acts_on(node) == complete(2))
    });
    assert_eq!(
        ["webhook", "order"].map(|class| taken(&senders[1], class, &format!("2-{class}"))),
        [429, 202]
    );
    // no leases: the floor, on which they serve
    registry.kill();
    wait_until("both are on the floor", || {
        senders.iter().all(|node| acts_on(node) == Value::Null)
    });
    wait_until("they say so", || {
        senders
            .iter()
            .all(|node| node.logged("agreement: the lease has expired"))
    });
    assert_eq!(
        ["order", "charge"].map(|class| taken(&senders[0], class, &format!("3-{class}"))),
        [429, 202]
    );
    wait_until("delivered", || endpoint.count_of("3-charge") == 1);
    registry.start();
    wait_until("both are back", || {
        senders.iter().all(|node| acts_on(node) == complete(2))
    });
    // an upgrade begins on the floor and asks for itself
    let next = senders[0].successor_as_configured().ready();
    wait_until("the next process has a lease of its own", || {
        acts_on(&next) == complete(2)
    });
    wait_until("it says so", || {
        next.logged("agreement: on the fallback rules until a lease is granted")
    });
}

#[test]
fn other_fallback_rules_get_no_lease_and_are_logged() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = self::registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    let node = sender(&registry, "a");
    wait_until("it agrees", || acts_on(&node) == complete(1));
    let path = node.folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("its configuration");
    let other = text.replace(r#""limits":{"calls":2}"#, r#""limits":{"calls":1}"#);
    assert_ne!(other, text);
    std::fs::write(&path, other).expect("written");
    node.hang_up();
    wait_until("it is told why", || {
        node.logged("the floor is not the one that is agreed here")
    });
    assert_eq!(acts_on(&node), Value::Null);
    // off by SIGHUP: own settings alone
    std::fs::write(&path, config(registry.address, 3.0, 5.0, 1024)).expect("written");
    node.hang_up();
    wait_until("it is off", || {
        node.operator_status("GET /agreement", "") == 404
    });
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
}

#[test]
fn no_object_sends_no_lease_request() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = self::registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    let mut agent = Agent::new(Vec::new());
    agent.address = registry.address;
    let node = Node::new(&agent).ready();
    assert_eq!(
        (
            node.operator_status("GET /agreement", ""),
            node.operator_status("POST /agreement", "")
        ),
        (404, 405)
    );
    assert!(!node.logged("agreement"));
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    registry.request_until_ok("GET", "/v1/rules", &Value::Null);
    let leases = registry
        .request("GET", "/v1/rules", &Value::Null)
        .expect("an answer")
        .1["leases"]
        .clone();
    assert_eq!(leases, json!([]));
}
