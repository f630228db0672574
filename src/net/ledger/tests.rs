use super::*;
use crate::net::events::DemandReport;
use crate::net::events::ReportRequest;
use crate::net::lease_client::{self, Channels};
use crate::net::stub_registry::{
    StubAnswer, StubRegistry, assert_golden, golden, standing_clock, within,
};
use message_sender::Demand;
use quota_ledger::quotas::compact::QuotaResponse;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// What a sender of these settings asks the decisions and tells them.
struct Sender {
    inputs: mpsc::UnboundedReceiver<DriverInput>,
    queries: mpsc::Sender<ReportRequest>,
    _settings: watch::Sender<Option<LedgerSettings>>,
    _stop: watch::Sender<bool>,
    _registry: watch::Sender<SocketAddr>,
}

/// Four destinations: one that waits, one that is in use, one that is not well, and one of which nothing is known.
fn demand() -> BTreeMap<u64, Demand> {
    let idle = Demand::default();
    [
        (
            3,
            Demand {
                waiting: 5,
                in_flight: 2,
                sent: 9,
                alive: true,
                ..idle
            },
        ),
        (
            7,
            Demand {
                in_flight: 1,
                sent: 4,
                alive: true,
                ..idle
            },
        ),
        (
            300,
            Demand {
                waiting: 1,
                sent: 6,
                unhealthy: true,
                failing: true,
                ..idle
            },
        ),
        (70_000, idle),
    ]
    .into()
}

fn demand_report() -> DemandReport {
    DemandReport {
        listed: 4,
        by_destination: demand(),
    }
}

impl Sender {
    fn start(test: &str, registry: SocketAddr) -> Self {
        let settings =
            settings::read(&serde_json::from_slice(&golden("ledger/settings.json")).expect("JSON"));
        let (inputs, received) = mpsc::unbounded_channel();
        let (queries, asked) = mpsc::channel(1);
        let (settings, wanted) = watch::channel(settings.expect("good"));
        let (stop, stopping) = watch::channel(false);
        let (found, agent) = watch::channel(registry);
        let lease = QuotaLease {
            dependencies: Dependencies {
                clock: standing_clock(test),
                name: "n1".to_string(),
                driver: inputs,
                registry: agent,
            },
            seed: 5,
            zone: "a".to_string(),
        };
        let channels = Channels {
            settings: wanted,
            reports: asked,
            shutdown: stopping,
        };
        tokio::task::spawn_local(lease_client::run(lease, channels));
        Sender {
            inputs: received,
            queries,
            _settings: settings,
            _stop: stop,
            _registry: found,
        }
    }

    /// The next quotas that are to bind, as the hand-over has them; they do at once. Demand is told where it is asked for, and
    /// verdicts are collected.
    async fn quotas(&mut self, verdicts: &mut Vec<(u64, bool)>) -> Vec<u8> {
        loop {
            match within(self.inputs.recv()).await.expect("it runs") {
                DriverInput::Quotas {
                    quotas: Some(quotas),
                    applied,
                } => {
                    applied.send(()).expect("it waits");
                    return postcard::to_allocvec(&*quotas).expect("encoded");
                }
                DriverInput::Demand { reply, .. } => reply.send(demand_report()).expect("it waits"),
                DriverInput::FleetHealth {
                    destination,
                    unavailable,
                } => verdicts.push((destination, unavailable)),
                input => panic!("{input:?}"),
            }
        }
    }

    /// The report, once it holds this.
    async fn report(&mut self, held: &str) -> String {
        loop {
            let (reply, mut report) = oneshot::channel();
            self.queries.send(reply).await.expect("it runs");
            let report = loop {
                tokio::select! {
                    report = &mut report => break report.expect("a report"),
                    input = within(self.inputs.recv()) => match input.expect("it runs") {
                        DriverInput::Quotas { applied, .. } => applied.send(()).expect("it waits"),
                        DriverInput::Demand { reply, .. } => reply.send(demand_report()).expect("it waits"),
                        _ => {}
                    }
                }
            };
            if report.contains(held) {
                return report;
            }
        }
    }
}

/// Checks the two sides of an exchange in a form, and what the sender makes of them.
async fn check_exchange(answers: Vec<StubAnswer>, form: &str) {
    let refusals = answers.len() - 1;
    let mut registry = StubRegistry::answering(answers).await;
    let mut sender = Sender::start(&format!("ledger-{form}"), registry.address);
    let mut verdicts = Vec::new();
    assert_golden(
        "ledger/quotas-fallback.postcard",
        &sender.quotas(&mut verdicts).await,
    );
    let mut requests = Vec::new();
    let quotas = sender.quotas(&mut verdicts).await;
    for _ in 0..=refusals {
        requests.push(registry.request().await);
    }
    let (head, body) = requests.pop().expect("the last request");
    assert_golden(&format!("ledger/request-{form}.http"), head.as_bytes());
    assert_golden(&format!("ledger/request.{form}"), &body);
    assert_golden("ledger/quotas-allocated.postcard", &quotas);
    assert_eq!(verdicts, [(7, false), (300, true)]);
    assert_golden(
        &format!("ledger/report-{form}.json"),
        sender.report("\"granted\":1").await.as_bytes(),
    );
}

#[tokio::test]
async fn compact_request_and_answer_keep_their_bytes() {
    let local = tokio::task::LocalSet::new();
    let answer = StubAnswer {
        status: "200 OK",
        body: golden("ledger/answer.compact"),
    };
    local
        .run_until(check_exchange(vec![answer], "compact"))
        .await;
}

#[tokio::test]
async fn json_request_and_answer_keep_their_bytes_where_compact_is_refused() {
    let local = tokio::task::LocalSet::new();
    let refusal = StubAnswer {
        status: "415 Unsupported Media Type",
        body: Vec::new(),
    };
    let answer = StubAnswer {
        status: "200 OK",
        body: golden("ledger/answer.json"),
    };
    local
        .run_until(check_exchange(vec![refusal, answer], "json"))
        .await;
}

#[tokio::test]
async fn report_without_quotas_keeps_its_bytes() {
    let local = tokio::task::LocalSet::new();
    let run = async {
        let refusal = StubAnswer {
            status: "409 Conflict",
            body: b"another floor\nmore".to_vec(),
        };
        let registry = StubRegistry::answering(vec![refusal]).await;
        let mut sender = Sender::start("ledger-refused", registry.address);
        let report = sender.report("\"failed\":1").await;
        assert_golden("ledger/report-without-quotas.json", report.as_bytes());
    };
    local.run_until(run).await;
}

#[test]
fn both_golden_answers_say_the_same() {
    let compact = QuotaResponse::decode(&golden("ledger/answer.compact")).expect("compact");
    let json: Value = serde_json::from_slice(&golden("ledger/answer.json")).expect("JSON");
    assert_eq!(json["lease"], compact.lease);
    assert_eq!(
        serde_json::to_value(&compact.verdicts).expect("encoded"),
        json["verdicts"]
    );
    assert_eq!(compact.encode(), golden("ledger/answer.compact"));
}
