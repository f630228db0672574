//! One real sender on loopback, in a folder of its own.

use anyhow::{Context, bail};
use rustix::process::Pid;
use serde_json::json;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Between two looks at a process.
const LOOK: Duration = Duration::from_millis(5);
/// A process that starts has the head of its log written by then, whatever it has to read first.
const ANSWER: Duration = Duration::from_secs(5);
/// Unchanged processor time for so long means that nothing more is done.
const QUIET: Duration = Duration::from_millis(1_000);

/// How a sender is set up.
#[derive(Debug)]
pub struct Setup {
    pub program: PathBuf,
    /// Gets the configuration, the lasting folder and the log.
    pub folder: PathBuf,
    pub discovery: SocketAddr,
    pub max_held: u64,
    pub disk_mb: u64,
}

/// A process that ends with this value.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
    started: Instant,
}

impl Setup {
    /// The lasting folder.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Writes the configuration down.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn write(&self) -> anyhow::Result<()> {
        std::fs::create_dir_all(self.state())?;
        let class = |name: &str, effect: &str| json!({ "name": name, "aim": 4.0, "deadline": 14_400.0, "effect": effect, "group": "all", "window": 10.0 });
        let config = json!({
            "name": "scale", "listen": "127.0.0.1:0", "discovery": self.discovery, "seed": "8c1f",
            "limits": { "cores": 1.0, "memory_mb": 4096, "sockets": 1024, "disk_mb": self.disk_mb },
            "known": { "rev": 0, "all": true, "targets": [] },
            "settings": {
                "az": "a", "zones": ["a"], "balancers": 1, "machineTypes": ["one"],
                "caps": { "maxOpen": self.max_held, "mostTries": 12, "mayCancel": true, "secondCopies": true,
                    "connIdle": 10.0, "dialTimeout": 0.5, "retryAfter": true, "maxRetryAfter": 3.0 },
                "classes": [class("status", "idempotent"), class("report", "deduplicated"),
                    class("charge", "at_most_once")],
                "specifics": { "callSlots": 33, "bundleMax": [1], "routesApart": [false] },
                "safety": { "stopSendingWithin": 2.0, "cold": 11.0, "startCapacity": 0.18,
                    "fallMultiple": 2.0, "fall": 1.5, "turnGap": 0.3 }
            }
        });
        let path = self.folder.join("config.json");
        std::fs::write(&path, serde_json::to_vec(&config)?).context(path.display().to_string())
    }

    /// Starts it.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&self) -> anyhow::Result<Process> {
        let log = self.folder.join("log");
        let errors = File::create(&log)?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["exec", &std::process::id().to_string()])
            .arg(&self.program)
            .arg("--");
        command
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_STATE", self.state())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors);
        let started = Instant::now();
        let child = command
            .spawn()
            .with_context(|| format!("{} can't be started", self.program.display()))?;
        Ok(Process {
            child,
            log,
            started,
        })
    }
}

impl Process {
    pub fn pid(&self) -> anyhow::Result<Pid> {
        i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .context("it has no id")
    }

    /// The lines of its log.
    pub fn log(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.log).context("its log")
    }

    /// Time from its start until it says that it is ready; none if it does not within `patience`.
    ///
    /// # Errors
    /// It ended by itself.
    pub fn ready(&mut self, patience: Duration) -> anyhow::Result<Option<Duration>> {
        let until = self.started + patience;
        let mut address = None;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                bail!("the sender ended, {status}: {}", self.log()?);
            }
            address = match address {
                None => listens(&self.log()?),
                known => known,
            };
            if address.is_some_and(|address| says_ready(address, until)) {
                return Ok(Some(self.started.elapsed()));
            }
            std::thread::sleep(LOOK);
        }
        Ok(None)
    }

    /// Waits until it has nothing more to do, for `patience` at most; the processor time so far.
    ///
    /// # Errors
    /// It ended by itself.
    pub fn settle(&self, patience: Duration) -> anyhow::Result<Duration> {
        let until = Instant::now() + patience;
        let mut spent = super::resources::process_time(self.pid()?)?;
        while Instant::now() < until {
            std::thread::sleep(QUIET);
            let before =
                std::mem::replace(&mut spent, super::resources::process_time(self.pid()?)?);
            // a tick of the kernel's clock may fall to one that only hears that discovery lives
            if spent - before <= QUIET / 50 {
                break;
            }
        }
        Ok(spent)
    }

    /// SIGKILL, and the end.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // one that has ended needs no end
        let _ = self.kill();
    }
}

/// Where the log says that it listens.
fn listens(log: &str) -> Option<SocketAddr> {
    log.lines()
        .find_map(|line| line.split_once("listening on ")?.1.trim().parse().ok())
}

fn says_ready(address: SocketAddr, until: Instant) -> bool {
    let patience = until
        .saturating_duration_since(Instant::now())
        .min(ANSWER)
        .max(LOOK);
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        std::io::Result::Ok(head)
    };
    ask().is_ok_and(|head| head.ends_with(b" 200"))
}

/// The program's path, as it can be used from any folder.
///
/// # Errors
/// There is none.
pub fn program(path: &Path) -> anyhow::Result<PathBuf> {
    path.canonicalize()
        .with_context(|| format!("{}: build it first", path.display()))
}

/// The folder, empty.
///
/// # Errors
/// It can't be emptied or made.
pub fn fresh(folder: &Path) -> anyhow::Result<PathBuf> {
    match std::fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error.into()),
        _ => {}
    }
    std::fs::create_dir_all(folder)?;
    Ok(folder.canonicalize()?)
}
