use super::session::retry_pause;
use super::*;
use crate::net::discovery::DiscoveryClients;
use crate::net::events::ReportRequest;
use crate::net::lease_client::{self, Channels};
use crate::net::stub_registry::{
    StubAnswer, StubRegistry, assert_golden, golden, standing_clock, within,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

#[test]
fn retries_within_a_lease_are_bounded() {
    let lease = Duration::from_secs(6);
    let mut left = lease;
    let mut retries = 0;
    while retries < 50
        && let Some(rest) = left.checked_sub(retry_pause(left, lease))
    {
        left = rest;
        retries += 1;
    }
    assert_eq!(retries, 6);
}

/// What a sender of these settings tells the decisions, step by step.
struct Sender {
    inputs: mpsc::UnboundedReceiver<DriverInput>,
    queries: mpsc::Sender<ReportRequest>,
    _settings: watch::Sender<Option<AgreementSettings>>,
    _stop: watch::Sender<bool>,
    _registry: watch::Sender<SocketAddr>,
}

impl Sender {
    fn start(test: &str, registry: SocketAddr) -> Self {
        let settings = settings::read(
            &serde_json::from_slice(&golden("agreement/settings.json")).expect("JSON"),
        );
        let (inputs, received) = mpsc::unbounded_channel();
        let (queries, asked) = mpsc::channel(1);
        let (settings, wanted) = watch::channel(settings.expect("good"));
        let (stop, stopping) = watch::channel(false);
        let (found, agent) = watch::channel(registry);
        let shared = DiscoveryClients {
            senders: 3,
            is_common_service: false,
            poll_interval: Duration::from_secs(1),
        };
        let lease = RulesLease {
            dependencies: Dependencies {
                clock: standing_clock(test),
                name: "n1".to_string(),
                driver: inputs,
                registry: agent,
            },
            list_version: Rc::new(Cell::new(42)),
            backoff: Backoff::new(shared, 1),
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

    /// The next rules that are to bind, as the hand-over has them; they do at once.
    async fn rules(&mut self) -> Vec<u8> {
        let input = within(self.inputs.recv()).await.expect("it runs");
        let DriverInput::AgreedRules {
            rules: Some(rules),
            applied,
        } = input
        else {
            panic!("{input:?}")
        };
        applied.send(()).expect("it waits");
        postcard::to_allocvec(&*rules).expect("encoded")
    }

    async fn report(&self) -> String {
        let (reply, report) = oneshot::channel();
        self.queries.send(reply).await.expect("it runs");
        within(report).await.expect("a report")
    }
}

#[tokio::test]
async fn lease_request_and_grant_keep_their_bytes() {
    let local = tokio::task::LocalSet::new();
    let run = async {
        let answer = || StubAnswer {
            status: "200 OK",
            body: golden("agreement/grant.json"),
        };
        let mut registry = StubRegistry::answering(vec![answer(), answer()]).await;
        let mut sender = Sender::start("agreement-lease", registry.address);
        assert_golden("agreement/rules-fallback.postcard", &sender.rules().await);
        let (head, body) = registry.request().await;
        assert_golden("agreement/request.http", head.as_bytes());
        assert_golden("agreement/request-on-the-floor.json", &body);
        assert_golden("agreement/rules-leased.postcard", &sender.rules().await);
        assert_golden("agreement/report.json", sender.report().await.as_bytes());
        // the next request says what it acts on
        let (_, body) = registry.request().await;
        assert_golden("agreement/request-with-a-lease.json", &body);
    };
    local.run_until(run).await;
}

#[tokio::test]
async fn report_without_a_lease_keeps_its_bytes() {
    let local = tokio::task::LocalSet::new();
    let run = async {
        let refusal = StubAnswer {
            status: "409 Conflict",
            body: b"another floor\nmore".to_vec(),
        };
        let mut registry = StubRegistry::answering(vec![refusal]).await;
        let mut sender = Sender::start("agreement-refused", registry.address);
        sender.rules().await;
        registry.request().await;
        let report = loop {
            let report = sender.report().await;
            if report.contains("\"failed\":1") {
                break report;
            }
        };
        assert_golden("agreement/report-without-a-lease.json", report.as_bytes());
    };
    local.run_until(run).await;
}
