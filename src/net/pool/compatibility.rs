//! Compatibility test of the operators' pool report: keys and types must stay as recorded.

use super::*;
use crate::net::http_golden as golden;
use message_sender::{EndpointId, SECOND};

#[test]
fn report_has_the_recorded_keys_and_types() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let settings = Settings {
            connection_idle_timeout: 60 * SECOND,
            ..Settings::new(8, 100)
        };
        let limits = limits(
            &PoolSettings::default(),
            PoolResources::for_tests(),
            &settings,
        );
        let (pool_side, _endpoint_side) = tokio::io::duplex(64);
        let connections = ConnectionPool::with_prepared_streams(vec![pool_side], limits);
        let target = |port, endpoint| EndpointAddress {
            address: ([127, 0, 0, 1], port).into(),
            endpoint: EndpointId(endpoint),
        };
        connections.set_endpoint_enabled(target(9, 0), true);
        connections.set_endpoint_enabled(target(10, 1), true);
        let close_reason = Rc::new(Cell::new(CloseReason::Cancelled));
        let lease = connections
            .acquire(target(9, 0), &close_reason)
            .await
            .expect("the connection is established");
        lease.discard(CloseReason::Reset);
        assert!(
            connections
                .acquire(target(10, 1), &close_reason)
                .await
                .is_err(),
            "no prepared stream is left"
        );
        let report =
            connections.report(|endpoint| (endpoint == EndpointId(0)).then(|| "s-1".to_string()));
        let report: serde_json::Value = serde_json::from_str(&report).expect("JSON");
        golden::compare(
            "pools.json",
            &serde_json::to_string_pretty(&golden::kinds(&report)).expect("JSON"),
        );
    });
    let close_reasons = [
        CloseReason::IdleTimeout,
        CloseReason::Surplus,
        CloseReason::Scarcity,
        CloseReason::Evicted,
        CloseReason::Retired,
        CloseReason::Disconnected,
        CloseReason::ShuttingDown,
        CloseReason::Suspect,
        CloseReason::ClosedByPeer,
        CloseReason::Reset,
        CloseReason::Unreadable,
        CloseReason::TimedOut,
        CloseReason::Cancelled,
    ];
    let dial_failures = [
        DialFailure::Refused,
        DialFailure::TimedOut,
        DialFailure::Local,
        DialFailure::Other,
    ];
    let text = serde_json::to_string(&(close_reasons, dial_failures)).expect("JSON");
    golden::compare("pool_causes.json", &text);
}
