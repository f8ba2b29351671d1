//! Tests of the links: large frames and small ones, ends that take nothing, links without a first frame.
use super::super::frame::{encode_frame, Frame, CHUNK_BYTES, MAX_FRAME_BYTES, MAX_HELLO_BYTES};
use super::super::frame_reader::FrameReader;
use super::super::frame_writer::{write_all, write_frames, FrameClass, Link, WRITE_STALL_TIMEOUT};
use super::super::links::MAX_UNIDENTIFIED_LINKS;
use crate::peers::accept_links;
use crate::tests::support::{self, SidecarOptions, TestConnection};
use silvercross_mesh_membership::MembershipMessage;
use silvercross_time::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

/// An end that takes a little at a time gets all of it, however long that takes; one that takes nothing ends the link.
#[test]
fn a_large_frame_passes_a_thin_link_and_none_one_that_takes_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        for (pause, passes) in [(Duration::from_millis(100), true), (WRITE_STALL_TIMEOUT * 2, false)] {
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
            assert_eq!(write_all(&mut here, &vec![7; 4 << 20]).await, passes);
            assert_eq!(begun.elapsed() > WRITE_STALL_TIMEOUT * 2, passes, "longer than one pause");
            drop(here);
            takes.await.expect("taken");
        }
    });
}

/// A large frame is on its way over a thin link: what the control store says comes before its end, and both come complete.
#[test]
fn an_urgent_frame_overtakes_a_large_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (mut here, mut there) = tokio::io::duplex(4 * 1024);
        let (link, queues) = Link::new(1);
        let entry = silvercross_mesh_membership::ControlEntry {
            key: "k".to_string(),
            revision: silvercross_mesh_membership::Revision::new(1, 2, 3),
            bytes: vec![7; 1 << 20],
        };
        let update = MembershipMessage::Update { records: Vec::new(), entries: vec![entry] };
        let large = Rc::new(encode_frame(&Frame::Membership(update.clone())));
        let reports = std::cell::Cell::new(0);
        let report = || reports.set(reports.get() + 1);
        let writing = async move { write_frames(&mut here, queues, report).await };
        let reading = async {
            link.enqueue(large.clone(), FrameClass::Entries).expect("room");
            assert_eq!(link.waiting_bytes(), large.len());
            let mut some = vec![0; CHUNK_BYTES];
            there.read_exact(&mut some).await.expect("it has begun");
            assert_eq!((reports.get(), link.entry_frames()), (0, 1), "the network has not taken it");
            let small = |micros| Rc::new(encode_frame(&Frame::WallClockRequest { asked: at(micros) }));
            link.enqueue(small(5), FrameClass::Urgent).expect("room");
            link.enqueue(small(6), FrameClass::Ordinary).expect("room");
            drop(link);
            let mut reader = FrameReader::new(std::io::Cursor::new(some).chain(there));
            let mut came = Vec::new();
            while let Some(frame) = reader.next(MAX_FRAME_BYTES).await {
                came.push(frame);
            }
            came
        };
        let (_, came) = tokio::join!(writing, reading);
        assert!(matches!(came[0], Frame::WallClockRequest { asked } if asked == at(5)));
        assert!(matches!(&came[1], Frame::Membership(message) if *message == update));
        assert!(matches!(came[2], Frame::WallClockRequest { asked } if asked == at(6)));
        assert_eq!(came.len(), 3);
        assert_eq!(reports.get(), 1);
    });
}

#[test]
fn links_without_a_first_frame_are_limited_and_end() {
    support::run(async {
        let nobody = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, nobody, SidecarOptions::default()).await;
        let support::BoundUpstream { listener, address: at } = support::bind_upstream().await;
        tokio::task::spawn_local(accept_links(sidecar.node_state.clone(), listener));
        let counters = &sidecar.node_state.counters;
        let mut open = Vec::new();
        for _ in 0..MAX_UNIDENTIFIED_LINKS {
            open.push(TestConnection::connect(at).await);
        }
        assert_eq!(TestConnection::connect(at).await.receive().await, 0);
        assert_eq!(
            (counters.unidentified_links.get(), counters.rejected_links.get()),
            (MAX_UNIDENTIFIED_LINKS, 1)
        );
        // A first word that is too large to be one ends its link at once.
        open[0].send(&(MAX_HELLO_BYTES as u32 + 1).to_le_bytes()).await;
        while open[0].receive().await > 0 {}
        assert_eq!(
            (counters.unidentified_links.get(), counters.foreign_messages.get()),
            (MAX_UNIDENTIFIED_LINKS - 1, 1)
        );
    });
}
