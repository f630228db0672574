use super::*;
use serde_json::json;

fn head() -> Head {
    Head {
        version: 1,
        scenario: "s".to_string(),
        seed: 1,
        senders: 3,
        ends_us: 0,
        period_us: Some(1_000_000),
    }
}

fn view(sender: usize, states: [&str; 3]) -> Event {
    let others = (0..3).filter(|other| *other != sender);
    let members: Vec<_> = others
        .map(|n| json!({ "name": format!("n{n}"), "state": states[n] }))
        .collect();
    let living = states
        .iter()
        .filter(|state| matches!(**state, "alive" | "suspect"))
        .count();
    let suspects = states.iter().filter(|state| **state == "suspect").count();
    Event::MembershipReported {
        sender,
        view: json!({ "living": living, "suspects": suspects, "members": members }),
    }
}

fn step(act: FaultAction) -> Event {
    Event::FaultStep {
        action: serde_json::to_string(&act).expect("JSON"),
    }
}

/// Violationes of a history at these periods, of 1 s each, after three senders have run for long.
fn broken(events: Vec<(u64, Event)>) -> Vec<String> {
    let ready = (0..3).map(|sender| (0, Event::ProcessReady { sender }));
    let records: Vec<Record> = ready
        .chain(events)
        .map(|(at, event)| Record {
            at_us: at * 1_000_000,
            event,
        })
        .collect();
    check(&head(), &records)
        .into_iter()
        .map(|violation| violation.description)
        .collect()
}

#[test]
fn true_views_have_no_violation() {
    for events in [
        vec![(200, view(0, ["alive", "alive", "alive"]))],
        vec![
            (200, step(FaultAction::Kill { sender: 1 })),
            (210, view(0, ["alive", "suspect", "alive"])),
            (400, view(0, ["alive", "dead", "alive"])),
        ],
        // a suspicion is no verdict while something is amiss, and one that just came back may be held for dead
        vec![
            (200, step(FaultAction::Stop { sender: 1 })),
            (230, view(0, ["alive", "dead", "alive"])),
            (240, step(FaultAction::Continue { sender: 1 })),
            (250, view(0, ["alive", "dead", "alive"])),
            (400, view(0, ["alive", "alive", "alive"])),
        ],
    ] {
        assert_eq!(broken(events), [""; 0]);
    }
}

#[test]
fn false_deaths_and_lasting_disagreement_are_violations() {
    assert_eq!(
        broken(vec![(200, view(0, ["alive", "dead", "alive"]))])[0],
        "n0 holds n1 for dead, which runs"
    );
    let kill = || (200, step(FaultAction::Kill { sender: 1 }));
    assert_eq!(
        broken(vec![kill(), (400, view(0, ["alive", "alive", "alive"]))]),
        ["n0 sees 3 living and 0 suspect, 2 run"]
    );
    assert_eq!(
        broken(vec![kill(), (250, view(0, ["alive", "dead", "left"]))]),
        ["n0 holds n2 for left, which runs"]
    );
    // a cut between two is no excuse for a death
    let cut = FaultAction::Impair {
        fault: 0,
        from: vec![Party::Sender(0)],
        to: vec![Party::Sender(1)],
        impairment: Impairment::Cut {
            forward: true,
            reverse: true,
        },
    };
    let dead = broken(vec![
        (200, step(cut)),
        (300, view(0, ["alive", "dead", "alive"])),
    ]);
    assert_eq!(dead[0], "n0 holds n1 for dead, which runs");
}

#[test]
fn isolated_member_may_be_reported_dead() {
    let all = vec![Party::Sender(0), Party::Sender(1), Party::Sender(2)];
    let impairment = Impairment::Cut {
        forward: true,
        reverse: false,
    };
    let deaf = FaultAction::Impair {
        fault: 0,
        from: all,
        to: vec![Party::Sender(1)],
        impairment,
    };
    assert_eq!(
        broken(vec![
            (200, step(deaf)),
            (300, view(0, ["alive", "dead", "alive"]))
        ]),
        [""; 0]
    );
}
