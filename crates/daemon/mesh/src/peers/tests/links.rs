//! Tests of links: large and small frames, receivers that read nothing, and links without a first frame.
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

/// A slow receiver gets all bytes, however long that takes. A receiver that reads nothing for too long ends
/// the write.
#[test]
fn a_large_frame_passes_a_slow_link_but_not_a_stalled_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        for (pause, passes) in [(Duration::from_millis(100), true), (WRITE_STALL_TIMEOUT * 2, false)] {
            let (mut local, mut remote) = tokio::io::duplex(64 * 1024);
            let receiver = tokio::spawn(async move {
                let mut buffer = vec![0; 64 * 1024];
                loop {
                    tokio::time::sleep(pause).await;
                    if !matches!(remote.read(&mut buffer).await, Ok(n) if n > 0) {
                        break;
                    }
                }
            });
            let started_at = tokio::time::Instant::now();
            assert_eq!(write_all(&mut local, &vec![7; 4 << 20]).await, passes);
            assert_eq!(
                started_at.elapsed() > WRITE_STALL_TIMEOUT * 2,
                passes,
                "a completed write takes longer than two timeouts"
            );
            drop(local);
            receiver.await.expect("the receiver has finished");
        }
    });
}

/// Guards against urgent frames that wait for the end of a large frame on a slow link. Both have to arrive
/// complete.
#[test]
fn an_urgent_frame_overtakes_a_large_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (mut local, mut remote) = tokio::io::duplex(4 * 1024);
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
        let writing = async move { write_frames(&mut local, queues, report).await };
        let reading = async {
            link.enqueue(large.clone(), FrameClass::Entries).expect("queued");
            assert_eq!(link.queued_bytes(), large.len());
            let mut first_bytes = vec![0; CHUNK_BYTES];
            remote.read_exact(&mut first_bytes).await.expect("the first chunk");
            assert_eq!((reports.get(), link.entry_frames()), (0, 1), "the frame is not written completely");
            let small = |micros| Rc::new(encode_frame(&Frame::WallClockRequest { requested_at: at(micros) }));
            link.enqueue(small(5), FrameClass::Urgent).expect("queued");
            link.enqueue(small(6), FrameClass::Ordinary).expect("queued");
            drop(link);
            let mut reader = FrameReader::new(std::io::Cursor::new(first_bytes).chain(remote));
            let mut received = Vec::new();
            while let Some(frame) = reader.next(MAX_FRAME_BYTES).await {
                received.push(frame);
            }
            received
        };
        let (_, received) = tokio::join!(writing, reading);
        assert!(matches!(received[0], Frame::WallClockRequest { requested_at } if requested_at == at(5)));
        assert!(matches!(&received[1], Frame::Membership(message) if *message == update));
        assert!(matches!(received[2], Frame::WallClockRequest { requested_at } if requested_at == at(6)));
        assert_eq!(received.len(), 3);
        assert_eq!(reports.get(), 1);
    });
}

#[test]
fn links_without_a_first_frame_are_limited_and_end() {
    support::run(async {
        let upstream = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, upstream, SidecarOptions::default()).await;
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
        // A first frame above the size limit ends its link at once.
        open[0].send(&(MAX_HELLO_BYTES as u32 + 1).to_le_bytes()).await;
        while open[0].receive().await > 0 {}
        assert_eq!(
            (counters.unidentified_links.get(), counters.foreign_messages.get()),
            (MAX_UNIDENTIFIED_LINKS - 1, 1)
        );
    });
}
