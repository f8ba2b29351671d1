//! Gateways in simulated time: what they are worth, that nothing of chance is left, and troubles that no scenario has.
use silvercross_emulator::figures::Figures;
use silvercross_emulator::script::Script;
use silvercross_emulator::virtual_time::play;
use silvercross_emulator::Policy;

fn script(more: &str) -> Script {
    let text = format!(
        "name = \"g\"\nlength_s = 30.0\n[[site]]\nname = \"home\"\nservers = 4\nsidecars = 3\n[[site]]\nname = \"far\"\nservers = 8\nsidecars = 3\nload = 0.3\n\
         [[class]]\nname = \"check\"\nshare = 2.0\nwork_ms = 20.0\naim_ms = 600.0\ndeadline_ms = 1400.0\neffect = \"keyed\"\ngroup = \"site\"\nwindow_ms = 900.0\n\
         [[class]]\nname = \"order\"\nwork_ms = 20.0\naim_ms = 600.0\ndeadline_ms = 1400.0\nworth = 3.0\neffect = \"once\"\n\
         [load]\nper_s = 350.0\nhints = true\n[network]\ncross_ms = 10.0\njitter = 1.0\n{more}"
    );
    Script::parse(&text).expect("a good script")
}

fn run(more: &str) -> Figures {
    let s = script(more);
    play(&s, 3, Policy::Module)
}

#[test]
fn overflow_crosses_and_the_far_site_keeps_its_own() {
    let without = run("[list]\nown_site = true\n");
    let with = run("[gateway]\nper_site = 2\n");
    assert!(with.by_site["home"] > without.by_site["home"] + 0.1, "{:?} {:?}", with.by_site, without.by_site);
    assert!(with.by_site["far"] > without.by_site["far"] - 0.01, "{:?} {:?}", with.by_site, without.by_site);
    assert_eq!((with.rules.broken(), without.crossed), (0, 0.0));
    let bytes = |f: &Figures| serde_json::to_vec(f).expect("JSON");
    assert_eq!(bytes(&with), bytes(&run("[gateway]\nper_site = 2\n")));
}

#[test]
fn whatever_becomes_of_gateways_and_links_no_rule_breaks() {
    let fault = |kind: &str, at: f64, f: f64, more: &str| {
        format!("[[fault]]\nkind = \"{kind}\"\nat_s = {at:?}\nfor_s = {f:?}\n{more}")
    };
    let cases = [
        fault("link-cut", 5.0, 5.0, "site = \"far\"\n") + &fault("link-cut", 8.0, 6.0, "site = \"home\"\n"),
        fault("link-slow", 5.0, 10.0, "strength = 20.0\n"),
        fault("gateways-die", 5.0, 5.0, "") + &fault("gateways-die", 8.0, 6.0, "which = [0]\n"),
        fault("gateways-drain", 5.0, 5.0, "") + &fault("gateways-die", 6.0, 2.0, "which = [1]\n"),
        fault("site-lost", 5.0, 8.0, "site = \"far\"\n"),
        fault("site-lost", 5.0, 8.0, "site = \"home\"\n"),
        fault("release", 3.0, 20.0, "share = 0.1\nevery_s = 2.0\n") + &fault("list-dark", 10.0, 5.0, ""),
        fault("swallow", 5.0, 15.0, "site = \"far\"\nshare = 0.5\n"),
    ];
    for more in cases {
        for gateway in [
            "per_site = 2\n",
            "per_site = 1\nmistaken = true\nfirst = 0\n",
            "per_site = 3\nmost = 3\nholds_ms = 50.0\n",
        ] {
            let f = run(&format!("[gateway]\n{gateway}{more}"));
            assert_eq!(f.rules.broken(), 0, "{gateway}{more}: {:?}", f.breaches);
            assert!(f.served_worth > 0.3, "{gateway}{more}: {}", f.served_worth);
        }
    }
}

#[test]
fn three_sites_pass_overflow_once_and_no_further() {
    let third = "[[site]]\nname = \"third\"\nservers = 4\nsidecars = 3\n";
    let f = run(&format!("[gateway]\nper_site = 1\nmistaken = true\n{third}"));
    assert_eq!(f.rules.broken(), 0, "{:?}", f.breaches);
    assert!(f.served_worth > 0.5, "{}", f.served_worth);
}
