//! Rules on which the senders agree: leases them from the registry and has the driver apply them. Off unless the
//! configuration has an `agreement` object. `docs/agreement.md` states the protocol and its bound.

mod bounds;
mod messages;
mod session;
pub mod settings;

use super::discovery::Backoff;
use super::events::DriverInput;
use super::lease_client::{Dependencies, LeaseKind};
use super::log;
pub use bounds::bounds;
use message_sender::AgreedRules;
use session::RulesSession;
use settings::AgreementSettings;
use std::cell::Cell;
use std::rc::Rc;

/// The rules that the registry leases.
pub struct RulesLease {
    /// What it needs of the rest of the process.
    pub dependencies: Dependencies,
    /// The version of the endpoint list that the decisions go by.
    pub list_version: Rc<Cell<u64>>,
    /// Pauses between requests while no lease lasts, and the source of jitter.
    pub backoff: Backoff,
}

impl RulesLease {
    async fn apply(&self, rules: Option<AgreedRules>) {
        let input = |applied| DriverInput::AgreedRules {
            rules: rules.map(Box::new),
            applied,
        };
        self.dependencies.apply(input).await;
    }
}

impl LeaseKind for RulesLease {
    type Settings = AgreementSettings;
    type Session<'a> = RulesSession<'a>;
    const NAME: &'static str = "agreement";

    fn dependencies(&self) -> &Dependencies {
        &self.dependencies
    }

    async fn start(&mut self, settings: AgreementSettings, incarnation: u64) -> RulesSession<'_> {
        let fallback = bounds(&settings.fallback);
        let rules = AgreedRules {
            leased: None,
            fallback: fallback.clone(),
        };
        self.apply(Some(rules)).await;
        log(format_args!(
            "agreement: on the fallback rules until a lease is granted"
        ));
        RulesSession::new(self, settings, fallback, incarnation)
    }

    async fn disable(&self) {
        self.apply(None).await;
    }
}

#[cfg(test)]
mod tests;
