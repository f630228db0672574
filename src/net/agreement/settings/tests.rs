use super::*;
use crate::net::stub_registry::golden;
use serde_json::json;

#[test]
fn faulty_object_error_names_its_key() {
    let good = json!({ "floor": { "limits": { "calls": 4 } }, "others": ["10.0.0.4:8500"] });
    assert_eq!(read(&good).expect("good").expect("there").replicas.len(), 1);
    assert_eq!(read(&Value::Null).expect("none is none"), None);
    for (key, value, told) in [
        ("flor", json!({}), "unknown field `flor`"),
        (
            "floor",
            json!({ "limits": { "calls": 0 } }),
            "agreement.floor: limits.calls: must be above zero",
        ),
        (
            "others",
            json!(vec!["10.0.0.4:1"; 17]),
            "agreement.others is not",
        ),
        (
            "others",
            json!(["there"]),
            "agreement: invalid socket address",
        ),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        let error = read(&bad).expect_err(key).to_string();
        assert!(error.contains(told), "{key}: {error}");
    }
}

#[test]
fn object_with_every_key_is_read() {
    let object = serde_json::from_slice(&golden("agreement/settings.json")).expect("JSON");
    let AgreementSettings { fallback, replicas } = read(&object).expect("good").expect("there");
    // the document is written as it was read
    assert_eq!(
        serde_json::to_value(&fallback).expect("encoded"),
        object["floor"]
    );
    assert_eq!(
        replicas,
        [
            "10.0.0.4:8500".parse().expect("an address"),
            "10.0.0.5:8500".parse().expect("an address")
        ]
    );
}
