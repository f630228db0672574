//! Tests of the expiry of endpoints.

use super::*;

fn endpoints(count: usize) -> Endpoints {
    let endpoint = serde_json::json!({ "endpoint": "10.0.0.1:80", "pod_group": 1, "ttl_ms": 1000 });
    let endpoint: Endpoint = serde_json::from_value(endpoint).expect("an endpoint");
    (0..count)
        .map(|number| (format!("e{number:02}"), endpoint.clone()))
        .collect()
}

fn retained(newly_retained: usize) -> Expiry {
    Expiry {
        expired: vec![],
        newly_retained,
    }
}

#[test]
fn silent_endpoint_expires_and_others_do_not() {
    let endpoints = endpoints(10);
    let mut heartbeats = Heartbeats::default();
    assert_eq!(heartbeats.expire(0, &endpoints), Expiry::default());
    for now in [500_000, 1_000_000, 1_500_000] {
        endpoints
            .keys()
            .skip(1)
            .for_each(|uid| heartbeats.record(now, uid, &endpoints[uid]));
        let Expiry {
            expired,
            newly_retained,
        } = heartbeats.expire(now, &endpoints);
        let expired: Vec<&String> = expired.iter().map(|expired| &expired.uid).collect();
        assert_eq!(
            expired,
            if now == 1_000_000 {
                vec!["e00"]
            } else {
                vec![]
            },
            "at {now}"
        );
        assert_eq!(newly_retained, 0);
    }
}

#[test]
fn large_share_that_expires_at_once_is_retained_until_its_next_heartbeats() {
    let endpoints = endpoints(10);
    let mut heartbeats = Heartbeats::default();
    heartbeats.expire(0, &endpoints);
    // half of them, a little apart
    endpoints
        .keys()
        .skip(5)
        .for_each(|uid| heartbeats.record(900_000, uid, &endpoints[uid]));
    assert_eq!(heartbeats.expire(1_000_000, &endpoints), retained(5));
    assert_eq!(heartbeats.retained().count(), 5);
    endpoints
        .keys()
        .for_each(|uid| heartbeats.record(1_500_000, uid, &endpoints[uid]));
    assert_eq!(heartbeats.retained().count(), 0);
    assert_eq!(heartbeats.expire(2_400_000, &endpoints), retained(0));
}
