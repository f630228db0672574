use super::*;

#[test]
fn what_relieves_widens_nothing() {
    let seen = |up, destination, weight| EndpointSnapshot {
        up,
        destination,
        zone: "a".into(),
        weight,
    };
    let kind = |before: Option<&EndpointSnapshot>, after| {
        resource_change(before, &after).map(|matter| matter.kind)
    };
    let before = seen(true, 7, 1.0);
    assert_eq!(kind(None, seen(true, 7, 1.0)), Some(ChangeKind::Added));
    assert_eq!(kind(None, seen(false, 7, 1.0)), None);
    assert_eq!(kind(Some(&before), seen(false, 7, 2.0)), None);
    assert_eq!(
        kind(Some(&before), seen(true, 8, 1.0)),
        Some(ChangeKind::Moved)
    );
    assert_eq!(
        kind(Some(&before), seen(true, 7, 1.5)),
        Some(ChangeKind::Raised)
    );
    assert_eq!(kind(Some(&before), seen(true, 7, 0.5)), None);
    assert_eq!(
        kind(Some(&seen(false, 7, 1.0)), seen(true, 7, 1.0)),
        Some(ChangeKind::Restored)
    );
}
