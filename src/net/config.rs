//! The sender's configuration, from the file that `RELAY_CONFIG` names and from environment variables.
//!
//! The nested `settings` object is flattened and read by the same code as the simulator's settings, so that the names of
//! the settings are defined in one place only.

mod completeness;
mod flatten;
mod limits;
mod pool_settings;
#[cfg(test)]
mod tests;

use super::agreement;
use super::agreement::settings::AgreementSettings;
use super::class_terms_file;
use super::discovery::{self, parse_list};
use super::events::ListUpdate;
use super::freeze;
use super::freeze::settings::FreezeSettings;
use super::ledger;
use super::ledger::settings::LedgerSettings;
use super::local_errors::{RETRY_INTERVAL, is_permanent};
use super::membership;
use super::membership::settings::MembershipSettings;
use super::settings_object::SettingsObjectError;
use completeness::{check_complete, check_numbers};
use flatten::flatten;
use limits::{Limits, read_megabytes};
use message_sender::memory::{MemoryShares, ProcessLimits};
use message_sender::pool::PoolSettings;
use message_sender::wire::{Names, Pairs, read_settings};
use message_sender::{Settings, SettingsError};
pub use pool_settings::max_pool_connections;
use pool_settings::read_pool_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use thiserror::Error;

/// Name of the copy of the last valid configuration file in the state folder.
const LAST_VALID_FILE: &str = "config.last";
/// Time for which a starting process retries after a local error while reading the file. It is short, so that most of the
/// time in which the process must become ready is left.
const READ_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
/// Block size of the file system in bytes, reserved because a file takes whole blocks.
const BLOCK_BYTES: u64 = 4096;

/// Why a configuration can't be used. A starting process falls back to the last valid file; a running one keeps the
/// configuration in force.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is missing.
    #[error("the environment variable {0} is not set")]
    Variable(&'static str),
    /// Reading the configuration file failed.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The configuration file is not valid JSON, or a top-level key is missing or has the wrong type.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// Path of the configuration file.
        path: PathBuf,
        /// Error of the JSON parser, with line and column.
        error: serde_json::Error,
    },
    /// The value of a key or environment variable is invalid.
    #[error("{name} is '{found}', not {wanted}")]
    Value {
        /// Path of the key, or name of the environment variable.
        name: &'static str,
        /// Rejected value as text.
        found: String,
        /// Description of the valid values.
        wanted: &'static str,
    },
    /// A key of the file in force is missing in the new file, or has a value of another type there.
    #[error("{0} is missing")]
    Incomplete(String),
    /// The `pool` object has an unknown key. The text is the path of that key.
    #[error("{0} is not a known setting")]
    Unknown(String),
    /// The `settings` object is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The `membership`, `agreement`, `ledger` or `freeze` object is invalid.
    #[error(transparent)]
    SettingsObject(#[from] SettingsObjectError),
}

impl ConfigError {
    /// Returns true if the local host failed to read an existing file, so that a retry may succeed.
    pub fn is_local(&self) -> bool {
        matches!(self, ConfigError::Read { error, .. } if is_transient(error))
    }
}

/// Returns true if reading the file again may succeed without any action of operators.
fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{IsADirectory, NotFound};
    !is_permanent(error) && ![NotFound, IsADirectory].contains(&error.kind())
}

/// Validated configuration of one process.
#[derive(Debug)]
pub struct Config {
    /// Name of the sender, unique in the fleet.
    pub name: String,
    /// Address of the server that accepts messages from clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the operators' endpoint, if one is configured.
    pub control: Option<SocketAddr>,
    /// File descriptor of the listening socket, if the platform passed one to the process.
    pub passed_socket: Option<RawFd>,
    /// Folder of the journal and other files that a later process of this sender reads.
    pub state_folder: PathBuf,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Content of the configuration file, which a reread compares with the new file.
    pub text: Vec<u8>,
    /// Maximum size of the journal in bytes: the disk limit less the space for other files of the state folder.
    pub journal_bytes: u64,
    /// Maximum size of the state folder in bytes.
    pub disk_bytes: u64,
    /// Maximum memory of the process in bytes, files of the state folder included.
    pub memory_bytes: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Endpoint list to use until discovery sends one, if the file holds one.
    pub known_list: Option<ListUpdate>,
    /// Settings of the decision module, read from the `settings` object.
    pub settings: Settings,
    /// Names of the zones, classes, kinds and tenants that `settings` refers to by number.
    pub names: Names,
    /// Settings of the connection pool, read from the `pool` object.
    pub pool: PoolSettings,
    /// Settings of fleet membership (SWIM), if this sender takes part.
    pub membership: Option<MembershipSettings>,
    /// Settings of the rules that are leased from the registry, if this sender uses them.
    pub agreement: Option<AgreementSettings>,
    /// Settings of the quotas of fleet-wide limits, if this sender uses them.
    pub ledger: Option<LedgerSettings>,
    /// Settings of the freeze calendar, if this sender applies it.
    pub freeze: Option<FreezeSettings>,
}

/// Top level of the configuration file, with its `limits`. The other nested objects are parsed and checked later.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    control: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Value,
    #[serde(default)]
    pool: Value,
    #[serde(default)]
    membership: Value,
    #[serde(default)]
    agreement: Value,
    #[serde(default)]
    ledger: Value,
    #[serde(default)]
    freeze: Value,
    settings: Value,
}

impl Config {
    /// Returns the shares of the memory limit.
    pub fn memory_shares(&self) -> MemoryShares {
        MemoryShares::divide(ProcessLimits {
            memory_bytes: self.memory_bytes as usize,
            disk_bytes: self.disk_bytes as usize,
            descriptors: self.max_descriptors,
        })
    }

    /// Reads the configuration file again in a running process. `before` is the content of the file in force, whose keys
    /// the new file must all have. The address of discovery comes from the file and not from `RELAY_DISCOVERY`: the
    /// environment of a running process does not change, so only the file can hold a new address.
    ///
    /// # Errors
    /// The file can't be read or is invalid. The configuration in force stays.
    pub fn reread(before: &[u8]) -> Result<Self, ConfigError> {
        let text = read_file()?;
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let discovery = |file: &File| address("discovery", file.discovery.clone());
        let config = Config::read(text, state, Some(before), discovery)?;
        config.keep();
        Ok(config)
    }

    /// Reads the configuration at the start of a process from the file that `RELAY_CONFIG` names. Other environment
    /// variables override the values of the file. If the file is invalid, the last valid one in the state folder is
    /// used. The file is not compared with an older one, so operators can remove a key by restarting the process.
    ///
    /// # Errors
    /// Neither the file nor the last valid one can be used.
    pub fn from_env() -> Result<Self, ConfigError> {
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let discovery = |file: &File| {
            let text = variable("RELAY_DISCOVERY").unwrap_or(file.discovery.clone());
            address("RELAY_DISCOVERY", text)
        };
        let last = std::fs::read(state.join(LAST_VALID_FILE)).ok();
        let read = read_file_with_retries()
            .and_then(|text| Config::read(text, state.clone(), None, discovery));
        let config = match (read, last) {
            (Ok(config), _) => config,
            (Err(error), Some(last)) => {
                super::log(format_args!(
                    "configuration invalid, using the last valid one: {error}"
                ));
                Config::read(last, state, None, discovery).map_err(|_| error)?
            }
            (Err(error), None) => return Err(error),
        };
        config.keep();
        Ok(config)
    }

    /// Stores the file's content as the last valid one, for a later start that finds an invalid file. A failure is only
    /// logged, because this process does not need the copy.
    fn keep(&self) {
        let new = self
            .state_folder
            .join(LAST_VALID_FILE)
            .with_extension("new");
        let written = std::fs::create_dir_all(&self.state_folder)
            .and_then(|()| std::fs::write(&new, &self.text))
            .and_then(|()| std::fs::rename(&new, self.state_folder.join(LAST_VALID_FILE)));
        if let Err(error) = written {
            super::log(format_args!(
                "configuration not stored as the last valid one: {error}"
            ));
        }
    }

    fn read(
        text: Vec<u8>,
        state_folder: PathBuf,
        in_force: Option<&[u8]>,
        discovery: impl FnOnce(&File) -> Result<SocketAddr, ConfigError>,
    ) -> Result<Self, ConfigError> {
        let json = |error| ConfigError::Json {
            path: config_path(),
            error,
        };
        let value: Value = serde_json::from_slice(&text).map_err(json)?;
        if let Some(before) = in_force.and_then(|text| serde_json::from_slice(text).ok()) {
            check_complete(&before, &value)?;
        }
        check_numbers(&value["settings"])?;
        let file: File = serde_json::from_value(value).map_err(json)?;
        let discovery = discovery(&file)?;
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen = variable("RELAY_LISTEN").unwrap_or(file.listen);
        let listen = address("RELAY_LISTEN", listen)?;
        let control = variable("RELAY_CONTROL").ok().or(file.control);
        let control = control.map(|text| address("RELAY_CONTROL", text));
        let control = control.transpose()?;
        let passed_socket = read_passed_socket()?;
        let seed = read_seed(&file.seed)?;
        let disk_bytes = read_megabytes("limits.disk_mb", file.limits.disk_mb)?;
        let memory_bytes = read_megabytes("limits.memory_mb", file.limits.memory_mb)?;
        let pool = read_pool_settings(&file.pool, file.limits.sockets)?;
        let (settings, names) = read_sender_settings(&file.settings)?;
        let membership = membership::settings::read(&file.membership, &name, settings.senders)?;
        let agreement = agreement::settings::read(&file.agreement)?;
        let ledger = ledger::settings::read(&file.ledger)?;
        let freeze = freeze::settings::read(&file.freeze)?;
        let members_bytes = if membership.is_some() {
            membership::MAX_DISK_BYTES
        } else {
            0
        };
        // the copy of the last valid file takes space beside the journal, twice while it is replaced
        let last_valid_bytes = 2 * text.len() as u64 + BLOCK_BYTES;
        let other_files_bytes = last_valid_bytes
            + members_bytes
            + class_terms_file::MAX_DISK_BYTES
            + discovery::MAX_DISK_BYTES;
        Ok(Config {
            name,
            listen,
            discovery,
            control,
            passed_socket,
            state_folder,
            seed,
            journal_bytes: disk_bytes.saturating_sub(other_files_bytes),
            text,
            disk_bytes,
            memory_bytes,
            max_descriptors: file.limits.sockets,
            known_list: parse_list(&file.known),
            settings,
            names,
            pool,
            membership,
            agreement,
            ledger,
            freeze,
        })
    }
}

fn read_passed_socket() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = variable("RELAY_PASSED_SOCKET") else {
        return Ok(None);
    };
    let number = text.parse().ok().filter(|number| *number >= 0);
    let number = number.ok_or(ConfigError::Value {
        name: "RELAY_PASSED_SOCKET",
        found: text,
        wanted: "the number of a file descriptor",
    })?;
    Ok(Some(number))
}

fn read_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Value {
        name: "seed",
        found: text.to_string(),
        wanted: "a hexadecimal number",
    })
}

/// Reads the `settings` object. The path of each key is the name of that setting in a `begin` line of the simulator's
/// line protocol.
fn read_sender_settings(value: &Value) -> Result<(Settings, Names), SettingsError> {
    let paths = flatten(value);
    let pairs = paths
        .iter()
        .map(|(path, text)| (path.as_str(), text.as_str()));
    let (mut settings, names) = read_settings(&Pairs(pairs.collect()))?;
    settings.completion_by_notification = true;
    settings.validate()?;
    Ok((settings, names))
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::Variable(name))
}

fn config_path() -> PathBuf {
    variable("RELAY_CONFIG").unwrap_or_default().into()
}

fn read_file() -> Result<Vec<u8>, ConfigError> {
    let path = PathBuf::from(variable("RELAY_CONFIG")?);
    std::fs::read(&path).map_err(|error| ConfigError::Read { path, error })
}

/// Reads the configuration file at a start and retries local errors for [`READ_TIMEOUT`], because the last valid file may
/// name an old address of discovery.
fn read_file_with_retries() -> Result<Vec<u8>, ConfigError> {
    let started = std::time::Instant::now();
    loop {
        match read_file() {
            Err(error) if error.is_local() && started.elapsed() < READ_TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            read => return read,
        }
    }
}

fn address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        name,
        found: text,
        wanted: "an address with a port",
    })
}
