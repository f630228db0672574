//! Starts the tasks other than the driver. Each task ends once a successor has taken over.

use super::channels::TaskReceivers;
use super::{FleetState, Process};
use crate::net::agreement::RulesLease;
use crate::net::clock::Clock;
use crate::net::discovery::{self, Backoff, BindingTimesFile, Freshness};
use crate::net::events::ReportRequest;
use crate::net::handover::{run_until_handed_over, wait_for_successors};
use crate::net::ledger::QuotaLease;
use crate::net::{freeze, lease_client, membership};
use message_sender::Micros;
use std::time::Duration;
use tokio::sync::mpsc;

type ReportRequests = mpsc::Receiver<ReportRequest>;

/// Shared inputs from which the tasks are started.
pub(super) struct Tasks<'a> {
    pub process: &'a Process,
    pub clock: Clock,
    pub fleet: FleetState,
}

fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

impl Tasks<'_> {
    /// Starts all tasks. The discovery task requests changes from `list_version` on; `binding_times` are those of missed
    /// changes.
    pub fn start(
        self,
        list_version: u64,
        binding_times: BindingTimesFile,
        receivers: TaskReceivers,
    ) {
        let discovery = self.process.subsystem_settings.discovery.subscribe();
        self.start_discovery(list_version, binding_times);
        self.start_agreement(receivers.agreement_reports);
        self.start_ledger(receivers.ledger_reports);
        self.start_freeze();
        self.spawn(discovery::post_notices(
            discovery,
            receivers.notifications,
            self.process.senders.inputs.clone(),
        ));
        self.spawn(wait_for_successors(
            self.process.config.state_folder.clone(),
            self.process.senders.successors.clone(),
        ));
        self.start_membership(receivers.membership_reports);
    }

    /// Spawns a task that is dropped once a successor has taken over.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let handed_over = self.process.flags.handed_over.subscribe();
        tokio::task::spawn_local(run_until_handed_over(handed_over, task));
    }

    /// Returns the settings that all clients of discovery and the registry share.
    fn discovery_clients(&self) -> discovery::DiscoveryClients {
        let settings = &self.process.config.settings;
        discovery::DiscoveryClients {
            senders: settings.senders,
            is_common_service: settings.list_by_subscription,
            poll_interval: to_duration(settings.safety.poll_interval),
        }
    }

    fn start_discovery(&self, list_version: u64, binding_times: BindingTimesFile) {
        let config = &self.process.config;
        let inputs = &self.process.senders.inputs;
        // the time for dialling is a margin for a sender that is held up between its decision and the write
        let drain_grace = to_duration(config.settings.safety.drain_grace);
        let grace = drain_grace.saturating_sub(to_duration(config.names.dial_timeout));
        let pushed = !config.settings.list_by_subscription;
        let clients = self.discovery_clients();
        let (freshness, staleness) = Freshness::new(pushed, grace, inputs.clone(), binding_times);
        self.spawn(staleness);
        self.spawn(discovery::watch(
            self.process.subsystem_settings.discovery.subscribe(),
            list_version,
            config.memory_shares().max_list_bytes,
            clients,
            Backoff::new(clients, config.seed),
            freshness,
            inputs.clone(),
        ));
    }

    fn lease_dependencies(&self) -> lease_client::Dependencies {
        let process = self.process;
        lease_client::Dependencies {
            clock: self.clock,
            name: process.config.name.clone(),
            driver: process.senders.inputs.clone(),
            registry: process.subsystem_settings.discovery.subscribe(),
        }
    }

    fn start_agreement(&self, reports: ReportRequests) {
        let process = self.process;
        let lease = RulesLease {
            dependencies: self.lease_dependencies(),
            list_version: self.fleet.list_version.clone(),
            backoff: Backoff::new(self.discovery_clients(), !process.config.seed),
        };
        let channels = lease_client::Channels {
            settings: process.subsystem_settings.agreement.subscribe(),
            reports,
            shutdown: process.flags.stopping.subscribe(),
        };
        self.spawn(lease_client::run(lease, channels));
    }

    fn start_ledger(&self, reports: ReportRequests) {
        let process = self.process;
        let config = &process.config;
        let zone = config.names.zones.get(usize::from(config.settings.zone));
        let lease = QuotaLease {
            dependencies: self.lease_dependencies(),
            seed: config.seed,
            zone: zone.cloned().unwrap_or_default(),
        };
        let channels = lease_client::Channels {
            settings: process.subsystem_settings.ledger.subscribe(),
            reports,
            shutdown: process.flags.stopping.subscribe(),
        };
        self.spawn(lease_client::run(lease, channels));
    }

    fn start_freeze(&self) {
        let process = self.process;
        let dependencies = freeze::Dependencies {
            clock: self.clock,
            seed: process.config.seed,
            driver: process.senders.inputs.clone(),
            registry: process.subsystem_settings.discovery.subscribe(),
        };
        let settings = process.subsystem_settings.freeze.subscribe();
        let shutdown = process.flags.stopping.subscribe();
        self.spawn(freeze::run(dependencies, settings, shutdown));
    }

    fn start_membership(&self, reports: ReportRequests) {
        let process = self.process;
        let dependencies = membership::Dependencies {
            clock: self.clock,
            seed: process.config.seed,
            state_folder: process.config.state_folder.clone(),
            driver: process.senders.inputs.clone(),
            fleet_size: self.fleet.size.clone(),
        };
        let channels = membership::Channels {
            settings: process.subsystem_settings.membership.subscribe(),
            reports,
            shutdown: process.flags.stopping.subscribe(),
        };
        self.spawn(membership::run(dependencies, channels));
    }
}
