//! Who makes room.

use super::super::connection::SPARE;
use super::*;

#[test]
fn room_is_made_by_the_longest_idle_and_never_by_one_with_a_request() {
    let (slots, start) = (Slots::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let (_, busy) = slots.take(at(0));
    busy.set_idle_since(None);
    let (number, first) = slots.take(at(10));
    let (_, second) = slots.take(at(20));
    first.set_idle_since(Some(at(30))); // it has had an answer
    assert!(
        slots.longest_idle(at(20) + SPARE - LOOK).is_none(),
        "its first request may be on the way"
    );
    let leaves = |at| slots.longest_idle(at).expect("room");
    assert!(Rc::ptr_eq(&leaves(at(1000)), &second));
    second.leave();
    assert!(Rc::ptr_eq(&leaves(at(1000)), &first));
    slots.give_back(number);
    assert!(slots.longest_idle(at(1000)).is_none());
}
