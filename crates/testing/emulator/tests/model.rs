//! The model's parts: servers and the list under arbitrary orders of events, and scripts that cannot be played.
use proptest::prelude::*;
use silvercross_emulator::list::{Health, ListService, Listed, Out, Outage};
use silvercross_emulator::script::{Kind, Script, ServerSpec};
use silvercross_emulator::server::{Effect, Happened, Job, Server};
use silvercross_emulator::virtual_time::play;
use silvercross_emulator::Policy;
use std::collections::HashSet;

const S: i64 = 1_000_000;

fn kind() -> Kind {
    Kind { name: "k".into(), share: 1.0, cores: 2, speed: 1.0 }
}

fn job(id: u64, work: f64) -> Job {
    Job { id, key: id % 7, work, expected: work, dropped: false, dice: (0.999, 0.999) }
}

fn run(server: &mut Server, until: i64) -> Vec<(i64, Happened)> {
    let (mut out, mut seen) = (Vec::new(), Vec::new());
    while let Some(at) = server.next().filter(|at| *at <= until) {
        server.advance(at, &mut out);
        seen.extend(out.drain(..).map(|h| (at, h)));
    }
    seen
}

/// Work of 100 ms begun at 1 s: when it is done under each trouble.
#[test]
fn trouble_slows_work_as_it_says() {
    let none: Option<Effect> = None;
    let cases = [
        (none, none, 1_100_000),
        (Some(Effect::Slower(3.0)), none, 1_300_000),
        (Some(Effect::Taken(0.5)), none, 1_200_000),
        (Some(Effect::Taken(0.5)), Some(Effect::Slower(2.0)), 1_400_000),
        (Some(Effect::Paused), none, 2_100_000),
    ];
    for (first, second, done) in cases {
        let mut server = Server::new(kind(), ServerSpec::default());
        let mut out = Vec::new();
        server.offer(S, job(1, 100_000.0), &mut out);
        server.trouble(S, 0, first, &mut out);
        server.trouble(S, 1, second, &mut out);
        let mut seen = run(&mut server, 2 * S);
        if first == Some(Effect::Paused) {
            // Until it ends there is nothing to wait for.
            assert!(seen.is_empty() && server.next().is_none());
            server.trouble(2 * S, 0, None, &mut out);
            seen = run(&mut server, 3 * S);
        }
        assert_eq!(seen, [(done, Happened::Done(1))], "{first:?} {second:?}");
    }
}

#[test]
fn a_cold_server_is_slow_warms_up_and_falls_when_overfed() {
    let spec = ServerSpec {
        cold_from: 0.25,
        warm_s: 10.0,
        fall_multiple: 2.0,
        fall_s: 2.0,
        ..ServerSpec::default()
    };
    let mut server = Server::new(kind(), spec);
    let mut out = Vec::new();
    server.die(0, &mut out);
    server.start_anew(S);
    assert!((server.warmth(S) - 0.25).abs() < 1e-9 && (server.warmth(6 * S) - 0.625).abs() < 1e-9);
    // It bears 2 x 2 cores x 0.25 x 2 s = 2 s of work at first; warm it would bear four times that.
    for id in 0..3 {
        server.offer(S, job(id, 0.9e6), &mut out);
    }
    assert!(out.contains(&Happened::Fell(true)), "{out:?}");
    assert!(!server.up, "it stays down");
    let mut warm =
        Server::new(kind(), ServerSpec { fall_multiple: 2.0, fall_s: 2.0, ..ServerSpec::default() });
    out.clear();
    for id in 0..3 {
        warm.offer(S, job(id, 0.9e6), &mut out);
    }
    assert!(warm.up && !out.iter().any(|h| matches!(h, Happened::Fell(_))));
}

#[test]
fn a_remembered_key_is_cheaper_and_the_memory_is_bounded() {
    let spec = ServerSpec { cache_keys: 2, cache_saves: 0.9, ..ServerSpec::default() };
    let mut server = Server::new(kind(), spec);
    let mut out = Vec::new();
    let mut took = |key: u64, at: i64| {
        server.offer(at, Job { key, ..job(at as u64, 100_000.0) }, &mut out);
        run(&mut server, at + S).last().map(|(end, _)| end - at)
    };
    assert_eq!([took(1, S), took(1, 2 * S)], [Some(100_000), Some(10_000)]);
    assert_eq!([took(2, 3 * S), took(3, 4 * S)], [Some(100_000); 2]);
    assert_eq!(took(1, 5 * S), Some(100_000), "the oldest of three is forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whatever happens to a server, each attempt ends at most once, runs before it is done, and the queue keeps its bound.
    #[test]
    fn no_attempt_ends_twice_and_the_queue_is_bounded(events in proptest::collection::vec((0u8..8, 0i64..400_000), 1..200)) {
        let spec = ServerSpec { queue_per_core: 3, fall_multiple: 4.0, ..ServerSpec::default() };
        let mut server = Server::new(kind(), spec);
        let (mut now, mut out, mut ended, mut ran, mut next) = (0, Vec::new(), HashSet::new(), HashSet::new(), 0u64);
        for (what, wait) in events {
            now += wait;
            match what {
                0..=3 => {
                    next += 1;
                    server.offer(now, job(next, 1_000.0 * (1 + next % 300) as f64), &mut out);
                }
                4 => server.cancel(now, next / 2, &mut out),
                5 => server.trouble(now, (now % 3) as usize, Some(Effect::Slower(4.0)), &mut out),
                6 => server.trouble(now, (now % 3) as usize, None, &mut out),
                _ if server.up => server.die(now, &mut out),
                _ => server.start_anew(now),
            }
            prop_assert!(server.load() <= server.room());
            for h in out.drain(..) {
                match h {
                    Happened::Ran(id) => prop_assert!(ran.insert(id)),
                    Happened::Done(id) => prop_assert!(ran.contains(&id) && ended.insert(id)),
                    Happened::Error(id) | Happened::Full(id) | Happened::Broke(id) => prop_assert!(ended.insert(id)),
                    Happened::Fell(_) => prop_assert!(!server.up),
                }
            }
        }
    }

    /// No text makes the reader panic, and what it takes it can play.
    #[test]
    fn no_script_panics(cut in 0usize..900, insert in "[a-z0-9.=\\[\\]\" \n-]{0,12}") {
        let text = small("");
        let cut = (cut.min(text.len())..=text.len()).find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        let mutated = format!("{}{insert}{}", &text[..cut], &text[cut..]);
        if let Ok(script) = Script::parse(&mutated) {
            if script.load.per_s * script.length_s < 10_000.0 && script.servers() < 50 {
                play(&script, 1, Policy::Module);
            }
        }
    }
}

fn small(more: &str) -> String {
    format!(
        "name = \"small\"\nlength_s = 8.0\n[[site]]\nname = \"a\"\nservers = 4\nsidecars = 2\n\
         [[class]]\nname = \"read\"\nwork_ms = 10.0\naim_ms = 400.0\ndeadline_ms = 1000.0\neffect = \"repeatable\"\n\
         [load]\nper_s = 50.0\n{more}"
    )
}

#[test]
fn what_cannot_be_played_is_refused_with_line_and_key() {
    let cases = [
        ("length_s = 8.0", "length_s = -1.0", 2, "length_s"),
        ("servers = 4", "servers = 0", 5, "site.servers"),
        ("aim_ms = 400.0", "aim_ms = 4000.0", 11, "class.deadline_ms"),
        ("per_s = 50.0", "per_s = 0.0", 14, "load.per_s"),
        ("per_s = 50.0", "per_s = 1e6", 14, "load.per_s"),
        ("per_s = 50.0", "per_s = nan", 14, "load.per_s"),
        ("effect = \"repeatable\"", "effect = \"odd\"", 12, ""),
        ("name = \"a\"", "name = \"a\"\nsize = 3", 5, ""),
        ("servers = 4", "servers = -4", 5, ""),
    ];
    for (from, to, line, key) in cases {
        let fault = Script::parse(&small("").replacen(from, to, 1)).expect_err(to);
        assert_eq!((fault.line, fault.key.as_str()), (line, key), "{fault}");
    }
    let faults = [
        ("kind = \"surge\"\nat_s = 1.0\nfor_s = 1.0\nstrength = -2.0", "fault.strength"),
        ("kind = \"crash\"\nat_s = 1.0\nfor_s = 1.0\nstrength = 2.0", "fault.strength"),
        ("kind = \"crash\"\nat_s = 1.0\nfor_s = 1.0\nshare = 1.5", "fault.share"),
        ("kind = \"crash\"\nat_s = 1.0\nfor_s = 1.0\nwhich = [4]", "fault.which"),
        ("kind = \"site-lost\"\nat_s = 1.0\nfor_s = 1.0", "fault.site"),
        ("kind = \"site-lost\"\nat_s = 1.0\nfor_s = 1.0\nsite = \"b\"", "fault.site"),
        ("kind = \"release\"\nat_s = 1.0\nfor_s = 1.0", "fault.every_s"),
        ("kind = \"odd\"\nat_s = 1.0\nfor_s = 1.0", ""),
    ];
    for (text, key) in faults {
        let fault = Script::parse(&small(&format!("[[fault]]\n{text}\n"))).expect_err(text);
        assert_eq!(fault.key, key, "{fault}");
        assert!(!fault.to_string().contains('\n'));
    }
    let fault = Script::parse(&small("[[expect]]\nfigure = \"odd\"\nleast = 1.0\n")).expect_err("no figure");
    assert_eq!(fault.key, "expect.figure");
}

/// Troubles that overlap on one server, an empty fleet for some seconds, one past the end: played as written.
#[test]
fn odd_but_possible_scripts_are_played() {
    let fault =
        |kind: &str, at: f64, f: f64| format!("[[fault]]\nkind = \"{kind}\"\nat_s = {at:?}\nfor_s = {f:?}\n");
    let on_one = |kind: &str, at: f64| fault(kind, at, 2.0) + "which = [0]\n";
    let cases = [
        ["swallow", "fast-errors", "pause", "slow", "neighbour", "crash", "vanish", "drain"]
            .map(|k| on_one(k, 1.0) + &on_one(k, 2.0))
            .concat(),
        fault("crash", 2.0, 3.0),
        fault("vanish", 2.0, 3.0),
        fault("crash", 100.0, 3.0) + &fault("surge", 7.9, 50.0),
        fault("sidecars-die", 2.0, 2.0) + &fault("list-dark", 0.0, 8.0),
        fault("surge", 0.0, 8.0) + "strength = 0.0\n",
    ];
    for more in cases {
        let script = Script::parse(&small(&more)).expect("possible");
        let f = play(&script, 1, Policy::Module);
        assert_eq!(f.rules.broken(), 0, "{more}: {:?}", f.breaches);
    }
}

fn told(out: &[Out], asker: u64) -> Vec<(bool, usize)> {
    let of = |o: &Out| match o {
        Out::Told { asker: a, whole, entries, .. } if *a == asker => Some((*whole, entries.len())),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

#[test]
fn the_list_lags_keeps_its_rate_and_fails_as_told() {
    let mut list = ListService::new(0..3, 300_000, 2.0, 2 * S);
    let mut out = Vec::new();
    for asker in 1..=6 {
        list.ask(S, asker, None, asker == 1, &mut out);
    }
    while let Some(at) = list.next() {
        list.advance(at, &mut out);
    }
    // Two a second and 2 s of patience: four are answered, two fail.
    let answered = (1..=6).filter(|a| told(&out, *a) == [(true, 3)]).count();
    let failed = out.iter().filter(|o| matches!(o, Out::Ended { .. })).count();
    assert_eq!((answered, failed), (4, 2), "{out:?}");
    out.clear();
    let gone = Listed { server: 1, health: Health::Gone, born: None };
    let visible = list.announce(10 * S, 0, gone);
    list.advance(visible - 1, &mut out);
    assert!(out.is_empty(), "nothing is told before the lag is over");
    list.advance(visible, &mut out);
    assert_eq!(told(&out, 1), [(false, 1)]);
    out.clear();
    list.fail(20 * S, Outage::Dark, &mut out);
    assert_eq!(out, [Out::Ended { asker: 1 }]);
    out.clear();
    list.ask(21 * S, 9, Some(1), true, &mut out);
    assert_eq!(out, [Out::Ended { asker: 9 }]);
    list.fail(22 * S, Outage::None, &mut out);
    list.ask(23 * S, 10, Some(1), true, &mut out);
    list.advance(24 * S, &mut out);
    assert_eq!(told(&out, 10), [(false, 1)], "only what changed since");
}
