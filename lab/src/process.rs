//! Processes that the lab starts and that end with it.
//!
//! Every process is started through `fault-lab exec`, which asks the kernel to kill it when the thread that started it
//! ends (`PR_SET_PDEATHSIG`), makes sure that its parent still runs, and then becomes the program. So no process
//! outlives the lab, even a lab that is killed. Processes must therefore be started on the main thread.

use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::process::Command;

/// A process that the lab started.
#[derive(Debug, Clone)]
pub struct LabProcess {
    pid: Pid,
    flags: Arc<ProcessFlags>,
}

#[derive(Debug, Default)]
struct ProcessFlags {
    /// The lab has signalled it to end.
    end_intended: AtomicBool,
    /// It may exit by itself with success: another process takes over from it.
    superseded: AtomicBool,
    exited: Arc<AtomicBool>,
}

/// What to start.
#[derive(Debug)]
pub struct ProcessSpec<'a> {
    /// The program's file.
    pub program: &'a Path,
    /// Its arguments.
    pub arguments: &'a [OsString],
    /// Environment variables beside the lab's own.
    pub variables: &'a [(&'a str, OsString)],
    /// The file that its standard error is appended to.
    pub log: &'a Path,
}

/// How a process ended.
#[derive(Debug)]
pub struct ProcessExit {
    /// The process id.
    pub pid: u32,
    /// The lab ended it, or had another process take over from it.
    pub intended: bool,
    /// Its exit status as text.
    pub status: String,
}

impl LabProcess {
    /// The process id.
    pub fn pid(&self) -> Pid {
        self.pid
    }

    /// The process id as a number.
    pub fn id(&self) -> u32 {
        id_of(self.pid)
    }

    /// True once the process has ended.
    pub fn exited(&self) -> Arc<AtomicBool> {
        self.flags.exited.clone()
    }

    /// Whether the process has ended.
    pub fn has_exited(&self) -> bool {
        self.flags.exited.load(Ordering::SeqCst)
    }

    /// Notes that another process takes over, after which this one may exit by itself.
    pub fn mark_superseded(&self) {
        self.flags.superseded.store(true, Ordering::SeqCst);
    }

    /// Sends a signal that does not end the process.
    pub fn signal(&self, signal: Signal) {
        // it may have ended by itself, which its waiter reports
        let _ = kill_process(self.pid, signal);
    }

    /// Sends a signal that is meant to end the process.
    pub fn end(&self, signal: Signal) {
        self.flags.end_intended.store(true, Ordering::SeqCst);
        self.signal(signal);
    }
}

impl ProcessFlags {
    fn exit_was_intended(&self, succeeded: bool) -> bool {
        let handed_over = succeeded && self.superseded.load(Ordering::SeqCst);
        handed_over || self.end_intended.load(Ordering::SeqCst)
    }
}

fn id_of(pid: Pid) -> u32 {
    pid.as_raw_nonzero().get() as u32
}

/// Starts a program that ends with the lab. `on_exit` is called once it has ended.
///
/// # Errors
/// The log can't be opened or the program can't be started.
pub fn spawn(
    spec: &ProcessSpec<'_>,
    on_exit: impl FnOnce(ProcessExit) + Send + 'static,
) -> anyhow::Result<LabProcess> {
    let log = File::options().create(true).append(true).open(spec.log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command
        .args(["exec", &std::process::id().to_string()])
        .arg(spec.program)
        .arg("--")
        .args(spec.arguments);
    command.envs(spec.variables.iter().map(|(name, value)| (name, value)));
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .with_context(|| format!("{} can't be started", spec.program.display()))?;
    let pid = child
        .id()
        .and_then(|id| Pid::from_raw(id as i32))
        .context("it has no id")?;
    let flags = Arc::new(ProcessFlags::default());
    let process = LabProcess {
        pid,
        flags: flags.clone(),
    };
    tokio::spawn(async move {
        let status = child.wait().await;
        let succeeded = status.as_ref().is_ok_and(|status| status.success());
        let intended = flags.exit_was_intended(succeeded);
        let status = status.map_or_else(|error| error.to_string(), |status| status.to_string());
        flags.exited.store(true, Ordering::SeqCst);
        on_exit(ProcessExit {
            pid: id_of(pid),
            intended,
            status,
        });
    });
    Ok(process)
}

/// Becomes the program, which ends with the process `parent`.
///
/// # Errors
/// The kernel refuses, the parent is gone, or the program can't be started. Does not return otherwise.
pub fn exec(parent: u32, program: &Path, arguments: &[OsString]) -> anyhow::Result<()> {
    use std::os::unix::process::CommandExt;
    rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
    let current_parent = rustix::process::getppid().map(id_of);
    if current_parent != Some(parent) {
        bail!("the lab is gone");
    }
    Err(std::process::Command::new(program).args(arguments).exec())
        .context(program.display().to_string())
}
