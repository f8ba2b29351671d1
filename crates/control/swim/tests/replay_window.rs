//! The window of a sender's message numbers.

use silvercross_swim::replay_window::ReplayWindow;

#[test]
fn a_number_passes_once_and_old_ones_never() {
    let mut w = ReplayWindow::default();
    assert!(w.pass(1) && w.pass(5) && w.pass(3) && !w.pass(3) && !w.pass(5) && !w.pass(1));
    assert!(w.pass(200) && !w.pass(136) && w.pass(137) && !w.pass(137));
    assert!(w.pass(u64::MAX) && !w.pass(200));
}
