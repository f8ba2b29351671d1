//! Random input in any order: no record moves back to an older version, a node sends nothing to itself, and
//! the next deadline is in the future.
mod support;
use bolero::generator::TypeGenerator;
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use support::{config, hello, record, update, START};

const LOCAL_NODE: Node = Node(10);
const LINKED: [Node; 3] = [Node(1), Node(20), Node(21)];
/// Upper bound of the time between two ticks.
const MAX_TICK_MICROS: i64 = 2_000_000;

#[derive(Debug, TypeGenerator)]
enum Input {
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
    let mut membership = Membership::new(START, config(LOCAL_NODE, false, LINKED[0], 5), 0);
    for node in LINKED {
        membership.link_up(START, node);
        membership.receive(START, node, hello(node, node == LINKED[0]));
    }
    membership.take_effects();
    membership
}

/// One of a few nodes, so that inputs affect each other.
fn node(number: u8) -> Node {
    Node(u32::from(number) % 32)
}

fn random_record(number: u8, incarnation: u8, sequence: u8, gone: bool) -> NodeRecord<u32> {
    NodeRecord { gone, ..record(node(number), u64::from(incarnation), u64::from(sequence)) }
}

/// The message of an input that is a message.
fn message(input: &Input) -> Option<MembershipMessage<u32>> {
    Some(match input {
        Input::Records(input) => {
            let records = input.iter().map(|(node, incarnation, sequence, gone)| {
                random_record(*node, *incarnation, *sequence, *gone)
            });
            update(records.collect(), vec![])
        }
        Input::Entries(input) => {
            let entries = input.iter().map(|(epoch, size)| ControlEntry {
                key: "k".into(),
                revision: Revision::new(u64::from(*epoch), 0, 0),
                bytes: vec![1; usize::from(*size)],
            });
            update(vec![], entries.collect())
        }
        Input::BucketDigests(digests) => MembershipMessage::BucketDigests { digests: digests.clone() },
        Input::VersionIndex(buckets, input) => {
            let records = input
                .iter()
                .map(|(node, incarnation, gone)| random_record(*node, *incarnation, 0, *gone).version())
                .collect();
            MembershipMessage::VersionIndex { buckets: buckets.clone(), records, entries: vec![] }
        }
        _ => return None,
    })
}

/// The datagram of an input that is a datagram.
fn datagram(input: &Input) -> Option<Datagram> {
    Some(match input {
        Input::Suspect(suspect, incarnation) => {
            Datagram::Suspect { suspect: node(*suspect), incarnation: u64::from(*incarnation) }
        }
        Input::DeclaredDead(incarnation, sequence) => {
            Datagram::DeclaredDead { incarnation: *incarnation, sequence: *sequence }
        }
        Input::SuspectConfirmed(suspect, incarnation) => {
            Datagram::SuspectConfirmed { suspect: node(*suspect), incarnation: u64::from(*incarnation) }
        }
        _ => return None,
    })
}

fn apply(membership: &mut Membership<u32>, now: &mut Instant, from: Node, input: &Input) {
    if let Some(message) = message(input) {
        membership.receive(*now, from, message);
    }
    if let Some(datagram) = datagram(input) {
        membership.receive_datagram(*now, from, datagram);
    }
    match input {
        Input::LinkUp(number) => membership.link_up(*now, node(*number)),
        Input::LinkDown(number) => membership.link_down(*now, node(*number)),
        Input::ProbeFinished(number, reachable) => {
            membership.probe_finished(*now, node(*number), *reachable);
        }
        Input::Tick(span) => {
            *now += Duration::from_micros(i64::from(*span) % MAX_TICK_MICROS);
            membership.tick(*now);
            assert!(membership.next_deadline() > *now);
        }
        _ => (),
    }
}

#[test]
fn no_input_moves_a_record_back_or_a_deadline_into_the_past() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, Input)>>().for_each(|inputs| {
        let mut membership = membership();
        let mut now = START;
        for (from, input) in inputs {
            let before: Vec<RecordVersion> = membership.records().map(NodeRecord::version).collect();
            let from = LINKED[usize::from(*from) % LINKED.len()];
            apply(&mut membership, &mut now, from, input);
            for version in before {
                let after = membership.record(version.node).map(NodeRecord::version);
                assert!(after.is_none_or(|after| after >= version));
            }
            let to_itself =
                |effect: &Effect<u32>| matches!(effect, Effect::SendMessage { to, .. } if *to == LOCAL_NODE);
            assert!(!membership.take_effects().iter().any(to_itself));
        }
    });
}
