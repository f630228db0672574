use super::*;

/// A fault until the second 10, and a message every tenth of a second until 25, some of them delivered.
fn history(delivers: impl Fn(u64) -> bool) -> Vec<Record> {
    let step = Event::FaultStep {
        action: String::new(),
    };
    let mut records = vec![Record {
        at_us: 10_000_000,
        event: step,
    }];
    for number in 0..250 {
        let (at_us, id) = (number * 100_000, format!("m{number}"));
        let (arrival, deadline_us) = (number as usize, at_us + 6_000_000);
        let handed = Event::Submitted {
            id: id.clone(),
            arrival,
            sender: 0,
            class: 0,
            key: None,
            destination: 0,
            deadline_us,
        };
        let mut events = vec![
            handed,
            Event::SubmissionAnswered {
                id: id.clone(),
                status: 202,
            },
        ];
        if delivers(at_us) {
            events.push(Event::CallAnswered {
                id,
                endpoint: 0,
                sender: 0,
                status: 200,
            });
        }
        records.extend(events.into_iter().map(|event| Record { at_us, event }));
    }
    records
}

#[test]
fn fleet_that_does_not_recover_is_a_violation() {
    assert_eq!(check(&history(|_| true), 25_000_000), []);
    assert_eq!(
        check(&history(|at_us| at_us >= 12_000_000), 25_000_000),
        [],
        "nothing was served in the fault"
    );
    let stuck = check(&history(|at_us| at_us < 10_000_000), 25_000_000);
    assert!(stuck.len() == 1 && stuck[0].rule == "recovery", "{stuck:?}");
}

#[test]
fn too_few_messages_have_no_violation() {
    let mut records = history(|_| false);
    records.push(Record {
        at_us: 15_000_000,
        event: Event::ProcessReady { sender: 0 },
    });
    assert_eq!(check(&records, 25_000_000), []);
}
