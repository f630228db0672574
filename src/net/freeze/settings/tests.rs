use super::*;
use crate::net::stub_registry::golden;
use serde_json::json;

#[test]
fn object_is_read_with_defaults_and_faulty_object_error_names_its_key() {
    assert_eq!(
        read(&json!({})).expect("good"),
        Some(FreezeSettings::default())
    );
    assert_eq!(read(&Value::Null).expect("none is none"), None);
    for (bad, told) in [
        (json!({ "poll": 1 }), "unknown field `poll`"),
        (json!({ "poll_ms": 1 }), "freeze.poll_ms is not"),
        (json!({ "ramp_ms": 70_000 }), "freeze.ramp_ms is not"),
        (
            json!({ "others": vec!["10.0.0.4:1"; 17] }),
            "freeze.others is not",
        ),
    ] {
        let error = read(&bad).expect_err(told).to_string();
        assert!(error.contains(told), "{error}");
    }
}

#[test]
fn object_with_every_key_is_read() {
    let object = serde_json::from_slice(&golden("freeze/settings.json")).expect("JSON");
    let FreezeSettings {
        poll_ms,
        unknown_ms,
        ramp_ms,
        replicas,
    } = read(&object).expect("good").expect("there");
    assert_eq!((poll_ms, unknown_ms, ramp_ms), (700, 9_000, 400));
    assert_eq!(replicas, ["10.0.0.4:8500".parse().expect("an address")]);
}
