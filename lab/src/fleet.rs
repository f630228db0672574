//! The senders' processes: their folders, their starts, and the signals that they get.

use crate::addresses::{Addresses, ControlPort};
use crate::history::{Event, History};
use crate::process::{LabProcess, ProcessExit, ProcessSpec, spawn};
use crate::scenario::Scenario;
use crate::sender_config::SenderConfig;
use crate::usage;
use anyhow::{Context, bail};
use rustix::process::Signal;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::time::sleep;

/// Source of the library that makes system calls fail; see there.
const FAILING_CALLS_SOURCE: &str = include_str!("../shim/failing_calls.c");
/// When SIGKILL follows SIGTERM: the earliest that the protocol allows.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Begins the lines of a sender's log that report an invariant that did not hold.
const VIOLATION_PREFIX: &str = "violation: ";

/// What a fleet is made of.
#[derive(Debug)]
pub struct FleetOptions {
    /// The sender's program.
    pub program: PathBuf,
    /// Gets a folder for each sender.
    pub folder: PathBuf,
    /// The addresses of the run.
    pub addresses: Arc<Addresses>,
    /// Records starts and ends of processes.
    pub history: Arc<History>,
    /// Where each sender finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The seed of the run.
    pub seed: u64,
}

/// The senders of a run.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    senders: Vec<Sender>,
    /// Processes started so far.
    starts: u64,
}

/// One sender over the lives of its processes.
#[derive(Debug)]
struct Sender {
    process: Option<LabProcess>,
    /// Where its last process answers operators.
    control: Option<SocketAddr>,
    /// The control port of its last process.
    control_port: ControlPort,
    /// Processes that got SIGTERM, and may still run.
    terminated: Vec<LabProcess>,
    /// Processes that others were started to take over from, and may still run.
    superseded: Vec<LabProcess>,
    /// True once the sender has held more than its memory limit.
    exceeded_memory: bool,
}

impl Fleet {
    /// A fleet of which no process runs yet.
    pub fn new(options: FleetOptions) -> Self {
        let no_process = |_: &SocketAddr| Sender {
            process: None,
            control: None,
            // the first process takes the other one
            control_port: ControlPort::Alternate,
            terminated: Vec::new(),
            superseded: Vec::new(),
            exceeded_memory: false,
        };
        let senders = options.discovery.iter().map(no_process).collect();
        Fleet {
            options,
            senders,
            starts: 0,
        }
    }

    /// Number of senders.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// The addresses of the run.
    pub fn addresses(&self) -> &Arc<Addresses> {
        &self.options.addresses
    }

    /// Where a sender answers operators, while it runs.
    pub fn control_address(&self, sender: usize) -> Option<SocketAddr> {
        let sender = &self.senders[sender];
        sender.process.as_ref().and(sender.control)
    }

    fn sender_folder(&self, sender: usize) -> PathBuf {
        self.options.folder.join(format!("n{sender}"))
    }

    /// True once a sender's last process has ended.
    pub fn exited(&self, sender: usize) -> Arc<AtomicBool> {
        self.senders[sender]
            .process
            .as_ref()
            .map(LabProcess::exited)
            .unwrap_or_default()
    }

    /// Starts a sender's process. A process of it that still runs hands over to the new one.
    ///
    /// # Errors
    /// Its folder can't be written or the program can't be started.
    pub fn start(&mut self, sender: usize) -> anyhow::Result<()> {
        self.starts += 1;
        if let Some(predecessor) = self.senders[sender].process.take() {
            predecessor.mark_superseded();
            self.senders[sender].superseded.push(predecessor);
        }
        // the predecessor may still be there, shutting down or handing over
        let port = self.senders[sender].control_port.other();
        self.senders[sender].control_port = port;
        let control = self.options.addresses.control_address(sender, port);
        let variables = self.prepare_folder(sender, control)?;
        let process = self.spawn_process(sender, &variables)?;
        self.options.history.record(Event::ProcessStarted {
            sender,
            pid: process.id(),
        });
        self.senders[sender].process = Some(process);
        self.senders[sender].control = Some(control);
        Ok(())
    }

    /// Writes what the next process of a sender reads; its environment variables.
    fn prepare_folder(
        &self,
        sender: usize,
        control: SocketAddr,
    ) -> anyhow::Result<Vec<(&'static str, OsString)>> {
        let folder = self.sender_folder(sender);
        let state = folder.join("state");
        let temporary = folder.join(format!("tmp{}", self.starts));
        std::fs::create_dir_all(&state)?;
        std::fs::create_dir_all(&temporary)?;
        let config = SenderConfig {
            scenario: &self.options.scenario,
            addresses: &self.options.addresses,
            seed: self.options.seed,
            sender,
            control,
            discovery: self.options.discovery[sender],
            starts: self.starts,
        };
        let config_file = folder.join("config.json");
        std::fs::write(&config_file, serde_json::to_vec(&config.to_json())?)?;
        let mut variables = vec![
            ("RELAY_CONFIG", config_file.into_os_string()),
            ("RELAY_STATE", state.into_os_string()),
            ("TMPDIR", temporary.into_os_string()),
        ];
        if self.options.scenario.fails_calls() {
            let switches = self.switch_folder(sender)?;
            let library = failing_calls_library(&self.options.folder)?;
            variables.push(("LD_PRELOAD", library.into_os_string()));
            variables.push(("FAULT_DIR", switches.into_os_string()));
        }
        Ok(variables)
    }

    fn spawn_process(
        &self,
        sender: usize,
        variables: &[(&'static str, OsString)],
    ) -> anyhow::Result<LabProcess> {
        let history = self.options.history.clone();
        let spec = ProcessSpec {
            program: &self.options.program,
            arguments: &[],
            variables,
            log: &self.sender_folder(sender).join("log"),
        };
        spawn(&spec, move |exit: ProcessExit| {
            history.record(Event::ProcessEnded {
                sender,
                pid: exit.pid,
                intended: exit.intended,
                status: exit.status,
            });
        })
    }

    /// The folder whose files say which system calls of a sender fail.
    fn switch_folder(&self, sender: usize) -> io::Result<PathBuf> {
        let switches = self.sender_folder(sender).join("faults");
        std::fs::create_dir_all(&switches)?;
        Ok(switches)
    }

    /// Makes system calls of a sender fail from now on.
    ///
    /// # Errors
    /// The switch can't be written.
    pub fn fail_calls(
        &self,
        sender: usize,
        call: &str,
        number: i32,
        percent: u8,
    ) -> io::Result<()> {
        let switches = self.switch_folder(sender)?;
        // renamed into place, so that no process reads half of it
        let unfinished = switches.join(".new");
        std::fs::write(&unfinished, format!("{number} {percent}"))?;
        std::fs::rename(unfinished, switches.join(call))
    }

    /// Makes these system calls of a sender succeed again.
    ///
    /// # Errors
    /// The switch can't be removed.
    pub fn restore_calls(&self, sender: usize, call: &str) -> io::Result<()> {
        match std::fs::remove_file(self.switch_folder(sender)?.join(call)) {
            // two faults of one name overlapped, and the end of the first ended both
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    /// Lines of the senders' logs that report an invariant that did not hold, with the sender's number.
    pub fn violation_lines(&self) -> Vec<(usize, String)> {
        let mut violations = Vec::new();
        for sender in 0..self.senders.len() {
            let log = self.sender_folder(sender).join("log");
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| line.starts_with(VIOLATION_PREFIX));
            violations.extend(lines.map(|line| (sender, line.to_string())));
        }
        violations
    }

    /// Sends a sender's process a signal that does not end it; none is sent to one that is gone.
    pub fn signal(&self, sender: usize, signal: Signal) {
        if let Some(process) = &self.senders[sender].process {
            process.signal(signal);
        }
    }

    /// Has a sender's process end by itself, and kills it if it still runs [`KILL_AFTER_TERM`] later.
    pub fn terminate(&mut self, sender: usize) {
        let sender = &mut self.senders[sender];
        sender.terminated.retain(|process| !process.has_exited());
        let Some(process) = sender.process.take() else {
            return;
        };
        process.end(Signal::TERM);
        sender.terminated.push(process.clone());
        tokio::spawn(async move {
            sleep(KILL_AFTER_TERM).await;
            if !process.has_exited() {
                process.end(Signal::KILL);
            }
        });
    }

    /// Kills a sender's process; where there is none, those that are ending by themselves.
    pub fn kill(&mut self, sender: usize) {
        match self.senders[sender].process.take() {
            Some(process) => process.end(Signal::KILL),
            None => self.kill_terminated(sender),
        }
    }

    /// Kills the processes of a sender that were to end by themselves and still run.
    fn kill_terminated(&mut self, sender: usize) {
        for process in std::mem::take(&mut self.senders[sender].terminated) {
            if !process.has_exited() {
                process.end(Signal::KILL);
            }
        }
    }

    /// The process of a sender that a successor is about to take over from, to be ended once that is ready.
    pub fn supersede(&self, sender: usize) -> Option<LabProcess> {
        let predecessor = self.senders[sender].process.clone()?;
        predecessor.mark_superseded();
        Some(predecessor)
    }

    fn processes(&self) -> impl Iterator<Item = &LabProcess> {
        self.senders
            .iter()
            .filter_map(|sender| sender.process.as_ref())
    }

    /// What the processes use that run now.
    pub fn usage(&self) -> usage::Usage {
        usage::measure(self.processes().map(LabProcess::pid))
    }

    /// Measures what each sender's processes and its folder hold, and records each sender that exceeds its limit, once.
    pub fn check_memory(&mut self) {
        let limit = self.options.scenario.memory_mb * 1_000_000;
        for sender in 0..self.senders.len() {
            let bytes = self.memory_bytes(sender);
            if bytes > limit && !std::mem::replace(&mut self.senders[sender].exceeded_memory, true)
            {
                let exceeded = Event::MemoryExceeded { sender, bytes };
                self.options.history.record(exceeded);
            }
        }
    }

    /// Returns the anonymous memory of all processes of a sender, and the files of its lasting folder.
    fn memory_bytes(&self, sender: usize) -> u64 {
        let state = &self.senders[sender];
        let processes = state
            .process
            .iter()
            .chain(&state.terminated)
            .chain(&state.superseded);
        let anonymous: u64 = processes
            .filter_map(|process| usage::anonymous_bytes(process.pid()))
            .sum();
        anonymous + usage::folder_bytes(&self.sender_folder(sender).join("state"))
    }

    /// Removes a sender's lasting folder.
    pub fn remove_state(&self, sender: usize) {
        if let Err(error) = std::fs::remove_dir_all(self.sender_folder(sender).join("state")) {
            tracing::warn!(sender, %error, "the state folder can't be removed");
        }
        self.options.history.record(Event::StateLost { sender });
    }

    /// Kills all processes that run.
    pub fn kill_all(&mut self) {
        for sender in 0..self.senders.len() {
            self.kill(sender);
            self.kill_terminated(sender);
            for process in std::mem::take(&mut self.senders[sender].superseded) {
                process.end(Signal::KILL);
            }
        }
    }
}

/// The library that makes system calls fail, built in a folder on first use.
fn failing_calls_library(folder: &Path) -> anyhow::Result<PathBuf> {
    let library = folder.join("failing_calls.so");
    if library.exists() {
        return Ok(library);
    }
    let source = folder.join("failing_calls.c");
    std::fs::write(&source, FAILING_CALLS_SOURCE)?;
    let status = std::process::Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([library.as_os_str(), source.as_os_str(), "-ldl".as_ref()])
        .status()
        .context("cc can't be started")?;
    if !status.success() {
        bail!("{} can't be built", source.display());
    }
    Ok(library)
}
