//! Compares the requests to discovery with recorded bytes, and parsed lists with recorded results.

use super::*;
use crate::net::clock::Clock;
use crate::net::http_golden as golden;
use crate::net::journal::UndeliveredOutcome;
use std::io::{Read, Write};

/// Accepts a connection, reads from it until the text ends with `end`, and sends `answer`. Returns the text read, in
/// which the listener's address is replaced by `DISCOVERY` and CRLF by LF.
fn request_to(listener: &std::net::TcpListener, end: &str, answer: &str) -> String {
    let mut stream = listener.accept().expect("a call").0;
    let mut received = String::new();
    let mut byte = [0];
    while !received.ends_with(end) {
        stream.read_exact(&mut byte).expect("more");
        received.push(char::from(byte[0]));
    }
    stream.write_all(answer.as_bytes()).expect("written");
    let address = listener.local_addr().expect("bound");
    received
        .replace(&address.to_string(), "DISCOVERY")
        .replace("\r\n", "\n")
}

#[test]
fn requests_to_discovery_match_recorded_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (_address_sender, agent) =
        tokio::sync::watch::channel(listener.local_addr().expect("bound"));
    let text = local.block_on(&runtime, async {
        let (inputs, _listed) = mpsc::unbounded_channel();
        let clients = DiscoveryClients {
            senders: 1,
            is_common_service: false,
            poll_interval: Duration::from_secs(1),
        };
        let folder =
            std::env::temp_dir().join(format!("message-sender-watch-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("created");
        let clock = Clock::resume(&folder).expect("resumed");
        let binding_times = BindingTimesFile::open(&folder, clock, false).expect("opened");
        std::fs::remove_dir_all(&folder).expect("removed");
        let grace = Duration::from_secs(1);
        let (freshness, reporting) = Freshness::new(true, grace, inputs.clone(), binding_times);
        tokio::task::spawn_local(reporting);
        let watching = watch(
            agent.clone(),
            41,
            1 << 20,
            clients,
            Backoff::new(clients, 1),
            freshness,
            inputs.clone(),
        );
        let watching = tokio::task::spawn_local(watching);
        let list = "{\"rev\":42,\"all\":false,\"targets\":[]}\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        let requests = tokio::task::spawn_blocking(move || {
            let first = request_to(&listener, "\r\n\r\n", &answer);
            let second = request_to(
                &listener,
                "\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[]\n",
            );
            let third = request_to(
                &listener,
                "\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            );
            (listener, first + &second + &third)
        });
        let (listener, watches) = requests.await.expect("three watches");
        watching.abort();
        let (queue, notices) = mpsc::unbounded_channel();
        let outcomes = [
            UndeliveredOutcome::Failed,
            UndeliveredOutcome::Returned {
                after_ms: Some(1500),
            },
            UndeliveredOutcome::Returned { after_ms: None },
        ];
        for (number, outcome) in (1..).zip(outcomes) {
            queue
                .send(OutcomeNotification {
                    number,
                    id: format!("m\"{number}"),
                    outcome,
                })
                .expect("taken");
        }
        tokio::task::spawn_local(post_notices(agent, notices, inputs));
        let posted = tokio::task::spawn_blocking(move || {
            request_to(
                &listener,
                "\"}\n{\"id\":\"m\\\"3\",\"state\":\"returned\"}\n",
                "HTTP/1.1 204 No Content\r\n\r\n",
            )
        });
        watches + &posted.await.expect("one request")
    });
    golden::compare("discovery_requests.txt", &text);
}

#[test]
fn parsed_lists_match_recorded_results() {
    let target = |state: &str| {
        serde_json::json!({ "uid": "s-1", "endpoint": "10.1.0.18:8000", "az": "a", "model": "one",
            "pod_group": 7, "state": state, "capacity_hint": 1.5, "boot_ms": 3 })
    };
    let mut required_keys_only = target("up");
    for key in ["az", "model", "capacity_hint"] {
        required_keys_only
            .as_object_mut()
            .expect("an object")
            .remove(key);
    }
    let mut without_destination = target("up");
    without_destination
        .as_object_mut()
        .expect("an object")
        .remove("pod_group");
    let mut invalid_address = target("up");
    invalid_address["endpoint"] = "nowhere".into();
    let targets = [
        target("up"),
        target("draining"),
        target("removed"),
        target("lost"),
        required_keys_only,
        without_destination,
        invalid_address,
    ];
    let list = parse_list(&serde_json::json!({ "rev": 9, "all": true, "targets": targets }))
        .expect("a list");
    let mut text = format!("version {}, full {}\n", list.version, list.full);
    for listed in &list.entries {
        text += &format!(
            "{} {} zone {:?} kind {:?} destination {} status {} weight {}\n",
            listed.uid,
            listed.address,
            listed.zone,
            listed.kind,
            listed.destination,
            listed.status as u8,
            listed.weight
        );
    }
    for key in ["rev", "all", "targets"] {
        let mut line = serde_json::json!({ "rev": 9, "all": true, "targets": [] });
        line.as_object_mut().expect("an object").remove(key);
        text += &format!("without {key}: {}\n", parse_list(&line).is_some());
    }
    golden::compare("discovery_lists.txt", &text);
}
