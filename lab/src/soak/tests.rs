use super::*;

#[test]
fn what_is_drawn_is_a_scenario_and_follows_from_the_seed() {
    for seed in 0..50 {
        let text = draw(seed, 10..=40, 26.0);
        assert_eq!(text, draw(seed, 10..=40, 26.0));
        let scenario = Scenario::read(&text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert!((10..=40).contains(&scenario.senders) && scenario.faults.len() >= 12);
    }
}
