//! Settings of the subsystems that a new configuration can change while the process runs. Each subsystem's task watches
//! its settings.

use crate::net::agreement::settings::AgreementSettings;
use crate::net::config::Config;
use crate::net::freeze::settings::FreezeSettings;
use crate::net::ledger::settings::LedgerSettings;
use crate::net::membership::settings::MembershipSettings;
use std::net::SocketAddr;
use tokio::sync::watch;

/// The settings in force, with one watch channel per subsystem.
#[derive(Clone)]
pub(super) struct SubsystemSettings {
    /// Address for requests to discovery, which serves the endpoint list, and to the registry; both have one address.
    pub discovery: watch::Sender<SocketAddr>,
    pub membership: watch::Sender<Option<MembershipSettings>>,
    pub agreement: watch::Sender<Option<AgreementSettings>>,
    pub ledger: watch::Sender<Option<LedgerSettings>>,
    pub freeze: watch::Sender<Option<FreezeSettings>>,
}

impl SubsystemSettings {
    pub fn new(config: &Config) -> Self {
        SubsystemSettings {
            discovery: watch::Sender::new(config.discovery),
            membership: watch::Sender::new(config.membership.clone()),
            agreement: watch::Sender::new(config.agreement.clone()),
            ledger: watch::Sender::new(config.ledger.clone()),
            freeze: watch::Sender::new(config.freeze.clone()),
        }
    }

    /// Publishes the settings of a new configuration. A subsystem whose settings are unchanged is not notified.
    pub fn update(&self, config: &Config) {
        replace(&self.membership, config.membership.clone());
        replace(&self.agreement, config.agreement.clone());
        replace(&self.ledger, config.ledger.clone());
        replace(&self.freeze, config.freeze.clone());
        replace(&self.discovery, config.discovery);
    }
}

fn replace<T: PartialEq>(settings: &watch::Sender<T>, new: T) {
    settings.send_if_modified(|old| {
        let changed = *old != new;
        *old = new;
        changed
    });
}
