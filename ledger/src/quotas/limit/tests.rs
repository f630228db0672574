use super::*;
use crate::quotas::Resource;

#[test]
fn no_limit_is_below_its_floors_and_each_no_says_what_to_do() {
    let each = [("rate", 5), ("rate/7", 20), ("out", 0)]
        .map(|(name, floor)| (name.to_string(), floor))
        .into();
    let floors = FallbackQuotas {
        senders: 10,
        per_sender: each,
    };
    let (other, seven) = (
        LimitKey::of(3, Resource::Rate),
        LimitKey::of(7, Resource::Rate),
    );
    let out = LimitKey::of(7, Resource::Concurrency);
    assert_eq!(
        (floors.of(&other), floors.of(&seven), floors.of(&out)),
        (5, 20, 0)
    );
    let check = |key: &LimitKey, total, linger_ms| {
        Limit {
            total,
            expiry_grace_ms: linger_ms,
        }
        .check(&floors, key)
    };
    assert_eq!(check(&seven, 200, 0), Ok(()));
    assert_eq!(check(&out, 3, 500), Ok(()));
    let errors = [
        check(&seven, 199, 0),
        check(&other, 49, 0),
        check(&out, 3, 0),
        check(&seven, 300, 5),
        check(&seven, u64::MAX, 0),
        check(&LimitKey::of(7, Resource::RecoveryRate), 300, 0),
    ];
    for error in errors {
        let error = error.expect_err("refused");
        assert!(error.help().is_some() && error.code().is_some(), "{error}");
    }
}
