use super::*;
use crate::net::stub_registry::golden;
use serde_json::json;

#[test]
fn faulty_object_error_names_its_key() {
    let good =
        json!({ "senders": 3, "floors": { "rate": 50, "out/7": 0 }, "others": ["10.0.0.4:8500"] });
    assert_eq!(
        read(&good)
            .expect("good")
            .expect("there")
            .fallback_quotas()
            .senders,
        3
    );
    assert_eq!(read(&Value::Null).expect("none is none"), None);
    for (key, value, told) in [
        ("sender", json!(3), "unknown field `sender`"),
        ("senders", json!(0), "ledger.senders is not"),
        ("floors", json!({ "rte": 1 }), "ledger.floors names 'rte'"),
        (
            "floors",
            json!({ "rate/x": 1 }),
            "ledger.floors names 'rate/x'",
        ),
        (
            "bytes_a_second",
            json!(1_999),
            "ledger.bytes_a_second is 1999",
        ),
        (
            "others",
            json!(vec!["10.0.0.4:1"; 17]),
            "ledger.others is not",
        ),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        let error = read(&bad).expect_err(told).to_string();
        assert!(error.contains(told), "{key}: {error}");
    }
}

#[test]
fn object_with_every_key_is_read() {
    let object = serde_json::from_slice(&golden("ledger/settings.json")).expect("JSON");
    let ledger = read(&object).expect("good").expect("there");
    let fallback_quotas = ledger.fallback_quotas();
    assert_eq!(fallback_quotas.senders, 3);
    assert_eq!(
        serde_json::to_value(&fallback_quotas.per_sender).expect("encoded"),
        object["floors"]
    );
    assert_eq!(
        ledger.replicas,
        ["10.0.0.4:8500".parse().expect("an address")]
    );
    assert_eq!(ledger.bytes_a_second, 7_000);
}
