//! A split of a range of the ledger, under writes and while the leader is killed.

use crate::cluster::{Cluster, PATIENCE};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const LEDGER: &str = "[ledger]\nlease_ms = 500\nsenders = 3\nfloors = { rate = 10 }\n";

/// Writes limits of thirty destinations in turn for as long as asked; those that were answered, by destination.
fn write_limits(cluster: &Cluster, until: &dyn Fn() -> bool) -> BTreeMap<u64, u64> {
    let (mut answered, mut unsure) = (BTreeMap::new(), BTreeSet::new());
    let started = Instant::now();
    for write in 0u64.. {
        let (destination, total) = (write * 7 % 30, 1000 + write);
        let body = json!({ "total": total }).to_string();
        let running = cluster
            .replicas
            .iter()
            .position(Option::is_some)
            .expect("one runs");
        match cluster.request(
            running,
            "PUT",
            &format!("/v1/limits/rate/{destination}"),
            &body,
        ) {
            Some((200, _)) => drop((
                answered.insert(destination, total),
                unsure.remove(&destination),
            )),
            // it may be done yet
            _ => drop(unsure.insert(destination)),
        }
        if until() {
            break;
        }
        assert!(started.elapsed() < 2 * PATIENCE, "the split never ends");
    }
    answered.retain(|destination, _| !unsure.contains(destination));
    answered
}

fn splits(cluster: &Cluster) -> Option<Value> {
    let running = cluster.replicas.iter().position(Option::is_some)?;
    let (_, text) = cluster.request(running, "GET", "/v1/splits", "")?;
    serde_json::from_str(&text).ok()
}

fn finished_split(cluster: &Cluster, count: usize) -> Option<Value> {
    splits(cluster)?["ended"]
        .as_array()
        .filter(|ended| ended.len() >= count)?
        .last()
        .cloned()
}

/// Begins one split, once none is under way; how many have ended when it has. A slow machine may answer too late for what
/// it has done, so what was begun is looked for before it is asked again: a second one would be another split.
fn begin_split(cluster: &Cluster, replica: usize, split_request: &Value) -> usize {
    let started = Instant::now();
    let mut before = None;
    loop {
        if let Some(report) = splits(cluster) {
            let under_way = !report["under_way"].is_null();
            let ended = report["ended"].as_array().map_or(0, Vec::len);
            match before {
                None if under_way => {}
                Some(before) if under_way || ended > before => return before + 1,
                _ => {
                    before = Some(ended);
                    if cluster
                        .request(replica, "POST", "/v1/splits", &split_request.to_string())
                        .is_some_and(|(s, _)| s == 200)
                    {
                        return ended + 1;
                    }
                }
            }
        }
        assert!(started.elapsed() < PATIENCE, "no split begins");
    }
}

#[test]
fn split_under_writes_finds_a_planted_fault_and_is_cut_over_while_the_leader_is_killed() {
    let mut cluster = Cluster::new(3, LEDGER);
    let leader = cluster.leader();
    cluster.request_until_success(
        leader,
        "PUT",
        "/v1/limits/rate/0",
        &json!({ "total": 500 }).to_string(),
    );
    write_limits(&cluster, &|| has_passed(Duration::from_millis(300)));
    // a rehearsal: found by the walk or a query, and undone
    let split_request = |rehearse: Value| json!({ "first": 0, "at": 15, "rehearse": rehearse });
    let rehearsed = begin_split(&cluster, leader, &split_request(json!("lost")));
    let asks = || {
        cluster.request(
            leader,
            "POST",
            "/v1/query",
            r#"{"range":{"from":0,"to":null}}"#,
        );
        finished_split(&cluster, rehearsed).is_some()
    };
    write_limits(&cluster, &asks);
    let undone = finished_split(&cluster, rehearsed).expect("ended");
    assert!(undone["flagged"].as_u64() > Some(0), "{undone}");
    let why = undone["undone"].as_str().expect("a reason");
    assert!(
        why.contains("disagree") && why.contains("[ledger::split::flags]"),
        "{why}"
    );
    assert!(
        undone["flags"][0]["difference"].is_string() && undone["flags"][0]["fence"].is_u64(),
        "{undone}"
    );
    // without it: cut over, though the leader is killed on the way, and no answered write is lost
    let count = begin_split(&cluster, leader, &split_request(Value::Null));
    assert_eq!((rehearsed, count), (1, 2), "each began once");
    std::thread::sleep(Duration::from_millis(400));
    cluster.kill(leader);
    let answered = write_limits(&cluster, &|| finished_split(&cluster, count).is_some());
    let done = finished_split(&cluster, count).expect("ended");
    assert_eq!(
        (&done["undone"], &done["flagged"]),
        (&Value::Null, &json!(0)),
        "{done}"
    );
    let running = cluster.leader();
    let limits = cluster.request_until_success(running, "GET", "/v1/limits", "");
    assert_eq!(limits["ranges"].as_array().map(Vec::len), Some(2));
    for (destination, total) in answered {
        assert_eq!(
            limits["limits"][format!("rate/{destination}")]["total"],
            total,
            "rate/{destination}"
        );
    }
    // a freeze holds the next one
    let window = json!({ "windows": { "w": { "zone": "UTC", "begin": "2020-01-01T00:00", "end": "2100-01-01T00:00",
        "reason": "r", "owner": "o" } } });
    cluster.request_until_success(running, "PUT", "/v1/freeze", &window.to_string());
    let started = Instant::now();
    loop {
        let split_request = json!({ "first": 0, "at": 5 }).to_string();
        let (status, text) = cluster
            .request(running, "POST", "/v1/splits", &split_request)
            .expect("an answer");
        if status == 409 && text.contains("[freeze::held]") {
            break;
        }
        let _ = cluster.request(running, "DELETE", "/v1/splits", "");
        assert!(started.elapsed() < PATIENCE, "{status} {text}");
    }
}

/// True once so long has passed since it was first asked on this thread.
fn has_passed(time: Duration) -> bool {
    thread_local!(static BEGIN: Instant = Instant::now());
    BEGIN.with(|begin| begin.elapsed() > time)
}
