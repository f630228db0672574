use super::*;

#[test]
fn usage_of_this_process_is_positive_and_of_an_ended_process_zero() {
    let own = measure([rustix::process::getpid()].into_iter());
    assert!(own.memory_kib.0 > 500 && own.descriptors.0 >= 3, "{own:?}");
    // beyond the greatest id that the kernel gives
    assert_eq!(
        measure(Pid::from_raw(1 << 23).into_iter()),
        Usage::default()
    );
}
