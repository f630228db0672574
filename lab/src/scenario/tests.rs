use super::*;

const GOOD: &str = r#"
name = "small"
seed = 7
senders = 5
seconds = 4
zones = ["a", "b"]
[traffic]
per_s = 20
[destinations]
count = 2
endpoints = 2
latency_ms = 40
capacity = 80
[[fault]]
at = 1
seconds = 1
kind = "cut"
from = "n1"
to = "endpoints"
way = "both"
"#;

#[test]
fn valid_scenario_is_read() {
    let scenario = Scenario::read(GOOD).expect("good");
    assert_eq!(
        (
            scenario.senders,
            scenario.faults.len(),
            scenario.endpoints()
        ),
        (5, 1, 4)
    );
    assert_eq!(scenario.group("zone:b"), Ok(PartyGroup::Zone(1)));
}

#[test]
fn invalid_scenario_is_refused_with_the_line() {
    for (from, to, line, what) in [
        (
            "per_s = 20",
            "per_s = 20\nburst = 3",
            9,
            "unknown field `burst`",
        ),
        ("seconds = 4", "seconds = -4", 5, "seconds is not"),
        ("at = 1", "at = -1", 14, "at is not a time"),
        (r#"from = "n1""#, r#"from = "n5""#, 14, "n5 names nobody"),
        (
            r#"way = "both""#,
            r#"way = "up""#,
            14,
            "unknown variant `up`",
        ),
        (
            r#"kind = "cut""#,
            r#"kind = "cutt""#,
            14,
            "unknown variant `cutt`",
        ),
        (
            r#"way = "both""#,
            "way = \"both\"\nshare = 0.5",
            14,
            "unknown field `share`",
        ),
        ("count = 2", "count = 0", 10, "count is not"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        let error = Scenario::read(&text).expect_err(to).to_string();
        assert!(
            error.contains(&format!("line {line}")) && error.contains(what),
            "{to}: {error}"
        );
    }
}
