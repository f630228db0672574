use super::*;

#[test]
fn this_process_uses_something_and_one_that_is_gone_nothing() {
    let own = measure([rustix::process::getpid()].into_iter());
    assert!(own.memory_kib.0 > 500 && own.descriptors.0 >= 3, "{own:?}");
    // beyond the greatest id that the kernel gives
    assert_eq!(
        measure(Pid::from_raw(1 << 23).into_iter()),
        Usage::default()
    );
}
