//! A sender: the program of the deploy file, started, signalled and ended by the run.

use crate::world::{World, ms};
use std::fs::{self, File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
}

/// Descriptor under which a process inherits the clients' listening socket.
const PASSED: i32 = 7;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub struct Sender {
    pub name: String,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub folder: PathBuf,
    /// The clients' listening socket, where the platform holds it.
    passed: Option<TcpListener>,
    child: Option<Child>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("the command in quotes").to_string()
}

impl Sender {
    pub fn new(world: &World, name: &str) -> Self {
        let folder = world.folder.0.join(name);
        fs::create_dir_all(folder.join("state")).unwrap();
        Sender {
            name: name.to_string(),
            listen: free_address(),
            control: free_address(),
            folder,
            passed: None,
            child: None,
        }
    }

    /// A sender whose processes all inherit the clients' listening socket.
    pub fn with_passed_socket(world: &World, name: &str) -> Self {
        let passed = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut sender = Sender::new(world, name);
        sender.listen = passed.local_addr().unwrap();
        sender.passed = Some(passed);
        sender
    }

    pub fn write_config(&self, discovery: SocketAddr, known: &str, settings: &str) {
        let Sender {
            name, listen, control, ..
        } = self;
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","control":"{control}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":512,"disk_mb":3}},"known":{known},"settings":{settings}}}"#
        );
        let new = self.folder.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    pub fn start(&mut self, world: &World, discovery: SocketAddr) {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .unwrap();
        let temporary = self.folder.join("tmp");
        let _ = fs::remove_dir_all(&temporary);
        fs::create_dir_all(&temporary).unwrap();
        let errors: File = log.try_clone().unwrap();
        let mut command = Command::new("/bin/sh");
        if let Some(passed) = &self.passed {
            let socket = passed.as_raw_fd();
            command.env("RELAY_PASSED_SOCKET", PASSED.to_string());
            // SAFETY: between fork and exec the closure makes one system call and allocates nothing
            unsafe {
                command.pre_exec(move || {
                    dup2(socket, PASSED);
                    Ok(())
                })
            };
        }
        let child = command
            .arg("-c")
            .arg(run_command())
            .env("RELAY_NAME", &self.name)
            .env("RELAY_LISTEN", self.listen.to_string())
            .env("RELAY_CONTROL", self.control.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_STATE", self.folder.join("state"))
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the sender starts");
        world.note(&format!("{} started as process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// Waits until the sender says that it is ready; false if it does not within 30 s.
    pub fn wait_ready(&self, world: &World) -> bool {
        let text = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.listen);
        let begun = Instant::now();
        while begun.elapsed() < ms(30_000) {
            if crate::http::request(self.listen, &text, ms(1000)).is_ok_and(|status| status == "200") {
                world.note(&format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(ms(20));
        }
        false
    }

    pub fn signal(&self, world: &World, signal: i32) -> Instant {
        let id = self.child.as_ref().expect("the sender runs").id();
        // SAFETY: a plain system call on a process that this run started and has not waited for
        unsafe { kill(id as i32, signal) };
        world.note(&format!("{}: signal {signal}", self.name))
    }

    /// Ends the process with SIGKILL and waits for its end.
    pub fn kill(&mut self, world: &World) -> Instant {
        let at = self.signal(world, SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        at
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| child.try_wait().ok().flatten().is_some())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
