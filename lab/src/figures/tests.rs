use super::*;

fn at(seconds: f64, event: Event) -> Record {
    Record {
        at_us: micros(seconds),
        event,
    }
}

fn handed(arrival: usize, class: usize, again: u32) -> Event {
    let id = format!("{arrival}-{again}");
    Event::Submitted {
        id,
        arrival,
        sender: 0,
        class,
        key: None,
        destination: 0,
        deadline_us: 0,
    }
}

fn answered(id: &str, status: u16) -> Event {
    Event::SubmissionAnswered {
        id: id.to_string(),
        status,
    }
}

fn replied(id: &str) -> Event {
    Event::CallAnswered {
        id: id.to_string(),
        endpoint: 0,
        sender: 0,
        status: 200,
    }
}

#[test]
fn weight_falls_after_the_latency_objective_and_a_retry_counts_with_its_first_attempt() {
    // a title-status, worth 2 within 1 s, a tenth of it at 6 s
    assert_eq!((weight_at(1, 900_000), weight_at(1, 6_000_001)), (2.0, 0.0));
    assert!(
        (weight_at(1, 6_000_000) - 0.2).abs() < 1e-9
            && (weight_at(1, 3_500_000) - 1.1).abs() < 1e-9
    );
    let records = [
        at(0.0, handed(0, 1, 0)),
        at(0.1, answered("0-0", 503)),
        at(0.6, handed(0, 1, 1)),
        at(0.7, answered("0-1", 202)),
        at(3.5, replied("0-1")),
        at(4.0, handed(1, 1, 0)),
        at(4.1, answered("1-0", 503)),
    ];
    let weight = delivered_weight(&records);
    assert!((weight.all - 1.1 / 4.0).abs() < 1e-9, "{weight:?}");
    assert_eq!(
        weight.by_class["reader-charge"], 1.0,
        "nothing was asked for"
    );
}

#[test]
fn evenness_distinguishes_regular_and_bursty_arrivals() {
    let played = |times: Vec<f64>| {
        let call = |at_s| {
            at(
                at_s,
                Event::CallReceived {
                    id: String::new(),
                    endpoint: 0,
                    sender: 0,
                    executed: true,
                },
            )
        };
        let mut records = vec![at(0.0, handed(0, 0, 0))];
        records.extend(times.into_iter().map(call));
        records.push(at(101.0, handed(1, 0, 0)));
        evenness(&records, 2)
    };
    let turns = played((0..1000).map(|n| 1.0 + f64::from(n) * 0.1 + 0.01).collect());
    assert!(
        turns.dispersion_100ms < 0.1 && turns.idle == 1 && (turns.jain - 0.5).abs() < 1e-9,
        "{turns:?}"
    );
    let herd = played(
        (0..1000)
            .map(|n| 1.0 + f64::from(n / 100) * 10.0 + 0.01)
            .collect(),
    );
    assert!(
        herd.dispersion_100ms > 50.0 && herd.peak_over_mean > 50.0,
        "{herd:?}"
    );
}
