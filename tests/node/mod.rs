//! A real sender as a process of its own, with a scripted agent and scripted endpoints on loopback sockets.
#![allow(dead_code)]

pub mod fragments;
pub mod registry;
pub mod shim;

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition: far beyond what any takes.
const PATIENCE: Duration = Duration::from_secs(20);

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(Duration::from_millis(3));
    }
}

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub connection: usize,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Ids of the messages in a call, single or bulk.
    pub fn ids(&self) -> Vec<String> {
        if self.line.starts_with("POST /inbox ") {
            return vec![self.header("x-request-id").to_string()];
        }
        let (mut ids, mut rest) = (Vec::new(), &self.body[..]);
        while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8(rest[..end].to_vec()).expect("a line of text");
            let words: Vec<&str> = line.split(' ').collect();
            assert_eq!(words.len(), 3, "{line}");
            ids.push(words[0].to_string());
            let length: usize = words[2].parse().expect("a length");
            assert_eq!(&rest[end + 2 + length..end + 4 + length], b"\r\n");
            rest = &rest[end + 4 + length..];
        }
        ids
    }
}

/// Reads one request or answer; none at the end of the connection.
fn read_http(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if request.line.is_empty() {
            request.line = line;
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            request
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// What an endpoint does with a call.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Status line and headers, without the last empty line, and the body.
    Answer(&'static str, String),
    /// Nothing, while the connection stays open.
    Silence,
    /// The connection ends.
    Close,
    /// An answer, and then the connection ends.
    Last(&'static str),
}

pub const OK: Reply = Reply::Answer("200 OK", String::new());

type Script = Arc<dyn Fn(&Request, usize) -> Reply + Send + Sync>;

/// A server whose script gets each request and its number.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Request>>>,
    pub connections: Arc<AtomicUsize>,
}

impl Endpoint {
    pub fn new(script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = Endpoint {
            address: listener.local_addr().expect("bound"),
            seen: Arc::default(),
            connections: Arc::default(),
        };
        let (here, script): (_, Script) = (endpoint.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (here, script) = (here.clone(), script.clone());
                let connection = here.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || here.serve(stream, connection, &script));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, connection: usize, script: &Script) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(request) = read_http(&mut reader) {
            let request = Request {
                connection,
                ..request
            };
            let number = {
                let mut seen = self.seen.lock().expect("not poisoned");
                seen.push(request.clone());
                seen.len() - 1
            };
            let (head, body, last) = match script(&request, number) {
                Reply::Answer(head, body) => (head, body, false),
                Reply::Last(head) => (head, String::new(), true),
                Reply::Silence => continue,
                Reply::Close => return,
            };
            let text = format!(
                "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() || last {
                return;
            }
        }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("not poisoned").len()
    }

    pub fn request(&self, number: usize) -> Request {
        self.seen.lock().expect("not poisoned")[number].clone()
    }

    /// How often a message came.
    pub fn times(&self, id: &str) -> usize {
        let seen = self.seen.lock().expect("not poisoned");
        seen.iter()
            .flat_map(Request::ids)
            .filter(|other| other == id)
            .count()
    }
}

/// Discovery: tells one list to each watch and what changes after it, and takes notices.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<String>>>,
    /// Lines for the next watch; empty: a silent one, as while discovery is down.
    pub lines: Arc<Mutex<Vec<String>>>,
    /// Lines for the watches that are open.
    changes: Arc<Mutex<Vec<String>>>,
    pub watches: Arc<AtomicUsize>,
    /// So many of the first watches tell nothing more.
    pub muted: Arc<AtomicUsize>,
    /// So many of the first watches have ended.
    pub ended: Arc<AtomicUsize>,
    /// Further watches are answered 503, as while discovery is down, and how many were.
    pub down: Arc<AtomicBool>,
    pub refused: Arc<AtomicUsize>,
    /// Further watches are accepted and not answered, as by one that is cut off.
    pub held: Arc<AtomicBool>,
    /// How long a watch waits before it tells anything.
    pub late: Arc<Mutex<Duration>>,
    /// So many requests with notices are answered 500 first.
    pub faults: Arc<AtomicUsize>,
    /// The next answers to notices break off after so many bytes.
    notice_cuts: Arc<Mutex<VecDeque<usize>>>,
}

impl Agent {
    pub fn new(lines: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let agent = Agent {
            address: listener.local_addr().expect("bound"),
            notices: Arc::default(),
            lines: Arc::new(Mutex::new(lines)),
            changes: Arc::default(),
            watches: Arc::default(),
            muted: Arc::default(),
            ended: Arc::default(),
            down: Arc::default(),
            refused: Arc::default(),
            held: Arc::default(),
            late: Arc::default(),
            faults: Arc::default(),
            notice_cuts: Arc::default(),
        };
        let here = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let here = here.clone();
                thread::spawn(move || serve_agent(stream, &here));
            }
        });
        agent
    }

    /// The next answers to notices break off after so many bytes, one after another.
    pub fn cut_notices(&self, lengths: impl IntoIterator<Item = usize>) {
        let mut cuts = self.notice_cuts.lock().expect("not poisoned");
        cuts.extend(lengths);
    }

    /// Tells a change to the watches that are open.
    pub fn tell(&self, line: String) {
        self.changes.lock().expect("not poisoned").push(line);
    }

    pub fn notices(&self) -> Vec<String> {
        self.notices.lock().expect("not poisoned").clone()
    }
}

fn serve_agent(mut stream: TcpStream, agent: &Agent) {
    let Agent {
        notices,
        lines,
        watches,
        faults,
        changes,
        ..
    } = agent;
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let Some(request) = read_http(&mut reader) else {
        return;
    };
    if request.line.starts_with("POST /v1/outcomes ") {
        let faulty = faults
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
            .is_ok();
        let status = if faulty { "500 Oops" } else { "204 No Content" };
        if !faulty {
            let text = String::from_utf8(request.body).expect("text");
            notices
                .lock()
                .expect("not poisoned")
                .extend(text.lines().map(str::to_string));
        }
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let cut = agent.notice_cuts.lock().expect("not poisoned").pop_front();
        let length = cut.unwrap_or(answer.len());
        let _ = stream.write_all(&answer.as_bytes()[..length]);
        return;
    }
    if request.line.starts_with("GET /v1/freeze ") {
        // a discovery that knows no calendar
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    assert!(
        request.line.starts_with("GET /v1/endpoints?watch=1&from="),
        "{}",
        request.line
    );
    if agent.down.load(Ordering::SeqCst) {
        agent.refused.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    while agent.held.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
    let number = watches.fetch_add(1, Ordering::SeqCst);
    thread::sleep(*agent.late.lock().expect("not poisoned"));
    let mut told = lines.lock().expect("not poisoned").clone();
    let mut seen = changes.lock().expect("not poisoned").len();
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    let silent = told.is_empty();
    loop {
        while number < agent.muted.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        for line in told.drain(..) {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        let until = Instant::now() + Duration::from_millis(500);
        while told.is_empty() && Instant::now() < until {
            if number < agent.ended.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
            told.extend(
                changes.lock().expect("not poisoned")[seen..]
                    .iter()
                    .cloned(),
            );
        }
        seen += told.len();
        if !silent && told.is_empty() {
            told.push(String::new());
        }
    }
}

/// A list for discovery's form: each endpoint's uid, address, kind, destination and state.
pub fn list(entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    lines_of(7, true, entries)
}

/// Changes that make a further version.
pub fn changes(version: u64, entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    lines_of(version, false, entries)
}

fn lines_of(version: u64, all: bool, entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    let targets: Vec<String> = entries
        .iter()
        .map(|(uid, address, kind, destination, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"{kind}","pod_group":{destination},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"rev":{version},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// An empty folder: process ids come again, and with them what an earlier run has left.
pub fn fresh_folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("node-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).expect("a folder");
    folder
}

/// A configuration for one sender, with a port of its own for clients and one for operators.
pub fn config(discovery: SocketAddr, disk_mb: f64, idle_s: f64, sockets: usize) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","control":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets},"disk_mb":{disk_mb}}},
        "known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"az":"a","balancers":1,"zones":["a"],"machineTypes":["one","bulk"],
          "caps":{{"maxOpen":50,"mostTries":12,"mayCancel":true,"secondCopies":true,"connIdle":{idle_s},
            "dialTimeout":0.5,"retryAfter":true,"maxRetryAfter":3.0}},
          "report":{{"how":"piggyback","fields":["x0","x1"]}},
          "classes":[
            {{"name":"webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0}},
            {{"name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once"}},
            {{"name":"charge","aim":4.0,"deadline":20.0,"effect":"at_most_once","oneAtATime":true}}],
          "realms":[{{"name":"acme","allowancePerS":0.01}},{{"name":"beta","allowancePerS":1000.0}}],
          "overShareWorth":0.1,
          "specifics":{{"callSlots":8,"bundleMax":[1,5],"routesApart":[false,false]}},
          "safety":{{"stopSendingWithin":1.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0}}}}}}"#
    )
}

/// The configuration with a further part.
pub fn with_part(config: &str, more: &str) -> String {
    config.replacen(r#""known":"#, &format!(r#"{more}"known":"#), 1)
}

/// The sender and what outlasts its processes.
pub struct Node {
    pub folder: PathBuf,
    discovery: SocketAddr,
    disk_mb: f64,
    idle_s: f64,
    sockets: usize,
    pub process: Child,
    pub address: SocketAddr,
    /// Where it answers operators.
    pub control: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    reading: Arc<AtomicBool>,
    passed: Option<Arc<TcpListener>>,
}

impl Node {
    pub fn new(agent: &Agent) -> Self {
        Node::with(agent.address, 3.0, 5.0)
    }

    pub fn with(discovery: SocketAddr, disk_mb: f64, idle_s: f64) -> Self {
        Node::with_sockets(discovery, disk_mb, idle_s, 1024)
    }

    pub fn with_sockets(discovery: SocketAddr, disk_mb: f64, idle_s: f64, sockets: usize) -> Self {
        let folder = fresh_folder();
        Node::start(folder, discovery, disk_mb, idle_s, sockets, None)
    }

    /// One whose listening socket the platform holds and passes to every process.
    pub fn on_a_passed_socket(agent: &Agent) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let folder = fresh_folder();
        Node::start(folder, agent.address, 3.0, 5.0, 1024, Some(listener))
    }

    /// Starts a further process on the same folder and socket.
    pub fn successor(&self) -> Self {
        let passed = self.passed.clone();
        Node::start(
            self.folder.clone(),
            self.discovery,
            self.disk_mb,
            self.idle_s,
            self.sockets,
            passed,
        )
    }

    /// One with further parts of the configuration, and other call slots.
    pub fn configured(agent: &Agent, idle_s: f64, slots: usize, more: &str) -> Self {
        let folder = fresh_folder();
        let config = config(agent.address, 3.0, idle_s, 1024)
            .replace(r#""callSlots":8"#, &format!(r#""callSlots":{slots}"#));
        std::fs::write(folder.join("config.json"), with_part(&config, more)).expect("written");
        Node::spawn(
            command(&folder),
            folder,
            agent.address,
            3.0,
            idle_s,
            1024,
            None,
        )
    }

    /// One whose configuration is changed as the caller likes.
    pub fn configured_with(agent: &Agent, change: impl FnOnce(String) -> String) -> Self {
        let folder = fresh_folder();
        let text = change(config(agent.address, 3.0, 5.0, 1024));
        std::fs::write(folder.join("config.json"), text).expect("written");
        Node::spawn(
            command(&folder),
            folder,
            agent.address,
            3.0,
            5.0,
            1024,
            None,
        )
    }

    /// Starts a further process on the same folder, with the configuration as it stands there.
    pub fn successor_as_configured(&self) -> Self {
        let (disk_mb, idle_s, sockets) = (self.disk_mb, self.idle_s, self.sockets);
        let (folder, passed) = (self.folder.clone(), self.passed.clone());
        Node::spawn(
            command(&folder),
            folder,
            self.discovery,
            disk_mb,
            idle_s,
            sockets,
            passed,
        )
    }

    /// Another build of the program, to be measured beside this one.
    pub fn of_program(program: &std::path::Path, agent: &Agent, idle_s: f64) -> Self {
        let folder = fresh_folder();
        let text = config(agent.address, 3.0, idle_s, 1024);
        std::fs::write(folder.join("config.json"), text).expect("written");
        Node::spawn(
            command_of(program, &folder),
            folder,
            agent.address,
            3.0,
            idle_s,
            1024,
            None,
        )
    }

    fn start(
        folder: PathBuf,
        discovery: SocketAddr,
        disk_mb: f64,
        idle_s: f64,
        sockets: usize,
        passed: Option<Arc<TcpListener>>,
    ) -> Self {
        let text = config(discovery, disk_mb, idle_s, sockets);
        std::fs::write(folder.join("config.json"), text).expect("written");
        Node::spawn(
            command(&folder),
            folder,
            discovery,
            disk_mb,
            idle_s,
            sockets,
            passed,
        )
    }

    fn spawn(
        mut command: Command,
        folder: PathBuf,
        discovery: SocketAddr,
        disk_mb: f64,
        idle_s: f64,
        sockets: usize,
        passed: Option<Arc<TcpListener>>,
    ) -> Self {
        if let Some(listener) = &passed {
            // the shell gives the socket, which comes as its input, the number that is told
            let mut shell = Command::new("/bin/sh");
            shell
                .args(["-c", r#"exec "$0" 7<&0 0</dev/null"#])
                .arg(command.get_program());
            command.get_envs().for_each(|(name, value)| {
                shell.env(name, value.expect("set"));
            });
            shell
                .env("RELAY_PASSED_SOCKET", "7")
                .stdout(Stdio::null())
                .stderr(Stdio::piped());
            shell.stdin(OwnedFd::from(listener.try_clone().expect("cloned")));
            command = shell;
        }
        let started = command
            .env("RELAY_DISCOVERY", discovery.to_string())
            .spawn();
        let mut process = started.expect("the sender starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let (here, errors) = (log.clone(), process.stderr.take().expect("piped"));
        let reading = Arc::new(AtomicBool::new(true));
        let read = reading.clone();
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                here.lock().expect("not poisoned").push(line);
                if !read.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        let logged = |what: &str| {
            let mut address = None;
            wait_until(what, || {
                let log = log.lock().expect("not poisoned");
                address = log
                    .iter()
                    .find_map(|line| line.split_once(what)?.1.trim().parse().ok());
                address.is_some()
            });
            address.expect("found")
        };
        let (address, control) = (logged("listening on "), logged("operators at "));
        Node {
            folder,
            discovery,
            disk_mb,
            idle_s,
            sockets,
            process,
            address,
            control,
            log,
            reading,
            passed,
        }
    }

    /// Waits until it is ready.
    pub fn ready(self) -> Self {
        wait_until("ready", || self.get_ready() == 200);
        self
    }

    pub fn get_ready(&self) -> u16 {
        self.raw("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes())
            .0
    }

    /// An operator's call; the status of its answer.
    pub fn operate(&self, call: &str, body: &str) -> u16 {
        let text = format!(
            "{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Client::to(self.control)
            .send(text.as_bytes())
            .unwrap_or_default()
            .0
    }

    /// Takes an endpoint out (`disable`) or puts it back (`enable`).
    pub fn order(&self, what: &str, uid: &str) -> u16 {
        self.operate(
            &format!("POST /endpoints/{what}"),
            &format!(r#"{{"target":"{uid}"}}"#),
        )
    }

    /// Sends the bytes on a connection of their own; the status and head of the answer, 0 if none comes.
    pub fn raw(&self, bytes: &[u8]) -> (u16, Request) {
        let mut client = Client::new(self);
        client.send(bytes).unwrap_or_default()
    }

    /// Hands a message in.
    pub fn hand_in(&self, class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> u16 {
        self.raw(&message(class, id, dest, time_ms, body)).0
    }

    /// Ends the process with no warning.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the process a signal, by its name.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let name = format!("-{name}");
        assert!(
            Command::new("kill")
                .args([&name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    /// Has all of this meet the process at one moment: it stands still meanwhile.
    pub fn at_one_moment(&self, all: impl FnOnce()) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        wait_until("it stands still", || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
        all();
        self.signal("CONT");
    }

    /// Has the configuration name another address for discovery, and tells the process.
    pub fn move_discovery(&self, agent: &Agent) {
        let path = self.folder.join("config.json");
        let text = std::fs::read_to_string(&path).expect("the configuration");
        let text = text.replace(&self.discovery.to_string(), &agent.address.to_string());
        std::fs::write(path, text).expect("written");
        self.hang_up();
    }

    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Kills it if it runs, and starts it again with the same folder.
    pub fn restart(mut self) -> Self {
        self.kill();
        self.successor()
    }

    /// Descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .expect("it runs")
            .count()
    }

    /// Memory of the process that no file backs, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))
            .expect("it runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))
            .expect("listed");
        line.trim()
            .trim_end_matches(" kB")
            .parse::<usize>()
            .expect("a number")
            * 1024
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// The log is read up to its next line, then its pipe is closed.
    pub fn log_closes(&mut self) {
        self.reading.store(false, Ordering::SeqCst);
    }

    pub fn logged(&self, text: &str) -> bool {
        self.log
            .lock()
            .expect("not poisoned")
            .iter()
            .any(|line| line.contains(text))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let log = self.log.lock().map(|log| log.clone()).unwrap_or_default();
        let violations: Vec<_> = log
            .iter()
            .filter(|line| line.starts_with("violation: "))
            .collect();
        assert!(
            violations.is_empty() || thread::panicking(),
            "{violations:#?}"
        );
    }
}

/// The program with the variables that name its configuration and its lasting folder.
pub fn command(folder: &std::path::Path) -> Command {
    command_of(env!("CARGO_BIN_EXE_message-sender").as_ref(), folder)
}

fn command_of(program: &std::path::Path, folder: &std::path::Path) -> Command {
    let mut command = Command::new(program);
    command
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_STATE", folder.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

pub fn message(class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={dest}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A message about a subject.
pub fn about(subject: &str, class: &str, id: &str, dest: u64, time_ms: u64) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen(" HTTP/1.1", &format!("?subject={subject} HTTP/1.1"), 1)
        .into_bytes()
}

/// A message of a tenant.
pub fn of_tenant(tenant: &str, class: &str, id: &str, dest: u64, time_ms: u64) -> Vec<u8> {
    let text = String::from_utf8(message(class, id, dest, time_ms, b"x")).expect("text");
    text.replacen("\r\n", &format!("\r\nX-Tenant-Id: {tenant}\r\n"), 1)
        .into_bytes()
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(node: &Node) -> Self {
        Client::to(node.address)
    }

    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the sender accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Client(BufReader::new(stream))
    }

    /// True if the sender has ended the connection.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set");
        let ended = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false).expect("set");
        ended
    }

    /// The answer's status and head; none if the connection ends first.
    pub fn send(&mut self, bytes: &[u8]) -> Option<(u16, Request)> {
        self.write(bytes).ok()?;
        self.answer()
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// The next answer's status and head; none if the connection ends first.
    pub fn answer(&mut self) -> Option<(u16, Request)> {
        let answer = read_http(&mut self.0)?;
        let status = answer.line.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    }
}

/// A text answer of an operator's call.
pub fn told(node: &Node, call: &str) -> String {
    let mut stream = TcpStream::connect(node.control).expect("the sender accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
        .write_all(format!("{call} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())
        .expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answered");
    text.split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string())
        .unwrap_or_default()
}

/// What the sender tells of its connections.
pub fn pools(node: &Node) -> serde_json::Value {
    serde_json::from_str(&told(node, "GET /pools")).expect("JSON")
}

/// Discovery with one endpoint, of destination 7.
pub fn one(endpoint: &Endpoint) -> Agent {
    Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])])
}

/// Hands a message in and waits until the sender knows its end: its connection is free again by then.
pub fn sent(node: &Node, id: &str, dest: u64) {
    assert_eq!(node.hand_in("webhook", id, dest, 20_000, b"x"), 202);
    wait_until("its end is known", || {
        node.hand_in("webhook", id, dest, 20_000, b"x") == 200
    });
}
