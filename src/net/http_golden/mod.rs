//! Golden files of the HTTP interfaces. Tests compare the bytes on the wire with the recorded files beside this one;
//! with `WRITE_GOLDEN` set the files are rewritten, for an intended change of an interface.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Asserts that `text` equals the golden file `name`.
pub fn compare(name: &str, text: &str) {
    let path = format!("{}/src/net/http_golden/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::write(&path, text).expect("written");
    }
    assert_eq!(
        text,
        std::fs::read_to_string(&path).expect("a golden file"),
        "{name}"
    );
}

/// Sends `bytes` to `address` and returns the answer with its date replaced. Reads until the answer is complete, the
/// connection ends, or nothing is received for 10 s.
pub fn answer_to(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    stream.write_all(bytes).expect("written");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !is_complete(&answer) && matches!(stream.read(&mut byte), Ok(1)) {
        answer.push(byte[0]);
    }
    let text = String::from_utf8(answer).expect("text");
    let lines = text.split_inclusive("\r\n");
    lines
        .map(|line| {
            if line.starts_with("date: ") {
                "date: DATE\r\n"
            } else {
                line
            }
        })
        .collect()
}

/// Returns whether an answer has as many body bytes as its `Content-Length` states.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()).unwrap_or(0) <= body.len()
}

/// Replaces each JSON value by the name of its type, so that only keys and types are compared.
pub fn kinds(value: &serde_json::Value) -> serde_json::Value {
    use serde_json::Value;
    match value {
        Value::Null => "null".into(),
        Value::Bool(_) => "boolean".into(),
        Value::Number(number) if number.is_f64() => "decimal".into(),
        Value::Number(_) => "integer".into(),
        Value::String(_) => "text".into(),
        Value::Array(values) => values.iter().map(kinds).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(key, value)| (key.clone(), kinds(value)))
            .collect(),
    }
}
