//! A registry for tests: it keeps each request as it came and answers with given bytes. Beside it, what the tests of
//! the parts that ask a registry share: a clock that stands still, and golden files.

use super::clock::Clock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Longest time that a test waits for what is to come.
const WAIT: Duration = Duration::from_secs(10);

/// An answer: its status line and its body.
pub struct StubAnswer {
    pub status: &'static str,
    pub body: Vec<u8>,
}

/// Where the requests come in.
pub struct StubRegistry {
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<Vec<u8>>,
}

impl StubRegistry {
    /// Gives these answers, one a connection, and none after the last one. To be called within a `LocalSet`.
    pub async fn answering(answers: Vec<StubAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (seen, requests) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            for answer in answers {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let _ = seen.send(read_request(&mut stream).await);
                let head = format!(
                    "HTTP/1.1 {}\r\ncontent-length: {}\r\n\r\n",
                    answer.status,
                    answer.body.len()
                );
                stream
                    .write_all(&[head.as_bytes(), &answer.body].concat())
                    .await
                    .expect("written");
            }
            std::future::pending::<()>().await;
        });
        StubRegistry { address, requests }
    }

    /// The head of the next request, with the port left out, and its body.
    pub async fn request(&mut self) -> (String, Vec<u8>) {
        let bytes = within(self.requests.recv()).await.expect("a request");
        let end = end_of_head(&bytes).expect("a head");
        let head = String::from_utf8(bytes[..end].to_vec()).expect("text");
        let port = format!(":{}\r\n", self.address.port());
        (
            head.replace(&port, ":PORT\r\n").replace("\r\n", "\n"),
            bytes[end..].to_vec(),
        )
    }
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4)
}

async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = end_of_head(&bytes) {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
            if bytes.len() >= end + length {
                return bytes;
            }
        }
        let read = stream.read_buf(&mut bytes).await.expect("readable");
        assert!(
            read > 0,
            "the request was cut: {}",
            String::from_utf8_lossy(&bytes)
        );
    }
}

/// What comes, if it comes in time.
pub async fn within<T>(task: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT, task)
        .await
        .expect("it comes in time")
}

/// An empty folder of this test.
pub fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sender-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A clock that says zero for ever to all that count in unsigned microseconds: its time lies before its beginning.
pub fn standing_clock(test: &str) -> Clock {
    let folder = folder(test);
    let boot =
        std::fs::read_to_string("/proc/sys/kernel/random/boot_id").expect("the machine's boot id");
    let anchor = serde_json::json!({ "boot": boot.trim(), "monotonic": 0, "time": -1_000_000_000_000_000_i64 });
    std::fs::write(folder.join("clock"), anchor.to_string()).expect("written");
    Clock::resume(&folder).expect("a clock")
}

/// A golden file's bytes.
pub fn golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/fleet")
        .join(name)
}

/// Checks that bytes are those of a golden file.
pub fn assert_golden(name: &str, found: &[u8]) {
    let expected = golden(name);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert_eq!(text(found), text(&expected), "{name}");
    assert_eq!(found, expected, "{name}");
}
