//! Reload of the configuration on SIGHUP. A complete and valid configuration is applied; otherwise all settings stay
//! unchanged.

use super::Process;
use super::part_settings::SubsystemSettings;
use crate::net::config::{Config, ConfigError};
use crate::net::events::{DriverInput, SettingsUpdate};
use crate::net::local_errors::RETRY_INTERVAL;
use crate::net::{self, RateLimitedLog};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::time::sleep;

/// Starts the task that reloads the configuration on each SIGHUP.
pub(super) fn start(hangup: Signal, process: &Process) {
    let reload = Reload {
        text: process.config.text.clone(),
        subsystem_settings: process.subsystem_settings.clone(),
        inputs: process.senders.inputs.clone(),
        log: RateLimitedLog::default(),
    };
    tokio::task::spawn_local(reload.run(hangup));
}

/// Task that reloads the configuration on each SIGHUP.
struct Reload {
    /// Text of the configuration in force.
    text: Vec<u8>,
    subsystem_settings: SubsystemSettings,
    inputs: mpsc::UnboundedSender<DriverInput>,
    log: RateLimitedLog,
}

impl Reload {
    async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(Ok(config)) => self.apply(config),
                Ok(Err(error)) => log_rejected(&error),
                Err(error) => log_rejected(&error),
            }
        }
    }

    /// Reads the new configuration. Errors of the local host are retried until the file can be read, because the
    /// platform sends SIGHUP only once for a change.
    async fn read(&self) -> Result<Result<Config, ConfigError>, JoinError> {
        loop {
            let current_text = self.text.clone();
            let read = tokio::task::spawn_blocking(move || Config::reread(&current_text)).await;
            match read {
                Ok(Err(error)) if error.is_local() => {
                    self.log.log(format_args!(
                        "SIGHUP: configuration can't be read yet; retrying: {error}"
                    ));
                    sleep(RETRY_INTERVAL).await;
                }
                read => return read,
            }
        }
    }

    fn apply(&mut self, config: Config) {
        let classes = config.settings.classes.iter();
        let classes: Vec<&str> = classes.map(|class| class.name.as_str()).collect();
        net::log(format_args!(
            "SIGHUP: configuration applied: classes {}; discovery at {}",
            classes.join(", "),
            config.discovery
        ));
        let update = SettingsUpdate {
            settings: config.settings.clone(),
            names: config.names.clone(),
            pool: config.pool.clone(),
        };
        let _ = self
            .inputs
            .send(DriverInput::SettingsChanged(Box::new(update)));
        self.subsystem_settings.update(&config);
        self.text = config.text;
    }
}

fn log_rejected(error: &dyn std::fmt::Display) {
    net::log(format_args!(
        "SIGHUP: configuration left as it was: {error}"
    ));
}
