//! Watches of the endpoint list.

use crate::cluster::{Cluster, PATIENCE, Watch, endpoint};
use serde_json::{Value, json};
use std::time::Instant;

#[test]
fn stalled_watcher_is_disconnected_and_others_get_all_changes() {
    let cluster = Cluster::new(1, "[limits]\nstalled_ms = 300\n");
    let name = |number: usize| format!("{}-{number}", "x".repeat(100));
    let batch = |port: u16| {
        let put = |number| {
            json!({ "put": { "uid": name(number), "target":
            serde_json::from_str::<Value>(&endpoint(port)).expect("JSON") } })
        };
        json!({ "changes": (0..2000).map(put).collect::<Vec<_>>() }).to_string()
    };
    cluster.request_until_success(0, "POST", "/v1/endpoints", &batch(1));
    let _stalled = Watch::begin(cluster.clients(0), 0);
    let mut good = Watch::begin(cluster.clients(0), 0);
    let mut rev = 0;
    let started = Instant::now();
    for port in 2.. {
        cluster.request_until_success(0, "POST", "/v1/endpoints", &batch(port));
        rev = good.next().expect("the list, then changes")["rev"]
            .as_u64()
            .expect("a version")
            .max(rev);
        let status = cluster.request_until_success(0, "GET", "/v1/status", "");
        if status["watchers_cut"] == 1 && status["watchers"] == 1 {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "{status}");
    }
    assert!(rev > 0);
}
