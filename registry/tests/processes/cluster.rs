//! Replicas of the program on loopback, each test's at addresses of its own, and the requests to them.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_fleet-registry");
/// Longer than any election, start or lease here takes on a machine that is busy.
pub const PATIENCE: Duration = Duration::from_secs(20);

static CLUSTERS: AtomicU8 = AtomicU8::new(0);

/// Replicas at addresses of their own, 127.B.C.n with a B and C that no other test has.
pub struct Cluster {
    pub folder: TempDir,
    ip: [u8; 3],
    _claim: TcpListener,
    pub replicas: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts replicas; `more` is added to the settings of each.
    pub fn new(replicas: usize, more: &str) -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let (mut b, c) = (130 + (std::process::id() % 100) as u8, number);
        let claim = loop {
            match TcpListener::bind((Ipv4Addr::new(127, b, c, 250), 7999)) {
                Ok(claim) => break claim,
                Err(_) => b = 130 + (b - 129) % 120,
            }
        };
        let folder = tempfile::tempdir().expect("a folder");
        let mut cluster = Cluster {
            folder,
            ip: [127, b, c],
            _claim: claim,
            replicas: Vec::new(),
        };
        cluster.write("rules.json", r#"{"limits":{"calls":50}}"#);
        cluster.write("floor.json", r#"{"limits":{"calls":5}}"#);
        for number in 0..replicas {
            cluster.write_settings(number, replicas, false, more);
            cluster.replicas.push(None);
            cluster.start(number);
        }
        cluster
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        path
    }

    pub fn clients(&self, number: usize) -> SocketAddr {
        let [a, b, c] = self.ip;
        SocketAddr::from(([a, b, c, number as u8 + 1], 8500))
    }

    pub fn peers(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.clients(number).ip(), 8600)
    }

    pub fn write_settings(&self, number: usize, replicas: usize, join: bool, more: &str) {
        let others: String = (0..replicas)
            .map(|other| {
                let (peers, clients) = (self.peers(other), self.clients(other));
                format!(
                    "[[replica]]\nid = {}\npeers = \"{peers}\"\nclients = \"{clients}\"\n",
                    other + 1
                )
            })
            .collect();
        let (listen, peers, id) = (self.clients(number), self.peers(number), number + 1);
        self.write(
            &format!("r{number}.toml"),
            &format!(
                "cluster = \"test\"\nid = {id}\njoin = {join}\nlisten = \"{listen}\"\npeers = \"{peers}\"\n\
                 folder = \"r{number}\"\n{others}[agreement]\nlease_ms = 500\nfloor = \"floor.json\"\n\
                 rules = \"rules.json\"\n{more}"
            ),
        );
    }

    pub fn start(&mut self, number: usize) {
        let log = self.folder.path().join(format!("r{number}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let settings = self.folder.path().join(format!("r{number}.toml"));
        let mut command = Command::new(PROGRAM);
        command
            .args(["run", "--config"])
            .arg(settings)
            .stderr(log)
            .stdout(Stdio::null());
        self.replicas[number] = Some(command.spawn().expect("started"));
    }

    pub fn kill(&mut self, number: usize) {
        let mut child = self.replicas[number].take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("killed");
    }

    pub fn request(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        call(self.clients(number), method, path, "", body)
    }

    /// What a replica answers once it answers with success.
    pub fn request_until_success(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Value {
        let started = Instant::now();
        loop {
            let answer = self.request(number, method, path, body);
            if let Some((200..=299, text)) = &answer {
                return serde_json::from_str(text).unwrap_or_default();
            }
            assert!(started.elapsed() < PATIENCE, "{method} {path}: {answer:?}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn leader(&self) -> usize {
        let running = self
            .replicas
            .iter()
            .position(Option::is_some)
            .expect("one runs");
        let started = Instant::now();
        loop {
            let leader =
                self.request_until_success(running, "GET", "/v1/status", "")["leader"].as_u64();
            if let Some(leader) =
                leader.filter(|leader| self.replicas[*leader as usize - 1].is_some())
            {
                return leader as usize - 1;
            }
            assert!(started.elapsed() < PATIENCE, "nobody leads");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn run(&self, arguments: &[&str]) -> Output {
        let registries = (0..self.replicas.len())
            .flat_map(|number| ["--registry".to_string(), self.clients(number).to_string()]);
        Command::new(PROGRAM)
            .args(arguments)
            .args(registries)
            .output()
            .expect("it runs")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.replicas.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    head: &str,
    body: &str,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: r\r\n{head}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    head: &str,
    body: &str,
) -> Option<(u16, String)> {
    let head = format!("{head}connection: close\r\n");
    let mut text = String::new();
    request(address, method, path, &head, body)?
        .read_to_string(&mut text)
        .ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

pub fn endpoint(port: u16) -> String {
    json!({ "endpoint": format!("10.0.0.1:{port}"), "pod_group": 3 }).to_string()
}

/// The objects of a watch, as they come.
pub struct Watch(BufReader<TcpStream>);

impl Watch {
    pub fn begin(address: SocketAddr, from: u64) -> Self {
        let path = format!("/v1/endpoints?watch=1&from={from}");
        Watch(BufReader::new(
            request(address, "GET", &path, "", "").expect("connected"),
        ))
    }

    pub fn next(&mut self) -> Option<Value> {
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line.starts_with('{') {
                return serde_json::from_str(&line).ok();
            }
        }
    }
}
