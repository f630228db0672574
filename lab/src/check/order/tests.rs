use super::*;

fn handed(id: &str) -> Event {
    let (id, key, deadline_us) = (id.to_string(), Some(7), 6_000_000);
    Event::Submitted {
        id,
        arrival: 0,
        sender: 1,
        class: 2,
        key,
        destination: 0,
        deadline_us,
    }
}

fn answered(id: &str) -> Event {
    Event::SubmissionAnswered {
        id: id.to_string(),
        status: 202,
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

fn abandoned(id: &str) -> Event {
    Event::CallAbandoned {
        id: id.to_string(),
        endpoint: 0,
        sender: 1,
    }
}

fn notice(id: &str) -> Event {
    Event::OutcomeNotified {
        id: id.to_string(),
        state: "failed".to_string(),
    }
}

fn found(events: Vec<(f64, Event)>) -> usize {
    let two = [
        (0.0, handed("a")),
        (0.1, answered("a")),
        (0.2, handed("b")),
        (0.3, answered("b")),
    ];
    let all = two.into_iter().chain(events);
    let records: Vec<Record> = all
        .map(|(at, event)| Record {
            at_us: (at * 1e6) as u64,
            event,
        })
        .collect();
    check(&records).len()
}

#[test]
fn messages_in_order_have_no_violation() {
    for events in [
        vec![
            (1.0, called("a")),
            (1.1, replied("a", 200)),
            (1.1, called("b")),
        ],
        vec![
            (1.0, called("a")),
            (1.1, replied("a", 503)),
            (1.2, notice("a")),
            (1.3, called("b")),
        ],
        vec![
            (1.0, called("a")),
            (1.1, abandoned("a")),
            (1.2, notice("a")),
            (1.41, called("b")),
        ],
        // a repeat of what is delivered comes before the next one
        vec![
            (1.0, called("a")),
            (1.1, replied("a", 200)),
            (1.2, called("a")),
            (1.3, replied("a", 200)),
        ],
    ] {
        assert_eq!(found(events.clone()), 0, "{events:?}");
    }
}

#[test]
fn each_way_to_overtake_is_a_violation() {
    for events in [
        // the first has no end, is called, is given up and may run on
        vec![(1.0, called("b"))],
        vec![(1.0, called("a")), (1.1, called("b"))],
        vec![(1.0, called("a")), (1.1, notice("a")), (1.2, called("b"))],
        vec![
            (1.0, called("a")),
            (1.1, abandoned("a")),
            (1.2, notice("a")),
            (1.3, called("b")),
        ],
        // a next life sends what was delivered after the second
        vec![
            (1.0, called("a")),
            (1.1, replied("a", 200)),
            (1.2, called("a")),
            (1.3, called("b")),
            (1.4, replied("b", 200)),
        ],
    ] {
        assert_eq!(found(events.clone()), 1, "{events:?}");
    }
}

#[test]
fn repeat_of_the_first_after_the_second_is_a_violation() {
    let first = [
        (1.0, called("a")),
        (1.1, replied("a", 200)),
        (1.2, called("b")),
    ];
    let again = [
        (1.3, replied("b", 200)),
        (2.0, called("a")),
        (2.1, replied("a", 200)),
    ];
    assert_eq!(found([first, again].concat()), 1);
}
