use super::*;

#[test]
fn precedence_of_records_follows_incarnation_state_and_age() {
    let order = [
        Precedence::new(1, State::Alive, 9),
        Precedence::new(1, State::Alive, 4),
        Precedence::new(1, State::Suspect, 4),
        Precedence::new(1, State::Dead, 4),
        Precedence::new(1, State::Left, 4),
        Precedence::new(2, State::Alive, 9),
    ];
    assert!(order.is_sorted());
}
