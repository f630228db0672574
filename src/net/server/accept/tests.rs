//! Which connection is closed to make room.

use super::*;
use crate::net::connection::CLOSE_GRACE;

#[test]
fn longest_idle_connection_makes_room_and_one_with_a_request_never_does() {
    let (connections, start) = (OpenConnections::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let (_, busy) = connections.insert(at(0));
    busy.set_idle_since(None);
    let (number, first) = connections.insert(at(10));
    let (_, second) = connections.insert(at(20));
    first.set_idle_since(Some(at(30))); // it has had an answer
    assert!(
        connections
            .longest_idle(at(20) + CLOSE_GRACE - IDLE_CHECK_INTERVAL)
            .is_none(),
        "its first request may be on the way"
    );
    let leaves = |at| connections.longest_idle(at).expect("room");
    assert!(Rc::ptr_eq(&leaves(at(1000)), &second));
    second.request_close();
    assert!(Rc::ptr_eq(&leaves(at(1000)), &first));
    connections.remove(number);
    assert!(connections.longest_idle(at(1000)).is_none());
}
