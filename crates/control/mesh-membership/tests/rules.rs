//! Single rules of one node.
use bolero::generator::TypeGenerator;
use silvercross_mesh_membership::*;

const ME: Node = Node(10);
const LINKED: [Node; 3] = [Node(1), Node(20), Node(21)];

fn membership() -> Membership<u32> {
    let start = MembershipConfig {
        local_node: ME,
        zone: "a".into(),
        is_control: false,
        seeds: vec![Node(1)],
        incarnation: 5,
        random_seed: 1,
    };
    let mut membership = Membership::new(0, start, 0);
    for node in LINKED {
        membership.link_up(0, node);
        membership.receive(0, node, hello(node, node == Node(1)));
    }
    membership.take_effects();
    membership
}

fn record(node: Node, incarnation: u64, sequence: u64, gone: bool) -> NodeRecord<u32> {
    NodeRecord { node, incarnation, sequence, zone: "a".into(), is_control: false, gone, body: 1 }
}

fn hello(node: Node, is_control: bool) -> MembershipMessage<u32> {
    let position =
        TreePosition { path: if is_control { vec![node] } else { vec![] }, ..TreePosition::default() };
    MembershipMessage::Hello {
        record: NodeRecord { is_control, ..record(node, 1, 0, false) },
        digest: 0,
        known: 9,
        position,
    }
}

fn news(records: Vec<NodeRecord<u32>>, entries: Vec<ControlEntry>) -> MembershipMessage<u32> {
    MembershipMessage::Update { records, entries }
}

fn page(revision: Revision, bytes: usize) -> ControlEntry {
    ControlEntry { key: "k".into(), revision, bytes: vec![1; bytes] }
}

fn told(membership: &mut Membership<u32>) -> Vec<Node> {
    let news = |effect| match effect {
        Effect::SendMessage { to, message: MembershipMessage::Update { .. } } => Some(to),
        _ => None,
    };
    membership.take_effects().into_iter().filter_map(news).collect()
}

#[test]
fn news_goes_to_all_but_where_it_came_from_and_only_once() {
    let mut membership = membership();
    let both = || news(vec![record(Node(30), 1, 1, false)], vec![page((1, 0, 0), 3)]);
    membership.receive(1, Node(20), both());
    assert_eq!(told(&mut membership), [Node(1), Node(21)], "one letter each");
    membership.receive(2, Node(21), both());
    membership.receive(2, Node(1), both());
    assert!(told(&mut membership).is_empty());
    assert!(membership.metrics().redundant_bytes > 0);
}

#[test]
fn nothing_goes_back() {
    let mut membership = membership();
    membership.publish(1, "k", (2, 5, 0), vec![2]);
    membership.publish(1, "k", (2, 4, 9), vec![3]);
    membership.receive(1, Node(20), news(vec![record(Node(30), 2, 1, false)], vec![page((1, 9, 9), 3)]));
    membership.receive(1, Node(20), news(vec![record(Node(30), 1, 7, true)], vec![page((2, 5, 0), 3)]));
    assert_eq!(membership.control_entry("k"), Some((&(2, 5, 0), [2].as_slice())));
    assert_eq!(membership.record(Node(30)), Some(&record(Node(30), 2, 1, false)));
    membership.receive(1, Node(20), news(vec![record(Node(30), 2, 1, true)], vec![]));
    assert!(membership.record(Node(30)).is_some_and(|record| record.gone));
    membership.receive(1, Node(20), news(vec![], vec![page((3, 0, 0), MAX_CONTROL_ENTRY_BYTES + 1)]));
    assert_eq!(membership.metrics().rejected_items, 1);
}

#[test]
fn what_others_say_of_a_node_is_overruled_by_it() {
    let mut membership = membership();
    let own = membership.record(ME).expect("own").clone();
    membership.receive(1, Node(20), news(vec![NodeRecord { gone: true, ..own.clone() }], vec![]));
    assert_eq!(membership.record(ME), Some(&NodeRecord { sequence: own.sequence + 1, ..own.clone() }));
    assert_eq!(told(&mut membership), LINKED, "also where it came from");
    membership.receive_datagram(
        1,
        Node(20),
        Datagram::DeclaredDead { incarnation: 5, sequence: own.sequence + 1 },
    );
    assert_eq!(membership.record(ME).map(|record| record.sequence), Some(own.sequence + 2));
    membership.receive(1, Node(20), news(vec![record(ME, 8, 3, false)], vec![]));
    assert_eq!(membership.incarnation(), 9);
    membership.leave(2);
    membership.receive(3, Node(20), news(vec![record(ME, 99, 3, true)], vec![]));
    assert!(
        membership.record(ME).is_some_and(|record| record.gone && record.incarnation == 9),
        "it did sign off"
    );
}

/// Hears the links and some of those watched until the given time.
fn listen(membership: &mut Membership<u32>, from: Micros, to: Micros, heard: &[Node]) -> Vec<Effect<u32>> {
    let mut effects = Vec::new();
    for now in (from..to).step_by(50_000) {
        for node in LINKED {
            let position = TreePosition { path: vec![Node(1)], ..TreePosition::default() };
            membership.receive(now, node, MembershipMessage::KeepAlive { digest: 0, ask: false, position });
        }
        heard.iter().for_each(|node| {
            membership.receive_datagram(now, *node, Datagram::Heartbeat { incarnation: 1, sequence: 0 })
        });
        membership.tick(now);
        effects.extend(membership.take_effects());
    }
    effects
}

fn asked_about(effects: &[Effect<u32>]) -> Vec<Node> {
    let about = |effect: &Effect<u32>| match effect {
        Effect::SendDatagram { datagram: Datagram::Suspect { about, .. }, .. } => Some(*about),
        _ => None,
    };
    let mut nodes: Vec<Node> = effects.iter().filter_map(about).collect();
    nodes.dedup();
    nodes
}

#[test]
fn a_silent_node_is_thrown_out_by_two_or_after_a_failed_try_and_not_when_another_heard_it() {
    let heard = [Node(1), Node(20)];
    let incarnation = 1;
    let about = Node(21);
    for (answers, gone) in
        [(vec![true, true], true), (vec![true, false], false), (vec![], true), (vec![true], true)]
    {
        let mut membership = membership();
        let effects = listen(&mut membership, 0, HEARTBEAT_TIMEOUT + 100_000, &heard);
        assert_eq!(asked_about(&effects), [about]);
        let now = HEARTBEAT_TIMEOUT + 100_000;
        for (agreed, from) in answers.iter().zip(heard) {
            let agree = if *agreed {
                Datagram::SuspectConfirmed { about, incarnation }
            } else {
                Datagram::SuspectAlive { about, incarnation, elapsed: 0 }
            };
            membership.receive_datagram(now, from, agree);
        }
        let effects = listen(&mut membership, now, now + SUSPECT_REPLY_TIMEOUT + 100_000, &heard);
        let tries = effects.contains(&Effect::Probe { node: about });
        assert_eq!(tries, answers.is_empty());
        if tries {
            membership.probe_finished(now + 500_000, about, false);
        }
        assert_eq!(membership.record(about).is_some_and(|record| record.gone), gone, "{answers:?}");
    }
}

#[test]
fn one_that_hears_nobody_or_stood_still_accuses_nobody() {
    let mut membership = membership();
    let effects = listen(&mut membership, 0, 3 * HEARTBEAT_TIMEOUT, &[]);
    assert!(asked_about(&effects).is_empty(), "all are silent: rather it is cut off itself");
    let mut membership = self::membership();
    listen(&mut membership, 0, 500_000, &LINKED);
    let woke = 60_000_000;
    let effects = listen(&mut membership, woke, woke + HEARTBEAT_TIMEOUT - 100_000, &[Node(1)]);
    assert!(asked_about(&effects).is_empty());
    let effects = listen(
        &mut membership,
        woke + HEARTBEAT_TIMEOUT - 100_000,
        woke + HEARTBEAT_TIMEOUT + 200_000,
        &[Node(1)],
    );
    assert!(!asked_about(&effects).is_empty());
}

#[derive(Debug, TypeGenerator)]
enum Drawn {
    Records(Vec<(u8, u8, u8, bool)>),
    Pages(Vec<(u8, u8)>),
    Sums(Vec<u32>),
    Index(Vec<u8>, Vec<(u8, u8, bool)>),
    Up(u8),
    Down(u8),
    Ask(u8, u8),
    Dead(u64, u64),
    Agree(u8, u8),
    Tried(u8, bool),
    Tick(u32),
}

#[test]
fn whatever_comes_nothing_goes_back_and_the_next_tick_lies_ahead() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, Drawn)>>().for_each(|calls| {
        let mut membership = membership();
        let mut now = 0;
        for (from, call) in calls {
            let before: Vec<RecordVersion> = membership.records().map(|record| record.version()).collect();
            let from = LINKED[usize::from(*from) % 3];
            let node = |number: &u8| Node(u32::from(*number) % 32);
            match call {
                Drawn::Records(drawn) => {
                    let of = |(n, incarnation, sequence, gone): &(u8, u8, u8, bool)| {
                        record(node(n), u64::from(*incarnation), u64::from(*sequence), *gone)
                    };
                    membership.receive(now, from, news(drawn.iter().map(of).collect(), vec![]));
                }
                Drawn::Pages(drawn) => {
                    let entries =
                        drawn.iter().map(|(a, size)| page((u64::from(*a), 0, 0), usize::from(*size)));
                    membership.receive(now, from, news(vec![], entries.collect()));
                }
                Drawn::Sums(sums) => {
                    membership.receive(now, from, MembershipMessage::PartDigests { digests: sums.clone() })
                }
                Drawn::Index(parts, drawn) => {
                    let of = |(n, incarnation, gone): &(u8, u8, bool)| {
                        record(node(n), u64::from(*incarnation), 0, *gone).version()
                    };
                    let records = drawn.iter().map(of).collect();
                    membership.receive(
                        now,
                        from,
                        MembershipMessage::VersionIndex { parts: parts.clone(), records, entries: vec![] },
                    );
                }
                Drawn::Up(n) => membership.link_up(now, node(n)),
                Drawn::Down(n) => membership.link_down(now, node(n)),
                Drawn::Ask(n, incarnation) => membership.receive_datagram(
                    now,
                    from,
                    Datagram::Suspect { about: node(n), incarnation: u64::from(*incarnation) },
                ),
                Drawn::Dead(incarnation, sequence) => membership.receive_datagram(
                    now,
                    from,
                    Datagram::DeclaredDead { incarnation: *incarnation, sequence: *sequence },
                ),
                Drawn::Agree(n, incarnation) => membership.receive_datagram(
                    now,
                    from,
                    Datagram::SuspectConfirmed { about: node(n), incarnation: u64::from(*incarnation) },
                ),
                Drawn::Tried(n, ok) => membership.probe_finished(now, node(n), *ok),
                Drawn::Tick(span) => {
                    now += Micros::from(*span) % 2_000_000;
                    membership.tick(now);
                    assert!(membership.next_deadline() > now);
                }
            }
            for version in before {
                let after = membership.record(version.node).map(|record| record.version());
                assert!(after.is_none_or(|after| after >= version));
            }
            let to_itself =
                |effect: &Effect<u32>| matches!(effect, Effect::SendMessage { to, .. } if *to == ME);
            assert!(!membership.take_effects().iter().any(to_itself));
        }
    });
}
