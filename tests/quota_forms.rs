//! Questions for quotas beside replicas of another version and answers that can't be read, by the real programs.

mod node;

use node::registry::Registry;
use node::*;
use quota_ledger::quotas::compact::MEDIA_TYPE;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

const LEDGER: &str = "[ledger]\nlease_ms = 800\nsenders = 3\nfloors = { rate = 500 }\n";
const OBJECT: &str = r#""ledger":{"senders":3,"floors":{"rate":500}},"#;

/// What the proxy makes of a question in the compact form.
const PASS: u8 = 0;
const OLDER: u8 = 1;
const GARBAGE: u8 = 2;
const CUT: u8 = 3;

/// A proxy before a replica that takes questions in the compact form as `mode` says and passes on all else.
struct Proxy {
    address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    fn new(replica: SocketAddr, mode: u8) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (address, mode) = (
            listener.local_addr().expect("bound"),
            Arc::new(AtomicU8::new(mode)),
        );
        let shared = mode.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mode = shared.clone();
                std::thread::spawn(move || pass(stream, replica, mode.load(Ordering::SeqCst)));
            }
        });
        Proxy { address, mode }
    }
}

fn answer(status: &str, media: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {media}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn pass(mut client: TcpStream, replica: SocketAddr, mode: u8) -> Option<()> {
    let mut request = vec![0; 65_536];
    let length = client.read(&mut request).ok()?;
    request.truncate(length);
    let compact = String::from_utf8_lossy(&request).contains(MEDIA_TYPE);
    match mode {
        OLDER if compact => {
            client
                .write_all(&answer(
                    "400 Bad Request",
                    "text/plain",
                    b"expected value at line 1\n",
                ))
                .ok()?;
        }
        GARBAGE if compact => client
            .write_all(&answer("200 OK", MEDIA_TYPE, b"\x01\xff\xff\xff"))
            .ok()?,
        CUT if compact => client
            .write_all(&answer("200 OK", MEDIA_TYPE, b"\x01\xe0\xc6\x5b"))
            .ok()?,
        _ => {
            let mut server = TcpStream::connect(replica).ok()?;
            server.write_all(&request).ok()?;
            let (mut from, mut to) = (client.try_clone().ok()?, server.try_clone().ok()?);
            std::thread::spawn(move || std::io::copy(&mut from, &mut to));
            std::io::copy(&mut server, &mut client).ok()?;
        }
    }
    Some(())
}

fn registry(endpoint: &Endpoint) -> Registry {
    let registry = Registry::new(&[], LEDGER);
    registry.add_endpoint("s-1", endpoint, 7);
    registry.request_until_ok("PUT", "/v1/limits/rate/7", &json!({ "total": 20_000 }));
    registry
}

fn sender(proxy: &Proxy) -> Node {
    let mut agent = Agent::new(Vec::new());
    agent.address = proxy.address;
    Node::configured_with(&agent, |text| with_members(&text, OBJECT)).ready()
}

fn report(node: &Node) -> Value {
    serde_json::from_str(&operator_response(node, "GET /ledger")).expect("JSON")
}

fn quota(node: &Node) -> Option<u64> {
    report(node)["parts"]
        .as_array()?
        .iter()
        .find(|part| part["key"] == "rate/7")?["part"]
        .as_u64()
}

#[test]
fn a_replica_that_reads_only_json_is_asked_in_json() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = registry(&endpoint);
    let proxy = Proxy::new(registry.address, OLDER);
    let node = sender(&proxy);
    wait_until("a quota", || quota(&node).is_some_and(|quota| quota > 0));
    assert!(node.logged("is asked in JSON for a while"));
    assert_eq!(report(&node)["failed"], 0);
}

#[test]
fn an_answer_that_cannot_be_read_leaves_the_fallback_share_until_one_can() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = registry(&endpoint);
    let proxy = Proxy::new(registry.address, GARBAGE);
    let node = sender(&proxy);
    wait_until("it says so", || {
        node.logged("ledger: lease request failed: the answer can't be read")
    });
    assert_eq!(
        (quota(&node), report(&node)["granted"].as_u64()),
        (None, Some(0))
    );
    assert_eq!(node.submit("webhook", "m1", 7, 900, b"x"), 202);
    wait_until("the fallback share serves", || endpoint.count_of("m1") == 1);
    proxy.mode.store(CUT, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(quota(&node), None);
    proxy.mode.store(PASS, Ordering::SeqCst);
    wait_until("a quota", || quota(&node).is_some_and(|quota| quota > 0));
}

/// Posts bytes to the registry; the status and the answer's body as text.
fn post(registry: &Registry, media: &str, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(registry.address).expect("it listens");
    let head = format!(
        "POST /v1/parts HTTP/1.1\r\nhost: r\r\nconnection: close\r\ncontent-type: {media}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body].concat())
        .expect("written");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an answer");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (
        head.split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status"),
        body.to_string(),
    )
}

#[test]
fn a_replica_reads_old_questions_and_refuses_garbage_with_a_code() {
    let endpoint = Endpoint::new(|_, _| OK);
    let registry = registry(&endpoint);
    let old = json!({ "sender": "old", "life": 1, "number": 1, "zone": "", "words": [],
        "floors": { "senders": 3, "each": { "rate": 500 } }, "wants": [{ "key": "rate/7", "want": 900 }] });
    wait_until("the range has its lease holder, which answers", || {
        let (status, body) = post(&registry, "application/json", old.to_string().as_bytes());
        let told: Value = serde_json::from_str(&body).expect("JSON");
        (status, &told["dealt"][0]["key"]) == (200, &json!("rate/7"))
    });
    for (bytes, code) in [
        (&b"\x02abc"[..], "[ledger::compact::version]"),
        (b"", "[ledger::compact::version]"),
        (b"\x01\xff\xff\xff\xff", "[ledger::compact::malformed]"),
    ] {
        let (status, body) = post(&registry, MEDIA_TYPE, bytes);
        assert_eq!(status, 400, "{body}");
        assert!(body.contains(code) && body.contains("; "), "{body}");
    }
    // it goes on
    registry.request_until_ok("GET", "/v1/limits", &Value::Null);
}
