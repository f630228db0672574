//! A new configuration on SIGHUP: settings come from a file that is complete, or stay as they were.

use super::Process;
use super::part_settings::PartSettings;
use crate::net::config::{Config, ConfigError};
use crate::net::events::{DriverInput, SettingsUpdate};
use crate::net::local_errors::RETRY_INTERVAL;
use crate::net::{self, RateLimitedLog};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::time::sleep;

/// Starts the task that reads the configuration anew on each SIGHUP.
pub(super) fn start(hangup: Signal, process: &Process) {
    let reload = Reload {
        text: process.config.text.clone(),
        parts: process.parts.clone(),
        inputs: process.senders.inputs.clone(),
        log: RateLimitedLog::default(),
    };
    tokio::task::spawn_local(reload.run(hangup));
}

/// Reads the configuration anew on each SIGHUP.
struct Reload {
    /// The text in force.
    text: Vec<u8>,
    parts: PartSettings,
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

    /// The new configuration, as soon as this machine can read it: the platform has sent SIGHUP once, and does not send it
    /// again.
    async fn read(&self) -> Result<Result<Config, ConfigError>, JoinError> {
        loop {
            let before = self.text.clone();
            let read = tokio::task::spawn_blocking(move || Config::reread(&before)).await;
            match read {
                Ok(Err(error)) if error.is_local() => {
                    self.log
                        .log(format_args!("SIGHUP: configuration not read yet: {error}"));
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
            "SIGHUP: classes {}; discovery at {}",
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
        self.parts.update(&config);
        self.text = config.text;
    }
}

fn log_rejected(error: &dyn std::fmt::Display) {
    net::log(format_args!(
        "SIGHUP: configuration left as it was: {error}"
    ));
}
