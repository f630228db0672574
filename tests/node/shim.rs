//! Runs a sender with a preloaded library (`failing_calls.c`) that makes system calls fail. Each kind of failure is
//! switched on and off by a file.

use super::{Agent, Node, command, config, fresh_folder};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::OnceLock;

const SOURCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/lab/shim/failing_calls.c");

/// Error numbers of Linux, see `errno(3)`.
pub const EINTR: i32 = 4;
pub const EIO: i32 = 5;
pub const ENFILE: i32 = 23;
pub const ENOSPC: i32 = 28;
pub const EADDRNOTAVAIL: i32 = 99;
pub const ENETUNREACH: i32 = 101;
pub const ECONNABORTED: i32 = 103;
pub const ENOBUFS: i32 = 105;

/// Returns the path of the preloaded library. It is compiled with `cc` on the first call in each test program.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let name = format!("failing-calls-{}.so", std::process::id());
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([library.as_os_str(), SOURCE.as_ref(), "-ldl".as_ref()])
            .status();
        assert!(
            built.expect("cc runs").success(),
            "the library can't be built"
        );
        library
    })
}

/// A sender whose system calls can be made to fail, with the faults that are on for all its processes.
pub struct Faults {
    folder: PathBuf,
    switches: PathBuf,
    discovery: std::net::SocketAddr,
}

impl Faults {
    /// Creates the folder of a sender with a configuration that the caller has changed. No fault is on yet.
    pub fn new(agent: &Agent, change: impl FnOnce(String) -> String) -> Self {
        let folder = fresh_folder();
        let switches = folder.join("faults");
        std::fs::create_dir_all(&switches).expect("a folder");
        std::fs::write(
            folder.join("config.json"),
            change(config(agent.address, 3.0, 5.0, 1024)),
        )
        .expect("written");
        Faults {
            folder,
            switches,
            discovery: agent.address,
        }
    }

    /// Starts a process of the sender and waits until it listens.
    pub fn start(&self) -> Node {
        let mut command = command(&self.folder);
        self.load(&mut command);
        Node::spawn(
            command,
            self.folder.clone(),
            self.discovery,
            3.0,
            5.0,
            1024,
            None,
        )
    }

    /// Starts a process of the sender without waiting until it listens, for starts that may fail.
    pub fn start_without_waiting(&self) -> Child {
        let mut command = command(&self.folder);
        self.load(&mut command);
        command
            .env("RELAY_DISCOVERY", self.discovery.to_string())
            .spawn()
            .expect("the sender starts")
    }

    fn load(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("FAULT_DIR", &self.switches);
    }

    /// Makes system calls of this kind fail with the error number. `failing_calls.c` lists the kinds.
    pub fn on(&self, fault: &str, error_number: i32) {
        // written under another name and renamed, so that the library never reads an incomplete file
        let new_path = self.switches.join(".new");
        std::fs::write(&new_path, error_number.to_string()).expect("written");
        std::fs::rename(new_path, self.switches.join(fault)).expect("switched");
    }

    /// Lets system calls of this kind succeed again.
    pub fn off(&self, fault: &str) {
        std::fs::remove_file(self.switches.join(fault)).expect("fault was on");
    }
}
