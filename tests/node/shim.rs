//! Runs a sender with a preloaded library (`failing_calls.c`) that makes system calls fail. Each fault is on while a
//! file with its name exists in a folder.

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

/// Starts sender processes in one folder whose system calls can be made to fail. Each fault that is on affects all of
/// these processes.
pub struct FaultInjector {
    folder: PathBuf,
    /// Folder with one file for each fault that is on, which the preloaded library reads.
    fault_folder: PathBuf,
    discovery: std::net::SocketAddr,
}

impl FaultInjector {
    /// Creates the folder of a sender with the test configuration after `change` was applied to it. Starts no process;
    /// all faults are off.
    pub fn new(agent: &Agent, change: impl FnOnce(String) -> String) -> Self {
        let folder = fresh_folder();
        let fault_folder = folder.join("faults");
        std::fs::create_dir_all(&fault_folder).expect("a folder");
        std::fs::write(
            folder.join("config.json"),
            change(config(agent.address, 3.0, 5.0, 1024)),
        )
        .expect("written");
        FaultInjector {
            folder,
            fault_folder,
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
            .env("FAULT_DIR", &self.fault_folder);
    }

    /// Turns a fault on. `failing_calls.c` lists the faults and what the number means for each, which is mostly the
    /// error number with which system calls of one kind fail.
    pub fn on(&self, fault: &str, number: i32) {
        // written under another name and renamed, so that the library never reads an incomplete file
        let new_path = self.fault_folder.join(".new");
        std::fs::write(&new_path, number.to_string()).expect("written");
        std::fs::rename(new_path, self.fault_folder.join(fault)).expect("switched");
    }

    /// Turns a fault off, so that the system calls that it affected succeed again.
    pub fn off(&self, fault: &str) {
        std::fs::remove_file(self.fault_folder.join(fault)).expect("fault was on");
    }
}
