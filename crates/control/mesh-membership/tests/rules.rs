//! Single rules of one node.
use bolero::generator::TypeGenerator;
use silvercross_mesh_membership::*;

const ME: Node = Node(10);
const LINKED: [Node; 3] = [Node(1), Node(20), Node(21)];

fn membership() -> Membership<u32> {
    let start = Start { me: ME, zone: "a".into(), core: false, seeds: vec![Node(1)], life: 5, seed: 1 };
    let mut membership = Membership::new(0, start, 0);
    for node in LINKED {
        membership.link_up(0, node);
        membership.letter(0, node, hello(node, node == Node(1)));
    }
    membership.effects();
    membership
}

fn record(node: Node, life: u64, seq: u64, gone: bool) -> Record<u32> {
    Record { node, life, seq, zone: "a".into(), core: false, gone, body: 1 }
}

fn hello(node: Node, core: bool) -> Letter<u32> {
    let standing = Standing { path: if core { vec![node] } else { vec![] }, ..Standing::default() };
    Letter::Hello { record: Record { core, ..record(node, 1, 0, false) }, digest: 0, known: 9, standing }
}

fn news(records: Vec<Record<u32>>, pages: Vec<Page>) -> Letter<u32> {
    Letter::News { records, pages }
}

fn page(revision: Revision, bytes: usize) -> Page {
    Page { key: "k".into(), revision, bytes: vec![1; bytes] }
}

fn told(membership: &mut Membership<u32>) -> Vec<Node> {
    let news = |effect| match effect {
        Effect::Send { to, letter: Letter::News { .. } } => Some(to),
        _ => None,
    };
    membership.effects().into_iter().filter_map(news).collect()
}

#[test]
fn news_goes_to_all_but_where_it_came_from_and_only_once() {
    let mut membership = membership();
    let both = || news(vec![record(Node(30), 1, 1, false)], vec![page((1, 0, 0), 3)]);
    membership.letter(1, Node(20), both());
    assert_eq!(told(&mut membership), [Node(1), Node(21)], "one letter each");
    membership.letter(2, Node(21), both());
    membership.letter(2, Node(1), both());
    assert!(told(&mut membership).is_empty());
    assert!(membership.figures().not_needed > 0);
}

#[test]
fn nothing_goes_back() {
    let mut membership = membership();
    membership.publish(1, "k", (2, 5, 0), vec![2]);
    membership.publish(1, "k", (2, 4, 9), vec![3]);
    membership.letter(1, Node(20), news(vec![record(Node(30), 2, 1, false)], vec![page((1, 9, 9), 3)]));
    membership.letter(1, Node(20), news(vec![record(Node(30), 1, 7, true)], vec![page((2, 5, 0), 3)]));
    assert_eq!(membership.page("k"), Some((&(2, 5, 0), [2].as_slice())));
    assert_eq!(membership.record(Node(30)), Some(&record(Node(30), 2, 1, false)));
    membership.letter(1, Node(20), news(vec![record(Node(30), 2, 1, true)], vec![]));
    assert!(membership.record(Node(30)).is_some_and(|record| record.gone));
    membership.letter(1, Node(20), news(vec![], vec![page((3, 0, 0), LONGEST_PAGE + 1)]));
    assert_eq!(membership.figures().strangers, 1);
}

#[test]
fn what_others_say_of_a_node_is_overruled_by_it() {
    let mut membership = membership();
    let own = membership.record(ME).expect("own").clone();
    membership.letter(1, Node(20), news(vec![Record { gone: true, ..own.clone() }], vec![]));
    assert_eq!(membership.record(ME), Some(&Record { seq: own.seq + 1, ..own.clone() }));
    assert_eq!(told(&mut membership), LINKED, "also where it came from");
    membership.datagram(1, Node(20), Datagram::Dead { life: 5, seq: own.seq + 1 });
    assert_eq!(membership.record(ME).map(|record| record.seq), Some(own.seq + 2));
    membership.letter(1, Node(20), news(vec![record(ME, 8, 3, false)], vec![]));
    assert_eq!(membership.life(), 9);
    membership.leave(2);
    membership.letter(3, Node(20), news(vec![record(ME, 99, 3, true)], vec![]));
    assert!(membership.record(ME).is_some_and(|record| record.gone && record.life == 9), "it did sign off");
}

/// Hears the links and some of those watched until the given time.
fn listen(membership: &mut Membership<u32>, from: Micros, to: Micros, heard: &[Node]) -> Vec<Effect<u32>> {
    let mut effects = Vec::new();
    for now in (from..to).step_by(50_000) {
        for node in LINKED {
            let standing = Standing { path: vec![Node(1)], ..Standing::default() };
            membership.letter(now, node, Letter::Pulse { digest: 0, ask: false, standing });
        }
        heard.iter().for_each(|node| membership.datagram(now, *node, Datagram::Beat { life: 1, seq: 0 }));
        membership.tick(now);
        effects.extend(membership.effects());
    }
    effects
}

fn asked_about(effects: &[Effect<u32>]) -> Vec<Node> {
    let about = |effect: &Effect<u32>| match effect {
        Effect::Datagram { datagram: Datagram::Ask { about, .. }, .. } => Some(*about),
        _ => None,
    };
    let mut nodes: Vec<Node> = effects.iter().filter_map(about).collect();
    nodes.dedup();
    nodes
}

#[test]
fn a_silent_node_is_thrown_out_by_two_or_after_a_failed_try_and_not_when_another_heard_it() {
    let heard = [Node(1), Node(20)];
    let life = 1;
    let about = Node(21);
    for (answers, gone) in
        [(vec![true, true], true), (vec![true, false], false), (vec![], true), (vec![true], true)]
    {
        let mut membership = membership();
        let effects = listen(&mut membership, 0, SILENCE + 100_000, &heard);
        assert_eq!(asked_about(&effects), [about]);
        let now = SILENCE + 100_000;
        for (agreed, from) in answers.iter().zip(heard) {
            let agree = if *agreed {
                Datagram::Agree { about, life }
            } else {
                Datagram::Heard { about, life, ago: 0 }
            };
            membership.datagram(now, from, agree);
        }
        let effects = listen(&mut membership, now, now + ASK_WAIT + 100_000, &heard);
        let tries = effects.contains(&Effect::Try { node: about });
        assert_eq!(tries, answers.is_empty());
        if tries {
            membership.tried(now + 500_000, about, false);
        }
        assert_eq!(membership.record(about).is_some_and(|record| record.gone), gone, "{answers:?}");
    }
}

#[test]
fn one_that_hears_nobody_or_stood_still_accuses_nobody() {
    let mut membership = membership();
    let effects = listen(&mut membership, 0, 3 * SILENCE, &[]);
    assert!(asked_about(&effects).is_empty(), "all are silent: rather it is cut off itself");
    let mut membership = self::membership();
    listen(&mut membership, 0, 500_000, &LINKED);
    let woke = 60_000_000;
    let effects = listen(&mut membership, woke, woke + SILENCE - 100_000, &[Node(1)]);
    assert!(asked_about(&effects).is_empty());
    let effects = listen(&mut membership, woke + SILENCE - 100_000, woke + SILENCE + 200_000, &[Node(1)]);
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
            let before: Vec<Version> = membership.records().map(|record| record.version()).collect();
            let from = LINKED[usize::from(*from) % 3];
            let node = |number: &u8| Node(u32::from(*number) % 32);
            match call {
                Drawn::Records(drawn) => {
                    let of = |(n, life, seq, gone): &(u8, u8, u8, bool)| {
                        record(node(n), u64::from(*life), u64::from(*seq), *gone)
                    };
                    membership.letter(now, from, news(drawn.iter().map(of).collect(), vec![]));
                }
                Drawn::Pages(drawn) => {
                    let pages = drawn.iter().map(|(a, size)| page((u64::from(*a), 0, 0), usize::from(*size)));
                    membership.letter(now, from, news(vec![], pages.collect()));
                }
                Drawn::Sums(sums) => membership.letter(now, from, Letter::Sums { sums: sums.clone() }),
                Drawn::Index(parts, drawn) => {
                    let of = |(n, life, gone): &(u8, u8, bool)| {
                        record(node(n), u64::from(*life), 0, *gone).version()
                    };
                    let records = drawn.iter().map(of).collect();
                    membership.letter(
                        now,
                        from,
                        Letter::Index { parts: parts.clone(), records, pages: vec![] },
                    );
                }
                Drawn::Up(n) => membership.link_up(now, node(n)),
                Drawn::Down(n) => membership.link_down(now, node(n)),
                Drawn::Ask(n, life) => {
                    membership.datagram(now, from, Datagram::Ask { about: node(n), life: u64::from(*life) })
                }
                Drawn::Dead(life, seq) => {
                    membership.datagram(now, from, Datagram::Dead { life: *life, seq: *seq })
                }
                Drawn::Agree(n, life) => {
                    membership.datagram(now, from, Datagram::Agree { about: node(n), life: u64::from(*life) })
                }
                Drawn::Tried(n, ok) => membership.tried(now, node(n), *ok),
                Drawn::Tick(span) => {
                    now += Micros::from(*span) % 2_000_000;
                    membership.tick(now);
                    assert!(membership.wake() > now);
                }
            }
            for version in before {
                let after = membership.record(version.node).map(|record| record.version());
                assert!(after.is_none_or(|after| after >= version));
            }
            let to_itself = |effect: &Effect<u32>| matches!(effect, Effect::Send { to, .. } if *to == ME);
            assert!(!membership.effects().iter().any(to_itself));
        }
    });
}
