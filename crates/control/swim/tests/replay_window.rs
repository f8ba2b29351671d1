//! Replay detection by a sender's message numbers.

use silvercross_swim::replay_window::ReplayWindow;

#[test]
fn a_number_is_accepted_once_and_old_ones_never() {
    let mut w = ReplayWindow::default();
    assert!(w.accept(1) && w.accept(5) && w.accept(3) && !w.accept(3) && !w.accept(5) && !w.accept(1));
    assert!(w.accept(200) && !w.accept(136) && w.accept(137) && !w.accept(137));
    assert!(w.accept(u64::MAX) && !w.accept(200));
}
