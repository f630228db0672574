//! Tests of the errors of the HTTP API.

use super::*;
use quota_ledger::{Key, Want, What};

#[test]
fn ledger_error_has_a_code_and_a_help() {
    let key = Key::of(7, What::Rate);
    let floors = LimitError::Floors {
        key: key.clone(),
        senders: 3,
        floor: 5,
        total: 2,
    };
    for (error, status) in [
        (BookError::None, 404),
        (BookError::Begun, 409),
        (BookError::Ranges, 400),
        (BookError::Version { now: 2, wanted: 1 }, 412),
        (floors.into(), 409),
        (LimitError::Unknown(key.clone()).into(), 404),
        (LimitError::Unnamed(key).into(), 400),
    ] {
        let error = ApiError::Ledger(error);
        let text = error.to_string();
        assert_eq!(error.status(), status, "{text}");
        assert!(text.contains(" [ledger::") && text.contains("; "), "{text}");
    }
    let want = serde_json::from_str::<Want>(r#"{"key":"rate/x","want":1}"#)
        .expect_err("no key")
        .to_string();
    assert!(want.contains("names nothing that can be limited"), "{want}");
}
