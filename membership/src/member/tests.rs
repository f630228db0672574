use super::*;

#[test]
fn replay_window_passes_late_datagrams_and_rejects_repeated_ones() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(5, 10) && window.accept(5, 12) && window.accept(5, 11));
    assert!(!window.accept(5, 11) && !window.accept(5, 10) && !window.accept(5, 12));
    assert!(
        window.accept(5, 200) && !window.accept(5, 100),
        "too old to tell"
    );
    assert!(window.accept(6, 1), "another process");
}
