//! Tests of the errors of the HTTP API.

use super::*;
use quota_ledger::{LimitKey, QuotaDemand, Resource};

#[test]
fn ledger_error_has_a_code_and_a_help() {
    let key = LimitKey::of(7, Resource::Rate);
    let below_fallback = LimitError::BelowFallbackQuotas {
        key: key.clone(),
        senders: 3,
        fallback: 5,
        total: 2,
    };
    for (error, status) in [
        (LedgerError::NotCreated, 404),
        (LedgerError::AlreadyCreated, 409),
        (LedgerError::InvalidShards, 400),
        (LedgerError::VersionMismatch { now: 2, wanted: 1 }, 412),
        (below_fallback.into(), 409),
        (LimitError::Unknown(key.clone()).into(), 404),
        (LimitError::NoFallbackQuota(key).into(), 400),
    ] {
        let error = ApiError::Ledger(error);
        let text = error.to_string();
        assert_eq!(error.status(), status, "{text}");
        assert!(text.contains(" [ledger::") && text.contains("; "), "{text}");
    }
    let want = serde_json::from_str::<QuotaDemand>(r#"{"key":"rate/x","want":1}"#)
        .expect_err("no key")
        .to_string();
    assert!(want.contains("names nothing that can be limited"), "{want}");
}
