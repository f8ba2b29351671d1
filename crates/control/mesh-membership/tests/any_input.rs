//! Whatever comes, in any order: no record goes back, a node sends itself nothing, and the next tick lies ahead.
mod support;
use bolero::generator::TypeGenerator;
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use support::{config, hello, record, update, START};

const ME: Node = Node(10);
const LINKED: [Node; 3] = [Node(1), Node(20), Node(21)];
/// Ticks are less than so many microseconds apart.
const MAX_TICK_MICROS: i64 = 2_000_000;

#[derive(Debug, TypeGenerator)]
enum Drawn {
    Records(Vec<(u8, u8, u8, bool)>),
    Entries(Vec<(u8, u8)>),
    BucketDigests(Vec<u32>),
    VersionIndex(Vec<u8>, Vec<(u8, u8, bool)>),
    LinkUp(u8),
    LinkDown(u8),
    Suspect(u8, u8),
    DeclaredDead(u64, u64),
    SuspectConfirmed(u8, u8),
    ProbeFinished(u8, bool),
    Tick(u32),
}

fn membership() -> Membership<u32> {
    let mut membership = Membership::new(START, config(ME, false, LINKED[0], 5), 0);
    for node in LINKED {
        membership.link_up(START, node);
        membership.receive(START, node, hello(node, node == LINKED[0]));
    }
    membership.take_effects();
    membership
}

/// One of a few nodes, so that calls meet each other.
fn node(number: u8) -> Node {
    Node(u32::from(number) % 32)
}

fn drawn_record(number: u8, incarnation: u8, sequence: u8, gone: bool) -> NodeRecord<u32> {
    NodeRecord { gone, ..record(node(number), u64::from(incarnation), u64::from(sequence)) }
}

/// The message of a call that is one.
fn message(drawn: &Drawn) -> Option<MembershipMessage<u32>> {
    Some(match drawn {
        Drawn::Records(drawn) => {
            let records = drawn.iter().map(|(node, incarnation, sequence, gone)| {
                drawn_record(*node, *incarnation, *sequence, *gone)
            });
            update(records.collect(), vec![])
        }
        Drawn::Entries(drawn) => {
            let entries = drawn.iter().map(|(epoch, size)| ControlEntry {
                key: "k".into(),
                revision: Revision::new(u64::from(*epoch), 0, 0),
                bytes: vec![1; usize::from(*size)],
            });
            update(vec![], entries.collect())
        }
        Drawn::BucketDigests(digests) => MembershipMessage::BucketDigests { digests: digests.clone() },
        Drawn::VersionIndex(buckets, drawn) => {
            let records = drawn
                .iter()
                .map(|(node, incarnation, gone)| drawn_record(*node, *incarnation, 0, *gone).version())
                .collect();
            MembershipMessage::VersionIndex { buckets: buckets.clone(), records, entries: vec![] }
        }
        _ => return None,
    })
}

/// The datagram of a call that is one.
fn datagram(drawn: &Drawn) -> Option<Datagram> {
    Some(match drawn {
        Drawn::Suspect(suspect, incarnation) => {
            Datagram::Suspect { suspect: node(*suspect), incarnation: u64::from(*incarnation) }
        }
        Drawn::DeclaredDead(incarnation, sequence) => {
            Datagram::DeclaredDead { incarnation: *incarnation, sequence: *sequence }
        }
        Drawn::SuspectConfirmed(suspect, incarnation) => {
            Datagram::SuspectConfirmed { suspect: node(*suspect), incarnation: u64::from(*incarnation) }
        }
        _ => return None,
    })
}

fn call(membership: &mut Membership<u32>, now: &mut Instant, from: Node, drawn: &Drawn) {
    if let Some(message) = message(drawn) {
        membership.receive(*now, from, message);
    }
    if let Some(datagram) = datagram(drawn) {
        membership.receive_datagram(*now, from, datagram);
    }
    match drawn {
        Drawn::LinkUp(number) => membership.link_up(*now, node(*number)),
        Drawn::LinkDown(number) => membership.link_down(*now, node(*number)),
        Drawn::ProbeFinished(number, reachable) => {
            membership.probe_finished(*now, node(*number), *reachable);
        }
        Drawn::Tick(span) => {
            *now += Duration::from_micros(i64::from(*span) % MAX_TICK_MICROS);
            membership.tick(*now);
            assert!(membership.next_deadline() > *now);
        }
        _ => (),
    }
}

#[test]
fn whatever_comes_nothing_goes_back_and_the_next_tick_lies_ahead() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, Drawn)>>().for_each(|calls| {
        let mut membership = membership();
        let mut now = START;
        for (from, drawn) in calls {
            let before: Vec<RecordVersion> = membership.records().map(NodeRecord::version).collect();
            let from = LINKED[usize::from(*from) % LINKED.len()];
            call(&mut membership, &mut now, from, drawn);
            for version in before {
                let after = membership.record(version.node).map(NodeRecord::version);
                assert!(after.is_none_or(|after| after >= version));
            }
            let to_itself =
                |effect: &Effect<u32>| matches!(effect, Effect::SendMessage { to, .. } if *to == ME);
            assert!(!membership.take_effects().iter().any(to_itself));
        }
    });
}
