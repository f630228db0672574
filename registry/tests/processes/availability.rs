//! Changes while replicas are killed, leave and join.

use crate::cluster::{Cluster, PATIENCE, Watch, endpoint};
use serde_json::json;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn rules_change_completes_while_the_leader_is_killed() {
    let mut cluster = Cluster::new(3, "");
    let first = cluster.leader();
    let follower = (first + 1) % 3;
    // through a follower, which passes it on
    cluster.request_until_success(follower, "PUT", "/v1/endpoints/a", &endpoint(1));
    let mut watch = Watch::begin(cluster.clients(follower), 0);
    assert_eq!(watch.next().expect("the list")["targets"][0]["uid"], "a");
    let answered = cluster.request_until_success(follower, "PUT", "/v1/endpoints/b", &endpoint(2));
    let heard = watch.next().expect("the change");
    assert_eq!(
        (&heard["rev"], &heard["all"]),
        (&answered["rev"], &json!(false))
    );
    cluster.request_until_success(follower, "GET", "/v1/rules", "");
    // leases of before the start may last: the change waits, whoever leads
    let started = Instant::now();
    loop {
        let answer = cluster.request(follower, "PUT", "/v1/rules", r#"{"limits":{"calls":9}}"#);
        match &answer {
            Some((200, _)) => break,
            Some((409 | 503, _)) | None => std::thread::sleep(Duration::from_millis(30)),
            other => panic!("{other:?}"),
        }
        assert!(started.elapsed() < PATIENCE, "{answer:?}");
    }
    let leader = cluster.leader();
    cluster.kill(leader);
    let other = (leader + 1) % 3;
    let started = Instant::now();
    loop {
        let rules = cluster.request_until_success(other, "GET", "/v1/rules", "");
        if rules["version"] == 2 && rules["settled"] == true {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "{rules}");
        std::thread::sleep(Duration::from_millis(30));
    }
    // what was answered is there, on the one that was killed too
    cluster.start(leader);
    let list = cluster.request_until_success(leader, "GET", "/v1/endpoints", "");
    assert_eq!(
        (&list["rev"], list["targets"].as_array().map(Vec::len)),
        (&answered["rev"], Some(2))
    );
    let shown = cluster.run(&["compare", "1", "2"]);
    let text = String::from_utf8_lossy(&shown.stdout);
    assert!(text.contains("limits.calls: 50 -> 9"), "{text}");
    let undone = cluster.run(&["undo", "1"]);
    assert!(undone.status.success(), "{undone:?}");
    let waited = cluster.run(&["wait", "3"]);
    assert!(waited.status.success(), "{waited:?}");
}

#[test]
fn leader_shutdown_transfers_leadership_and_replicas_join_and_leave() {
    let mut cluster = Cluster::new(3, "");
    let first = cluster.leader();
    cluster.request_until_success(first, "PUT", "/v1/endpoints/a", &endpoint(1));
    let child = cluster.replicas[first].take().expect("it runs");
    let id = child.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .is_ok_and(|status| status.success())
    );
    let ended = child.wait_with_output().expect("ended");
    assert!(ended.status.success(), "{ended:?}");
    let log = std::fs::read_to_string(cluster.folder.path().join(format!("r{first}.log")))
        .expect("its log");
    assert!(log.contains(r#""transferred":true"#), "{log}");
    // a fourth comes in its place and the first one goes
    cluster.write_settings(3, 3, true, "");
    cluster.replicas.push(None);
    cluster.start(3);
    let leader = cluster.leader();
    let place = json!({ "peers": cluster.peers(3), "clients": cluster.clients(3) }).to_string();
    cluster.request_until_success(leader, "PUT", "/v1/replicas/4", &place);
    let started = Instant::now();
    while cluster.request_until_success(leader, "GET", "/v1/status", "")["voters"]
        != json!([1, 2, 3, 4])
    {
        assert!(started.elapsed() < PATIENCE, "it votes once it has the log");
        std::thread::sleep(Duration::from_millis(30));
    }
    cluster.request_until_success(leader, "DELETE", &format!("/v1/replicas/{}", first + 1), "");
    cluster.request_until_success(3, "PUT", "/v1/endpoints/b", &endpoint(2));
    // the leader has answered for it: only a fresh read must show what was written
    assert_eq!(
        cluster.request_until_success(3, "GET", "/v1/endpoints?fresh=1", "")["rev"],
        2
    );
}
