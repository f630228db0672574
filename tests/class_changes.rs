//! Tests that a message accepted before changed terms of its class bind keeps the stricter terms, on a real sender
//! process. Each endpoint fails the first call with a message, so that only a message that may be repeated comes again.

mod node;

use node::*;
use std::collections::BTreeSet;
use std::sync::Mutex;

/// Text of the class `order` in the configuration with which each sender starts.
const AT_MOST_ONCE_ORDER: &str =
    r#""name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;
const IDEMPOTENT_ORDER: &str = r#""name":"order","aim":4.0,"deadline":20.0,"effect":"idempotent""#;
const RENAMED_ORDER: &str =
    r#""name":"order-ii","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;
/// Line that the sender logs once messages get the new terms alone.
const EARLIER_TERMS_ENDED: &str = "classes: earlier terms have ended";

/// A sender, its stand-in for discovery, and the endpoint of destination 7.
struct Fleet {
    agent: Agent,
    endpoint: Endpoint,
}

impl Fleet {
    fn new() -> Self {
        let failed: Mutex<BTreeSet<String>> = Mutex::default();
        let endpoint = Endpoint::new(move |request, _| {
            let id = request.ids().remove(0);
            if failed.lock().expect("not poisoned").insert(id) {
                Reply::Response("500 Oops", String::new())
            } else {
                OK
            }
        });
        let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])]);
        Fleet { agent, endpoint }
    }

    fn has_failed(&self, id: &str) -> bool {
        let notice = format!(r#"{{"id":"{id}","state":"failed"}}"#);
        self.agent.notices().contains(&notice)
    }

    fn assert_called_once(&self, id: &str) {
        wait_until("the message has ended or was repeated", || {
            self.has_failed(id) || self.endpoint.count_of(id) > 1
        });
        assert_eq!(self.endpoint.count_of(id), 1, "{id} was repeated");
    }

    fn assert_repeated(&self, id: &str) {
        wait_until("the message is repeated", || {
            self.endpoint.count_of(id) == 2
        });
    }
}

fn submit(node: &Node, class: &str, id: &str) {
    assert_eq!(node.submit(class, id, 7, 20_000, b"x"), 202, "{id}");
}

fn write_config(node: &Node, from: &str, to: &str) {
    let path = node.folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("the configuration");
    assert!(text.contains(from), "{from}");
    std::fs::write(path, text.replace(from, to)).expect("written");
}

/// Changes the configuration, sends SIGHUP, and waits until the sender has applied it.
fn reload(node: &Node, from: &str, to: &str) {
    let applied = || {
        let log = node.log.lock().expect("not poisoned");
        let lines = log.iter();
        lines
            .filter(|line| line.contains("SIGHUP: configuration applied"))
            .count()
    };
    let before = applied();
    write_config(node, from, to);
    node.hang_up();
    wait_until("the configuration is applied", || applied() > before);
}

/// Starts a fleet whose class `order` becomes idempotent right before this returns.
fn start_with_looser_effect() -> (Fleet, Node) {
    let fleet = Fleet::new();
    let node = Node::new(&fleet.agent).ready();
    reload(&node, AT_MOST_ONCE_ORDER, IDEMPOTENT_ORDER);
    (fleet, node)
}

/// Asserts that a message which is accepted now is not repeated.
fn assert_new_message_called_once(fleet: &Fleet, node: &Node) {
    submit(node, "order", "between");
    fleet.assert_called_once("between");
}

/// Asserts that a message which is accepted once the earlier terms have ended is repeated.
fn assert_repeated_after_earlier_terms(fleet: &Fleet, node: &Node) {
    wait_until("the new terms hold alone", || {
        node.logged(EARLIER_TERMS_ENDED)
    });
    submit(node, "order", "after");
    fleet.assert_repeated("after");
}

// guards against review/6: SIGHUP made a class safe to repeat at once, and messages accepted before that binds ran twice
#[test]
fn message_accepted_before_looser_effect_binds_is_called_once() {
    let (fleet, node) = start_with_looser_effect();
    assert_new_message_called_once(&fleet, &node);
    assert_repeated_after_earlier_terms(&fleet, &node);
}

// guards against a stricter effect that binds late: clients may hold a message to it from the signal on
#[test]
fn message_accepted_before_stricter_effect_binds_is_called_once() {
    let fleet = Fleet::new();
    let node = Node::configured_with(&fleet.agent, |text| {
        text.replace(AT_MOST_ONCE_ORDER, IDEMPOTENT_ORDER)
    })
    .ready();
    submit(&node, "order", "before");
    fleet.assert_repeated("before");
    reload(&node, IDEMPOTENT_ORDER, AT_MOST_ONCE_ORDER);
    assert_new_message_called_once(&fleet, &node);
}

// guards against a restart that forgets the earlier terms of a class while new ones do not bind yet
#[test]
fn message_accepted_after_kill_before_looser_effect_binds_is_called_once() {
    let (fleet, mut node) = start_with_looser_effect();
    node.kill();
    let node = node.successor_as_configured().ready();
    assert_new_message_called_once(&fleet, &node);
}

// guards against a start that takes a configuration replaced while the process was down as in force before the start
#[test]
fn message_accepted_after_start_with_replaced_configuration_is_called_once() {
    let fleet = Fleet::new();
    let mut node = Node::new(&fleet.agent).ready();
    node.kill();
    write_config(&node, AT_MOST_ONCE_ORDER, IDEMPOTENT_ORDER);
    let node = node.successor_as_configured().ready();
    assert_new_message_called_once(&fleet, &node);
}

// guards against an upgrade whose successor forgets the earlier terms of a class while new ones do not bind yet
#[test]
fn message_accepted_by_successor_before_looser_effect_binds_is_called_once() {
    let (fleet, predecessor) = start_with_looser_effect();
    let node = predecessor.successor_as_configured().ready();
    assert_new_message_called_once(&fleet, &node);
    assert_repeated_after_earlier_terms(&fleet, &node);
}

// guards against a restart or an upgrade that gives a message from the journal or a hand-over the new terms of its class
#[test]
fn pending_message_from_before_new_terms_keeps_stricter_effect_over_kill_and_upgrade() {
    for is_upgrade in [false, true] {
        let fleet = Fleet::new();
        let mut node = Node::new(&fleet.agent).ready();
        assert_eq!(node.admin_command("disable", "s-1"), 200);
        submit(&node, "order", "before");
        reload(&node, AT_MOST_ONCE_ORDER, IDEMPOTENT_ORDER);
        submit(&node, "order", "between");
        if !is_upgrade {
            node.kill();
        }
        let next = node.successor_as_configured().ready();
        wait_until("the new terms hold alone", || {
            next.logged(EARLIER_TERMS_ENDED)
        });
        assert_eq!(next.admin_command("enable", "s-1"), 200);
        for id in ["before", "between"] {
            fleet.assert_called_once(id);
        }
    }
}

// guards against a class that is dropped and added again without its stricter terms, by two SIGHUPs before either binds
#[test]
fn class_dropped_and_added_again_keeps_stricter_effect_until_new_one_binds() {
    let fleet = Fleet::new();
    let node = Node::new(&fleet.agent).ready();
    reload(&node, AT_MOST_ONCE_ORDER, RENAMED_ORDER);
    submit(&node, "order", "dropped");
    reload(&node, RENAMED_ORDER, IDEMPOTENT_ORDER);
    submit(&node, "order", "added-again");
    submit(&node, "order-ii", "renamed");
    for id in ["dropped", "added-again", "renamed"] {
        fleet.assert_called_once(id);
    }
}

// guards against a refusal of messages whose class is dropped by a configuration that does not bind yet
#[test]
fn dropped_class_is_accepted_until_new_terms_bind_and_refused_then() {
    let fleet = Fleet::new();
    let node = Node::new(&fleet.agent).ready();
    reload(&node, AT_MOST_ONCE_ORDER, RENAMED_ORDER);
    submit(&node, "order", "between");
    wait_until("the new terms hold alone", || {
        node.logged(EARLIER_TERMS_ENDED)
    });
    assert_eq!(node.submit("order", "after", 7, 20_000, b"x"), 400);
    submit(&node, "order-ii", "renamed");
}
