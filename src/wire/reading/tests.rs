use super::*;
use crate::decisions::Sender;
use crate::interface::{Outcome, SECOND, Settings};

fn instance() -> Instance {
    let sender = Sender::new(Settings::new(1, 1), 1).expect("the settings are valid");
    let words = |words: &[&str]| words.iter().map(|word| word.to_string()).collect();
    let names = Names {
        zones: words(&["a", "b"]),
        classes: words(&["notice", "order"]),
        kinds: words(&["big", "apart"]),
        tenants: words(&["gold", "tin"]),
        ..Names::default()
    };
    let mut instance = Instance::new(sender, names);
    for word in ["m0", "m1"] {
        instance.messages.number(word);
    }
    for word in ["e0", "e1", "e2"] {
        instance.endpoints.number(word);
    }
    instance
}

/// Parses the event of a line that is given without the instance's id.
fn read(line: &str) -> Event {
    let rows = [
        "e1 b apart 6 SERVING 10.5 -",
        "e2 a big 7 DRAINING - -",
        "e0 x what 8 DELETED 0 -",
    ];
    let lists = BTreeMap::from([(4, rows.map(str::to_string).to_vec())]);
    let (word, rest) = line.split_once(' ').expect("fields");
    read_event(word, &mut Fields::new(rest), &mut instance(), &lists)
        .unwrap_or_else(|fault| panic!("{fault:?}"))
}

fn new_message() -> NewMessage {
    NewMessage {
        id: MessageId(1),
        class: 1,
        destination: 40,
        time_left: 2_500_000,
        key: Some(77),
        tenant: Some(1),
        resubmitted: true,
        accepted_by_failed_sender: true,
        max_attempts: None,
    }
}

#[test]
fn demand_line_is_parsed_with_every_field() {
    assert_eq!(
        read("demand m1 2.5 tin 77 18 40 0.5 order"),
        Event::Accepted(new_message())
    );
    let resubmitted = NewMessage {
        accepted_by_failed_sender: false,
        ..new_message()
    };
    assert_eq!(
        read("demand m1 2.5 tin 77 2 40 - order"),
        Event::Accepted(resubmitted)
    );
    let orphan = NewMessage {
        resubmitted: false,
        ..new_message()
    };
    assert_eq!(
        read("demand m1 2.5 tin 77 16 40 - order"),
        Event::Accepted(orphan)
    );
    let plain = NewMessage {
        key: None,
        tenant: None,
        resubmitted: false,
        accepted_by_failed_sender: false,
        ..new_message()
    };
    assert_eq!(
        read("demand m1 2.5 - - - 40 - order"),
        Event::Accepted(plain.clone())
    );
    let unknown = NewMessage {
        class: usize::MAX,
        tenant: Some(usize::MAX),
        ..plain
    };
    assert_eq!(
        read("demand m1 2.5 iron - - 40 - other"),
        Event::Accepted(unknown)
    );
}

#[test]
fn announce_lines_are_parsed_with_every_field() {
    let entry = |endpoint, destination, zone, kind, status, weight| EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination,
        zone,
        kind,
        status,
        weight,
    };
    let entries = vec![
        entry(1, 6, 1, 1, EndpointStatus::Serving, 10.5),
        entry(2, 7, 0, 0, EndpointStatus::Draining, 0.0),
        entry(0, 8, u16::MAX, usize::MAX, EndpointStatus::Removed, 0.0),
    ];
    for (word, scope) in [
        ("delta", ListScope::Changes),
        ("full", ListScope::Full),
        ("cached", ListScope::Stale),
    ] {
        let expected = Event::EndpointList {
            scope,
            entries: entries.clone(),
        };
        assert_eq!(read(&format!("announce {word} 4 9")), expected);
    }
    assert_eq!(read("announce failed 4 9"), Event::EndpointListFailed);
}

#[test]
fn outcome_lines_are_parsed_with_every_field() {
    for (word, remark, outcome) in [
        ("delivered", "-", Outcome::Success),
        ("app_error", "-", Outcome::Error),
        ("shed", "-", Outcome::Rejected { retry_after: None }),
        ("shed", "0", Outcome::Rejected { retry_after: None }),
        (
            "shed",
            "350.5",
            Outcome::Rejected {
                retry_after: Some(350_500),
            },
        ),
        ("expired", "-", Outcome::TimedOut),
        ("dial_failed", "-", Outcome::NoConnection),
        ("dropped", "-", Outcome::Reset),
        ("revoked", "-", Outcome::Cancelled),
        ("unused", "0", Outcome::NotSent { no_slot: false }),
        ("unused", "1", Outcome::NotSent { no_slot: true }),
    ] {
        let expected = Event::AttemptEnded {
            message: MessageId(1),
            attempt: 3,
            endpoint: EndpointId(2),
            outcome,
            latency: 250_000,
            complete: true,
            report: vec![20.0, 0.5],
        };
        assert_eq!(
            read(&format!("outcome m1 3 e2 {word} 0.25 1 {remark} 20,0.5")),
            expected
        );
    }
    let Event::AttemptEnded {
        complete, report, ..
    } = read("outcome m1 3 e2 delivered 0.25 - - -")
    else {
        panic!("an outcome")
    };
    assert_eq!((complete, report), (false, Vec::new()));
}

#[test]
fn other_event_lines_are_parsed_with_every_field() {
    assert_eq!(
        read("first_byte m1 0.01 3 e2"),
        Event::ResponseStarted {
            message: MessageId(1),
            attempt: 3
        }
    );
    assert_eq!(read("dropped m1"), Event::MessageAbandoned(MessageId(1)));
    assert_eq!(
        read("heard 5 AP8HAQ=="),
        Event::PeerNote {
            from: 5,
            bytes: vec![0, 255, 7, 1]
        }
    );
    assert_eq!(
        read("heard 5 -"),
        Event::PeerNote {
            from: 5,
            bytes: Vec::new()
        }
    );
    assert_eq!(read("tick_due wake"), Event::TimerExpired);
    let health_check_ended = |outcome, report| Event::HealthCheckEnded {
        endpoint: EndpointId(2),
        outcome,
        report,
    };
    assert_eq!(
        read("echo 0.01 e2 delivered 30.5,0.25"),
        health_check_ended(Outcome::Success, vec![30.5, 0.25])
    );
    assert_eq!(
        read("echo 0.01 e2 shed"),
        health_check_ended(Outcome::Rejected { retry_after: None }, Vec::new())
    );
    assert_eq!(read_batch_head("batch 1.0000015"), Ok(SECOND + 2));
    assert_eq!(read_list_head("4 17"), Ok((4, 17)));
}
