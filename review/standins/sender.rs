//! A real sender, started by `run` of the deploy file, with its configuration and its lasting folder.

use crate::client;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Ids of the processes that run, for an end in a hurry.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all senders that this process has started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {id}")])
            .status();
    }
}

/// Everything that one sender keeps from start to start.
pub struct Sender {
    pub listen: SocketAddr,
    folder: PathBuf,
    run: String,
    root: PathBuf,
    record: Record,
    child: Option<Child>,
    starts: u64,
}

/// Values of a configuration that a case chooses.
pub struct Config<'a> {
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub disk_mb: f64,
    pub max_open: u64,
    /// Descriptors that the sender may hold.
    pub sockets: u64,
}

impl Sender {
    /// A sender with an empty folder below `temporary`.
    pub fn new(root: &Path, temporary: &Path, record: Record) -> Self {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("run");
        let run = line.split('"').next().expect("run").to_string();
        let listen = TcpListener::bind("127.0.0.4:0")
            .and_then(|free| free.local_addr())
            .expect("a free port");
        let folder = temporary.join("sender");
        for name in ["state", "tmp"] {
            fs::create_dir_all(folder.join(name)).expect("a folder");
        }
        Sender {
            listen,
            folder,
            run,
            root: root.to_path_buf(),
            record,
            child: None,
            starts: 0,
        }
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Size of the lasting folder as the platform counts it: every file in whole 512 bytes.
    pub fn folder_bytes(&self) -> u64 {
        let files = fs::read_dir(self.state())
            .map(|files| files.flatten().collect::<Vec<_>>())
            .unwrap_or_default();
        let sizes = files
            .iter()
            .filter_map(|file| file.metadata().ok())
            .filter(|file| file.is_file());
        sizes.map(|file| file.len().div_ceil(512) * 512).sum()
    }

    /// Names and sizes of the files in the lasting folder.
    pub fn files(&self) -> String {
        let files = fs::read_dir(self.state())
            .map(|files| files.flatten().collect::<Vec<_>>())
            .unwrap_or_default();
        let mut texts: Vec<String> = files
            .iter()
            .filter_map(|file| {
                Some(format!(
                    "{} {}",
                    file.file_name().to_string_lossy(),
                    file.metadata().ok()?.len()
                ))
            })
            .collect();
        texts.sort();
        texts.join(", ")
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, config: &Config<'_>) {
        let settings = include_str!("settings.json").replace("MAX_OPEN", &config.max_open.to_string());
        let text = format!(
            "{{\"name\":\"n3\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{},\"disk_mb\":{}}},\"known\":{},\"settings\":{settings}}}",
            self.listen, config.discovery, 0x8c1f_30d2_7a5b_e964_u64 ^ self.starts, config.sockets, config.disk_mb, config.known
        );
        let new = self.folder.join("config.new");
        fs::write(&new, text).expect("written");
        fs::rename(new, self.folder.join("config.json")).expect("renamed");
    }

    /// Starts the sender with the configuration that was written last.
    pub fn start(&mut self, discovery: SocketAddr) {
        self.starts += 1;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("RELAY_NAME", "n3")
            .env("RELAY_LISTEN", self.listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_STATE", self.state())
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // SAFETY: the call only sets a flag of the new process: it ends with the thread that started it, the main one
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("started");
        RUNNING.lock().unwrap().push(child.id());
        self.record.line(format!("sender: start {}", self.starts));
        self.child = Some(child);
    }

    /// Waits until `GET /ready` is answered with 200; false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if client::get(self.listen, "/ready") == Some(200) {
                self.record.line("sender: ready");
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line("sender: not ready in time");
        false
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line("sender: SIGKILL");
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// True if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }

    /// Copies the sender's log into the record.
    pub fn record_log(&self) {
        for line in fs::read_to_string(self.folder.join("log"))
            .unwrap_or_default()
            .lines()
            .take(200)
        {
            self.record.line(format!("log: {line}"));
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
