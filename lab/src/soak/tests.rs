use super::*;

#[test]
fn drawn_text_is_a_valid_scenario_determined_by_the_seed() {
    for seed in 0..50 {
        let text = draw(seed, 10..=40, 26.0);
        assert_eq!(text, draw(seed, 10..=40, 26.0));
        let scenario = Scenario::read(&text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert!((10..=40).contains(&scenario.senders) && scenario.faults.len() >= 12);
    }
}
