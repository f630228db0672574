//! Settings that a new configuration changes while the process runs, each for the task that follows it.

use crate::net::agreement::settings::AgreementSettings;
use crate::net::config::Config;
use crate::net::freeze::settings::FreezeSettings;
use crate::net::ledger::settings::LedgerSettings;
use crate::net::membership::settings::MembershipSettings;
use std::net::SocketAddr;
use tokio::sync::watch;

/// The settings in force, by part.
#[derive(Clone)]
pub(super) struct PartSettings {
    /// The address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    pub membership: watch::Sender<Option<MembershipSettings>>,
    pub agreement: watch::Sender<Option<AgreementSettings>>,
    pub ledger: watch::Sender<Option<LedgerSettings>>,
    pub freeze: watch::Sender<Option<FreezeSettings>>,
}

impl PartSettings {
    pub fn new(config: &Config) -> Self {
        PartSettings {
            discovery: watch::Sender::new(config.discovery),
            membership: watch::Sender::new(config.membership.clone()),
            agreement: watch::Sender::new(config.agreement.clone()),
            ledger: watch::Sender::new(config.ledger.clone()),
            freeze: watch::Sender::new(config.freeze.clone()),
        }
    }

    /// Puts the settings of a new configuration in force; a part whose settings stay is not notified.
    pub fn update(&self, config: &Config) {
        replace(&self.membership, config.membership.clone());
        replace(&self.agreement, config.agreement.clone());
        replace(&self.ledger, config.ledger.clone());
        replace(&self.freeze, config.freeze.clone());
        replace(&self.discovery, config.discovery);
    }
}

fn replace<T: PartialEq>(part: &watch::Sender<T>, new: T) {
    part.send_if_modified(|old| {
        let changed = *old != new;
        *old = new;
        changed
    });
}
