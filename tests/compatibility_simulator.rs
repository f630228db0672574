//! Tests that the line protocol of the simulator's adapter is unchanged: recorded input gives the recorded output, byte
//! for byte.

use message_sender::wire::{Host, Pairs, read_settings};
use std::collections::BTreeSet;

const TRAFFIC: &str = include_str!("golden/simulator/traffic.in");
const TRAFFIC_ANSWERS: &str = include_str!("golden/simulator/traffic.out");
const OUTAGE: &str = include_str!("golden/simulator/outage.in");
const OUTAGE_ANSWERS: &str = include_str!("golden/simulator/outage.out");
const SETTINGS: &str = include_str!("golden/simulator/settings.in");
const SETTINGS_READ: &str = include_str!("golden/simulator/settings.json");

fn answers(input: &str) -> String {
    let mut output = Vec::new();
    Host::new()
        .run(input.as_bytes(), &mut output)
        .expect("recorded input is well formed");
    String::from_utf8(output).expect("answers are text")
}

fn assert_same_lines(answered: &str, recorded: &str) {
    for (index, (answered, recorded)) in answered.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(answered, recorded, "line {}", index + 1);
    }
    assert_eq!(answered, recorded);
}

#[test]
fn recorded_traffic_gives_recorded_answers() {
    assert_same_lines(&answers(TRAFFIC), TRAFFIC_ANSWERS);
}

#[test]
fn recorded_outage_gives_recorded_answers() {
    assert_same_lines(&answers(OUTAGE), OUTAGE_ANSWERS);
}

#[test]
fn recorded_input_holds_every_event_outcome_and_answer() {
    let first_words = |text: &str| -> BTreeSet<String> {
        text.lines()
            .filter_map(|line| line.split(' ').next().map(str::to_string))
            .collect()
    };
    let events = first_words(&format!("{TRAFFIC}{OUTAGE}"));
    for word in [
        "batch",
        "begin",
        "crash_now",
        "manifest",
        "row",
        "announce",
        "demand",
        "first_byte",
        "outcome",
        "dropped",
        "tick_due",
        "echo",
        "heard",
        "eof_batch",
    ] {
        assert!(events.contains(word), "no line begins with {word}");
    }
    let lines: Vec<&str> = TRAFFIC.lines().chain(OUTAGE.lines()).collect();
    for outcome in [
        "delivered",
        "app_error",
        "shed",
        "expired",
        "dial_failed",
        "dropped",
        "revoked",
        "unused",
    ] {
        let word = format!(" {outcome} ");
        let held = lines
            .iter()
            .any(|line| line.starts_with("outcome ") && line.contains(&word));
        assert!(held, "no outcome {outcome}");
    }
    let answers = first_words(&format!("{TRAFFIC_ANSWERS}{OUTAGE_ANSWERS}"));
    // the decision module never emits health_check or publish; unit tests of the printing cover these two
    for word in [
        "issue",
        "withdraw",
        "shed",
        "report_failure",
        "set_alarm",
        "disconnect",
        "listen",
        "record",
        "ready",
    ] {
        assert!(answers.contains(word), "no answer begins with {word}");
    }
}

#[test]
fn recorded_settings_give_recorded_values() {
    let pairs = Pairs(
        SETTINGS
            .lines()
            .filter_map(|line| line.split_once('='))
            .collect(),
    );
    let read = read_settings(&pairs).expect("the recorded settings are valid");
    let text = serde_json::to_string_pretty(&read).expect("settings can be written") + "\n";
    assert_same_lines(&text, SETTINGS_READ);
}
