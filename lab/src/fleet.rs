//! The senders' processes: their addresses, folders and configurations, and the signals that they get.
//!
//! Every process is started through `fault-lab exec`, which asks the kernel to kill it when the thread that
//! started it ends (PR_SET_PDEATHSIG), makes sure that its parent still lives, and then becomes the sender. So no
//! sender outlives the lab, even one that is killed. Processes must therefore be started on the main thread.

use crate::history::{Event, History};
use crate::plan::{CLASSES, SHOPS, WINDOW_S, keeps_order};
use crate::scenario::Scenario;
use crate::usage;
use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::ffi::OsString;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::process::Command;

/// Ports on a sender's own address, and that of the lab's socket which stands for it.
const CLIENTS: u16 = 8000;
const CONTROL: u16 = 8001;
const MEMBERS: u16 = 8002;
const STANDS: u16 = 9000;
/// Each second process of a sender has its operators' address here.
const CONTROL_NEXT: u16 = 8011;
/// Makes system calls fail; see there.
const SHIM: &str = include_str!("../shim/failing_calls.c");
/// Held by a run, so that no two share addresses.
const CLAIM: u16 = 7999;

/// The addresses of a run: 127.B.x.y, with a B of its own.
#[derive(Debug)]
pub struct Addresses {
    block: u8,
    _claim: TcpListener,
}

impl Addresses {
    /// Claims a block that no other run has.
    ///
    /// # Errors
    /// All are taken.
    pub fn claim() -> anyhow::Result<Self> {
        let first = std::process::id() as u8 & 63;
        for block in (0..120).map(|step| 2 + (first + step) % 120) {
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, block, 255, 254), CLAIM)) {
                return Ok(Addresses {
                    block,
                    _claim: claim,
                });
            }
        }
        bail!("no block 127.B.0.0/16 is free for a run: port {CLAIM} is taken on all of them")
    }

    fn ip(&self, part: u8, sender: usize) -> IpAddr {
        let (high, low) = ((sender / 250) as u8, (sender % 250) as u8 + 1);
        IpAddr::V4(Ipv4Addr::new(127, self.block, part + high, low))
    }

    /// Where a sender listens itself.
    pub fn own(&self, sender: usize) -> IpAddr {
        self.ip(0, sender)
    }

    /// Where the lab listens for it.
    pub fn lab(&self, sender: usize) -> IpAddr {
        self.ip(100, sender)
    }

    pub fn clients(&self, sender: usize) -> SocketAddr {
        (self.own(sender), CLIENTS).into()
    }

    pub fn members(&self, sender: usize) -> SocketAddr {
        (self.own(sender), MEMBERS).into()
    }

    /// Where a replica of the registry listens itself, for other replicas or for clients.
    pub fn replica(&self, replica: usize, peers: bool) -> SocketAddr {
        (self.ip(200, replica), if peers { 8600 } else { 8500 }).into()
    }

    /// Where one replica finds another.
    pub fn between(&self, from: usize, to: usize, peers: bool) -> SocketAddr {
        (
            self.ip(210 + from as u8, to),
            if peers { 8600 } else { 8500 },
        )
            .into()
    }

    /// Where a sender finds a replica.
    pub fn registry_of(&self, sender: usize, replica: usize) -> SocketAddr {
        (self.lab(sender), 8500 + replica as u16).into()
    }

    /// The address by which the others know its membership socket.
    pub fn stands(&self, sender: usize) -> SocketAddr {
        (self.lab(sender), STANDS).into()
    }
}

/// The senders of a run.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    addresses: Arc<Addresses>,
    history: Arc<History>,
    /// Where each sender finds discovery.
    discovery: Vec<SocketAddr>,
    scenario: Scenario,
    seed: u64,
    processes: Vec<Option<Process>>,
    /// Where each one's last process answers operators.
    controls: Vec<Option<SocketAddr>>,
    /// The control port of each one's last process.
    ports: Vec<u16>,
    starts: u64,
}

/// A process that the lab started.
#[derive(Debug, Clone)]
pub struct Process {
    pid: Pid,
    /// The lab wants it to end, and it has ended.
    meant: Arc<AtomicBool>,
    /// It may end by itself, in good order: another process takes over from it.
    relieved: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

impl Fleet {
    pub fn new(
        program: PathBuf,
        folder: PathBuf,
        addresses: Arc<Addresses>,
        history: Arc<History>,
        discovery: Vec<SocketAddr>,
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let processes = discovery.iter().map(|_| None).collect();
        let (ports, controls) = (
            vec![CONTROL_NEXT; discovery.len()],
            vec![None; discovery.len()],
        );
        let starts = 0;
        Fleet {
            program,
            folder,
            addresses,
            history,
            discovery,
            scenario,
            seed,
            processes,
            controls,
            ports,
            starts,
        }
    }

    pub fn addresses(&self) -> &Arc<Addresses> {
        &self.addresses
    }

    /// Where a sender answers operators, while it runs.
    pub fn control(&self, sender: usize) -> Option<SocketAddr> {
        self.processes[sender].as_ref().and(self.controls[sender])
    }

    fn config(&self, sender: usize, control: SocketAddr) -> Value {
        let classes = CLASSES.iter().enumerate().map(|(number, class)| {
            json!({ "name": class.name, "aim": class.aim_s, "deadline": class.deadline_s, "worth": class.worth,
                "lateShare": class.late_share, "effect": class.effect, "group": "all", "window": WINDOW_S,
                "oneAtATime": keeps_order(&self.scenario, number) })
        });
        let shops = SHOPS.iter().map(|(name, share)| {
            json!({ "name": name, "fraction": share, "allowancePerS": share * 2.0 * self.scenario.traffic.per_s })
        });
        let per_sender = self.scenario.traffic.per_s / self.scenario.senders as f64;
        // as the deployment has it: 2.2 times what its part of the load keeps busy, and 5 s of that load
        let slots = (2.2 * per_sender * self.scenario.destinations.latency_ms / 1e3)
            .ceil()
            .max(3.0);
        let held = (5.0 * per_sender).ceil().max(12.0);
        let mut config = json!({
            "name": format!("n{sender}"),
            "listen": self.addresses.clients(sender),
            "control": control,
            "discovery": self.discovery[sender],
            "seed": format!("{:016x}", self.seed.wrapping_mul(0x9e37_79b9) ^ (self.starts << 20 | sender as u64)),
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3 },
            "known": { "rev": 0, "all": true, "targets": [] },
            "settings": {
                "az": self.scenario.zones[self.scenario.zone_of(sender)], "zones": self.scenario.zones,
                "balancers": self.scenario.senders, "index": sender,
                "machineTypes": ["payment-gateway", "school-library", "reading-club"],
                "weights": "rough",
                "caps": { "maxOpen": held, "mostTries": 12, "mayCancel": true, "secondCopies": true,
                    "connIdle": 10.0, "dialTimeout": 0.5, "retryAfter": true, "maxRetryAfter": 3.0 },
                "classes": classes.collect::<Vec<_>>(), "realms": shops.collect::<Vec<_>>(),
                "overShareWorth": 0.1,
                "specifics": { "callSlots": slots, "bundleMax": [1, 1, 1], "routesApart": [false, false, false] },
                "safety": { "stopSendingWithin": 2.0, "cold": 11.0, "startCapacity": 0.18,
                    "fallMultiple": 2.0, "fall": 1.5, "turnGap": 0.3 }
            }
        });
        if let Some(membership) = &self.scenario.membership {
            let mut membership = serde_json::to_value(membership).unwrap_or_default();
            // any one seed suffices: each names the two after it, so that no process is asked by all
            let next = |step| {
                self.addresses
                    .stands((sender + step) % self.scenario.senders)
            };
            let defaults = json!({
                "listen": self.addresses.members(sender), "advertise": self.addresses.stands(sender),
                "fleet": "lab", "seeds": [next(1), next(2)]
            });
            if let (Value::Object(told), Value::Object(defaults)) = (&mut membership, defaults) {
                for (name, value) in defaults {
                    told.entry(name).or_insert(value);
                }
            }
            config["membership"] = membership;
        }
        if let Some(registry) = &self.scenario.registry {
            // the lab's own discovery grants no lease: all replicas are asked in turn
            let others: Vec<_> = (0..registry.replicas)
                .map(|step| {
                    self.addresses
                        .registry_of(sender, (sender + step) % registry.replicas)
                })
                .collect();
            if let Some(ledger) = &registry.ledger {
                config["ledger"] = json!({ "senders": self.scenario.senders, "others": others,
                    "floors": { "rate": ledger.floor() } });
            }
            config["agreement"] = json!({ "floor": crate::registry::floor(), "others": others });
        }
        config
    }

    fn home(&self, sender: usize) -> PathBuf {
        self.folder.join(format!("n{sender}"))
    }

    /// Tells whether its last process has ended.
    pub fn ended(&self, sender: usize) -> Arc<AtomicBool> {
        self.processes[sender]
            .as_ref()
            .map(|process| process.ended.clone())
            .unwrap_or_default()
    }

    /// Starts a sender's process, after one that runs if this is an upgrade.
    ///
    /// # Errors
    /// Its folder can't be written or the program can't be started.
    pub fn start(&mut self, sender: usize) -> anyhow::Result<()> {
        self.starts += 1;
        if let Some(before) = &self.processes[sender] {
            // whatever starts this one, one that runs hands over to it
            before.relieved.store(true, Ordering::SeqCst);
        }
        // the process before it may still be there: it leaves slowly, or hands over
        let port = if self.ports[sender] == CONTROL {
            CONTROL_NEXT
        } else {
            CONTROL
        };
        self.ports[sender] = port;
        let control = SocketAddr::new(self.addresses.own(sender), port);
        let home = self.home(sender);
        let temporary = home.join(format!("tmp{}", self.starts));
        std::fs::create_dir_all(home.join("state"))
            .and_then(|()| std::fs::create_dir_all(&temporary))?;
        let config = home.join("config.json");
        std::fs::write(&config, serde_json::to_vec(&self.config(sender, control))?)?;
        let mut variables = vec![
            ("RELAY_CONFIG", config.into_os_string()),
            ("RELAY_STATE", home.join("state").into_os_string()),
            ("TMPDIR", temporary.into_os_string()),
        ];
        if self.scenario.fails_calls() {
            let switches = self.switches(sender)?;
            variables.push(("LD_PRELOAD", self.shim()?.into_os_string()));
            variables.push(("FAULT_DIR", switches.into_os_string()));
        }
        let history = self.history.clone();
        let process = spawn(
            &self.program,
            &[],
            &variables,
            &home.join("log"),
            move |pid, meant, status| {
                history.tell(Event::Ended {
                    sender,
                    pid,
                    meant,
                    status,
                });
            },
        )?;
        self.history.tell(Event::Started {
            sender,
            pid: process.pid.as_raw_nonzero().get() as u32,
        });
        self.processes[sender] = Some(process);
        self.controls[sender] = Some(control);
        Ok(())
    }

    /// The folder whose files say which system calls of a sender fail.
    fn switches(&self, sender: usize) -> anyhow::Result<PathBuf> {
        let switches = self.home(sender).join("faults");
        std::fs::create_dir_all(&switches)?;
        Ok(switches)
    }

    /// The library that makes system calls fail, built on first use.
    fn shim(&self) -> anyhow::Result<PathBuf> {
        let library = self.folder.join("failing_calls.so");
        if !library.exists() {
            let source = self.folder.join("failing_calls.c");
            std::fs::write(&source, SHIM)?;
            let built = std::process::Command::new("cc")
                .args(["-shared", "-fPIC", "-O1", "-o"])
                .args([library.as_os_str(), source.as_os_str(), "-ldl".as_ref()])
                .status()
                .context("cc can't be started")?;
            if !built.success() {
                bail!("{} can't be built", source.display());
            }
        }
        Ok(library)
    }

    /// Has system calls of a sender fail from now on.
    ///
    /// # Errors
    /// The switch can't be written.
    pub fn fail_calls(
        &self,
        sender: usize,
        call: &str,
        number: i32,
        percent: u8,
    ) -> anyhow::Result<()> {
        let switches = self.switches(sender)?;
        // whole from the first moment on
        let new = switches.join(".new");
        std::fs::write(&new, format!("{number} {percent}"))?;
        std::fs::rename(new, switches.join(call))?;
        Ok(())
    }

    /// Has these system calls of a sender succeed again.
    ///
    /// # Errors
    /// The switch can't be removed.
    pub fn restore_calls(&self, sender: usize, call: &str) -> anyhow::Result<()> {
        match std::fs::remove_file(self.switches(sender)?.join(call)) {
            // two faults of one name overlapped, and the first end ended both
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
            other => Ok(other?),
        }
    }

    /// Lines of the senders' logs that tell of an invariant that did not hold.
    pub fn violations(&self) -> Vec<(usize, String)> {
        let of_sender = |sender: usize| {
            let log = std::fs::read_to_string(self.home(sender).join("log")).unwrap_or_default();
            let lines = log.lines().filter(|line| line.starts_with("violation: "));
            lines
                .map(|line| (sender, line.to_string()))
                .collect::<Vec<_>>()
        };
        (0..self.processes.len()).flat_map(of_sender).collect()
    }

    /// Signals a sender's process; one that is gone hears nothing, which the history tells.
    pub fn signal(&mut self, sender: usize, signal: Signal, ends: bool) {
        let process = if ends {
            self.processes[sender].take()
        } else {
            None
        };
        let Some(process) = process.as_ref().or(self.processes[sender].as_ref()) else {
            return;
        };
        process.signal(signal, ends);
    }

    /// The process of a sender, to be ended by an upgrade once its successor is ready.
    pub fn part_with(&mut self, sender: usize) -> Option<impl FnOnce() + Send + use<>> {
        let old = self.processes[sender].clone()?;
        old.relieved.store(true, Ordering::SeqCst);
        Some(move || old.signal(Signal::TERM, true))
    }

    /// What the processes use that run now.
    pub fn usage(&self) -> usage::Usage {
        usage::measure(self.processes.iter().flatten().map(|process| process.pid))
    }

    /// Takes a sender's lasting folder away.
    pub fn lose_folder(&self, sender: usize) {
        if let Err(error) = std::fs::remove_dir_all(self.home(sender).join("state")) {
            tracing::warn!(sender, %error, "the folder is still there");
        }
        self.history.tell(Event::FolderLost { sender });
    }

    /// Ends all that run, outright.
    pub fn kill_all(&mut self) {
        (0..self.processes.len()).for_each(|sender| self.signal(sender, Signal::KILL, true));
    }
}

impl Process {
    /// Signals it; `ends`: the lab wants it to end.
    pub fn signal(&self, signal: Signal, ends: bool) {
        if ends {
            self.meant.store(true, Ordering::SeqCst);
        }
        // it may have ended by itself, which its waiter tells
        let _ = kill_process(self.pid, signal);
    }
}

/// Starts a program that dies with the lab, its lines appended to a log; `ended` is told its id, whether the lab ended
/// it, and how it ended.
///
/// # Errors
/// It can't be started.
pub fn spawn(
    program: &Path,
    arguments: &[OsString],
    variables: &[(&str, OsString)],
    log: &Path,
    ended: impl FnOnce(u32, bool, String) + Send + 'static,
) -> anyhow::Result<Process> {
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command
        .args(["exec", &std::process::id().to_string()])
        .arg(program)
        .arg("--")
        .args(arguments);
    command.envs(variables.iter().map(|(name, value)| (name, value)));
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .with_context(|| format!("{} can't be started", program.display()))?;
    let pid = child
        .id()
        .and_then(|id| Pid::from_raw(id as i32))
        .context("it has no id")?;
    let (meant, relieved, has_ended) =
        <(Arc<AtomicBool>, Arc<AtomicBool>, Arc<AtomicBool>)>::default();
    let process = Process {
        pid,
        meant: meant.clone(),
        relieved: relieved.clone(),
        ended: has_ended.clone(),
    };
    tokio::spawn(async move {
        let status = child.wait().await;
        let left =
            status.as_ref().is_ok_and(|status| status.success()) && relieved.load(Ordering::SeqCst);
        let status = status.map_or_else(|error| error.to_string(), |status| status.to_string());
        has_ended.store(true, Ordering::SeqCst);
        ended(
            pid.as_raw_nonzero().get() as u32,
            left || meant.load(Ordering::SeqCst),
            status,
        );
    });
    Ok(process)
}

/// Becomes the program, which dies with the process `parent`.
///
/// # Errors
/// The kernel refuses, the parent is gone, or the program can't be started. Does not return otherwise.
pub fn exec(parent: u32, program: &Path, arguments: &[OsString]) -> anyhow::Result<()> {
    use std::os::unix::process::CommandExt;
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    let now = rustix::process::getppid().map(|pid| pid.as_raw_nonzero().get() as u32);
    if now != Some(parent) {
        bail!("the lab is gone");
    }
    Err(std::process::Command::new(program).args(arguments).exec())
        .context(program.display().to_string())
}
