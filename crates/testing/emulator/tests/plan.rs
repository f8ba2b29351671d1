//! What is asked: rates, shares and works as the script says, and alike for whoever decides. And what plain policies may not
//! do either: they keep the effect rules, so that a comparison with them is one of placement.
use silvercross_emulator::baselines::NAMED;
use silvercross_emulator::plan::{draw, Ask};
use silvercross_emulator::script::Script;
use silvercross_emulator::virtual_time::play;
use silvercross_emulator::Policy;

fn script(more: &str) -> Script {
    let text = format!(
        "name = \"p\"\nlength_s = 60.0\n[[site]]\nname = \"a\"\nservers = 4\nsidecars = 4\n[[site]]\nname = \"b\"\nservers = 4\nsidecars = 2\nload = 3.0\n\
         [[class]]\nname = \"x\"\nshare = 3.0\nwork_ms = 10.0\ncv = 1.5\naim_ms = 400.0\ndeadline_ms = 900.0\neffect = \"keyed\"\ngroup = \"cell\"\nwindow_ms = 500.0\n\
         [[class]]\nname = \"y\"\nwork_ms = 20.0\ncv = 1.0\nspread = \"pareto\"\naim_ms = 400.0\ndeadline_ms = 900.0\neffect = \"once\"\n\
         [load]\nper_s = 200.0\nhints = true\n{more}"
    );
    Script::parse(&text).expect("a good script")
}

fn share(asks: &[Ask], of: impl Fn(&Ask) -> bool) -> f64 {
    asks.iter().filter(|a| of(a)).count() as f64 / asks.len() as f64
}

fn close(what: &str, got: f64, expected: f64) {
    assert!((got / expected - 1.0).abs() < 0.08, "{what}: {got}, expected {expected}");
}

#[test]
fn asks_come_as_often_and_as_heavy_as_the_script_says() {
    let s = script("");
    let asks = draw(&s, 5);
    assert!(asks.windows(2).all(|w| w[0].at <= w[1].at), "in the order of time");
    close("rate", asks.len() as f64 / 60.0, 200.0);
    close("share of x", share(&asks, |a| a.class == 0), 0.75);
    close("share of b", share(&asks, |a| a.sidecar >= 4), 0.6);
    for (class, work) in [(0, 10_000.0), (1, 20_000.0)] {
        let works: Vec<f64> = asks.iter().filter(|a| a.class == class).map(|a| a.work).collect();
        close("work", works.iter().sum::<f64>() / works.len() as f64, work);
    }
    assert_eq!(asks, draw(&s, 5));
    assert_ne!(asks, draw(&s, 6));
}

#[test]
fn surges_are_of_their_time_their_site_and_their_caller() {
    let fault = |kind: &str, more: &str| {
        format!("[[fault]]\nkind = \"{kind}\"\nat_s = 20.0\nfor_s = 20.0\nstrength = 3.0\n{more}")
    };
    let cases = [
        (fault("surge", ""), [3.0; 3]),
        (fault("surge", "site = \"b\"\n"), [1.0, 1.0, 3.0]),
        (fault("hot-caller", "which = [1]\n"), [1.0, 3.0, 1.0]),
        (fault("surge", "") + &fault("surge", ""), [9.0; 3]),
    ];
    for (text, expected) in cases {
        let asks = draw(&script(&text), 5);
        let during = |a: &Ask| (20_000_000..40_000_000).contains(&a.at);
        // Of the first sidecar of a, the second one, and those of b: against the other forty seconds.
        let of: [fn(&Ask) -> bool; 3] = [|a| a.sidecar == 0, |a| a.sidecar == 1, |a| a.sidecar >= 4];
        for (of, by) in of.into_iter().zip(expected) {
            let within = asks.iter().filter(|a| of(a) && during(a)).count() as f64;
            let without = asks.iter().filter(|a| of(a) && !during(a)).count() as f64 / 2.0;
            assert!((within / without / by - 1.0).abs() < 0.15, "{text}: {within} {without}");
        }
    }
}

#[test]
fn plain_policies_answer_everything_and_repeat_nothing_that_may_have_run() {
    let trouble = "[[fault]]\nkind = \"fast-errors\"\nat_s = 5.0\nfor_s = 20.0\nshare = 0.3\n\
                   [[fault]]\nkind = \"crash\"\nat_s = 15.0\nfor_s = 10.0\nshare = 0.3\n\
                   [[fault]]\nkind = \"vanish\"\nat_s = 30.0\nfor_s = 10.0\nshare = 0.3\n";
    for (name, pick) in NAMED {
        let f = play(&script(trouble), 5, Policy::Plain(pick));
        assert_eq!(
            (f.rules.lost, f.rules.sent_after, f.rules.duplicated),
            (0, 0, 0),
            "{name}: {:?}",
            f.breaches
        );
        assert!(f.served_worth > 0.5 && f.failed > 0, "{name}: {} {}", f.served_worth, f.failed);
    }
}
