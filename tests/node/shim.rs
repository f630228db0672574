//! A preloaded library that makes system calls of one sender fail, switched on and off by files (`failing_calls.c`).

use super::{Agent, Node, command, config, fresh_folder};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::OnceLock;

const SOURCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/lab/shim/failing_calls.c");

/// Numbers that Linux gives its errors.
pub const EINTR: i32 = 4;
pub const EIO: i32 = 5;
pub const ENFILE: i32 = 23;
pub const ENOSPC: i32 = 28;
pub const EADDRNOTAVAIL: i32 = 99;
pub const ENETUNREACH: i32 = 101;
pub const ECONNABORTED: i32 = 103;
pub const ENOBUFS: i32 = 105;

/// The library, built once for each test program by the compiler driver that Rust links with.
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

/// The faults of one sender, over all its processes.
pub struct Faults {
    folder: PathBuf,
    switches: PathBuf,
    discovery: std::net::SocketAddr,
}

impl Faults {
    /// None yet, for a sender whose configuration is changed as the caller likes.
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

    /// Starts a process of the sender.
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

    /// Starts one that may end before it listens.
    pub fn start_unseen(&self) -> Child {
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

    /// From now on calls of this kind fail with this number, see `failing_calls.c`.
    pub fn on(&self, fault: &str, number: i32) {
        // whole from the first moment on
        let new = self.switches.join(".new");
        std::fs::write(&new, number.to_string()).expect("written");
        std::fs::rename(new, self.switches.join(fault)).expect("switched");
    }

    /// Calls of this kind succeed again.
    pub fn off(&self, fault: &str) {
        std::fs::remove_file(self.switches.join(fault)).expect("it was on");
    }
}
