use super::*;

#[test]
fn send_order_prefers_fewest_transmissions_and_stops_at_the_limit() {
    let mut queue = BroadcastQueue::default();
    queue.queue_member("a");
    queue.queue_member("b");
    assert_eq!(queue.in_send_order()[0].member, "b", "the newest");
    queue.record_transmission(&BroadcastKey::of_member("b"), 2);
    assert_eq!(
        queue.in_send_order()[0].member,
        "a",
        "the fewest transmissions"
    );
    queue.record_transmission(&BroadcastKey::of_member("b"), 2);
    assert_eq!(queue.len(), 1);
}

#[test]
fn queue_member_replaces_earlier_broadcasts_of_that_member() {
    let mut queue = BroadcastQueue::default();
    queue.queue_member("a");
    queue.queue_suspicion("a", "x");
    queue.queue_suspicion("a", "y");
    queue.queue_suspicion("ab", "y");
    assert_eq!(queue.len(), 4);
    queue.queue_member("a");
    assert_eq!(queue.len(), 2);
}
