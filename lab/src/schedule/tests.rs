use super::*;

const TEXT: &str = r#"
name = "two"
seed = 1
senders = 10
seconds = 20
[traffic]
per_s = 50
[destinations]
count = 3
endpoints = 2
latency_ms = 40
capacity = 80
[[fault]]
at = 2
seconds = 3
kind = "kill"
who = "share:0.3"
[[fault]]
at = 1
seconds = 5
kind = "loss"
from = "senders"
to = "senders"
share = 0.1
"#;

#[test]
fn schedule_is_determined_by_the_seed() {
    let scenario = Scenario::read(TEXT).expect("good");
    let text = |seed| {
        serde_json::to_string(&Schedule::draw(&scenario, seed).expect("drawn")).expect("JSON")
    };
    assert_eq!(text(5), text(5));
    assert_ne!(text(5), text(6));
}

#[test]
fn schedule_has_the_rate_the_shares_and_the_faults_in_order_of_time() {
    let scenario = Scenario::read(TEXT).expect("good");
    let schedule = Schedule::draw(&scenario, 3).expect("drawn");
    assert!(
        (900..1100).contains(&schedule.arrivals.len()),
        "{}",
        schedule.arrivals.len()
    );
    let charges = schedule
        .arrivals
        .iter()
        .filter(|arrival| arrival.key.is_some())
        .count() as f64;
    assert!((0.2..0.3).contains(&(charges / schedule.arrivals.len() as f64)));
    assert!(schedule.actions.is_sorted_by_key(|step| step.at_us));
    let kills = schedule
        .actions
        .iter()
        .filter(|step| matches!(step.action, FaultAction::Kill { .. }))
        .count();
    let starts = schedule
        .actions
        .iter()
        .filter(|step| matches!(step.action, FaultAction::Start { .. }))
        .count();
    assert_eq!((kills, starts), (3, 3));
}

#[test]
fn further_fault_leaves_arrivals_unchanged() {
    let less = Scenario::read(TEXT.split("[[fault]]").next().expect("text")).expect("good");
    let more = Scenario::read(TEXT).expect("good");
    let arrivals = |scenario| Schedule::draw(scenario, 4).expect("drawn").arrivals;
    assert_eq!(arrivals(&less), arrivals(&more));
}
