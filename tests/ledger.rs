//! Senders that hold a limit together by the registry's own program: while they want more than it, once it is lowered, while
//! the keeper is gone, and across a restart and an upgrade.

mod node;

use node::registry::Registry;
use node::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const SENDERS: u32 = 3;
/// Thousandths of a call a second that each may use without asking.
const FALLBACK_RATE: u64 = 500;
const LEASE: Duration = Duration::from_millis(800);

fn registry() -> Registry {
    let lease = LEASE.as_millis();
    let fallback = format!("floors = {{ rate = {FALLBACK_RATE} }}");
    Registry::new(
        &[],
        &format!("[ledger]\nlease_ms = {lease}\nsenders = {SENDERS}\n{fallback}\n"),
    )
}

fn sender(registry: &Registry, name: &str) -> Node {
    registry.sender(
        name,
        &format!(r#""ledger":{{"senders":{SENDERS},"floors":{{"rate":{FALLBACK_RATE}}}}},"#),
    )
}

fn set_limit(registry: &Registry, total: u64) {
    registry.request_until_ok("PUT", "/v1/limits/rate/7", &json!({ "total": total }));
}

fn report(node: &Node) -> Value {
    serde_json::from_str(&operator_response(node, "GET /ledger")).expect("JSON")
}

/// The part of destination 7's rate that a sender has.
fn allocated_rate(node: &Node) -> Option<u64> {
    let report = report(node);
    let parts = report["parts"].as_array()?;
    parts.iter().find(|part| part["key"] == "rate/7")?["part"].as_u64()
}

static MESSAGES: AtomicUsize = AtomicUsize::new(0);

/// Keeps every sender at more than it may send for so long; how many calls came meanwhile, from `after` on, and in what time.
fn overload(nodes: &[&Node], endpoint: &Endpoint, after: Duration, time: Duration) -> (usize, f64) {
    let (begin, mut before) = (Instant::now(), None);
    while begin.elapsed() < after + time {
        for node in nodes {
            let number = MESSAGES.fetch_add(1, Ordering::SeqCst);
            node.submit("webhook", &format!("p{number}"), 7, 900, b"x");
        }
        if begin.elapsed() >= after {
            before.get_or_insert_with(|| (endpoint.count(), Instant::now()));
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    let (count, since) = before.expect("the time has begun");
    (endpoint.count() - count, since.elapsed().as_secs_f64())
}

/// The most that a limit, calls a second, lets through in a time: what is dealt up to a lease before may be used in it, and
/// each sender may have saved one.
fn max_calls(limit: f64, time: f64) -> usize {
    let lease = LEASE.as_secs_f64() * 1.03;
    (limit * (time + lease)).ceil() as usize + SENDERS as usize
}

#[test]
fn limit_is_shared_and_fallback_quotas_hold_without_the_registry() {
    let endpoint = Endpoint::new(|_, _| OK);
    let mut registry = registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    set_limit(&registry, 20_000);
    let nodes = ["a", "b", "c"].map(|name| sender(&registry, name));
    let nodes: Vec<&Node> = nodes.iter().collect();
    // one alone may have nearly all of it
    overload(&nodes[..1], &endpoint, Duration::ZERO, 2 * LEASE);
    wait_until("a large part", || {
        overload(&nodes[..1], &endpoint, Duration::ZERO, LEASE / 4);
        allocated_rate(nodes[0]).is_some_and(|part| part > 12_000)
    });
    // all together have no more than the limit, beside one call that each may have saved, and make use of it
    let span = Duration::from_millis(2500);
    let (calls, time) = overload(&nodes, &endpoint, 2 * LEASE, span);
    assert!(calls <= max_calls(20.0, time), "{calls} calls in {time} s");
    assert!(
        calls as f64 > 20.0 * time / 3.0,
        "{calls} calls in {time} s"
    );
    let allocated: u64 = nodes.iter().filter_map(|node| allocated_rate(node)).sum();
    assert!(
        allocated + u64::from(SENDERS) * FALLBACK_RATE <= 20_000,
        "{allocated} allocated"
    );
    // lowered: within a lease and its drift all go by it
    set_limit(&registry, 5_000);
    let (calls, time) = overload(&nodes, &endpoint, LEASE + LEASE / 4, span);
    assert!(calls <= max_calls(5.0, time), "{calls} calls in {time} s");
    // no keeper: the fallback, on which they serve
    registry.kill();
    let (calls, time) = overload(&nodes, &endpoint, LEASE + LEASE / 4, span);
    let fallback = f64::from(SENDERS) * FALLBACK_RATE as f64 / 1000.0;
    assert!(
        (1..=max_calls(fallback, time)).contains(&calls),
        "{calls} calls in {time} s"
    );
    assert!(nodes.iter().all(|node| allocated_rate(node).is_none()));
    // it comes back and deals only once all that it may have dealt before has lapsed
    registry.start();
    wait_until("parts are had again", || {
        overload(&nodes, &endpoint, Duration::ZERO, LEASE / 4);
        nodes
            .iter()
            .any(|node| allocated_rate(node).is_some_and(|part| part > 0))
    });
    assert!(
        nodes
            .iter()
            .any(|node| node.logged("ledger: lease request failed"))
    );
}

#[test]
fn successor_starts_on_fallback_and_two_processes_share_one_allocation() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    set_limit(&registry, 20_000);
    let node = sender(&registry, "a");
    wait_until("a large part", || {
        overload(&[&node], &endpoint, Duration::ZERO, LEASE / 4);
        allocated_rate(&node).is_some_and(|part| part > 12_000)
    });
    let next = node.successor_as_configured().ready();
    // what the old process may still use is not dealt to the new one
    let span = 2 * LEASE;
    let (calls, time) = overload(&[&next], &endpoint, Duration::ZERO, span);
    assert!(calls <= max_calls(20.0, time), "{calls} calls in {time} s");
    wait_until("a part of its own", || {
        overload(&[&next], &endpoint, Duration::ZERO, LEASE / 4);
        allocated_rate(&next).is_some_and(|part| part > 12_000)
    });
    assert!(next.logged("ledger: on the fallback quotas until a lease is granted"));
}

#[test]
fn other_fallback_quotas_get_no_lease_and_no_object_sends_no_request() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    set_limit(&registry, 20_000);
    let other = registry.sender("a", r#""ledger":{"senders":4,"floors":{"rate":500}},"#);
    wait_until("it is told why", || {
        other.logged("the floor is not the one that is agreed here")
    });
    assert_eq!(report(&other)["granted"], 0);
    let off = registry.sender("b", "");
    assert_eq!(
        (
            off.operator_status("GET /ledger", ""),
            off.operator_status("POST /ledger", "")
        ),
        (404, 405)
    );
    assert!(!off.logged("ledger"));
    let limits = registry
        .request("GET", "/v1/limits", &Value::Null)
        .expect("an answer")
        .1;
    assert_eq!(
        (&limits["lives"], &limits["limits"]["rate/7"]["total"]),
        (&json!(0), &json!(20_000))
    );
    // a no names its code and what can be done
    let (status, _) = registry
        .request("PUT", "/v1/limits/rate/7", &json!({ "total": 1499 }))
        .expect("an answer");
    assert_eq!(status, 409);
    assert_eq!(
        registry
            .request("PUT", "/v1/limits/out/7", &json!({ "total": 9 }))
            .expect("an answer")
            .0,
        400
    );
}

#[test]
fn quorum_health_verdict_reaches_sender_that_did_not_call() {
    let up = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let here = up.clone();
    let endpoint = Endpoint::new(move |_, _| match here.load(Ordering::SeqCst) {
        true => OK,
        false => Reply::Close,
    });
    let registry = registry();
    registry.add_endpoint("s-1", &endpoint, 7);
    let nodes = ["a", "b", "c"].map(|name| sender(&registry, name));
    let verdict = |node: &Node| {
        let report = report(node);
        report["verdicts"]
            .as_array()
            .and_then(|all| all.first().map(|verdict| verdict["out"].clone()))
    };
    // one alone is not believed
    up.store(false, Ordering::SeqCst);
    let fail = |nodes: &[Node]| {
        for node in nodes {
            let number = MESSAGES.fetch_add(1, Ordering::SeqCst);
            node.submit("webhook", &format!("v{number}"), 7, 900, b"x");
        }
        std::thread::sleep(Duration::from_millis(40));
    };
    wait_until("the first knows by itself", || {
        fail(&nodes[..1]);
        nodes[0].logged("destination 7 ejected")
    });
    std::thread::sleep(2 * LEASE);
    assert_eq!(nodes.iter().filter_map(verdict).count(), 0);
    wait_until("two agree, and the third knows", || {
        fail(&nodes[..2]);
        verdict(&nodes[2]) == Some(json!(true))
    });
    assert!(nodes[2].logged("ledger: destination 7 is unavailable"));
    up.store(true, Ordering::SeqCst);
    wait_until("all know that it is back", || {
        fail(&nodes[..2]);
        nodes.iter().all(|node| verdict(node) == Some(json!(false)))
    });
}
