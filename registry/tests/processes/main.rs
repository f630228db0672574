//! The program itself: replicas on loopback that are asked, killed, started again, replaced.

mod cluster;
mod command_line;
#[path = "../golden/golden.rs"]
mod golden;
mod http_api;

use cluster::{Cluster, PATIENCE, PROGRAM, Watch, call, target};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn a_change_goes_through_while_the_leader_is_killed_and_every_watcher_hears_of_it() {
    let mut cluster = Cluster::new(3, "");
    let first = cluster.leader();
    let follower = (first + 1) % 3;
    // through a follower, which passes it on
    cluster.until(follower, "PUT", "/v1/endpoints/a", &target(1));
    let mut watch = Watch::begin(cluster.clients(follower), 0);
    assert_eq!(watch.next().expect("the list")["targets"][0]["uid"], "a");
    let answered = cluster.until(follower, "PUT", "/v1/endpoints/b", &target(2));
    let heard = watch.next().expect("the change");
    assert_eq!(
        (&heard["rev"], &heard["all"]),
        (&answered["rev"], &json!(false))
    );
    cluster.until(follower, "GET", "/v1/rules", "");
    // leases of before the start may last: the change waits, whoever leads
    let begin = Instant::now();
    loop {
        let answer = cluster.ask(follower, "PUT", "/v1/rules", r#"{"limits":{"calls":9}}"#);
        match &answer {
            Some((200, _)) => break,
            Some((409 | 503, _)) | None => std::thread::sleep(Duration::from_millis(30)),
            other => panic!("{other:?}"),
        }
        assert!(begin.elapsed() < PATIENCE, "{answer:?}");
    }
    let leader = cluster.leader();
    cluster.kill(leader);
    let other = (leader + 1) % 3;
    let begin = Instant::now();
    loop {
        let rules = cluster.until(other, "GET", "/v1/rules", "");
        if rules["version"] == 2 && rules["settled"] == true {
            break;
        }
        assert!(begin.elapsed() < PATIENCE, "{rules}");
        std::thread::sleep(Duration::from_millis(30));
    }
    // what was answered is there, on the one that was killed too
    cluster.start(leader);
    let list = cluster.until(leader, "GET", "/v1/endpoints", "");
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
fn what_makes_no_sense_is_refused_with_its_reason_and_changes_nothing() {
    let cluster = Cluster::new(1, "[limits]\nclients = 6\nwatchers = 2\n");
    cluster.until(0, "PUT", "/v1/endpoints/a", &target(1));
    cluster.until(0, "GET", "/v1/rules", "");
    let at = cluster.clients(0);
    for (method, path, head, body, status, told) in [
        ("PUT", "/v1/endpoints/a", "", "{", 400, "EOF"),
        (
            "PUT",
            "/v1/endpoints/a",
            "",
            r#"{"endpoint":"0.0.0.0:1","pod_group":1}"#,
            400,
            "a: endpoint is not",
        ),
        (
            "PUT",
            "/v1/endpoints/a",
            "",
            r#"{"endpoint":"1.1.1.1:1","pod":1}"#,
            400,
            "unknown field `pod`",
        ),
        (
            "PUT",
            "/v1/endpoints/b",
            "if-match: \"7\"\r\n",
            &target(2),
            412,
            "version 1, not 7",
        ),
        (
            "PUT",
            "/v1/endpoints/b",
            "if-match: x\r\n",
            &target(2),
            400,
            "If-Match",
        ),
        (
            "POST",
            "/v1/endpoints/b/drain",
            "",
            "",
            404,
            "b: no such endpoint",
        ),
        (
            "DELETE",
            "/v1/endpoints/b",
            "",
            "",
            404,
            "b: no such endpoint",
        ),
        (
            "POST",
            "/v1/endpoints",
            "",
            r#"{"changes":[{"drain":{"uid":"a"}},{"remove":{"uid":"z"}}]}"#,
            404,
            "z:",
        ),
        (
            "PUT",
            "/v1/rules",
            "",
            r#"{"limits":{"calls":0}}"#,
            400,
            "limits.calls",
        ),
        ("PUT", "/v1/rules", "", r#"{"limits":{"calls":4}}"#, 409, ""),
        (
            "PUT",
            "/v1/rules",
            "if-match: 4\r\n",
            r#"{"limits":{"calls":8}}"#,
            412,
            "version 1 holds",
        ),
        (
            "POST",
            "/v1/outcomes",
            "",
            "{\"id\":\"a\",\"state\":\"failed\"}\n{\"id\":\"b\"}\n",
            400,
            "line 2",
        ),
        ("POST", "/v1/lease", "", "{}", 400, "missing field"),
        ("GET", "/v1/endpoints?watch=2", "", "", 400, "watch"),
        ("PATCH", "/v1/endpoints", "", "", 405, ""),
        ("GET", "/v2/endpoints", "", "", 404, ""),
        (
            "PUT",
            "/v1/rules",
            "",
            &"x".repeat(70_000),
            413,
            "over 65536",
        ),
    ] {
        let answer = call(at, method, path, head, body);
        let (code, text) = answer.unwrap_or_else(|| panic!("{method} {path}: no answer"));
        assert_eq!(
            (code, text.contains(told)),
            (status, true),
            "{method} {path}: {text}"
        );
        assert!(code != 400 || text.lines().count() == 1, "{text}");
    }
    assert_eq!(cluster.until(0, "GET", "/v1/endpoints", "")["rev"], 1);
    let taken = call(
        at,
        "POST",
        "/v1/outcomes",
        "",
        "{\"id\":\"a\",\"state\":\"returned\",\"after_ms\":5}\n",
    );
    assert_eq!(taken.map(|(status, _)| status), Some(204));
    assert_eq!(
        cluster.until(0, "GET", "/v1/status", "")["notices"],
        json!({ "failed": 0, "returned": 1 })
    );
    // places for watches, then for clients
    let mut watches: Vec<Watch> = (0..2).map(|_| Watch::begin(at, 0)).collect();
    assert!(watches.iter_mut().all(|watch| watch.next().is_some()));
    let (status, _) = call(at, "GET", "/v1/endpoints?watch=1&from=0", "", "").expect("an answer");
    assert_eq!(status, 503);
    let idle: Vec<TcpStream> = (0..4).filter_map(|_| TcpStream::connect(at).ok()).collect();
    let begin = Instant::now();
    while call(at, "GET", "/v1/status", "", "").is_none_or(|(status, _)| status != 503) {
        assert!(begin.elapsed() < PATIENCE, "no place is left for a client");
    }
    drop(idle);
    cluster.until(0, "GET", "/v1/status", "");
}

#[test]
fn a_watcher_that_never_reads_is_cut_and_the_others_hear_all() {
    let cluster = Cluster::new(1, "[limits]\nstalled_ms = 300\n");
    let name = |number: usize| format!("{}-{number}", "x".repeat(100));
    let batch = |port: u16| {
        let put = |number| {
            json!({ "put": { "uid": name(number), "target":
            serde_json::from_str::<Value>(&target(port)).expect("JSON") } })
        };
        json!({ "changes": (0..2000).map(put).collect::<Vec<_>>() }).to_string()
    };
    cluster.until(0, "POST", "/v1/endpoints", &batch(1));
    let _deaf = Watch::begin(cluster.clients(0), 0);
    let mut good = Watch::begin(cluster.clients(0), 0);
    let mut rev = 0;
    let begin = Instant::now();
    for port in 2.. {
        cluster.until(0, "POST", "/v1/endpoints", &batch(port));
        rev = good.next().expect("the list, then changes")["rev"]
            .as_u64()
            .expect("a version")
            .max(rev);
        let status = cluster.until(0, "GET", "/v1/status", "");
        if status["watchers_cut"] == 1 && status["watchers"] == 1 {
            break;
        }
        assert!(begin.elapsed() < PATIENCE, "{status}");
    }
    assert!(rev > 0);
}

#[test]
fn a_leader_that_ends_hands_over_and_a_replica_comes_and_goes() {
    let mut cluster = Cluster::new(3, "");
    let first = cluster.leader();
    cluster.until(first, "PUT", "/v1/endpoints/a", &target(1));
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
    cluster.until(leader, "PUT", "/v1/replicas/4", &place);
    let begin = Instant::now();
    while cluster.until(leader, "GET", "/v1/status", "")["voters"] != json!([1, 2, 3, 4]) {
        assert!(begin.elapsed() < PATIENCE, "it votes once it has the log");
        std::thread::sleep(Duration::from_millis(30));
    }
    cluster.until(leader, "DELETE", &format!("/v1/replicas/{}", first + 1), "");
    cluster.until(3, "PUT", "/v1/endpoints/b", &target(2));
    // the leader has answered for it: only a fresh read must show what was written
    assert_eq!(
        cluster.until(3, "GET", "/v1/endpoints?fresh=1", "")["rev"],
        2
    );
}

#[test]
fn a_start_that_cannot_be_right_ends_with_a_line_and_exit_code_2() {
    let mut cluster = Cluster::new(1, "");
    cluster.until(0, "PUT", "/v1/endpoints/a", &target(1));
    let run = |path: &Path| {
        let output = Command::new(PROGRAM)
            .args(["run", "--config"])
            .arg(path)
            .output()
            .expect("it runs");
        let lines = String::from_utf8_lossy(&output.stderr).to_string();
        (output.status.code(), lines)
    };
    let settings = cluster.folder.path().join("r0.toml");
    let (code, line) = run(&settings);
    assert!(
        code == Some(2) && line.contains("another process uses this folder"),
        "{code:?} {line}"
    );
    let bad = cluster.write("bad.toml", "cluster = \"a\"\nids = 3\n");
    let (code, line) = run(&bad);
    assert!(code == Some(2) && line.contains("ids"), "{code:?} {line}");
    cluster.kill(0);
    // damage before a sound record is no torn end
    let log = cluster.folder.path().join("r0/log");
    let mut bytes = std::fs::read(&log).expect("the log");
    bytes[13] ^= 1;
    std::fs::write(&log, &bytes).expect("damaged");
    let (code, line) = run(&settings);
    assert!(
        code == Some(2) && line.contains("damaged from byte 0 on"),
        "{code:?} {line}"
    );
    assert_eq!(
        Command::new(PROGRAM)
            .arg("--no-such")
            .output()
            .expect("it runs")
            .status
            .code(),
        Some(2)
    );
}

const LEDGER: &str = "[ledger]\nlease_ms = 500\nsenders = 3\nfloors = { rate = 10 }\n";

/// Writes limits of thirty destinations in turn for as long as asked; those that were answered, by destination.
fn write_limits(
    cluster: &Cluster,
    until: &dyn Fn() -> bool,
) -> std::collections::BTreeMap<u64, u64> {
    let (mut answered, mut unsure) = (
        std::collections::BTreeMap::new(),
        std::collections::BTreeSet::new(),
    );
    let begin = Instant::now();
    for write in 0u64.. {
        let (destination, total) = (write * 7 % 30, 1000 + write);
        let body = json!({ "total": total }).to_string();
        let running = cluster
            .replicas
            .iter()
            .position(Option::is_some)
            .expect("one runs");
        match cluster.ask(
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
        assert!(begin.elapsed() < 2 * PATIENCE, "the split never ends");
    }
    answered.retain(|destination, _| !unsure.contains(destination));
    answered
}

fn splits(cluster: &Cluster) -> Option<Value> {
    let running = cluster.replicas.iter().position(Option::is_some)?;
    let (_, text) = cluster.ask(running, "GET", "/v1/splits", "")?;
    serde_json::from_str(&text).ok()
}

fn ended(cluster: &Cluster, count: usize) -> Option<Value> {
    splits(cluster)?["ended"]
        .as_array()
        .filter(|ended| ended.len() >= count)?
        .last()
        .cloned()
}

/// Begins one split, once none is under way; how many have ended when it has. A slow machine may answer too late for what
/// it has done, so what was begun is looked for before it is asked again: a second one would be another split.
fn begin_split(cluster: &Cluster, replica: usize, wish: &Value) -> usize {
    let begin = Instant::now();
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
                        .ask(replica, "POST", "/v1/splits", &wish.to_string())
                        .is_some_and(|(s, _)| s == 200)
                    {
                        return ended + 1;
                    }
                }
            }
        }
        assert!(begin.elapsed() < PATIENCE, "no split begins");
    }
}

#[test]
fn a_split_under_writes_flags_what_is_planted_and_without_it_is_cut_over_while_the_leader_is_killed()
 {
    let mut cluster = Cluster::new(3, LEDGER);
    let leader = cluster.leader();
    cluster.until(
        leader,
        "PUT",
        "/v1/limits/rate/0",
        &json!({ "total": 500 }).to_string(),
    );
    write_limits(&cluster, &|| false_after(Duration::from_millis(300)));
    // a rehearsal: found by the walk or a query, and undone
    let wish = |rehearse: Value| json!({ "first": 0, "at": 15, "rehearse": rehearse });
    let rehearsed = begin_split(&cluster, leader, &wish(json!("lost")));
    let asks = || {
        cluster.ask(
            leader,
            "POST",
            "/v1/query",
            r#"{"range":{"from":0,"to":null}}"#,
        );
        ended(&cluster, rehearsed).is_some()
    };
    write_limits(&cluster, &asks);
    let undone = ended(&cluster, rehearsed).expect("ended");
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
    let count = begin_split(&cluster, leader, &wish(Value::Null));
    assert_eq!((rehearsed, count), (1, 2), "each began once");
    std::thread::sleep(Duration::from_millis(400));
    cluster.kill(leader);
    let answered = write_limits(&cluster, &|| ended(&cluster, count).is_some());
    let done = ended(&cluster, count).expect("ended");
    assert_eq!(
        (&done["undone"], &done["flagged"]),
        (&Value::Null, &json!(0)),
        "{done}"
    );
    let running = cluster.leader();
    let limits = cluster.until(running, "GET", "/v1/limits", "");
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
    cluster.until(running, "PUT", "/v1/freeze", &window.to_string());
    let begin = Instant::now();
    loop {
        let wish = json!({ "first": 0, "at": 5 }).to_string();
        let (status, text) = cluster
            .ask(running, "POST", "/v1/splits", &wish)
            .expect("an answer");
        if status == 409 && text.contains("[freeze::held]") {
            break;
        }
        let _ = cluster.ask(running, "DELETE", "/v1/splits", "");
        assert!(begin.elapsed() < PATIENCE, "{status} {text}");
    }
}

/// True once so long has passed since it was first asked on this thread.
fn false_after(time: Duration) -> bool {
    thread_local!(static BEGIN: Instant = Instant::now());
    BEGIN.with(|begin| begin.elapsed() > time)
}
