//! Starts processes of a sender, sends them signals and requests, and reads their log.

use super::agent::Agent;
use super::client::{Client, message};
use super::config::{config, fresh_folder, with_members};
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
use std::time::Duration;

/// Interval at which a paused reader of the log checks whether it may read on.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A running process of a sender, with the folder and the settings from which further processes of the sender can be
/// started.
pub struct Node {
    /// Folder with the configuration and the state folder.
    pub folder: PathBuf,
    discovery: SocketAddr,
    disk_mb: f64,
    idle_s: f64,
    sockets: usize,
    pub process: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for operators.
    pub control: SocketAddr,
    /// Lines that the process has logged so far.
    pub log: Arc<Mutex<Vec<String>>>,
    /// False once the test has asked to close the reading end of the log's pipe, which happens after the next line.
    reads_log: Arc<AtomicBool>,
    /// True while the test leaves the log's pipe unread.
    pauses_log: Arc<AtomicBool>,
    /// Listening socket that is passed to each process.
    passed_socket: Option<Arc<TcpListener>>,
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

    /// Starts a sender that inherits its listening socket, as from a platform that passes one socket to every process.
    pub fn with_passed_socket(agent: &Agent) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let folder = fresh_folder();
        Node::start(folder, agent.address, 3.0, 5.0, 1024, Some(listener))
    }

    /// Starts a sender that inherits its listening socket, with a configuration that the caller has changed. Further
    /// processes are started by [`Node::successor_as_configured`].
    pub fn with_passed_socket_configured(
        agent: &Agent,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let folder = fresh_folder();
        let text = change(config(agent.address, 3.0, 5.0, 1024));
        std::fs::write(folder.join("config.json"), text).expect("written");
        let command = command(&folder);
        let socket = Some(listener);
        Node::spawn(command, folder, agent.address, 3.0, 5.0, 1024, socket)
    }

    /// Starts another process on the same folder, with the original configuration and the same passed socket.
    pub fn successor(&self) -> Self {
        let passed_socket = self.passed_socket.clone();
        Node::start(
            self.folder.clone(),
            self.discovery,
            self.disk_mb,
            self.idle_s,
            self.sockets,
            passed_socket,
        )
    }

    /// Starts a sender with further members of the configuration (see [`with_members`]) and another number of call
    /// slots.
    pub fn configured(agent: &Agent, idle_s: f64, slots: usize, members: &str) -> Self {
        let folder = fresh_folder();
        let config = config(agent.address, 3.0, idle_s, 1024)
            .replace(r#""callSlots":8"#, &format!(r#""callSlots":{slots}"#));
        std::fs::write(folder.join("config.json"), with_members(&config, members))
            .expect("written");
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

    /// Starts a sender with a configuration that the caller has changed.
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

    /// Starts another process on the same folder, with the configuration that the folder holds now.
    pub fn successor_as_configured(&self) -> Self {
        self.successor_with_discovery(self.discovery)
    }

    /// Starts another process on the same folder, with the configuration that the folder holds now and discovery at another
    /// address.
    pub fn successor_at(&self, agent: &Agent) -> Self {
        self.successor_with_discovery(agent.address)
    }

    fn successor_with_discovery(&self, discovery: SocketAddr) -> Self {
        let (disk_mb, idle_s, sockets) = (self.disk_mb, self.idle_s, self.sockets);
        let (folder, passed_socket) = (self.folder.clone(), self.passed_socket.clone());
        Node::spawn(
            command(&folder),
            folder,
            discovery,
            disk_mb,
            idle_s,
            sockets,
            passed_socket,
        )
    }

    /// Starts a sender from another build of the program, to compare measurements with this build.
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
        passed_socket: Option<Arc<TcpListener>>,
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
            passed_socket,
        )
    }

    pub(super) fn spawn(
        mut command: Command,
        folder: PathBuf,
        discovery: SocketAddr,
        disk_mb: f64,
        idle_s: f64,
        sockets: usize,
        passed_socket: Option<Arc<TcpListener>>,
    ) -> Self {
        if let Some(listener) = &passed_socket {
            // the socket is passed to a shell as its standard input, and the shell duplicates it to descriptor 7
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
        let (shared_log, errors) = (log.clone(), process.stderr.take().expect("piped"));
        let reads_log = Arc::new(AtomicBool::new(true));
        let continues = reads_log.clone();
        let pauses_log: Arc<AtomicBool> = Arc::default();
        let pauses = pauses_log.clone();
        thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                shared_log.lock().expect("not poisoned").push(line);
                while pauses.load(Ordering::SeqCst) {
                    thread::sleep(PAUSE_CHECK_INTERVAL);
                }
                if !continues.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        let logged_address = |prefix: &str| {
            let mut address = None;
            wait_until(prefix, || {
                let log = log.lock().expect("not poisoned");
                address = log
                    .iter()
                    .find_map(|line| line.split_once(prefix)?.1.trim().parse().ok());
                address.is_some()
            });
            address.expect("found")
        };
        let (address, control) = (
            logged_address("listening on "),
            logged_address("control API at "),
        );
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
            reads_log,
            pauses_log,
            passed_socket,
        }
    }

    /// Waits until the process reports that it is ready for messages.
    pub fn ready(self) -> Self {
        wait_until("ready", || self.readiness_status() == 200);
        self
    }

    /// Sends a readiness request to the clients' address. Returns the status of the response, or 0 if the connection
    /// ends first.
    pub fn readiness_status(&self) -> u16 {
        self.send_bytes("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes())
            .0
    }

    /// Sends an operator's request (method and path). Returns the status of the response, or 0 if the connection ends
    /// first.
    pub fn operator_status(&self, call: &str, body: &str) -> u16 {
        let text = format!(
            "{call} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Client::to(self.control)
            .send(text.as_bytes())
            .unwrap_or_default()
            .0
    }

    /// Disables or enables an endpoint; `operation` is `disable` or `enable`. Returns the status of the response,
    /// or 0 if the connection ends first.
    pub fn admin_command(&self, operation: &str, uid: &str) -> u16 {
        self.operator_status(
            &format!("POST /endpoints/{operation}"),
            &format!(r#"{{"target":"{uid}"}}"#),
        )
    }

    /// Sends the bytes on a new connection. Returns the status and the response; status 0 if the connection ends first.
    pub fn send_bytes(&self, bytes: &[u8]) -> (u16, Request) {
        let mut client = Client::new(self);
        client.send(bytes).unwrap_or_default()
    }

    /// Submits a message. Returns the status of the response, or 0 if the connection ends first.
    pub fn submit(&self, class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> u16 {
        self.send_bytes(&message(class, id, dest, time_ms, body)).0
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process, given by its name without `SIG`.
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

    /// Runs the action while the process is stopped by SIGSTOP, so that the process finds all resulting events at the
    /// same time when it continues.
    pub fn while_stopped(&self, action: impl FnOnce()) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        wait_until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("process is running");
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
        action();
        self.signal("CONT");
    }

    /// Changes the address of discovery in the configuration and sends SIGHUP to the process.
    pub fn move_discovery(&self, agent: &Agent) {
        self.move_discovery_to(agent.address);
    }

    /// As [`Node::move_discovery`], to an address at which there need not be an agent.
    pub fn move_discovery_to(&self, discovery: SocketAddr) {
        let path = self.folder.join("config.json");
        let text = std::fs::read_to_string(&path).expect("the configuration");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        config["discovery"] = discovery.to_string().into();
        std::fs::write(path, config.to_string()).expect("written");
        self.hang_up();
    }

    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Kills the process and starts another one on the same folder.
    pub fn restart(mut self) -> Self {
        self.kill();
        self.successor()
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .expect("process is running")
            .count()
    }

    /// Returns the resident anonymous memory of the process in bytes.
    pub fn memory(&self) -> usize {
        self.memory_if_running().expect("process is running")
    }

    /// Returns the resident anonymous memory of the process in bytes; `None` once it has ended.
    pub fn memory_if_running(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kibibytes: usize = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kibibytes * 1024)
    }

    /// Returns the path of the journal's file.
    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Leaves the log's pipe unread from the next line on, or reads on.
    pub fn pause_log(&self, pauses: bool) {
        self.pauses_log.store(pauses, Ordering::SeqCst);
    }

    /// Closes the reading end of the log's pipe after the next line.
    pub fn close_log(&mut self) {
        self.reads_log.store(false, Ordering::SeqCst);
    }

    /// Returns true if a logged line contains the text.
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

/// Returns a command that runs the sender with the configuration and the state folder in the given folder. Its log is
/// piped.
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
