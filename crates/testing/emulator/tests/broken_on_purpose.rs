//! Each check is seen to fail: the module is broken in one way, and what should catch that does, while the same script
//! holds with the module whole. Broken from outside, by what it is told and what becomes of it, so that it stays the module.
use silvercross_core::interface::{Action, Decide, Entry, Event, Lifecycle, Micros, Outcome, Settings};
use silvercross_core::policy;
use silvercross_emulator::figures::Figures;
use silvercross_emulator::script::Script;
use silvercross_emulator::virtual_time::{play, play_with};
use silvercross_emulator::Policy;

#[derive(Clone, Copy, PartialEq)]
enum How {
    /// No failure is ever one of transport: nobody is excluded.
    NoCooldown,
    /// What may run once is taken for repeatable.
    RepeatsUnsafe,
    /// Draining servers are taken for running ones.
    IgnoresDrains,
    /// Cold servers are taken to bear anything.
    NoColdBudget,
}

struct Broken {
    module: policy::Balancer,
    how: How,
}

/// The module's own timer for the list; every other one looks after an attempt that is late.
const LIST_TIMER: u64 = 1 << 60;

impl Decide for Broken {
    fn decide(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match (self.how, event) {
            (How::NoCooldown, Event::AttemptEnded(mut e)) => {
                e.outcome = match e.outcome {
                    Outcome::ConnectFailed => Outcome::Rejected,
                    Outcome::Reset => Outcome::Error,
                    Outcome::TimedOut => Outcome::Cancelled,
                    other => other,
                };
                self.module.handle(now, Event::AttemptEnded(e), out);
            }
            (How::NoCooldown, Event::Timer { token }) if token != LIST_TIMER => {}
            (How::IgnoresDrains, Event::List { kind, entries }) => {
                let runs = |e: &Entry| match e.lifecycle {
                    Lifecycle::Draining => Entry { lifecycle: Lifecycle::Running, ..*e },
                    _ => *e,
                };
                let entries: Vec<Entry> = entries.iter().map(runs).collect();
                self.module.handle(now, Event::List { kind, entries: &entries }, out);
            }
            (_, event) => self.module.handle(now, event, out),
        }
    }
}

fn broken(script: &Script, how: How) -> Figures {
    play_with(script, script.seed, &|mut settings: Settings, seed, now| {
        if how == How::RepeatsUnsafe {
            let all = settings.classes.iter_mut();
            all.for_each(|c| c.repeatability = silvercross_core::interface::Repeatability::Repeatable);
        }
        if how == How::NoColdBudget {
            settings.overload_multiple = 1e9;
        }
        Box::new(Broken { module: policy::Balancer::new(settings, seed, now), how })
    })
}

fn scenario(name: &str) -> Script {
    let path = format!("{}/../../../scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Script::parse(&std::fs::read_to_string(path).expect("a scenario")).expect("a good one")
}

#[test]
fn every_way_of_breaking_the_module_is_caught() {
    type Caught = fn(&Figures) -> bool;
    let cases: [(How, &str, Caught); 4] = [
        (How::NoCooldown, "surge-swallow", |f| {
            f.expectations.iter().any(|e| e.figure == "failed" && !e.held)
        }),
        (How::RepeatsUnsafe, "fast-errors", |f| f.rules.duplicated > 0),
        (How::IgnoresDrains, "rolling-release", |f| f.rules.drained_late > 0),
        (How::NoColdBudget, "cold-overfed", |f| f.rules.cold_fallen > 0),
    ];
    for (how, name, caught) in cases {
        let script = scenario(name);
        let whole = play(&script, script.seed, Policy::Module);
        assert!(!caught(&whole) && whole.rules.broken() == 0, "{name}: {:?}", whole.breaches);
        let f = broken(&script, how);
        assert!(caught(&f), "{name}: served {}, failed {}, {:?}", f.served_worth, f.failed, f.rules);
    }
}
