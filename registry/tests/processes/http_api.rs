//! Requests and answers of each HTTP path: byte for byte, or the same keys and types where figures vary from run to run.

use crate::cluster::{Cluster, PATIENCE, request};
use crate::golden;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WEDNESDAY: &str = "2020-01-01";
const SATURDAY: &str = "2020-01-04";

const SETTINGS: &str =
    "[ledger]\nlease_ms = 500\nsenders = 3\nfloors = { rate = 10 }\nsplit_at = [100]\n";

/// Keys and types of a value; a list has each kind of entry once.
fn shape(value: &Value) -> Value {
    match value {
        Value::Null => json!("null"),
        Value::Bool(_) => json!("bool"),
        Value::Number(number) if number.is_f64() => json!("float"),
        Value::Number(_) => json!("integer"),
        Value::String(_) => json!("string"),
        Value::Array(entries) => {
            let kinds: BTreeSet<String> = entries
                .iter()
                .map(|entry| shape(entry).to_string())
                .collect();
            kinds
                .iter()
                .map(|kind| serde_json::from_str::<Value>(kind).expect("JSON"))
                .collect()
        }
        Value::Object(entries) => {
            let shapes: Map<String, Value> = entries
                .iter()
                .map(|(key, value)| (key.clone(), shape(value)))
                .collect();
            Value::Object(shapes)
        }
    }
}

struct Answer {
    head: String,
    body: Vec<u8>,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// What was asked and answered, as text.
struct Record {
    address: SocketAddr,
    text: String,
}

impl Record {
    fn ask(&self, method: &str, path: &str, head: &str, body: &str) -> Answer {
        let head = format!("{head}connection: close\r\n");
        let mut bytes = Vec::new();
        let mut stream = request(self.address, method, path, &head, body).expect("connected");
        stream.read_to_end(&mut bytes).expect("an answer");
        let end = bytes
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .expect("a head");
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        Answer {
            head,
            body: bytes[end + 4..].to_vec(),
        }
    }

    fn note(
        &mut self,
        method: &str,
        path: &str,
        head: &str,
        body: &str,
        answer: &Answer,
        text: &str,
    ) {
        let kept = ["content-type", "retry-after", "allow"];
        let mut lines: Vec<&str> = answer.head.split("\r\n").collect();
        let status = lines.remove(0);
        lines.retain(|line| kept.contains(&line.split(':').next().unwrap_or_default()));
        lines.sort_unstable();
        let asked = format!("{method} {path} {}{body}", head.replace("\r\n", " "));
        self.text += &format!(
            "> {}\n< {status} {}\n{}\n\n",
            asked.trim(),
            lines.join("; "),
            text.trim_end()
        );
    }

    /// Asks, and notes the answer byte for byte.
    fn exact(&mut self, method: &str, path: &str, head: &str, body: &str) {
        let answer = self.ask(method, path, head, body);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        self.note(method, path, head, body, &answer, &text);
    }

    /// Asks until an answer is wanted, and notes its keys and types.
    fn shape(&mut self, method: &str, path: &str, body: &str, wanted: impl Fn(&Value) -> bool) {
        let ask = |record: &Record| record.ask(method, path, "", body);
        self.shape_of(&format!("{method} {path} {body}"), "", ask, wanted);
    }

    /// Notes the keys and types of the first answer that is wanted.
    fn shape_of(
        &mut self,
        method: &str,
        path: &str,
        ask: impl Fn(&Record) -> Answer,
        wanted: impl Fn(&Value) -> bool,
    ) {
        let begin = Instant::now();
        let answer = loop {
            let answer = ask(self);
            if wanted(&answer.json()) {
                break answer;
            }
            assert!(
                begin.elapsed() < PATIENCE,
                "{method} {path}: {}",
                answer.json()
            );
            std::thread::sleep(Duration::from_millis(20));
        };
        let text = serde_json::to_string_pretty(&shape(&answer.json())).expect("JSON");
        self.note(method, path, "", "", &answer, &text);
    }

    /// Watches from a version: the first line.
    fn watch(&mut self, from: u64) {
        let path = format!("/v1/endpoints?watch=1&from={from}");
        let mut reader =
            BufReader::new(request(self.address, "GET", &path, "", "").expect("connected"));
        let mut line = String::new();
        while !line.starts_with('{') {
            line.clear();
            assert!(
                reader.read_line(&mut line).expect("a line") > 0,
                "the watch ended"
            );
        }
        self.text += &format!("> GET {path}\n{line}\n");
    }
}

fn endpoints(record: &mut Record) {
    let full = json!({ "endpoint": "10.0.0.1:80", "az": "floor-2", "model": "library", "pod_group": 300,
        "state": "up", "capacity_hint": 2.5, "boot_ms": 7, "ttl_ms": 60_000 });
    record.exact("PUT", "/v1/endpoints/a", "", &full.to_string());
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "if-match: \"1\"\r\n",
        r#"{"endpoint":"[::1]:81","pod_group":3}"#,
    );
    let batch = r#"{"changes":[{"put":{"uid":"c","target":{"endpoint":"10.0.0.3:80","pod_group":3,
        "state":"draining"}}},{"drain":{"uid":"b"}},{"remove":{"uid":"a"}}]}"#;
    record.exact("POST", "/v1/endpoints", "", batch);
    record.exact("GET", "/v1/endpoints", "", "");
    record.exact("GET", "/v1/endpoints?fresh=1", "", "");
    for from in 0..3 {
        record.watch(from);
    }
    record.exact("PUT", "/v1/endpoints/a", "", &full.to_string());
    record.exact("POST", "/v1/endpoints/a/beat", "", "");
    record.exact("POST", "/v1/endpoints/z/beat", "", "");
    record.exact("POST", "/v1/endpoints/a/drain", "", "");
    record.exact("DELETE", "/v1/endpoints/a?force=1", "", "");
    record.exact("DELETE", "/v1/endpoints/a", "", "");
    record.exact("DELETE", "/v1/endpoints/b?force=2", "", "");
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "if-match: 9\r\n",
        r#"{"endpoint":"[::1]:81","pod_group":3}"#,
    );
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "if-match: x\r\n",
        r#"{"endpoint":"[::1]:81","pod_group":3}"#,
    );
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "",
        r#"{"endpoint":"[::1]:81","pod_group":3}"#,
    );
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "",
        r#"{"endpoint":"[::1]:81","pods":3}"#,
    );
    record.exact(
        "PUT",
        "/v1/endpoints/b",
        "",
        r#"{"endpoint":"0.0.0.0:1","pod_group":1}"#,
    );
    record.exact("GET", "/v1/endpoints?watch=2", "", "");
    record.exact("GET", "/v1/endpoints?fresh=2", "", "");
    record.exact("GET", "/v1/endpoints?from=x", "", "");
    record.exact("PATCH", "/v1/endpoints", "", "");
    record.exact(
        "POST",
        "/v1/outcomes",
        "",
        "{\"id\":\"a\",\"state\":\"failed\"}\n{\"id\":\"b\",\"state\":\"returned\"}\n",
    );
    record.exact("POST", "/v1/outcomes", "", "{\"id\":\"a\"}\n");
}

fn rules(record: &mut Record) {
    record.shape("GET", "/v1/rules", "", |report| report["settled"] == true);
    let floor = json!({ "limits": { "calls": 5 } });
    let lease = |floor: &Value| json!({ "sender": "n1", "life": 7, "acts_on": { "version": 1, "whole": true }, "rev": 1, "floor": floor });
    record.shape("POST", "/v1/lease", &lease(&floor).to_string(), |grant| {
        grant.is_object()
    });
    record.exact("POST", "/v1/lease", "", &lease(&json!({})).to_string());
    record.exact("POST", "/v1/lease", "", "{}");
    let leased = |record: &Record, version: u64, whole: bool| {
        let acts_on = json!({ "version": version, "whole": whole });
        let lease =
            json!({ "sender": "n1", "life": 7, "acts_on": acts_on, "rev": 1, "floor": floor });
        record.ask("POST", "/v1/lease", "", &lease.to_string());
        record.ask("GET", "/v1/rules", "", "")
    };
    record.exact(
        "PUT",
        "/v1/rules",
        "if-match: 1\r\n",
        r#"{"limits":{"calls":9}}"#,
    );
    // one that acts on the version before is waited for; its lease may end before it is looked at
    let waits = |report: &Value| {
        let waits = report["not_acknowledged"]
            .as_array()
            .is_some_and(|waits| !waits.is_empty());
        waits && report["waits_ms"].is_u64() && !report["leases"][0].is_null()
    };
    record.shape_of("GET", "/v1/rules", |record| leased(record, 1, true), waits);
    let in_force = |report: &Value| {
        report["settled"] == true && report["leases"][0]["acts_on"]["version"] == 2
    };
    record.shape_of(
        "GET",
        "/v1/rules",
        |record| leased(record, 2, true),
        in_force,
    );
    record.exact("GET", "/v1/rules/1", "", "");
    record.exact("GET", "/v1/rules/7", "", "");
    record.exact("GET", "/v1/rules/x", "", "");
    record.exact("PUT", "/v1/rules", "", r#"{"limits":{"calls":0}}"#);
    record.exact(
        "PUT",
        "/v1/rules",
        "if-match: 1\r\n",
        r#"{"limits":{"calls":8}}"#,
    );
    record.exact("POST", "/v1/rules", "", "");
}

fn ledger(record: &mut Record) {
    record.exact("PUT", "/v1/limits/rate/7", "", r#"{"total":100000}"#);
    record.exact(
        "PUT",
        "/v1/limits/out/7",
        "if-match: 1\r\n",
        r#"{"total":100,"linger_ms":700}"#,
    );
    record.exact(
        "PUT",
        "/v1/limits/rate/7",
        "if-match: 9\r\n",
        r#"{"total":100000}"#,
    );
    record.exact("PUT", "/v1/limits/rat/7", "", r#"{"total":100000}"#);
    record.exact("PATCH", "/v1/limits/rate/7", "", "");
    record.exact("DELETE", "/v1/limits/rate/8", "", "");
    let parts = json!({ "sender": "n1", "life": 7, "number": 1,
        "floors": { "senders": 3, "each": { "rate": 10 } },
        "wants": [{ "key": "rate/7", "want": 20000 }, { "key": "rate/8", "want": 5 }],
        "zone": "floor-2", "words": [{ "destination": 7, "out": true }] });
    record.shape("POST", "/v1/parts", &parts.to_string(), |answer| {
        answer["dealt"][0]["part"].as_u64() > Some(0)
    });
    record.exact("POST", "/v1/parts", "", "{}");
    record.exact(
        "POST",
        "/v1/parts",
        "content-type: application/x-nothing\r\n",
        "{}",
    );
    let dealt = |record: &Record| {
        record.ask("POST", "/v1/parts", "", &parts.to_string());
        record.ask("GET", "/v1/limits", "", "")
    };
    record.shape_of("GET", "/v1/limits", dealt, |report| {
        report["keeps"][0]["limits"][0].is_object()
    });
    record.exact("POST", "/v1/query", "", r#"{"range":{"from":0,"to":null}}"#);
    record.exact("POST", "/v1/query", "", r#"{"one":"rate/7"}"#);
    record.exact("POST", "/v1/query", "", r#"{"sum":"rate"}"#);
    record.exact("GET", "/v1/splits", "", "");
    record.exact("POST", "/v1/splits", "", r#"{"first":3,"at":50}"#);
    record.exact("POST", "/v1/splits", "", r#"{"first":0,"at":500}"#);
    record.exact(
        "POST",
        "/v1/splits",
        "",
        r#"{"first":0,"at":50,"rehearse":"stale"}"#,
    );
    record.shape("GET", "/v1/splits", "", |report| {
        report["under_way"]["compared"] == true
    });
    // a rehearsal that has lasted for its time is undone already
    let undone = record.ask("DELETE", "/v1/splits", "", "").head;
    assert!(
        undone.contains(" 204 ") || undone.contains(" 404 "),
        "{undone}"
    );
    record.shape("GET", "/v1/splits", "", |report| {
        report["ended"][0].is_object()
    });
}

/// A Wednesday, or a Saturday where a window on Wednesdays could be on now.
fn other_day() -> &'static str {
    let seconds = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_secs();
    // the first day of 1970 was a Thursday
    let near_wednesday = [5, 6, 0].contains(&(seconds / 86_400 % 7));
    if near_wednesday { SATURDAY } else { WEDNESDAY }
}

fn freeze(record: &mut Record) {
    let day = other_day();
    let calendar = json!({ "windows": {
        "on": { "zone": "UTC", "begin": "2020-01-01T00:00", "end": "2100-01-01T00:00", "reason": "r", "owner": "o",
            "scope": { "zones": ["z"], "destinations": [1], "tenants": ["t"] } },
        "yearly": { "zone": "UTC", "begin": "2020-01-01T00:00", "end": "2020-12-31T23:59", "every": "year",
            "holds": ["moved"], "reason": "r", "owner": "o" },
        "weekly": { "zone": "UTC", "begin": format!("{day}T00:00"), "end": format!("{day}T00:01"), "every": "week",
            "scope": { "zones": ["y"] }, "reason": "r", "owner": "o" } } });
    record.exact(
        "PUT",
        "/v1/freeze",
        "if-match: 0\r\n",
        &calendar.to_string(),
    );
    record.exact(
        "PUT",
        "/v1/freeze",
        "if-match: 9\r\n",
        &calendar.to_string(),
    );
    record.exact("PUT", "/v1/freeze", "", r#"{"windows":{"w":{}}}"#);
    record.exact("PATCH", "/v1/freeze", "", "");
    record.exact("GET", "/v1/freeze/x", "", "");
    let on = |report: &Value| {
        report["on"]
            .as_array()
            .is_some_and(|on| on.iter().any(|on| on["window"] == "on"))
    };
    record.shape("GET", "/v1/freeze", "", on);
    let held = r#"{"endpoint":"10.0.0.1:80","pod_group":1}"#;
    record.exact("PUT", "/v1/endpoints/held", "", held);
    let glass = json!({ "by": ["lan", "minh"], "reason": "a fire", "until_ms": 1 });
    record.exact("POST", "/v1/freeze/glass", "", "{}");
    record.exact("DELETE", "/v1/freeze/glass", "", "");
    let answer = record.ask("POST", "/v1/freeze/glass", "", &glass.to_string());
    let status = answer.head.lines().next().unwrap_or_default().to_string();
    record.text += &format!("> POST /v1/freeze/glass {glass}\n< {status}\n\n");
}

#[test]
fn http_requests_and_answers_keep_their_form() {
    let cluster = Cluster::new(1, SETTINGS);
    cluster.request_until_success(0, "GET", "/v1/rules", "");
    cluster.request_until_success(0, "GET", "/v1/limits", "");
    let mut record = Record {
        address: cluster.clients(0),
        text: String::new(),
    };
    endpoints(&mut record);
    rules(&mut record);
    ledger(&mut record);
    freeze(&mut record);
    record.exact(
        "PUT",
        "/v1/replicas/x",
        "",
        r#"{"peers":"127.0.0.1:1","clients":"127.0.0.1:2"}"#,
    );
    record.exact("PUT", "/v1/replicas/1", "", r#"{"peers":"127.0.0.1:1"}"#);
    record.exact("DELETE", "/v1/replicas/1", "", "");
    record.exact(
        "PUT",
        "/v1/replicas/0",
        "",
        r#"{"peers":"127.0.0.1:1","clients":"127.0.0.1:2"}"#,
    );
    record.exact("POST", "/v1/transfer", "", "");
    record.exact("GET", "/v1/nothing", "", "");
    // reports that have paths of their own are noted by their keys alone
    let status = |record: &Record| {
        let mut answer = record.ask("GET", "/v1/status", "", "");
        let mut report = answer.json();
        for part in ["rules", "ledger", "freeze"] {
            let keys = report[part].as_object().into_iter().flat_map(Map::keys);
            report[part] = keys
                .map(|key| (key.clone(), json!("as in its own path")))
                .collect::<Map<_, _>>()
                .into();
        }
        answer.body = report.to_string().into_bytes();
        answer
    };
    record.shape_of("GET", "/v1/status", status, |report| {
        report["role"] == "leader"
    });
    golden::assert_same(
        "http.txt",
        record.text.replace(SATURDAY, WEDNESDAY).as_bytes(),
    );
}
