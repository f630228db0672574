//! The configuration file of a sender under test.

use crate::addresses::Addresses;
use crate::rules::fallback_rules;
use crate::scenario::{Registry, Scenario};
use crate::workload::{CLASSES, Class, DEDUPLICATION_WINDOW_S, TENANTS, Tenant, keeps_order};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Call slots of a sender, over the calls that its part of the load keeps busy, and the least of them.
const SLOTS_OVER_LOAD: f64 = 2.2;
const MIN_SLOTS: f64 = 3.0;
/// Pending messages that a sender may hold, as seconds of its part of the load, and the least of them.
const PENDING_LOAD_S: f64 = 5.0;
const MIN_PENDING: f64 = 12.0;
/// A tenant's allowance over its part of the load.
const TENANT_ALLOWANCE_OVER_LOAD: f64 = 2.0;

/// One process of a sender, for which a configuration is made.
#[derive(Debug)]
pub struct SenderConfig<'a> {
    /// What all senders of the run have in common.
    pub scenario: &'a Scenario,
    /// The addresses of the run.
    pub addresses: &'a Addresses,
    /// The seed of the run.
    pub seed: u64,
    /// The sender's number.
    pub sender: usize,
    /// Where the process answers operators.
    pub control: SocketAddr,
    /// Where it finds discovery.
    pub discovery: SocketAddr,
    /// Processes that were started in the run so far, this one included.
    pub starts: u64,
}

impl SenderConfig<'_> {
    /// The configuration as the sender reads it.
    pub fn to_json(&self) -> Value {
        let mut config = json!({
            "name": format!("n{}", self.sender),
            "listen": self.addresses.client_address(self.sender),
            "control": self.control,
            "discovery": self.discovery,
            "seed": format!("{:016x}", self.process_seed()),
            "limits": { "cores": 1.0, "memory_mb": self.scenario.memory_mb, "sockets": 1024, "disk_mb": 3 },
            "known": { "rev": 0, "all": true, "targets": [] },
            "settings": self.settings(),
        });
        if let Some(membership) = self.membership() {
            config["membership"] = membership;
        }
        if let Some(registry) = &self.scenario.registry {
            self.add_registry(registry, &mut config);
        }
        config
    }

    fn process_seed(&self) -> u64 {
        self.seed.wrapping_mul(0x9e37_79b9) ^ (self.starts << 20 | self.sender as u64)
    }

    fn settings(&self) -> Value {
        let zone = self.scenario.zone_of(self.sender);
        let messages_per_s = self.scenario.traffic.per_s / self.scenario.senders as f64;
        let latency_ms = self.scenario.destinations.latency_ms;
        let slots = (SLOTS_OVER_LOAD * messages_per_s * latency_ms / 1e3)
            .ceil()
            .max(MIN_SLOTS);
        let bundle = self.scenario.destinations.bundle;
        let pending = (PENDING_LOAD_S * messages_per_s).ceil().max(MIN_PENDING);
        json!({
            "az": self.scenario.zones[zone],
            "zones": self.scenario.zones,
            "balancers": self.scenario.senders,
            "index": self.sender,
            "machineTypes": ["payment-gateway", "school-library", "reading-club"],
            "weights": "rough",
            "caps": {
                "maxOpen": pending,
                "mostTries": 12,
                "mayCancel": true,
                "secondCopies": true,
                "connIdle": 10.0,
                "dialTimeout": 0.5,
                "retryAfter": true,
                "maxRetryAfter": 3.0,
            },
            "classes": self.classes(),
            "realms": self.tenants(),
            "overShareWorth": 0.1,
            "specifics": {
                "callSlots": slots,
                "bundleMax": [bundle, bundle, bundle],
                "routesApart": [false, false, false],
            },
            "safety": {
                "stopSendingWithin": 2.0,
                "cold": 11.0,
                "startCapacity": 0.18,
                "fallMultiple": 2.0,
                "fall": 1.5,
                "turnGap": 0.3,
            },
        })
    }

    fn classes(&self) -> Vec<Value> {
        let class = |(number, class): (usize, &Class)| {
            json!({
                "name": class.name,
                "aim": class.latency_objective_s,
                "deadline": class.deadline_s,
                "worth": class.priority_weight,
                "lateShare": class.late_share,
                "effect": class.effect,
                "group": "all",
                "window": DEDUPLICATION_WINDOW_S,
                "oneAtATime": keeps_order(self.scenario, number),
            })
        };
        CLASSES.iter().enumerate().map(class).collect()
    }

    fn tenants(&self) -> Vec<Value> {
        let allowance =
            |share: f64| share * TENANT_ALLOWANCE_OVER_LOAD * self.scenario.traffic.per_s;
        let tenant = |tenant: &Tenant| {
            json!({
                "name": tenant.name,
                "fraction": tenant.share,
                "allowancePerS": allowance(tenant.share),
            })
        };
        TENANTS.iter().map(tenant).collect()
    }

    /// The scenario's settings of membership, with what the scenario leaves out.
    fn membership(&self) -> Option<Value> {
        let mut membership =
            serde_json::to_value(self.scenario.membership.as_ref()?).unwrap_or_default();
        // one reachable seed suffices: each sender names the two after it, so that none is asked by all
        let following = |step| {
            let sender = (self.sender + step) % self.scenario.senders;
            self.addresses.advertised_address(sender)
        };
        let defaults = json!({
            "listen": self.addresses.membership_address(self.sender),
            "advertise": self.addresses.advertised_address(self.sender),
            "fleet": "lab",
            "seeds": [following(1), following(2)],
        });
        if let (Value::Object(settings), Value::Object(defaults)) = (&mut membership, defaults) {
            for (name, value) in defaults {
                settings.entry(name).or_insert(value);
            }
        }
        Some(membership)
    }

    fn add_registry(&self, registry: &Registry, config: &mut Value) {
        // the lab's own discovery grants no lease: all replicas are asked in turn
        let replicas: Vec<SocketAddr> = (0..registry.replicas)
            .map(|step| (self.sender + step) % registry.replicas)
            .map(|replica| self.addresses.registry_link_address(self.sender, replica))
            .collect();
        if let Some(ledger) = &registry.ledger {
            config["ledger"] = json!({
                "senders": self.scenario.senders,
                "others": replicas,
                "floors": { "rate": ledger.fallback_quota() },
            });
        }
        config["agreement"] = json!({ "floor": fallback_rules(), "others": replicas });
    }
}
