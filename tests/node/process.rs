//! The sender's process: starts, signals, and what it shows of itself.

use super::agent::Agent;
use super::client::{Client, message};
use super::config::{config, fresh_folder, with_part};
use super::http::Request;
use super::wait_until;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

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

    pub(super) fn spawn(
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
