use super::outcomes::{self, DEADLINE_SLACK_US};
use super::*;
use crate::schedule::FaultAction;

fn handed(id: &str, class: usize) -> Event {
    let (id, key, deadline_us) = (id.to_string(), None, 6_000_000);
    Event::Submitted {
        id,
        arrival: 0,
        sender: 1,
        class,
        key,
        destination: 0,
        deadline_us,
    }
}

fn answered(id: &str, status: u16) -> Event {
    Event::SubmissionAnswered {
        id: id.to_string(),
        status,
    }
}

fn called(id: &str) -> Event {
    Event::CallReceived {
        id: id.to_string(),
        endpoint: 0,
        sender: 1,
        executed: true,
    }
}

fn replied(id: &str, status: u16) -> Event {
    Event::CallAnswered {
        id: id.to_string(),
        endpoint: 0,
        sender: 1,
        status,
    }
}

fn notice(id: &str, state: &str) -> Event {
    Event::OutcomeNotified {
        id: id.to_string(),
        state: state.to_string(),
    }
}

fn told(up: bool) -> Event {
    Event::EndpointListed {
        sender: 1,
        endpoint: 0,
        up,
    }
}

fn end() -> Event {
    Event::RunEnded {}
}

/// The rules that a history with these events, at these seconds, breaks.
fn broken(events: Vec<(f64, Event)>) -> Vec<&'static str> {
    let record = |(at, event): (f64, Event)| Record {
        at_us: (at * 1e6) as u64,
        event,
    };
    let records: Vec<Record> = events.into_iter().map(record).collect();
    let scenario = "s".to_string();
    let head = Head {
        version: 1,
        scenario,
        seed: 1,
        senders: 2,
        ends_us: 0,
        period_us: None,
    };
    check(&head, &records)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn valid_histories_have_no_violation() {
    let down = Event::ProcessEnded {
        sender: 1,
        pid: 9,
        intended: true,
        status: String::new(),
    };
    let up = Event::ProcessReady { sender: 1 };
    for events in [
        // delivered, ended by a notice, refused, given up on by its client
        vec![
            (0.0, handed("a", 2)),
            (0.1, answered("a", 202)),
            (0.2, called("a")),
            (0.3, replied("a", 200)),
            (9.0, end()),
        ],
        vec![
            (0.0, handed("a", 1)),
            (0.1, answered("a", 202)),
            (6.2, notice("a", "failed")),
            (9.0, end()),
        ],
        vec![
            (0.0, handed("a", 1)),
            (0.1, answered("a", 503)),
            (9.0, end()),
        ],
        vec![(0.0, handed("a", 1)), (0.4, answered("a", 0)), (9.0, end())],
        // its sender was down over its deadline
        vec![
            (0.0, handed("a", 1)),
            (0.1, answered("a", 202)),
            (1.0, down.clone()),
            (8.0, up),
            (9.0, notice("a", "failed")),
            (12.0, end()),
        ],
        // told to drain, within the grace; up again
        vec![
            (0.0, handed("a", 1)),
            (0.0, told(false)),
            (1.9, called("a")),
            (2.0, told(true)),
            (3.0, called("a")),
            (3.1, replied("a", 200)),
        ],
        // the run ended before it was due
        vec![
            (0.0, handed("a", 1)),
            (0.1, answered("a", 202)),
            (2.0, end()),
        ],
    ] {
        assert_eq!(broken(events.clone()), [""; 0], "{events:?}");
    }
}

#[test]
fn each_broken_rule_is_a_violation() {
    let crash = Event::ProcessEnded {
        sender: 1,
        pid: 9,
        intended: false,
        status: "signal 6".to_string(),
    };
    let violated = Event::InvariantViolated {
        sender: 1,
        line: "violation: one".to_string(),
    };
    let exceeded = Event::MemoryExceeded {
        sender: 1,
        bytes: 32_000_001,
    };
    let taken = || vec![(0.0, handed("a", 2)), (0.1, answered("a", 202))];
    for (more, rule) in [
        (vec![(9.0, end())], "ends once"),
        (
            vec![(7.0, notice("a", "failed")), (9.0, end())],
            "ends once",
        ),
        (
            vec![(2.0, notice("a", "failed")), (3.0, notice("a", "returned"))],
            "ends once",
        ),
        (
            vec![
                (1.0, called("a")),
                (2.0, called("a")),
                (2.5, replied("a", 200)),
            ],
            "effects",
        ),
        (vec![(1.0, called("b")), (1.5, replied("a", 200))], "calls"),
        (
            vec![
                (1.0, told(false)),
                (3.2, called("a")),
                (3.5, replied("a", 200)),
            ],
            "drains",
        ),
        (vec![(1.0, replied("a", 200)), (2.0, crash)], "processes"),
        (
            vec![(1.0, replied("a", 200)), (2.0, violated)],
            "invariants",
        ),
        (vec![(1.0, replied("a", 200)), (2.0, exceeded)], "memory"),
    ] {
        assert_eq!(broken([taken(), more.clone()].concat()), [rule], "{more:?}");
    }
}

fn handed_and_ended(end: u64) -> Vec<Record> {
    let step = |action: &FaultAction| Event::FaultStep {
        action: serde_json::to_string(action).unwrap_or_default(),
    };
    let id = "m1".to_string();
    let deadline_us = 5_000_000;
    let handed = Event::Submitted {
        id: id.clone(),
        arrival: 0,
        sender: 3,
        class: 0,
        key: None,
        destination: 0,
        deadline_us,
    };
    let events = [
        (1, handed),
        (
            2,
            Event::SubmissionAnswered {
                id: id.clone(),
                status: 202,
            },
        ),
        (3_000_000, step(&FaultAction::Stop { sender: 3 })),
        (7_000_000, step(&FaultAction::Continue { sender: 3 })),
        (
            end,
            Event::OutcomeNotified {
                id,
                state: "returned".to_string(),
            },
        ),
        (20_000_000, Event::RunEnded {}),
    ];
    events
        .into_iter()
        .map(|(at_us, event)| Record { at_us, event })
        .collect()
}

#[test]
fn deadline_slack_of_a_stopped_sender_counts_from_its_continuation() {
    assert_eq!(
        outcomes::check(&handed_and_ended(7_000_000 + DEADLINE_SLACK_US)),
        []
    );
    let late = outcomes::check(&handed_and_ended(7_100_000 + DEADLINE_SLACK_US));
    assert!(
        late.len() == 1 && late[0].description.contains("too late"),
        "{late:?}"
    );
    // nor can one whose every send fails tell an end; one whose sends fail now and then can
    for (percent, late) in [(100, 0), (30, 1)] {
        let mut failing = handed_and_ended(7_000_000 + DEADLINE_SLACK_US);
        let call = || "send".to_string();
        let begin = FaultAction::FailCalls {
            sender: 3,
            call: call(),
            number: 110,
            percent,
        };
        let steps = [
            (2, begin),
            (
                3,
                FaultAction::RestoreCalls {
                    sender: 3,
                    call: call(),
                },
            ),
        ];
        for (at, step) in steps {
            let action = serde_json::to_string(&step).unwrap_or_default();
            failing[at].event = Event::FaultStep { action };
        }
        assert_eq!(outcomes::check(&failing).len(), late, "{percent}");
    }
    // another's standing still is no excuse
    let mut others = handed_and_ended(7_000_000);
    others[2].event = Event::FaultStep {
        action: r#"{"stop":{"sender":4}}"#.to_string(),
    };
    assert_eq!(outcomes::check(&others).len(), 1);
}

#[test]
fn loss_is_found_though_the_sender_takes_it_for_an_end() {
    let abandoned = Event::CallAbandoned {
        id: "a".to_string(),
        endpoint: 0,
        sender: 1,
    };
    let lost = vec![
        (0.0, handed("a", 1)),
        (0.1, answered("a", 202)),
        (0.2, called("a")),
        // a part of an answer, and handed in again it is told to be delivered
        (0.3, abandoned),
        (0.5, answered("a", 200)),
        (9.0, end()),
    ];
    assert_eq!(broken(lost), ["ends once"]);
}

#[test]
fn notification_just_before_the_answer_is_an_end() {
    let returned = vec![
        (0.0, handed("a", 1)),
        (0.1, notice("a", "returned")),
        (0.1, answered("a", 202)),
        (9.0, end()),
    ];
    assert!(broken(returned).is_empty());
}

#[test]
fn end_of_a_superseded_process_excuses_no_loss() {
    let started = |pid| Event::ProcessStarted { sender: 1, pid };
    let ended = |pid| Event::ProcessEnded {
        sender: 1,
        pid,
        intended: true,
        status: String::new(),
    };
    let history = |ended_pid| {
        vec![
            (0.0, started(8)),
            (0.0, Event::ProcessReady { sender: 1 }),
            (0.1, handed("a", 1)),
            (0.2, answered("a", 202)),
            (1.0, started(9)),
            (1.1, Event::ProcessReady { sender: 1 }),
            (1.5, ended(ended_pid)),
            (9.0, end()),
        ]
    };
    assert_eq!(broken(history(8)), ["ends once"]);
    assert!(broken(history(9)).is_empty(), "its sender is down");
}
