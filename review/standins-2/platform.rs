//! Discovery and the platform's end of notices, on one address.

use crate::endpoint::Endpoint;
use crate::http;
use crate::world::{World, ms};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How discovery answers watches.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Watches {
    Serve,
    /// Each call for a list waited too long: 503.
    Crowded,
    /// Nothing is said, neither on open watches nor to new calls.
    Silent,
}

/// A list of one version.
struct List {
    rev: u64,
    /// For each version, the uids that it changed.
    changes: Vec<(u64, String)>,
}

pub struct Notice {
    pub text: String,
    pub at: Instant,
}

pub struct Platform {
    pub name: &'static str,
    pub address: SocketAddr,
    endpoints: Vec<Arc<Endpoint>>,
    /// Entries of further endpoints, which no message is for.
    further: Vec<String>,
    list: Mutex<List>,
    pub watches: Mutex<Watches>,
    pub notices: Mutex<Vec<Notice>>,
    /// True once the address takes no new connections.
    pub closed: Mutex<bool>,
    /// Times at which a watch wrote a version.
    pub told: Mutex<Vec<(u64, Instant)>>,
}

impl Platform {
    pub fn start(world: &World, name: &'static str, rev: u64, endpoints: Vec<Arc<Endpoint>>) -> Arc<Self> {
        Platform::with_further(world, name, rev, endpoints, Vec::new())
    }

    pub fn with_further(
        world: &World,
        name: &'static str,
        rev: u64,
        endpoints: Vec<Arc<Endpoint>>,
        further: Vec<String>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let platform = Arc::new(Platform {
            name,
            address: listener.local_addr().unwrap(),
            endpoints,
            further,
            list: Mutex::new(List {
                rev,
                changes: Vec::new(),
            }),
            watches: Mutex::new(Watches::Serve),
            notices: Mutex::default(),
            closed: Mutex::new(false),
            told: Mutex::default(),
        });
        let (served, world) = (platform.clone(), world.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *served.closed.lock().unwrap() {
                    return; // the listener ends with this thread: later connections are refused
                }
                let (served, world) = (served.clone(), world.clone());
                thread::spawn(move || served.connection(&world, stream));
            }
        });
        platform
    }

    /// Takes no new connections from now on, and ends the open ones 1.5 s later.
    pub fn retire(&self, world: &World) {
        *self.closed.lock().unwrap() = true;
        // the listener notices with its next connection
        let _ = TcpStream::connect(self.address);
        world.note(&format!("{}: takes no new connections", self.name));
    }

    /// Sets an endpoint's state in the list; returns when discovery had the change.
    pub fn change(&self, world: &World, endpoint: &Endpoint, state: &'static str) -> Instant {
        let mut list = self.list.lock().unwrap();
        *endpoint.state.lock().unwrap() = state;
        list.rev += 1;
        let rev = list.rev;
        list.changes.push((rev, endpoint.uid.clone()));
        world.note(&format!("{}: rev {rev}, {} is {state}", self.name, endpoint.uid))
    }

    /// The whole list as JSON.
    pub fn whole(&self) -> String {
        let rev = self.list.lock().unwrap().rev;
        let listed = self
            .endpoints
            .iter()
            .filter(|endpoint| *endpoint.state.lock().unwrap() != "removed");
        let entries = listed.map(|endpoint| endpoint.entry());
        let entries: Vec<String> = entries.chain(self.further.iter().cloned()).collect();
        format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(","))
    }

    fn changes_after(&self, from: u64) -> Option<(u64, String)> {
        let list = self.list.lock().unwrap();
        let uids: Vec<&String> = list
            .changes
            .iter()
            .filter(|(rev, _)| *rev > from)
            .map(|(_, uid)| uid)
            .collect();
        if uids.is_empty() {
            return None;
        }
        let changed = self.endpoints.iter().filter(|endpoint| uids.contains(&&endpoint.uid));
        let entries: Vec<String> = changed.map(|endpoint| endpoint.entry()).collect();
        let rev = list.rev;
        Some((
            rev,
            format!(r#"{{"rev":{rev},"all":false,"targets":[{}]}}"#, entries.join(",")),
        ))
    }

    fn mode(&self) -> Watches {
        *self.watches.lock().unwrap()
    }

    fn connection(&self, world: &World, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(call)) = http::read(&mut stream, &mut rest) {
            if call.first.starts_with("POST /v1/outcomes") {
                let at = Instant::now();
                let text = String::from_utf8_lossy(&call.body).into_owned();
                for line in text.lines().filter(|line| !line.is_empty()) {
                    world.note_at(at, &format!("{}: notice {line}", self.name));
                    let text = line.to_string();
                    self.notices.lock().unwrap().push(Notice { text, at });
                }
                if http::answer(&mut stream, "204 No Content", "", "").is_err() {
                    return;
                }
                continue;
            }
            let target = call.second().to_string();
            let from = target
                .split("from=")
                .nth(1)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            match self.mode() {
                Watches::Crowded => {
                    thread::sleep(ms(200));
                    world.note(&format!("{}: {target} waited too long, 503", self.name));
                    let _ = http::answer(&mut stream, "503 Service Unavailable", "Connection: close\r\n", "");
                    return;
                }
                Watches::Silent => {
                    world.note(&format!("{}: {target} meets silence", self.name));
                    while self.mode() == Watches::Silent {
                        thread::sleep(ms(10));
                    }
                }
                Watches::Serve => {}
            }
            world.note(&format!("{}: {target} is answered", self.name));
            let _ = self.watch(world, &mut stream, from);
            return;
        }
    }

    fn watch(&self, world: &World, stream: &mut TcpStream, from: u64) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut rev = from;
        let first = self.list.lock().unwrap().changes.first().map(|(rev, _)| *rev);
        if from == 0 || first.is_some_and(|first| from + 1 < first) {
            rev = self.list.lock().unwrap().rev;
            chunk(stream, &self.whole())?;
            self.wrote(world, rev);
        }
        let mut last = Instant::now();
        let mut closing: Option<Instant> = None;
        loop {
            thread::sleep(ms(5));
            if *self.closed.lock().unwrap() {
                let since = *closing.get_or_insert_with(Instant::now);
                if since.elapsed() >= ms(1500) {
                    return Ok(());
                }
                continue;
            }
            match self.mode() {
                Watches::Silent => continue,
                Watches::Crowded => return Ok(()),
                Watches::Serve => {}
            }
            if let Some((now, text)) = self.changes_after(rev) {
                chunk(stream, &text)?;
                rev = now;
                last = Instant::now();
                self.wrote(world, rev);
            } else if last.elapsed() >= ms(2000) {
                chunk(stream, "")?;
                last = Instant::now();
            }
        }
    }

    fn wrote(&self, world: &World, rev: u64) {
        let at = world.note(&format!("{}: rev {rev} written to a watch", self.name));
        self.told.lock().unwrap().push((rev, at));
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let length = text.len() + 1;
    stream.write_all(format!("{length:x}\r\n{text}\n\r\n").as_bytes())
}
