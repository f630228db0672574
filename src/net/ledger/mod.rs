//! Limits that hold for all senders together: leases quotas from the registry and has the driver apply them. Off unless
//! the configuration has a `ledger` object. `docs/ledger.md` states the protocol and its bound.

mod allocation;
mod demands;
mod messages;
mod round_trip;
mod session;
pub mod settings;

use super::events::{DemandReport, DriverInput};
use super::lease_client::{Dependencies, LeaseKind};
use super::log;
pub use allocation::fallback_only;
use message_sender::Quotas;
use session::QuotaSession;
use settings::LedgerSettings;
use tokio::sync::oneshot;

/// The quotas that the registry leases.
pub struct QuotaLease {
    /// What it needs of the rest of the process.
    pub dependencies: Dependencies,
    /// Seed of the jitter between requests.
    pub seed: u64,
    /// The name of the zone that this sender is in.
    pub zone: String,
}

impl QuotaLease {
    async fn apply(&self, quotas: Option<Quotas>) {
        let input = |applied| DriverInput::Quotas {
            quotas: quotas.map(Box::new),
            applied,
        };
        self.dependencies.apply(input).await;
    }

    /// The demand at the destinations: at all that are listed if these are no more than `complete_up_to`.
    async fn demand(&self, complete_up_to: usize) -> DemandReport {
        let (reply, report) = oneshot::channel();
        let _ = self.dependencies.driver.send(DriverInput::Demand {
            max_fully_reported: complete_up_to,
            reply,
        });
        report.await.unwrap_or_default()
    }
}

impl LeaseKind for QuotaLease {
    type Settings = LedgerSettings;
    type Session<'a> = QuotaSession<'a>;
    const NAME: &'static str = "ledger";

    fn dependencies(&self) -> &Dependencies {
        &self.dependencies
    }

    async fn start(&mut self, settings: LedgerSettings, incarnation: u64) -> QuotaSession<'_> {
        self.apply(Some(fallback_only(&settings))).await;
        log(format_args!(
            "ledger: on the fallback quotas until a lease is granted"
        ));
        QuotaSession::new(self, settings, incarnation)
    }

    async fn disable(&self) {
        self.apply(None).await;
    }
}

#[cfg(test)]
mod tests;
