//! Tests of the choice of the connection that is closed when no permit is free.

use super::*;
use crate::net::connection::CLOSE_GRACE;

#[test]
fn longest_idle_connection_is_closed_first_and_busy_one_never() {
    let (connections, start) = (OpenConnections::default(), Instant::now());
    let at_ms = |ms| start + Duration::from_millis(ms);
    let (_, busy) = connections.insert(at_ms(0));
    busy.set_idle_since(None);
    let (number, first) = connections.insert(at_ms(10));
    let (_, second) = connections.insert(at_ms(20));
    first.set_idle_since(Some(at_ms(30))); // its first request has been answered
    assert!(
        connections
            .first_to_close(at_ms(20) + CLOSE_GRACE - IDLE_CHECK_INTERVAL, 1)
            .is_empty(),
        "the first request of a new connection may still be arriving"
    );
    let longest_idle = |at| {
        connections
            .first_to_close(at, 1)
            .pop()
            .expect("a closable connection")
    };
    assert!(Rc::ptr_eq(&longest_idle(at_ms(1000)), &second));
    second.request_close();
    assert!(Rc::ptr_eq(&longest_idle(at_ms(1000)), &first));
    connections.remove(number);
    assert!(connections.first_to_close(at_ms(1000), 1).is_empty());
}
