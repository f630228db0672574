//! Stand-in for the platform: discovery (`GET /v1/endpoints`, as a list and as a watch) and the notices
//! (`POST /v1/outcomes`).

use crate::http::Connection;
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One entry of the list.
#[derive(Debug, Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub state: String,
    pub weight: f64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{:.1},\"boot_ms\":0}}",
            self.uid, self.address, self.zone, self.kind, self.destination, self.state, self.weight
        )
    }
}

/// A list in discovery's form.
pub fn list_json<'a>(rev: u64, all: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", entries.join(","))
}

struct List {
    rev: u64,
    /// The entries with the version that changed each last.
    entries: Vec<(u64, Entry)>,
}

struct Shared {
    list: Mutex<List>,
    /// Notices by message id: the time of the first and its state.
    notices: Mutex<HashMap<String, (Instant, String)>>,
    record: Record,
}

/// The list and the notices, at any number of addresses.
#[derive(Clone)]
pub struct Platform(Arc<Shared>);

/// One address of the platform.
pub struct Address {
    pub at: SocketAddr,
}

impl Platform {
    pub fn new(entries: Vec<Entry>, record: Record) -> Self {
        let list = List {
            rev: 41,
            entries: entries.into_iter().map(|entry| (41, entry)).collect(),
        };
        Platform(Arc::new(Shared {
            list: Mutex::new(list),
            notices: Mutex::default(),
            record,
        }))
    }

    /// The whole list, as `known` of a configuration holds it.
    pub fn known(&self) -> String {
        let list = self.0.list.lock().unwrap();
        list_json(list.rev, true, list.entries.iter().map(|(_, entry)| entry))
    }

    /// The entries of the list.
    pub fn entries(&self) -> Vec<Entry> {
        self.0
            .list
            .lock()
            .unwrap()
            .entries
            .iter()
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Time and state of the notice of a message.
    pub fn notice(&self, id: &str) -> Option<(Instant, String)> {
        self.0.notices.lock().unwrap().get(id).cloned()
    }

    /// Serves at a free port of this loopback address.
    pub fn serve(&self, host: &str) -> Address {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let at = listener.local_addr().expect("bound");
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while platform.answer(&mut connection).unwrap_or(false) {}
                });
            }
        });
        Address { at }
    }

    /// Answers one request; false once the connection has ended.
    fn answer(&self, connection: &mut Connection) -> std::io::Result<bool> {
        let Some(request) = connection.read()? else {
            return Ok(false);
        };
        let mut words = request.first_line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_string());
        if method == "POST" && path == "/v1/outcomes" {
            for line in String::from_utf8_lossy(&request.body).lines() {
                let field = |name: &str| {
                    let rest = line.split_once(&format!("\"{name}\":\""))?.1;
                    Some(rest.split('"').next()?.to_string())
                };
                if let (Some(id), Some(state)) = (field("id"), field("state")) {
                    self.0.record.line(format!("notice {id} {state}"));
                    self.0
                        .notices
                        .lock()
                        .unwrap()
                        .entry(id)
                        .or_insert((Instant::now(), state));
                }
            }
            connection.write(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            return Ok(true);
        }
        let query = path.split_once('?').map_or("", |(_, query)| query).to_string();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_string())
        };
        if parameter("watch").is_none() {
            let text = self.known();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            connection.write(head.as_bytes())?;
            connection.write(text.as_bytes())?;
            return Ok(true);
        }
        let from: u64 = parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.0.record.line(format!("discovery: a watch from {from}"));
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = from;
        let mut first = true;
        let mut last_line = Instant::now();
        loop {
            let text = {
                let list = self.0.list.lock().unwrap();
                let all = first && from == 0;
                let changed = list.entries.iter().filter(|(rev, _)| all || *rev > told);
                let changed: Vec<&Entry> = changed.map(|(_, entry)| entry).collect();
                let text = (first || !changed.is_empty()).then(|| list_json(list.rev, all, changed.into_iter()));
                told = list.rev;
                text
            };
            first = false;
            if let Some(text) = text {
                self.0.record.line(format!("discovery: told up to rev {told}"));
                connection.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= Duration::from_secs(2) {
                connection.write(b"1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
