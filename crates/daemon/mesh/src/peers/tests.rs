//! Tests of the links: large parcels and small ones, ends that take nothing, links that nobody greets on.
use super::frames::{frame, framed, taken, write_lanes, Frame, HELLO, LARGEST, PART, UNTAKEN};
use super::link::GREETING;
use super::Peers;
use crate::tests::support::{self, SidecarOptions, TestConnection};
use silvercross_mesh_membership::MembershipMessage;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

/// An end that takes a little at a time gets all of it, however long that takes; one that takes nothing ends the link.
#[test]
fn a_large_parcel_passes_a_thin_link_and_none_one_that_takes_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        for (pause, passes) in [(Duration::from_millis(100), true), (UNTAKEN * 2, false)] {
            let (mut here, mut there) = tokio::io::duplex(64 * 1024);
            let takes = tokio::spawn(async move {
                let mut room = vec![0; 64 * 1024];
                loop {
                    tokio::time::sleep(pause).await;
                    if !matches!(there.read(&mut room).await, Ok(n) if n > 0) {
                        break;
                    }
                }
            });
            let begun = tokio::time::Instant::now();
            assert_eq!(taken(&mut here, &vec![7; 4 << 20]).await, passes);
            assert_eq!(begun.elapsed() > UNTAKEN * 2, passes, "longer than one pause");
            drop(here);
            takes.await.expect("taken");
        }
    });
}

/// A large parcel is on its way over a thin link: what the control store says comes before its end, and both come whole.
#[test]
fn a_beat_passes_a_large_parcel() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (mut here, mut there) = tokio::io::duplex(4 * 1024);
        let (out, waiting) = mpsc::channel(4);
        let (first, waiting_first) = mpsc::channel(4);
        let page = silvercross_mesh_membership::ControlEntry {
            key: "k".to_string(),
            revision: (1, 2, 3),
            bytes: vec![7; 1 << 20],
        };
        let news = MembershipMessage::Update { records: Vec::new(), entries: vec![page] };
        let large = Rc::new(framed(&Frame::Round(news.clone())));
        let writing = async move { write_lanes(&mut here, waiting, waiting_first).await };
        let reading = async {
            out.send(large.clone()).await.expect("room");
            let mut some = vec![0; PART];
            there.read_exact(&mut some).await.expect("it has begun");
            first.send(Rc::new(framed(&Frame::Time { asked: 5 }))).await.expect("room");
            out.send(Rc::new(framed(&Frame::Time { asked: 6 }))).await.expect("room");
            drop((out, first));
            let mut rest = std::io::Cursor::new(some).chain(there);
            let mut parts = Vec::new();
            let mut came = Vec::new();
            while let Some(frame) = frame(&mut rest, &mut parts, LARGEST).await {
                came.push(frame);
            }
            came
        };
        let (_, came) = tokio::join!(writing, reading);
        assert!(matches!(came[0], Frame::Time { asked: 5 }));
        assert!(matches!(&came[1], Frame::Round(letter) if *letter == news));
        assert!(matches!(came[2], Frame::Time { asked: 6 }) && came.len() == 3);
    });
}

#[test]
fn links_that_nobody_greets_on_are_bounded_and_end() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let (listener, at) = support::station().await;
        tokio::task::spawn_local(Peers::listen(sidecar.node_state.clone(), listener));
        let counters = &sidecar.node_state.counters;
        let mut open = Vec::new();
        for _ in 0..GREETING {
            open.push(TestConnection::to(at).await);
        }
        assert_eq!(TestConnection::to(at).await.more().await, 0);
        assert_eq!((counters.unidentified_links.get(), counters.rejected_links.get()), (GREETING, 1));
        // A first word that is too large to be one ends its link at once.
        open[0].say(&(HELLO as u32 + 1).to_le_bytes()).await;
        while open[0].more().await > 0 {}
        assert_eq!((counters.unidentified_links.get(), counters.foreign_messages.get()), (GREETING - 1, 1));
    });
}
