use super::*;
use crate::net::stub_registry::{
    StubAnswer, StubRegistry, assert_golden, golden, standing_clock, within,
};
use quota_ledger::freeze::ChangeKind;

#[tokio::test]
async fn calendar_request_and_answer_keep_their_bytes() {
    let test = async {
        let answer = StubAnswer {
            status: "200 OK",
            body: golden("freeze/calendar.json"),
        };
        let mut registry = StubRegistry::answering(vec![answer]).await;
        let settings =
            settings::read(&serde_json::from_slice(&golden("freeze/settings.json")).expect("JSON"));
        let settings = settings.expect("good").expect("there");
        let (inputs, mut received) = mpsc::unbounded_channel();
        let (_settings, wanted) = watch::channel(Some(settings.clone()));
        let (_stop, stopping) = watch::channel(false);
        let (_registry, agent) = watch::channel(registry.address);
        let dependencies = Dependencies {
            clock: standing_clock("freeze"),
            seed: 5,
            driver: inputs,
            registry: agent,
        };
        tokio::task::spawn_local(run(dependencies, wanted, stopping));
        let input = within(received.recv()).await;
        assert!(
            matches!(&input, Some(DriverInput::Freeze(FreezeChange::On(on))) if *on == settings),
            "{input:?}"
        );
        let (head, body) = registry.request().await;
        assert_golden("freeze/request.http", head.as_bytes());
        assert!(body.is_empty());
        let input = within(received.recv()).await;
        let Some(DriverInput::Freeze(FreezeChange::Calendar {
            polled_at,
            override_valid_for,
            update,
        })) = input
        else {
            panic!("{input:?}")
        };
        assert_eq!((polled_at, override_valid_for), (0, 3 * 700_000));
        check(&update);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Checks that the golden calendar was read with every key.
fn check(news: &FreezeUpdate) {
    assert_eq!(news.revision, 5);
    let [now] = &news.active[..] else {
        panic!("{news:?}")
    };
    assert_eq!(
        (now.window.as_str(), now.begins_in_ms, now.ends_in_ms),
        ("tet", 0, 90_000)
    );
    assert_eq!(now.details.until_ms, 1_790_000_000_000);
    assert_eq!(now.details.scope.zones, ["a".to_string()].into());
    assert_eq!(now.details.scope.destinations, [7, 300].into());
    assert_eq!(now.details.scope.tenants, ["t1".to_string()].into());
    assert_eq!(
        now.details.held_changes,
        [ChangeKind::Added, ChangeKind::Raised].into()
    );
    assert_eq!(
        (now.details.reason.as_str(), now.details.owner.as_str()),
        ("holidays", "lan")
    );
    let [soon] = &news.upcoming[..] else {
        panic!("{news:?}")
    };
    assert_eq!(
        (soon.window.as_str(), soon.begins_in_ms, soon.ends_in_ms),
        ("term", 60_000, 120_000)
    );
    assert!(soon.details.scope.is_all() && soon.details.held_changes.is_empty());
    let break_glass = news.break_glass_override.as_ref().expect("an override");
    assert_eq!(
        (&break_glass.approvers[..], break_glass.reason.as_str()),
        (&["lan".to_string(), "minh".to_string()][..], "s-2 fails")
    );
    assert_eq!(
        (break_glass.until_ms, news.override_ends_in_ms),
        (1_790_000_000_500, 30_000)
    );
    assert_eq!(break_glass.scope.destinations, [7].into());
}
