//! Requests and starts that are rejected.

use crate::cluster::{Cluster, PATIENCE, PROGRAM, Watch, call, endpoint};
use serde_json::json;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

#[test]
fn invalid_requests_are_rejected_with_a_reason_and_change_nothing() {
    let cluster = Cluster::new(1, "[limits]\nclients = 6\nwatchers = 2\n");
    cluster.request_until_success(0, "PUT", "/v1/endpoints/a", &endpoint(1));
    cluster.request_until_success(0, "GET", "/v1/rules", "");
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
            &endpoint(2),
            412,
            "version 1, not 7",
        ),
        (
            "PUT",
            "/v1/endpoints/b",
            "if-match: x\r\n",
            &endpoint(2),
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
    assert_eq!(
        cluster.request_until_success(0, "GET", "/v1/endpoints", "")["rev"],
        1
    );
    let taken = call(
        at,
        "POST",
        "/v1/outcomes",
        "",
        "{\"id\":\"a\",\"state\":\"returned\",\"after_ms\":5}\n",
    );
    assert_eq!(taken.map(|(status, _)| status), Some(204));
    assert_eq!(
        cluster.request_until_success(0, "GET", "/v1/status", "")["notices"],
        json!({ "failed": 0, "returned": 1 })
    );
    // places for watches, then for clients
    let mut watches: Vec<Watch> = (0..2).map(|_| Watch::begin(at, 0)).collect();
    assert!(watches.iter_mut().all(|watch| watch.next().is_some()));
    let (status, _) = call(at, "GET", "/v1/endpoints?watch=1&from=0", "", "").expect("an answer");
    assert_eq!(status, 503);
    let idle: Vec<TcpStream> = (0..4).filter_map(|_| TcpStream::connect(at).ok()).collect();
    let started = Instant::now();
    while call(at, "GET", "/v1/status", "", "").is_none_or(|(status, _)| status != 503) {
        assert!(
            started.elapsed() < PATIENCE,
            "no place is left for a client"
        );
    }
    drop(idle);
    cluster.request_until_success(0, "GET", "/v1/status", "");
}

#[test]
fn unusable_settings_or_folder_end_the_start_with_exit_code_2() {
    let mut cluster = Cluster::new(1, "");
    cluster.request_until_success(0, "PUT", "/v1/endpoints/a", &endpoint(1));
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
