use super::*;

#[test]
fn destination_accepts_its_capacity_and_rejects_the_rest() {
    let mut destination = Destination::new(100.0, 40.0, 2, 1);
    let mut call = |n: u64| destination.call(n * 5_000, 0) != CallOutcome::Rejected;
    let taken = (0..2000).filter(|&n| call(n)).count();
    assert!(
        (1000..=1030).contains(&taken),
        "{taken} of 2000 calls in 10 s"
    );
}

#[test]
fn shut_endpoint_rejects_and_the_other_endpoint_accepts() {
    let mut destination = Destination::new(100.0, 40.0, 2, 1);
    destination.shut(0, true);
    assert_eq!(destination.call(0, 0), CallOutcome::Rejected);
    assert!(matches!(
        destination.call(0, 1),
        CallOutcome::Accepted {
            after_us: 20_000..=80_000
        }
    ));
    destination.shut(0, false);
    assert_ne!(destination.call(0, 0), CallOutcome::Rejected);
}
