//! Reads `RELAY_CONFIG`. The nested settings are flattened into the reader of the simulator's wire, so that
//! their names live in one place.

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
use message_sender::pool::PoolSettings;
use message_sender::wire::{Names, Pairs, read_settings};
use message_sender::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use thiserror::Error;

/// The last good file, in the lasting folder.
const LAST: &str = "config.last";
/// How long a start tries to read a file that this machine fails to read: most of the time to be ready is left.
const READ_IN: std::time::Duration = std::time::Duration::from_secs(2);
/// Keys of a class that may be absent by the rules of the settings.
const MAY_LACK: [&str; 2] = ["aimStretch", "oneAtATime"];
/// Objects that may come and go.
const PARTS: [&str; 5] = ["pool", "membership", "agreement", "ledger", "freeze"];

/// Why the sender cannot start.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("the variable {0} is not set")]
    Variable(&'static str),
    #[error("{path}: {error}", path = path.display())]
    Read {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{path}: {error}", path = path.display())]
    Json {
        path: PathBuf,
        error: serde_json::Error,
    },
    #[error("{name} is '{found}', not {wanted}")]
    Value {
        name: &'static str,
        found: String,
        wanted: &'static str,
    },
    #[error("{0} is missing")]
    Incomplete(String),
    #[error("{0} is no setting")]
    Unknown(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    SettingsObject(#[from] SettingsObjectError),
}

/// All that the sender is told at its start.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they are to.
    pub control: Option<SocketAddr>,
    /// The number of the listening socket that the platform passed, if it did.
    pub passed: Option<RawFd>,
    pub state: PathBuf,
    pub seed: u64,
    /// The file.
    pub text: Vec<u8>,
    /// Bytes that the journal may hold.
    pub disk: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    pub known: Option<ListUpdate>,
    pub settings: Settings,
    pub names: Names,
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

/// Reads the `pool` object; the process may hold so many descriptors.
fn read_pool(value: &Value, descriptors: usize) -> Result<PoolSettings, ConfigError> {
    let mut read = PoolSettings::default();
    let fields = match value {
        Value::Null => return Ok(read),
        Value::Object(fields) => fields,
        other => {
            let (found, wanted) = (other.to_string(), "an object");
            return Err(ConfigError::Value {
                name: "pool",
                found,
                wanted,
            });
        }
    };
    // all is the bound of the others, whatever order they stand in
    let most = pool_most(descriptors);
    let whole = |name: &'static str, most: usize, wanted: &'static str| {
        let key = name.trim_start_matches("pool.");
        let Some(value) = fields.get(key) else {
            return Ok(None);
        };
        let number = value
            .as_u64()
            .and_then(|number| usize::try_from(number).ok());
        match number.filter(|number| (1..=most).contains(number)) {
            Some(number) => Ok(Some(number)),
            None => Err(ConfigError::Value {
                name,
                found: value.to_string(),
                wanted,
            }),
        }
    };
    const IN_ALL: &str = "a whole number from 1 to pool.all";
    read.all = whole(
        "pool.all",
        most,
        "a whole number from 1 to half of limits.sockets",
    )?;
    let all = read.all.unwrap_or(most);
    read.per_endpoint = whole("pool.per_endpoint", all, IN_ALL)?;
    read.dials = whole("pool.dials", all, IN_ALL)?;
    read.idle = whole("pool.idle", all, IN_ALL)?;
    read.idle_per_endpoint = whole("pool.idle_per_endpoint", all, IN_ALL)?;
    for (key, value) in fields {
        let bad = |name, wanted| ConfigError::Value {
            name,
            found: value.to_string(),
            wanted,
        };
        match key.as_str() {
            "all" | "per_endpoint" | "dials" | "idle" | "idle_per_endpoint" => {}
            "decay_s" => {
                let number = value
                    .as_f64()
                    .filter(|number| (0.1..=3600.0).contains(number));
                read.decay_s = number.ok_or(bad("pool.decay_s", "seconds from 0.1 to 3600"))?;
            }
            "learn_caps" => {
                read.learn_caps = value
                    .as_bool()
                    .ok_or(bad("pool.learn_caps", "true or false"))?;
            }
            "warm_share" => {
                let number = value.as_f64().filter(|number| (0.0..=1.0).contains(number));
                read.warm_share = number.ok_or(bad("pool.warm_share", "a share from 0 to 1"))?;
            }
            other => return Err(ConfigError::Unknown(format!("pool.{other}"))),
        }
    }
    Ok(read)
}

/// Connections to endpoints that so many descriptors allow: clients hold a third of them, files the rest.
pub fn pool_most(descriptors: usize) -> usize {
    (descriptors / 2).max(1)
}

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

impl ConfigError {
    /// The file is there, and this machine failed to read it.
    pub fn is_of_this_machine(&self) -> bool {
        matches!(self, ConfigError::Read { error, .. } if is_passing(error))
    }
}

/// True if reading a file may succeed a moment later, with nothing changed by operators.
fn is_passing(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{IsADirectory, NotFound};
    !is_permanent(error) && ![NotFound, IsADirectory].contains(&error.kind())
}

impl Config {
    /// The file as it stands now, if it is whole beside the one in force. The variables are those of the start:
    /// only the file can tell where discovery has moved.
    pub fn reread(before: &[u8]) -> Result<Self, ConfigError> {
        let text = read_file()?;
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let discovery = |file: &File| address("discovery", file.discovery.clone());
        let config = Config::read(text, state, Some(before), discovery)?;
        config.keep();
        Ok(config)
    }

    /// Reads the file that `RELAY_CONFIG` names; the other variables come before what stands in it. Where that
    /// file is broken, the last good one does, which the lasting folder keeps. A start does not hold the file
    /// against an older one: that is how operators drop a key.
    pub fn from_env() -> Result<Self, ConfigError> {
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let discovery = |file: &File| {
            let text = variable("RELAY_DISCOVERY").unwrap_or(file.discovery.clone());
            address("RELAY_DISCOVERY", text)
        };
        let last = std::fs::read(state.join(LAST)).ok();
        let read =
            read_file_in_time().and_then(|text| Config::read(text, state.clone(), None, discovery));
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
        let new = self.state.join(LAST).with_extension("new");
        let written = std::fs::create_dir_all(&self.state)
            .and_then(|()| std::fs::write(&new, &self.text))
            .and_then(|()| std::fs::rename(&new, self.state.join(LAST)));
        if let Err(error) = written {
            super::log(format_args!("configuration not kept: {error}"));
        }
    }

    fn read(
        text: Vec<u8>,
        state: PathBuf,
        before: Option<&[u8]>,
        discovery: impl FnOnce(&File) -> Result<SocketAddr, ConfigError>,
    ) -> Result<Self, ConfigError> {
        let json = |error| ConfigError::Json {
            path: config_path(),
            error,
        };
        let whole: Value = serde_json::from_slice(&text).map_err(json)?;
        if let Some(before) = before.and_then(|before| serde_json::from_slice::<Value>(before).ok())
        {
            complete("", &before, &whole)?;
        }
        numbers(&whole["settings"])?;
        let file: File = serde_json::from_value(whole).map_err(json)?;
        let discovery = discovery(&file)?;
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen = address(
            "RELAY_LISTEN",
            variable("RELAY_LISTEN").unwrap_or(file.listen),
        )?;
        let control = variable("RELAY_CONTROL").ok().or(file.control);
        let control = control
            .map(|text| address("RELAY_CONTROL", text))
            .transpose()?;
        let passed = match variable("RELAY_PASSED_SOCKET") {
            Ok(text) => Some(text.parse().ok().filter(|number| *number >= 0).ok_or(
                ConfigError::Value {
                    name: "RELAY_PASSED_SOCKET",
                    found: text,
                    wanted: "the number of a descriptor",
                },
            )?),
            Err(_) => None,
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Value {
            name: "seed",
            found: file.seed.clone(),
            wanted: "a hexadecimal number",
        })?;
        let disk = file.limits.disk_mb * 1e6;
        if !(disk.is_finite() && disk >= 0.0) {
            return Err(ConfigError::Value {
                name: "limits.disk_mb",
                found: disk.to_string(),
                wanted: "a size of zero or more",
            });
        }
        let pool = read_pool(&file.pool, file.limits.sockets)?;
        let mut flat = BTreeMap::new();
        flatten("", &file.settings, &mut flat);
        let pairs = flat
            .iter()
            .map(|(path, text)| (path.as_str(), text.as_str()))
            .collect();
        let (mut settings, names) = read_settings(&Pairs(pairs))?;
        settings.ends_by_notice = true;
        settings.validate()?;
        let membership = membership::settings::read(&file.membership, &name, settings.senders)?;
        let agreement = agreement::settings::read(&file.agreement)?;
        let ledger = ledger::settings::read(&file.ledger)?;
        let freeze = freeze::settings::read(&file.freeze)?;
        let remembered = if membership.is_some() {
            membership::MAX_DISK_BYTES
        } else {
            0
        };
        Ok(Config {
            name,
            listen,
            discovery,
            control,
            passed,
            state,
            seed,
            // the last good file stands beside the journal, twice while it is replaced
            disk: (disk as u64).saturating_sub(2 * text.len() as u64 + 4096 + remembered),
            text,
            sockets: file.limits.sockets,
            known: parse_list(&file.known),
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
fn read_file_in_time() -> Result<Vec<u8>, ConfigError> {
    let begun = std::time::Instant::now();
    loop {
        match read_file() {
            Err(error) if error.is_of_this_machine() && begun.elapsed() < READ_IN => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            read => return read,
        }
    }
}

/// Checks that a new file holds what the one in force does, in the same form: each key of an object, and in each
/// item of a list of objects the keys that all items have so far. Lists of endpoints may be empty, others not.
fn complete(path: &str, before: &Value, new: &Value) -> Result<(), ConfigError> {
    let lacks = |what: &str| Err(ConfigError::Incomplete(format!("{path}{what}")));
    match (before, new) {
        // for the start alone, or with defaults for all that is not set
        _ if [
            "/known",
            "/control",
            "/seed",
            "/pool",
            "/membership",
            "/agreement",
            "/ledger",
            "/freeze",
        ]
        .contains(&path) =>
        {
            Ok(())
        }
        (Value::Object(before), Value::Object(new)) => {
            before
                .iter()
                .try_for_each(|(name, value)| match new.get(name) {
                    Some(new) => complete(&format!("{path}/{name}"), value, new),
                    None if MAY_LACK.contains(&name.as_str())
                        || path.is_empty() && PARTS.contains(&name.as_str()) =>
                    {
                        Ok(())
                    }
                    None => lacks(&format!("/{name}")),
                })
        }
        (Value::Array(before), Value::Array(new)) => {
            if new.is_empty() && !before.is_empty() {
                return lacks(" items");
            }
            let Some(Value::Object(first)) = before.first() else {
                return Ok(());
            };
            let common = first
                .iter()
                .filter(|(name, _)| before.iter().all(|item| item.get(name).is_some()));
            let common = Value::Object(
                common
                    .map(|(name, value)| (name.clone(), value.clone()))
                    .collect(),
            );
            let mut items = new.iter().enumerate();
            items.try_for_each(|(at, item)| complete(&format!("{path}/{at}"), &common, item))
        }
        (Value::String(_), Value::String(_))
        | (Value::Number(_), Value::Number(_))
        | (Value::Bool(_), Value::Bool(_))
        | (Value::Null, _) => Ok(()),
        _ => lacks(" in its form"),
    }
}

/// Deadlines and attempts are numbers above zero, attempts whole ones.
fn numbers(settings: &Value) -> Result<(), ConfigError> {
    let positive = |name: &'static str, value: &Value, whole: bool| {
        let number = value
            .as_f64()
            .filter(|number| *number > 0.0 && (!whole || number.fract() == 0.0));
        let wanted = "a number above zero";
        number.map(drop).ok_or(ConfigError::Value {
            name,
            found: value.to_string(),
            wanted,
        })
    };
    positive("caps.mostTries", &settings["caps"]["mostTries"], true)?;
    let classes = settings["classes"]
        .as_array()
        .filter(|classes| !classes.is_empty());
    let classes = classes.ok_or(ConfigError::Incomplete("/settings/classes".to_string()))?;
    classes
        .iter()
        .try_for_each(|class| positive("classes.deadline", &class["deadline"], false))
}

fn address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        name,
        found: text,
        wanted: "an address with a port",
    })
}

/// Nested JSON to paths with text, as the wire's `setup` has them: a list of plain values is joined with
/// commas, a list of objects has its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| flatten(&below(name), value, flat)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&below(&index.to_string()), item, flat);
            }
        }
        Value::Array(items) if items.is_empty() => {
            flat.insert(below("count"), "0".to_string());
            flat.insert(path.to_string(), String::new());
        }
        Value::Array(items) => {
            flat.insert(
                path.to_string(),
                items.iter().map(plain).collect::<Vec<_>>().join(","),
            );
        }
        Value::Null => {}
        other => {
            flat.insert(path.to_string(), plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
