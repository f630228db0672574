use super::*;
use crate::member::ReplayWindow;

fn member(state: State) -> Member {
    Member {
        address: "127.0.0.1:1".parse().expect("an address"),
        incarnation: 0,
        instance: 0,
        state,
        since: 0,
        suspicion: None,
        last_heard: None,
        replay_window: ReplayWindow::default(),
    }
}

#[test]
fn view_holders_are_merged_for_the_same_view_and_reset_when_it_changes() {
    let mut table = MemberTable::new("b");
    for name in ["a", "c", "d"] {
        table.insert(name, member(State::Alive));
    }
    assert_eq!(table.view_holder_count(), 1);
    let view = table.view_hash();
    table.merge_holders("a", view, &[0b1111_1000]);
    assert_eq!(
        table.view_holder_count(),
        3,
        "a and d, and no positions beyond the last member"
    );
    table.merge_holders("c", view ^ 1, &[0b1111]);
    table.merge_holders("x", view, &[]);
    assert_eq!(table.view_holder_count(), 3, "another view");
    table.insert("c", member(State::Suspect));
    assert_eq!(
        (table.view_holder_count(), table.unsuspected_count()),
        (3, 3),
        "a suspect is present"
    );
    table.insert("c", member(State::Dead));
    assert_eq!(
        (
            table.view_holder_count(),
            table.present().len(),
            table.departed_count()
        ),
        (1, 3, 1)
    );
}
