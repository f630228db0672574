//! The configuration: the file that `RELAY_CONFIG` names, and the environment. The nested settings are flattened for the
//! reader of the simulator's lines, so that their names live in one place.

mod completeness;
mod flatten;
mod pool_settings;
#[cfg(test)]
mod tests;

use super::agreement;
use super::agreement::settings::AgreementSettings;
use super::discovery::parse_list;
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

/// The last good file, in the state folder.
const LAST_VALID_FILE: &str = "config.last";
/// How long a start tries to read a file that this machine fails to read: most of the time to be ready is left.
const READ_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);
/// A block of the file system.
const BLOCK_BYTES: u64 = 4096;

/// Why the sender can't start, or keeps the configuration in force.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("the variable {0} is not set")]
    Variable(&'static str),
    /// The file can't be read.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        error: std::io::Error,
    },
    /// The file is no JSON of the right form.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// A key has a value that it can't have.
    #[error("{name} is '{found}', not {wanted}")]
    Value {
        /// The key.
        name: &'static str,
        /// Its value.
        found: String,
        /// What it has to be.
        wanted: &'static str,
    },
    /// A key is missing that the file in force has.
    #[error("{0} is missing")]
    Incomplete(String),
    /// A key is not known.
    #[error("{0} is no setting")]
    Unknown(String),
    /// The `settings` object makes no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The `membership`, `agreement`, `ledger` or `freeze` object makes no sense.
    #[error(transparent)]
    SettingsObject(#[from] SettingsObjectError),
}

impl ConfigError {
    /// The file is there, and this machine failed to read it.
    pub fn is_local(&self) -> bool {
        matches!(self, ConfigError::Read { error, .. } if is_transient(error))
    }
}

/// True if reading a file may succeed a moment later, with nothing changed by operators.
fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{IsADirectory, NotFound};
    !is_permanent(error) && ![NotFound, IsADirectory].contains(&error.kind())
}

/// The configuration of one process.
#[derive(Debug)]
pub struct Config {
    /// The sender's name, unique in the fleet.
    pub name: String,
    /// Where clients hand messages in.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if they are to.
    pub control: Option<SocketAddr>,
    /// The number of the listening socket that the platform passed, if it did.
    pub passed_socket: Option<RawFd>,
    /// The state folder, which outlasts the process.
    pub state_folder: PathBuf,
    /// Seed of all draws.
    pub seed: u64,
    /// The file.
    pub text: Vec<u8>,
    /// Bytes that the journal may hold.
    pub journal_bytes: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list to begin with.
    pub known_list: Option<ListUpdate>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names that these settings number.
    pub names: Names,
    /// Settings of the connection pool.
    pub pool: PoolSettings,
    /// How this sender takes part in membership, if it does.
    pub membership: Option<MembershipSettings>,
    /// How this sender agrees on rules with the others, if it does.
    pub agreement: Option<AgreementSettings>,
    /// Limits that hold for all senders, if there are any.
    pub ledger: Option<LedgerSettings>,
    /// The freeze calendar, if it is kept to.
    pub freeze: Option<FreezeSettings>,
}

/// The file, its parts unread.
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

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    disk_mb: f64,
}

impl Config {
    /// The file as it stands now, if it is complete beside the one in force. The variables are those of the start:
    /// only the file can tell where discovery has moved.
    ///
    /// # Errors
    /// The file can't be read, or is wrong: the configuration in force stays.
    pub fn reread(before: &[u8]) -> Result<Self, ConfigError> {
        let text = read_file()?;
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let discovery = |file: &File| address("discovery", file.discovery.clone());
        let config = Config::read(text, state, Some(before), discovery)?;
        config.keep();
        Ok(config)
    }

    /// Reads the file that `RELAY_CONFIG` names; the other variables come before what stands in it. Where that
    /// file is broken, the last good one does, which the state folder keeps. A start does not hold the file
    /// against an older one: that is how operators drop a key.
    ///
    /// # Errors
    /// There is no file that can be used.
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
                    "configuration broken, the last good one holds: {error}"
                ));
                Config::read(last, state, None, discovery).map_err(|_| error)?
            }
            (Err(error), None) => return Err(error),
        };
        config.keep();
        Ok(config)
    }

    /// Keeps the text for a start beside a broken file. Without it all goes on, but for that.
    fn keep(&self) {
        let new = self
            .state_folder
            .join(LAST_VALID_FILE)
            .with_extension("new");
        let written = std::fs::create_dir_all(&self.state_folder)
            .and_then(|()| std::fs::write(&new, &self.text))
            .and_then(|()| std::fs::rename(&new, self.state_folder.join(LAST_VALID_FILE)));
        if let Err(error) = written {
            super::log(format_args!("configuration not kept: {error}"));
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
        let disk_bytes = read_disk_limit(file.limits.disk_mb)?;
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
        // the last good file stands beside the journal, twice while it is replaced
        let last_valid_bytes = 2 * text.len() as u64 + BLOCK_BYTES;
        Ok(Config {
            name,
            listen,
            discovery,
            control,
            passed_socket,
            state_folder,
            seed,
            journal_bytes: disk_bytes.saturating_sub(last_valid_bytes + members_bytes),
            text,
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
        wanted: "the number of a descriptor",
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

/// Bytes that the state folder may hold.
fn read_disk_limit(megabytes: f64) -> Result<u64, ConfigError> {
    let bytes = megabytes * 1e6;
    if !(bytes.is_finite() && bytes >= 0.0) {
        return Err(ConfigError::Value {
            name: "limits.disk_mb",
            found: bytes.to_string(),
            wanted: "a size of zero or more",
        });
    }
    Ok(bytes as u64)
}

/// The settings of the decision module, by the names that the simulator's lines have for them too.
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

/// The same at a start, where an older text would name an older discovery: tried for a while.
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
